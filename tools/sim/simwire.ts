import { Left, Right } from 'purify-ts';
import { makeFault, Outcome } from '../../src/shared/errors/errors';
import {
  Ask,
  Call,
  Listening,
  Message,
  Ports,
  Reply,
  Connection,
  Wire,
} from '../../src/shared/ports/ports';
import { Proc, World } from './simworld';
import { makePipes, NetWays, Pipe, PipeEnds } from './simpipe';
import { ThinLinks } from './thin-links';
import { Traffic } from './traffic';

interface Listener {
  proc: Proc;
  life: number;
  takeCall?: (c: Call) => Promise<void>;
  takeConnection?: (s: Connection) => void;
}

const LATE = 1000;

/** The simulated network over a world. */
export interface SimNet {
  sent: { at: string; body: string; givenUpAt?: number }[];
  traffic?: Traffic;
  /** The bandwidth of machines' links, where it is limited. */
  links?: ThinLinks;
  ports(p: Proc): Ports;
  /** Breaks all connections between two processes; new ones come up as the links allow. */
  reset(a: Proc, b: Proc): void;
}

/** Makes the network: orderly connections that lose nothing until they break, as TCP's do. */
export function makeNet(w: World, ways: NetWays = {}): SimNet {
  const listeners = new Map<string, Listener>();
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

    async function listen(
      at: string,
      l: Omit<Listener, 'proc' | 'life'>,
    ): Promise<Outcome<Listening>> {
      listeners.set(at, { ...l, proc: p, life });
      async function close(): Promise<void> {
        if (listeners.get(at)?.proc === p) listeners.delete(at);
      }
      return Right({ at, close });
    }

    function dial(at: string, within: number): Promise<Outcome<Connection>> {
      const to = w.procAt(ipOf(at));
      function wait(done: (o: Outcome<Connection>) => void): void {
        function finish(o: Outcome<Connection>): void {
          function tell(): void {
            if (mine()) done(o);
          }
          w.onProc(p, tell);
        }
        function late(): void {
          finish(Left(makeFault('dial', at, 'no stream in time', 'refused', 'timeout')));
        }
        function arrive(): void {
          if (!mine()) return;
          if (!reachable(p, to)) {
            w.after(within, late);
            return;
          }
          const l = listeners.get(at);
          if (!l?.takeConnection || !l.proc.alive)
            return finish(Left(makeFault('dial', at, 'refused', 'refused', 'ECONNREFUSED')));
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

    function ask(q: Ask): Promise<Outcome<Reply>> {
      const to = w.procAt(ipOf(q.at));
      const step = `${q.method} ${q.path}`;
      const attempt: SimNet['sent'][0] | undefined =
        q.path === '/api/generate'
          ? {
              at: q.at,
              body: q.body!.slice(0, 120) + (q.body!.includes('"urgent":true') ? '+' : '-'),
            }
          : undefined;
      if (attempt) sent.push(attempt);
      function wait(done: (o: Outcome<Reply>) => void): void {
        const asked = w.now();
        let headed = false;
        let over = false;
        const gone = new AbortController();
        const got: Outcome<string | undefined>[] = [];
        let want: ((o: Outcome<string | undefined>) => void) | undefined;
        let back: Pipe | undefined;
        const drop = clock.timer(q.within, late);
        q.gone?.addEventListener('abort', late, { once: true });
        function off(): void {
          drop();
          q.gone?.removeEventListener('abort', late);
        }
        if (q.gone?.aborted) w.after(0, late);

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
        function settleOne(o: Outcome<string | undefined>): void {
          if (want) {
            const k = want;
            want = undefined;
            k(o);
          } else got.push(o);
        }
        function fail(sort: 'refused' | 'unknown', code: string): void {
          if (over) return;
          over = true;
          off();
          function tell(): void {
            if (!mine()) return;
            const f = Left(makeFault(step, q.at, code, sort, code));
            if (!headed) done(f);
            else settleOne(f);
          }
          w.onProc(p, tell);
        }
        function next(): Promise<Outcome<string | undefined>> {
          function pull(k: (o: Outcome<string | undefined>) => void): void {
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
          const isWarm = warm.has(`${p.ip} ${q.at}`);
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
          const l = listeners.get(q.at);
          if (!l?.takeCall || !l.proc.alive) {
            warm.delete(`${p.ip} ${q.at}`);
            return fail('refused', 'ECONNREFUSED');
          }
          warm.add(`${p.ip} ${q.at}`);
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
        function makeCall(rec: PipeEnds): Call {
          const url = new URL(q.path, 'http://node');
          let closed = false;
          async function body(most: number): Promise<Outcome<string>> {
            const text = q.body ?? '';
            return text.length > most
              ? Left(makeFault('read body', p.ip, `over ${most} bytes`, 'refused', 'too-large'))
              : Right(text);
          }
          function head(status: number, headers: Record<string, string>): void {
            if (closed) return;
            function arriveHead(): void {
              if (over || headed) return;
              headed = true;
              done(Right({ status, headers, next, cancel }));
            }
            back!.send(arriveHead);
          }
          async function piece(text: string): Promise<boolean> {
            if (closed || gone.signal.aborted || back!.broken()) return false;
            function arrivePiece(): void {
              if (!over) settleOne(Right(text));
            }
            back!.send(arrivePiece);
            return true;
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
            gone: gone.signal,
            body,
            head,
            piece,
            end,
            breakOff,
          };
        }
        w.after(w.latency(p.ip, ipOf(q.at)), arrive);
      }
      return new Promise(wait);
    }

    function serve(at: string, takeCall: (c: Call) => Promise<void>): Promise<Outcome<Listening>> {
      return listen(at, { takeCall });
    }

    function accept(
      at: string,
      takeConnection: (s: Connection) => void,
    ): Promise<Outcome<Listening>> {
      return listen(at, { takeConnection });
    }

    const wire: Wire = { serve, ask, accept, dial };
    return { clock, dice: w.dice, disk: w.disk(p), wire, log: w.log(p) };
  }

  return net;
}
