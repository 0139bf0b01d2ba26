import http from 'node:http';
import {
  AMPLE_RETRY_BUDGET,
  sendRequest,
  deployment,
  EngineCall,
  CallerResponse,
  resetConnection,
  route,
  engineHeaders,
  startGatewayFixture,
  startStandIn,
  streamEvents,
  rejectRequest,
} from './gateway-fixture';

const FIVE = streamOf(1, 5);

function streamOf(from: number, to: number): string {
  let out = '';
  for (let i = from; i <= to; i++) out += `id: ${i}\ndata: piece ${i}\n\n`;
  return out;
}

/** Gives two events and a half of a third, then breaks off. */
function breaksOff(c: EngineCall): void {
  c.res.writeHead(200, engineHeaders(c, { 'Content-Type': 'text/event-stream' }));
  c.res.write(streamOf(1, 2) + 'id: 3\nda');
  function cut(): void {
    c.req.socket.destroy();
  }
  setImmediate(cut);
}

/** Takes the request and says nothing. */
function silent(): void {
  // does nothing on purpose
}

async function brokenOff(): Promise<void> {
  const e = await startStandIn('e1', breaksOff);
  const other = await startStandIn('e2', breaksOff);
  const rig = await startGatewayFixture({
    engines: [e, other],
    deployment: deployment([route({})]),
    settings: AMPLE_RETRY_BUDGET,
  });
  const got = await sendRequest(rig.address);
  expect(got).toMatchObject({ status: 200, isComplete: false });
  expect(e.calls.length + other.calls.length).toBe(1);
  await rig.close();
}

async function takenUp(): Promise<void> {
  const a = await startStandIn('e1', breaksOff);
  const b = await startStandIn('e2', streamEvents(5), 'zone-b');
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({ resumable: true })]),
    settings: AMPLE_RETRY_BUDGET,
  });
  for (let i = 0; i < 4; i++) {
    const got = await sendRequest(rig.address);
    expect(got).toMatchObject({ status: 200, body: FIVE, isComplete: true });
  }
  function last(q: http.IncomingMessage): string | undefined {
    return q.headers['last-event-id'] as string | undefined;
  }
  expect(a.calls.length).toBeGreaterThan(0);
  expect(b.calls.map(last)).toContain('2');
  await rig.close();
}

async function takenUpByCaller(): Promise<void> {
  const a = await startStandIn('e1', streamEvents(5));
  const rig = await startGatewayFixture({
    engines: [a],
    deployment: deployment([route({ resumable: true })]),
  });
  const got = await sendRequest(rig.address, { headers: { 'Last-Event-Id': '3' } });
  expect(got).toMatchObject({ status: 200, body: streamOf(4, 5), isComplete: true });
  await rig.close();
}

/** Starts anew where it was to go on. */
function startsAnew(c: EngineCall): void {
  c.res.writeHead(200, engineHeaders(c, { 'Content-Type': 'text/event-stream' }));
  c.res.end(FIVE);
}

async function nothingTwice(): Promise<void> {
  const a = await startStandIn('e1', breaksOff);
  const b = await startStandIn('e2', startsAnew, 'zone-b');
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({ resumable: true })]),
    settings: AMPLE_RETRY_BUDGET,
  });
  expect(await sendRequest(rig.address)).toMatchObject({ body: streamOf(1, 2), isComplete: false });
  expect({ a: a.calls.length, b: b.calls.length }).toEqual({ a: 1, b: 1 });
  await rig.close();
}

/** Sends more behind its whole answer, in one piece. */
function surplusAtOnce(c: EngineCall): void {
  const id = String(c.req.headers['plumhollow-attempt-id']);
  c.req.socket.write(
    `HTTP/1.1 200 OK\r\nPlumhollow-Attempt-Id: ${id}\r\nPlumhollow-Response-Seal: s\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nPlumhollow-Attempt-Id: other\r\nContent-Length: 5\r\n\r\nother`,
  );
}

/** Sends more behind its whole answer, a little later. */
function surplusLater(c: EngineCall): void {
  c.res.writeHead(200, engineHeaders(c, { 'Content-Length': '2' }));
  c.res.end('ok');
  function more(): void {
    c.req.socket.write('HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother');
  }
  setImmediate(more);
}

