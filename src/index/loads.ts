import { EngineLoad, LoadReply, LoadReport } from '../shared/contracts/indexer';

type Load = [running: number, unread: number, held: number];

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
  tell: (connection: object, router: string, t: LoadReport) => LoadReply;
  /** A connection has ended: its router's loads go. */
  drop: (connection: object) => void;
  /** The sums over all routers. */
  totals: () => EngineLoad[];
}

/** Makes the board; a router that is silent for `silentMs` does not count until it speaks again. */
export function makeLoads(now: () => number, silentMs: number): Loads {
  const tellers = new Map<object, Teller>();
  const sums = new Map<string, Load>();

  function add(engine: string, [running, unread, held]: Load, by: number): void {
    const s = sums.get(engine) ?? [0, 0, 0];
    s[0] += running * by;
    s[1] += unread * by;
    s[2] += held * by;
    if (s[0] === 0 && s[1] === 0) sums.delete(engine);
    else sums.set(engine, s);
  }

  function count(t: Teller, counted: boolean): void {
    if (t.counted === counted) return;
    t.counted = counted;
    for (const [engine, l] of t.own) add(engine, l, counted ? 1 : -1);
  }

  function quiet(): void {
    const from = now() - silentMs;
    for (const t of tellers.values()) if (t.heardAt < from) count(t, false);
  }

  function set(t: Teller, engine: string, l: Load): void {
    const was = t.own.get(engine);
    if (was) add(engine, was, -1);
    if (l[0] === 0 && l[1] === 0) t.own.delete(engine);
    else t.own.set(engine, l);
    add(engine, l, 1);
  }

  function known(connection: object, router: string): Teller {
    const have = tellers.get(connection);
    if (have) return have;
    for (const [c, t] of [...tellers]) if (t.name === router) drop(c);
    const t: Teller = {
      name: router,
      own: new Map(),
      said: new Map(),
      heardAt: now(),
      counted: true,
    };
    tellers.set(connection, t);
    return t;
  }

  function tell(connection: object, router: string, q: LoadReport): LoadReply {
    const first = !tellers.has(connection);
    const t = known(connection, router);
    t.heardAt = now();
    count(t, true);
    if (q.full) for (const engine of [...t.own.keys()]) set(t, engine, [0, 0, 0]);
    for (const [engine, running, unread, held] of q.own)
      set(t, engine, [running, unread, held ?? 0]);
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
      const held = sum[2] - (own?.[2] ?? 0);
      const said = t.said.get(engine);
      if ((said?.[0] ?? 0) === running && (said?.[1] ?? 0) === unread) continue;
      out.push(worded(engine, [running, unread, held]));
      if (running === 0 && unread === 0) t.said.delete(engine);
      else t.said.set(engine, [running, unread, held]);
    }
    for (const engine of [...t.said.keys()]) {
      if (sums.has(engine)) continue;
      out.push([engine, 0, 0]);
      t.said.delete(engine);
    }
    return out;
  }

  function worded(engine: string, [running, unread, held]: Load): EngineLoad {
    return held > 0 ? [engine, running, unread, held] : [engine, running, unread];
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
    for (const [engine, l] of sums) out.push(worded(engine, l));
    return out;
  }

  return { tell, drop, totals };
}
