/**
 * What the files of a control store hold, as pure functions of their decoded frames: two snapshots that are written in
 * turn, and behind each a write-ahead log of what changed since.
 */

import { DecodedFrames } from './frames';
import { versionOf } from '../../shared/replication/delta';
import { compareEpochs, compareVersions, Version } from '../../shared/state/versions';
import {
  applyLogEntry,
  decodeLogEntry,
  decodeRegister,
  RegisterState,
  StoredLogEntry,
  StoredRegisterState,
} from './register-state';

/** A snapshot as a slot stores it. */
export interface StoredSnapshot {
  /** Counts the snapshots of a disk; the log behind one begins with the same count. */
  gen: number;
  disk: string;
  /** The voter set that the node agreed to at the bootstrap. */
  founding?: unknown;
  /** Whether the disk has lost synced data once. */
  spoilt?: boolean;
  /** The id that the disk had while its data was wrongly taken for lost. */
  abandoned?: string;
  cells: [string, StoredRegisterState][];
}

/** The first frame of a log. */
export interface StoredLogHeader {
  gen: number;
}

/** A log entry that records the bootstrap. */
export interface StoredBootstrap {
  founding: unknown;
}

/** What a control store keeps beside its registers. */
export interface StoreState {
  /** The count of the newest snapshot; 0 before the first. */
  readonly generation: number;
  readonly diskId: string;
  /** The voter set that the node agreed to at the bootstrap. */
  readonly bootstrapVoterSet?: unknown;
  /** Whether the disk has lost synced data once, so that it counts as a new one. */
  readonly isCorrupt?: boolean;
  /** The id that the disk had while its data was wrongly taken for lost; what was written under it is this disk's. */
  readonly abandonedDiskId?: string;
}

/**
 * Why synced data counts as gone: no snapshot can be read, bytes of a log or of the votes have changed or are missing,
 * or an entry of a log has no base. The reasons are logged.
 */
export type DataLossReason =
  'no-snapshot' | 'log-changed' | 'next-log-changed' | 'log-gap' | 'votes-changed' | 'other-base';

/** The entry of a log that something was seen at. */
export interface LogEntryPlace {
  key?: string;
  /** The version that the entry stands for, and the one that it was made from. */
  version?: Version;
  base?: Version;
}

/** Synced data that is gone, and the entry that shows it where one does. */
export interface DataLoss extends LogEntryPlace {
  reason: DataLossReason;
}

/** A file that holds nothing. */
const NO_FRAMES: DecodedFrames = { values: [], isTorn: false, isCorrupt: false };

/** What was read from a disk that has files. */
export interface RecoveredStore {
  state: StoreState;
  registers: Map<string, RegisterState>;
  /** The synced data that is gone, where some is. */
  lost?: DataLoss;
  /** Entries whose result has another digest than they name. */
  inexact: LogEntryPlace[];
  /** Whether version 0.1 wrote the snapshot. */
  isLegacy: boolean;
}

/** What the replay of a log gave. */
interface Replay {
  bootstrapVoterSet: unknown;
  /** What is missing of all that was synced. */
  lost?: DataLoss;
  /** Entries whose result has another digest than they name. */
  inexact: LogEntryPlace[];
}

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

/** Recovers the newest complete snapshot, then its log, then the next log where the snapshot before that can't be read. */
function recoverNewest(
  slots: readonly DecodedFrames[],
  logs: readonly DecodedFrames[],
): RecoveredStore | undefined {
  const snapshots = slots.map(snapshotOf);
  const index = (snapshots[0]?.gen ?? 0) > (snapshots[1]?.gen ?? 0) ? 0 : 1;
  const snapshot = snapshots[index];
  if (!snapshot) return hasTraces(slots, logs) ? withoutSnapshot() : undefined;
  const isLegacy = slots[index].isLegacy === true;
  const log = logs[index];
  const registers = decodeRegisters(snapshot);
  const replayed = replayLog(registers, log, {
    bootstrapVoterSet: snapshot.founding,
    inexact: [],
  });
  const isLogIntact = isLegacy || (generationOf(log) === snapshot.gen && !log.isCorrupt);
  const replay = isLogIntact ? replayed : withLoss(replayed, 'log-changed');
  const isNextLost = !snapshots[1 - index] && !isLegacy;
  const { bootstrapVoterSet, lost, inexact } = isNextLost
    ? replayNextLog(registers, replay, snapshot.gen, log, logs[1 - index])
    : replay;
  const state = stateOf(snapshot, bootstrapVoterSet);
  return { state, registers, lost, inexact, isLegacy };
}

