import net from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { chunkOf } from '../../tools/standins/crowd/forms';
import { splitAt } from '../../tools/standins/platform/serve';
import { Site } from '../../tools/standins/platform/site';
import { CrowdFleet, expectWithinLimits } from './crowd-fleet';

const LIMITS = { memoryMb: 200, maxOpenFiles: 500 };
const TINY_CHUNK = chunkOf(Buffer.from(' '));
const END = '0\r\n\r\n';
const CHUNKED = 'Transfer-Encoding: chunked';
/** How long an answer is waited for at the most. */
const MOST_WAIT_MS = 60000;
/** A slow upload: so many pieces, each after a pause that is far shorter than the idle limit. */
const SLOW_PIECES = 40;
const SLOW_PAUSE_MS = 100;
/** How long a connection may be idle, in the test's own configuration. */
const IDLE_MS = 2000;

let fleet: CrowdFleet;
let connections: Connection[] = [];

function withShortIdleTime(site: Site): void {
  site.config.limits.idleTimeoutMs = IDLE_MS;
}

async function start(): Promise<void> {
  fleet = await CrowdFleet.start(LIMITS, withShortIdleTime);
}

function stop(): Promise<void> {
  for (const connection of connections) connection.destroy();
  connections = [];
  return fleet.stop();
}

/** A connection on which a request is sent in pieces; what came is kept as text. */
class Connection {
  received = '';
  readonly closed: Promise<void>;
  private readonly socket: net.Socket;

  constructor(at: string) {
    this.socket = net.connect(splitAt(at));
    this.socket.on('data', this.onData.bind(this));
    this.socket.on('error', ignore);
    this.closed = new Promise(this.resolveOnClose.bind(this));
    connections.push(this);
  }

  write(bytes: Uint8Array | string): Promise<void> {
    const { socket } = this;
    function send(resolve: () => void): void {
      function onWritten(): void {
        resolve();
      }
      socket.write(bytes, onWritten);
    }
    return Promise.race([new Promise<void>(send), this.closed]);
  }

  /** Comes once an answer has begun, the connection has ended or no answer comes, with its status or 0. */
  async status(): Promise<number> {
    const { socket } = this;
    const timer = setTimeout(socket.destroy.bind(socket), MOST_WAIT_MS);
    while (!this.received.includes('\r\n\r\n') && !socket.destroyed) await next(socket);
    clearTimeout(timer);
    return Number(/^HTTP\/1\.1 (\d+)/.exec(this.received)?.[1] ?? 0);
  }

  destroy(): void {
    this.socket.destroy();
  }

  private onData(bytes: Buffer): void {
    this.received += bytes.toString('latin1');
  }

  private resolveOnClose(resolve: () => void): void {
    this.socket.once('close', resolve);
  }
}

/** Comes with the next bytes of a socket, or its end. */
function next(socket: net.Socket): Promise<void> {
  function wait(resolve: () => void): void {
    socket.once('data', done);
    socket.once('close', done);
    function done(): void {
      socket.off('data', done);
      socket.off('close', done);
      resolve();
    }
  }
  return new Promise(wait);
}

function ignore(): void {
  // an error ends the connection
}

function routerHead(framing: string, id: string): string {
  return `POST /desk/look/x HTTP/1.1\r\nHost: desk.example\r\nPlumhollow-Attempt-Id: ${id}\r\n${framing}\r\n\r\n`;
}

function bodyThatEngineGot(id: string): string | undefined {
  function isIt(arrival: { id: string }): boolean {
    return arrival.id === id;
  }
  return fleet.day.book.arrivals.find(isIt)?.body;
}

/** Guards against issue 65: one proper request of 4 MB in chunks of one byte ended a router. */
async function tinyChunksAtRouter(): Promise<void> {
  const watch = fleet.watch('router');
  const { maxBodyBytes } = fleet;
  const connection = new Connection(fleet.address('router', 'frontend'));
  await connection.write(routerHead(CHUNKED, 'tiny'));
  await connection.write(Buffer.alloc(TINY_CHUNK.length * maxBodyBytes, TINY_CHUNK));
  await connection.write(END);
  expect(await connection.status()).toBe(200);
  expect(bodyThatEngineGot('tiny')?.length).toBe(maxBodyBytes);
  watch.look();
  watch.stop();
  expectWithinLimits(watch, fleet.limits);
}

