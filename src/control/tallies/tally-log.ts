/**
 * The writer of the files of additions: a log that goes on in the other of two files where one can't be appended to.
 */

import { Right } from 'purify-ts';
import { Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { encodeFrame, encodeFrames } from '../storage/frames';
import { GroupCommit, awaitFirstWrite } from '../storage/group-commit';
import { Addition, AdditionRun, toRuns } from './addition';
import { AdditionSet } from './addition-set';
import { StoredTallies, StoredTallyHeader, TALLY_FILE_INDEXES, tallyFileName } from './tally-files';

/** Additions in one batch of what a file begins with. */
const ADDITIONS_PER_BATCH = 2048;

/** Writes the additions of a set; those that arrive during a write share the next one, and its sync. */
export class TallyLog {
  private fileIndex = 0;
  private generation = 0;
  private bytesInFile = 0;
  /** Whether the file can't be appended to: none was begun, its end is torn, or a write failed. */
  private needsNewFile = true;
  /** Whether the last write failed. */
  private hasFailed = false;
  private isStopped = false;
  private isRetrying = false;
  /** When the write that is under way began, in ms of the clock port. */
  private writeBeganAt?: number;
  /** Syncs what was read at the start; done once. */
  private syncRead?: () => Promise<Result<void>>;
  private readonly group: GroupCommit<AdditionRun>;

  /** Failed writes are tried again after `retryPauseMs`. */
  constructor(
    private readonly ports: Ports,
    private readonly set: AdditionSet,
    private readonly retryPauseMs: number,
  ) {
    this.group = new GroupCommit(this.writeBatch.bind(this), this.isBehind.bind(this));
  }

  /** Goes on with the files that were read, and waits for the first sync up to `timeoutMs`; it is tried on and on. */
  async start(stored: StoredTallies, timeoutMs: number): Promise<void> {
    this.fileIndex = stored.fileIndex;
    this.generation = stored.generation;
    this.bytesInFile = stored.fileBytes;
    this.syncRead = stored.sync;
    this.needsNewFile = !stored.isAppendable;
    await awaitFirstWrite(this.ports, timeoutMs, 'open tallies', this.group.flush());
  }

  /** Ends the retries of failed writes. */
  stop(): void {
    this.isStopped = true;
  }

  /** Appends runs that are in the set, and returns once they are synced, or their write has failed. */
  append(runs: readonly AdditionRun[]): Promise<Result<void>> {
    return this.group.addAll(runs);
  }

  /** Returns once all that is in the set is synced; tries again where a write failed. */
  flush(): Promise<Result<void>> {
    return this.group.flush();
  }

  /** Whether the last write that returned succeeded. */
  isWritable(): boolean {
    return !this.hasFailed;
  }

  /** For how long the write that is under way has been, in ms. */
  writingForMs(): number {
    return this.writeBeganAt === undefined ? 0 : this.ports.clock.now() - this.writeBeganAt;
  }

  /** The bytes of the file that is written. */
  fileBytes(): number {
    return this.bytesInFile;
  }

  /** Without additions there is nothing to write: no file is begun before the first one. */
  private isBehind(): boolean {
    return this.set.size() > 0 && (this.needsNewFile || this.syncRead !== undefined);
  }

  private async writeBatch(runs: AdditionRun[]): Promise<Result<void>> {
    this.writeBeganAt = this.ports.clock.now();
    const written = await this.writeRuns(runs);
    this.writeBeganAt = undefined;
    this.hasFailed = written.isLeft();
    if (this.hasFailed && !this.isRetrying) void this.retryUntilWritten();
    return written;
  }

  private async writeRuns(runs: AdditionRun[]): Promise<Result<void>> {
    const synced = (await this.syncRead?.()) ?? Right(undefined);
    if (synced.isLeft()) return synced;
    this.syncRead = undefined;
    if (this.needsNewFile) {
      const begun = await this.beginFile();
      this.needsNewFile = begun.isLeft();
      return begun;
    }
    if (runs.length === 0) return Right(undefined);
    const appended = await this.appendAll(tallyFileName(this.fileIndex), encodeFrames(runs));
    this.needsNewFile = appended.isLeft();
    return appended;
  }

  /** Writes all that is in the set to the other file; what is added meanwhile is in it, or waits for the next write. */
  private async beginFile(): Promise<Result<void>> {
    const fileIndex = (this.fileIndex + 1) % TALLY_FILE_INDEXES.length;
    const name = tallyFileName(fileIndex);
    const batches = batchesOf(this.set.all());
    const header: StoredTallyHeader = {
      generation: this.generation + 1,
      initialBatches: batches.length,
    };
    const headerFrame = encodeFrame(header);
    const started = await this.ports.disk.write(name, headerFrame);
    if (started.isLeft()) return started;
    this.bytesInFile = headerFrame.length;
    const written = await this.appendAll(name, batches.flatMap(encodeFrames));
    if (written.isLeft()) return written;
    this.fileIndex = fileIndex;
    this.generation++;
    return Right(undefined);
  }

  private async appendAll(name: string, frames: readonly Uint8Array[]): Promise<Result<void>> {
    for (const bytes of frames) {
      const appended = await this.ports.disk.append(name, bytes);
      if (appended.isLeft()) return appended;
      this.bytesInFile += bytes.length;
    }
    return Right(undefined);
  }

  private async retryUntilWritten(): Promise<void> {
    this.isRetrying = true;
    while (this.isBehind() && !this.isStopped) {
      await this.ports.clock.sleep(this.retryPauseMs);
      await this.group.flush();
    }
    this.isRetrying = false;
  }
}

/** Additions as batches of limited size. */
function batchesOf(additions: Iterable<Addition>): AdditionRun[][] {
  const batches: AdditionRun[][] = [];
  let batch: Addition[] = [];
  for (const addition of additions) {
    batch.push(addition);
    if (batch.length < ADDITIONS_PER_BATCH) continue;
    batches.push(toRuns(batch));
    batch = [];
  }
  if (batch.length > 0) batches.push(toRuns(batch));
  return batches;
}
