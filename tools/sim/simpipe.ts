import { Proc, World } from './simworld';

/** Ms after which a side gives a connection up that carries nothing. */
export const GIVE_UP = 8000;

/** What a network does beyond the simplest. */
export interface NetWays {
  /** A link that is cut one way goes on to deliver what established connections carry the other way; otherwise they carry nothing. */
  deliversOneWay?: boolean;
}

/** One direction of a connection: what is sent arrives in order, or the connection breaks. */
export interface Pipe {
  send(run: () => void): void;
  broken(): boolean;
  breakOff(): void;
}

/** What connections are made of. */
export interface Pipes {
  isBlocked(from: Proc, to: Proc): boolean;
  makePipe(from: Proc, to: Proc, onBreak: () => void): Pipe;
}

/** Makes the pipes of a world. */
export function makePipes(w: World, ways: NetWays): Pipes {
  /** Whether an established connection carries nothing in this direction. */
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

  return { isBlocked, makePipe };
}
