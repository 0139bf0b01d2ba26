/**
 * An attempt as a load on its engine, and what its outcome says of the engine.
 */

import { EngineDirectory } from './engine-directory';
import { AttemptResult } from './outlier-ejection';
import { PlacedRequest } from './placed-request';
import { WeightsTracker } from './weights-tracker';

/**
 * What became of an attempt: `not-sent` never reached an engine; `not-executed` is the engine's word; `uncertain` may
 * have run and gave nothing; `broken-off` gave a part; `timed-out` was under way when the time was up.
 */
export type AttemptOutcome =
  | 'answered'
  | 'not-sent'
  | 'not-executed'
  | 'uncertain'
  | 'broken-off'
  | 'timed-out'
  | 'caller-gone';

/** Why an engine turned a request away, by the adapter's verdicts: of itself, as another instance, or as it has other weights. */
export type EngineRejection = 'not-run' | 'other-instance' | 'other-weights';

/** Tracks one attempt. */
export class AttemptTracker {
  private rejection: EngineRejection | undefined;

  constructor(
    private readonly engineId: string,
    private readonly placed: PlacedRequest,
    private readonly weights: WeightsTracker,
    private readonly directory: EngineDirectory,
  ) {}

  /** Records the first event. */
  recordFirstEvent(): void {
    this.placed.recordFirstEvent();
  }

  /** Records the weights that the engine runs with, by model. */
  recordWeights(weights: Record<string, string>): void {
    this.weights.recordReported(this.engineId, weights);
  }

  /** Records that the engine turned the request away. */
  recordRejection(rejection: EngineRejection): void {
    this.rejection = rejection;
    if (rejection === 'other-instance') this.directory.markReplaced(this.engineId);
  }

  /** Records how the attempt ended. */
  recordEnd(outcome: AttemptOutcome): void {
    this.placed.recordEnd(this.resultOf(outcome));
  }

  /** What an outcome says of the engine: another instance or other weights say nothing of its health. */
  private resultOf(outcome: AttemptOutcome): AttemptResult {
    if (outcome === 'answered') return 'answered';
    if (outcome === 'caller-gone' || outcome === 'timed-out') return 'cancelled';
    const hasRun = outcome !== 'not-sent' && outcome !== 'not-executed';
    if (hasRun || this.rejection === undefined) return 'failed';
    return this.rejection === 'not-run' ? 'rejected' : 'cancelled';
  }
}