async function surplus(): Promise<void> {
  for (const garbles of [surplusAtOnce, surplusLater]) {
    const e = await startStandIn('e1', garbles);
    const rig = await startGatewayFixture({ engines: [e], deployment: deployment([route({})]) });
    const agent = new http.Agent({ keepAlive: true, maxSockets: 1 });
    for (let i = 0; i < 5; i++)
      expect(await sendRequest(rig.address, { agent })).toMatchObject({
        status: 200,
        body: 'ok',
        isComplete: true,
      });
    expect(e.connections).toBeGreaterThanOrEqual(4);
    agent.destroy();
    await rig.close();
  }
}

function otherInstance(c: EngineCall): void {
  c.res.writeHead(421, {
    'Plumhollow-Attempt-Id': String(c.req.headers['plumhollow-attempt-id']),
    'Plumhollow-Instance-Id': 'another',
  });
  c.res.end();
}

async function misdirected(): Promise<void> {
  const a = await startStandIn('e1', otherInstance);
  const b = await startStandIn('e2', streamEvents(5), 'zone-b');
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({})]),
    settings: AMPLE_RETRY_BUDGET,
  });
  for (let i = 0; i < 6; i++)
    expect(await sendRequest(rig.address)).toMatchObject({ status: 200, body: FIVE });
  expect(a.calls.length).toBe(1);
  await rig.close();
}

async function misdirectedAlone(): Promise<void> {
  const a = await startStandIn('e1', otherInstance);
  const rig = await startGatewayFixture({
    engines: [a],
    deployment: deployment([route({ maxAttempts: 1 })]),
  });
  const got = await sendRequest(rig.address);
  expect(got.status).toBe(503);
  expect(Number(got.headers['retry-after'])).toBeGreaterThan(0);
  await rig.close();
}

async function budgeted(): Promise<void> {
  const a = await startStandIn('e1', rejectRequest);
  const b = await startStandIn('e2', rejectRequest);
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({})]),
    settings: { retryWindowMs: 60000, retryRatio: 0.2, retrySlack: 0, contactMs: 1 },
  });
  for (let i = 0; i < 50; i++) expect((await sendRequest(rig.address)).status).toBe(503);
  const { attempts, retries: furtherAttempts } = rig.gateway.counts;
  expect(attempts).toBe(a.calls.length + b.calls.length);
  expect(furtherAttempts).toBeGreaterThan(0);
  expect(furtherAttempts).toBeLessThanOrEqual(10);
  await rig.close();
}

async function timeUp(): Promise<void> {
  const a = await startStandIn('e1', silent);
  const b = await startStandIn('e2', silent);
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([
      route({}),
      route({ name: 's', prefix: '/s/', timeoutMs: 100, resumable: true }),
    ]),
  });
  const got = await Promise.all([
    sendRequest(rig.address, { headers: { 'Plumhollow-Deadline-Ms': '100' } }),
    sendRequest(rig.address, { path: '/s/x' }),
  ]);
  expect(got.map(statusOf)).toEqual([504, 504]);
  expect(a.calls.length + b.calls.length).toBe(2);
  await rig.close();
}

function statusOf(g: CallerResponse): number {
  return g.status;
}

async function darkEngine(): Promise<void> {
  const a = await startStandIn('e1', silent);
  const b = await startStandIn('e2', streamEvents(5), 'zone-b');
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({ resumable: true, aimMs: 30, gapAimMs: 10 })]),
    settings: AMPLE_RETRY_BUDGET,
  });
  for (let i = 0; i < 3; i++)
    expect(await sendRequest(rig.address)).toMatchObject({
      status: 200,
      body: FIVE,
      isComplete: true,
    });
  expect(a.calls.length).toBeGreaterThan(0);
  await rig.close();
}

function refusesToRun(c: EngineCall): void {
  c.res.writeHead(500, engineHeaders(c, { 'Content-Type': 'text/plain' }));
  c.res.end('own fault');
}

