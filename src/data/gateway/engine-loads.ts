import { EngineLoad } from '../../shared/contracts/indexer';

/** One request in flight at an engine. */
export interface InFlightLoad {
  engine: string;
  /** Prompt tokens that the engine is taken to have to read for it. */
  prefillTokens: number;
  /** Tokens of memory that it takes. */
  memoryTokens: number;
  sentAt: number;
  /** Ms to its first event as reckoned. */
  expectedFirstEventMs: number;
  /** Ms that a move of parts to its engine takes. */
  transferMs: number;
  firstEventAt?: number;
}

/** What runs at one engine. */
export interface EngineLoadSnapshot {
  running: number;
  /** Prompt tokens still to be read. */
  prefillTokens: number;
  /** Requests whose first event is still awaited, of this router's own. */
  awaitingFirstEvent: number;
  memoryTokens: number;
  transferMs: number;
  /** Ms for which an awaited first event has been overdue without any word from the engine. */
  overdueMs: number;
  /** The share of the time for which it has lately been reading prompts. */
  prefillRatio: number;
}

/** Requests in flight by engine: this router's own, and those of all others as the load board told them. */
export interface EngineLoads {
  recordStart: (f: InFlightLoad) => void;
  recordFirstEvent: (f: InFlightLoad) => void;
  recordEnd: (f: InFlightLoad) => void;
  snapshot: (engine: string) => EngineLoadSnapshot;
  /** Own loads for the board. */
  ownLoads: () => EngineLoad[];
  /** Takes what the board told of all others. */
  applyBoard: (list: EngineLoad[], full: boolean) => void;
  /** Forgets what the board told, as it is silent. */
  discardBoard: () => void;
  /** Forgets engines that are gone. */
  retain: (names: ReadonlySet<string>) => void;
  hasBoard: () => boolean;
}

/** The least of a request's unread tokens that counts until its first event comes. */
const LEAST_LEFT = 0.15;

/** How far back the share of reading looks, in ms, and the unread tokens from which an engine counts as reading. */
const LATELY_MS = 1500;
const MUCH_UNREAD = 500;

/** Makes the books. */
export function makeLoads(now: () => number): EngineLoads {
  const flights = new Map<string, Set<InFlightLoad>>();
  const heard = new Map<string, number>();
  const reading = new Map<string, number>();
  let sampledAt = now();
  const told = new Map<string, { running: number; unread: number; held: number }>();
  let board = false;

  function began(f: InFlightLoad): void {
    const set = flights.get(f.engine) ?? new Set<InFlightLoad>();
    set.add(f);
    flights.set(f.engine, set);
  }

  function first(f: InFlightLoad): void {
    if (f.firstEventAt === undefined) f.firstEventAt = now();
    heard.set(f.engine, now());
  }

  function ended(f: InFlightLoad): void {
    const set = flights.get(f.engine);
    set?.delete(f);
    if (set?.size === 0) flights.delete(f.engine);
  }

  function left(f: InFlightLoad, t: number): number {
    if (f.firstEventAt !== undefined) return 0;
    return (
      f.prefillTokens *
      Math.max(LEAST_LEFT, 1 - (t - f.sentAt) / Math.max(1, f.expectedFirstEventMs))
    );
  }

  function ownOf(engine: string): EngineLoadSnapshot {
    const t = now();
    const l: EngineLoadSnapshot = {
      running: 0,
      prefillTokens: 0,
      awaitingFirstEvent: 0,
      memoryTokens: 0,
      transferMs: 0,
      overdueMs: 0,
      prefillRatio: reading.get(engine) ?? 0,
    };
    for (const f of flights.get(engine) ?? []) {
      l.running++;
      l.prefillTokens += left(f, t);
      if (f.firstEventAt === undefined) {
        l.awaitingFirstEvent++;
        l.overdueMs = Math.max(
          l.overdueMs,
          t - Math.max(f.sentAt, heard.get(engine) ?? 0) - f.expectedFirstEventMs,
        );
      }
      l.memoryTokens += f.memoryTokens;
      l.transferMs += Math.max(0, f.transferMs - (t - f.sentAt));
    }
    return l;
  }

  function of(engine: string): EngineLoadSnapshot {
    const l = ownOf(engine);
    const o = told.get(engine);
    if (!o) return l;
    l.running += o.running;
    l.prefillTokens += o.unread;
    l.memoryTokens += Math.max(o.unread, o.held);
    return l;
  }

  /** Takes note of which engines are reading just now. */
  function sample(): void {
    const t = now();
    const fresh = 1 - Math.exp((sampledAt - t) / LATELY_MS);
    sampledAt = t;
    for (const engine of new Set([...flights.keys(), ...told.keys(), ...reading.keys()])) {
      const reads =
        ownOf(engine).prefillTokens + (told.get(engine)?.unread ?? 0) > MUCH_UNREAD ? 1 : 0;
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
      out.push([engine, l.running, Math.round(l.prefillTokens), l.memoryTokens]);
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

  return {
    recordStart: began,
    recordFirstEvent: first,
    recordEnd: ended,
    snapshot: of,
    ownLoads: own,
    applyBoard: others,
    discardBoard: noBoard,
    hasBoard,
    retain: keep,
  };
}
