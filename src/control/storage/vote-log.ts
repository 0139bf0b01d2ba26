/**
 * The writer of the files of votes: a log that goes on in the next of three files after a time, or after a write failed.
 */

import { Right } from 'purify-ts';
import { Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { encodeFrame, encodeFrames } from './frames';
import { GroupCommit, awaitFirstWrite } from './group-commit';
import {
  StoredVoteEntry,
  StoredVoteHeader,
  StoredVotes,
  toVoteEntry,
  Vote,
  VOTE_FILE_INDEXES,
  voteFileName,
} from './vote-files';
import { VoteTable } from './vote-table';

/** Writes the votes of a table; entries that arrive during a write share the next one. */
export class VoteLog {
  private fileIndex = 0;
  private generation = 0;
  private fileStartedAt: number;
  /** Whether the file can't be appended to: none was begun, or a write failed. */
  private needsNewFile = false;
  /** Syncs what was read at the start. */
  private syncRead?: () => Promise<Result<void>>;
  private readonly group: GroupCommit<StoredVoteEntry>;

  /** A vote is kept for at least `keepMs`. */
  constructor(
    private readonly ports: Ports,
    private readonly diskId: string,
    private readonly table: VoteTable,
    private readonly keepMs: number,
  ) {
    this.fileStartedAt = ports.clock.now();
    this.group = new GroupCommit(this.writeBatch.bind(this), this.isBehind.bind(this));
  }

  /**
   * Goes on after the files that were read, in a new file, so that a torn end is never appended to. Waits for that write
   * up to `firstWriteTimeoutMs`; after that it is tried again and again at the same pause.
   */
  async start(stored: StoredVotes, firstWriteTimeoutMs: number): Promise<void> {
    this.fileIndex = stored.fileIndex;
    this.generation = stored.generation;
    this.syncRead = stored.sync;
    this.needsNewFile = true;
    await awaitFirstWrite(this.ports, firstWriteTimeoutMs, 'open votes', this.group.flush());
    if (this.needsNewFile && firstWriteTimeoutMs !== Infinity)
      void this.writeUntilWritable(firstWriteTimeoutMs);
  }

  /** Appends an entry, and returns once it is synced, or its write has failed. */
  append(entry: StoredVoteEntry): Promise<Result<void>> {
    return this.group.add(entry);
  }

  /** Returns once all that was appended before is synced; tries again where a write failed. */
  flush(): Promise<Result<void>> {
    return this.group.flush();
  }

  /** Whether this disk has taken a file, and all that was appended since. */
  isWritable(): boolean {
    return !this.needsNewFile;
  }

  private isBehind(): boolean {
    return this.needsNewFile;
  }

  /** Without a file of votes, a disk that holds control keys counts as a new one at its next start. */
  private async writeUntilWritable(pauseMs: number): Promise<void> {
    while (this.needsNewFile) {
      await this.ports.clock.sleep(pauseMs);
      await this.group.flush();
    }
  }

  private async writeBatch(entries: StoredVoteEntry[]): Promise<Result<void>> {
    if (this.needsNewFile) {
      const rewritten = await this.beginFile(this.table.all());
      this.needsNewFile = rewritten.isLeft();
      if (this.needsNewFile) return rewritten;
    }
    if (this.ports.clock.now() - this.fileStartedAt > this.keepMs) {
      const begun = await this.beginFile([]);
      this.needsNewFile = begun.isLeft();
      if (this.needsNewFile) return begun;
      this.table.beginGeneration();
    }
    if (entries.length === 0) return Right(undefined);
    const appended = await this.appendToFile(entries);
    if (appended.isLeft()) this.needsNewFile = true;
    return appended;
  }

  private async appendToFile(entries: StoredVoteEntry[]): Promise<Result<void>> {
    for (const bytes of encodeFrames(entries)) {
      const appended = await this.ports.disk.append(voteFileName(this.fileIndex), bytes);
      if (appended.isLeft()) return appended;
    }
    return Right(undefined);
  }

  /** Writes the next file: its header with the first of the carried votes, then the rest of them, each synced. */
  private async beginFile(carried: Vote[]): Promise<Result<void>> {
    const synced = (await this.syncRead?.()) ?? Right(undefined);
    if (synced.isLeft()) return synced;
    const fileIndex = (this.fileIndex + 1) % VOTE_FILE_INDEXES.length;
    const name = voteFileName(fileIndex);
    const header: StoredVoteHeader = { gen: this.generation + 1, disk: this.diskId };
    const [first, ...rest] = encodeFrames(carried.map(toVoteEntry));
    let written = await this.ports.disk.write(name, Buffer.concat([encodeFrame(header), first]));
    for (const bytes of rest)
      if (written.isRight()) written = await this.ports.disk.append(name, bytes);
    if (written.isLeft()) return written;
    this.fileIndex = fileIndex;
    this.generation++;
    this.fileStartedAt = this.ports.clock.now();
    return Right(undefined);
  }
}
