import http from 'node:http';
import net from 'node:net';
import { generate } from '../../src/shared/contracts/engine';
import { sendJson, readJsonBody } from '../../src/shared/transport/http-handlers';
import { errorOrValue } from '../../src/shared/errors/errors';
import { IncomingRequest } from '../../src/shared/ports/network';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { makeSystemRandom } from '../../src/shared/system/system-random';
import { makeFileDisk } from '../../src/shared/system/file-disk';
import { makeLogger } from '../../src/shared/system/logger';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';

const PIECE = 'x'.repeat(65535) + '\n';
const PIECES = 1500;

async function heldBack(): Promise<void> {
  const wire = makeSystemNetwork(1000);
  const clock = makeSystemClock();
  let given = 0;
  let stuck: (v: string) => void = none;
  function none(): void {
    // does nothing on purpose
  }
  function wait(go: (v: string) => void): void {
    stuck = go;
  }
  const outcome = new Promise<string>(wait);
  async function source(call: IncomingRequest): Promise<void> {
    call.writeHead(200, {});
    for (; given < PIECES; given++) {
      const off = clock.setTimer(300, blocked);
      const ok = await call.write(PIECE);
      off();
      if (!ok) return stuck('broken');
    }
    stuck('never held back');
    call.end();
  }
  function blocked(): void {
    stuck('held back');
  }
  const [, a] = errorOrValue(await wire.serveHttp('127.0.0.1:0', source));
  async function relay(call: IncomingRequest): Promise<void> {
    const [, r] = errorOrValue(
      await wire.request({
        address: a!.address,
        method: 'GET',
        path: '/',
        timeoutMs: 60000,
        signal: call.aborted,
      }),
    );
    call.writeHead(200, {});
    for (;;) {
      const [f, p] = errorOrValue(await r!.nextChunk());
      if (f || p === undefined) break;
      if (!(await call.write(p))) return r!.cancel();
    }
    call.end();
  }
  const [, b] = errorOrValue(await wire.serveHttp('127.0.0.1:0', relay));
  const [, slow] = errorOrValue(
    await wire.request({ address: b!.address, method: 'GET', path: '/', timeoutMs: 60000 }),
  );
  await slow!.nextChunk();
  expect(await outcome).toBe('held back');
  expect(given).toBeLessThan(PIECES / 2);
  let size = 0;
  for (;;) {
    const [f, p] = errorOrValue(await slow!.nextChunk());
    expect(f).toBeUndefined();
    if (p === undefined) break;
    size += p.length;
  }
  expect(given).toBe(PIECES);
  expect(size).toBeGreaterThan(PIECE.length * (PIECES - 2));
  await a!.close();
  await b!.close();
}

async function goneAway(): Promise<void> {
  const wire = makeSystemNetwork(1000);
  let told: (v: string) => void;
  function wait(go: (v: string) => void): void {
    told = go;
  }
  const outcome = new Promise<string>(wait);
  async function source(call: IncomingRequest): Promise<void> {
    call.writeHead(200, {});
    await call.write('one\n');
    function left(): void {
      told('gone');
    }
    call.aborted.addEventListener('abort', left);
  }
  const [, a] = errorOrValue(await wire.serveHttp('127.0.0.1:0', source));
  const [, r] = errorOrValue(
    await wire.request({ address: a!.address, method: 'GET', path: '/', timeoutMs: 60000 }),
  );
  await r!.nextChunk();
  r!.cancel();
  expect(await outcome).toBe('gone');
  await a!.close();
}

test('a slow reader holds the far source back through a relay, and then gets all', heldBack);
test('a caller that goes away is told to the source', goneAway);

const GENERATE_ASK = {
  request: 'r',
  tenant: 't',
  model: 'm',
  weights: 'w',
  salt: '',
  parts: [],
  maxTokens: 1,
  urgent: false,
  repeatable: true,
};

/** Turns of the event loop in which what was sent on loopback is read. */
const TURNS = 500;

async function freesConnections(): Promise<void> {
  const clock = makeSystemClock();
  const ends: (() => void)[] = [];
  const finished: Promise<void>[] = [];
  let connections = 0;
  function answer(_req: http.IncomingMessage, res: http.ServerResponse): void {
    res.write(JSON.stringify({ request: 'r', n: 0, text: 'x' }) + '\n');
    res.write(JSON.stringify({ request: 'r', done: true, count: 1 }) + '\n');
    function end(): void {
      res.end();
    }
    ends.push(end);
    function wait(done: () => void): void {
      res.on('finish', done);
    }
    finished.push(new Promise<void>(wait));
  }
  function connected(): void {
    connections++;
  }
  const server = http.createServer(answer);
  server.on('connection', connected);
  function listen(up: () => void): void {
    server.listen(0, '127.0.0.1', up);
  }
  await new Promise<void>(listen);
  const at = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  const ports = {
    clock,
    random: makeSystemRandom(),
    disk: makeFileDisk(''),
    network: makeSystemNetwork(1000),
    logger: makeLogger('test', 'test'),
  };
  for (let i = 0; i < 3; i++) {
    const gone = new AbortController().signal;
    const [, g] = errorOrValue(await generate(ports, at, GENERATE_ASK, 60000, gone));
    await g!.next();
    const [, last] = errorOrValue(await g!.next());
    expect(last!.done).toBe(true);
    ends.shift()!();
    await finished.shift();
    for (let turn = 0; turn < TURNS; turn++) await new Promise(setImmediate);
  }
  server.closeAllConnections();
  server.close();
  expect(connections).toBe(1);
}

async function refusesLargeBodies(): Promise<void> {
  const wire = makeSystemNetwork(1000);
  async function take(call: IncomingRequest): Promise<void> {
    const body = await readJsonBody(call, 1000);
    if (body !== undefined) sendJson(call, 200, { taken: true });
  }
  const [, a] = errorOrValue(await wire.serveHttp('127.0.0.1:0', take));
  async function statusOf(bytes: number): Promise<number | undefined> {
    const body = JSON.stringify('x'.repeat(bytes));
    const [, r] = errorOrValue(
      await wire.request({ address: a!.address, method: 'POST', path: '/', body, timeoutMs: 5000 }),
    );
    const status = r?.status;
    r?.cancel();
    return status;
  }
  expect(await statusOf(100)).toBe(200);
  expect(await statusOf(500000)).toBe(413);
  await a!.close();
}

test('an answer that was read to its last line frees its connection', freesConnections);
test('a body that is too large is refused with an answer', refusesLargeBodies);
