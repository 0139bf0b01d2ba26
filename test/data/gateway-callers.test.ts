import {
  deployment,
  GatewayFixture,
  route,
  startGatewayFixture,
  startStandIn,
  streamEvents,
} from './gateway-fixture';
import { bareCaller, BareCaller } from './bare-caller';
import { heldStreams } from './held-streams';

const REQUEST_ID = 'caller-1';

function request(id = REQUEST_ID, body = 'hello'): string {
  return `POST /a/x HTTP/1.1
Host: desk.example
Plumhollow-Attempt-Id: ${id}
Plumhollow-Deadline-Ms: 20000
Authorization: Token k1
Content-Length: ${body.length}

${body}`;
}

const ROUTES = [route({ timeoutMs: 20000 })];

function withLimits(idleTimeoutMs: number, headerTimeoutMs = 3000): ReturnType<typeof deployment> {
  const d = deployment(ROUTES);
  return { ...d, limits: { ...d.limits, idleTimeoutMs, headerTimeoutMs } };
}

function tellLimits(rig: GatewayFixture, idleTimeoutMs: number): void {
  rig.publish('deployment', { revision: 2, doc: withLimits(idleTimeoutMs) });
}

/** A connection of the caller that rests from its first answer on; what it is told under the limits of now. */
async function resting(rig: GatewayFixture): Promise<BareCaller> {
  const c = await bareCaller(rig.address);
  c.write(request('resting'));
  await c.has('first');
  return c;
}

/** A router before one engine, whose streams go on until they are finished. */
async function startHeld(told: ReturnType<typeof deployment>): Promise<{
  engine: ReturnType<typeof heldStreams>;
  e: Awaited<ReturnType<typeof startStandIn>>;
  rig: GatewayFixture;
}> {
  const engine = heldStreams();
  const e = await startStandIn('e1', engine.answer);
  const rig = await startGatewayFixture({ engines: [e], deployment: told });
  return { engine, e, rig };
}

async function shorterIdleInStream(): Promise<void> {
  const { engine, rig } = await startHeld(withLimits(15000));
  const told = await bareCaller(rig.address);
  told.write(request());
  expect(await told.has('first')).toBe(true);
  expect(told.received()).toContain('Keep-Alive: timeout=12');
  tellLimits(rig, 40);
  engine.finish();
  expect(await told.has('last')).toBe(true);
  const later = await resting(rig);
  engine.finish();
  expect(await later.has('last')).toBe(true);
  expect(later.received()).toContain('Keep-Alive: timeout=1\r');
  await later.closed;
  told.write(request('second'));
  expect(await told.has('Plumhollow-Attempt-Id: second')).toBe(true);
  engine.finish();
  told.destroy();
  await rig.close();
}

async function shorterIdleBeforeStreamEnds(): Promise<void> {
  const { engine, rig } = await startHeld(withLimits(40));
  const other = await resting(rig);
  engine.finish();
  await other.has('last');
  const c = await bareCaller(rig.address);
  c.write(request());
  expect(await c.has('first')).toBe(true);
  await other.closed;
  engine.finish();
  expect(await c.has('last')).toBe(true);
  c.destroy();
  await rig.close();
}

async function toldTimeIsKept(): Promise<void> {
  const { engine, rig } = await startHeld(withLimits(100));
  const c = await resting(rig);
  engine.finish();
  await c.has('last');
  const since = performance.now();
  await c.closed;
  expect(c.received()).toContain('Keep-Alive: timeout=1\r');
  expect(performance.now() - since).toBeGreaterThan(1000);
  await rig.close();
}

async function longerIdleWhileResting(): Promise<void> {
  const { engine, rig } = await startHeld(withLimits(1100));
  const early = await resting(rig);
  engine.finish();
  await early.has('last');
  const since = performance.now();
  tellLimits(rig, 3000);
  await early.closed;
  expect(performance.now() - since).toBeGreaterThan(3000 * 0.8);
  await rig.close();
}

async function nextRequestAtTheLastMoment(): Promise<void> {
  const { engine, rig } = await startHeld(withLimits(100));
  const c = await resting(rig);
  engine.finish();
  await c.has('last');
  const since = performance.now();
  while (performance.now() - since < 900) await turn();
  c.write(request('second'));
  while (performance.now() - since < 1600);
  expect(await c.has('Plumhollow-Attempt-Id: second')).toBe(true);
  engine.finish();
  c.destroy();
  await rig.close();
}

async function bodyThatCannotBeRead(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(1));
  const rig = await startGatewayFixture({ engines: [e], deployment: withLimits(15000) });
  const c = await bareCaller(rig.address);
  c.write(request().replace('Content-Length: 5', 'Transfer-Encoding: chunked') + 'no chunk\n');
  await c.closed;
  expect(c.received()).toContain(' 400 ');
  expect(e.calls.length).toBe(0);
  await rig.close();
}

async function partOfNextHead(): Promise<void> {
  const engine = heldStreams();
  const e = await startStandIn('e1', engine.answer);
  const rig = await startGatewayFixture({
    engines: [e],
    deployment: withLimits(15000, 100),
    settings: { contactMs: 100 },
  });
  const c = await bareCaller(rig.address);
  c.write(request() + 'POST /a/x HT');
  expect(await c.has('first')).toBe(true);
  const slow = await bareCaller(rig.address);
  slow.write('POST /a/x HT');
  await slow.closed;
  expect(slow.received()).toContain(' 408 ');
  engine.finish();
  expect(await c.has('last')).toBe(true);
  c.destroy();
  await rig.close();
}

