/**
 * Recovery of a control store from its files, and of disks that an earlier release wrongly took for lost.
 */

import { DecodedFrames } from './frames';
import { compareEpochs, compareVersions, Version } from '../../shared/state/versions';
import { recoverNewest } from './snapshot-recovery';
import { RecoveredStore } from './recovered-store';
import { RegisterState } from './register-state';

/** A file that holds nothing. */
const NO_FRAMES: DecodedFrames = { values: [], isTorn: false, isCorrupt: false };

/** Recovers what the files hold; undefined for a disk without files. */
export function recoverStore(
  slots: readonly DecodedFrames[],
  logs: readonly DecodedFrames[],
): RecoveredStore | undefined {
  const newest = recoverNewest(slots, logs);
  return newest && (recoverMisjudged(newest, slots, logs) ?? newest);
}

/**
 * Undoes a snapshot that release 7dda877 began as a new disk, since a delta of the log before had another digest than it
 * names. Undefined for any other: nothing may have been written since, and the log before must give all that the snapshot
 * holds.
 */
function recoverMisjudged(
  newest: RecoveredStore,
  slots: readonly DecodedFrames[],
  logs: readonly DecodedFrames[],
): RecoveredStore | undefined {
  const { diskId, generation, isCorrupt } = newest.state;
  const index = generation % 2;
  if (!isCorrupt || !isUnused(logs[index])) return undefined;
  const former = recoverNewest(slots.with(index, NO_FRAMES), logs);
  if (!former || former.lost || former.inexact.length === 0) return undefined;
  if (former.state.generation !== generation - 1 || former.state.diskId === diskId)
    return undefined;
  if (!includesAll(former.registers, newest.registers)) return undefined;
  return { ...former, state: { ...former.state, abandonedDiskId: diskId } };
}

/** Whether a log has its header and nothing behind it. */
function isUnused(log: DecodedFrames): boolean {
  return log.values.length === 1 && !log.isTorn && !log.isCorrupt;
}

/** Whether registers have all that others have, or later versions. */
function includesAll(
  registers: ReadonlyMap<string, RegisterState>,
  others: ReadonlyMap<string, RegisterState>,
): boolean {
  for (const [key, other] of others) {
    const register = registers.get(key);
    if (!register || compareEpochs(register.promised, other.promised) < 0) return false;
    if (!isSameOrLater(register.accepted, other.accepted)) return false;
    if (!isSameOrLater(register.learned, other.learned)) return false;
  }
  return true;
}

function isSameOrLater(one: Version | undefined, other: Version | undefined): boolean {
  return other === undefined || (one !== undefined && compareVersions(one, other) >= 0);
}
