/**
 * The acceptor and the learner: the part that each voter's disk plays in the consensus on a control key. Every reply is
 * sent after what it says is synced.
 *
 * Source: L. Lamport, "Paxos Made Simple" (2001). Each key is an instance of its own, and its owner keeps the promise of
 * one epoch for many values, which it numbers.
 */

import { Left, Right } from 'purify-ts';
import { Delta, readDelta, shareUnchanged, versionOf } from '../../shared/replication/delta';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure, errorOrValue } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import {
  compareEpochs,
  compareVersions,
  describeVersion,
  VersionedValue,
  Version,
} from '../../shared/state/versions';
import { isVoter } from '../../shared/state/voter-set';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { ControlStore } from '../storage/control-store';
import { RegisterState } from '../storage/register-state';
import { isNewerVersion } from './accepted-versions';
import { VoterTransport } from './voter-transport';
import {
  AcceptDeltaRequest,
  AcceptedVersionReply,
  AcceptedVersionRequest,
  AcceptorReply,
  AcceptRequest,
  LearnAcceptedRequest,
  LearnRequest,
  PrepareRequest,
} from './acceptor-messages';

const NO_PROMISE = { epoch: 0, by: '' };

/**
 * The newest value that a disk knows to be accepted: what it accepted itself, or what it learned, which a majority has
 * accepted.
 */
function newestAccepted(
  register: Pick<RegisterState, 'accepted' | 'learned'> | undefined,
): VersionedValue | undefined {
  if (!register?.accepted || !register.learned) return register?.accepted ?? register?.learned;
  return compareVersions(register.learned, register.accepted) > 0
    ? register.learned
    : register.accepted;
}

/** The voter set that is committed here, where it is later than the one that the sender of a request goes by. */
function newerVoterSet(store: ControlStore, sent: Version | undefined): VersionedValue | undefined {
  const committed = store.registers.get(CONTROL_KEYS.voters)?.learned;
  if (!committed) return undefined;
  return isNewerVersion(committed, sent) ? committed : undefined;
}

/** Whether an acceptor must reject a value: it promised a higher epoch, or accepted a later version. */
function isOutdated(change: VersionedValue, register: RegisterState | undefined): boolean {
  if (!register) return false;
  if (compareEpochs(change, register.promised) < 0) return true;
  return register.accepted !== undefined && compareVersions(change, register.accepted) < 0;
}

/** One disk's acceptor and learner, for all control keys. */
export class Acceptor {
  constructor(
    private readonly store: ControlStore,
    private readonly transport: VoterTransport,
    private readonly ports: Ports,
  ) {}

  private isVoting(): boolean {
    return isVoter(this.transport.voters(), this.store.diskId);
  }

  /**
   * Promises to accept nothing of a lower epoch. An epoch that was promised once is not promised again, not even to the
   * same owner, which may have forgotten what it accepted under it.
   */
  @messageHandler('prepare', PrepareRequest)
  async prepare(request: PrepareRequest): HandlerResult {
    const voters = newerVoterSet(this.store, request.voters);
    const seen = this.store.registers.get(request.key)?.promised ?? NO_PROMISE;
    if (voters) return Right<AcceptorReply>({ ok: false, seen, voters });
    if (!this.isVoting())
      return failure('prepare', this.store.diskId, 'not a voter', 'refused', 'no-voter');
    if (request.epoch <= seen.epoch) return Right<AcceptorReply>({ ok: false, seen });
    const promised = { epoch: request.epoch, by: request.by };
    const accepted = newestAccepted(this.store.registers.get(request.key));
    const [error] = errorOrValue(await this.store.put({ key: request.key, promised }));
    if (error) return Left(error);
    return Right<AcceptorReply>({ ok: true, seen: promised, accepted });
  }

  /** Accepts a value unless a higher epoch was promised. */
  @messageHandler('accept', AcceptRequest)
  accept(request: AcceptRequest): HandlerResult {
    return this.acceptChange(request);
  }

  /**
   * Accepts a value that is sent as the delta to what is learned here; rejects it with the code `whole` where that is not
   * its base.
   */
  @messageHandler('accept-delta', AcceptDeltaRequest)
  async acceptDelta(request: AcceptDeltaRequest): HandlerResult {
    const { delta, voters } = request;
    const change = readDelta(this.store.registers.get(delta.key)?.learned, delta);
    return change
      ? this.acceptChange({ change, voters }, delta)
      : failure('accept', this.store.diskId, 'not the base here', 'refused', 'whole');
  }

  private async acceptChange(request: AcceptRequest, delta?: Delta): HandlerResult {
    const voters = newerVoterSet(this.store, request.voters);
    const { change } = request;
    const register = this.store.registers.get(change.key);
    const seen = register?.promised ?? NO_PROMISE;
    if (voters) return Right<AcceptorReply>({ ok: false, seen, voters });
    if (!this.isVoting())
      return failure('accept', this.store.diskId, 'not a voter', 'refused', 'no-voter');
    if (isOutdated(change, register)) return Right<AcceptorReply>({ ok: false, seen });
    const promised = { epoch: change.epoch, by: change.by };
    // A value that was read over its base shares with it already.
    const accepted = delta
      ? change
      : { ...change, value: shareUnchanged(register?.learned?.value, change.value) };
    const entry = { key: change.key, promised, accepted };
    const [error] = errorOrValue(await this.store.put(entry, delta));
    if (error) return Left(error);
    return Right<AcceptorReply>({ ok: true, seen: promised });
  }

  /**
   * Learns as committed what was accepted here at a version; rejects it with the code `whole` where another version was
   * accepted.
   */
  @messageHandler('learn-accepted', LearnAcceptedRequest)
  async learnAccepted(request: LearnAcceptedRequest): HandlerResult {
    const change = this.store.registers.get(request.place.key)?.accepted;
    return change && compareVersions(change, request.place) === 0
      ? this.learn({ change })
      : failure('learn', this.store.diskId, 'not accepted here', 'refused', 'whole');
  }

  /** Learns a committed value, and has it published where it is new here. */
  @messageHandler('learn', LearnRequest)
  async learn({ change }: LearnRequest): HandlerResult {
    const register = this.store.registers.get(change.key);
    const previous = register?.learned;
    const isNew = isNewerVersion(change, previous);
    const isAccepted = register?.accepted && compareVersions(register.accepted, change) === 0;
    const learned = isAccepted ? true : change;
    const [error] = errorOrValue(
      await (isNew ? this.store.put({ key: change.key, learned }) : this.store.flush()),
    );
    if (error) return Left(error);
    if (isNew) this.transport.onLearned(change, previous);
    const { key, epoch, by: owner, number } = change;
    this.ports.logger.info(
      { event: 'consensus.value-learned', key, epoch, owner, number },
      `${key} ${describeVersion(change)}`,
    );
    return Right({ disk: this.store.diskId });
  }

  /**
   * Tells which version of a key this disk has accepted, or learned as accepted by a majority. It waits for no write:
   * memory is never behind the disk.
   */
  @messageHandler('held-place')
  acceptedVersion(request: AcceptedVersionRequest): HandlerResult {
    const accepted = newestAccepted(this.store.registers.get(request.key));
    return Promise.resolve(
      Right<AcceptedVersionReply>({
        disk: this.store.diskId,
        accepted: accepted && versionOf(accepted),
        voters: newerVoterSet(this.store, request.voters),
      }),
    );
  }
}
