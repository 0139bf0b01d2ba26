/**
 * Versions of control keys: an epoch of the key's owner, then a number that rises with each change. The field names `epoch`, `by` (the owner's id), `number`, `key` and `value` are sent and stored.
 */

/** Where a change stands: epoch first, then number. */
export interface Version {
  epoch: number;
  by: string;
  number: number;
}

/** A value of a control key at its place. */
export interface VersionedValue extends Version {
  key: string;
  value: unknown;
}

/** Orders places; positive when a is later. */
export function compareVersions(a: Version, b: Version): number {
  const e = compareEpochs(a, b);
  return e !== 0 ? e : a.number - b.number;
}

/** Orders epochs; ties go by name. */
export function compareEpochs(
  a: { epoch: number; by: string },
  b: { epoch: number; by: string },
): number {
  if (a.epoch !== b.epoch) return a.epoch - b.epoch;
  if (a.by === b.by) return 0;
  return a.by > b.by ? 1 : -1;
}

/** A version as it is logged, without its owner. */
export function describeVersion({ epoch, number }: Version): string {
  return `${epoch}.${number}`;
}
