import http from 'node:http';
import { Left, Right } from 'purify-ts';
import { ErrorCode, systemErrorCode } from '../errors/error-codes';
import { makeError, Result } from '../errors/errors';
import { HttpRequest, HttpResponse } from '../ports/network';

const SURE = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ECONNTIMEOUT']);
const MOST_CONNECTIONS = 256;
const KEPT_IDLE = 4000;

/** Makes the client side of HTTP: connections are kept, and one that isn't up within the ms is given up. */
export function makeHttpClient(
  connectWithin: number,
  localAddress: string | undefined,
): (q: HttpRequest) => Promise<Result<HttpResponse>> {
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: MOST_CONNECTIONS,
    timeout: KEPT_IDLE,
  });

  function ask(q: HttpRequest): Promise<Result<HttpResponse>> {
    const step = `${q.method} ${q.path}`;
    const colon = q.address.lastIndexOf(':');
    let fate: { sort: 'refused' | 'unknown'; code: ErrorCode } | undefined;
    let connected = false;

    function wait(done: (o: Result<HttpResponse>) => void): void {
      const headers: Record<string, string | number> = { ...q.headers };
      if (q.body !== undefined) headers['content-length'] = Buffer.byteLength(q.body);
      const req = http.request({
        host: q.address.slice(0, colon),
        port: Number(q.address.slice(colon + 1)),
        method: q.method,
        path: q.path,
        headers,
        agent,
        localAddress,
      });
      const late = setTimeout(cut, q.timeoutMs, 'timeout');
      let dialled: ReturnType<typeof setTimeout> | undefined;

      function cut(code: ErrorCode): void {
        fate = fate ?? { sort: connected ? 'unknown' : 'refused', code };
        req.destroy(new Error(`given up: ${code}`));
      }

      function gone(): void {
        cut('timeout');
      }

      function over(): void {
        clearTimeout(late);
        clearTimeout(dialled);
        q.signal?.removeEventListener('abort', gone);
      }

      function failed(e: Error): void {
        over();
        const code = fate?.code ?? systemErrorCode(e);
        const sort = fate?.sort ?? (code !== undefined && SURE.has(code) ? 'refused' : 'unknown');
        done(Left(makeError(step, q.address, e, sort, code)));
      }

      function up(): void {
        connected = true;
        clearTimeout(dialled);
      }

      function given(socket: import('node:net').Socket): void {
        if (!socket.connecting) return up();
        dialled = setTimeout(lateDial, connectWithin);
        socket.once('connect', up);
      }

      /** A connection that came up while the event loop was held up counts as in time. */
      function lateDial(): void {
        setImmediate(giveUpDial);
      }

      function giveUpDial(): void {
        if (!connected) cut('ECONNTIMEOUT');
      }

      function answered(res: http.IncomingMessage): void {
        const pieces = res[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
        const text = new TextDecoder();
        async function next(): Promise<Result<string | undefined>> {
          try {
            const p = await pieces.next();
            if (!p.done) return Right(text.decode(p.value, { stream: true }));
            over();
            return Right(undefined);
          } catch (e) {
            over();
            return Left(makeError(step, q.address, e, 'unknown', fate?.code ?? systemErrorCode(e)));
          }
        }
        function cancel(): void {
          over();
          res.on('error', over);
          res.destroy();
        }
        done(
          Right({
            status: res.statusCode ?? 0,
            headers: res.headers as Record<string, string | undefined>,
            nextChunk: next,
            cancel,
          }),
        );
      }

      req.on('error', failed);
      req.on('socket', given);
      req.on('response', answered);
      if (q.signal?.aborted) cut('timeout');
      q.signal?.addEventListener('abort', gone, { once: true });
      req.end(q.body);
    }
    return new Promise(wait);
  }
  return ask;
}
