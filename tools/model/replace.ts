/** A change of the voters as an operator orders it: the real joint set over the modelled nodes, with stand-ins for leases and votes. */
import { Right } from 'purify-ts';
import { Changed } from '../../src/control/configuration/change-coordinator';
import { Controller } from '../../src/control/controller';
import { Operation } from '../../src/control/configuration/operations';
import { Owner } from '../../src/control/consensus/key-owner';
import { Slots } from '../../src/control/storage/control-store';
import { moveVoters } from '../../src/control/membership/reconfiguration';
import { Handled, message } from '../../src/shared/transport/handlers';
import { bad, Outcome } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { comparePlaces, KEYS, Numbered, Place, Voter, Voters } from '../../src/shared/state/words';

/** What a node answers beside the registers while voters change: no router holds a lease, and no vote was given. */
export class VotersEdge {
  constructor(private readonly slots: Slots) {}

  /** Tells the names of the keys that are kept here. */
  @message('held')
  async held(): Handled {
    return Right({ disk: this.slots.disk, votes: [], keys: [...this.slots.cells.keys()] });
  }

  /** A change is in effect once it is learned here. */
  @message('effect')
  async effect(m: Place & { key: string }): Handled {
    const learned = this.slots.cells.get(m.key)?.learned;
    return learned && comparePlaces(learned, m) >= 0
      ? Right({ disk: this.slots.disk })
      : bad('effect', this.slots.disk, 'not learned here', 'unknown', 'pending');
  }
}

/** What a replacement needs of its node. */
export interface ReplaceParts {
  name: string;
  slots: Slots;
  owner: Owner;
  ports: Ports;
  voters(): Voters | undefined;
  change(op: Operation): Promise<Outcome<Changed>>;
  askVoter(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>>;
  /** The disk of the process that serves at an address. */
  diskAt(at: string): string | undefined;
}

/** Puts the disk that serves now in the place of each that is gone, or ends the change that is under way. */
export async function replaceEmptied(p: ReplaceParts): Promise<Outcome<Voters>> {
  const voters = p.voters();
  if (!voters) return bad('replace voter', p.name, 'no voters are known', 'refused', 'not-founded');

  function isEmptied(v: Voter): boolean {
    const disk = p.diskAt(v.at);
    return disk !== undefined && disk !== v.disk;
  }

  function successorOf(v: Voter): Voter {
    return isEmptied(v) ? { disk: p.diskAt(v.at)!, at: v.at } : v;
  }

  function value(key: string): { place: Numbered; value: unknown } | undefined {
    const learned = p.slots.cells.get(key)?.learned;
    return learned && { place: learned, value: learned.value };
  }

  if (!voters.next && !voters.now.some(isEmptied)) return Right(voters);
  const controller = {
    name: p.name,
    bounds: { renew: 0, effect: 0, ask: 0 },
    settle: p.owner.ownAnew,
    change: p.change,
    askVoter: p.askVoter,
    isEmptied,
    value,
  } as unknown as Controller;
  return moveVoters(controller, p.ports, voters.next ?? voters.now.map(successorOf));
}

/** The voters that a disk has learned. */
export function learnedVoters(
  cells: ReadonlyMap<string, { learned?: Numbered }>,
): Numbered | undefined {
  return cells.get(KEYS.voters)?.learned;
}
