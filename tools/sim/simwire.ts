import { Left, Right } from 'purify-ts';
import { makeError, Result } from '../../src/shared/errors/errors';
import { ErrorCode } from '../../src/shared/errors/error-codes';
import {
  HttpRequest,
  IncomingRequest,
  Listener,
  Message,
  HttpResponse,
  Connection,
  Network,
} from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';
import { Proc } from './process';
import { World } from './simworld';
import { makePipes, NetWays, Pipe, PipeEnds } from './simpipe';
import { ThinLinks } from './thin-links';
import { Traffic } from './traffic';

interface SimListener {
  proc: Proc;
  life: number;
  takeCall?: (c: IncomingRequest) => Promise<void>;
  takeConnection?: (s: Connection) => void;
}

const LATE = 1000;

/** The simulated network over a world. */
export interface SimNet {
  sent: { at: string; body: string; givenUpAt?: number }[];
  traffic?: Traffic;
  /** The bandwidth of machines' links, where it is limited. */
  links?: ThinLinks;
  ports: (p: Proc) => Ports;
  /** Breaks all connections between two processes; new ones come up as the links allow. */
  reset: (a: Proc, b: Proc) => void;
}

/** Makes the network: orderly connections that lose nothing until they break, as TCP's do. */
export function makeNet(w: World, ways: NetWays = {}): SimNet {
  const listeners = new Map<string, SimListener>();
  const warm = new Set<string>();
  const sent: SimNet['sent'] = [];
  const net: SimNet = { ports, sent, reset };
  const { isBlocked, pipes, makePipe, makePair, resetOf } = makePipes(w, weigh, held, ways);

  function reset(a: Proc, b: Proc): void {
    for (const r of [...pipes]) {
      if (!(r.a === a && r.b === b) && !(r.a === b && r.b === a)) continue;
      r.end(a);
      r.end(b);
    }
  }

  function weigh(name: string, m: Message): void {
    net.traffic?.weigh(name, m);
  }

  function held(from: string, to: string, m: Message): number | undefined {
    return net.links?.delay(from, to, m);
  }

  function ipOf(at: string): string {
    return at.slice(0, at.lastIndexOf(':'));
  }

  w.onDeath(died);
  function died(p: Proc, power: boolean): void {
    for (const [at, l] of listeners) if (l.proc === p) listeners.delete(at);
    if (!power) resetOf(p);
  }

  function reachable(from: Proc, to: Proc | undefined): boolean {
    return to !== undefined && to.powered && !w.isCut(from.ip, to.ip) && !w.isCut(to.ip, from.ip);
  }

  function ports(p: Proc): Ports {
    const clock = w.clock(p);
    const life = p.life;

    function mine(): boolean {
      return p.alive && p.life === life;
    }

    function listen(at: string, l: Omit<SimListener, 'proc' | 'life'>): Promise<Result<Listener>> {
      listeners.set(at, { ...l, proc: p, life });
      function close(): Promise<void> {
        if (listeners.get(at)?.proc === p) listeners.delete(at);
        return Promise.resolve();
      }
      return Promise.resolve(Right({ address: at, close }));
    }

    function dial(at: string, within: number): Promise<Result<Connection>> {
      const to = w.procAt(ipOf(at));
      function wait(done: (o: Result<Connection>) => void): void {
        function finish(o: Result<Connection>): void {
          function tell(): void {
            if (mine()) done(o);
          }
          w.onProc(p, tell);
        }
        function late(): void {
          finish(Left(makeError('dial', at, 'no stream in time', 'refused', 'timeout')));
        }
        function arrive(): void {
          if (!mine()) return;
          if (!reachable(p, to)) {
            w.after(within, late);
            return;
          }
          const l = listeners.get(at);
          if (!l?.takeConnection || !l.proc.alive)
            return finish(Left(makeError('dial', at, 'refused', 'refused', 'ECONNREFUSED')));
          const [a, b] = makePair(p, l.proc);
          function take(): void {
            if (l!.proc.alive && l!.proc.life === l!.life) l!.takeConnection!(b);
          }
          w.onProc(l.proc, take);
          finish(Right(a));
        }
        w.after(w.latency(p.ip, ipOf(at)) * 2, arrive);
      }
      return new Promise(wait);
    }

    function ask(q: HttpRequest): Promise<Result<HttpResponse>> {
      const to = w.procAt(ipOf(q.address));
      const step = `${q.method} ${q.path}`;
      const attempt: SimNet['sent'][0] | undefined =
        q.path === '/api/generate'
          ? {
              at: q.address,
              body: q.body!.slice(0, 120) + (q.body!.includes('"urgent":true') ? '+' : '-'),
            }
          : undefined;
      if (attempt) sent.push(attempt);
      function wait(done: (o: Result<HttpResponse>) => void): void {
        const asked = w.now();
        let headed = false;
        let over = false;
        const gone = new AbortController();
        const got: Result<string | undefined>[] = [];
        let want: ((o: Result<string | undefined>) => void) | undefined;
        let back: Pipe | undefined;
        const drop = clock.setTimer(q.timeoutMs, late);
        q.signal?.addEventListener('abort', late, { once: true });
        function off(): void {
          drop();
          q.signal?.removeEventListener('abort', late);
        }
        if (q.signal?.aborted) w.after(0, late);

        function cancelFar(): void {
          if (attempt) attempt.givenUpAt = w.now();
          if (!to) return;
          function far(): void {
            if (to!.alive) w.onProc(to!, abort);
          }
          function abort(): void {
            gone.abort();
          }
          w.after(w.latency(p.ip, to.ip) + (reachable(p, to) ? 0 : 1500), far);
        }
        function late(): void {
          fail('unknown', 'timeout');
          cancelFar();
        }
        function settleOne(o: Result<string | undefined>): void {
          if (want) {
            const k = want;
            want = undefined;
            k(o);
          } else got.push(o);
        }
        function fail(certainty: 'refused' | 'unknown', code: ErrorCode): void {
          if (over) return;
          over = true;
          off();
          function tell(): void {
            if (!mine()) return;
            const f = Left(makeError(step, q.address, code, certainty, code));
            if (!headed) done(f);
            else settleOne(f);
          }
          w.onProc(p, tell);
        }
        function next(): Promise<Result<string | undefined>> {
          function pull(k: (o: Result<string | undefined>) => void): void {
            if (got.length > 0) k(got.shift()!);
            else want = k;
          }
          return new Promise(pull);
        }
        function cancel(): void {
          if (over) return;
          over = true;
          off();
          cancelFar();
        }
        function broke(): void {
          fail('unknown', 'reset');
        }
        function arrive(): void {
          if (!mine()) return;
          const isWarm = warm.has(`${p.ip} ${q.address}`);
          if (isWarm && to ? isBlocked(p, to) : !reachable(p, to)) {
            if (isWarm) {
              if (w.now() - asked < LATE) w.after(100, arrive);
              return;
            }
            function noConnect(): void {
              fail('refused', 'UND_ERR_CONNECT_TIMEOUT');
            }
            w.after(400, noConnect);
            return;
          }
          if (over) {
            function closed(): void {
              gone.abort();
            }
            w.after(1, closed);
          }
          const l = listeners.get(q.address);
          if (!l?.takeCall || !l.proc.alive) {
            warm.delete(`${p.ip} ${q.address}`);
            return fail('refused', 'ECONNREFUSED');
          }
          warm.add(`${p.ip} ${q.address}`);
          const rec: PipeEnds = { a: p, b: l.proc, end: ended };
          pipes.add(rec);
          function ended(who: Proc): void {
            if (who === p) broke();
            else gone.abort();
          }
          back = makePipe(l.proc, p, broke);
          function takeIt(): void {
            if (l!.proc.alive && l!.proc.life === l!.life) void l!.takeCall!(makeCall(rec));
          }
          w.onProc(l.proc, takeIt);
        }
        function makeCall(rec: PipeEnds): IncomingRequest {
          const url = new URL(q.path, 'http://node');
          let closed = false;
          function body(most: number): Promise<Result<string>> {
            const text = q.body ?? '';
            return Promise.resolve(
              text.length > most
                ? Left(makeError('read body', p.ip, `over ${most} bytes`, 'refused', 'too-large'))
                : Right(text),
            );
          }
          function head(status: number, headers: Record<string, string>): void {
            if (closed) return;
            function arriveHead(): void {
              if (over || headed) return;
              headed = true;
              done(Right({ status, headers, nextChunk: next, cancel }));
            }
            back!.send(arriveHead);
          }
          function piece(text: string): Promise<boolean> {
            if (closed || gone.signal.aborted || back!.broken()) return Promise.resolve(false);
            function arrivePiece(): void {
              if (!over) settleOne(Right(text));
            }
            back!.send(arrivePiece);
            return Promise.resolve(true);
          }
          function end(text?: string): void {
            if (closed) return;
            closed = true;
            function arriveEnd(): void {
              pipes.delete(rec);
              if (over) return;
              over = true;
              off();
              if (text) settleOne(Right(text));
              settleOne(Right(undefined));
            }
            back!.send(arriveEnd);
          }
          function breakOff(): void {
            if (closed) return;
            closed = true;
            pipes.delete(rec);
            back!.send(broke);
          }
          return {
            method: q.method,
            path: url.pathname,
            query: url.searchParams,
            headers: { ...q.headers },
            peer: p.ip,
            aborted: gone.signal,
            body,
            writeHead: head,
            write: piece,
            end,
            destroy: breakOff,
          };
        }
        w.after(w.latency(p.ip, ipOf(q.address)), arrive);
      }
      return new Promise(wait);
    }

    function serve(
      at: string,
      takeCall: (c: IncomingRequest) => Promise<void>,
    ): Promise<Result<Listener>> {
      return listen(at, { takeCall });
    }

    function accept(
      at: string,
      takeConnection: (s: Connection) => void,
    ): Promise<Result<Listener>> {
      return listen(at, { takeConnection });
    }

    const wire: Network = { serveHttp: serve, request: ask, listen: accept, connect: dial };
    return { clock, random: w.dice, disk: w.disk(p), network: wire, logger: w.log(p) };
  }

  return net;
}
