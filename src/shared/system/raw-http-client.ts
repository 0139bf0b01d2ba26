import http from 'node:http';
import net from 'node:net';
import { Left, Right } from 'purify-ts';
import { ErrorCode, systemErrorCode } from '../errors/error-codes';
import { makeError, Result } from '../errors/errors';
import { HttpConnection, RawHttpRequest, RawHttpResponse } from '../ports/raw-http';
import { ignore, splitAddress } from './http-io';

/** How long a connection may be without traffic before the kernel probes its peer. */
const PROBE_AFTER_MS = 1000;

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
  q: RawHttpRequest,
  req: http.ClientRequest,
  res: http.IncomingMessage,
  over: () => void,
  cut: () => ErrorCode | undefined,
): RawHttpResponse {
  const step = `${q.method} ${q.target}`;
  const queue: Buffer[] = [];
  const framed = isFramed(q.method, res);
  let ended: Result<undefined> | undefined;
  let waiter: ((o: Result<Uint8Array | undefined>) => void) | undefined;

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
  function finish(o: Result<undefined>): void {
    if (ended !== undefined) return;
    ended = o;
    over();
    if (queue.length === 0) waiter?.(o);
  }
  function end(): void {
    finish(res.complete && framed ? Right(undefined) : broken('ended without its end'));
  }
  function broken(why: unknown): Result<undefined> {
    return Left(makeError(step, at, why, 'unknown', cut() ?? 'broken'));
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

  function next(): Promise<Result<Uint8Array | undefined>> {
    function wait(done: (o: Result<Uint8Array | undefined>) => void): void {
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
    headersByName: res.headers as Record<string, string | undefined>,
    nextChunk: next,
    cancel,
  };
}

/** Puts requests on a connection, one at a time; an agent of its own keeps it between them. */
function makeConnection(at: string, socket: net.Socket): HttpConnection {
  const agent = new http.Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  let busy = false;
  let uses = 0;
  let surplus = false;
  let told: () => void = ignore;
  agent.createConnection = createConnection;
  (agent as { keepSocketAlive?: unknown }).keepSocketAlive = keepSocketAlive;
  socket.setNoDelay(true);
  socket.setKeepAlive(true, PROBE_AFTER_MS);
  socket.on('data', data);
  socket.on('error', ignore);

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

  function ask(
    q: RawHttpRequest,
    within: number,
    gone: AbortSignal,
  ): Promise<Result<RawHttpResponse>> {
    const step = `${q.method} ${q.target}`;
    function wait(done: (o: Result<RawHttpResponse>) => void): void {
      if (!fit())
        return done(Left(makeError(step, at, 'the connection is not fit', 'refused', 'not-fit')));
      if (gone.aborted)
        return done(Left(makeError(step, at, 'the caller went away', 'refused', 'caller-gone')));
      busy = true;
      uses++;
      let whole = false;
      let cut: ErrorCode | undefined;
      const req = http.request({
        agent,
        ...splitAddress(at),
        method: q.method,
        path: q.target,
        headers: q.headers as never,
        setHost: false,
      });
      const t = setTimeout(late, within);
      function cutBy(): ErrorCode | undefined {
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
      function failed(e: Error): void {
        if (whole) surplus = true;
        over();
        socket.destroy();
        done(Left(makeError(step, at, e, 'unknown', cut ?? systemErrorCode(e))));
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

  return {
    address: at,
    isReusable: fit,
    useCount: used,
    request: ask,
    onIdle,
    closed: new Promise(waitClosed),
    close,
  };
}

/** Connects to a server; a connection that isn't up within the ms is given up. */
export function connect(
  at: string,
  within: number,
  localAddress: string | undefined,
): Promise<Result<HttpConnection>> {
  function wait(done: (o: Result<HttpConnection>) => void): void {
    const socket = net.connect({ ...splitAddress(at), localAddress });
    const t = setTimeout(late, within);
    /** A connection that came up while the event loop was held up counts as in time. */
    function late(): void {
      setImmediate(giveUp);
    }
    function giveUp(): void {
      if (!socket.connecting) return;
      socket.destroy();
      done(Left(makeError('connect', at, 'no connection in time', 'refused', 'timeout')));
    }
    function failed(e: Error): void {
      clearTimeout(t);
      done(Left(makeError('connect', at, e, 'refused', systemErrorCode(e))));
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
