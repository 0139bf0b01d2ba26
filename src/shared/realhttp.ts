import http from 'node:http';
import net from 'node:net';
import { Left, Right } from 'purify-ts';
import { makeFault, Outcome } from './errors';
import {
  HttpConnection,
  HttpWire,
  RawAsk,
  RawCall,
  RawListening,
  RawReply,
  ServeLimits,
} from './ports';

const MOST_HEADER_BYTES = 65536;
const BACKLOG = 4096;
const TOLD_IDLE = 0.8;
const PROBE_AFTER_MS = 1000;

function split(at: string): { host: string; port: number } {
  const i = at.lastIndexOf(':');
  return { host: at.slice(0, i), port: Number(at.slice(i + 1)) };
}

function nothing(): void {}

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
      server.on('error', nothing);
      const a = server.address() as net.AddressInfo;
      done(Right({ at: `${a.address}:${a.port}`, close, limit, arrivals }));
    }
    server.once('error', failed);
    server.listen({ ...split(at), backlog: BACKLOG }, up);
  }
  return new Promise(wait);
}

/** Whether an answer tells where it ends. */
function isFramed(method: string, res: http.IncomingMessage): boolean {
  const s = res.statusCode ?? 0;
  return (
    res.headers['content-length'] !== undefined ||
    /\bchunked\b/i.test(res.headers['transfer-encoding'] ?? '') ||
    method === 'HEAD' ||
    s === 204 ||
    s === 304
  );
}

function makeReply(
  at: string,
  q: RawAsk,
  req: http.ClientRequest,
  res: http.IncomingMessage,
  over: () => void,
  cut: () => string | undefined,
): RawReply {
  const step = `${q.method} ${q.target}`;
  const queue: Buffer[] = [];
  const framed = isFramed(q.method, res);
  let ended: Outcome<undefined> | undefined;
  let waiter: ((o: Outcome<Uint8Array | undefined>) => void) | undefined;

  function data(p: Buffer): void {
    if (waiter === undefined) {
      queue.push(p);
      res.pause();
      return;
    }
    const told = waiter;
    waiter = undefined;
    told(Right(p));
  }
  function finish(o: Outcome<undefined>): void {
    if (ended !== undefined) return;
    ended = o;
    over();
    if (queue.length === 0) waiter?.(o);
  }
  function end(): void {
    finish(res.complete && framed ? Right(undefined) : broken('ended without its end'));
  }
  function broken(why: unknown): Outcome<undefined> {
    return Left(makeFault(step, at, why, 'unknown', cut() ?? 'broken'));
  }
  function failed(e: Error): void {
    finish(broken(e));
  }
  function closed(): void {
    if (!res.readableEnded || !res.complete) finish(broken('closed'));
  }
  res.on('data', data);
  res.on('end', end);
  res.on('error', failed);
  res.on('close', closed);

  function next(): Promise<Outcome<Uint8Array | undefined>> {
    function wait(done: (o: Outcome<Uint8Array | undefined>) => void): void {
      const p = queue.shift();
      if (p !== undefined) {
        if (queue.length === 0) res.resume();
        return done(Right(p));
      }
      if (ended !== undefined) return done(ended);
      waiter = done;
    }
    return new Promise(wait);
  }
  function cancel(): void {
    over();
    req.destroy();
  }
  return {
    status: res.statusCode ?? 0,
    headers: res.rawHeaders,
    fields: res.headers as Record<string, string | undefined>,
    next,
    cancel,
  };
}

/** Puts requests on a connection, one at a time; an agent of its own keeps it between them. */
function makeConnection(at: string, socket: net.Socket): HttpConnection {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  let busy = false;
  let uses = 0;
  let surplus = false;
  let told: () => void = nothing;
  agent.createConnection = createConnection as never;
  (agent as { keepSocketAlive?: unknown }).keepSocketAlive = keepSocketAlive;
  socket.setNoDelay(true);
  socket.setKeepAlive(true, PROBE_AFTER_MS);
  socket.on('data', data);
  socket.on('error', nothing);

  function createConnection(): net.Socket {
    return socket;
  }
  function keepSocketAlive(): boolean {
    process.nextTick(released);
    return true;
  }
  function released(): void {
    busy = false;
    if (fit()) told();
  }
  function data(): void {
    if (busy) return;
    surplus = true;
    socket.destroy();
  }
  function fit(): boolean {
    return !busy && !surplus && !socket.destroyed && socket.writable && !socket.readableEnded;
  }
  function used(): number {
    return uses;
  }
  function onIdle(tell: () => void): void {
    told = tell;
  }
  function close(): void {
    socket.destroy();
  }
  function waitClosed(done: (v: { surplus: boolean }) => void): void {
    function closed(): void {
      done({ surplus });
    }
    socket.once('close', closed);
  }

  function ask(q: RawAsk, within: number, gone: AbortSignal): Promise<Outcome<RawReply>> {
    const step = `${q.method} ${q.target}`;
    function wait(done: (o: Outcome<RawReply>) => void): void {
      if (!fit())
        return done(Left(makeFault(step, at, 'the connection is not fit', 'refused', 'not-fit')));
      if (gone.aborted)
        return done(Left(makeFault(step, at, 'the caller went away', 'refused', 'caller-gone')));
      busy = true;
      uses++;
      let whole = false;
      let cut: string | undefined;
      const req = http.request({
        agent,
        ...split(at),
        method: q.method,
        path: q.target,
        headers: q.headers as never,
        setHost: false,
      });
      const t = setTimeout(late, within);
      function cutBy(): string | undefined {
        return cut;
      }
      function late(): void {
        cut = 'timeout';
        req.destroy(new Error('no answer in time'));
      }
      function left(): void {
        cut = 'caller-gone';
        req.destroy(new Error('the caller went away'));
      }
      function over(): void {
        clearTimeout(t);
        gone.removeEventListener('abort', left);
      }
      function failed(e: Error & { code?: string }): void {
        if (whole) surplus = true;
        over();
        socket.destroy();
        done(Left(makeFault(step, at, e, 'unknown', cut ?? e.code)));
      }
      function answered(res: http.IncomingMessage): void {
        function ended(): void {
          whole = res.complete;
        }
        res.on('end', ended);
        done(Right(makeReply(at, q, req, res, over, cutBy)));
      }
      gone.addEventListener('abort', left, { once: true });
      req.on('error', failed);
      req.on('response', answered);
      req.end(q.body);
    }
    return new Promise(wait);
  }

  return { at, fit, uses: used, ask, onIdle, done: new Promise(waitClosed), close };
}

function connect(
  at: string,
  within: number,
  localAddress: string | undefined,
): Promise<Outcome<HttpConnection>> {
  function wait(done: (o: Outcome<HttpConnection>) => void): void {
    const socket = net.connect({ ...split(at), localAddress });
    const t = setTimeout(late, within);
    function late(): void {
      socket.destroy();
      done(Left(makeFault('connect', at, 'no connection in time', 'refused', 'timeout')));
    }
    function failed(e: Error & { code?: string }): void {
      clearTimeout(t);
      done(Left(makeFault('connect', at, e, 'refused', e.code)));
    }
    function up(): void {
      clearTimeout(t);
      socket.off('error', failed);
      done(Right(makeConnection(at, socket)));
    }
    socket.once('error', failed);
    socket.once('connect', up);
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
    return serve(bind === '' ? at : `${bind}:${split(at).port}`, limits, take);
  }
  return { serve: serveHere, connect: connectFrom };
}
