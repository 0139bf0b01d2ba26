/**
 * Cuts attempts off whose first piece is still to come, once what they were placed under no longer holds: the weights
 * have ended, the tenant has another salt, or the engine drains and may not have begun.
 */

import { Clock } from '../shared/ports/clock';
import { EngineTracker, TrackedEngine } from './engine-tracker';
import { FreshWeights } from './fresh-weights';
import { TenantDirectory } from './tenant-directory';

/** An attempt whose first piece is still to come, and what it was placed under. */
export interface PendingAttempt {
  tenant: string;
  salt: string;
  model: string;
  weights: string;
  tracked: TrackedEngine;
  /** When it was sent, in ms of the clock port. */
  sentAt: number;
  /** Whether its draining engine is waited for already. */
  isWatched?: boolean;
  cut: AbortController;
}

/** Keeps the attempts that are pending. */
export class AttemptCutoff {
  private readonly pending = new Set<PendingAttempt>();

  /** An engine that drains is given `drainingEngineCutMs` to show that it has begun. */
  constructor(
    private readonly clock: Clock,
    private readonly engines: EngineTracker,
    private readonly tenants: TenantDirectory,
    private readonly freshWeights: FreshWeights,
    private readonly drainingEngineCutMs: number,
  ) {}

  /** Adds an attempt that is sent now. */
  add(attempt: PendingAttempt): void {
    this.pending.add(attempt);
  }

  /** Removes an attempt that has its first piece, or has failed. */
  remove(attempt: PendingAttempt): void {
    this.pending.delete(attempt);
  }

  /** Is to be called with each change of the control state. */
  cutOutdated(): void {
    for (const attempt of this.pending) {
      const hasEnded = this.freshWeights.haveEnded(attempt.model, attempt.weights);
      if (hasEnded || this.tenants.saltOf(attempt.tenant) !== attempt.salt) attempt.cut.abort();
      else if (this.engines.isDraining(attempt.tracked) && !attempt.isWatched)
        void this.cutIfSilent(attempt);
    }
  }

  /** Cuts an attempt off that a draining engine may not have begun: it has reported nothing since the attempt was sent. */
  private async cutIfSilent(attempt: PendingAttempt): Promise<void> {
    attempt.isWatched = true;
    await this.clock.sleep(this.drainingEngineCutMs);
    if (this.pending.has(attempt) && attempt.tracked.statusAskedAt <= attempt.sentAt)
      attempt.cut.abort();
  }
}
