/** A change of the voters as an operator orders it: the real joint set over the modelled nodes, with stand-ins for leases and votes. */
import { Right } from 'purify-ts';
import { ChangeResult } from '../../src/control/configuration/change-coordinator';
import { Operation } from '../../src/control/configuration/operations';
import { KeyOwner } from '../../src/control/consensus/key-owner';
import { ControlStore } from '../../src/control/storage/control-store';
import { ReconfigurationController } from '../../src/control/membership/joint-set-completion';
import { changeVoterSet } from '../../src/control/membership/reconfiguration';
import { HandlerResult, messageHandler } from '../../src/shared/transport/message-handlers';
import { failure, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { TimeLimits } from '../../src/shared/settings/time-limits';
import { compareVersions, VersionedValue, Version } from '../../src/shared/state/versions';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';

/** What a node answers beside the registers while voters change: no router holds a lease, and no vote was given. */
export class VotersEdge {
  constructor(private readonly slots: ControlStore) {}

  /** Tells the names of the keys that are kept here. */
  @messageHandler('held')
  held(): HandlerResult {
    return Promise.resolve(
      Right({ disk: this.slots.diskId, votes: [], keys: [...this.slots.registers.keys()] }),
    );
  }

  /** A change is in effect once it is learned here. */
  @messageHandler('effect')
  effect(m: Version & { key: string }): HandlerResult {
    const learned = this.slots.registers.get(m.key)?.learned;
    return Promise.resolve(
      learned && compareVersions(learned, m) >= 0
        ? Right({ disk: this.slots.diskId })
        : failure('effect', this.slots.diskId, 'not learned here', 'unknown', 'pending'),
    );
  }
}

/** What a replacement needs of its node. */
export interface ReplaceParts {
  name: string;
  slots: ControlStore;
  owner: KeyOwner;
  ports: Ports;
  timeLimits: TimeLimits;
  voters: () => VoterSet | undefined;
  change: (op: Operation) => Promise<Result<ChangeResult>>;
  askVoter: (v: Voter, type: string, body: unknown) => Promise<Result<unknown>>;
  /** The disk of the process that serves at an address. */
  diskAt: (at: string) => string | undefined;
}

/** Puts the disk that serves now in the place of each that is gone, or ends the change that is under way. */
export async function replaceEmptied(p: ReplaceParts): Promise<Result<VoterSet>> {
  const voters = p.voters();
  if (!voters)
    return failure('replace voter', p.name, 'no voters are known', 'refused', 'not-founded');

  function isEmptied(v: Voter): boolean {
    const disk = p.diskAt(v.at);
    return disk !== undefined && disk !== v.disk;
  }

  function successorOf(v: Voter): Voter {
    return isEmptied(v) ? { disk: p.diskAt(v.at)!, at: v.at } : v;
  }

  function committedValue<T>(key: string): { place: VersionedValue; value: T } | undefined {
    const learned = p.slots.registers.get(key)?.learned;
    return learned && { place: learned, value: learned.value as T };
  }

  if (!voters.next && !voters.now.some(isEmptied)) return Right(voters);
  const controller: ReconfigurationController = {
    name: p.name,
    store: p.slots,
    timeLimits: p.timeLimits,
    recommit: p.owner.reacquire,
    change: p.change,
    requestVoter: p.askVoter,
    hasOtherDisk: isEmptied,
    committedValue,
  };
  return changeVoterSet(controller, p.ports, voters.next ?? voters.now.map(successorOf));
}

/** The voters that a disk has learned. */
export function learnedVoters(
  cells: ReadonlyMap<string, { learned?: VersionedValue }>,
): VersionedValue | undefined {
  return cells.get(CONTROL_KEYS.voters)?.learned;
}
