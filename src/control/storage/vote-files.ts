/**
 * The files of idempotency votes, as they are read at a start. Three files are written in turn, each of a generation of
 * its own: a header, then batches of entries. The field names are stored.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { DecodedFrames, decodeFrames } from './frames';
import { SyncedReader } from './synced-read';

/** What became of the run that holds a key, as far as this disk was notified. */
export type RunState = 'running' | 'done' | 'unknown';

/** A vote: which run may use an idempotency key. */
export interface Vote {
  key: string;
  run: string;
  state: RunState;
}

/** The numbers of the files, in the order in which they are written in turn. */
export const VOTE_FILE_INDEXES: readonly number[] = [0, 1, 2];

/** An entry of a file: a vote that is given or changed, or the key whose vote is dropped. */
export interface StoredVoteEntry {
  vote?: Vote;
  gone?: string;
}

/** The first frame of a file; version 0.1 wrote no disk. */
export interface StoredVoteHeader {
  gen: number;
  disk: string;
}

/** What the three files held. */
export interface StoredVotes {
  votes: Vote[];
  /** The file that was written last. */
  fileIndex: number;
  /** The generation of that file; 0 where there is none. */
  generation: number;
  /** The id of the disk that gave the votes; empty where no file tells it. */
  disk: string;
  /** Whether synced votes are gone. */
  isCorrupt: boolean;
  /** Whether version 0.1 wrote the last file. */
  isLegacy?: boolean;
  /** Syncs the files that were read. */
  sync: () => Promise<Result<void>>;
}

/** A file that has its header and its first batch. */
interface VotesFile extends StoredVoteHeader {
  index: number;
  batches: StoredVoteEntry[][];
}

/** The name of a file of votes. */
export function voteFileName(index: number): string {
  return `votes-${index}`;
}

/** The entry that stores a vote. */
export function toVoteEntry(vote: Vote): StoredVoteEntry {
  return { vote };
}

/** Reads the files of votes, and tells whether synced votes are gone. Error: a file that can't be read. */
export async function readStoredVotes(ports: Ports): Promise<Result<StoredVotes>> {
  const reader = new SyncedReader(ports.disk);
  const files: DecodedFrames[] = [];
  for (const index of VOTE_FILE_INDEXES) {
    const [error, bytes] = errorOrValue(await reader.read(voteFileName(index)));
    if (error) return Left(error);
    files.push(decodeFrames(bytes));
  }
  return Right({ ...recoverVotes(files), sync: reader.sync.bind(reader) });
}

/** What the decoded files hold, in the order of their indexes. */
function recoverVotes(decoded: readonly DecodedFrames[]): Omit<StoredVotes, 'sync'> {
  const files: VotesFile[] = [];
  for (const [index, frames] of decoded.entries()) {
    const file = completeFile(index, frames);
    if (file) files.push(file);
  }
  files.sort(byGeneration);
  const last = files.at(-1);
  return {
    votes: replayVotes(files),
    fileIndex: last?.index ?? 0,
    generation: last?.gen ?? 0,
    disk: last?.disk ?? firstDiskOf(decoded) ?? '',
    isCorrupt: decoded.some(isCorruptFile) || hasGap(files),
    isLegacy: last !== undefined && last.disk === undefined,
  };
}

function headerOf(frames: DecodedFrames): StoredVoteHeader | undefined {
  return frames.values[0] as StoredVoteHeader | undefined;
}

/** A file whose first write was completed; undefined for others, since the files before such a one still hold all votes. */
function completeFile(index: number, frames: DecodedFrames): VotesFile | undefined {
  const header = headerOf(frames);
  const entries = frames.values.slice(1);
  const batches = (frames.isLegacy ? [entries] : entries) as StoredVoteEntry[][];
  return header && batches.length > 0 ? { index, ...header, batches } : undefined;
}

/** The disk that the first file with a header names, complete or not. */
function firstDiskOf(decoded: readonly DecodedFrames[]): string | undefined {
  for (const frames of decoded) {
    const disk = headerOf(frames)?.disk;
    if (disk !== undefined) return disk;
  }
  return undefined;
}

/** The votes that stand after all entries, oldest file first. */
function replayVotes(files: readonly VotesFile[]): Vote[] {
  const votes = new Map<string, Vote>();
  for (const file of files) {
    for (const { vote, gone } of file.batches.flat()) {
      if (vote) votes.set(vote.key, vote);
      if (gone) votes.delete(gone);
    }
  }
  return [...votes.values()];
}

/** Whether a generation between the oldest and the newest file is missing. */
function hasGap(files: readonly VotesFile[]): boolean {
  const last = files.at(-1);
  return files.length > 1 && last !== undefined && last.gen - files[0].gen !== files.length - 1;
}

function isCorruptFile(frames: DecodedFrames): boolean {
  return frames.isCorrupt;
}

function byGeneration(a: { gen: number }, b: { gen: number }): number {
  return a.gen - b.gen;
}