/** The same at a controller: a configuration with blanks up to the limit. */
async function tinyChunksAtController(): Promise<void> {
  const watch = fleet.watch('controller');
  const { revision } = fleet.day.config;
  const text = JSON.stringify({ ...fleet.day.config, revision: revision + 1 });
  const connection = new Connection(fleet.address('controller', 'control'));
  await connection.write(
    `POST /api/Configuration.Replace HTTP/1.1\r\nHost: c\r\nPlumhollow-Base-Version: ${revision}\r\n${CHUNKED}\r\n\r\n`,
  );
  const blanks = fleet.maxBodyBytes - Buffer.byteLength(text);
  await connection.write(Buffer.alloc(TINY_CHUNK.length * blanks, TINY_CHUNK));
  await connection.write(chunkOf(Buffer.from(text)));
  await connection.write(END);
  expect(await connection.status()).toBe(200);
  watch.look();
  watch.stop();
  expectWithinLimits(watch, fleet.limits);
}

/** A body that is slow, but never idle for long, is inside the limits. */
async function slowBody(): Promise<void> {
  const connection = new Connection(fleet.address('router', 'frontend'));
  const piece = Buffer.alloc(Math.floor(fleet.maxBodyBytes / SLOW_PIECES), 's');
  await connection.write(routerHead(`Content-Length: ${piece.length * SLOW_PIECES}`, 'slow'));
  for (let sent = 0; sent < SLOW_PIECES; sent++) {
    await connection.write(piece);
    await sleep(SLOW_PAUSE_MS);
  }
  expect(await connection.status()).toBe(200);
  expect(bodyThatEngineGot('slow')?.length).toBe(piece.length * SLOW_PIECES);
}

/** A caller that sends a little more than the limit before it reads can read why it was refused. */
async function readableRefusal(): Promise<void> {
  const { maxBodyBytes } = fleet;
  const connection = new Connection(fleet.address('router', 'frontend'));
  await connection.write(routerHead(`Content-Length: ${2 * maxBodyBytes}`, 'large'));
  await connection.write(Buffer.alloc(maxBodyBytes + maxBodyBytes / 2, 'l'));
  expect(await connection.status()).toBe(413);
  await connection.closed;
  expect(bodyThatEngineGot('large')).toBeUndefined();
}

/** A body that stops for longer than the idle limit is refused as not run, and its connection is closed. */
async function stoppedBody(): Promise<void> {
  const connection = new Connection(fleet.address('router', 'frontend'));
  await connection.write(routerHead('Content-Length: 100', 'stopped'));
  await connection.write('some bytes');
  expect(await connection.status()).toBe(408);
  await connection.closed;
  expect(bodyThatEngineGot('stopped')).toBeUndefined();
}

/** Many requests on one connection at once are answered, all of them and in their order. */
async function pipelinedInOrder(): Promise<void> {
  const count = 200;
  const connection = new Connection(fleet.address('router', 'frontend'));
  let heads = '';
  for (let index = 0; index < count; index++)
    heads += routerHead('Content-Length: 0', `piped-${index}`);
  await connection.write(heads);
  function answered(): string[] {
    return [...connection.received.matchAll(/^plumhollow-attempt-id: (\S+)/gim)].map(idOf);
  }
  function idOf(match: RegExpMatchArray): string {
    return match[1];
  }
  const looks = MOST_WAIT_MS / SLOW_PAUSE_MS;
  for (let look = 0; look < looks && answered().length < count; look++) await sleep(SLOW_PAUSE_MS);
  function expected(_: unknown, index: number): string {
    return `piped-${index}`;
  }
  expect(answered()).toEqual(Array.from({ length: count }, expected));
}

beforeEach(start);
afterEach(stop);

test('one proper request in chunks of one byte is answered by a router', tinyChunksAtRouter);
test(
  'one proper change in chunks of one byte is acknowledged by a controller',
  tinyChunksAtController,
);
test('a slow body that is never idle for long is answered', slowBody);
test('a caller that sends more than the limit can read its refusal', readableRefusal);
test('a body that stops is refused after the idle limit', stoppedBody);
test('pipelined requests are answered in their order', pipelinedInOrder);