async function ownFault(): Promise<void> {
  const a = await startStandIn('e1', refusesToRun);
  const rig = await startGatewayFixture({ engines: [a], deployment: deployment([route({})]) });
  const got = await sendRequest(rig.address);
  expect(got).toMatchObject({ status: 500, body: 'own fault' });
  expect(got.headers['plumhollow-response-seal']).toBe('s.1');
  await rig.close();
}

function unsealed(c: EngineCall): void {
  c.res.writeHead(200, { 'Plumhollow-Attempt-Id': String(c.req.headers['plumhollow-attempt-id']) });
  c.res.end('no stamp');
}

function doubtful503(c: EngineCall): void {
  c.res.writeHead(503, engineHeaders(c));
  c.res.end('ran');
}

function noAnswer(c: EngineCall): void {
  c.req.socket.end('SSH-2.0-Other\r\n');
}

function unframed(c: EngineCall): void {
  const id = String(c.req.headers['plumhollow-attempt-id']);
  c.req.socket.end(
    `HTTP/1.1 200 OK\r\nPlumhollow-Attempt-Id: ${id}\r\nPlumhollow-Response-Seal: s\r\nConnection: close\r\n\r\npart`,
  );
}

async function noPromises(): Promise<void> {
  for (const answer of [unsealed, doubtful503, noAnswer, resetConnection]) {
    const a = await startStandIn('e1', answer);
    const b = await startStandIn('e2', answer);
    const rig = await startGatewayFixture({
      engines: [a, b],
      deployment: deployment([route({})]),
      settings: AMPLE_RETRY_BUDGET,
    });
    expect((await sendRequest(rig.address)).status).toBe(502);
    expect(a.calls.length + b.calls.length).toBe(1);
    await rig.close();
  }
  const a = await startStandIn('e1', unframed);
  const rig = await startGatewayFixture({ engines: [a], deployment: deployment([route({})]) });
  expect((await sendRequest(rig.address)).isComplete).toBe(false);
  await rig.close();
}

async function callerGone(): Promise<void> {
  let closed: () => void;
  function wait(done: () => void): void {
    closed = done;
  }
  const seen = new Promise<void>(wait);
  function endless(c: EngineCall): void {
    c.res.writeHead(200, engineHeaders(c));
    c.res.write('id: 1\ndata: x\n\n');
    c.req.socket.on('close', closed);
  }
  const a = await startStandIn('e1', endless);
  const rig = await startGatewayFixture({ engines: [a], deployment: deployment([route({})]) });
  function leave(_text: string, req: http.ClientRequest): void {
    req.destroy();
  }
  await sendRequest(rig.address, { onPiece: leave });
  await seen;
  expect(rig.gateway.counts).toMatchObject({ attempts: 1, unknown: 0 });
  await rig.close();
}

async function unreachable(): Promise<void> {
  const b = await startStandIn('e2', streamEvents(5));
  const gone = await startStandIn('e1', silent);
  gone.close();
  const rig = await startGatewayFixture({
    engines: [gone, b],
    deployment: deployment([route({ maxAttempts: 1 })]),
  });
  for (let i = 0; i < 4; i++)
    expect(await sendRequest(rig.address)).toMatchObject({ status: 200, body: FIVE });
  expect(rig.gateway.counts.retries).toBe(0);
  await rig.close();
}

test('a stream that its engine breaks off is broken off, and not sent again', brokenOff);
test('a stream that may be resumed goes on at another engine inside the same answer', takenUp);
test('a caller that takes a stream up again gets what follows', takenUpByCaller);
test('no event is passed on twice where an engine starts anew', nothingTwice);
test('bytes behind an answer belong to nobody, and their connection is not used again', surplus);
test('an engine at whose address another stands gets no more', misdirected);
test('what no engine has run is refused with a time to come again', misdirectedAlone);
test('further attempts stay within their share', budgeted);
test('a request whose time is up while it may run gets 504', timeUp);
test('an engine that is silent altogether loses its streams to another', darkEngine);
test("an engine's own failure goes back as it is", ownFault);
test("what is no engine's answer is never passed on, nor told as not run", noPromises);
test('a caller that goes away ends its attempt', callerGone);
test('an engine that refuses connections costs no attempt', unreachable);
