/**
 * The committed changes that this controller has learned, as followers see them: what one of them lacks, how far it is
 * behind, and the messages that bring it on.
 */

import {
  AppliedEntry,
  ChangeMessage,
  isAtLeast,
  isCurrent,
} from '../../shared/replication/change-message';
import { ChunkRequest } from '../../shared/replication/chunk-fetcher';
import { Clock } from '../../shared/ports/clock';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Version, VersionedValue } from '../../shared/state/versions';
import { ControlStore } from '../storage/control-store';
import { FollowerLag, makeFollowerLag } from './follower-lag';
import { AppliedVersions } from './lease-messages';
import { makeVersionHistory } from './version-history';

/** Whether followers are sent a key: who holds which singleton role is no concern of theirs, and changes often. */
function isForFollowers(key: string): boolean {
  return !key.startsWith(CONTROL_KEYS.duty);
}

/** Whether a follower has applied a version of a key, or a later one. */
export function covers(applied: AppliedVersions, change: Version & { key: string }): boolean {
  return isCurrent(applied.get(change.key), change);
}

/** The changes learned here that are for followers. */
export class LearnedChanges {
  private readonly history = makeVersionHistory();
  private readonly lag: FollowerLag;

  constructor(
    private readonly store: ControlStore,
    clock: Clock,
  ) {
    this.lag = makeFollowerLag(clock.now);
    for (const change of this.changesOf(store.registers.keys())) this.note(change);
  }

  /** Takes note of a change as it is learned. */
  note(change: VersionedValue): void {
    this.history.note(change);
    this.lag.note(change);
  }

  /** The keys that followers are sent. */
  keys(): string[] {
    return [...this.store.registers.keys()].filter(isForFollowers);
  }

  /** How many changes were learned here so far. */
  count(): number {
    return this.store.learnedKeys.count();
  }

  /** The newest version of a key; nothing where there is none, or the key is not for followers. */
  newest(key: string): VersionedValue | undefined {
    return isForFollowers(key) ? this.store.registers.get(key)?.learned : undefined;
  }

  /** What a follower lacks of all that is learned here, or of what was learned after a count up to which it lacks nothing. */
  missing(applied: AppliedVersions, coveredCount: number | undefined): VersionedValue[] {
    const { registers, learnedKeys } = this.store;
    const recent = coveredCount === undefined ? undefined : learnedKeys.after(coveredCount);
    function isMissing(change: VersionedValue): boolean {
      return !covers(applied, change);
    }
    return this.changesOf(recent ?? registers.keys()).filter(isMissing);
  }

  /** For how long a follower has lacked a later version of a key than the one that it holds, in ms. */
  lagMs(key: string, followerVersion: Version | undefined): number {
    return this.lag.lagMs(key, followerVersion);
  }

  /** The message that brings a follower from the version that it holds to a change. */
  messageFor(
    change: VersionedValue,
    followerVersion: Version | undefined,
    fetchesChunks: boolean,
  ): ChangeMessage {
    return this.history.messageFor(change, followerVersion, fetchesChunks);
  }

  /** The messages that bring a follower to the newest versions, of those keys that it is behind in. */
  messagesAfter(applied: readonly AppliedEntry[], fetchesChunks: boolean): ChangeMessage[] {
    const messages: ChangeMessage[] = [];
    for (const [key, epoch, by, number] of applied) {
      const version: Version = { epoch, by, number };
      const newest = this.newest(key);
      if (newest && !isAtLeast(version, newest))
        messages.push(this.messageFor(newest, version, fetchesChunks));
    }
    return messages;
  }

  /** One chunk of an offered change; nothing where its versions are not known here. */
  chunk(request: ChunkRequest): Uint8Array | undefined {
    return this.history.chunk(request);
  }

  private changesOf(keys: Iterable<string>): VersionedValue[] {
    const changes: VersionedValue[] = [];
    for (const key of keys) {
      const change = this.newest(key);
      if (change) changes.push(change);
    }
    return changes;
  }
}
