import { sendJson } from '../../src/shared/transport/http-handlers';
import { IncomingRequest } from '../../src/shared/ports/network';
import { Clock } from '../../src/shared/ports/clock';

type Told = [number: number, sign: string, salt: string, id: string, kept: number, model: string];

/** How a stand-in source of kept parts behaves. */
export interface KvWays {
  model: string;
  /** The newest events that are kept. */
  keepsMost: number;
  maxConcurrent: number;
  /** Ms by which events are told late. */
  lateMs: number;
}

/** A stand-in for an engine or a store that tells of its parts in the platform's words. */
export interface KvSource {
  ways: KvWays;
  take: (call: IncomingRequest) => Promise<void>;
  /** Keeps so many tokens of a part from now on; 0 drops it. */
  keep: (salt: string, id: string, tokens: number) => void;
  /** The next so many events take numbers and are never told. */
  loseNext: (n: number) => void;
  /** Forgets all events that are held, as after trouble. */
  loseHeld: () => void;
  /** Starts anew: another epoch, nothing kept. */
  restart: () => void;
  held: (salt: string, id: string) => number;
  counts: { calls: number; short: number; turnedAway: number; lists: number };
}

/** Makes a stand-in source. */
export function makeKvSource(clock: Clock, first: Partial<KvWays> = {}): KvSource {
  const ways: KvWays = { model: 'm', keepsMost: 1000, maxConcurrent: 12, lateMs: 0, ...first };
  const kept = new Map<string, Told>();
  const counts = { calls: 0, short: 0, turnedAway: 0, lists: 0 };
  const waiting = new Set<() => void>();
  let events: { at: number; e: Told }[] = [];
  let epoch = 77120;
  let number = 0;
  let losing = 0;
  let holding = 0;

  function wake(): void {
    for (const go of [...waiting]) go();
  }

  function keep(salt: string, id: string, tokens: number): void {
    const key = `${salt} ${id}`;
    const before = kept.get(key)?.[4] ?? 0;
    const e: Told = [++number, tokens >= before ? '+' : '-', salt, id, tokens, ways.model];
    if (tokens > 0) kept.set(key, e);
    else kept.delete(key);
    if (losing > 0) {
      losing--;
      return;
    }
    events.push({ at: clock.now() + ways.lateMs, e });
    if (events.length > ways.keepsMost) events = events.slice(-ways.keepsMost);
    if (ways.lateMs === 0) wake();
    else clock.setTimer(ways.lateMs, wake);
  }

  function loseNext(n: number): void {
    losing = n;
  }

  function loseHeld(): void {
    events = [];
  }

  function restart(): void {
    epoch++;
    number = 0;
    events = [];
    kept.clear();
    wake();
  }

  function answer(since: number): {
    epoch: number;
    nextPageToken: number;
    lost: boolean;
    events: Told[];
  } {
    const list: Told[] = [];
    let last = since;
    for (const x of events) {
      if (x.e[0] <= since || x.at > clock.now()) continue;
      list.push(x.e);
      last = x.e[0];
    }
    const first = events[0]?.e[0] ?? number + 1;
    if (events.length === 0 && number > since) last = number;
    return { epoch, nextPageToken: last, lost: since + 1 < first, events: list };
  }

  async function feed(call: IncomingRequest): Promise<void> {
    const since = Number(call.query.get('since'));
    const wait = Number(call.headers['wait-ms'] ?? call.headers['Wait-Ms'] ?? 0);
    counts.calls++;
    if (wait < 200) counts.short++;
    if (holding >= ways.maxConcurrent) {
      counts.turnedAway++;
      return sendJson(call, 429, {});
    }
    holding++;
    const from = epoch;
    if (answer(since).events.length === 0 && !answer(since).lost) await heldBack();
    holding--;
    sendJson(call, 200, answer(since));

    function heldBack(): Promise<void> {
      function hold(done: () => void): void {
        const off = clock.setTimer(wait, go);
        waiting.add(go);
        function go(): void {
          const a = answer(since);
          const over = a.events.length > 0 || a.lost || epoch !== from;
          if (!over && clock.now() < began + wait) return;
          off();
          waiting.delete(go);
          done();
        }
      }
      const began = clock.now();
      return new Promise(hold);
    }
  }

  async function take(call: IncomingRequest): Promise<void> {
    if (call.path === '/api/kv-events') return feed(call);
    if (call.path !== '/api/kv-list') return sendJson(call, 404, {});
    counts.lists++;
    const held: unknown[] = [];
    for (const e of kept.values()) held.push([e[2], e[3], e[4], e[5]]);
    sendJson(call, 200, { epoch, nextPageToken: number, held });
  }

  function held(salt: string, id: string): number {
    return kept.get(`${salt} ${id}`)?.[4] ?? 0;
  }

  return { ways, take, keep, loseNext, loseHeld, restart, held, counts };
}
