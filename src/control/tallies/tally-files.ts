/**
 * The files of additions as they are read at a start. Two files are written in turn, each of a generation of its own: a
 * header, what was known as the file was begun, then batches of what came after. The field names are stored.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { DecodedFrames, decodeFrames } from '../storage/frames';
import { SyncedReader } from '../storage/synced-read';
import { AdditionRun } from './addition';

/** The numbers of the files, in the order in which they are written in turn. */
export const TALLY_FILE_INDEXES: readonly number[] = [0, 1];

/** The first frame of a file. */
export interface StoredTallyHeader {
  generation: number;
  /** How many batches hold what was known as the file was begun; with fewer the file was never completed. */
  initialBatches: number;
}

/** What the files held. */
export interface StoredTallies {
  batches: AdditionRun[][];
  /** The file that was completed last. */
  fileIndex: number;
  /** The highest generation of a file; 0 where there is none. */
  generation: number;
  /** The bytes of the file that was completed last. */
  fileBytes: number;
  /** Whether that file can be appended to. */
  isAppendable: boolean;
  /** Whether synced bytes have changed. */
  isCorrupt: boolean;
  /** Syncs the files that were read. */
  sync: () => Promise<Result<void>>;
}

/** One file as it was read. */
interface TallyFile {
  index: number;
  bytes: number;
  frames: DecodedFrames;
}

/** The name of a file of additions. */
export function tallyFileName(index: number): string {
  return `tallies-${index}`;
}

/** Reads the files of additions. Error: a file that can't be read. */
export async function readStoredTallies(ports: Ports): Promise<Result<StoredTallies>> {
  const reader = new SyncedReader(ports.disk);
  const files: TallyFile[] = [];
  for (const index of TALLY_FILE_INDEXES) {
    const [error, bytes] = errorOrValue(await reader.read(tallyFileName(index)));
    if (error) return Left(error);
    files.push({ index, bytes: bytes?.length ?? 0, frames: decodeFrames(bytes) });
  }
  return Right({ ...recoverTallies(files), sync: reader.sync.bind(reader) });
}

/**
 * Where the newer file was never completed, or has changed, the older one holds what the newer one began with; a file
 * that was never completed is the one that is written next.
 */
function recoverTallies(files: readonly TallyFile[]): Omit<StoredTallies, 'sync'> {
  const ordered = [...files].sort(byGeneration);
  const [last, older] = ordered;
  const current = isComplete(older) && !isComplete(last) ? older : last;
  const isIntact = isComplete(last) && !last.frames.isCorrupt;
  return {
    batches: isIntact ? batchesOf(last) : ordered.flatMap(batchesOf),
    fileIndex: current.index,
    generation: generationOf(last),
    fileBytes: current.bytes,
    isAppendable: isIntact && !last.frames.isTorn,
    isCorrupt: files.some(isCorruptFile),
  };
}

function headerOf({ frames }: TallyFile): StoredTallyHeader | undefined {
  return frames.values[0] as StoredTallyHeader | undefined;
}

function generationOf(file: TallyFile): number {
  return headerOf(file)?.generation ?? 0;
}

function batchesOf({ frames }: TallyFile): AdditionRun[][] {
  return frames.values.slice(1) as AdditionRun[][];
}

function isComplete(file: TallyFile): boolean {
  const header = headerOf(file);
  return header !== undefined && batchesOf(file).length >= header.initialBatches;
}

function isCorruptFile({ frames }: TallyFile): boolean {
  return frames.isCorrupt;
}

function byGeneration(first: TallyFile, second: TallyFile): number {
  return generationOf(second) - generationOf(first);
}
