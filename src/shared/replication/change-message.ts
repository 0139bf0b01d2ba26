import { pack } from 'msgpackr';
import { compress, decompress, deflate } from '../transport/compression';
import { Delta, versionOf, readDelta } from './delta';
import { digestOf } from './digest';
import { shortHashOfBytes } from '../util/hashing';
import { compareVersions, VersionedValue, Version } from '../state/versions';

/** A committed change on its way to a node that lacks it, in a form that is read at once. */
export type InlineChange = FullChange | CompressedChange | DeltaChange | CompressedDelta;

/** A committed change on its way to a node that lacks it: itself, or the offer of one that is fetched in pieces. */
export type ChangeMessage = InlineChange | ChangeOffer;

/** The whole value. */
export interface FullChange {
  kind: 'whole';
  change: VersionedValue;
}

/** The whole value, compressed. */
export interface CompressedChange extends Version {
  kind: 'compressed';
  key: string;
  bytes: Uint8Array;
}

/** The difference to a version that the receiver holds. */
export interface DeltaChange {
  kind: 'delta';
  delta: Delta;
}

/** A difference, compressed. */
export interface CompressedDelta extends Version {
  kind: 'compressed-delta';
  key: string;
  base: Version;
  bytes: Uint8Array;
}

/** A compressed value or difference that is too long for one message: the receiver fetches its bytes in pieces. */
export interface ChangeOffer extends Version {
  kind: 'offer';
  key: string;
  /** The version that the difference is made to; none where the bytes hold a whole value. */
  base?: Version;
  /** How many bytes there are. */
  size: number;
  /** A hash of the bytes: the same at each controller that makes them from the same versions. */
  sum: string;
}

/** How far a node has applied a key: key, epoch, owner, number. */
export type AppliedEntry = [string, number, string, number];

/** What a node answers to changes: the keys that it could not read, with the version of each that it holds. What it is offered it fetches afterwards. */
export interface ChangesReply {
  lacking: AppliedEntry[];
}

/** A value with a longer text, or a difference of more bytes, is compressed. */
const COMPRESSED_ABOVE = 4096;

/** Lists how far each key has been applied. */
export function appliedEntries(changes: Iterable<VersionedValue>): AppliedEntry[] {
  const entries: AppliedEntry[] = [];
  for (const n of changes) entries.push([n.key, n.epoch, n.by, n.number]);
  return entries;
}

/** Makes the message that carries a value whole, compressed where that pays. */
export function fullChangeMessage(change: VersionedValue): InlineChange {
  if (digestOf(change.value).bytes <= COMPRESSED_ABOVE) return { kind: 'whole', change };
  return {
    kind: 'compressed',
    key: change.key,
    ...versionOf(change),
    bytes: compress(change.value),
  };
}

/** Makes the message that carries a difference, compressed where that pays. */
export function deltaMessage(delta: Delta): InlineChange {
  const packed = pack(delta);
  if (packed.length <= COMPRESSED_ABOVE) return { kind: 'delta', delta };
  const { key, base } = delta;
  return { kind: 'compressed-delta', key, ...versionOf(delta), base, bytes: deflate(packed) };
}

/** Makes the offer of a message that is too long to be sent at once. */
export function offerOf(message: CompressedChange | CompressedDelta): ChangeOffer {
  const { key, bytes } = message;
  const base = message.kind === 'compressed-delta' ? message.base : undefined;
  const sum = shortHashOfBytes(bytes);
  return { kind: 'offer', key, ...versionOf(message), base, size: bytes.length, sum };
}

/** The message whose bytes were fetched; nothing where they are not those that were offered. */
export function fetchedMessage(offer: ChangeOffer, bytes: Uint8Array): InlineChange | undefined {
  if (shortHashOfBytes(bytes) !== offer.sum) return undefined;
  const { key, base } = offer;
  return base
    ? { kind: 'compressed-delta', key, ...versionOf(offer), base, bytes }
    : { kind: 'compressed', key, ...versionOf(offer), bytes };
}

/** The key and version that a message brings. */
export function targetOf(message: ChangeMessage): Version & { key: string } {
  if (message.kind === 'whole') return message.change;
  if (message.kind === 'delta') return message.delta;
  return message;
}

/** Reads a message over what is held; undefined where it can't be read here. */
export function readChange(
  held: VersionedValue | undefined,
  message: InlineChange,
): VersionedValue | undefined {
  if (message.kind === 'whole') return message.change;
  if (message.kind === 'delta') return readDelta(held, message.delta);
  const read = decompress('read change', message.key, message.bytes);
  if (read.isLeft()) return undefined;
  if (message.kind === 'compressed-delta') return readDelta(held, read.extract() as Delta);
  return { key: message.key, ...versionOf(message), value: read.extract() };
}

/**
 * Whether a held committed version has the value of the one that is wanted, or a later one. A value that a later owner
 * commits anew keeps its number, and of what is committed under one number there is one value.
 */
export function isCurrent(held: Version | undefined, wanted: Version): boolean {
  return held !== undefined && (held.number === wanted.number || isAtLeast(held, wanted));
}

/** Whether a held version is the one that is wanted, or a later one. */
export function isAtLeast(held: Version | undefined, wanted: Version): boolean {
  return held !== undefined && compareVersions(held, wanted) >= 0;
}
