/**
 * Waits until changes are in effect: until every router with a live lease here has applied them, or its lease has
 * expired.
 */

import { Ports } from '../../shared/ports/ports';
import { isAtLeast } from '../../shared/replication/change-message';
import { TimeLimits } from '../../shared/settings/time-limits';
import { ControlStore } from '../storage/control-store';
import { covers } from './learned-changes';
import { EffectRequest } from './lease-messages';
import { LeaseTable } from './lease-table';

/** The shortest wait until the state is looked at again, in ms. */
const MIN_WAIT_MS = 1;

/** What waiting for effects needs. */
export interface EffectWaiterDependencies {
  store: ControlStore;
  ports: Ports;
  timeLimits: TimeLimits;
  table: LeaseTable;
  /** Asks the followers that are not known to have a key's newest version whether they have it. */
  confirm: (key: string) => void;
}

/** The waits for effects at one controller. */
export class EffectWaiter {
  private readonly waiters = new Set<() => void>();
  /** Keys of which somebody waits for the effect, with how many do. */
  private readonly awaited = new Map<string, number>();
  /**
   * Until then, routers may hold leases that this controller granted before it started, and knows nothing of; in ms of
   * the clock.
   */
  private readonly unknownLeasesUntil: number;

  constructor(private readonly dependencies: EffectWaiterDependencies) {
    const { ports, timeLimits } = dependencies;
    this.unknownLeasesUntil = ports.clock.now() + timeLimits.leaseExpiryMs;
  }

  /** Whether a change is in effect within the time of a request; comes back as soon as it is. */
  async wait(request: EffectRequest): Promise<boolean> {
    const { ports, confirm } = this.dependencies;
    const deadline = ports.clock.now() + request.within;
    this.awaited.set(request.key, (this.awaited.get(request.key) ?? 0) + 1);
    confirm(request.key);
    let isInEffect = this.isInEffect(request);
    while (!isInEffect && ports.clock.now() < deadline) {
      await this.nextChange(Math.min(this.nextExpiryMs(), deadline - ports.clock.now()));
      isInEffect = this.isInEffect(request);
    }
    this.endWait(request.key);
    return isInEffect;
  }

  /** Whether somebody waits for the effect of a change of a key. */
  isAwaited(key: string): boolean {
    return this.awaited.has(key);
  }

  /** Has all waits look at the state again. */
  wake(): void {
    for (const waiter of [...this.waiters]) waiter();
  }

  private endWait(key: string): void {
    const others = this.awaited.get(key)! - 1;
    if (others > 0) this.awaited.set(key, others);
    else this.awaited.delete(key);
  }

  private isInEffect(change: EffectRequest): boolean {
    const { store, ports, table } = this.dependencies;
    const learned = store.registers.get(change.key)?.learned;
    if (!isAtLeast(learned, change)) return false;
    if (ports.clock.now() < this.unknownLeasesUntil) return false;
    for (const router of table.liveRouters()) if (!covers(router.applied, change)) return false;
    return true;
  }

  /** How long until the passing of time alone may bring a change into effect, in ms. */
  private nextExpiryMs(): number {
    const { ports, timeLimits, table } = this.dependencies;
    const now = ports.clock.now();
    const latest =
      now < this.unknownLeasesUntil ? this.unknownLeasesUntil : now + timeLimits.leaseMs;
    return Math.max(MIN_WAIT_MS, table.nextExpiry(latest) - now);
  }

  /** Comes back at the next wake, after so many ms at the latest. */
  private nextChange(timeoutMs: number): Promise<void> {
    const { waiters } = this;
    const { clock } = this.dependencies.ports;
    function wait(resolve: () => void): void {
      const cancelTimer = clock.setTimer(Math.max(MIN_WAIT_MS, timeoutMs), wake);
      function wake(): void {
        cancelTimer();
        waiters.delete(wake);
        resolve();
      }
      waiters.add(wake);
    }
    return new Promise(wait);
  }
}
