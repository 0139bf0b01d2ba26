/**
 * The newest batches of one source's events, retained for peers that missed some.
 */

import { EventBatch } from '../shared/contracts/engine';

/** How far a ring may outgrow its size before it is cut, so that not every batch costs a copy. */
const CUT_ABOVE_RATIO = 1.5;

/** Retained batches, all of one epoch. */
export class BatchRing {
  private batches: EventBatch[] = [];
  private epoch = '';

  /** Makes a ring that retains at least `maxBatches` of the newest batches. */
  constructor(private readonly maxBatches: number) {}

  /** Adds a batch; one of another epoch replaces all that are retained. */
  add(epoch: string, batch: EventBatch): void {
    if (epoch !== this.epoch) this.batches = [];
    this.epoch = epoch;
    this.batches.push(batch);
    if (this.batches.length > this.maxBatches * CUT_ABOVE_RATIO)
      this.batches = this.batches.slice(-this.maxBatches);
  }

  /** The retained batches with sequence numbers from `first` to `last`; none of another epoch. */
  between(epoch: string, first: number, last: number): EventBatch[] {
    function isWanted(batch: EventBatch): boolean {
      return batch.seq >= first && batch.seq <= last;
    }
    return epoch === this.epoch ? this.batches.filter(isWanted) : [];
  }
}
