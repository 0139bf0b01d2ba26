/**
 * The forms in which a committed change is sent to a node that lacks it: its complete value or a delta, each compressed
 * where that pays, or an offer whose bytes are fetched in chunks. All field names and kinds are sent.
 */

import { pack } from 'msgpackr';
import { compress, decompress, deflate } from '../transport/compression';
import { Delta, versionOf, readDelta } from './delta';
import { digestOf } from './digest';
import { shortHashOfBytes } from '../util/hashing';
import { compareVersions, VersionedValue, Version } from '../state/versions';

/** A committed change in a form that is read at once. */
export type InlineChange = FullChange | CompressedChange | DeltaChange | CompressedDelta;

/** A committed change, or the offer of one that is fetched in chunks. */
export type ChangeMessage = InlineChange | ChangeOffer;

/** The complete value. */
export interface FullChange {
  kind: 'whole';
  change: VersionedValue;
}

/** The complete value, compressed. */
export interface CompressedChange extends Version {
  kind: 'compressed';
  key: string;
  bytes: Uint8Array;
}

/** The delta to a version that is applied at the receiver. */
export interface DeltaChange {
  kind: 'delta';
  delta: Delta;
}

/** A delta, compressed. */
export interface CompressedDelta extends Version {
  kind: 'compressed-delta';
  key: string;
  base: Version;
  bytes: Uint8Array;
}

/** A compressed value or delta that is too long for one message: the receiver fetches its bytes in chunks. */
export interface ChangeOffer extends Version {
  kind: 'offer';
  key: string;
  /** The delta's base version; none where the bytes hold a complete value. */
  base?: Version;
  /** The number of bytes. */
  size: number;
  /** The digest of the bytes: the same at each controller that makes them from the same versions. */
  sum: string;
}

/** The version of a key that is applied at a node: key, epoch, owner, number. */
export type AppliedEntry = [string, number, string, number];

/** A node's reply to changes: the keys that it could not read, with the version of each that it has applied. It fetches offers afterwards. */
export interface ChangesReply {
  lacking: AppliedEntry[];
}

/** A value whose text, or a delta whose bytes are more than this is compressed. */
const MAX_UNCOMPRESSED_BYTES = 4096;

/** The entries of applied changes. */
export function appliedEntries(changes: Iterable<VersionedValue>): AppliedEntry[] {
  const entries: AppliedEntry[] = [];
  for (const { key, epoch, by, number } of changes) entries.push([key, epoch, by, number]);
  return entries;
}

/** The entry of a key: of its applied version, or one before all versions where there is none. */
export function entryOf(key: string, applied: VersionedValue | undefined): AppliedEntry {
  return applied ? [key, applied.epoch, applied.by, applied.number] : [key, 0, '', 0];
}

/** The key of an entry. */
export function keyOfEntry(entry: AppliedEntry): string {
  return entry[0];
}

/** The message that carries a complete value, compressed where that pays. */
export function fullChangeMessage(change: VersionedValue): InlineChange {
  if (digestOf(change.value).bytes <= MAX_UNCOMPRESSED_BYTES) return { kind: 'whole', change };
  return {
    kind: 'compressed',
    key: change.key,
    ...versionOf(change),
    bytes: compress(change.value),
  };
}

/** The message that carries a delta, compressed where that pays. */
export function deltaMessage(delta: Delta): InlineChange {
  const packed = pack(delta);
  if (packed.length <= MAX_UNCOMPRESSED_BYTES) return { kind: 'delta', delta };
  const { key, base } = delta;
  return { kind: 'compressed-delta', key, ...versionOf(delta), base, bytes: deflate(packed) };
}

/** The offer of a message that is too long to be sent at once. */
export function offerOf(message: CompressedChange | CompressedDelta): ChangeOffer {
  const { key, bytes } = message;
  const base = message.kind === 'compressed-delta' ? message.base : undefined;
  const sum = shortHashOfBytes(bytes);
  return { kind: 'offer', key, ...versionOf(message), base, size: bytes.length, sum };
}

/** The message whose bytes were fetched; undefined where they are not those that were offered. */
export function fetchedMessage(offer: ChangeOffer, bytes: Uint8Array): InlineChange | undefined {
  if (shortHashOfBytes(bytes) !== offer.sum) return undefined;
  const { key, base } = offer;
  return base
    ? { kind: 'compressed-delta', key, ...versionOf(offer), base, bytes }
    : { kind: 'compressed', key, ...versionOf(offer), bytes };
}

/** Separates what is read at once from what must be fetched. */
export function separateOffers(messages: readonly ChangeMessage[]): {
  inline: InlineChange[];
  offers: ChangeOffer[];
} {
  const inline: InlineChange[] = [];
  const offers: ChangeOffer[] = [];
  for (const message of messages) {
    if (message.kind === 'offer') offers.push(message);
    else inline.push(message);
  }
  return { inline, offers };
}

/** The key and version that a message leads to. */
export function targetOf(message: ChangeMessage): Version & { key: string } {
  if (message.kind === 'whole') return message.change;
  if (message.kind === 'delta') return message.delta;
  return message;
}

/** Reads a message, a delta over the applied version; undefined where it can't be read, or the delta has another base. */
export function readChange(
  applied: VersionedValue | undefined,
  message: InlineChange,
): VersionedValue | undefined {
  if (message.kind === 'whole') return message.change;
  if (message.kind === 'delta') return readDelta(applied, message.delta);
  const read = decompress('read change', message.key, message.bytes);
  if (read.isLeft()) return undefined;
  if (message.kind === 'compressed-delta') return readDelta(applied, read.extract() as Delta);
  return { key: message.key, ...versionOf(message), value: read.extract() };
}

/**
 * Whether an applied version has the value of the wanted one, or a later value. What a later owner commits anew keeps its
 * number, and under one number there is only one committed value.
 */
export function isCurrent(applied: Version | undefined, wanted: Version): boolean {
  return applied !== undefined && (applied.number === wanted.number || isAtLeast(applied, wanted));
}

/** Whether an applied version is the wanted one, or a later one. */
export function isAtLeast(applied: Version | undefined, wanted: Version): boolean {
  return applied !== undefined && compareVersions(applied, wanted) >= 0;
}
