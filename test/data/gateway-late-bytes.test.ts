import net from 'node:net';
import {
  AMPLE_RETRY_BUDGET,
  sendRequest,
  deployment,
  GatewayFixture,
  route,
  startGatewayFixture,
} from './gateway-fixture';
import { say } from './bare-caller';

/** A request as it came to an engine. */
interface Arrived {
  id: string;
  socket: net.Socket;
  /** Requests that came before it, on all connections. */
  before: number;
  /** Requests that came before it on its connection. */
  beforeHere: number;
}

/** An engine on bare sockets: its bytes are a test's own. */
interface BareEngine {
  id: string;
  at: string;
  arrived: Arrived[];
  sockets: net.Socket[];
  /** Comes once so many requests were read whole. */
  has: (count: number) => Promise<void>;
  close: () => void;
}

/** Starts an engine that calls `taken` with each request; a request counts once its head has come. */
async function bareEngine(id: string, taken: (a: Arrived) => void): Promise<BareEngine> {
  const arrived: Arrived[] = [];
  const sockets: net.Socket[] = [];
  const waiting: { count: number; done: () => void }[] = [];
  const server = net.createServer(accept);
  function accept(socket: net.Socket): void {
    sockets.push(socket);
    let held = '';
    let beforeHere = 0;
    function data(bytes: Buffer): void {
      held += bytes.toString('latin1');
      const head = held.indexOf('\r\n\r\n');
      if (head < 0) return;
      const length = Number(/content-length: (\d+)/i.exec(held)?.[1] ?? 0);
      if (length < SMALL && held.length < head + 4 + length) return;
      const name = /attempt-id: (\S+)/i.exec(held)![1];
      held = '';
      const a = { id: name, socket, before: arrived.length, beforeHere: beforeHere++ };
      arrived.push(a);
      taken(a);
      for (const w of waiting) if (arrived.length >= w.count) w.done();
    }
    socket.on('data', data);
    socket.on('error', nothing);
  }
  function listen(done: () => void): void {
    server.listen(0, '127.0.0.1', done);
  }
  await new Promise<void>(listen);
  function has(count: number): Promise<void> {
    function wait(done: () => void): void {
      if (arrived.length >= count) done();
      else waiting.push({ count, done });
    }
    return new Promise(wait);
  }
  function close(): void {
    server.close();
    for (const s of sockets) s.destroy();
  }
  const { port } = server.address() as net.AddressInfo;
  return { id, at: `127.0.0.1:${port}`, arrived, sockets, has, close };
}

/** Bodies from this size on are taken to be read in part only. */
const SMALL = 1000;

function nothing(): void {
  // does nothing on purpose
}

