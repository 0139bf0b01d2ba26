/**
 * What the files of a control store hold, as pure functions of their decoded frames: two snapshots that are written in
 * turn, and behind each a write-ahead log of what changed since.
 */

import { DecodedFrames } from './frames';
import { versionOf } from '../../shared/replication/delta';
import {
  applyLogEntry,
  decodeLogEntry,
  decodeRegister,
  RegisterState,
  StoredLogEntry,
} from './register-state';
import {
  DataLoss,
  DataLossReason,
  LogEntryPlace,
  RecoveredStore,
  StoredBootstrap,
  StoredLogHeader,
  StoredSnapshot,
  StoreState,
} from './recovered-store';

/** What the replay of a log gave. */
interface Replay {
  bootstrapVoterSet: unknown;
  /** What is missing of all that was synced. */
  lost?: DataLoss;
  /** Entries whose result has another digest than they name. */
  inexact: LogEntryPlace[];
}

/** Recovers the newest complete snapshot, then its log, then the next log where the snapshot before that can't be read. */
export function recoverNewest(
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
