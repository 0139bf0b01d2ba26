import http from 'node:http';
import net from 'node:net';
import { errorOrValue } from '../../../src/shared/errors/errors';
import { IncomingRequest, Network } from '../../../src/shared/ports/network';
import { Clock } from '../../../src/shared/ports/clock';

/** One request that reached a stand-in, and the ways to answer it, also badly. */
export interface Exchange {
  method: string;
  target: string;
  path: string;
  query: URLSearchParams;
  headers: Record<string, string | undefined>;
  /** The caller's IP number. */
  peer: string;
  /** What stands for the connection. */
  connection: object;
  /** The whole body, or undefined where it broke off. */
  body: () => Promise<string | undefined>;
  gone: AbortSignal;
  head: (status: number, headers: Record<string, string>) => void;
  piece: (text: string) => void;
  end: (text?: string) => void;
  reset: () => void;
  /** Bytes straight onto the connection, whatever answer is due there. */
  raw: (text: string) => void;
}

/** Something that listens at one address of its own. */
export interface Door {
  at: string;
  connections: () => number;
  /** Resets all connections and listens no more. */
  reset: () => Promise<void>;
  /** Goes silent: connections stay and are taken, and nothing more is said on them. */
  dark: () => void;
  /** Resets what is connected, and goes on listening. */
  drop: () => void;
}

/** How a door behaves; it is read anew at each turn. */
export interface DoorWays {
  /** Connections that are taken at once; more are reset. */
  maxConnections?: number;
  /** Ms after which an idle connection is closed; 0 is never. */
  idleMs?: number;
}

/** Splits `ip:port`. */
export function splitAt(at: string): { host: string; port: number } {
  const i = at.lastIndexOf(':');
  return { host: at.slice(0, i), port: Number(at.slice(i + 1)) };
}

/** A promise that a callback keeps. */
export function kept<T>(): { promise: Promise<T>; keep: (x: T) => void } {
  let keep: (x: T) => void = nothing;
  function hold(done: (x: T) => void): void {
    keep = done;
  }
  const promise = new Promise<T>(hold);
  return { promise, keep };
}

function nothing(): void {
  // does nothing on purpose
}

function gather(req: http.IncomingMessage): Promise<string | undefined> {
  const parts: Buffer[] = [];
  const k = kept<string | undefined>();
  function came(p: Buffer): void {
    parts.push(p);
  }
  function over(): void {
    k.keep(Buffer.concat(parts).toString('latin1'));
  }
  function broke(): void {
    k.keep(undefined);
  }
  req.on('data', came);
  req.on('end', over);
  req.on('error', broke);
  req.on('close', broke);
  return k.promise;
}

function exchangeOf(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  silent: () => boolean,
): Exchange {
  const url = new URL(req.url ?? '/', 'http://node');
  const gone = new AbortController();
  const socket = req.socket;
  function closed(): void {
    if (!res.writableFinished) gone.abort();
  }
  res.on('close', closed);
  res.on('error', nothing);
  function head(status: number, headers: Record<string, string>): void {
    if (!silent() && !res.headersSent) res.writeHead(status, headers);
  }
  function piece(text: string): void {
    if (!silent() && !res.destroyed) res.write(text, 'latin1');
  }
  function end(text?: string): void {
    if (!silent() && !res.destroyed) res.end(text ?? '', 'latin1');
  }
  function reset(): void {
    if (!silent()) socket.resetAndDestroy();
  }
  function raw(text: string): void {
    if (!silent() && !socket.destroyed) socket.write(text, 'latin1');
  }
  const headers = req.headers as Record<string, string | undefined>;
  const whole = gather(req);
  function body(): Promise<string | undefined> {
    return whole;
  }
  return {
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    path: url.pathname,
    query: url.searchParams,
    headers,
    peer: socket.remoteAddress ?? '',
    connection: socket,
    body,
    gone: gone.signal,
    head,
    piece,
    end,
    reset,
    raw,
  };
}

