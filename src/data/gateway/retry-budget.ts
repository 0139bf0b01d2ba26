import { Clock } from '../../shared/ports/clock';
import { Settings } from '../../shared/settings/settings';

/** The part of what the fleet may spend that routers spend together, so that counting apart stays sound. */
const SHARE = 0.8;
/** Slots of the sliding window. */
const SLOTS = 20;

/** Pays for a request's attempts after its first. */
export interface RetryBudget {
  /** Counts a request for a pool. */
  recordRequest: (pool: string) => void;
  /** Whether one further attempt is left. */
  hasBudget: (pool: string) => boolean;
  /** Spends one further attempt, where one is left. */
  trySpend: (pool: string) => boolean;
}

interface Window {
  slot: number;
  asked: number[];
  spent: number[];
}

function sum(list: number[]): number {
  let all = 0;
  for (const x of list) all += x;
  return all;
}

/** Makes a budget over sliding windows; its share of the slack begins one window after the start, since an earlier life may have spent it. */
export function makeRetryBudget(
  clock: Clock,
  s: Settings,
  routers: () => number | undefined,
): RetryBudget {
  const windows = new Map<string, Window>();
  const slotMs = s.retryWindowMs / SLOTS;
  const began = clock.now();

  function at(pool: string): Window {
    const slot = Math.floor(clock.now() / slotMs);
    const w = windows.get(pool) ?? {
      slot,
      asked: new Array<number>(SLOTS).fill(0),
      spent: new Array<number>(SLOTS + 1).fill(0),
    };
    windows.set(pool, w);
    for (let i = Math.max(w.slot + 1, slot - SLOTS); i <= slot; i++) {
      w.asked[i % SLOTS] = 0;
      w.spent[i % (SLOTS + 1)] = 0;
    }
    w.slot = slot;
    return w;
  }

  function asked(pool: string): void {
    const w = at(pool);
    w.asked[w.slot % SLOTS]++;
  }

  function slack(): number {
    const n = routers();
    return n === undefined || clock.now() - began < s.retryWindowMs
      ? 0
      : (s.retrySlack * SHARE) / n;
  }

  function left(pool: string): boolean {
    const w = at(pool);
    return sum(w.spent) + 1 <= s.retryRatio * SHARE * sum(w.asked) + slack();
  }

  function spend(pool: string): boolean {
    if (!left(pool)) return false;
    const w = at(pool);
    w.spent[w.slot % (SLOTS + 1)]++;
    return true;
  }

  return { recordRequest: asked, hasBudget: left, trySpend: spend };
}
