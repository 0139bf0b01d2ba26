import { EngineLoad, LoadsAnswer, LoadsTell } from '../shared/loads';

type Load = [running: number, unread: number];

interface Teller {
  name: string;
  own: Map<string, Load>;
  said: Map<string, Load>;
  heardAt: number;
  counted: boolean;
}

/** What all routers have in flight at each engine, held at one indexer for all of them. */
export interface Loads {
  /** Takes a router's loads on one of its connections and tells it those of the others. */
  tell(connection: object, router: string, t: LoadsTell): LoadsAnswer;
  /** A connection has ended: its router's loads go. */
  drop(connection: object): void;
  /** The sums over all routers. */
  totals(): EngineLoad[];
}

/** Makes the board; a router that is silent for `silentMs` does not count until it speaks again. */
export function makeLoads(now: () => number, silentMs: number): Loads {
  const tellers = new Map<object, Teller>();
  const sums = new Map<string, Load>();

  function add(engine: string, running: number, unread: number): void {
    const s = sums.get(engine) ?? [0, 0];
    s[0] += running;
    s[1] += unread;
    if (s[0] === 0 && s[1] === 0) sums.delete(engine);
    else sums.set(engine, s);
  }

  function count(t: Teller, counted: boolean): void {
    if (t.counted === counted) return;
    t.counted = counted;
    const by = counted ? 1 : -1;
    for (const [engine, [running, unread]] of t.own) add(engine, running * by, unread * by);
  }

  function quiet(): void {
    const from = now() - silentMs;
    for (const t of tellers.values()) if (t.heardAt < from) count(t, false);
  }

  function set(t: Teller, engine: string, running: number, unread: number): void {
    const was = t.own.get(engine);
    if (was) add(engine, -was[0], -was[1]);
    if (running === 0 && unread === 0) t.own.delete(engine);
    else t.own.set(engine, [running, unread]);
    add(engine, running, unread);
  }

  function known(connection: object, router: string): Teller {
    const have = tellers.get(connection);
    if (have) return have;
    for (const [c, t] of [...tellers]) if (t.name === router) drop(c);
    const t: Teller = { name: router, own: new Map(), said: new Map(), heardAt: now(), counted: true };
    tellers.set(connection, t);
    return t;
  }

  function tell(connection: object, router: string, q: LoadsTell): LoadsAnswer {
    const first = !tellers.has(connection);
    const t = known(connection, router);
    t.heardAt = now();
    count(t, true);
    if (q.full) for (const engine of [...t.own.keys()]) set(t, engine, 0, 0);
    for (const [engine, running, unread] of q.own) set(t, engine, running, unread);
    quiet();
    const full = first || q.full;
    if (full) t.said.clear();
    return { full, others: changed(t) };
  }

  function changed(t: Teller): EngineLoad[] {
    const out: EngineLoad[] = [];
    for (const [engine, sum] of sums) {
      const own = t.own.get(engine);
      const running = sum[0] - (own?.[0] ?? 0);
      const unread = sum[1] - (own?.[1] ?? 0);
      const said = t.said.get(engine);
      if ((said?.[0] ?? 0) === running && (said?.[1] ?? 0) === unread) continue;
      out.push([engine, running, unread]);
      if (running === 0 && unread === 0) t.said.delete(engine);
      else t.said.set(engine, [running, unread]);
    }
    for (const engine of [...t.said.keys()]) {
      if (sums.has(engine)) continue;
      out.push([engine, 0, 0]);
      t.said.delete(engine);
    }
    return out;
  }

  function drop(connection: object): void {
    const t = tellers.get(connection);
    if (!t) return;
    count(t, false);
    tellers.delete(connection);
  }

  function totals(): EngineLoad[] {
    quiet();
    const out: EngineLoad[] = [];
    for (const [engine, [running, unread]] of sums) out.push([engine, running, unread]);
    return out;
  }

  return { tell, drop, totals };
}
