import { Left, Right } from 'purify-ts';
import { Handled, message } from '../shared/edge';
import { bad, open, Outcome } from '../shared/errors';
import { poll } from '../shared/poll';
import { comparePlaces, Numbered, Place, Voter, Voters } from '../shared/words';
import { Owner } from './register';
import { Slots } from './slots';

interface HeldPlace {
  disk: string;
  accepted?: Place;
}

/** What a read needs of its controller; `ofOwner` asks the key's owner, wherever it is. */
export interface ReadParts {
  slots: Slots;
  owner: Owner;
  voters(): Voters | undefined;
  askVoter(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>>;
  ofOwner(key: string, type: string, body: unknown): Promise<Outcome<unknown>>;
}

/** What controllers ask one another for a read. */
export class ReadEdge {
  constructor(private readonly r: ReadParts) {}

  /** Tells how far this disk has a key. */
  @message('held-place')
  async heldPlace(m: { key: string }): Handled {
    const a = this.r.slots.cells.get(m.key)?.accepted;
    return Right({
      disk: this.r.slots.disk,
      accepted: a && { epoch: a.epoch, by: a.by, number: a.number },
    } as HeldPlace);
  }

  /** Takes a key anew, as its owner, from what a majority holds: what was accepted is committed. */
  @message('settle')
  async settle(m: { key: string }): Handled {
    this.r.owner.disown(m.key);
    return this.r.owner.own(m.key);
  }
}

/** Reads the places that a majority's disks hold; where a later one was accepted than is known here as committed, the owner settles it first. So what is read is never older than what was acknowledged. */
export async function readNewest(
  r: ReadParts,
  key: string,
): Promise<Outcome<Numbered | undefined>> {
  const v = r.voters();
  if (!v) return bad('read', key, 'not founded', 'refused', 'not-founded');
  function one(x: Voter): Promise<Outcome<HeldPlace>> {
    return r.askVoter(x, 'held-place', { key }) as Promise<Outcome<HeldPlace>>;
  }
  const [f, got] = open(await poll(v, one));
  if (f) return Left(f);
  const mine = r.slots.cells.get(key)?.learned;
  function later(h: HeldPlace): boolean {
    return h.accepted !== undefined && (!mine || comparePlaces(h.accepted, mine) > 0);
  }
  if (!got.some(later)) return Right(mine);
  return r.ofOwner(key, 'settle', { key }) as Promise<Outcome<Numbered | undefined>>;
}