/** A replay with a loss; one that was found before stays. */
function withLoss(replay: Replay, reason: DataLossReason): Replay {
  return { ...replay, lost: replay.lost ?? { reason } };
}

/** Goes on with the next log, whose snapshot can't be read; where the log is an older one, only its bytes are checked. */
function replayNextLog(
  registers: Map<string, RegisterState>,
  replay: Replay,
  generation: number,
  log: DecodedFrames,
  nextLog: DecodedFrames,
): Replay {
  const isNext = generationOf(nextLog) === generation + 1;
  const next = isNext && !replay.lost ? replayLog(registers, nextLog, replay) : replay;
  if (nextLog.isCorrupt) return withLoss(next, 'next-log-changed');
  // The next log has entries, so that its snapshot was complete, with more than the torn log gives.
  const hasGap = isNext && log.isTorn && nextLog.values.length > 1;
  return hasGap ? withLoss(next, 'log-gap') : next;
}

function snapshotOf(slot: DecodedFrames): StoredSnapshot | undefined {
  return slot.values[0] as StoredSnapshot | undefined;
}

function stateOf(snapshot: StoredSnapshot, bootstrapVoterSet: unknown): StoreState {
  return {
    generation: snapshot.gen,
    diskId: snapshot.disk,
    bootstrapVoterSet,
    isCorrupt: snapshot.spoilt,
    abandonedDiskId: snapshot.abandoned,
  };
}

function decodeRegisters(snapshot: StoredSnapshot): Map<string, RegisterState> {
  const registers = new Map<string, RegisterState>();
  for (const [key, stored] of snapshot.cells) registers.set(key, decodeRegister(stored));
  return registers;
}

/** Whether files without a readable snapshot hold anything that was written after a first one. */
function hasTraces(slots: readonly DecodedFrames[], logs: readonly DecodedFrames[]): boolean {
  return (
    slots[0].isTorn || slots[0].isCorrupt || logs[0].values.length > 1 || logs[1].values.length > 1
  );
}

/** A disk that has files but no snapshot that can be read. */
function withoutSnapshot(): RecoveredStore {
  return {
    state: { generation: 0, diskId: '' },
    registers: new Map(),
    lost: { reason: 'no-snapshot' },
    inexact: [],
    isLegacy: false,
  };
}

/** The generation of the snapshot that a log follows; 0 where its header can't be read, or has none. */
function generationOf(log: DecodedFrames): number {
  if (log.isLegacy) return 0;
  return (log.values[0] as Partial<StoredLogHeader> | undefined)?.gen ?? 0;
}

/** The entries of a log in order; version 0.1 wrote them one by one and without a header. */
function* entriesOf(log: DecodedFrames): Generator<StoredLogEntry | StoredBootstrap> {
  const batches = log.isLegacy ? [log.values] : log.values.slice(1);
  for (const batch of batches as (StoredLogEntry | StoredBootstrap)[][]) yield* batch;
}

function isBootstrap(entry: StoredLogEntry | StoredBootstrap): entry is StoredBootstrap {
  return (entry as Partial<StoredBootstrap>).founding !== undefined;
}

/** Applies a log to the registers, up to the first entry that can't be read; goes on from what was replayed before. */
function replayLog(
  registers: Map<string, RegisterState>,
  log: DecodedFrames,
  before: Replay,
): Replay {
  let { bootstrapVoterSet } = before;
  const inexact = [...before.inexact];
  for (const stored of entriesOf(log)) {
    if (isBootstrap(stored)) {
      bootstrapVoterSet = stored.founding;
      continue;
    }
    const decoded = decodeLogEntry(registers, stored);
    if (!decoded)
      return { bootstrapVoterSet, inexact, lost: { reason: 'other-base', ...placeOf(stored) } };
    if (!decoded.isExact) inexact.push(placeOf(stored));
    applyLogEntry(registers, decoded.entry);
  }
  return { bootstrapVoterSet, inexact };
}

function placeOf({ key, acceptedDelta, learnedDelta }: StoredLogEntry): LogEntryPlace {
  const delta = acceptedDelta ?? learnedDelta;
  return { key, version: delta && versionOf(delta), base: delta?.base };
}
