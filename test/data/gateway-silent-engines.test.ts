import { makeRawHttpNetwork } from '../../src/shared/system/raw-http';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';
import {
  AMPLE_RETRY_BUDGET,
  sendRequest,
  deployment,
  EngineCall,
  route,
  engineHeaders,
  startGatewayFixture,
  startStandIn,
  streamEvents,
} from './gateway-fixture';

const QUICK = { resumable: true, aimMs: 30, gapAimMs: 10, maxAttempts: 2 };

function turn(): Promise<void> {
  function wait(done: () => void): void {
    setImmediate(done);
  }
  return new Promise(wait);
}

/** Holds the event loop up. */
function holdUp(ms: number): void {
  const since = performance.now();
  while (performance.now() - since < ms);
}

async function turnsFor(ms: number): Promise<void> {
  const since = performance.now();
  while (performance.now() - since < ms) await turn();
}

async function pausesAlone(): Promise<void> {
  let finish: (() => void) | undefined;
  function pauses(c: EngineCall): void {
    c.res.writeHead(200, engineHeaders(c));
    c.res.write('id: 1\ndata: x\n\n');
    function end(): void {
      c.res.end('id: 2\ndata: y\n\n');
    }
    finish = end;
  }
  const e = await startStandIn('e1', pauses);
  const rig = await startGatewayFixture({
    engines: [e],
    deployment: deployment([route(QUICK)]),
    settings: AMPLE_RETRY_BUDGET,
  });
  const got = sendRequest(rig.address);
  while (finish === undefined) await turn();
  await turnsFor(300);
  finish();
  expect(await got).toMatchObject({
    status: 200,
    body: 'id: 1\ndata: x\n\nid: 2\ndata: y\n\n',
    isComplete: true,
  });
  expect(e.calls.length).toBe(1);
  await rig.close();
}

async function heldUpRouter(): Promise<void> {
  let running: EngineCall | undefined;
  function begins(c: EngineCall): void {
    c.res.writeHead(200, engineHeaders(c));
    c.res.write('id: 1\ndata: x\n\n');
    running = c;
  }
  const a = await startStandIn('e1', begins);
  const b = await startStandIn('e2', begins);
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route(QUICK)]),
    settings: AMPLE_RETRY_BUDGET,
  });
  const got = sendRequest(rig.address);
  while (running === undefined) await turn();
  for (let i = 2; i < 5; i++) {
    running.res.write(`id: ${i}\ndata: x\n\n`);
    holdUp(150);
    await turn();
    await turn();
  }
  running.res.end('id: 5\ndata: x\n\n');
  expect(await got).toMatchObject({ status: 200, isComplete: true });
  expect(a.calls.length + b.calls.length).toBe(1);
  expect(rig.gateway.counts.resumed).toBe(0);
  await rig.close();
}

async function connectsWhileHeldUp(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(1));
  const coming = makeRawHttpNetwork().connect(e.at, 20);
  holdUp(60);
  const connection = (await coming).unsafeCoerce();
  connection.close();
  e.close();
}

async function wireWhileHeldUp(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(1));
  const wire = makeSystemNetwork(20);
  const asking = wire.request({
    address: e.at,
    method: 'GET',
    path: '/x',
    headers: {},
    timeoutMs: 2000,
  });
  await turn();
  holdUp(60);
  (await asking).unsafeCoerce().cancel();
  const dialling = wire.connect(e.at, 20);
  holdUp(60);
  (await dialling).unsafeCoerce().close();
  e.close();
}

test('calls and streams whose connection came up during a hold-up go on', wireWhileHeldUp);
test('a silent engine keeps its stream while no other engine would take it', pausesAlone);
test('a router that was held up takes no engine for silent whose bytes had arrived', heldUpRouter);
test('a connection that came up while the event loop was held up is used', connectsWhileHeldUp);
