/** Requests reach no engine of an evacuated zone: not by a choice, a retry, or a connection that came too late. */

import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import {
  CallerResponse,
  deployment,
  EngineStandIn,
  GatewayFixture,
  rejectRequest,
  resetConnection,
  route,
  sendRequest,
  startGatewayFixture,
  startStandIn,
  streamEvents,
} from './gateway-fixture';

const PATIENT = { retryWindowMs: 1, retrySlack: 100 };

function evacuate(rig: GatewayFixture, zones: string[]): void {
  rig.publish(CONTROL_KEYS.evacuations, { zones });
}

async function sendMany(rig: GatewayFixture, count: number): Promise<CallerResponse[]> {
  const all: Promise<CallerResponse>[] = [];
  for (let i = 0; i < count; i++) all.push(sendRequest(rig.address));
  return Promise.all(all);
}

/** Each answers while it is in no evacuated zone; the release before sent to both zones all the while. */
async function newRequests(): Promise<void> {
  const a = await startStandIn('e1', streamEvents(3), 'zone-a');
  const b = await startStandIn('e2', streamEvents(3), 'zone-b');
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({})]),
  });
  await sendMany(rig, 8);
  for (const [evacuated, empty, other] of [
    ['zone-a', a, b],
    ['zone-b', b, a],
  ] as [string, EngineStandIn, EngineStandIn][]) {
    evacuate(rig, [evacuated]);
    const before = [empty.calls.length, other.calls.length];
    for (const { status } of await sendMany(rig, 4)) expect(status).toBe(200);
    expect([empty.calls.length, other.calls.length]).toEqual([before[0], before[1] + 4]);
  }
  evacuate(rig, ['zone-a', 'zone-b']);
  const count = a.calls.length + b.calls.length;
  for (const { status } of await sendMany(rig, 3)) expect(status).toBe(503);
  expect(a.calls.length + b.calls.length).toBe(count);
  evacuate(rig, []);
  expect((await sendRequest(rig.address)).status).toBe(200);
  await rig.close();
}

/** An engine that starts in an evacuated zone, or is listed only later, gets nothing either. */
async function laterEngines(): Promise<void> {
  const a = await startStandIn('e1', streamEvents(3), 'zone-a');
  const b = await startStandIn('e2', streamEvents(3), 'zone-b');
  const rig = await startGatewayFixture({ engines: [a], deployment: deployment([route({})]) });
  evacuate(rig, ['zone-b']);
  rig.publishEngines([b]);
  for (const { status } of await sendMany(rig, 3)) expect(status).toBe(503);
  rig.publishEngines([a, b]);
  for (const { status } of await sendMany(rig, 6)) expect(status).toBe(200);
  expect(b.calls.length).toBe(0);
  await rig.close();
  b.close();
}

/** What was turned away in one zone is not sent again to the zone that is evacuated meanwhile. */
async function retries(): Promise<void> {
  const b = await startStandIn('e2', streamEvents(3), 'zone-b');
  const a = await startStandIn('e1', evacuateOther, 'zone-a');
  const rig = await startGatewayFixture({
    engines: [a],
    deployment: deployment([route({ kind: 'safe', maxAttempts: 3 })]),
    settings: PATIENT,
  });
  function evacuateOther(call: Parameters<typeof rejectRequest>[0]): void {
    rig.publishEngines([a, b]);
    evacuate(rig, ['zone-b']);
    if (call.before === 0) rejectRequest(call);
    else resetConnection(call);
  }
  const answers = await sendMany(rig, 4);
  for (const { status } of answers) expect(status).not.toBe(200);
  expect(a.calls.length).toBeGreaterThan(0);
  expect(b.calls.length).toBe(0);
  await rig.close();
  b.close();
}

/** The evacuation comes while a request that was placed before waits for its connection. */
async function chosenBefore(): Promise<void> {
  const a = await startStandIn('e1', streamEvents(3), 'zone-a');
  const b = await startStandIn('e2', streamEvents(3), 'zone-b');
  const rig = await startGatewayFixture({
    engines: [a],
    deployment: deployment([route({})]),
    onConnect: connected,
  });
  function connected(at: string): void {
    if (at !== a.at) return;
    rig.publishEngines([a, b]);
    evacuate(rig, ['zone-a']);
  }
  expect((await sendRequest(rig.address)).status).toBe(200);
  expect([a.calls.length, b.calls.length]).toEqual([0, 1]);
  await rig.close();
  b.close();
}

/** A stream that has begun is not broken off by an evacuation. */
async function streamsGoOn(): Promise<void> {
  let finish: (() => void) | undefined;
  function hold(call: Parameters<ReturnType<typeof streamEvents>>[0]): void {
    const { res } = call;
    res.writeHead(200, {
      'Plumhollow-Attempt-Id': String(call.req.headers['plumhollow-attempt-id']),
      'Plumhollow-Response-Seal': 's.1',
      'Plumhollow-Weight-Versions': 'm:1',
      'Content-Type': 'text/event-stream',
    });
    res.write('id: 1\ndata: piece 1\n\n');
    finish = end;
    function end(): void {
      res.end('id: 2\ndata: piece 2\n\n');
    }
  }
  const a = await startStandIn('e1', hold, 'zone-a');
  const rig = await startGatewayFixture({ engines: [a], deployment: deployment([route({})]) });
  let began = false;
  function onPiece(): void {
    if (began) return;
    began = true;
    evacuate(rig, ['zone-a']);
    finish!();
  }
  const got = await sendRequest(rig.address, { onPiece });
  expect(got).toMatchObject({ status: 200, isComplete: true });
  expect(got.body).toContain('piece 2');
  await rig.close();
}

/** A router that starts amid an evacuation goes by it from its first request on. */
async function knownAtStart(): Promise<void> {
  const a = await startStandIn('e1', streamEvents(3), 'zone-a');
  const b = await startStandIn('e2', streamEvents(3), 'zone-b');
  const rig = await startGatewayFixture({ hasLease: false });
  evacuate(rig, ['zone-a']);
  rig.publishEngines([a, b]);
  rig.publish(CONTROL_KEYS.deployment, { revision: 1, doc: deployment([route({})]) });
  rig.setLease(true);
  for (const { status } of await sendMany(rig, 5)) expect(status).toBe(200);
  expect([a.calls.length, b.calls.length]).toEqual([0, 5]);
  await rig.close();
  a.close();
  b.close();
}

test('no request goes to the engines of an evacuated zone, until it is taken back', newRequests);
test('an engine that starts in an evacuated zone gets no request', laterEngines);
test('no retry goes to a zone that was evacuated meanwhile', retries);
test('a request that was placed before the evacuation goes elsewhere', chosenBefore);
test('an answer that has begun goes on through an evacuation', streamsGoOn);
test('a router that starts amid an evacuation goes by it at once', knownAtStart);
