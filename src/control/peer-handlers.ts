import { Right } from 'purify-ts';
import { Handled, message } from '../shared/transport/handlers';
import { bad, Outcome } from '../shared/errors/errors';
import { appliedEntries } from '../shared/replication/change-message';
import {
  allVoters,
  atOf,
  comparePlaces,
  KEYS,
  Numbered,
  Place,
  Voter,
  Voters,
} from '../shared/state/words';
import { LearnedAfter } from './consensus/key-maintenance';
import { Operation } from './configuration/operations';
import { Slots } from './storage/control-store';

/** What one controller says to another beside votes. */
export class ControlEdge {
  constructor(private readonly c: ControlParts) {}

  /** Takes a change that this node, as the key's owner, is to make. */
  @message('change')
  async change(op: Operation): Handled {
    return this.c.changeHere(op);
  }

  /** Tells whether an operator's order is being worked on here, as by the key's owner. */
  @message('order-under-way')
  async orderUnderWay(m: { identity: string }): Handled {
    return Right(this.c.isUnderWay(m.identity));
  }

  /** Gives what is committed here and not yet at the asker, who tells its places. */
  @message('missing')
  async missing(has: [string, number, string, number][]): Handled {
    const places = new Map<string, Place>();
    for (const [key, epoch, by, number] of has) places.set(key, { epoch, by, number });
    function later(n: Numbered): boolean {
      return !reached(places.get(n.key), n);
    }
    return Right(this.c.committed().filter(later));
  }

  /** Tells how far each key is committed here. */
  @message('committed-places')
  async committedPlaces(): Handled {
    return Right(appliedEntries(this.c.committed()));
  }

  /** Tells which keys were learned here after a count of this life; none are told to one that counted in another life, or too long ago. */
  @message('learned-after')
  async learnedAfter(m: { life: string; count: number }): Handled {
    const { learned, cells } = this.c.slots;
    const keys = m.life === this.c.by ? learned.after(m.count) : undefined;
    const has: Numbered[] = [];
    for (const k of keys ?? []) has.push(cells.get(k)!.learned!);
    return Right({
      life: this.c.by,
      count: learned.count(),
      has: keys && appliedEntries(has),
    } as LearnedAfter);
  }

  /** Gives what is committed here of some keys. */
  @message('committed')
  async committed(keys: string[]): Handled {
    const out: Numbered[] = [];
    for (const k of keys) {
      const n = this.c.slots.cells.get(k)?.learned;
      if (n) out.push(n);
    }
    return Right(out);
  }

  /** Tells whether this disk is blank, which one it is, and whether it may found, and the voters with their place where they are committed. */
  @message('who')
  async who(): Handled {
    const v = this.c.voters();
    const stands = this.c.slots.cells.get(KEYS.voters)?.learned;
    return Right({
      disk: this.c.slots.disk,
      blank: v === undefined && !this.c.slots.spoilt,
      mayFound: this.c.mayFound,
      voters: v,
      stands,
      core: v ? allVoters(v).map(atOf) : [],
    });
  }

  /** Hears where the core is, from a controller that has this one among its seeds. */
  @message('here')
  async here(v: Voters): Handled {
    this.c.hinted(allVoters(v).map(atOf));
    return Right(true);
  }

  /** Tells whether one of these voters has a connection with this node. */
  @message('sees')
  async sees(list: Voter[]): Handled {
    return Right(list.some(this.c.isUp));
  }

  /** Agrees to a founding, once. */
  @message('found')
  async found(v: Voters): Handled {
    const now = this.c.voters();
    if (now)
      return JSON.stringify(this.c.slots.founding()) === JSON.stringify(v)
        ? Right(true)
        : bad('found', this.c.slots.disk, 'already of a fleet', 'refused', 'not-blank');
    const { disk, spoilt } = this.c.slots;
    if (spoilt) return bad('found', disk, 'this disk was of a fleet', 'refused', 'not-blank');
    if (!this.c.mayFound)
      return bad('found', disk, 'this start may not found', 'refused', 'not-founder');
    function mine(x: Voter): boolean {
      return x.disk === disk;
    }
    if (!v.now.some(mine))
      return bad('found', disk, 'not of these founders', 'refused', 'not-founder');
    const o = await this.c.slots.found(v);
    this.c.wake();
    return o;
  }
}

interface ControlParts {
  by: string;
  slots: Slots;
  mayFound: boolean;
  voters(): Voters | undefined;
  changeHere(op: Operation): Promise<Outcome<unknown>>;
  isUnderWay(identity: string): boolean;
  committed(): Numbered[];
  hinted(ats: string[]): void;
  isUp(x: Voter): boolean;
  wake(): void;
}

/** Whether one place is at or past another. */
export function reached(have: Place | undefined, want: Place): boolean {
  return have !== undefined && comparePlaces(have, want) >= 0;
}
