import http from 'node:http';
import net from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import { Left, Right } from 'purify-ts';
import { makeError, Result } from '../errors/errors';
import { RawIncomingRequest, RawListener, ServeLimits } from '../ports/raw-http';
import { CallerConnectionTracker, trackCallerConnections } from './raw-http-connections';
import { ignore, readBody, splitAddress, writeChunk } from './http-io';

const MOST_HEADER_BYTES = 65536;
const BACKLOG = 4096;
/** The share of the idle limit that callers are told. */
const TOLD_IDLE = 0.8;
const MS_PER_S = 1000;
/** Turns of the event loop after which all that had arrived has been read: a connection is accepted in one, its request is read in the next, and the first may lack its reads. */
const READING_TURNS = 4;

function makeCall(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  limits: () => ServeLimits,
  callers: CallerConnectionTracker,
  written: Promise<void>,
): RawIncomingRequest {
  const gone = new AbortController();
  const peer = req.socket.remoteAddress ?? '';
  function closed(): void {
    if (!res.writableFinished) gone.abort();
  }
  res.on('close', closed);
  res.on('error', ignore);
  req.on('error', ignore);

  function body(most: number): Promise<Result<Uint8Array>> {
    return readBody(req, most);
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
    return writeChunk(res, gone.signal, bytes);
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
    headersByName: req.headers as Record<string, string | undefined>,
    peer,
    aborted: gone.signal,
    body,
    writeHead: head,
    write: piece,
    end,
    destroy: breakOff,
    written,
  };
}

/** Listens for callers, whose requests are given as they came. */
export function serve(
  at: string,
  first: ServeLimits,
  take: (call: RawIncomingRequest) => Promise<void>,
): Promise<Result<RawListener>> {
  let limits = first;
  let arrived = 0;
  function now(): ServeLimits {
    return limits;
  }
  function idleMs(): number {
    return limits.idleTimeoutMs;
  }
  function request(req: http.IncomingMessage, res: http.ServerResponse): void {
    const written = callers.began(req, res);
    if (written === undefined) return;
    arrived++;
    void take(makeCall(req, res, now, callers, written));
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
  const callers = trackCallerConnections(server, idleMs);
  limit(first);
  function limit(l: ServeLimits): void {
    limits = l;
    server.headersTimeout = l.headerTimeoutMs;
    server.keepAliveTimeout = l.idleTimeoutMs;
  }
  async function readArrived(): Promise<void> {
    for (let turn = 0; turn < READING_TURNS; turn++) await nextTurn();
  }
  /** Ends listening; connections stay. */
  function stopListening(): void {
    net.Server.prototype.close.call(server);
  }
  async function settle(lingerMs: number, withinMs: number): Promise<number> {
    const end = performance.now() + withinMs;
    limit({ ...limits, closing: true });
    await readArrived();
    stopListening();
    await sleep(lingerMs);
    await readArrived();
    while (callers.underWay() > 0 && performance.now() < end) {
      await callers.settled(end - performance.now());
      await readArrived();
    }
    return callers.underWay();
  }
  function close(): Promise<void> {
    function wait(done: () => void): void {
      server.close(done);
      server.closeAllConnections();
    }
    return new Promise(wait);
  }
  function wait(done: (o: Result<RawListener>) => void): void {
    function failed(e: Error): void {
      done(Left(makeError('listen', at, e)));
    }
    function up(): void {
      server.off('error', failed);
      server.on('error', ignore);
      const a = server.address() as net.AddressInfo;
      done(
        Right({
          address: `${a.address}:${a.port}`,
          close,
          setLimits: limit,
          arrivalCount: arrivals,
          readArrived,
          closeGracefully: settle,
        }),
      );
    }
    server.once('error', failed);
    server.listen({ ...splitAddress(at), backlog: BACKLOG }, up);
  }
  return new Promise(wait);
}
