/**
 * The server side of HTTP of the network port, by Node's own.
 */

import http from 'node:http';
import { Result } from '../errors/errors';
import { IncomingRequest, Listener } from '../ports/network';
import { CallerMessage } from './caller-message';
import { CallerTimes, ConnectionGuard } from './connection-guard';
import { abortOnClose, writeChunk } from './http-io';
import { ServerResources } from './server-resources';
import { listenOn } from './sockets';

/** How long an idle connection of a caller is kept. */
const KEEP_ALIVE_MS = 30000;
/** Stands for the server's own address in URLs. */
const ORIGIN = 'http://node';
/** What a body holds as text and as parsed JSON, as a multiple of its bytes. */
const DECODED_RATIO = 4;
/** Connections that wait to be accepted. */
const BACKLOG = 1024;

function decodeText(bytes: Uint8Array): string {
  return Buffer.from(bytes.buffer, bytes.byteOffset, bytes.byteLength).toString('utf8');
}

/** The URL of a request's target; undefined where it is none. A target that begins with two slashes names no host. */
function parseTarget(target: string): URL | undefined {
  const url = target.startsWith('/') ? `${ORIGIN}${target}` : target;
  return URL.canParse(url, ORIGIN) ? new URL(url, ORIGIN) : undefined;
}

function makeIncomingRequest(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  url: URL,
  guard: ConnectionGuard,
): IncomingRequest {
  const controller = abortOnClose(res);
  const aborted = controller.signal;
  function onError(): void {
    controller.abort();
  }
  res.on('error', onError);
  req.on('error', onError);

  async function body(maxBytes: number): Promise<Result<string>> {
    return (await (req as CallerMessage).readBody({ maxBytes })).map(decode);
  }
  function decode(bytes: Uint8Array): string {
    const text = decodeText(bytes);
    (req as CallerMessage).releaseCopied();
    guard.addForRequest(req, bytes.length * DECODED_RATIO);
    return text;
  }
  function writeHead(status: number, headers: Record<string, string>): void {
    if (res.headersSent) return;
    if ((req as CallerMessage).refusal !== undefined) res.shouldKeepAlive = false;
    res.writeHead(status, headers);
  }
  function write(text: string): Promise<boolean> {
    return writeChunk(res, aborted, text);
  }
  function end(text?: string): void {
    res.end(text);
    guard.addForRequest(req, res.writableLength);
  }
  function destroy(): void {
    res.destroy();
  }
  return {
    method: req.method ?? 'GET',
    path: url.pathname,
    query: url.searchParams,
    headers: req.headers as Record<string, string | undefined>,
    peer: req.socket.remoteAddress ?? '',
    aborted,
    body,
    writeHead,
    write,
    end,
    destroy,
  };
}

/** Listens for HTTP requests at an address. */
export function serveHttp(
  address: string,
  { account, times }: ServerResources,
  onRequest: (call: IncomingRequest) => Promise<void>,
): Promise<Result<Listener>> {
  function receive(req: http.IncomingMessage, res: http.ServerResponse): void {
    guard.take(req, res, handle.bind(undefined, req, res));
  }
  function handle(req: http.IncomingMessage, res: http.ServerResponse): void {
    const url = parseTarget(req.url ?? '/');
    if (url) return void onRequest(makeIncomingRequest(req, res, url, guard));
    res.writeHead(400, { connection: 'close' });
    res.end();
  }
  function currentTimes(): CallerTimes {
    return times;
  }
  const server = http.createServer(
    {
      IncomingMessage: CallerMessage,
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: times.headerTimeoutMs,
      requestTimeout: 0,
      connectionsCheckingInterval: times.headerTimeoutMs,
    },
    receive,
  );
  const guard = new ConnectionGuard(server, account, currentTimes);
  function close(): Promise<void> {
    function run(resolve: () => void): void {
      server.close(resolve);
      server.closeIdleConnections();
    }
    return new Promise(run);
  }
  function makeListener(bound: string): Listener {
    return { address: bound, close };
  }
  return listenOn(server, address, BACKLOG, makeListener);
}
