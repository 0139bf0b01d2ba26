import { Clock } from '../../../src/shared/ports/clock';
import { RandomSource } from '../../../src/shared/ports/random';

/** One kept part: its tokens were read by a run of one tenant under one version. */
export interface KeptPart {
  salt: string;
  id: string;
  model: string;
  tokens: number;
  /** Tokens of it when it was whole. */
  size: number;
  version: number;
  tenant?: string;
}

/** How a keeper's events go. */
export interface FeedWays {
  lateMs: number;
  /** Share of events that never come. */
  lost: number;
  /** Events that are kept for those who ask. */
  keep: number;
  /** Calls that are held at once. */
  maxConcurrent: number;
}

/** What a keeper tells about its parts. */
export type KeptEventRow = [number, '+' | '-', string, string, number, string];

/** The answer to a call for events. */
export interface FeedAnswer {
  epoch: number;
  nextPageToken: number;
  lost: boolean;
  events: KeptEventRow[];
}

/** Parts kept in tokens, the longest unused giving way first, with the events of their coming and going. */
export interface Keeper {
  ways: FeedWays;
  used: () => number;
  /** The parts that can be used in order, up to the first that is missing or not whole. */
  match: (
    model: string,
    salt: string,
    parts: readonly { id: string; tokens: number }[],
  ) => KeptPart[];
  touch: (parts: readonly KeptPart[]) => void;
  /** Keeps a part; whether there was room. One that it has whole stays as it was first made. */
  put: (p: KeptPart) => boolean;
  /** Makes room for tokens that runs hold. */
  hold: (tokens: number) => boolean;
  release: (tokens: number) => void;
  drop: (model: string) => void;
  events: (since: number) => FeedAnswer;
  /** Runs once something has come, or never. */
  wake: (run: () => void) => () => void;
  list: () => { epoch: number; nextPageToken: number; held: [string, string, number, string][] };
  held: { calls: number };
}

const BLOCK = 16;

function keyOf(model: string, salt: string, id: string): string {
  return `${model}\n${salt}\n${id}`;
}

/** Makes an empty keeper. */
export function makeKeeper(clock: Clock, dice: RandomSource, room: number, ways: FeedWays): Keeper {
  const epoch = 1 + Math.floor(dice.next() * 1e6);
  const parts = new Map<string, KeptPart>();
  const log: { at: number; row: KeptEventRow }[] = [];
  const wakers = new Set<() => void>();
  let seq = 0;
  let sum = 0;
  let pinned = 0;
  let told = 0;
  const held = { calls: 0 };

  function tell(sign: '+' | '-', p: KeptPart): void {
    seq++;
    if (dice.next() < ways.lost) return;
    log.push({ at: clock.now() + ways.lateMs, row: [seq, sign, p.salt, p.id, p.tokens, p.model] });
    if (log.length > ways.keep) told = log.shift()!.row[0];
    function rouse(): void {
      for (const w of [...wakers]) w();
    }
    if (wakers.size > 0) clock.setTimer(ways.lateMs, rouse);
  }

  function used(): number {
    return sum + pinned;
  }

  function fit(tokens: number): boolean {
    if (pinned + tokens > room) return false;
    for (const [k, p] of parts) {
      const over = used() + tokens - room;
      if (over <= 0) break;
      const cut = Math.min(p.tokens, Math.ceil(over / BLOCK) * BLOCK);
      p.tokens -= cut;
      sum -= cut;
      if (p.tokens === 0) parts.delete(k);
      tell('-', p);
    }
    return true;
  }

  function match(
    model: string,
    salt: string,
    wanted: readonly { id: string; tokens: number }[],
  ): KeptPart[] {
    const out: KeptPart[] = [];
    for (const w of wanted) {
      const p = parts.get(keyOf(model, salt, w.id));
      if (!p) break;
      out.push(p);
      if (p.tokens < w.tokens) break;
    }
    return out;
  }

  function touch(used: readonly KeptPart[]): void {
    for (const p of used) {
      const k = keyOf(p.model, p.salt, p.id);
      if (parts.get(k) !== p) continue;
      parts.delete(k);
      parts.set(k, p);
    }
  }

  function put(p: KeptPart): boolean {
    const k = keyOf(p.model, p.salt, p.id);
    const had = parts.get(k);
    if (had && had.tokens >= had.size) {
      touch([had]);
      return true;
    }
    const more = p.tokens - (had?.tokens ?? 0);
    if (had) {
      sum -= had.tokens;
      parts.delete(k);
    }
    if (!fit(p.tokens)) return false;
    const now = { ...p };
    parts.set(k, now);
    sum += p.tokens;
    if (more > 0) tell('+', now);
    return true;
  }

  function hold(tokens: number): boolean {
    if (!fit(tokens)) return false;
    pinned += tokens;
    return true;
  }

  function release(tokens: number): void {
    pinned -= tokens;
  }

  function drop(model: string): void {
    for (const [k, p] of [...parts]) {
      if (p.model !== model) continue;
      parts.delete(k);
      sum -= p.tokens;
      tell('-', { ...p, tokens: 0 });
    }
  }

  function events(since: number): FeedAnswer {
    const now = clock.now();
    const rows: KeptEventRow[] = [];
    let next = Math.max(since, told);
    for (const e of log) {
      if (e.row[0] <= since) continue;
      if (e.at > now) break;
      rows.push(e.row);
      next = e.row[0];
    }
    return { epoch, nextPageToken: next, lost: since < told, events: rows };
  }

  function wake(run: () => void): () => void {
    wakers.add(run);
    const first = log[log.length - 1];
    const off =
      first && first.at > clock.now() ? clock.setTimer(first.at - clock.now(), run) : nothing;
    function stop(): void {
      off();
      wakers.delete(run);
    }
    return stop;
  }

  function list(): ReturnType<Keeper['list']> {
    const rows: [string, string, number, string][] = [];
    for (const p of parts.values()) rows.push([p.salt, p.id, p.tokens, p.model]);
    return { epoch, nextPageToken: seq, held: rows };
  }

  return { ways, used, match, touch, put, hold, release, drop, events, wake, list, held };
}

function nothing(): void {
  // does nothing on purpose
}
