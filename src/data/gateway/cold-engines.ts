/**
 * Which engines are to be taken as cold: those that a list shows as warming up, those of zones whose evacuation has
 * ended, and those that could not be connected to and may have started again since.
 */

import { Clock } from '../../shared/ports/clock';
import { Pool } from '../../shared/state/deployment';
import { Engine } from '../../shared/state/engines';
import { ColdEngineLog, ColdReason } from './cold-engine-log';

/** What a look at cold engines works with. */
export interface ColdEnginesDependencies {
  clock: Clock;
  log: ColdEngineLog;
  /** By how much the time that a list reports may be too short, in ms. */
  reportToleranceMs: number;
  pool: (name: string) => Pool | undefined;
  /** Has the controllers hear that this router could not connect to an engine. */
  reportUnreachable: (id: string) => void;
  /** Whether an engine takes connections now. */
  isReachable: (engine: Engine) => Promise<boolean>;
}

/** What is known of an engine. Times are ms of the clock. */
interface EngineWarmth {
  /** The warm-up time by the last list, in ms; 0 where it is warm. */
  reportedMs: number;
  /** Until when it is taken as cold, by a list and by the other signs. */
  listedUntil: number;
  presumedUntil: number;
  /** Whether it could not be connected to, and has not been since. */
  isUnreachable: boolean;
  isBeingChecked: boolean;
  nextCheckAt: number;
}

/** The least time between two checks whether an engine takes connections again, in ms. */
const CHECK_INTERVAL_MS = 500;

function emptyWarmth(): EngineWarmth {
  return {
    reportedMs: 0,
    listedUntil: -Infinity,
    presumedUntil: -Infinity,
    isUnreachable: false,
    isBeingChecked: false,
    nextCheckAt: -Infinity,
  };
}

/** Keeps which engines are taken as cold. */
export class ColdEngines {
  private readonly warmthById = new Map<string, EngineWarmth>();
  private engines: readonly Engine[] = [];
  private evacuatedZones: ReadonlySet<string> = new Set();
  /** When the evacuations of zones ended, as far as it was seen here. */
  private readonly evacuationEndedAt = new Map<string, number>();

  constructor(private readonly dependencies: ColdEnginesDependencies) {}

  /** Takes a new list of engines. */
  applyEngines(engines: readonly Engine[]): void {
    this.engines = engines;
    const ids = new Set<string>();
    for (const engine of engines) {
      ids.add(engine.id);
      this.applyReport(engine);
    }
    for (const id of this.warmthById.keys()) if (!ids.has(id)) this.warmthById.delete(id);
  }

  /** Takes the zones that are evacuated; the engines of those that no longer are may have turned cold meanwhile. */
  applyEvacuations(zones: readonly string[]): void {
    const evacuated = new Set(zones);
    const now = this.dependencies.clock.now();
    for (const zone of this.evacuatedZones) if (!evacuated.has(zone)) this.endEvacuation(zone, now);
    this.evacuatedZones = evacuated;
  }

  /** Records that an engine could not be connected to. */
  recordUnreachable(engine: Engine): void {
    if (!this.isLimited(engine)) return;
    const warmth = this.warmthOf(engine.id);
    if (!warmth.isUnreachable) this.dependencies.log.noteCold(engine.id, 'unreachable');
    warmth.isUnreachable = true;
    warmth.nextCheckAt = this.dependencies.clock.now() + CHECK_INTERVAL_MS;
    this.dependencies.reportUnreachable(engine.id);
  }

  /** Takes the report of a controller that routers of its zone can't connect to an engine. */
  applyUnreachable(id: string): void {
    const warmth = this.warmthById.get(id);
    if (!warmth || warmth.isUnreachable) return;
    warmth.isUnreachable = true;
    warmth.nextCheckAt = this.dependencies.clock.now();
    this.dependencies.log.noteCold(id, 'reported');
  }

  /** Whether an engine is to be taken as cold now. One that is unreachable is checked again from time to time. */
  isCold(engine: Engine): boolean {
    const warmth = this.warmthById.get(engine.id);
    if (!warmth || !this.isLimited(engine)) return false;
    const now = this.dependencies.clock.now();
    if (!warmth.isUnreachable) return now < this.coldUntil(engine, warmth);
    if (!warmth.isBeingChecked && now >= warmth.nextCheckAt) void this.check(engine, warmth);
    return true;
  }

  /** A report that differs from the last one is a new one; the same one still counts from when it first came. */
  private applyReport({ id, warmMs = 0 }: Engine): void {
    const warmth = this.warmthOf(id);
    if (warmMs === warmth.reportedMs) return;
    const { clock, log, reportToleranceMs } = this.dependencies;
    warmth.reportedMs = warmMs;
    if (warmMs > 0) log.noteCold(id, 'listed', warmMs);
    warmth.listedUntil = warmMs > 0 ? clock.now() + warmMs + reportToleranceMs : -Infinity;
  }

  /** The engines of the zone that are listed then or later are taken as cold. */
  private endEvacuation(zone: string, now: number): void {
    this.evacuationEndedAt.set(zone, now);
    for (const engine of this.engines)
      if (engine.zone === zone)
        this.dependencies.log.noteCold(engine.id, 'evacuation-ended', this.warmUpMs(engine));
  }

  private coldUntil(engine: Engine, { listedUntil, presumedUntil }: EngineWarmth): number {
    const evacuationEndedAt = this.evacuationEndedAt.get(engine.zone) ?? -Infinity;
    return Math.max(listedUntil, presumedUntil, evacuationEndedAt + this.warmUpMs(engine));
  }

  private presumeCold(engine: Engine, reason: ColdReason): void {
    const { clock, log } = this.dependencies;
    const warmUpMs = this.warmUpMs(engine);
    this.warmthOf(engine.id).presumedUntil = clock.now() + warmUpMs;
    log.noteCold(engine.id, reason, warmUpMs);
  }

  private warmUpMs({ pool }: Engine): number {
    return this.dependencies.pool(pool ?? '')?.warmUpMs ?? 0;
  }

  /** Whether a cold engine of its pool bears only so many requests. */
  private isLimited(engine: Engine): boolean {
    return (this.dependencies.pool(engine.pool ?? '')?.warmUpPerS ?? 0) > 0;
  }

  /** An engine that takes connections again may have started at any time until now. */
  private async check(engine: Engine, warmth: EngineWarmth): Promise<void> {
    warmth.isBeingChecked = true;
    const isReachable = await this.dependencies.isReachable(engine);
    warmth.isBeingChecked = false;
    if (!isReachable) return this.recordUnreachable(engine);
    warmth.isUnreachable = false;
    this.presumeCold(engine, 'returned');
  }

  private warmthOf(id: string): EngineWarmth {
    const known = this.warmthById.get(id);
    if (known) return known;
    const warmth = emptyWarmth();
    this.warmthById.set(id, warmth);
    return warmth;
  }
}
