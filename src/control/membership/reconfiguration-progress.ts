/**
 * How far the completion of a joint voter set has come.
 */

/**
 * What was done for a joint set so far, so that another attempt continues where the last one ended: a key that is
 * committed again is sent to every follower, and to the new voter that was not up to date in time.
 */
export interface ReconfigurationProgress {
  /** The version number of the joint set. */
  number?: number;
  /** Whether no router goes by the old set alone any more. */
  isInEffect: boolean;
  /** Keys that were committed under both quorums since a quorum of the old set knows the joint one. */
  recommittedKeys: Set<string>;
}

/** Makes the progress of a joint set for which nothing was done. */
export function makeReconfigurationProgress(): ReconfigurationProgress {
  return { isInEffect: false, recommittedKeys: new Set() };
}

/** Resets the progress where it is that of another joint set. */
export function resumeProgress(progress: ReconfigurationProgress, number: number): void {
  if (progress.number === number) return;
  progress.number = number;
  progress.isInEffect = false;
  progress.recommittedKeys.clear();
}
