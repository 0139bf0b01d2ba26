import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { bareCaller } from './bare-caller';
import { HeldRig, startHeldRig } from './drain-fixture';
import {
  sendRequest,
  deployment,
  CallerResponse,
  route,
  engineHeaders,
  startStandIn,
  rejectRequest,
} from './gateway-fixture';

const LONG_MS = 6000;
const STEP_MS = 60;

interface LeavingRig extends HeldRig {
  /** Ends the answers that are held, and comes once the router has closed. */
  finish: () => Promise<void>;
}

/** A router that is told to end while it waits for a held answer. */
async function startLeaving(): Promise<{ leaving: LeavingRig; asked: Promise<CallerResponse> }> {
  const { rig, clock, streams } = await startHeldRig(LONG_MS);
  const isHeld = streams.next();
  const asked = sendRequest(rig.address, {
    headers: { 'Plumhollow-Deadline-Ms': String(LONG_MS) },
  });
  await isHeld;
  let isClosed = false;
  async function leave(): Promise<void> {
    await rig.gateway.drain();
    await rig.close();
    isClosed = true;
  }
  const left = leave();
  async function finish(): Promise<void> {
    streams.finish();
    await asked;
    while (!isClosed) await clock.advance(STEP_MS);
    await left;
  }
  return { leaving: { rig, clock, streams, finish }, asked };
}

let revision = 1;

/** Hundreds of changes come while a router leaves; the last has none of what the request came by. */
async function changesKeepWhatIsInFlight(): Promise<void> {
  const CHANGES = 300;
  const { leaving, asked } = await startLeaving();
  const { rig, clock } = leaving;
  for (let i = 0; i < CHANGES; i++) {
    const timeoutMs = i % 2 === 0 ? 100 : LONG_MS;
    const doc = deployment([route({ timeoutMs })], { limits: limitsOf(2000 + i) });
    rig.publish(CONTROL_KEYS.deployment, { revision: ++revision, doc });
    if (i % 10 === 0) await clock.advance(STEP_MS);
  }
  const doc = deployment([route({ name: 'other', prefix: '/other/' })], { tenants: [], pools: [] });
  rig.publish(CONTROL_KEYS.deployment, { revision: ++revision, doc });
  await clock.advance(STEP_MS);
  await leaving.finish();
  expect(await asked).toMatchObject({ status: 200, isComplete: true });
}

function limitsOf(idleTimeoutMs: number): ReturnType<typeof deployment>['limits'] {
  return { ...deployment([]).limits, idleTimeoutMs };
}

/** A change of the limits does not have a router that leaves keep its connections. */
async function answersStillClose(): Promise<void> {
  const { leaving } = await startLeaving();
  const { rig } = leaving;
  const doc = deployment([route({ timeoutMs: LONG_MS })], { limits: limitsOf(9000) });
  rig.publish(CONTROL_KEYS.deployment, { revision: ++revision, doc });
  const got = await sendRequest(rig.address, { path: '/nowhere/' });
  expect(got.status).toBe(404);
  expect(got.headers.connection).toBe('close');
  await leaving.finish();
}

/** An engine that leaves turns away what a router that leaves sends it; another one takes it. */
async function enginesLeaveToo(): Promise<void> {
  const { leaving } = await startLeaving();
  const { rig, clock } = leaving;
  function answers(c: Parameters<typeof rejectRequest>[0]): void {
    c.res.writeHead(200, engineHeaders(c));
    c.res.end('id: 1\ndata: served\n\n');
  }
  const goes = await startStandIn('e2', rejectRequest);
  const stays = await startStandIn('e3', answers);
  rig.publishEngines([{ ...goes, leaving: true }, stays]);
  await clock.advance(STEP_MS);
  const got = await sendRequest(rig.address, { headers: { 'Plumhollow-Deadline-Ms': '2000' } });
  expect(got).toMatchObject({ status: 200, isComplete: true });
  await leaving.finish();
  goes.close();
  stays.close();
}

/** After an answer that was worded as its connection's last, no further one may come on it; what was sent there is passed on to no engine. */
async function lastAnswersAreWhole(): Promise<void> {
  const { leaving } = await startLeaving();
  const { rig, streams } = leaving;
  const caller = await bareCaller(rig.address);
  function request(id: string): string {
    return `POST /a/x HTTP/1.1\nHost: desk.example\nPlumhollow-Attempt-Id: ${id}\nPlumhollow-Model: m\nPlumhollow-Deadline-Ms: 2000\nAuthorization: Token k1\nContent-Length: 0\n\n`;
  }
  const isHeld = streams.next();
  caller.write(request('first'));
  await isHeld;
  expect(await caller.has('data: first')).toBe(true);
  expect(caller.received()).toMatch(/connection: close/i);
  const held = streams.held();
  caller.write(request('second'));
  await leaving.finish();
  await caller.closed;
  expect(caller.received()).toContain('data: last');
  expect(streams.held()).toBeLessThanOrEqual(held);
}

test('changes while a router leaves end nothing that is in flight', changesKeepWhatIsInFlight);
test('a router that leaves closes after each answer, also after a change', answersStillClose);
test('an engine that leaves while its router leaves hands requests on', enginesLeaveToo);
test('an answer that is the last of its connection comes whole', lastAnswersAreWhole);
