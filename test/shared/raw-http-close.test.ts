import { once } from 'node:events';
import http from 'node:http';
import net from 'node:net';
import { RawIncomingRequest, RawListener } from '../../src/shared/ports/raw-http';
import { makeRawHttpNetwork } from '../../src/shared/system/raw-http';
import { bareCaller } from '../data/bare-caller';

const LIMITS = { headerTimeoutMs: 3000, idleTimeoutMs: 15000, closing: false };
/** Far more than a connection's buffers hold. */
const LARGE = Buffer.alloc(24 << 20, 'x');
const REQUEST = 'POST /a HTTP/1.1\nHost: desk.example\nContent-Length: 2\n\nhi';
const REQUEST_BYTES = REQUEST.replaceAll('\n', '\r\n');
/** How long a close may take where nothing should hold it up. */
const PATIENCE_MS = 20000;
/** How long a close may take where a caller holds it up. */
const SHORT_MS = 50;

function nothing(): void {
  // does nothing on purpose
}

async function serve(take: (call: RawIncomingRequest) => Promise<void>): Promise<RawListener> {
  return (await makeRawHttpNetwork().serve('127.0.0.1:0', LIMITS, take)).unsafeCoerce();
}

async function answersShortly(call: RawIncomingRequest): Promise<void> {
  await call.body(100);
  call.writeHead(200, ['Content-Length', '2']);
  call.end(Buffer.from('ok'));
}

function answersAtLength(call: RawIncomingRequest): Promise<void> {
  call.writeHead(200, ['Content-Length', String(LARGE.length)]);
  call.end(LARGE);
  return Promise.resolve();
}

/** How long a server answers what comes on the connections that it has. */
const LINGER_MS = 500;

/** Ends a server as a program does. */
async function end(server: RawListener, withinMs = PATIENCE_MS, lingerMs = 0): Promise<void> {
  await server.closeGracefully(lingerMs, withinMs);
  await server.close();
}

function answersIn(text: string): number {
  return text.split('HTTP/1.1 200').length - 1;
}

/** A connection that has just come up; nothing was read from it yet. */
async function connected(at: string): Promise<net.Socket> {
  const [host, port] = at.split(':');
  const socket = net.connect({ host, port: Number(port) });
  socket.on('error', nothing);
  await once(socket, 'connect');
  return socket;
}

async function writesItOut(): Promise<void> {
  const server = await serve(answersAtLength);
  const asked = http.get(`http://${server.address}/`, { agent: false });
  const [answer] = (await once(asked, 'response')) as [http.IncomingMessage];
  let size = 0;
  function count(piece: Buffer): void {
    size += piece.length;
  }
  answer.pause();
  const closed = end(server);
  answer.on('data', count);
  answer.resume();
  answer.on('error', nothing);
  await Promise.all([once(answer, 'close'), closed]);
  expect({ size, whole: answer.complete }).toEqual({ size: LARGE.length, whole: true });
}

async function givesUpOnTheSlow(): Promise<void> {
  const server = await serve(answersAtLength);
  const socket = await connected(server.address);
  socket.write(REQUEST_BYTES);
  await once(socket, 'readable');
  await end(server, SHORT_MS);
  socket.resume();
  await once(socket, 'close');
  expect(socket.bytesRead).toBeLessThan(LARGE.length);
}

async function answersWhatArrived(): Promise<void> {
  const server = await serve(answersShortly);
  const kept = await bareCaller(server.address);
  kept.write(REQUEST);
  expect(await kept.has('ok')).toBe(true);
  kept.write(REQUEST);
  await Promise.all([end(server), kept.closed]);
  expect(answersIn(kept.received())).toBe(2);
}

async function answersNewConnections(): Promise<void> {
  const server = await serve(answersShortly);
  const socket = await connected(server.address);
  let got = '';
  function data(piece: Buffer): void {
    got += piece.toString('latin1');
  }
  socket.on('data', data);
  socket.write(REQUEST_BYTES);
  await Promise.all([end(server), once(socket, 'close')]);
  expect(answersIn(got)).toBe(1);
}

/** A request that is sent on a connection that came up just before the server stopped listening. */
async function answersWhatIsOnItsWay(): Promise<void> {
  const server = await serve(answersShortly);
  const caller = await bareCaller(server.address);
  const ended = end(server, PATIENCE_MS, LINGER_MS);
  const [host, port] = server.address.split(':');
  for (let refused = false; !refused;) {
    const late = net.connect({ host, port: Number(port) });
    refused = await isRefused(late);
    late.destroy();
  }
  caller.write(REQUEST);
  await Promise.all([ended, caller.closed]);
  expect(answersIn(caller.received())).toBe(1);
  expect(caller.received()).toMatch(/connection: close/i);
}

function isRefused(socket: net.Socket): Promise<boolean> {
  function wait(done: (isRefused: boolean) => void): void {
    function up(): void {
      done(false);
    }
    function failed(): void {
      done(true);
    }
    socket.once('connect', up);
    socket.once('error', failed);
  }
  return new Promise(wait);
}

async function closesTheResting(): Promise<void> {
  const server = await serve(answersShortly);
  const kept = await bareCaller(server.address);
  kept.write(REQUEST);
  expect(await kept.has('ok')).toBe(true);
  await Promise.all([end(server), kept.closed]);
  const [host, port] = server.address.split(':');
  const late = net.connect({ host, port: Number(port) });
  const [refused] = (await once(late, 'error')) as [NodeJS.ErrnoException];
  expect(refused.code).toBe('ECONNREFUSED');
}

test('an answer that was handed over is written out before its connection closes', writesItOut);
test('a caller that does not read holds a close up for its time only', givesUpOnTheSlow);
test('a request that has arrived as a server closes is answered', answersWhatArrived);
test('a request on a new connection is answered as a server closes', answersNewConnections);
test('a request that is on its way as a server ends listening is answered', answersWhatIsOnItsWay);
test('connections at rest are closed, and new ones are refused', closesTheResting);
