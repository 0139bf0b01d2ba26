/** An owner of keys whose every answer is held against what had been acknowledged before it was asked. */

import { KeyOwner } from '../../src/control/consensus/key-owner';
import { errorOrValue, Result } from '../../src/shared/errors/errors';
import { VersionedValue } from '../../src/shared/state/versions';
import { Checker } from './invariants';

/**
 * Watches an owner. What `acquire` gives is checked only where no other call of the key is under way, which may have
 * acquired it before.
 */
export class WatchedOwner {
  /** How many calls of a key have not come back. */
  private readonly pendingCalls = new Map<string, number>();

  constructor(
    private readonly owner: KeyOwner,
    private readonly checker: Checker,
  ) {}

  /** The owner's functions, two of them watched. */
  keyOwner(): KeyOwner {
    return { ...this.owner, change: this.change.bind(this), acquire: this.acquire.bind(this) };
  }

  private async change(
    ...[key, computeValue, maxAttempts]: Parameters<KeyOwner['change']>
  ): ReturnType<KeyOwner['change']> {
    const begun = this.checker.begin('change', key);
    let current: VersionedValue | undefined;
    function computeWatched(value: VersionedValue | undefined): Result<unknown> {
      current = value;
      return computeValue(value);
    }
    const result = await this.counted(key, this.owner.change(key, computeWatched, maxAttempts));
    const [error, committed] = errorOrValue(result);
    if (!error) this.checker.led(begun, current, committed);
    return result;
  }

  private async acquire(key: string): ReturnType<KeyOwner['acquire']> {
    const begun = this.checker.begin('own', key);
    const isAlone = !this.owner.owns(key) && !this.pendingCalls.has(key);
    const result = await this.counted(key, this.owner.acquire(key));
    const [error, current] = errorOrValue(result);
    if (!error && isAlone) this.checker.led(begun, current);
    return result;
  }

  private async counted<T>(key: string, call: Promise<T>): Promise<T> {
    this.pendingCalls.set(key, (this.pendingCalls.get(key) ?? 0) + 1);
    const result = await call;
    const left = this.pendingCalls.get(key)! - 1;
    if (left > 0) this.pendingCalls.set(key, left);
    else this.pendingCalls.delete(key);
    return result;
  }
}
