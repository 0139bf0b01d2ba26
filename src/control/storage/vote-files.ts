/**
 * The files of idempotency votes, as they are read at a start. The field names are stored.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { DecodedFrames, decodeFrames } from './frames';
import { makeSyncedReader } from './synced-read';

/** What became of the run that holds a key, as far as it was told. */
export type RunState = 'running' | 'done' | 'unknown';

/** A vote: which run may use an idempotency key. */
export interface Vote {
  key: string;
  run: string;
  state: RunState;
}

/** The files of votes, which are written in turn. */
export const VOTE_FILE_INDEXES = [0, 1, 2];

interface StoredVoteEntry {
  vote?: Vote;
  gone?: string;
}

/** What the three files held. */
export interface StoredVotes {
  votes: Vote[];
  fileIndex: number;
  generation: number;
  disk: string;
  isCorrupt: boolean;
  isLegacy?: boolean;
  /** Syncs the files that were read. */
  sync: () => Promise<Result<void>>;
}

/** A file of votes that was written whole: its head, and the batches behind it. */
interface VotesFile {
  index: number;
  gen: number;
  disk: string;
  batches: StoredVoteEntry[][];
}

/** Reads a file; none where it was never written whole, so that the files before it still hold all votes. */
function fileOf(index: number, u: DecodedFrames): VotesFile | undefined {
  const head = u.values[0] as { gen: number; disk: string } | undefined;
  const batches = (u.isLegacy ? [u.values.slice(1)] : u.values.slice(1)) as StoredVoteEntry[][];
  return head && batches.length > 0 ? { index, ...head, batches } : undefined;
}

function byGeneration(a: { gen: number }, b: { gen: number }): number {
  return a.gen - b.gen;
}

/** The log entry that stores a vote. */
export function toVoteEntry(vote: Vote): StoredVoteEntry {
  return { vote };
}

/** Reads the files of votes, oldest first, and tells whether synced votes are gone. */
export async function readStoredVotes(ports: Ports): Promise<Result<StoredVotes>> {
  const found: VotesFile[] = [];
  const reader = makeSyncedReader(ports.disk);
  let spoilt = false;
  let begunBy: string | undefined;
  for (const index of VOTE_FILE_INDEXES) {
    const [f, bytes] = errorOrValue(await reader.read(`votes-${index}`));
    if (f) return Left(f);
    const u = decodeFrames(bytes);
    spoilt ||= u.isCorrupt;
    begunBy ??= (u.values[0] as { disk?: string } | undefined)?.disk;
    const file = fileOf(index, u);
    if (file) found.push(file);
  }
  found.sort(byGeneration);
  const votes = new Map<string, Vote>();
  for (const x of found) {
    for (const l of x.batches.flat()) {
      if (l.vote) votes.set(l.vote.key, l.vote);
      if (l.gone) votes.delete(l.gone);
    }
  }
  const last = found[found.length - 1];
  spoilt ||= found.length > 1 && last.gen - found[0].gen !== found.length - 1;
  return Right({
    votes: [...votes.values()],
    fileIndex: last?.index ?? 0,
    generation: last?.gen ?? 0,
    disk: last?.disk ?? begunBy ?? '',
    isCorrupt: spoilt,
    isLegacy: last !== undefined && last.disk === undefined,
    sync: reader.sync,
  });
}
