/**
 * Retry budget of each service: requests earn a share of a retry, up to a few.
 */

import { Service } from '../shared/state/intents';

/** Retries that a service may save up. */
const MAX_SAVED_RETRIES = 5;

/** Counts retries by service. */
export class ServiceRetryBudget {
  private readonly saved = new Map<string, number>();

  /** A request earns the service's own share, at most `maxShare`; `onSpent` is called with each retry. */
  constructor(
    private readonly maxShare: number,
    private readonly onSpent: () => void,
  ) {}

  /** Counts a request. */
  earn({ id, secondTries }: Service): void {
    const share = Math.min(secondTries, this.maxShare);
    this.saved.set(id, Math.min(MAX_SAVED_RETRIES, (this.saved.get(id) ?? 0) + share));
  }

  /** Spends one retry, where one is left. */
  trySpend({ id }: Service): boolean {
    const saved = this.saved.get(id) ?? 0;
    if (saved < 1) return false;
    this.saved.set(id, saved - 1);
    this.onSpent();
    return true;
  }
}
