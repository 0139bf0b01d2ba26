import { Left, Right } from 'purify-ts';
import { field, Handled, message } from '../../shared/transport/handlers';
import { bad, Fault, open, Outcome } from '../../shared/errors/errors';
import { KEYS, Numbered, Place, Voter } from '../../shared/state/words';
import { reached } from '../peer-handlers';
import { Slots } from '../storage/control-store';

/** Keys that one message asks about at the most. */
const KEYS_AT_ONCE = 256;
/** Rounds in which voters are brought up to date at the most. */
const ROUNDS = 8;
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

  /** Tells how many changes before these places what this disk has learned is. */
  @message('progress', LackingAsk)
  async progress(m: LackingAsk): Handled {
    const { cells } = this.slots;
    let behind = 0;
    for (const place of m.places) {
      const learned = cells.get(place.key)?.learned;
      if (!reached(learned, place)) behind += Math.max(1, place.number - (learned?.number ?? 0));
    }
    return Right({ epoch: cells.get(KEYS.voters)?.learned?.epoch ?? 0, behind } as Progress);
  }
}

/** How far a disk is, as against some places. */
export interface Progress {
  /** Under which epoch it has learned the voters. */
  epoch: number;
  /** How many changes of the keys that it was asked about it has not learned. */
  behind: number;
}

/** What bringing a voter up to date needs of its controller. */
export interface ReplicateParts {
  slots: Slots;
  askVoter(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>>;
}

/** Brings a voter to have learned, on its synced disk and by its own word, all that is committed here now, and tells how many keys it had lacked; safe to repeat, and each batch that it took stays. */
export async function bringUpToDate(p: ReplicateParts, to: Voter): Promise<Outcome<number>> {
  const committed = learnedHere(p.slots);
  let lacked = 0;
  for (let i = 0; i < committed.length; i += KEYS_AT_ONCE) {
    const [f, count] = open(await bringBatch(p, to, committed.slice(i, i + KEYS_AT_ONCE)));
    if (f) return Left(f);
    lacked += count;
  }
  return Right(lacked);
}

function learnedHere(slots: Slots): Numbered[] {
  const out: Numbered[] = [];
  for (const cell of slots.cells.values()) if (cell.learned) out.push(cell.learned);
  return out;
}

/** How far a voter is behind all that is learned here. */
export async function progressOf(p: ReplicateParts, of: Voter): Promise<Outcome<Progress>> {
  const committed = learnedHere(p.slots);
  const whole: Progress = { epoch: 0, behind: 0 };
  for (let i = 0; i < committed.length; i += KEYS_AT_ONCE) {
    const places = committed.slice(i, i + KEYS_AT_ONCE).map(placeOf);
    const [f, part] = open(await p.askVoter(of, 'progress', { places }));
    if (f) return Left(f);
    whole.epoch = (part as Progress).epoch;
    whole.behind += (part as Progress).behind;
  }
  return Right(whole);
}

async function bringBatch(
  p: ReplicateParts,
  to: Voter,
  batch: readonly Numbered[],
): Promise<Outcome<number>> {
  const [f, missing] = open(await lackingOf(p, to, batch));
  if (f) return Left(f);
  if (missing.length === 0) return Right(0);
  const [g] = open(await sendValues(p, to, missing));
  if (g) return Left(g);
  const [h, still] = open(await lackingOf(p, to, missing));
  if (h) return Left(h);
  return still.length === 0
    ? Right(missing.length)
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

/** Brings voters up to date until a round finds that they lack nothing, since keys may be committed anew meanwhile; after so many rounds the last one counts. */
export async function bringAllUpToDate(
  p: ReplicateParts,
  voters: readonly Voter[],
  rounds = ROUNDS,
): Promise<Outcome<void>> {
  let lacked = 0;
  for (const voter of voters) {
    const [f, count] = open(await bringUpToDate(p, voter));
    if (f) return Left(f);
    lacked += count;
  }
  return lacked === 0 || rounds <= 1 ? Right(undefined) : bringAllUpToDate(p, voters, rounds - 1);
}
