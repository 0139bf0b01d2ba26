/**
 * The control store: what a controller's disk must remember of the consensus, in memory and in files. It holds the
 * registers of the control keys, the voter set of the bootstrap, and the random id by which the disk counts as a voter.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { Delta } from '../../shared/replication/delta';
import { Ports } from '../../shared/ports/ports';
import { describeVersion } from '../../shared/state/versions';
import { KeyJournal, makeKeyJournal } from '../../shared/replication/key-journal';
import { applyLogEntry, RegisterState, LogEntry, encodeLogEntry } from './register-state';
import { DecodedFrames, decodeFrames } from './frames';
import { awaitFirstWrite } from './group-commit';
import { DataLoss, LogEntryPlace, RecoveredStore, StoreState } from './recovered-store';
import { recoverStore } from './store-recovery';
import { StoreWriter } from './store-writer';
import { SyncedReader } from './synced-read';
import { StoredVotes } from './vote-files';

export { applyLogEntry, RegisterState, LogEntry };

/** What a controller's disk remembers. Its functions may be called detached from it. */
export interface ControlStore {
  /** The random id of the disk; a new one where synced data is gone. */
  diskId: string;
  /** The registers by key, in memory: with what still waits for its write. */
  registers: Map<string, RegisterState>;
  /** The keys that were learned in this incarnation, in order. */
  learnedKeys: KeyJournal;
  /** The voter set that the node agreed to at the bootstrap, in memory: also while it waits for its write. */
  bootstrapVoterSet: () => unknown;
  /** Applies the voter set of the bootstrap at once, and returns when it is synced. Errors: as those of `put`. */
  recordBootstrap: (voterSet: unknown) => Promise<Result<void>>;
  /** Returns once the voter set that was recorded last is synced; tries again where its write failed. */
  awaitBootstrapSynced: () => Promise<Result<void>>;
  /**
   * Applies an entry at once, and returns when it is synced. `delta` is its accepted value as the delta to what is learned
   * here, where that is at hand. Error: code `disk`, or that of the disk; the entry is then written with the next one.
   */
  put: (entry: LogEntry, delta?: Delta) => Promise<Result<void>>;
  /** Returns once all that was put before is synced; tries again where a write failed. */
  flush: () => Promise<Result<void>>;
  /**
   * Returns once the disk id is synced, so that a restart comes back with it; tries again where a write failed. Whatever
   * this disk confirms outside the registers waits for this.
   */
  awaitDiskIdSynced: () => Promise<Result<void>>;
  /** Whether a restart comes back with this disk id. */
  hasSyncedDiskId: () => boolean;
  /** Whether the last write succeeded. */
  isWritable: () => boolean;
  /** Whether synced data of this disk is gone, so that it counts as a new one. */
  isCorrupt: boolean;
  /** Whether a disk id, as other files of this disk name it, is or was the id of this one. */
  isOwnDiskId: (diskId: string) => boolean;
}

/** The decoded files of a store. */
interface StoreFiles {
  slots: DecodedFrames[];
  logs: DecodedFrames[];
}

/**
 * Opens the files of a control store. Torn ends are cut; a disk whose synced data is gone gets a new id, also where that
 * shows by `votes`, its idempotency votes. A disk that takes no write within `firstWriteTimeoutMs` is opened all the same,
 * and is writable once it does. A log of more than `maxLogBytes` is followed by the next snapshot. Error: a file that
 * can't be read.
 */
export async function openControlStore(
  ports: Ports,
  maxLogBytes: number,
  votes?: Pick<StoredVotes, 'disk' | 'isCorrupt' | 'isLegacy'>,
  firstWriteTimeoutMs = Infinity,
): Promise<Result<ControlStore>> {
  const reader = new SyncedReader(ports.disk);
  const [readError, files] = errorOrValue(await readFiles(reader));
  if (readError) return Left(readError);
  const recovered = recoverStore(files.slots, files.logs);
  if (recovered) reportInexact(ports, recovered);
  const state = identifyDisk(ports, recovered, votes);
  const registers = recovered?.registers ?? new Map<string, RegisterState>();
  const isLegacy = recovered?.isLegacy === true;
  const writer = new StoreWriter({ ports, reader, state, registers, isLegacy, maxLogBytes });
  const firstWrite = writer.flush();
  const [writeError] = errorOrValue(
    await awaitFirstWrite(ports, firstWriteTimeoutMs, 'open slots', firstWrite),
  );
  if (writeError)
    ports.logger.error(
      { event: 'storage.first-write-failed', step: writeError.step, peer: writeError.peer },
      `${writeError.reason}; this node does not vote until the disk takes writes`,
    );
  return Right(makeControlStore(state, registers, writer, firstWrite));
}

