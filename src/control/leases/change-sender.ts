import {
  AppliedEntry,
  ChangeMessage,
  ChangesReply,
  isCurrent,
  isAtLeast,
  targetOf,
} from '../../shared/replication/change-message';
import { PeerChannel } from '../../shared/transport/connections';
import { versionOf } from '../../shared/replication/delta';
import { errorOrValue } from '../../shared/errors/errors';
import { Logger } from '../../shared/ports/logger';
import { VersionedValue, Version } from '../../shared/state/versions';

/** What sending changes to one follower needs. */
export interface ChangeSenderDependencies {
  channel: PeerChannel;
  name: string;
  /** How long an answer may take. */
  timeoutMs: number;
  logger: Logger;
  /** How far the follower has applied each key, as far as is known here. */
  applied: Map<string, Version>;
  newest: (key: string) => VersionedValue | undefined;
  messageFor: (change: VersionedValue, held: Version | undefined) => ChangeMessage;
  /** Called when more is known to be applied. */
  onApplied: () => void;
}

/** Sends changes to one follower. */
export interface ChangeSender {
  /** Has the newest version of a key sent. */
  send: (key: string) => void;
  /** Has the newest version of a key sent unless the follower says that it has it already. */
  confirm: (key: string) => void;
}

/**
 * Makes a sender with one message under way at a time. Keys that change meanwhile wait by name, so a follower that is
 * behind is sent one difference to the newest version, however many versions there were in between. What is long is
 * offered: the follower fetches it at its own pace, and other keys go ahead meanwhile.
 */
export function makeChangeSender(parts: ChangeSenderDependencies): ChangeSender {
  const { applied } = parts;
  const pending = new Set<string>();
  /** For each key that was offered last, the version that the follower held then. */
  const offeredTo = new Map<string, Version | undefined>();
  const confirming = new Set<string>();
  let sending = false;

  function isLacking(change: VersionedValue | undefined): change is VersionedValue {
    return change !== undefined && !isCurrent(applied.get(change.key), change);
  }

  function send(key: string): void {
    pending.add(key);
    if (!sending) void sendAll();
  }

  async function sendAll(): Promise<void> {
    sending = true;
    while (pending.size > 0) if (!(await sendPending())) pending.clear();
    sending = false;
  }

  function takePending(): ChangeMessage[] {
    const messages: ChangeMessage[] = [];
    for (const key of pending) {
      const change = parts.newest(key);
      if (isLacking(change) && !isBeingFetched(key)) messages.push(messageFor(change));
    }
    pending.clear();
    return messages;
  }

  function messageFor(change: VersionedValue): ChangeMessage {
    const held = applied.get(change.key);
    const message = parts.messageFor(change, held);
    if (message.kind === 'offer') offeredTo.set(change.key, held);
    return message;
  }

  /** Whether the follower was offered this key and has not moved on: once it has, it asks by itself for what is newer. */
  function isBeingFetched(key: string): boolean {
    if (offeredTo.has(key) && offeredTo.get(key) === applied.get(key)) return true;
    offeredTo.delete(key);
    return false;
  }

  /** Sends what is pending; false where the follower did not answer: its next renewal tells what it lacks. */
  async function sendPending(): Promise<boolean> {
    const messages = takePending();
    if (messages.length === 0) return true;
    const [fault, answer] = errorOrValue(
      await parts.channel.request('changes', messages, parts.timeoutMs),
    );
    if (fault) {
      parts.logger.warn({ step: 'send changes', peer: parts.name }, fault.reason);
      return false;
    }
    for (const message of messages) if (message.kind !== 'offer') noteApplied(targetOf(message));
    const bases = new Map(messages.map(baseOf));
    for (const entry of (answer as ChangesReply).lacking) noteLacking(entry, bases);
    parts.onApplied();
    return true;
  }

  function noteApplied(target: Version & { key: string }): void {
    if (!isAtLeast(applied.get(target.key), target)) applied.set(target.key, versionOf(target));
  }

  /** Has a key sent again: as a difference to what the follower holds, or whole where such a difference was what it could not read. */
  function noteLacking(
    [key, epoch, by, number]: AppliedEntry,
    bases: Map<string, Version | undefined>,
  ): void {
    const held = { epoch, by, number };
    if (isAtLeast(bases.get(key), held)) applied.delete(key);
    else applied.set(key, held);
    pending.add(key);
  }

  function confirm(key: string): void {
    if (!confirming.has(key)) void confirmOne(key);
  }

  async function confirmOne(key: string): Promise<void> {
    const change = parts.newest(key);
    if (!isLacking(change)) return;
    confirming.add(key);
    const asked = { key, ...versionOf(change) };
    const [fault, has] = errorOrValue(await parts.channel.request('has', asked, parts.timeoutMs));
    confirming.delete(key);
    if (fault || has !== true) return send(key);
    noteApplied(asked);
    parts.onApplied();
    if (isLacking(parts.newest(key))) confirm(key);
  }

  return { send, confirm };
}

function baseOf(message: ChangeMessage): [string, Version | undefined] {
  return [targetOf(message).key, baseIn(message)];
}

function baseIn(message: ChangeMessage): Version | undefined {
  if (message.kind === 'delta') return message.delta.base;
  return message.kind === 'compressed-delta' ? message.base : undefined;
}
