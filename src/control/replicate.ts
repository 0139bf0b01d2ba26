import { Left, Right } from 'purify-ts';
import { field, Handled, message } from '../shared/edge';
import { bad, Fault, open, Outcome } from '../shared/errors';
import { Numbered, Place, Voter } from '../shared/words';
import { reached } from './peers';
import { Slots } from './slots';

/** Keys that one message asks about at the most. */
const KEYS_AT_ONCE = 256;
/** Values that are on their way to a voter at once. */
const VALUES_AT_ONCE = 16;

/** Where a key stands. */
interface KeyPlace extends Place {
  key: string;
}

class LackingAsk {
  @field('list') places!: KeyPlace[];
}

/** Which of the places that it was asked about a disk has not learned. */
export interface LackingReply {
  disk: string;
  lacking: string[];
}

/** Answers how far this disk has learned what is committed. */
export class ReplicaEdge {
  constructor(private readonly slots: Slots) {}

  /** Tells which of these places this disk has not learned; what it has learned is synced before it answers. */
  @message('lacking', LackingAsk)
  async lacking(m: LackingAsk): Handled {
    const lacking: string[] = [];
    for (const place of m.places)
      if (!reached(this.slots.cells.get(place.key)?.learned, place)) lacking.push(place.key);
    const [f] = open(await this.slots.settled());
    return f ? Left(f) : Right({ disk: this.slots.disk, lacking } as LackingReply);
  }
}

/** What bringing a voter up to date needs of its controller. */
export interface ReplicateParts {
  slots: Slots;
  askVoter(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>>;
}

/** Brings a voter to have learned, on its synced disk and by its own word, all that is committed here now; safe to repeat, and each batch that it took stays. */
export async function bringUpToDate(p: ReplicateParts, to: Voter): Promise<Outcome<void>> {
  const committed: Numbered[] = [];
  for (const cell of p.slots.cells.values()) if (cell.learned) committed.push(cell.learned);
  for (let i = 0; i < committed.length; i += KEYS_AT_ONCE) {
    const [f] = open(await bringBatch(p, to, committed.slice(i, i + KEYS_AT_ONCE)));
    if (f) return Left(f);
  }
  return Right(undefined);
}

async function bringBatch(
  p: ReplicateParts,
  to: Voter,
  batch: readonly Numbered[],
): Promise<Outcome<void>> {
  const [f, missing] = open(await lackingOf(p, to, batch));
  if (f) return Left(f);
  if (missing.length === 0) return Right(undefined);
  const [g] = open(await sendValues(p, to, missing));
  if (g) return Left(g);
  const [h, still] = open(await lackingOf(p, to, missing));
  if (h) return Left(h);
  return still.length === 0
    ? Right(undefined)
    : bad('replicate', to.at, `still lacks ${still[0].key}`, 'unknown', 'pending');
}

async function lackingOf(
  p: ReplicateParts,
  to: Voter,
  list: readonly Numbered[],
): Promise<Outcome<Numbered[]>> {
  const [f, r] = open(await p.askVoter(to, 'lacking', { places: list.map(placeOf) }));
  if (f) return Left(atStep(f));
  const { disk, lacking } = r as LackingReply;
  if (disk !== to.disk)
    return bad('replicate', to.at, 'another disk answers', 'refused', 'no-voter');
  const keys = new Set(lacking);
  function isLacking(n: Numbered): boolean {
    return keys.has(n.key);
  }
  return Right(list.filter(isLacking));
}

async function sendValues(
  p: ReplicateParts,
  to: Voter,
  list: readonly Numbered[],
): Promise<Outcome<void>> {
  function send(change: Numbered): Promise<Outcome<unknown>> {
    return p.askVoter(to, 'learn', { change });
  }
  for (let i = 0; i < list.length; i += VALUES_AT_ONCE) {
    for (const sent of await Promise.all(list.slice(i, i + VALUES_AT_ONCE).map(send))) {
      const [f] = open(sent);
      if (f) return Left(atStep(f));
    }
  }
  return Right(undefined);
}

function placeOf({ key, epoch, by, number }: Numbered): KeyPlace {
  return { key, epoch, by, number };
}

function atStep(f: Fault): Fault {
  return { ...f, step: 'replicate' };
}
