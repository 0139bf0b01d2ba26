/**
 * Sends changes to one follower, with one message in flight at a time; what changes meanwhile is coalesced by key.
 */

import {
  AppliedEntry,
  ChangeMessage,
  ChangesReply,
  isCurrent,
  isAtLeast,
  targetOf,
} from '../../shared/replication/change-message';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { versionOf } from '../../shared/replication/delta';
import { errorOrValue } from '../../shared/errors/errors';
import { Logger } from '../../shared/ports/logger';
import { VersionedValue, Version } from '../../shared/state/versions';
import { AppliedVersions } from './lease-messages';

/** What sending changes to one follower needs. */
export interface ChangeSenderDependencies {
  channel: PeerChannel;
  /** The follower's name, for logs. */
  name: string;
  /** How long a reply may take. */
  timeoutMs: number;
  logger: Logger;
  /** How far the follower has applied each key, as far as is known here. */
  applied: AppliedVersions;
  newest: (key: string) => VersionedValue | undefined;
  messageFor: (change: VersionedValue, followerVersion: Version | undefined) => ChangeMessage;
  /** Called when more is known to be applied. */
  onApplied: () => void;
}

/**
 * Sends changes to one follower. Keys that change while a message is in flight wait by name, so a follower that is
 * behind is sent one difference to the newest version, however many versions there were in between. What is long is
 * offered: the follower fetches it at its own pace, and other keys go ahead meanwhile.
 */
export class ChangeSender {
  private readonly pending = new Set<string>();
  /** For each key that was offered last, the version that the follower held then. */
  private readonly offeredTo = new Map<string, Version | undefined>();
  private readonly confirming = new Set<string>();
  private isSending = false;

  constructor(private readonly dependencies: ChangeSenderDependencies) {}

  /** Has the newest version of a key sent. */
  send(key: string): void {
    this.pending.add(key);
    if (!this.isSending) void this.sendAll();
  }

  /** Has the newest version of a key sent unless the follower says that it has it already. */
  confirm(key: string): void {
    if (!this.confirming.has(key)) void this.confirmOne(key);
  }

  private async sendAll(): Promise<void> {
    this.isSending = true;
    while (this.pending.size > 0) if (!(await this.sendPending())) this.pending.clear();
    this.isSending = false;
  }

  /** Sends what is pending; false where the follower did not reply: its next renewal says what it lacks. */
  private async sendPending(): Promise<boolean> {
    const { channel, timeoutMs, logger, name, onApplied } = this.dependencies;
    const messages = this.takePending();
    if (messages.length === 0) return true;
    const [error, reply] = errorOrValue(await channel.request('changes', messages, timeoutMs));
    if (error) {
      logger.warn({ event: 'leases.changes-not-sent', peer: name }, error.reason);
      return false;
    }
    this.noteReply(messages, reply as ChangesReply);
    onApplied();
    return true;
  }

  private takePending(): ChangeMessage[] {
    const messages: ChangeMessage[] = [];
    for (const key of this.pending) {
      const change = this.dependencies.newest(key);
      if (this.isLacking(change) && !this.isBeingFetched(key))
        messages.push(this.messageFor(change));
    }
    this.pending.clear();
    return messages;
  }

  private messageFor(change: VersionedValue): ChangeMessage {
    const followerVersion = this.dependencies.applied.get(change.key);
    const message = this.dependencies.messageFor(change, followerVersion);
    if (message.kind === 'offer') this.offeredTo.set(change.key, followerVersion);
    return message;
  }

  private isLacking(change: VersionedValue | undefined): change is VersionedValue {
    return change !== undefined && !isCurrent(this.dependencies.applied.get(change.key), change);
  }

  /** Whether the follower was offered this key and has not moved on: once it has, it asks by itself for what is newer. */
  private isBeingFetched(key: string): boolean {
    const { applied } = this.dependencies;
    if (this.offeredTo.has(key) && this.offeredTo.get(key) === applied.get(key)) return true;
    this.offeredTo.delete(key);
    return false;
  }

  private noteReply(messages: readonly ChangeMessage[], reply: ChangesReply): void {
    for (const message of messages)
      if (message.kind !== 'offer') this.noteApplied(targetOf(message));
    const bases = new Map(messages.map(baseEntryOf));
    for (const entry of reply.lacking) this.noteLacking(entry, bases);
  }

  private noteApplied(target: Version & { key: string }): void {
    const { applied } = this.dependencies;
    if (!isAtLeast(applied.get(target.key), target)) applied.set(target.key, versionOf(target));
  }

  /** Has a key sent again: as a difference to what the follower holds, or in full where such a difference was what it could not read. */
  private noteLacking(
    [key, epoch, by, number]: AppliedEntry,
    bases: Map<string, Version | undefined>,
  ): void {
    const { applied } = this.dependencies;
    const followerVersion = { epoch, by, number };
    if (isAtLeast(bases.get(key), followerVersion)) applied.delete(key);
    else applied.set(key, followerVersion);
    this.pending.add(key);
  }

  private async confirmOne(key: string): Promise<void> {
    const { channel, timeoutMs, newest, onApplied } = this.dependencies;
    const change = newest(key);
    if (!this.isLacking(change)) return;
    this.confirming.add(key);
    const asked = { key, ...versionOf(change) };
    const [error, has] = errorOrValue(await channel.request('has', asked, timeoutMs));
    this.confirming.delete(key);
    if (error || has !== true) return this.send(key);
    this.noteApplied(asked);
    onApplied();
    if (this.isLacking(newest(key))) this.confirm(key);
  }
}

function baseEntryOf(message: ChangeMessage): [string, Version | undefined] {
  return [targetOf(message).key, baseOf(message)];
}

function baseOf(message: ChangeMessage): Version | undefined {
  if (message.kind === 'delta') return message.delta.base;
  return message.kind === 'compressed-delta' ? message.base : undefined;
}

/** Makes a sender to one follower. */
export function makeChangeSender(dependencies: ChangeSenderDependencies): ChangeSender {
  return new ChangeSender(dependencies);
}
