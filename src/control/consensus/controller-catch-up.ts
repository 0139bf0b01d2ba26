/**
 * The learner's catch-up: fetches from the other controllers what they have learned and this one has not.
 */

import { Right } from 'purify-ts';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { ConnectionPool } from '../../shared/transport/connection-pool';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { CatchUp, makeCatchUp } from '../../shared/replication/catch-up';
import {
  AppliedEntry,
  appliedEntries,
  InlineChange,
  isAtLeast,
  readChange,
  targetOf,
} from '../../shared/replication/change-message';
import { VersionedValue } from '../../shared/state/versions';
import { ControlStore } from '../storage/control-store';

/**
 * How far a controller's journal of learned keys was read: the incarnation that counted, and its count. The field names
 * are sent.
 */
interface JournalPosition {
  life: string;
  count: number;
}

/**
 * Where a controller's journal of learned keys ends, and the versions of the keys that it learned after a position; without
 * `has` where the asker's position is of another incarnation, or too long ago. The field names are sent.
 */
export interface LearnedSince extends JournalPosition {
  has?: AppliedEntry[];
}

/** What catching up needs of its controller. */
export interface ControllerCatchUpDependencies {
  store: ControlStore;
  connections: ConnectionPool;
  /** The time-out of one request, in ms. */
  requestTimeoutMs: number;
  /** All values that are learned here. */
  committedValues: () => VersionedValue[];
  /** Learns a committed value under a time-out. */
  learn: (request: { change: VersionedValue }) => Promise<Result<unknown>>;
  /** Notes that a value was learned later than it was committed. */
  onCaughtUp: (key: string) => void;
}

/** Catches up with each other controller, by its journal since the last time; the cost is by what changed. */
export class ControllerCatchUp {
  /** How far each controller's journal was read, by its address. */
  private readonly positions = new Map<string, JournalPosition>();
  private readonly missed: CatchUp;

  constructor(private readonly dependencies: ControllerCatchUpDependencies) {
    this.missed = makeCatchUp({
      appliedVersion: this.learned.bind(this),
      apply: this.learnMessages.bind(this),
      openChannels: dependencies.connections.openChannels,
      timeoutMs: dependencies.requestTimeoutMs,
    });
  }

  /** Asks each other controller for what it learned since it was asked last, and the first time for all that is not here. */
  async run(): Promise<void> {
    const addresses = this.dependencies.connections.peerAddresses();
    await Promise.all(addresses.map(this.catchUpWith.bind(this)));
  }

  private async catchUpWith(address: string): Promise<void> {
    const channel = this.dependencies.connections.channelTo(address);
    if (!channel) return;
    const { life, count } = this.positions.get(address) ?? { life: '', count: 0 };
    const [error, learned] = errorOrValue(
      await request<LearnedSince>(channel, 'learned-after', { life, count }, this.timeoutMs),
    );
    if (error && error.code !== 'not-known') return;
    const [listError, entries] = errorOrValue(await this.entriesOf(channel, learned));
    if (listError?.code === 'not-known') return this.fetchFromOldVersion(channel);
    if (listError || !(await this.missed.fetch(channel, entries))) return;
    if (learned) this.positions.set(address, { life: learned.life, count: learned.count });
  }

  /** The versions there that may be later than those here: what was learned since, or where that is not known, all. */
  private async entriesOf(
    channel: PeerChannel,
    learned: LearnedSince | undefined,
  ): Promise<Result<AppliedEntry[]>> {
    return learned?.has
      ? Right(learned.has)
      : request<AppliedEntry[]>(channel, 'committed-places', {}, this.timeoutMs);
  }

  /** Fetches all that is missing here, in full, from a controller of a version that lists no versions. */
  private async fetchFromOldVersion(channel: PeerChannel): Promise<void> {
    const known = appliedEntries(this.dependencies.committedValues());
    const [error, changes] = errorOrValue(
      await request<VersionedValue[]>(channel, 'missing', known, this.timeoutMs),
    );
    if (!error) await this.learnAll(changes);
  }

  /** Learns what was fetched, and gives the keys that could not be read or stored. */
  private async learnMessages(messages: InlineChange[]): Promise<string[]> {
    const changes: VersionedValue[] = [];
    const unread: string[] = [];
    for (const message of messages) {
      const target = targetOf(message);
      if (isAtLeast(this.learned(target.key), target)) continue;
      const change = readChange(this.learned(target.key), message);
      if (change) changes.push(change);
      else unread.push(target.key);
    }
    return (await this.learnAll(changes)) ? unread : [...unread, ...changes.map(keyOf)];
  }

  /** Learns values at once, so that they share syncs; whether all are stored. */
  private async learnAll(changes: readonly VersionedValue[]): Promise<boolean> {
    const stored = await Promise.all(changes.map(this.learnChange.bind(this)));
    return !stored.includes(false);
  }

  private async learnChange(change: VersionedValue): Promise<boolean> {
    const learned = await this.dependencies.learn({ change });
    if (learned.isRight()) this.dependencies.onCaughtUp(change.key);
    return learned.isRight();
  }

  private learned(key: string): VersionedValue | undefined {
    return this.dependencies.store.registers.get(key)?.learned;
  }

  private get timeoutMs(): number {
    return this.dependencies.requestTimeoutMs;
  }
}

/** Sends a request whose reply has a known type. */
function request<Reply>(
  channel: PeerChannel,
  type: string,
  body: unknown,
  timeoutMs: number,
): Promise<Result<Reply>> {
  return channel.request(type, body, timeoutMs) as Promise<Result<Reply>>;
}

function keyOf(change: VersionedValue): string {
  return change.key;
}
