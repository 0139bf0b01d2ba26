import { Left, Right } from 'purify-ts';
import { Handled, message } from '../../shared/transport/handlers';
import { bad, open, Outcome } from '../../shared/errors/errors';
import { KEYS, Numbered, Voter, Voters } from '../../shared/state/words';
import { HeldPlace } from './acceptor';
import { isLaterHeld, pollHeldPlaces } from './accepted-versions';
import { Owner } from './key-owner';
import { Slots } from '../storage/control-store';

/** Polls of one read: a second one where the first shows that the voters are others by now. */
const POLLS = 2;

/** What a read needs of its controller; `ofOwner` asks the key's owner, wherever it is. */
export interface ReadParts {
  slots: Slots;
  owner: Owner;
  voters(): Voters | undefined;
  askVoter(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>>;
  ofOwner(key: string, type: string, body: unknown): Promise<Outcome<unknown>>;
  /** Keeps here what is committed. */
  learnHere(n: Numbered): Promise<unknown>;
}

/** What controllers ask one another for a read. */
export class ReadEdge {
  constructor(private readonly r: ReadParts) {}

  /** Takes a key anew, as its owner, from what a majority holds: what was accepted is committed. */
  @message('settle')
  async settle(m: { key: string }): Handled {
    return this.r.owner.ownAnew(m.key);
  }
}

/** Reads the places that a majority's disks hold; where a later one was accepted than is known here as committed, the owner settles it first. So what is read is never older than what was acknowledged. */
export async function readNewest(
  r: ReadParts,
  key: string,
): Promise<Outcome<Numbered | undefined>> {
  const [f, held] = open(await readPlaces(r, key));
  if (f) return Left(f);
  const mine = r.slots.cells.get(key)?.learned;
  if (!isLaterHeld(held, mine)) return Right(mine);
  return r.ofOwner(key, 'settle', { key }) as Promise<Outcome<Numbered | undefined>>;
}

/** Reads as `readNewest` does, with a fault instead where a later place was accepted than is known here as committed: a change may be under way. */
export async function readSettled(
  r: ReadParts,
  key: string,
): Promise<Outcome<Numbered | undefined>> {
  const [f, held] = open(await readPlaces(r, key));
  if (f) return Left(f);
  const mine = r.slots.cells.get(key)?.learned;
  return isLaterHeld(held, mine)
    ? bad('read', key, 'a later change was accepted', 'unknown', 'unsettled')
    : Right(mine);
}

async function readPlaces(r: ReadParts, key: string, polls = POLLS): Promise<Outcome<HeldPlace[]>> {
  const known = r.slots.cells.get(KEYS.voters)?.learned;
  const { held, laterVoters } = await pollHeldPlaces(r.voters(), r.askVoter, key, known);
  if (laterVoters) {
    void r.learnHere(laterVoters);
    if (held.isLeft() && polls > 1) return readPlaces(r, key, polls - 1);
  }
  return held;
}
