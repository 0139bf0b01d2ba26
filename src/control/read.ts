import { Left, Right } from 'purify-ts';
import { Handled, message } from '../shared/edge';
import { bad, open, Outcome } from '../shared/errors';
import { poll } from '../shared/poll';
import { comparePlaces, KEYS, Numbered, Place, Voter, Voters } from '../shared/words';
import { laterVoters, newestOf, Owner, placeOnly } from './register';
import { Slots } from './slots';

/** How far a disk has a key; `voters` where the asker goes by older ones, so that its majority counts for nothing. */
interface HeldPlace {
  disk: string;
  accepted?: Place;
  voters?: Numbered;
}

/** Before every place. */
const NO_PLACE: Place = { epoch: 0, by: '', number: 0 };

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

  /** Tells how far this disk has a key: what it has accepted, or learned as accepted by a majority. It waits for no write: memory is never behind the disk. */
  @message('held-place')
  async heldPlace(m: { key: string; voters?: Place }): Handled {
    const { slots } = this.r;
    return Right({
      disk: slots.disk,
      accepted: placeOnly(newestOf(slots.cells.get(m.key))),
      voters: laterVoters(slots, m.voters),
    } as HeldPlace);
  }

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
  polls = POLLS,
): Promise<Outcome<Numbered | undefined>> {
  const v = r.voters();
  if (!v) return bad('read', key, 'not founded', 'refused', 'not-founded');
  const known = r.slots.cells.get(KEYS.voters)?.learned;
  let newer: Numbered | undefined;
  async function one(x: Voter): Promise<Outcome<HeldPlace>> {
    const ask = { key, voters: placeOnly(known) };
    const o = (await r.askVoter(x, 'held-place', ask)) as Outcome<HeldPlace>;
    newer = open(o)[1]?.voters ?? newer;
    return o;
  }
  function counts(h: HeldPlace, x: Voter): boolean {
    return h.disk === x.disk && !h.voters;
  }
  const [f, got] = open(await poll(v, one, counts));
  if (newer && comparePlaces(newer, known ?? NO_PLACE) > 0) {
    void r.learnHere(newer);
    if (f && polls > 1) return readNewest(r, key, polls - 1);
  }
  if (f) return Left(f);
  const mine = r.slots.cells.get(key)?.learned;
  function later(h: HeldPlace): boolean {
    return h.accepted !== undefined && (!mine || comparePlaces(h.accepted, mine) > 0);
  }
  if (!got.some(later)) return Right(mine);
  return r.ofOwner(key, 'settle', { key }) as Promise<Outcome<Numbered | undefined>>;
}