async function bytesThatAreNoRequest(): Promise<void> {
  const { engine, rig, e } = await startHeld(withLimits(15000));
  const c = await bareCaller(rig.address);
  c.write(request() + '\x00\x01 no request\n\n');
  expect(await c.has('first')).toBe(true);
  engine.finish();
  expect(await c.has('last')).toBe(true);
  await c.closed;
  expect(c.received()).not.toContain(' 400 ');
  expect(e.calls.length).toBe(1);
  const alone = await bareCaller(rig.address);
  alone.write('\x00\x01 no request\n\n');
  await alone.closed;
  expect(alone.received()).toContain(' 400 ');
  await rig.close();
}

async function pipelined(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(1));
  const rig = await startGatewayFixture({ engines: [e], deployment: withLimits(15000) });
  const c = await bareCaller(rig.address);
  c.write(request('one') + request('two', 'second body') + request('three'));
  expect(await c.has('Plumhollow-Attempt-Id: three')).toBe(true);
  const order = [...c.received().matchAll(/Attempt-Id: (\w+)/g)].map(firstGroup);
  expect(order).toEqual(['one', 'two', 'three']);
  expect([...e.bodies].sort()).toEqual(['hello', 'hello', 'second body']);
  c.destroy();
  await rig.close();
}

function firstGroup(m: RegExpMatchArray): string {
  return m[1];
}

async function pipelinedWhileLeaving(): Promise<void> {
  const engine = heldStreams();
  const e = await startStandIn('e1', engine.answer);
  const rig = await startGatewayFixture({
    engines: [e],
    deployment: withLimits(15000),
    settings: { contactMs: 100, graceMs: 5000 },
  });
  const c = await bareCaller(rig.address);
  c.write(request('one'));
  const running = await bareCaller(rig.address);
  running.write(request('two') + request('three'));
  expect(await c.has('first')).toBe(true);
  expect(await running.has('first')).toBe(true);
  const over = rig.gateway.drain();
  while (engine.held() < 3) await turn();
  engine.finish();
  expect(await running.has('Plumhollow-Attempt-Id: three')).toBe(true);
  await running.has('last\n\n');
  engine.finish();
  await over;
  c.destroy();
  running.destroy();
  await rig.close();
}

function turn(): Promise<void> {
  function wait(done: () => void): void {
    setImmediate(done);
  }
  return new Promise(wait);
}

async function requestAfterLastAnswer(): Promise<void> {
  const { engine, rig, e } = await startHeld(withLimits(15000));
  const c = await bareCaller(rig.address);
  c.write(request('one').replace('Authorization', 'Connection: close\nAuthorization'));
  expect(await c.has('first')).toBe(true);
  c.write(request('two'));
  const other = await bareCaller(rig.address);
  other.write(request('other'));
  expect(await other.has('first')).toBe(true);
  engine.finish();
  await c.closed;
  expect(c.received()).toContain('last');
  expect(e.calls.map(idOf)).toEqual(['one', 'other']);
  other.destroy();
  await rig.close();
}

function idOf(q: { headers: Record<string, string | string[] | undefined> }): unknown {
  return q.headers['plumhollow-attempt-id'];
}

async function sameIdAgain(): Promise<void> {
  const { engine, rig, e } = await startHeld(withLimits(15000));
  const first = await bareCaller(rig.address);
  first.write(request('one'));
  expect(await first.has('first')).toBe(true);
  const again = await bareCaller(rig.address);
  again.write(request('one'));
  expect(await again.has('HTTP/1.1')).toBe(true);
  expect(again.received()).toContain(' 502 ');
  expect(e.calls.length).toBe(1);
  engine.finish();
  expect(await first.has('last')).toBe(true);
  first.destroy();
  again.destroy();
  await rig.close();
}

async function admittedBefore(): Promise<void> {
  const engine = heldStreams();
  const e = await startStandIn('e1', engine.answer);
  const d = withLimits(15000);
  const rig = await startGatewayFixture({ engines: [e], deployment: d });
  const c = await bareCaller(rig.address);
  c.write(request());
  expect(await c.has('first')).toBe(true);
  const slower = { ...d, routes: [{ ...ROUTES[0], timeoutMs: 1 }] };
  const withdrawn = { ...d, tenants: [] };
  const dropped = { ...d, routes: [], pools: [], tenants: [] };
  for (const [i, doc] of [slower, withdrawn, dropped].entries())
    rig.publish('deployment', { revision: 2 + i, doc });
  rig.publishEngines([{ ...e, leaving: true }]);
  rig.publishEngines([]);
  const refused = await bareCaller(rig.address);
  refused.write(request('late'));
  expect(await refused.has(' 404 ')).toBe(true);
  engine.finish();
  expect(await c.has('last')).toBe(true);
  c.destroy();
  refused.destroy();
  await rig.close();
}

test(
  'an idle time made shorter in a stream leaves the time that its caller was told',
  shorterIdleInStream,
);
test('an idle time that ends elsewhere cuts no stream', shorterIdleBeforeStreamEnds);
test(
  'a connection rests for as long as its caller was told, however short the limit',
  toldTimeIsKept,
);
test('a connection at rest is kept for as long as a longer limit says', longerIdleWhileResting);
test('a part of a next request does not cut the answer in progress', partOfNextHead);
test('bytes that are no request do not cut the answer in progress', bytesThatAreNoRequest);
test(
  'a request that has arrived when its connection has rested its time is answered',
  nextRequestAtTheLastMoment,
);
test('a body that cannot be read gets 400 and reaches no engine', bodyThatCannotBeRead);
test('requests that come before their turn are answered in order, each with its own', pipelined);
test(
  'a router that leaves answers all requests that a connection has brought',
  pipelinedWhileLeaving,
);
test('what comes after the last request of a connection is not sent on', requestAfterLastAnswer);
test('a request that may run once is not run again while it is under way', sameIdAgain);
test('a request that was admitted ends whole, whatever later deployments drop', admittedBefore);