/** Opens a door on a real socket. */
export function openDoor(at: string, ways: DoorWays, take: (x: Exchange) => void): Promise<Door> {
  const held = new Set<net.Socket>();
  let silent = false;
  function isSilent(): boolean {
    return silent;
  }
  function arrived(req: http.IncomingMessage, res: http.ServerResponse): void {
    if (silent) return;
    const x = exchangeOf(req, res, isSilent);
    take(x);
  }
  const server = http.createServer(
    {
      keepAliveTimeout: ways.idleMs ?? 15000,
      requestTimeout: 0,
      headersTimeout: 0,
      connectionsCheckingInterval: 1 << 30,
    },
    arrived,
  );
  function connected(socket: net.Socket): void {
    socket.on('error', nothing);
    if (!silent && held.size >= (ways.maxConnections ?? Infinity)) {
      socket.resetAndDestroy();
      return;
    }
    socket.setNoDelay(true);
    held.add(socket);
    function left(): void {
      held.delete(socket);
    }
    socket.on('close', left);
  }
  server.on('connection', connected);
  server.on('clientError', nothing);
  function connections(): number {
    return held.size;
  }
  function drop(): void {
    for (const s of held) s.resetAndDestroy();
  }
  function reset(): Promise<void> {
    const k = kept<void>();
    function over(): void {
      k.keep();
    }
    server.close(over);
    drop();
    return k.promise;
  }
  function dark(): void {
    silent = true;
  }
  const door: Door = { at, connections, reset, dark, drop };
  const up = kept<Door>();
  function listening(): void {
    up.keep(door);
  }
  server.listen({ ...splitAt(at), backlog: 1024 }, listening);
  return up.promise;
}

/** An exchange on a call of the port `Wire`: bytes outside of answers can't be sent there. */
export function exchangeOfCall(call: IncomingRequest): Exchange {
  const query = call.query.toString();
  async function body(): Promise<string | undefined> {
    const o = await call.body(1 << 24);
    return o.isRight() ? o.extract() : undefined;
  }
  function piece(text: string): void {
    void call.write(text);
  }
  function head(status: number, headers: Record<string, string>): void {
    const lower: Record<string, string> = {};
    for (const [k, v] of Object.entries(headers)) lower[k.toLowerCase()] = v;
    call.writeHead(status, lower);
  }
  return {
    method: call.method,
    target: query === '' ? call.path : `${call.path}?${query}`,
    path: call.path,
    query: call.query,
    headers: call.headers,
    peer: call.peer,
    connection: call,
    body,
    gone: call.aborted,
    head,
    piece,
    end: call.end,
    reset: call.destroy,
    raw: nothing,
  };
}

/** Opens doors on the port `Wire`, which the simulator gives. */
export function doorsOn(
  wire: Network,
): (at: string, ways: DoorWays, take: (x: Exchange) => void) => Promise<Door> {
  async function openOn(at: string, _ways: DoorWays, take: (x: Exchange) => void): Promise<Door> {
    let silent = false;
    function called(call: IncomingRequest): Promise<void> {
      if (!silent) take(exchangeOfCall(call));
      return Promise.resolve();
    }
    const [f, l] = errorOrValue(await wire.serveHttp(at, called));
    if (f) throw new Error(`${at}: ${f.reason}`);
    function connections(): number {
      return 0;
    }
    function reset(): Promise<void> {
      return l!.close();
    }
    function dark(): void {
      silent = true;
    }
    return { at, connections, reset, dark, drop: nothing };
  }
  return openOn;
}

/** Answers whole with JSON. */
export function answerJson(
  x: Exchange,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  const text = body === undefined ? '' : JSON.stringify(body);
  x.head(status, {
    'content-type': 'application/json',
    'content-length': String(Buffer.byteLength(text)),
    ...headers,
  });
  x.end(text);
}

/** Reads a JSON body; undefined where there is none. */
export async function jsonOf(x: Exchange): Promise<Record<string, unknown> | undefined> {
  const text = await x.body();
  try {
    const v = JSON.parse(text ?? '') as unknown;
    return typeof v === 'object' && v !== null ? (v as Record<string, unknown>) : undefined;
  } catch {
    return undefined;
  }
}

/** Runs something each `ms` until it is stopped. */
export function each(clock: Clock, ms: number, run: () => void): () => void {
  let off = nothing;
  let over = false;
  function turn(): void {
    if (over) return;
    off = clock.setTimer(ms, turn);
    run();
  }
  off = clock.setTimer(ms, turn);
  function stop(): void {
    over = true;
    off();
  }
  return stop;
}
