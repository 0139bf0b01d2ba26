/**
 * How far followers are behind what is learned here, in time.
 */

import { VersionedValue, Version } from '../../shared/state/versions';

/** Versions of a key of which the time is kept. */
const MAX_VERSIONS = 128;

/** When versions were learned here. */
export interface FollowerLag {
  /** Takes note of a version as it is learned. */
  note: (change: VersionedValue) => void;
  /** For how long a follower has lacked a later version than the one that it holds, in ms. */
  lagMs: (key: string, followerVersion: Version | undefined) => number;
}

/** A version's number and when it was learned, in ms of the clock. */
interface LearnedAt {
  number: number;
  at: number;
}

/** Makes an empty record of times by the clock `now`; a version that is committed anew keeps its time. */
export function makeFollowerLag(now: () => number): FollowerLag {
  const byKey = new Map<string, LearnedAt[]>();

  function note({ key, number }: VersionedValue): void {
    const versions = byKey.get(key) ?? [];
    byKey.set(key, versions);
    if (number <= (versions.at(-1)?.number ?? 0)) return;
    versions.push({ number, at: now() });
    if (versions.length > MAX_VERSIONS) versions.shift();
  }

  function lagMs(key: string, followerVersion: Version | undefined): number {
    function isLater(version: LearnedAt): boolean {
      return version.number > (followerVersion?.number ?? 0);
    }
    const firstLacked = byKey.get(key)?.find(isLater);
    return firstLacked ? now() - firstLacked.at : 0;
  }

  return { note, lagMs };
}

/** The longest lags of routers by key, as metric rows. */
export function lagMetricRows(keys: Iterable<string>, lagOf: (key: string) => number): string[] {
  const rows: string[] = [];
  for (const key of keys)
    rows.push(`plumhollow_controller_router_lag_ms{key="${key}"} ${Math.round(lagOf(key))}`);
  return rows;
}