async function readFiles(reader: SyncedReader): Promise<Result<StoreFiles>> {
  const decoded: DecodedFrames[] = [];
  for (const name of ['slot-0', 'slot-1', 'log-0', 'log-1']) {
    const [error, bytes] = errorOrValue(await reader.read(name));
    if (error) return Left(error);
    decoded.push(decodeFrames(bytes));
  }
  return Right({ slots: decoded.slice(0, 2), logs: decoded.slice(2) });
}

/** Gives a disk that is new, or whose synced data or votes are gone, a new id. */
function identifyDisk(
  ports: Ports,
  recovered: RecoveredStore | undefined,
  votes: Pick<StoredVotes, 'disk' | 'isCorrupt' | 'isLegacy'> | undefined,
): StoreState {
  const state = recovered?.state ?? { generation: 0, diskId: ports.random.uuid() };
  const hasKeys = (recovered?.registers.size ?? 0) > 0;
  const hasLostVotes =
    votes !== undefined &&
    (votes.isCorrupt || (!votes.isLegacy && !isDiskIdOf(state, votes.disk) && hasKeys));
  const lost: DataLoss | undefined =
    recovered?.lost ?? (hasLostVotes ? { reason: 'votes-changed' } : undefined);
  if (!lost) return state;
  const diskId = ports.random.uuid();
  const { reason, ...place } = lost;
  ports.logger.error(
    {
      event: 'storage.synced-data-lost',
      formerDisk: state.diskId,
      disk: diskId,
      cause: reason,
      ...placeFields(place),
    },
    `synced data of disk ${state.diskId} is gone; this node counts as a new disk ${diskId} and does not vote until it is named in the place of the old one`,
  );
  return { ...state, diskId, isCorrupt: true };
}

function isDiskIdOf({ diskId, abandonedDiskId }: StoreState, other: string): boolean {
  return other === diskId || other === abandonedDiskId;
}

/** Logs the entries whose result has another digest than they name; the next snapshot replaces them. */
function reportInexact({ logger }: Ports, { inexact, state }: RecoveredStore): void {
  if (inexact.length === 0) return;
  for (const place of inexact)
    logger.warn(
      { event: 'storage.entry-digest-differs', ...placeFields(place) },
      `a log entry of ${place.key} leads to another digest than it names; its value was taken`,
    );
  const { abandonedDiskId, diskId } = state;
  if (abandonedDiskId !== undefined)
    logger.warn(
      { event: 'storage.disk-id-restored', formerDisk: abandonedDiskId, disk: diskId },
      `this disk had counted as lost for such an entry, and is ${diskId} again`,
    );
}

/** The place of a log entry as it is logged. */
function placeFields({ key, version, base }: LogEntryPlace): Record<string, unknown> {
  return {
    key,
    version: version && describeVersion(version),
    base: base && describeVersion(base),
  };
}

function makeControlStore(
  state: StoreState,
  registers: Map<string, RegisterState>,
  writer: StoreWriter,
  firstWrite: Promise<Result<void>>,
): ControlStore {
  const learnedKeys = makeKeyJournal();
  let currentBootstrap = state.bootstrapVoterSet;
  /** What was read at the start may not be synced before the first write either. */
  let bootstrapWrite = firstWrite;
  function bootstrapVoterSet(): unknown {
    return currentBootstrap;
  }
  function recordBootstrap(voterSet: unknown): Promise<Result<void>> {
    currentBootstrap = voterSet;
    bootstrapWrite = writer.appendBootstrap(voterSet);
    return bootstrapWrite;
  }
  async function awaitBootstrapSynced(): Promise<Result<void>> {
    const written = await bootstrapWrite;
    return written.isRight() ? written : writer.flush();
  }
  function put(entry: LogEntry, delta?: Delta): Promise<Result<void>> {
    const stored = encodeLogEntry(entry, registers.get(entry.key)?.learned, delta);
    applyLogEntry(registers, entry);
    if (entry.learned) learnedKeys.add(entry.key);
    return writer.append(entry, stored);
  }
  return {
    diskId: state.diskId,
    registers,
    learnedKeys,
    bootstrapVoterSet,
    recordBootstrap,
    awaitBootstrapSynced,
    put,
    flush: writer.flush.bind(writer),
    awaitDiskIdSynced: writer.awaitDiskIdSynced.bind(writer),
    hasSyncedDiskId: writer.hasSyncedDiskId.bind(writer),
    isWritable: writer.isWritable.bind(writer),
    isCorrupt: state.isCorrupt === true,
    isOwnDiskId: isDiskIdOf.bind(undefined, state),
  };
}
