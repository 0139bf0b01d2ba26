/**
 * Retry budget: how many attempts beyond their first the requests of a pool may take, as a share of the requests in a
 * sliding window and this router's share of the fleet's slack.
 */

import { Clock } from '../../shared/ports/clock';
import { Settings } from '../../shared/settings/settings';

/** The share of what the fleet may spend that routers spend together, so that counting apart stays sound. */
const FLEET_SHARE_RATIO = 0.8;
/** Slots of the sliding window; retries are kept for one more, so that they never lapse before the requests that paid for them. */
const WINDOW_SLOTS = 20;
const RETRY_SLOTS = WINDOW_SLOTS + 1;

interface PoolWindow {
  /** The number of the newest slot. */
  slot: number;
  requests: number[];
  retries: number[];
}

function sumOf(counts: readonly number[]): number {
  let sum = 0;
  for (const count of counts) sum += count;
  return sum;
}

function emptyWindow(slot: number): PoolWindow {
  return {
    slot,
    requests: new Array<number>(WINDOW_SLOTS).fill(0),
    retries: new Array<number>(RETRY_SLOTS).fill(0),
  };
}

/** Empties the slots that have begun since the window was last used. */
function advance(window: PoolWindow, slot: number): void {
  for (let i = Math.max(window.slot + 1, slot - WINDOW_SLOTS); i <= slot; i++) {
    window.requests[i % WINDOW_SLOTS] = 0;
    window.retries[i % RETRY_SLOTS] = 0;
  }
  window.slot = slot;
}

/** Counts the requests and retries of each pool. The share of the slack begins one window after the start, since an earlier incarnation may have spent it. */
export class RetryBudget {
  private readonly windows = new Map<string, PoolWindow>();
  private readonly slotMs: number;
  private readonly startedAt: number;

  /** `routerCount` tells how many routers share the budget, as far as it is known. */
  constructor(
    private readonly clock: Clock,
    private readonly settings: Settings,
    private readonly routerCount: () => number | undefined,
  ) {
    this.slotMs = settings.retryWindowMs / WINDOW_SLOTS;
    this.startedAt = clock.now();
  }

  /** Counts a request for a pool. */
  recordRequest(pool: string): void {
    const window = this.windowOf(pool);
    window.requests[window.slot % WINDOW_SLOTS]++;
  }

  /** Whether one more retry may be spent. */
  hasBudget(pool: string): boolean {
    const { requests, retries } = this.windowOf(pool);
    const earned = this.settings.retryRatio * FLEET_SHARE_RATIO * sumOf(requests);
    return sumOf(retries) + 1 <= earned + this.slack();
  }

  /** Spends one retry, where one is left. */
  trySpend(pool: string): boolean {
    if (!this.hasBudget(pool)) return false;
    const window = this.windowOf(pool);
    window.retries[window.slot % RETRY_SLOTS]++;
    return true;
  }

  private slack(): number {
    const routerCount = this.routerCount();
    const isFirstWindow = this.clock.now() - this.startedAt < this.settings.retryWindowMs;
    if (routerCount === undefined || isFirstWindow) return 0;
    return (this.settings.retrySlack * FLEET_SHARE_RATIO) / routerCount;
  }

  private windowOf(pool: string): PoolWindow {
    const slot = Math.floor(this.clock.now() / this.slotMs);
    const window = this.windows.get(pool) ?? emptyWindow(slot);
    this.windows.set(pool, window);
    advance(window, slot);
    return window;
  }
}