function answerOf(id: string, body: string): string {
  return `HTTP/1.1 200 OK\r\nPlumhollow-Attempt-Id: ${id}\r\nPlumhollow-Response-Seal: s\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
}

function answers(a: Arrived): void {
  a.socket.write(answerOf(a.id, `of ${a.id}`));
}

/** Two engines and a router whose budget allows further attempts, on a route that allows two. */
async function rigOf(taken: (a: Arrived) => void): Promise<{
  rig: GatewayFixture;
  engines: BareEngine[];
  count: () => number;
  close: () => Promise<void>;
}> {
  const engines = [await bareEngine('e1', taken), await bareEngine('e2', taken)];
  const rig = await startGatewayFixture({
    deployment: deployment([
      route({ kind: 'unsafe' }),
      route({ name: 's', prefix: '/s/', kind: 'safe' }),
    ]),
    settings: AMPLE_RETRY_BUDGET,
  });
  rig.publishEngines(engines);
  function count(): number {
    return engines[0].arrived.length + engines[1].arrived.length;
  }
  async function close(): Promise<void> {
    await rig.close();
    for (const e of engines) e.close();
  }
  return { rig, engines, count, close };
}

const WARMING = 3;

/** Keeps a connection to the engine that comes first; how many requests that took. */
async function warm(rig: GatewayFixture): Promise<number> {
  for (let i = 0; i < WARMING; i++) expect((await sendRequest(rig.address)).status).toBe(200);
  return WARMING;
}

async function resetOnReuse(): Promise<void> {
  let forget = false;
  function forgets(a: Arrived): void {
    if (forget && a.beforeHere > 0) a.socket.resetAndDestroy();
    else answers(a);
  }
  const r = await rigOf(forgets);
  const asked = await warm(r.rig);
  forget = true;
  expect((await sendRequest(r.rig.address)).status).toBe(502);
  expect(r.count()).toBe(asked + 1);
  expect((await sendRequest(r.rig.address, { path: '/s/x' })).status).toBe(200);
  await r.close();
}

async function forgottenWhileIdle(): Promise<void> {
  const r = await rigOf(answers);
  const asked = await warm(r.rig);
  for (const e of r.engines) for (const s of e.sockets) s.resetAndDestroy();
  const got = await sendRequest(r.rig.address);
  expect([200, 502]).toContain(got.status);
  expect(r.count()).toBeLessThanOrEqual(asked + 1);
  await r.close();
}

async function partialWrite(): Promise<void> {
  let cut = false;
  function readsPart(a: Arrived): void {
    if (cut) a.socket.resetAndDestroy();
    else answers(a);
  }
  const r = await rigOf(readsPart);
  const asked = await warm(r.rig);
  cut = true;
  expect((await sendRequest(r.rig.address, { body: 'x'.repeat(90000) })).status).toBe(502);
  expect(r.count()).toBe(asked + 1);
  await r.close();
}

async function cutInHead(): Promise<void> {
  function cuts(a: Arrived): void {
    a.socket.end(answerOf(a.id, 'body').slice(0, 40));
  }
  const r = await rigOf(cuts);
  const got = await sendRequest(r.rig.address);
  expect(got.status).toBe(502);
  expect(got.headers['plumhollow-response-seal']).toBeUndefined();
  expect(r.count()).toBe(1);
  await r.close();
}

async function cutInBody(): Promise<void> {
  function cuts(a: Arrived): void {
    a.socket.end(answerOf(a.id, 'body of the answer').slice(0, -8));
  }
  const r = await rigOf(cuts);
  expect((await sendRequest(r.rig.address)).isComplete).toBe(false);
  expect(r.count()).toBe(1);
  await r.close();
}

async function afterItsTime(): Promise<void> {
  const late: Arrived[] = [];
  function firstIsLate(a: Arrived): void {
    if (a.before === 0) late.push(a);
    else answers(a);
  }
  const engine = await bareEngine('e1', firstIsLate);
  const rig = await startGatewayFixture({
    deployment: deployment([route({ kind: 'unsafe' })]),
    settings: { contactMs: 1 },
  });
  rig.publishEngines([engine]);
  const first = await sendRequest(rig.address, { headers: { 'Plumhollow-Deadline-Ms': '60' } });
  expect(first.status).toBe(504);
  late[0].socket.write(answerOf(first.id, 'too late'));
  for (let i = 0; i < 3; i++) {
    const next = await sendRequest(rig.address);
    if (next.status !== 503) expect(next).toMatchObject({ status: 200, body: `of ${next.id}` });
  }
  expect(engine.sockets.length).toBeGreaterThan(1);
  await rig.close();
  engine.close();
}

/** An answer to the request before comes in the place of the one that is due, which follows. */
async function surplusInPlace(): Promise<void> {
  let before = '';
  function doubles(a: Arrived): void {
    if (a.beforeHere > 0) a.socket.write(answerOf(before, `again of ${before}`));
    a.socket.write(answerOf(a.id, `of ${a.id}`));
    before = a.id;
  }
  const engine = await bareEngine('e1', doubles);
  const rig = await startGatewayFixture({
    deployment: deployment([route({ kind: 'unsafe' })]),
    settings: { contactMs: 1 },
  });
  rig.publishEngines([engine]);
  const statuses: number[] = [];
  for (let i = 0; i < 6; i++) {
    const got = await sendRequest(rig.address);
    statuses.push(got.status);
    if (got.status === 200) expect(got.body).toBe(`of ${got.id}`);
  }
  expect(statuses).toContain(502);
  expect(new Set(engine.arrived.map(idOf)).size).toBe(engine.arrived.length);
  await rig.close();
  engine.close();
}

function idOf(a: Arrived): string {
  return a.id;
}

async function silentOnce(): Promise<void> {
  const r = await rigOf(nothing);
  const got = await sendRequest(r.rig.address, { headers: { 'Plumhollow-Deadline-Ms': '400' } });
  expect(got.status).toBe(504);
  expect(r.count()).toBe(1);
  await r.close();
}

const HEAD = `POST /a/x HTTP/1.1
Host: desk.example
Plumhollow-Attempt-Id: outer
Plumhollow-Deadline-Ms: 2000
Authorization: Token k1
Connection: close
`;
const INNER = HEAD.replace('outer', 'inner') + 'Content-Length: 0\n\n';

async function smuggled(): Promise<void> {
  const r = await rigOf(answers);
  const twoLengths = `${HEAD}Content-Length: 0\nContent-Length: ${INNER.length}\n\n${INNER}`;
  const bothFramings = `${HEAD}Content-Length: 5\nTransfer-Encoding: chunked\n\n0\n\n${INNER}`;
  for (const text of [twoLengths, bothFramings])
    expect(await say(r.rig.address, text)).toMatch(/ 400 /);
  expect(r.count()).toBe(0);
  const size = INNER.replaceAll('\n', '\r\n').length;
  const asBody = `${HEAD}Content-Length: ${size}\n\n${INNER}`;
  expect(await say(r.rig.address, asBody)).toContain('of outer');
  expect(r.count()).toBe(1);
  await r.close();
}

test(
  'a request that may run once is not sent again when its kept connection is reset',
  resetOnReuse,
);
test('connections that engines forgot without a word cost no second run', forgottenWhileIdle);
test('a reset in the middle of a body that is written counts as may have run', partialWrite);
test('an answer cut inside its head gives 502 and no second attempt', cutInHead);
test('an answer cut inside its body never appears whole', cutInBody);
test('an answer that comes after its time goes to nobody', afterItsTime);
test('a second answer to an earlier request never goes to the next', surplusInPlace);
test('an engine that takes a request and is silent is the only one asked', silentOnce);
test('a request inside another is never run', smuggled);
