/**
 * Outgoing requests to servers that send all kinds of heads, or none: each has a result by its time.
 */

import { once } from 'node:events';
import net from 'node:net';
import { HttpConnection } from '../../src/shared/ports/raw-http';
import { Network } from '../../src/shared/ports/network';
import { OperationError, Result } from '../../src/shared/errors/errors';
import { makeRawHttpNetwork } from '../../src/shared/system/raw-http';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';

const TIMEOUT_MS = 500;
/** What a result may take beyond the time of its request, on a busy machine. */
const SLACK_MS = 1500;
const MAX_CONNECTIONS = 256;

const UPGRADE = 'Connection: Upgrade\r\nUpgrade: x\r\n';
const OK = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok';

/** What a server sends, and the status or the error's code that the request has. */
const SENT: [string, string, number | string][] = [
  ['a change of protocols', `HTTP/1.1 101 X\r\n${UPGRADE}\r\n`, 'broken'],
  ['a change of protocols before an answer', `HTTP/1.1 101 X\r\n${UPGRADE}\r\n${OK}`, 'broken'],
  [
    'a change of protocols with a length',
    `HTTP/1.1 101 X\r\n${UPGRADE}Content-Length: 2\r\n\r\nok`,
    'broken',
  ],
  ['a 101 without a protocol', 'HTTP/1.1 101 X\r\n\r\n', 'broken'],
  ['a 101 that names a protocol only', 'HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n', 'broken'],
  ['a status of 0', 'HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n', 'broken'],
  ['a status of 99', 'HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n', 'broken'],
  ['early hints alone', 'HTTP/1.1 103 X\r\n\r\n', 'timeout'],
  ['nothing', '', 'timeout'],
  ['early hints before an answer', `HTTP/1.1 103 X\r\n\r\n${OK}`, 200],
  ['an offer to upgrade', `HTTP/1.1 426 X\r\n${UPGRADE}Content-Length: 0\r\n\r\n`, 426],
  ['an answer that names a protocol', `HTTP/1.1 200 X\r\n${UPGRADE}Content-Length: 0\r\n\r\n`, 200],
  ['what is no head', 'junk\r\n\r\n', 'HPE_INVALID_CONSTANT'],
];

/** A server that sends the same bytes for each request, and notes its connections. */
class RawServer {
  readonly sockets = new Set<net.Socket>();
  private readonly server = net.createServer(this.onConnection.bind(this));

  constructor(private readonly bytes: string) {}

  async listen(): Promise<string> {
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
    return `127.0.0.1:${(this.server.address() as net.AddressInfo).port}`;
  }

  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private onConnection(socket: net.Socket): void {
    this.sockets.add(socket);
    socket.on('error', nothing);
    socket.on('close', this.sockets.delete.bind(this.sockets, socket));
    socket.on('data', this.onData.bind(this, socket));
  }

  private onData(socket: net.Socket): void {
    if (this.bytes !== '') socket.write(this.bytes);
  }
}

function nothing(): void {
  // does nothing on purpose
}

/** The status of a response, or the code of an error. */
function outcomeOf(result: Result<{ status: number }>): number | string | undefined {
  return result.isRight()
    ? result.unsafeCoerce().status
    : (result.extract() as OperationError).code;
}

/** The outcome of a request, and that it had none within its time where that is so. */
async function inTime(request: Promise<Result<{ status: number }>>): Promise<unknown> {
  let timer: NodeJS.Timeout | undefined;
  function waitForTime(resolve: (outcome: string) => void): void {
    timer = setTimeout(resolve, TIMEOUT_MS + SLACK_MS, 'no result');
  }
  const outcome = await Promise.race([request.then(outcomeOf), new Promise(waitForTime)]);
  clearTimeout(timer);
  return outcome;
}

async function connectTo(address: string): Promise<HttpConnection> {
  return (await makeRawHttpNetwork().connect(address, TIMEOUT_MS)).unsafeCoerce();
}

/** A request whose server changed the protocol never had a result, and its router never answered its caller. */
async function requestOnConnection(
  _: string,
  bytes: string,
  expected: number | string,
): Promise<void> {
  const server = new RawServer(bytes);
  const connection = await connectTo(await server.listen());
  try {
    const request = { method: 'POST', target: '/', headers: ['Host', 'a', 'Content-Length', '0'] };
    const sent = connection.request(request, TIMEOUT_MS, new AbortController().signal);
    expect(await inTime(sent)).toBe(expected);
    if (typeof expected === 'number') return;
    expect(connection.isReusable()).toBe(false);
    await connection.closed;
  } finally {
    connection.close();
    server.close();
  }
}

function post(network: Network, address: string): Promise<Result<{ status: number }>> {
  return network.request({
    address,
    method: 'POST',
    path: '/',
    headers: {},
    timeoutMs: TIMEOUT_MS,
  });
}

/** The same with the client by which controllers and indexers ask engines and the platform. */
async function requestByClient(_: string, bytes: string, expected: number | string): Promise<void> {
  const server = new RawServer(bytes);
  const network = makeSystemNetwork(TIMEOUT_MS);
  try {
    const address = await server.listen();
    expect(await inTime(post(network, address))).toBe(expected);
  } finally {
    server.close();
  }
}

/** Where all connections to a peer are in use, a request's time is over before it has one. */
async function requestWithoutConnection(): Promise<void> {
  const server = new RawServer('');
  const network = makeSystemNetwork(TIMEOUT_MS);
  const address = await server.listen();
  const busy: Promise<unknown>[] = [];
  for (let i = 0; i < MAX_CONNECTIONS; i++)
    busy.push(
      network.request({
        address,
        method: 'POST',
        path: '/',
        headers: {},
        timeoutMs: 10 * TIMEOUT_MS,
      }),
    );
  try {
    expect(await inTime(post(network, address))).toBe('timeout');
  } finally {
    server.close();
  }
  await Promise.all(busy);
}

test.each(SENT)(
  'a request on a connection whose server sends %s has its result',
  requestOnConnection,
);
test.each(SENT)('a request by the client whose server sends %s has its result', requestByClient);
test('a request that waits for a connection is given up at its time', requestWithoutConnection);
