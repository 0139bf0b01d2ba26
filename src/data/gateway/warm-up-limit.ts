/**
 * Warm-up limit: an engine that is taken as cold gets a request only under a permit that has not been used within
 * `PERMIT_SPACING_MS`. Controllers grant permits, so that all routers together stay within what a cold engine may get.
 */

import { Clock } from '../../shared/ports/clock';
import { PERMIT_SPACING_MS } from '../../shared/replication/warm-up-permits';
import { Engine } from '../../shared/state/engines';

/** What the limit works with. */
export interface WarmUpLimitDependencies {
  clock: Clock;
  isCold: (engine: Engine) => boolean;
  /** How many permits for an engine this router holds now. */
  permitCount: (engine: string) => number;
}

/** Counters of the limit since the start. */
export interface WarmUpCounts {
  /** Requests that were sent to cold engines. */
  coldSends: number;
  /** Choices in which a cold engine was left out for want of a permit, and requests that came to lack one. */
  coldExclusions: number;
}

/** Counts what is sent to each engine, and holds back what has no permit. */
export class WarmUpLimit {
  readonly counts: WarmUpCounts = { coldSends: 0, coldExclusions: 0 };
  /** When requests were lately sent, by engine, the oldest first. */
  private readonly sentAt = new Map<string, number[]>();

  constructor(private readonly dependencies: WarmUpLimitDependencies) {}

  /** Whether an engine may be sent a request now. */
  allows(engine: Engine): boolean {
    if (!this.dependencies.isCold(engine) || this.hasPermit(engine.id)) return true;
    this.counts.coldExclusions++;
    return false;
  }

  /** Counts a request that is sent now; `false`, and nothing is counted, where it must not be sent. */
  trySend(engine: Engine): boolean {
    if (!this.allows(engine)) return false;
    if (this.dependencies.isCold(engine)) this.counts.coldSends++;
    this.recent(engine.id).push(this.dependencies.clock.now());
    return true;
  }

  /** Forgets all engines but these, and those whose permits are in use: they may be listed again meanwhile. */
  retain(ids: ReadonlySet<string>): void {
    for (const id of [...this.sentAt.keys()])
      if (!ids.has(id) && this.recent(id).length === 0) this.sentAt.delete(id);
  }

  private hasPermit(id: string): boolean {
    return this.recent(id).length < this.dependencies.permitCount(id);
  }

  /** The requests that still count, as permits serve once in their window. */
  private recent(id: string): number[] {
    const after = this.dependencies.clock.now() - PERMIT_SPACING_MS;
    const times = this.sentAt.get(id) ?? [];
    while (times.length > 0 && times[0] <= after) times.shift();
    this.sentAt.set(id, times);
    return times;
  }
}
