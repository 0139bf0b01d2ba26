/**
 * The simulated network's pipes: orderly, one-way, and lossless until they break; two make a connection.
 */

import { makePushStream } from '../../src/shared/util/push-stream';
import { Connection, Message } from '../../src/shared/ports/network';
import { Proc } from './process';
import { World } from './simworld';

/** One direction between two processes. */
export interface Pipe {
  send: (run: () => void) => void;
  broken: () => boolean;
  breakOff: () => void;
}

/** Two processes that are connected, and how one of them is told of the end. */
export interface PipeEnds {
  a: Proc;
  b: Proc;
  end: (who: Proc) => void;
}

/** What a network does beyond the simplest. */
export interface NetWays {
  /** A link that is cut one way goes on to deliver what established connections carry the other way; otherwise they carry nothing. */
  deliversOneWay?: boolean;
}

/** Makes pipes and knows who is connected. */
export interface Pipes {
  /** Whether an established connection carries nothing in this direction. */
  isBlocked: (from: Proc, to: Proc) => boolean;
  pipes: Set<PipeEnds>;
  makePipe: (from: Proc, to: Proc, onBreak: () => void) => Pipe;
  makePair: (a: Proc, b: Proc) => [Connection, Connection];
  /** Tells whoever was connected to a process that it died. */
  resetOf: (p: Proc) => void;
}

const GIVE_UP = 8000;

/** Makes the pipes of a world; `weigh` is shown every message that is sent, `held` tells how long links hold it beside the latency. */
export function makePipes(
  w: World,
  weigh: (name: string, m: Message) => void,
  held: (from: string, to: string, m: Message) => number | undefined,
  ways: NetWays = {},
): Pipes {
  const pipes = new Set<PipeEnds>();

  function isBlocked(from: Proc, to: Proc): boolean {
    if (w.isCut(from.ip, to.ip) || !to.powered) return true;
    return !ways.deliversOneWay && w.isCut(to.ip, from.ip);
  }

  function makePipe(from: Proc, to: Proc, onBreak: () => void): Pipe {
    const queue: (() => void)[] = [];
    const life = to.life;
    let busy = false;
    let since: number | undefined;
    let over = false;
    function breakOff(): void {
      if (over) return;
      over = true;
      queue.length = 0;
    }
    function pump(): void {
      if (over || queue.length === 0) {
        busy = false;
        return;
      }
      if (isBlocked(from, to)) {
        since = since ?? w.now();
        if (w.now() - since > GIVE_UP) {
          breakOff();
          onBreak();
          return;
        }
        w.after(40, pump);
        return;
      }
      since = undefined;
      if (!to.alive || to.life !== life) {
        breakOff();
        onBreak();
        return;
      }
      const run = queue.shift()!;
      function go(): void {
        if (to.alive && to.life === life) run();
      }
      w.onProc(to, go);
      w.after(0, pump);
    }
    function send(run: () => void): void {
      if (over) return;
      queue.push(run);
      if (busy) return;
      busy = true;
      w.after(w.latency(from.ip, to.ip), pump);
    }
    function broken(): boolean {
      return over;
    }
    return { send, broken, breakOff };
  }

  function makePair(a: Proc, b: Proc): [Connection, Connection] {
    const ends = new Map<Proc, () => void>();
    const rec = { a, b, end };
    pipes.add(rec);
    const toB = makePipe(a, b, endBoth);
    const toA = makePipe(b, a, endBoth);
    function endBoth(): void {
      end(a);
      end(b);
    }
    function end(who: Proc): void {
      ends.get(who)?.();
    }
    function side(me: Proc, out: Pipe, back: Pipe): Connection {
      const hand = makePushStream<Message>();
      let over = false;
      const life = me.life;
      function wait(done: () => void): void {
        function ended(): void {
          if (over) return;
          over = true;
          out.breakOff();
          back.breakOff();
          pipes.delete(rec);
          function tell(): void {
            if (!me.alive || me.life !== life) return;
            hand.end();
            done();
          }
          w.onProc(me, tell);
        }
        ends.set(me, ended);
      }
      const done = new Promise<void>(wait);
      function send(m: Message): boolean {
        if (over || !me.alive || me.life !== life) return false;
        const copy = structuredClone(m);
        weigh(me.name, m);
        function arrive(): void {
          adds.get(me === a ? b : a)?.(copy);
        }
        function depart(): void {
          out.send(arrive);
        }
        const heldFor = held(me.ip, (me === a ? b : a).ip, m);
        if (heldFor === undefined) depart();
        else w.after(heldFor, depart);
        return true;
      }
      function close(): void {
        end(me);
        w.after(w.latency(a.ip, b.ip), other);
        function other(): void {
          if (!w.isCut(a.ip, b.ip) && !w.isCut(b.ip, a.ip)) end(me === a ? b : a);
          else w.after(GIVE_UP, otherLate);
        }
        function otherLate(): void {
          end(me === a ? b : a);
        }
      }
      adds.set(me, hand.push);
      return { peer: me === a ? b.ip : a.ip, messages: hand.stream, closed: done, send, close };
    }
    const adds = new Map<Proc, (m: Message) => void>();
    return [side(a, toB, toA), side(b, toA, toB)];
  }

  function resetOf(p: Proc): void {
    for (const r of [...pipes]) {
      if (r.a !== p && r.b !== p) continue;
      const other = r.a === p ? r.b : r.a;
      function reset(): void {
        if (w.isCut(p.ip, other.ip)) w.after(200, reset);
        else r.end(other);
      }
      w.after(w.latency(p.ip, other.ip), reset);
    }
  }

  return { isBlocked, pipes, makePipe, makePair, resetOf };
}
