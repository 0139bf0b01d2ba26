/**
 * The load of each engine: this router's own requests in flight there, and the sums of all other routers as the load
 * board reported them last.
 */

import { EngineLoad } from '../../shared/contracts/indexer';

/** A request in flight at an engine, as a load. */
export interface InFlightLoad {
  engine: string;
  /** Prompt tokens that the engine is taken to have to read for it. */
  prefillTokens: number;
  /** Tokens of the engine's KV cache that it takes. */
  memoryTokens: number;
  /** Ms of the clock. */
  sentAt: number;
  /** Estimated ms from `sentAt` to its first event. */
  expectedFirstEventMs: number;
  /** Ms that the transfer of a cached prefix to its engine takes. */
  transferMs: number;
  /** When its first event came, in ms of the clock. */
  firstEventAt?: number;
}

/** The load of one engine at one moment. */
export interface EngineLoadSnapshot {
  /** Requests in flight, of all routers. */
  running: number;
  /** Prompt tokens still to be read, of all routers. */
  prefillTokens: number;
  /** Requests of this router whose first event has not come. */
  awaitingFirstEvent: number;
  /** Tokens of the KV cache that are taken, of all routers. */
  memoryTokens: number;
  /** Ms that transfers to the engine still take. */
  transferMs: number;
  /** Ms for which a first event has been overdue without any event from the engine; 0 where none is. */
  overdueMs: number;
  /** The share of the time for which it has lately been reading prompts. */
  prefillRatio: number;
}

interface BoardLoad {
  running: number;
  prefillTokens: number;
  memoryTokens: number;
}

/** The share of a request's prefill tokens that counts at the least until its first event comes. */
const MIN_PREFILL_LEFT_RATIO = 0.15;
/** The time constant of the average by which `prefillRatio` looks back. */
const PREFILL_AVERAGE_MS = 1500;
/** Prefill tokens beyond which an engine counts as reading prompts. */
const MIN_READING_TOKENS = 500;
/** Averages under this are forgotten. */
const MIN_PREFILL_RATIO = 0.01;

/** The prefill tokens of a request that are left at `now`: they are taken to be read evenly until its first event. */
function prefillTokensLeft(load: InFlightLoad, now: number): number {
  if (load.firstEventAt !== undefined) return 0;
  const leftRatio = 1 - (now - load.sentAt) / Math.max(1, load.expectedFirstEventMs);
  return load.prefillTokens * Math.max(MIN_PREFILL_LEFT_RATIO, leftRatio);
}

/** Adds a request in flight to its engine's load; `lastEventAt` is when any first event last came from the engine. */
function addInFlight(
  snapshot: EngineLoadSnapshot,
  load: InFlightLoad,
  now: number,
  lastEventAt: number,
): void {
  snapshot.running++;
  snapshot.prefillTokens += prefillTokensLeft(load, now);
  if (load.firstEventAt === undefined) {
    const silentMs = now - Math.max(load.sentAt, lastEventAt);
    snapshot.awaitingFirstEvent++;
    snapshot.overdueMs = Math.max(snapshot.overdueMs, silentMs - load.expectedFirstEventMs);
  }
  snapshot.memoryTokens += load.memoryTokens;
  snapshot.transferMs += Math.max(0, load.transferMs - (now - load.sentAt));
}

/** Tracks the loads of engines. Times are ms of the clock that it is given. */
export class EngineLoads {
  private readonly inFlight = new Map<string, Set<InFlightLoad>>();
  private readonly lastEventAt = new Map<string, number>();
  private readonly prefillRatios = new Map<string, number>();
  private readonly board = new Map<string, BoardLoad>();
  private sampledAt: number;

  constructor(private readonly now: () => number) {
    this.sampledAt = now();
  }

  /** Counts a request from when it is sent. */
  recordStart(load: InFlightLoad): void {
    const loads = this.inFlight.get(load.engine) ?? new Set<InFlightLoad>();
    loads.add(load);
    this.inFlight.set(load.engine, loads);
  }

