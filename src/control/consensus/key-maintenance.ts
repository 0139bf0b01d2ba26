/**
 * Keeps up a controller's part of the control keys, in rounds that its main loop begins: it learns what it missed, owns
 * the keys that are assigned to it, and writes anew on a disk that failed.
 */

import { Result } from '../../shared/errors/errors';
import { ConnectionPool } from '../../shared/transport/connection-pool';
import { TimeLimits } from '../../shared/settings/time-limits';
import { VersionedValue } from '../../shared/state/versions';
import { ControlStore } from '../storage/control-store';
import { ControllerCatchUp } from './controller-catch-up';
import { KeyAssignment } from './key-assignment';
import { KeyOwner } from './key-owner';

/** How many keys are acquired at once; their writes share syncs. */
const MAX_KEYS_ACQUIRED_AT_ONCE = 64;

/** What the upkeep of the keys needs of its controller. */
export interface KeyMaintenanceDependencies {
  selfAddress: string;
  /** Keys that are owned also before they have a value. */
  alwaysOwnedKeys: string[];
  /** The key that an owner keeps while it has no majority. */
  keyKeptWithoutQuorum: string | undefined;
  store: ControlStore;
  keyOwner: KeyOwner;
  timeLimits: TimeLimits;
  connections: ConnectionPool;
  /** The addresses of the voters that are up. */
  liveAddresses: () => string[];
  hasQuorum: () => boolean;
  /** All values that are learned here. */
  committedValues: () => VersionedValue[];
  /** Learns a committed value under a time-out. */
  learn: (request: { change: VersionedValue }) => Promise<Result<unknown>>;
  /** Notes that a value was learned later than it was committed. */
  onCaughtUp: (key: string) => void;
}

/** The upkeep of a controller's keys; each round costs by what changed, not by how many keys there are. */
export interface KeyMaintenance {
  /** Learns from each other controller what it learned since the last round. */
  catchUp: () => Promise<void>;
  /** Acquires the keys that are assigned to this controller, and releases all others. */
  acquireAssignedKeys: () => Promise<void>;
  /** Writes on a disk that failed a write, so that it votes again once it takes writes; returns at once. */
  retryFailedDisk: () => void;
}

/** Owns the keys that are assigned to this controller while a majority is up. */
class AssignedKeys {
  private readonly assignment: KeyAssignment;

  constructor(private readonly dependencies: KeyMaintenanceDependencies) {
    this.assignment = new KeyAssignment(dependencies.selfAddress);
  }

  async acquire(): Promise<void> {
    const { keyOwner, store, alwaysOwnedKeys, liveAddresses, hasQuorum } = this.dependencies;
    if (!hasQuorum()) return this.releaseWithoutQuorum();
    const keys = [...store.registers.keys(), ...alwaysOwnedKeys];
    const assigned = this.assignment.update(liveAddresses(), keys);
    for (const key of keyOwner.ownedKeys()) if (!assigned.has(key)) keyOwner.release(key);
    function isNotOwned(key: string): boolean {
      return !keyOwner.owns(key);
    }
    const wanted = [...assigned].filter(isNotOwned);
    for (let start = 0; start < wanted.length; start += MAX_KEYS_ACQUIRED_AT_ONCE) {
      const batch = wanted.slice(start, start + MAX_KEYS_ACQUIRED_AT_ONCE);
      await Promise.all(batch.map(keyOwner.acquire));
    }
  }

  private releaseWithoutQuorum(): void {
    const { keyOwner, keyKeptWithoutQuorum } = this.dependencies;
    for (const key of keyOwner.ownedKeys()) if (key !== keyKeptWithoutQuorum) keyOwner.release(key);
  }
}

/** Writes on a store whose disk failed, one write at a time. */
class FailedDiskRetry {
  private isWriting = false;

  constructor(private readonly store: ControlStore) {}

  retry(): void {
    if (this.isWriting || this.store.isWritable()) return;
    this.isWriting = true;
    void this.store.flush().then(this.end.bind(this));
  }

  private end(): void {
    this.isWriting = false;
  }
}

/** Makes the upkeep of a controller's keys. */
export function makeKeyMaintenance(dependencies: KeyMaintenanceDependencies): KeyMaintenance {
  const catchUp = new ControllerCatchUp({
    ...dependencies,
    requestTimeoutMs: dependencies.timeLimits.requestTimeoutMs,
  });
  const assignedKeys = new AssignedKeys(dependencies);
  const diskRetry = new FailedDiskRetry(dependencies.store);
  return {
    catchUp: catchUp.run.bind(catchUp),
    acquireAssignedKeys: assignedKeys.acquire.bind(assignedKeys),
    retryFailedDisk: diskRetry.retry.bind(diskRetry),
  };
}
