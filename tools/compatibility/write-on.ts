/**
 * Writing on a stored disk with the present code: the same lines and votes behind what it holds.
 */

import { RegisterState } from '../../src/control/storage/control-store';
import { Vote } from '../../src/control/storage/vote-files';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { shortHashOfBytes } from '../../src/shared/util/hashing';
import { DiskFiles } from '../sim/disk-files';
import { byName, cellsOf, DiskState, openDisk } from './disk-state';

/** What the process that wrote held at its end. */
export interface WrittenOn {
  disk: string;
  cells: DiskState['cells'];
  votes: Vote[];
  /** A digest of each file. */
  digests: Record<string, string>;
}

const VOTES_KEPT_MS = 1_000_000;

function nobody(): undefined {
  return undefined;
}

/** The next value of a cell: a field more, so that a long one is stored as a difference. */
function nextOf(
  key: string,
  cell: RegisterState,
): NonNullable<RegisterState['accepted']> | undefined {
  const { learned } = cell;
  if (!learned || typeof learned.value !== 'object') return undefined;
  const { epoch, by } = cell.promised;
  const number = learned.number + 1;
  return { key, epoch, by, number, value: { ...learned.value, writtenOn: number } };
}

/** Opens a disk, accepts and learns another value of each key, adds two votes, and opens it once more in between. */
export async function writeOn(files: DiskFiles): Promise<WrittenOn> {
  let last: WrittenOn | undefined;
  for (const round of [1, 2]) {
    const { slots, kept, ports } = await openDisk(files);
    const votes = new IdempotencyVotes(slots, ports, nobody, VOTES_KEPT_MS);
    await votes.start(kept);
    for (const [key, cell] of [...slots.registers]) {
      const accepted = nextOf(key, cell);
      if (!accepted) continue;
      await slots.put({ key, promised: cell.promised, accepted });
      await slots.put({ key, learned: true });
    }
    const added: Vote[] = [
      { key: `written-${round}`, run: 'run-1', state: 'running' },
      { key: `written-${round}-done`, run: 'run-2', state: 'done' },
    ];
    await votes.copyVotes(added);
    const digests: Record<string, string> = {};
    for (const [name, bytes] of [...files].sort(byName)) digests[name] = shortHashOfBytes(bytes);
    last = JSON.parse(
      JSON.stringify({
        disk: slots.diskId,
        cells: cellsOf(slots),
        votes: ((await votes.listVotes({ begins: '' })).extract() as { votes: Vote[] }).votes,
        digests,
      }),
    ) as typeof last;
  }
  return last!;
}