  /** Records that a request's first event came. */
  recordFirstEvent(load: InFlightLoad): void {
    const now = this.now();
    load.firstEventAt ??= now;
    this.lastEventAt.set(load.engine, now);
  }

  /** Counts a request no longer. */
  recordEnd(load: InFlightLoad): void {
    const loads = this.inFlight.get(load.engine);
    loads?.delete(load);
    if (loads?.size === 0) this.inFlight.delete(load.engine);
  }

  /** The load of an engine now, of all routers. */
  snapshot(engine: string): EngineLoadSnapshot {
    const snapshot = this.ownSnapshot(engine);
    const others = this.board.get(engine);
    if (!others) return snapshot;
    snapshot.running += others.running;
    snapshot.prefillTokens += others.prefillTokens;
    snapshot.memoryTokens += Math.max(others.prefillTokens, others.memoryTokens);
    return snapshot;
  }

  /** This router's own loads for the load board; each call also samples which engines are reading prompts. */
  ownLoads(): EngineLoad[] {
    this.samplePrefill();
    const report: EngineLoad[] = [];
    for (const engine of this.inFlight.keys()) {
      const own = this.ownSnapshot(engine);
      report.push([engine, own.running, Math.round(own.prefillTokens), own.memoryTokens]);
    }
    return report;
  }

  /** Takes the sums of all other routers: those that changed, or all of them where `isFull`. */
  applyBoard(loads: readonly EngineLoad[], isFull: boolean): void {
    if (isFull) this.board.clear();
    for (const [engine, running, prefillTokens, memoryTokens] of loads) {
      if (running === 0 && prefillTokens === 0) this.board.delete(engine);
      else this.board.set(engine, { running, prefillTokens, memoryTokens: memoryTokens ?? 0 });
    }
  }

  /** Forgets the sums of other routers, as the load board is silent. */
  discardBoard(): void {
    this.board.clear();
  }

  /** Forgets all engines but these. */
  retain(engines: ReadonlySet<string>): void {
    for (const id of this.lastEventAt.keys()) if (!engines.has(id)) this.lastEventAt.delete(id);
    for (const id of this.board.keys()) if (!engines.has(id)) this.board.delete(id);
    for (const id of this.prefillRatios.keys()) if (!engines.has(id)) this.prefillRatios.delete(id);
  }

  private ownSnapshot(engine: string): EngineLoadSnapshot {
    const now = this.now();
    const snapshot: EngineLoadSnapshot = {
      running: 0,
      prefillTokens: 0,
      awaitingFirstEvent: 0,
      memoryTokens: 0,
      transferMs: 0,
      overdueMs: 0,
      prefillRatio: this.prefillRatios.get(engine) ?? 0,
    };
    const lastEventAt = this.lastEventAt.get(engine) ?? 0;
    for (const load of this.inFlight.get(engine) ?? [])
      addInFlight(snapshot, load, now, lastEventAt);
    return snapshot;
  }

  /** Takes the engines that are reading prompts now into the averages. */
  private samplePrefill(): void {
    const now = this.now();
    const weight = 1 - Math.exp((this.sampledAt - now) / PREFILL_AVERAGE_MS);
    this.sampledAt = now;
    const engines = [...this.inFlight.keys(), ...this.board.keys(), ...this.prefillRatios.keys()];
    for (const engine of new Set(engines)) {
      const unread =
        this.ownSnapshot(engine).prefillTokens + (this.board.get(engine)?.prefillTokens ?? 0);
      const isReading = unread > MIN_READING_TOKENS ? 1 : 0;
      const ratio = (this.prefillRatios.get(engine) ?? 0) * (1 - weight) + isReading * weight;
      if (ratio < MIN_PREFILL_RATIO) this.prefillRatios.delete(engine);
      else this.prefillRatios.set(engine, ratio);
    }
  }
}
