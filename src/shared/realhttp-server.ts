import http from 'node:http';
import net from 'node:net';
import { Left, Right } from 'purify-ts';
import { makeFault, Outcome } from './errors';
import { RawCall, RawListening, ServeLimits } from './ports';
import { splitAddress } from './realhttp-address';
import { CallerConnections, watchCallers } from './realhttp-callers';

const MOST_HEADER_BYTES = 65536;
const BACKLOG = 4096;
/** The share of the idle limit that callers are told. */
const TOLD_IDLE = 0.8;
const MS_PER_S = 1000;

function nothing(): void {}

function makeCall(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  limits: () => ServeLimits,
  callers: CallerConnections,
): RawCall {
  const gone = new AbortController();
  const peer = req.socket.remoteAddress ?? '';
  function closed(): void {
    if (!res.writableFinished) gone.abort();
  }
  res.on('close', closed);
  res.on('error', nothing);
  req.on('error', nothing);

  function body(most: number): Promise<Outcome<Uint8Array>> {
    const parts: Buffer[] = [];
    let size = 0;
    function wait(done: (o: Outcome<Uint8Array>) => void): void {
      function data(p: Buffer): void {
        size += p.length;
        if (size <= most) parts.push(p);
        else done(Left(makeFault('read body', peer, `over ${most} bytes`, 'refused', 'too-large')));
      }
      function whole(): void {
        if (req.complete && size <= most)
          done(Right(parts.length === 1 ? parts[0] : Buffer.concat(parts)));
      }
      function broken(): void {
        done(Left(makeFault('read body', peer, 'broke off', 'refused', 'bad-body')));
      }
      req.on('data', data);
      req.on('end', whole);
      req.on('close', broken);
    }
    return new Promise(wait);
  }

  function head(status: number, headers: string[]): void {
    if (res.headersSent) return;
    const l = limits();
    if ((l.closing || !res.shouldKeepAlive) && !callers.isFollowed(req)) {
      callers.closesAfter(req.socket);
      res.shouldKeepAlive = false;
      res.writeHead(status, headers);
    } else {
      res.writeHead(status, [...headers, ...keepAlive(l.idleTimeoutMs)]);
    }
  }

  /** Tells the caller how long the connection may rest, in whole seconds. */
  function keepAlive(idleMs: number): string[] {
    const toldS = Math.max(1, Math.floor((idleMs * TOLD_IDLE) / MS_PER_S));
    callers.promised(req.socket, Math.max(idleMs, (toldS * MS_PER_S) / TOLD_IDLE));
    return ['Connection', 'keep-alive', 'Keep-Alive', `timeout=${toldS}`];
  }

  function piece(bytes: Uint8Array): Promise<boolean> {
    function wait(done: (ok: boolean) => void): void {
      if (gone.signal.aborted || res.destroyed) return done(false);
      if (res.write(bytes)) return done(true);
      function drained(): void {
        res.off('close', drained);
        res.off('drain', drained);
        done(!gone.signal.aborted);
      }
      res.once('drain', drained);
      res.once('close', drained);
    }
    return new Promise(wait);
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

/** Listens for callers, whose requests are given as they came. */
export function serve(
  at: string,
  first: ServeLimits,
  take: (call: RawCall) => Promise<void>,
): Promise<Outcome<RawListening>> {
  let limits = first;
  let arrived = 0;
  function now(): ServeLimits {
    return limits;
  }
  function idleMs(): number {
    return limits.idleTimeoutMs;
  }
  function request(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (!callers.began(req, res)) return;
    arrived++;
    void take(makeCall(req, res, now, callers));
  }
  function connection(): void {
    arrived++;
  }
  function arrivals(): number {
    return arrived;
  }
  const server = http.createServer(
    {
      maxHeaderSize: MOST_HEADER_BYTES,
      keepAlive: true,
      noDelay: true,
      requestTimeout: 0,
      connectionsCheckingInterval: first.headerTimeoutMs,
    },
    request,
  );
  server.on('connection', connection);
  const callers = watchCallers(server, idleMs);
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
      server.on('error', nothing);
      const a = server.address() as net.AddressInfo;
      done(Right({ at: `${a.address}:${a.port}`, close, limit, arrivals }));
    }
    server.once('error', failed);
    server.listen({ ...splitAddress(at), backlog: BACKLOG }, up);
  }
  return new Promise(wait);
}
