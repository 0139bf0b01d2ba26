/**
 * Deltas: a committed change as the patch of an earlier version, with the digest of the result.
 */

import { compareVersions, Version, VersionedValue } from '../state/versions';
import { digestOf } from './digest';
import { applyPatch, diff, identityPatch, Patch } from './patch';

/** A change as a patch of its base version. The field names are sent. */
export interface Delta extends Version {
  key: string;
  base: Version;
  patch: Patch;
  /** The digest of the value that the patch leads to. */
  sum: string;
}

/** The length of text from which a value is sent as a delta. */
const MIN_DELTA_BASE_BYTES = 2000;
/** The longest patch, as a ratio of the complete value: a longer one is not worth that the receiver needs its base. */
const MAX_PATCH_RATIO = 0.5;

/** The version of a value, without the value. */
export function versionOf({ epoch, by, number }: Version): Version {
  return { epoch, by, number };
}

/** The delta from a base to a change; undefined where it is not much shorter than the complete value. */
export function makeDelta(
  base: VersionedValue | undefined,
  change: VersionedValue,
): Delta | undefined {
  if (!base) return undefined;
  if (digestOf(base.value).bytes < MIN_DELTA_BASE_BYTES) return undefined;
  const { hash, bytes } = digestOf(change.value);
  const patch = diff(base.value, change.value) ?? identityPatch(change.value);
  if (JSON.stringify(patch).length > bytes * MAX_PATCH_RATIO) return undefined;
  return { key: change.key, ...versionOf(change), base: versionOf(base), patch, sum: hash };
}

/**
 * What a delta gives over an applied version: its change, where the digest of the result is the delta's own (`exact`) or
 * another one (`other-digest`); nothing where that version is not its base.
 */
export type AppliedDelta =
  { kind: 'exact' | 'other-digest'; change: VersionedValue } | { kind: 'other-base' };

/** Applies a delta to an applied version. */
export function applyDelta(applied: VersionedValue | undefined, delta: Delta): AppliedDelta {
  if (!applied || compareVersions(applied, delta.base) !== 0) return { kind: 'other-base' };
  const value = applyPatch(applied.value, delta.patch);
  const change = { key: delta.key, ...versionOf(delta), value };
  return { kind: digestOf(value).hash === delta.sum ? 'exact' : 'other-digest', change };
}

/** Reads a delta over the applied version; undefined where that is not its base, or the digest of the result differs. */
export function readDelta(
  applied: VersionedValue | undefined,
  delta: Delta,
): VersionedValue | undefined {
  const read = applyDelta(applied, delta);
  return read.kind === 'exact' ? read.change : undefined;
}

/** A value equal to `fresh` that shares with an earlier one all that did not change. */
export function shareUnchanged(before: unknown, fresh: unknown): unknown {
  const patch = diff(before, fresh);
  if (!patch) return before;
  const shared = applyPatch(before, patch);
  return digestOf(shared).hash === digestOf(fresh).hash ? shared : fresh;
}
