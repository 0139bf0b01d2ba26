/**
 * The proposer: the phases of the consensus on a key, each carried out by a majority of the voters. It keeps no value;
 * who owns a key, and which value comes next, is decided by the key owner.
 */

import { Left, Right } from 'purify-ts';
import { makeDelta, versionOf } from '../../shared/replication/delta';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { pollVoters } from '../../shared/transport/quorum-poll';
import { compareVersions, VersionedValue } from '../../shared/state/versions';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Voter } from '../../shared/state/voter-set';
import { ControlStore } from '../storage/control-store';
import { AcceptedVersionReply, AcceptorReply } from './acceptor-messages';
import { isNewerVersion, pollAcceptedVersions } from './accepted-versions';
import { requestShortOrFull, VoterMessage, VoterTransport } from './voter-transport';

/** An epoch that a majority has promised, and the newest value that any of it had accepted before. */
export interface PreparedEpoch {
  epoch: number;
  accepted?: VersionedValue;
}

function isOk(reply: AcceptorReply): boolean {
  return reply.ok;
}

/** The newest value that any acceptor of a majority tells of: it may be committed, and must be proposed anew. */
function newestOf(promises: readonly AcceptorReply[]): VersionedValue | undefined {
  let newest: VersionedValue | undefined;
  for (const { accepted } of promises)
    if (accepted && isNewerVersion(accepted, newest)) newest = accepted;
  return newest;
}

/** Carries out prepare, accept and learn for all keys of one process, under epochs that rise for each key. */
export class Proposer {
  /** The highest epoch of each key that any acceptor has reported. */
  private readonly highestEpochs = new Map<string, number>();

  constructor(
    private readonly store: ControlStore,
    private readonly transport: VoterTransport,
  ) {}

  /** Notes an epoch under which a key is owned, here or elsewhere; the next one that is prepared is higher. */
  noteEpoch(key: string, epoch: number): void {
    this.highestEpochs.set(key, Math.max(this.highestEpoch(key), epoch));
  }

  /**
   * Phase 1: has a majority promise a higher epoch than any that is known here. It is tried a second time where the
   * first try was rejected for an epoch, or for voters, that were not known here.
   */
  async prepare(key: string, mayRetry = true): Promise<Result<PreparedEpoch>> {
    const votersBefore = this.committedVoters();
    const epoch = this.nextEpoch(key);
    const body = { key, epoch, by: this.transport.ownerId };
    const [error, promises] = errorOrValue(await this.poll(key, { type: 'prepare', body }));
    if (!error) return Right({ epoch, accepted: newestOf(promises) });
    const hasLearnedMore =
      this.highestEpoch(key) >= epoch || this.committedVoters() !== votersBefore;
    return mayRetry && hasLearnedMore ? this.prepare(key, false) : Left(error);
  }

  /**
   * Phase 2 and the learning of its result: has a majority accept a value, then learn it as committed. Gives the value as
   * it is kept here, where it shares with earlier versions what did not change. After an error the value may be committed
   * or not, now or later: its certainty is `unknown`.
   */
  async commit(change: VersionedValue): Promise<Result<VersionedValue>> {
    const [acceptError] = errorOrValue(await this.accept(change));
    if (acceptError)
      return Left({ ...acceptError, step: `accept ${change.key}`, certainty: 'unknown' });
    const [learnError] = errorOrValue(await this.learn(change));
    if (learnError)
      return Left({ ...learnError, step: `learn ${change.key}`, certainty: 'unknown' });
    return Right(this.learnedCopyOf(change) ?? change);
  }

  /** Asks a majority which version of a key it has accepted. */
  async acceptedVersions(key: string): Promise<Result<AcceptedVersionReply[]>> {
    const { transport } = this;
    function requestVoter(voter: Voter, type: string, body: unknown): Promise<Result<unknown>> {
      return transport.request(voter, type, body, transport.timeoutMs);
    }
    const polled = await pollAcceptedVersions(
      transport.voters(),
      requestVoter,
      key,
      this.committedVoters(),
    );
    return polled.accepted;
  }

  private accept(change: VersionedValue): Promise<Result<AcceptorReply[]>> {
    const delta = makeDelta(this.store.registers.get(change.key)?.learned, change);
    const short = delta && { type: 'accept-delta', body: { delta } };
    return this.poll(change.key, { type: 'accept', body: { change } }, short);
  }

  private learn(change: VersionedValue): Promise<Result<unknown[]>> {
    const { transport } = this;
    // The set that accepted the value: learning the key of the voters here may replace it.
    const voters = transport.voters()!;
    void transport.learnLocally(change);
    const place = { key: change.key, ...versionOf(change) };
    function requestLearn(voter: Voter): Promise<Result<unknown>> {
      return requestShortOrFull(
        transport,
        voter,
        { type: 'learn-accepted', body: { place } },
        { type: 'learn', body: { change } },
      );
    }
    return pollVoters(voters, requestLearn);
  }

  /** Sends the voters a request of phase 1 or 2, and notes the epochs and voters that their replies tell of. */
  private async poll(
    key: string,
    full: VoterMessage,
    short?: VoterMessage,
  ): Promise<Result<AcceptorReply[]>> {
    const { transport } = this;
    const voterSet = transport.voters();
    if (!voterSet)
      return failure(full.type, transport.ownerId, 'not founded', 'refused', 'not-founded');
    const committedVoters = this.committedVoters();
    const voters = committedVoters && versionOf(committedVoters);
    const shortRequest = short && { type: short.type, body: { ...short.body, voters } };
    const fullRequest = { type: full.type, body: { ...full.body, voters } };
    const replies: AcceptorReply[] = [];
    async function requestVoter(voter: Voter): Promise<Result<AcceptorReply>> {
      const result = (await requestShortOrFull(
        transport,
        voter,
        shortRequest,
        fullRequest,
      )) as Result<AcceptorReply>;
      const [, reply] = errorOrValue(result);
      if (reply) replies.push(reply);
      return result;
    }
    const polled = await pollVoters(voterSet, requestVoter, isOk);
    for (const reply of replies) this.noteReply(key, reply);
    return polled;
  }

  private noteReply(key: string, reply: AcceptorReply): void {
    const { voters } = reply;
    if (voters && isNewerVersion(voters, this.committedVoters()))
      void this.store.put({ key: CONTROL_KEYS.voters, learned: voters });
    this.noteEpoch(key, reply.seen.epoch);
  }

  private committedVoters(): VersionedValue | undefined {
    return this.store.registers.get(CONTROL_KEYS.voters)?.learned;
  }

  private highestEpoch(key: string): number {
    return this.highestEpochs.get(key) ?? 0;
  }

  private nextEpoch(key: string): number {
    const promisedHere = this.store.registers.get(key)?.promised.epoch ?? 0;
    return Math.max(this.highestEpoch(key), promisedHere) + 1;
  }

  private learnedCopyOf(change: VersionedValue): VersionedValue | undefined {
    const learned = this.store.registers.get(change.key)?.learned;
    return learned && compareVersions(learned, change) === 0 ? learned : undefined;
  }
}
