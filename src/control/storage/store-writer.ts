/**
 * The writer of a control store's files: it appends entries to the log of the newest snapshot, and begins the next
 * snapshot once the log is long or a write has failed.
 */

import { Left, Right } from 'purify-ts';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { encodeFrame, encodeFrames } from './frames';
import { GroupCommit } from './group-commit';
import {
  encodeRegister,
  hasDelta,
  LogEntry,
  RegisterState,
  StoredLogEntry,
  StoredRegisterState,
} from './register-state';
import { StoreState, StoredBootstrap, StoredLogHeader, StoredSnapshot } from './recovered-store';
import { SyncedReader } from './synced-read';
import { WrittenContents } from './written-contents';

/** How many deltas a log holds before the next snapshot, since each is applied anew at the start. */
const MAX_DELTAS_PER_LOG = 64;

/** An entry on its way to the log: of a register, with its stored form, or of the bootstrap. */
type PendingEntry =
  | { kind: 'register'; entry: LogEntry; stored: StoredLogEntry }
  | { kind: 'bootstrap'; stored: StoredBootstrap };

/** What a writer begins with, as it was read. */
export interface StoreWriterOptions {
  ports: Ports;
  /** By which the files were read; what it read is synced before the first snapshot. */
  reader: SyncedReader;
  state: StoreState;
  registers: ReadonlyMap<string, RegisterState>;
  /** Whether version 0.1 wrote the snapshot; the first one is then written to both slots, so that none of it is left. */
  isLegacy: boolean;
  /** The length of a log after which the next snapshot is written, in bytes. */
  maxLogBytes: number;
}

/** Writes the two slots and their logs in turn; entries that arrive during a write share the next one. */
export class StoreWriter {
  /** The count of the newest snapshot; only the batch that is being written changes it. */
  private generation: number;
  private readonly written: WrittenContents;
  private readonly group: GroupCommit<PendingEntry>;
  private isLegacy: boolean;
  private isDiskIdSynced = false;
  private logBytes = 0;
  private deltaCount = 0;
  /** Whether the log can't be appended to: nothing was written yet, or a write failed. */
  private needsSnapshot = true;

  constructor(private readonly options: StoreWriterOptions) {
    const { state, registers, isLegacy } = options;
    this.generation = state.generation;
    this.isLegacy = isLegacy;
    this.written = new WrittenContents(registers, state.bootstrapVoterSet);
    this.group = new GroupCommit(this.writeBatch.bind(this), this.isBehind.bind(this));
  }

  /** Appends an entry in its stored form, and returns once it is synced. */
  append(entry: LogEntry, stored: StoredLogEntry): Promise<Result<void>> {
    return this.group.add({ kind: 'register', entry, stored });
  }

  /** Appends the voter set of the bootstrap, and returns once it is synced. */
  appendBootstrap(voterSet: unknown): Promise<Result<void>> {
    return this.group.add({ kind: 'bootstrap', stored: { founding: voterSet } });
  }

  /** Returns once all that was appended before is synced; tries again where a write failed. */
  flush(): Promise<Result<void>> {
    return this.group.flush();
  }

  /** Returns once the disk id is synced, so that a restart comes back with it; tries again where a write failed. */
  async awaitDiskIdSynced(): Promise<Result<void>> {
    return this.isDiskIdSynced ? Right(undefined) : this.group.flush();
  }

  /** Whether a restart from these files comes back with the same disk id. */
  hasSyncedDiskId(): boolean {
    return this.isDiskIdSynced;
  }

  /** Whether the last write succeeded. */
  isWritable(): boolean {
    return !this.needsSnapshot;
  }

  private isBehind(): boolean {
    return this.needsSnapshot;
  }

  private isLogFull(): boolean {
    return this.logBytes > this.options.maxLogBytes || this.deltaCount > MAX_DELTAS_PER_LOG;
  }

  /** Writes entries one behind another; those of a write that failed are in the next snapshot. */
  private async writeBatch(batch: PendingEntry[]): Promise<Result<void>> {
    const result = await this.writeEntries(batch);
    if (result.isLeft()) this.needsSnapshot = true;
    for (const pending of batch) this.addToContents(pending);
    return result;
  }

  private addToContents(pending: PendingEntry): void {
    if (pending.kind === 'register') this.written.apply(pending.entry);
    else this.written.setBootstrap(pending.stored.founding);
  }

  private async writeEntries(batch: PendingEntry[]): Promise<Result<void>> {
    if (this.needsSnapshot || this.isLogFull()) {
      const result = await this.writeSnapshots();
      if (result.isLeft()) return result;
    }
    if (batch.length === 0) return Right(undefined);
    const appended = await this.appendToLog(batch);
    if (appended.isLeft()) return appended;
    for (const pending of batch)
      if (pending.kind === 'register' && hasDelta(pending.stored)) this.deltaCount++;
    return Right(undefined);
  }

  private async appendToLog(batch: PendingEntry[]): Promise<Result<void>> {
    const { disk, logger } = this.options.ports;
    for (const bytes of encodeFrames(batch.map(storedOf))) {
      const name = `log-${this.generation % 2}`;
      const [error] = errorOrValue(await disk.append(name, bytes));
      if (error) {
        const { step, peer, reason } = error;
        logger.error({ event: 'storage.log-append-failed', step, peer, file: name }, reason);
        return failure('write log', 'disk', reason, 'failed', 'disk');
      }
      this.logBytes += bytes.length;
    }
    return Right(undefined);
  }

  private async writeSnapshots(): Promise<Result<void>> {
    const synced = await this.options.reader.sync();
    if (synced.isLeft()) return synced;
    if (this.isLegacy) {
      const first = await this.writeSnapshot();
      if (first.isLeft()) return first;
      this.isLegacy = false;
    }
    return this.writeSnapshot();
  }

  /** Writes the next snapshot: first the empty log behind it, so that no snapshot stands before an older log. */
  private async writeSnapshot(): Promise<Result<void>> {
    const { disk } = this.options.ports;
    const generation = this.generation + 1;
    const slot = generation % 2;
    const header: StoredLogHeader = { gen: generation };
    const [logError] = errorOrValue(await disk.write(`log-${slot}`, encodeFrame(header)));
    if (logError) return Left(logError);
    const snapshot = encodeFrame(this.toSnapshot(generation));
    const [slotError] = errorOrValue(await disk.write(`slot-${slot}`, snapshot));
    if (slotError) return Left(slotError);
    this.generation = generation;
    this.isDiskIdSynced = true;
    this.logBytes = 0;
    this.deltaCount = 0;
    this.needsSnapshot = false;
    return Right(undefined);
  }

  private toSnapshot(generation: number): StoredSnapshot {
    const { state } = this.options;
    const { abandonedDiskId } = state;
    return {
      ...(abandonedDiskId === undefined ? {} : { abandoned: abandonedDiskId }),
      gen: generation,
      disk: state.diskId,
      founding: this.written.bootstrapVoterSet(),
      spoilt: state.isCorrupt,
      cells: [...this.written.registers()].map(encodeCell),
    };
  }
}

function storedOf(pending: PendingEntry): StoredLogEntry | StoredBootstrap {
  return pending.stored;
}

function encodeCell([key, register]: [string, RegisterState]): [string, StoredRegisterState] {
  return [key, encodeRegister(register)];
}
