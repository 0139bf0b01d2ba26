import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { Delta, placeOf, readDelta } from './delta';
import { digestOf } from './digest';
import { guard } from './lib';
import { comparePlaces, Numbered, Place } from './words';

/** A committed change on its way to a node that lacks it: the value, the compressed value, or a difference. */
export type ChangeMessage = WholeChange | CompressedChange | DeltaChange;

/** The whole value. */
export interface WholeChange {
  kind: 'whole';
  change: Numbered;
}

/** The whole value, compressed. */
export interface CompressedChange extends Place {
  kind: 'compressed';
  key: string;
  bytes: Uint8Array;
}

/** The difference to a version that the receiver holds. */
export interface DeltaChange {
  kind: 'delta';
  delta: Delta;
}

/** How far a node has applied a key: key, epoch, owner, number. */
export type AppliedEntry = [string, number, string, number];

/** What a node answers to changes: the keys that it could not read, with the version of each that it holds. */
export interface ChangesAnswer {
  lacking: AppliedEntry[];
}

/** A value with a longer text than this is compressed. */
const COMPRESSED_ABOVE = 4096;
/** Speed before size: controllers have little processor time. */
const COMPRESSION_LEVEL = 1;

/** Lists how far each key has been applied. */
export function appliedEntries(changes: Iterable<Numbered>): AppliedEntry[] {
  const entries: AppliedEntry[] = [];
  for (const n of changes) entries.push([n.key, n.epoch, n.by, n.number]);
  return entries;
}

/** Makes the message that carries a value whole, compressed where that pays. */
export function wholeMessage(change: Numbered): ChangeMessage {
  if (digestOf(change.value).bytes <= COMPRESSED_ABOVE) return { kind: 'whole', change };
  const bytes = deflateRawSync(pack(change.value), { level: COMPRESSION_LEVEL });
  return { kind: 'compressed', key: change.key, ...placeOf(change), bytes };
}

/** The key and version that a message brings. */
export function targetOf(message: ChangeMessage): Place & { key: string } {
  if (message.kind === 'whole') return message.change;
  if (message.kind === 'delta') return message.delta;
  return message;
}

/** Reads a message over what is held; undefined where it can't be read here. */
export function readChange(
  held: Numbered | undefined,
  message: ChangeMessage,
): Numbered | undefined {
  if (message.kind === 'whole') return message.change;
  if (message.kind === 'delta') return readDelta(held, message.delta);
  function inflate(): unknown {
    return unpack(inflateRawSync((message as CompressedChange).bytes));
  }
  const value = guard('read change', message.key, inflate);
  if (value.isLeft()) return undefined;
  return { key: message.key, ...placeOf(message), value: value.extract() };
}

/**
 * Whether a held committed version has the value of the one that is wanted, or a later one. A value that a later owner
 * commits anew keeps its number, and of what is committed under one number there is one value.
 */
export function isCurrent(held: Place | undefined, wanted: Place): boolean {
  return held !== undefined && (held.number === wanted.number || isReached(held, wanted));
}

/** Whether a held version is the one that is wanted, or a later one. */
export function isReached(held: Place | undefined, wanted: Place): boolean {
  return held !== undefined && comparePlaces(held, wanted) >= 0;
}
