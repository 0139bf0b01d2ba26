/**
 * The handlers of messages between controllers, other than those of consensus, replication and membership requests.
 * The message types and their fields are sent as they are named here.
 */

import { Right } from 'purify-ts';
import { HandlerResult, messageHandler } from '../shared/transport/message-handlers';
import { failure, Result } from '../shared/errors/errors';
import { AppliedEntry, appliedEntries, isAtLeast } from '../shared/replication/change-message';
import { allVoters, addressOf, Voter, VoterSet } from '../shared/state/voter-set';
import { VersionedValue, Version } from '../shared/state/versions';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { Operation } from './configuration/operations';
import { LearnedSince } from './consensus/controller-catch-up';
import { IdentifyReply } from './membership/identify-reply';
import { ControlStore } from './storage/control-store';

/** What the handlers need of their controller. */
export interface PeerHandlersDependencies {
  ownerId: string;
  store: ControlStore;
  /** Whether this start has leave to bootstrap a cluster. */
  mayBootstrap: boolean;
  voters: () => VoterSet | undefined;
  changeAsOwner: (operation: Operation) => Promise<Result<unknown>>;
  isInProgress: (identity: string) => boolean;
  committedValues: () => VersionedValue[];
  /** Notes the addresses of the voters that a peer sent. */
  onCoreHint: (addresses: string[]) => void;
  isUp: (voter: Voter) => boolean;
  wake: () => void;
}

/** Handles the messages of other controllers. */
export class PeerHandlers {
  constructor(private readonly dependencies: PeerHandlersDependencies) {}

  /** Makes a change, as the owner of its key. */
  @messageHandler('change')
  async change(operation: Operation): HandlerResult {
    return this.dependencies.changeAsOwner(operation);
  }

  /** Tells whether an operator's change is in progress here, as the owner of its key. */
  @messageHandler('order-under-way')
  isChangeInProgress(request: { identity: string }): HandlerResult {
    return Promise.resolve(Right(this.dependencies.isInProgress(request.identity)));
  }

  /** Gives the committed values that are newer than the versions of the one that asks. */
  @messageHandler('missing')
  missing(applied: AppliedEntry[]): HandlerResult {
    const versions = new Map<string, Version>();
    for (const [key, epoch, by, number] of applied) versions.set(key, { epoch, by, number });
    function isMissing(value: VersionedValue): boolean {
      return !isAtLeast(versions.get(value.key), value);
    }
    return Promise.resolve(Right(this.dependencies.committedValues().filter(isMissing)));
  }

  /** Gives the committed version of each key. */
  @messageHandler('committed-places')
  committedVersions(): HandlerResult {
    return Promise.resolve(Right(appliedEntries(this.dependencies.committedValues())));
  }

  /**
   * Gives the versions of the keys that were learned here after a count of this incarnation (`life`); none to one that
   * counted in another incarnation, or too long ago.
   */
  @messageHandler('learned-after')
  learnedAfter({ life, count }: { life: string; count: number }): HandlerResult {
    const { ownerId, store } = this.dependencies;
    const keys = life === ownerId ? store.learnedKeys.after(count) : undefined;
    const reply: LearnedSince = {
      life: ownerId,
      count: store.learnedKeys.count(),
      has: keys && appliedEntries(this.learnedValuesOf(keys)),
    };
    return Promise.resolve(Right(reply));
  }

  /** Gives the committed values of some keys. */
  @messageHandler('committed')
  committed(keys: string[]): HandlerResult {
    return Promise.resolve(Right(this.learnedValuesOf(keys)));
  }

  /** Identifies this controller by its disk, and tells what it knows of the voter set. */
  @messageHandler('who')
  identify(): HandlerResult {
    const { store, mayBootstrap } = this.dependencies;
    const voters = this.dependencies.voters();
    const reply: IdentifyReply = {
      disk: store.diskId,
      blank: voters === undefined && !store.isCorrupt,
      mayFound: mayBootstrap && store.hasSyncedDiskId(),
      voters,
      stands: store.registers.get(CONTROL_KEYS.voters)?.learned,
      core: voters ? allVoters(voters).map(addressOf) : [],
    };
    return Promise.resolve(Right(reply));
  }

  /** Notes where the voters are, as announced by a controller that has this one among its seeds. */
  @messageHandler('here')
  noteVoters(voters: VoterSet): HandlerResult {
    this.dependencies.onCoreHint(allVoters(voters).map(addressOf));
    return Promise.resolve(Right(true));
  }

  /** Tells whether one of these voters is connected to this node. */
  @messageHandler('sees')
  isAnyUp(voters: Voter[]): HandlerResult {
    return Promise.resolve(Right(voters.some(this.dependencies.isUp)));
  }

  /** Records the bootstrap of a cluster of which this disk is a founder; once, and again only with the same founders. */
  @messageHandler('found')
  async recordBootstrap(founders: VoterSet): HandlerResult {
    const { store, wake } = this.dependencies;
    const checked = this.checkBootstrap(founders);
    if (checked.isLeft()) return checked;
    if (this.dependencies.voters()) return (await store.awaitBootstrapSynced()).map(isRecorded);
    const recorded = await store.recordBootstrap(founders);
    wake();
    return recorded;
  }

  /** Whether this disk may be a founder, or is one of exactly these founders already. */
  private checkBootstrap(founders: VoterSet): Result<boolean> {
    const { store, voters, mayBootstrap } = this.dependencies;
    const { diskId } = store;
    if (voters())
      return JSON.stringify(store.bootstrapVoterSet()) === JSON.stringify(founders)
        ? Right(true)
        : failure('found', diskId, 'already of a fleet', 'refused', 'not-blank');
    if (store.isCorrupt)
      return failure('found', diskId, 'this disk was of a fleet', 'refused', 'not-blank');
    if (!mayBootstrap)
      return failure('found', diskId, 'this start may not found', 'refused', 'not-founder');
    function isOwn(voter: Voter): boolean {
      return voter.disk === diskId;
    }
    if (!founders.now.some(isOwn))
      return failure('found', diskId, 'not of these founders', 'refused', 'not-founder');
    return Right(true);
  }

  /** What was learned here of those keys that have a value. */
  private learnedValuesOf(keys: readonly string[]): VersionedValue[] {
    const values: VersionedValue[] = [];
    for (const key of keys) {
      const learned = this.dependencies.store.registers.get(key)?.learned;
      if (learned) values.push(learned);
    }
    return values;
  }
}

/** The reply to founders that this disk has recorded already. */
function isRecorded(): boolean {
  return true;
}
