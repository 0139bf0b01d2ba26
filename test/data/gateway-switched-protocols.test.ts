/**
 * Engines that answer with a change of protocols, or with a status that is not final.
 */

import {
  AMPLE_RETRY_BUDGET,
  deployment,
  EngineCall,
  engineHeaders,
  route,
  sendRequest,
  startGatewayFixture,
  startStandIn,
  streamEvents,
} from './gateway-fixture';

const ANSWER = streamEvents(2);
/** Well below the time of a request, which is 2 s. */
const SOON_MS = 1500;

/** Sends the head of a change of protocols for the first request, and answers those after it. */
function switchProtocolsOnce(call: EngineCall): void {
  if (call.before > 0) return ANSWER(call);
  call.req.socket.write('HTTP/1.1 101 X\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n');
}

function sendHead(statusLine: string): (call: EngineCall) => void {
  function answer(call: EngineCall): void {
    let head = `HTTP/1.1 ${statusLine}\r\nContent-Length: 0\r\n`;
    for (const [name, value] of Object.entries(engineHeaders(call)))
      head += `${name}: ${value}\r\n`;
    call.req.socket.write(`${head}\r\n`);
  }
  return answer;
}

/** The caller never got an answer, and the request stayed in flight at the router for good. */
async function isAnsweredAtOnce(): Promise<void> {
  const engine = await startStandIn('e1', switchProtocolsOnce);
  const rig = await startGatewayFixture({
    engines: [engine],
    deployment: deployment([route({ kind: 'unsafe', maxAttempts: 1 })]),
    settings: AMPLE_RETRY_BUDGET,
  });
  const startedAt = performance.now();
  expect(await sendRequest(rig.address)).toMatchObject({ status: 502, isComplete: true });
  expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
  expect(await sendRequest(rig.address)).toMatchObject({ status: 200, isComplete: true });
  expect(rig.gateway.counts).toMatchObject({ received: 2, answered: 1, unknown: 1 });
  await rig.close();
}

async function isRetriedElsewhere(): Promise<void> {
  const engine = await startStandIn('e1', switchProtocolsOnce);
  const other = await startStandIn('e2', switchProtocolsOnce, 'zone-b');
  const rig = await startGatewayFixture({
    engines: [engine, other],
    deployment: deployment([route({ kind: 'safe', maxAttempts: 3 })]),
    settings: AMPLE_RETRY_BUDGET,
  });
  const outcomes = [await sendRequest(rig.address), await sendRequest(rig.address)];
  expect(outcomes.map(statusOf).sort()).toEqual([200, 502]);
  expect(engine.calls.length + other.calls.length).toBe(3);
  await rig.close();
}

function statusOf({ status }: { status: number }): number {
  return status;
}

/** A status that can't be written to a caller made the router's own code fail. */
async function isNoAnswer(statusLine: string): Promise<void> {
  const engine = await startStandIn('e1', sendHead(statusLine));
  const rig = await startGatewayFixture({
    engines: [engine],
    deployment: deployment([route({ kind: 'unsafe', maxAttempts: 1 })]),
    settings: AMPLE_RETRY_BUDGET,
  });
  const startedAt = performance.now();
  expect(await sendRequest(rig.address)).toMatchObject({ status: 502, isComplete: true });
  expect(performance.now() - startedAt).toBeLessThan(SOON_MS);
  await rig.close();
}

test('a caller whose engine changes the protocol is answered at once', isAnsweredAtOnce);
test('a request that may run twice goes to another engine then', isRetriedElsewhere);
test.each(['101 X', '000 X', '099 X'])('a status line of %s is no answer', isNoAnswer);
