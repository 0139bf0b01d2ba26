/**
 * Targets of requests to the servers of controllers and indexers, in every form that a caller may send.
 */

import { once } from 'node:events';
import net from 'node:net';
import { IncomingRequest, Listener } from '../../src/shared/ports/network';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';

const TIMEOUT_MS = 2000;

/** A target, the status of its answer, and the path that the handler gets. */
const TARGETS: [string, number, string | undefined][] = [
  ['//', 200, '//'],
  ['//a/b', 200, '//a/b'],
  ['//@:0/', 200, '//@:0/'],
  ['///', 200, '///'],
  ['/a?b=//c', 200, '/a'],
  ['/%zz', 200, '/%zz'],
  ['http://other/a', 200, '/a'],
  ['http://[::1', 400, undefined],
  ['http://', 400, undefined],
];

/** A server that notes the paths of its requests. */
async function startServer(paths: string[]): Promise<Listener> {
  async function answer(call: IncomingRequest): Promise<void> {
    paths.push(call.path);
    await call.body(100);
    call.writeHead(200, { 'content-length': '0' });
    call.end();
  }
  return (await makeSystemNetwork(TIMEOUT_MS).serveHttp('127.0.0.1:0', answer)).unsafeCoerce();
}

/** The status that a request with a target gets; 0 where none comes in time. */
async function statusFor(address: string, target: string): Promise<number> {
  const [host, port] = address.split(':');
  const socket = net.connect({ host, port: Number(port) });
  const chunks: Buffer[] = [];
  socket.on('data', chunks.push.bind(chunks));
  socket.setTimeout(TIMEOUT_MS, socket.destroy.bind(socket));
  socket.end(`GET ${target} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n`);
  await once(socket, 'close');
  return Number(Buffer.concat(chunks).toString('latin1').split(' ')[1] ?? 0);
}

/** A controller ended at a request for the target `//`. */
async function isAnswered(target: string, status: number, path: string | undefined): Promise<void> {
  const paths: string[] = [];
  const server = await startServer(paths);
  try {
    expect(await statusFor(server.address, target)).toBe(status);
    expect(paths).toEqual(path === undefined ? [] : [path]);
  } finally {
    await server.close();
  }
}

test.each(TARGETS)('a request for the target %s is answered', isAnswered);
