import { Right } from 'purify-ts';
import { HandlerResult, messageHandler } from '../shared/transport/message-handlers';
import { failure, Result } from '../shared/errors/errors';
import { appliedEntries, isAtLeast } from '../shared/replication/change-message';
import { allVoters, addressOf, Voter, VoterSet } from '../shared/state/voter-set';
import { VersionedValue, Version } from '../shared/state/versions';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { Operation } from './configuration/operations';
import { ControlStore } from './storage/control-store';

/** What one controller says to another beside votes. */
export class PeerHandlers {
  constructor(private readonly c: PeerHandlersDependencies) {}

  /** Takes a change that this node, as the key's owner, is to make. */
  @messageHandler('change')
  async change(op: Operation): HandlerResult {
    return this.c.changeAsOwner(op);
  }

  /** Tells whether an operator's order is being worked on here, as by the key's owner. */
  @messageHandler('order-under-way')
  async orderUnderWay(m: { identity: string }): HandlerResult {
    return Right(this.c.isInProgress(m.identity));
  }

  /** Gives what is committed here and not yet at the asker, who tells its places. */
  @messageHandler('missing')
  async missing(has: [string, number, string, number][]): HandlerResult {
    const places = new Map<string, Version>();
    for (const [key, epoch, by, number] of has) places.set(key, { epoch, by, number });
    function later(n: VersionedValue): boolean {
      return !isAtLeast(places.get(n.key), n);
    }
    return Right(this.c.committedValues().filter(later));
  }

  /** Tells how far each key is committed here. */
  @messageHandler('committed-places')
  async committedPlaces(): HandlerResult {
    return Right(appliedEntries(this.c.committedValues()));
  }

  /** Tells which keys were learned here after a count of this life; none are told to one that counted in another life, or too long ago. */
  @messageHandler('learned-after')
  async learnedAfter(m: { life: string; count: number }): HandlerResult {
    const { learnedKeys: learned, registers: cells } = this.c.store;
    const keys = m.life === this.c.ownerId ? learned.after(m.count) : undefined;
    const has: VersionedValue[] = [];
    for (const k of keys ?? []) has.push(cells.get(k)!.learned!);
    return Right({
      life: this.c.ownerId,
      count: learned.count(),
      has: keys && appliedEntries(has),
    });
  }

  /** Gives what is committed here of some keys. */
  @messageHandler('committed')
  async committed(keys: string[]): HandlerResult {
    const out: VersionedValue[] = [];
    for (const k of keys) {
      const n = this.c.store.registers.get(k)?.learned;
      if (n) out.push(n);
    }
    return Right(out);
  }

  /** Tells whether this disk is blank, which one it is, and whether it may found, and the voters with their place where they are committed. */
  @messageHandler('who')
  async who(): HandlerResult {
    const v = this.c.voters();
    const stands = this.c.store.registers.get(CONTROL_KEYS.voters)?.learned;
    return Right({
      disk: this.c.store.diskId,
      blank: v === undefined && !this.c.store.isCorrupt,
      mayFound: this.c.mayBootstrap,
      voters: v,
      stands,
      core: v ? allVoters(v).map(addressOf) : [],
    });
  }

  /** Hears where the core is, from a controller that has this one among its seeds. */
  @messageHandler('here')
  async here(v: VoterSet): HandlerResult {
    this.c.onCoreHint(allVoters(v).map(addressOf));
    return Right(true);
  }

  /** Tells whether one of these voters has a connection with this node. */
  @messageHandler('sees')
  async sees(list: Voter[]): HandlerResult {
    return Right(list.some(this.c.isUp));
  }

  /** Agrees to a founding, once. */
  @messageHandler('found')
  async found(v: VoterSet): HandlerResult {
    const now = this.c.voters();
    if (now)
      return JSON.stringify(this.c.store.bootstrapVoterSet()) === JSON.stringify(v)
        ? Right(true)
        : failure('found', this.c.store.diskId, 'already of a fleet', 'refused', 'not-blank');
    const { diskId: disk, isCorrupt: spoilt } = this.c.store;
    if (spoilt) return failure('found', disk, 'this disk was of a fleet', 'refused', 'not-blank');
    if (!this.c.mayBootstrap)
      return failure('found', disk, 'this start may not found', 'refused', 'not-founder');
    function mine(x: Voter): boolean {
      return x.disk === disk;
    }
    if (!v.now.some(mine))
      return failure('found', disk, 'not of these founders', 'refused', 'not-founder');
    const o = await this.c.store.recordBootstrap(v);
    this.c.wake();
    return o;
  }
}

interface PeerHandlersDependencies {
  ownerId: string;
  store: ControlStore;
  mayBootstrap: boolean;
  voters: () => VoterSet | undefined;
  changeAsOwner: (op: Operation) => Promise<Result<unknown>>;
  isInProgress: (identity: string) => boolean;
  committedValues: () => VersionedValue[];
  onCoreHint: (ats: string[]) => void;
  isUp: (x: Voter) => boolean;
  wake: () => void;
}
