import { EngineLoad } from '../../shared/contracts/indexer';

/** One request in flight at an engine. */
export interface Flight {
  engine: string;
  /** Prompt tokens that the engine is taken to have to read for it. */
  unread: number;
  /** Tokens of memory that it takes. */
  memory: number;
  sentAt: number;
  /** Ms to its first event as reckoned. */
  dueMs: number;
  /** Ms that a move of parts to its engine takes. */
  moveMs: number;
  firstAt?: number;
}

/** What runs at one engine. */
export interface Load {
  running: number;
  /** Prompt tokens still to be read. */
  unread: number;
  /** Requests whose first event is still awaited, of this router's own. */
  awaiting: number;
  memory: number;
  moveMs: number;
  /** Ms for which an awaited first event has been overdue without any word from the engine. */
  silentMs: number;
  /** The share of the time for which it has lately been reading prompts. */
  reading: number;
}

/** Requests in flight by engine: this router's own, and those of all others as the load board told them. */
export interface Loads {
  began: (f: Flight) => void;
  first: (f: Flight) => void;
  ended: (f: Flight) => void;
  of: (engine: string) => Load;
  /** Own loads for the board. */
  own: () => EngineLoad[];
  /** Takes what the board told of all others. */
  others: (list: EngineLoad[], full: boolean) => void;
  /** Forgets what the board told, as it is silent. */
  noBoard: () => void;
  /** Forgets engines that are gone. */
  keep: (names: ReadonlySet<string>) => void;
  hasBoard: () => boolean;
}

/** The least of a request's unread tokens that counts until its first event comes. */
const LEAST_LEFT = 0.15;

/** How far back the share of reading looks, in ms, and the unread tokens from which an engine counts as reading. */
const LATELY_MS = 1500;
const MUCH_UNREAD = 500;

/** Makes the books. */
export function makeLoads(now: () => number): Loads {
  const flights = new Map<string, Set<Flight>>();
  const heard = new Map<string, number>();
  const reading = new Map<string, number>();
  let sampledAt = now();
  const told = new Map<string, { running: number; unread: number; held: number }>();
  let board = false;

  function began(f: Flight): void {
    const set = flights.get(f.engine) ?? new Set<Flight>();
    set.add(f);
    flights.set(f.engine, set);
  }

  function first(f: Flight): void {
    if (f.firstAt === undefined) f.firstAt = now();
    heard.set(f.engine, now());
  }

  function ended(f: Flight): void {
    const set = flights.get(f.engine);
    set?.delete(f);
    if (set?.size === 0) flights.delete(f.engine);
  }

  function left(f: Flight, t: number): number {
    if (f.firstAt !== undefined) return 0;
    return f.unread * Math.max(LEAST_LEFT, 1 - (t - f.sentAt) / Math.max(1, f.dueMs));
  }

  function ownOf(engine: string): Load {
    const t = now();
    const l: Load = {
      running: 0,
      unread: 0,
      awaiting: 0,
      memory: 0,
      moveMs: 0,
      silentMs: 0,
      reading: reading.get(engine) ?? 0,
    };
    for (const f of flights.get(engine) ?? []) {
      l.running++;
      l.unread += left(f, t);
      if (f.firstAt === undefined) {
        l.awaiting++;
        l.silentMs = Math.max(l.silentMs, t - Math.max(f.sentAt, heard.get(engine) ?? 0) - f.dueMs);
      }
      l.memory += f.memory;
      l.moveMs += Math.max(0, f.moveMs - (t - f.sentAt));
    }
    return l;
  }

  function of(engine: string): Load {
    const l = ownOf(engine);
    const o = told.get(engine);
    if (!o) return l;
    l.running += o.running;
    l.unread += o.unread;
    l.memory += Math.max(o.unread, o.held);
    return l;
  }

  /** Takes note of which engines are reading just now. */
  function sample(): void {
    const t = now();
    const fresh = 1 - Math.exp((sampledAt - t) / LATELY_MS);
    sampledAt = t;
    for (const engine of new Set([...flights.keys(), ...told.keys(), ...reading.keys()])) {
      const reads = ownOf(engine).unread + (told.get(engine)?.unread ?? 0) > MUCH_UNREAD ? 1 : 0;
      const share = (reading.get(engine) ?? 0) * (1 - fresh) + reads * fresh;
      if (share < 0.01) reading.delete(engine);
      else reading.set(engine, share);
    }
  }

  function own(): EngineLoad[] {
    sample();
    const out: EngineLoad[] = [];
    for (const engine of flights.keys()) {
      const l = ownOf(engine);
      out.push([engine, l.running, Math.round(l.unread), l.memory]);
    }
    return out;
  }

  function others(list: EngineLoad[], full: boolean): void {
    board = true;
    if (full) told.clear();
    for (const [engine, running, unread, held] of list) {
      if (running === 0 && unread === 0) told.delete(engine);
      else told.set(engine, { running, unread, held: held ?? 0 });
    }
  }

  function noBoard(): void {
    board = false;
    told.clear();
  }

  function hasBoard(): boolean {
    return board;
  }

  function keep(names: ReadonlySet<string>): void {
    for (const id of heard.keys()) if (!names.has(id)) heard.delete(id);
    for (const id of told.keys()) if (!names.has(id)) told.delete(id);
    for (const id of reading.keys()) if (!names.has(id)) reading.delete(id);
  }

  return { began, first, ended, of, own, others, noBoard, hasBoard, keep };
}
