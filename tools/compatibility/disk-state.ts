/**
 * The state that a controller reads from the files of its disk, in a form that can be kept as JSON.
 */

import { openControlStore, ControlStore } from '../../src/control/storage/control-store';
import { StoredVotes, readStoredVotes, Vote } from '../../src/control/storage/vote-files';
import { errorOrValue } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { shortHash } from '../../src/shared/util/hashing';
import { DiskFiles, portsOfFiles } from '../sim/disk-files';

/** What a disk gives when it is opened: everything that a controller builds on. */
export interface DiskState {
  disk: string;
  spoilt: boolean;
  founding: unknown;
  /** Cells by key, in the order of the keys; values that are long stand as a digest of their text. */
  cells: Record<string, unknown>;
  votes: Vote[];
  votesDisk: string;
  votesSpoilt: boolean;
}

/** The log that a controller's slots may grow to, as the controller sets it. */
const MOST_LOG_BYTES = 1 << 20;
/** Values whose text is longer are told by their digest. */
const LONGEST_TEXT = 400;
const DICE_SEED = 77;

/** What long values were shortened to: the values of cells are never changed in place. */
const shortForms = new WeakMap<object, unknown>();

function sorted(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sorted);
  if (typeof value !== 'object' || value === null) return value;
  const out: Record<string, unknown> = {};
  for (const [name, inner] of Object.entries(value).sort(byName))
    if (inner !== undefined) out[name] = sorted(inner);
  return out;
}

/** Orders entries by their names. */
export function byName(a: [string, unknown], b: [string, unknown]): number {
  return a[0] < b[0] ? -1 : 1;
}

function shortened(value: unknown): unknown {
  if (typeof value !== 'object' || value === null) return value;
  const before = shortForms.get(value);
  if (before !== undefined) return before;
  const text = JSON.stringify(sorted(value));
  const isLong = text.length > LONGEST_TEXT;
  const form = isLong ? { textBytes: text.length, digest: shortHash(text) } : value;
  shortForms.set(value, form);
  return form;
}

function shortenedPlace(place: { value: unknown } | undefined): unknown {
  return place && { ...place, value: shortened(place.value) };
}

/** Cells as JSON. */
export function cellsOf(slots: Pick<ControlStore, 'registers'>): Record<string, unknown> {
  const cells: Record<string, unknown> = {};
  for (const [key, cell] of [...slots.registers].sort(byName))
    cells[key] = {
      promised: cell.promised,
      accepted: shortenedPlace(cell.accepted),
      learned: shortenedPlace(cell.learned),
    };
  return cells;
}

/** Opens the files of a disk as a controller does at its start; they are changed as it changes them. */
export async function openDisk(
  files: DiskFiles,
  seed = DICE_SEED,
): Promise<{ slots: ControlStore; kept: StoredVotes; ports: Ports }> {
  const ports = portsOfFiles(files, seed);
  const kept = (await readStoredVotes(ports)).extract() as StoredVotes;
  const [, slots] = errorOrValue(await openControlStore(ports, MOST_LOG_BYTES, kept));
  return { slots: slots!, kept, ports };
}

/** Reads the state of a disk, and leaves its files as they are; a new disk's id comes from the seed. */
export async function stateOf(files: DiskFiles, seed?: number): Promise<DiskState> {
  const { slots, kept } = await openDisk(new Map(files), seed);
  return JSON.parse(
    JSON.stringify({
      disk: slots.diskId,
      spoilt: slots.isCorrupt,
      founding: slots.bootstrapVoterSet(),
      cells: cellsOf(slots),
      votes: kept.votes,
      votesDisk: kept.disk,
      votesSpoilt: kept.isCorrupt,
    }),
  ) as DiskState;
}
