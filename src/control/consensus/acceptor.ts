/** The part of the registers that each voter's disk plays. */

import { Left, Right } from 'purify-ts';
import { Delta, readDelta, sharing } from '../../shared/replication/delta';
import { field, Handled, message } from '../../shared/transport/handlers';
import { bad, open, Outcome } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import {
  compareEpochs,
  comparePlaces,
  isVoter,
  KEYS,
  Numbered,
  Place,
  Voter,
  Voters,
} from '../../shared/state/words';
import { Slots } from '../storage/control-store';

/** How the registers reach the other voters; `by` tells this life of this node from every other. */
export interface Reach {
  by: string;
  within: number;
  voters(): Voters | undefined;
  ask(v: Voter, type: string, body: unknown, within: number): Promise<Outcome<unknown>>;
  learned(n: Numbered, before?: Numbered): void;
  learnHere(n: Numbered): Promise<unknown>;
}

class PrepareAsk {
  @field('string') key!: string;
  @field('number') epoch!: number;
  @field('string') by!: string;
  @field('object', false) voters?: Place;
}

class AcceptAsk {
  @field('object') change!: Numbered;
  @field('object', false) voters?: Place;
}

class AcceptDeltaAsk {
  @field('object') delta!: Delta;
  @field('object', false) voters?: Place;
}

class LearnedAsk {
  @field('object') place!: Place & { key: string };
}

class LearnAsk {
  @field('object') change!: Numbered;
}

/** What a voter answers to a prepare or an accept. */
export interface Promised {
  ok: boolean;
  seen: { epoch: number; by: string };
  accepted?: Numbered;
  voters?: Numbered;
}

/** How far a disk has a key; `voters` where the asker goes by older ones, so that its majority counts for nothing. */
export interface HeldPlace {
  disk: string;
  accepted?: Place;
  voters?: Numbered;
}

/** What a disk knows to be accepted: what it accepted itself, or what it learned, which a majority has accepted. */
export function newestOf(
  c: { accepted?: Numbered; learned?: Numbered } | undefined,
): Numbered | undefined {
  if (!c?.accepted || !c.learned) return c?.accepted ?? c?.learned;
  return comparePlaces(c.learned, c.accepted) > 0 ? c.learned : c.accepted;
}

/** The voters that are committed here, where they are later than those that another goes by. */
export function laterVoters(slots: Slots, sent: Place | undefined): Numbered | undefined {
  const mine = slots.cells.get(KEYS.voters)?.learned;
  if (!mine) return undefined;
  return !sent || comparePlaces(mine, sent) > 0 ? mine : undefined;
}

/** The place of a change without its value. */
export function placeOnly(n: Numbered | undefined): Place | undefined {
  return n && { epoch: n.epoch, by: n.by, number: n.number };
}

/** The part of a register that each voter's disk plays. */
export class Acceptor {
  constructor(
    private readonly slots: Slots,
    private readonly reach: Reach,
    private readonly ports: Ports,
  ) {}

  private votes(): boolean {
    return isVoter(this.reach.voters(), this.slots.disk);
  }

  /** Promises to take nothing of a lower epoch; an epoch that was promised already is not promised again. */
  @message('prepare', PrepareAsk)
  async prepare(m: PrepareAsk): Handled {
    const later = laterVoters(this.slots, m.voters);
    const seen = this.slots.cells.get(m.key)?.promised ?? { epoch: 0, by: '' };
    if (later) return Right({ ok: false, seen, voters: later } as Promised);
    if (!this.votes()) return bad('prepare', this.slots.disk, 'not a voter', 'refused', 'no-voter');
    if (m.epoch <= seen.epoch) return Right({ ok: false, seen } as Promised);
    const promised = { epoch: m.epoch, by: m.by };
    const accepted = newestOf(this.slots.cells.get(m.key));
    const [f] = open(await this.slots.put({ key: m.key, promised }));
    if (f) return Left(f);
    return Right({ ok: true, seen: promised, accepted } as Promised);
  }

  /** Takes a change unless a higher epoch was promised. */
  @message('accept', AcceptAsk)
  accept(m: AcceptAsk): Handled {
    return this.take(m);
  }

  private async take(m: AcceptAsk, delta?: Delta): Handled {
    const later = laterVoters(this.slots, m.voters);
    const c = m.change;
    const cell = this.slots.cells.get(c.key);
    const seen = cell?.promised ?? { epoch: 0, by: '' };
    if (later) return Right({ ok: false, seen, voters: later } as Promised);
    if (!this.votes()) return bad('accept', this.slots.disk, 'not a voter', 'refused', 'no-voter');
    if (compareEpochs(c, seen) < 0) return Right({ ok: false, seen } as Promised);
    if (cell?.accepted && comparePlaces(c, cell.accepted) < 0)
      return Right({ ok: false, seen } as Promised);
    const promised = { epoch: c.epoch, by: c.by };
    const accepted = delta ? c : { ...c, value: sharing(cell?.learned?.value, c.value) };
    const [f] = open(await this.slots.put({ key: c.key, promised, accepted }, delta));
    if (f) return Left(f);
    return Right({ ok: true, seen: promised } as Promised);
  }

  /** Takes a change told as the difference to what is learned here. */
  @message('accept-delta', AcceptDeltaAsk)
  async acceptDelta(m: AcceptDeltaAsk): Handled {
    const change = readDelta(this.slots.cells.get(m.delta.key)?.learned, m.delta);
    return change
      ? this.take({ change, voters: m.voters }, m.delta)
      : bad('accept', this.slots.disk, 'not the base here', 'refused', 'whole');
  }

  /** Keeps as committed what was accepted at a place. */
  @message('learn-accepted', LearnedAsk)
  async learnAccepted(m: LearnedAsk): Handled {
    const change = this.slots.cells.get(m.place.key)?.accepted;
    return change && comparePlaces(change, m.place) === 0
      ? this.learn({ change })
      : bad('learn', this.slots.disk, 'not accepted here', 'refused', 'whole');
  }

  /** Keeps what is committed, and carries it to the followers. */
  @message('learn', LearnAsk)
  async learn(m: LearnAsk): Handled {
    const c = m.change;
    const cell = this.slots.cells.get(c.key);
    const before = cell?.learned;
    const fresh = !before || comparePlaces(c, before) > 0;
    const same = cell?.accepted && comparePlaces(cell.accepted, c) === 0;
    const [f] = open(
      await (fresh
        ? this.slots.put({ key: c.key, learned: same ? true : c })
        : this.slots.settled()),
    );
    if (f) return Left(f);
    if (fresh) this.reach.learned(c, before);
    this.ports.log.info({ step: 'learn', peer: c.by }, `${c.key} ${c.epoch}.${c.number}`);
    return Right({ disk: this.slots.disk });
  }

  /** Tells how far this disk has a key: what it has accepted, or learned as accepted by a majority. It waits for no write: memory is never behind the disk. */
  @message('held-place')
  async heldPlace(m: { key: string; voters?: Place }): Handled {
    return Right({
      disk: this.slots.disk,
      accepted: placeOnly(newestOf(this.slots.cells.get(m.key))),
      voters: laterVoters(this.slots, m.voters),
    } as HeldPlace);
  }
}
