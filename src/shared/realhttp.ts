import http from 'node:http';
import net from 'node:net';
import { Left, Right } from 'purify-ts';
import { makeFault, Outcome } from './errors';
import { HttpConnection, HttpWire, RawCall, RawListening, ServeLimits } from './ports';
import { connect } from './realhttpclient';
import { ignore, readBody, splitAddress, writePiece } from './realio';

const MOST_HEADER_BYTES = 65536;
const BACKLOG = 4096;
const TOLD_IDLE = 0.8;

function makeCall(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  limits: () => ServeLimits,
): RawCall {
  const gone = new AbortController();
  const peer = req.socket.remoteAddress ?? '';
  function closed(): void {
    if (!res.writableFinished) gone.abort();
  }
  res.on('close', closed);
  res.on('error', ignore);
  req.on('error', ignore);

  function body(most: number): Promise<Outcome<Uint8Array>> {
    return readBody(req, most);
  }

  function head(status: number, headers: string[]): void {
    if (res.headersSent) return;
    const l = limits();
    if (l.closing || !res.shouldKeepAlive) {
      res.shouldKeepAlive = false;
      res.writeHead(status, headers);
    } else {
      res.writeHead(status, [
        ...headers,
        'Connection',
        'keep-alive',
        'Keep-Alive',
        `timeout=${Math.max(1, Math.floor((l.idleTimeoutMs * TOLD_IDLE) / 1000))}`,
      ]);
    }
  }

  function piece(bytes: Uint8Array): Promise<boolean> {
    return writePiece(res, gone.signal, bytes);
  }

  function end(bytes?: Uint8Array): void {
    res.end(bytes);
  }

  function breakOff(): void {
    if (req.httpVersion === '1.1') req.socket.destroy();
    else req.socket.resetAndDestroy();
  }

  return {
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    headers: req.rawHeaders,
    fields: req.headers as Record<string, string | undefined>,
    peer,
    gone: gone.signal,
    body,
    head,
    piece,
    end,
    breakOff,
  };
}

function serve(
  at: string,
  first: ServeLimits,
  take: (call: RawCall) => Promise<void>,
): Promise<Outcome<RawListening>> {
  let limits = first;
  let arrived = 0;
  function now(): ServeLimits {
    return limits;
  }
  function request(req: http.IncomingMessage, res: http.ServerResponse): void {
    arrived++;
    void take(makeCall(req, res, now));
  }
  function connection(): void {
    arrived++;
  }
  function arrivals(): number {
    return arrived;
  }
  const server = http.createServer(
    { maxHeaderSize: MOST_HEADER_BYTES, keepAlive: true, noDelay: true, requestTimeout: 0 },
    request,
  );
  server.on('connection', connection);
  limit(first);
  function limit(l: ServeLimits): void {
    limits = l;
    server.headersTimeout = l.headerTimeoutMs;
    server.keepAliveTimeout = l.idleTimeoutMs;
  }
  function close(): Promise<void> {
    function wait(done: () => void): void {
      server.close(done as () => void);
      server.closeAllConnections();
    }
    return new Promise(wait);
  }
  function wait(done: (o: Outcome<RawListening>) => void): void {
    function failed(e: Error): void {
      done(Left(makeFault('listen', at, e)));
    }
    function up(): void {
      server.off('error', failed);
      server.on('error', ignore);
      const a = server.address() as net.AddressInfo;
      done(Right({ at: `${a.address}:${a.port}`, close, limit, arrivals }));
    }
    server.once('error', failed);
    server.listen({ ...splitAddress(at), backlog: BACKLOG }, up);
  }
  return new Promise(wait);
}

/** The machine's raw HTTP, by Node's own. */
export function realHttp(bind = ''): HttpWire {
  function connectFrom(at: string, within: number): Promise<Outcome<HttpConnection>> {
    return connect(at, within, bind === '' ? undefined : bind);
  }
  function serveHere(
    at: string,
    limits: ServeLimits,
    take: (call: RawCall) => Promise<void>,
  ): Promise<Outcome<RawListening>> {
    return serve(bind === '' ? at : `${bind}:${splitAddress(at).port}`, limits, take);
  }
  return { serve: serveHere, connect: connectFrom };
}
