/**
 * A voter's part in the use of idempotency keys: its disk votes for the first run that asks for a key, and a run that has
 * the votes of a majority is the only one. Every reply is sent after what it says is synced. The field names of the
 * messages are sent.
 */

import { Right } from 'purify-ts';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { isVoter, VoterSet } from '../../shared/state/voter-set';
import { ControlStore } from './control-store';
import { RunState, StoredVoteEntry, Vote, StoredVotes } from './vote-files';
import { VoteLog } from './vote-log';
import { VoteTable } from './vote-table';

/** How many votes one reply carries; an asker that sets `some` gets none where there are more. */
const MAX_VOTES_PER_REPLY = 500;

/** Asks for the vote for a key. */
class VoteRequest {
  @bodyField('string') key!: string;
  @bodyField('string') run!: string;
}

/** Asks for all votes whose keys begin with a prefix. */
class ListVotesRequest {
  @bodyField('string') begins!: string;
  @bodyField('boolean', false) some?: boolean;
}

/** Tells what became of the run that holds a key; `released` where it certainly never ran. */
class RunStateNotice {
  @bodyField('string') key!: string;
  @bodyField('string') run!: string;
  @bodyField('string') state!: RunState | 'released';
}

/** One disk's votes for idempotency keys. */
export class IdempotencyVotes {
  private readonly table = new VoteTable();
  private readonly log: VoteLog;

  /** A vote is kept for at least `keepMs`. */
  constructor(
    private readonly store: ControlStore,
    ports: Ports,
    private readonly voters: () => VoterSet | undefined,
    keepMs: number,
  ) {
    this.log = new VoteLog(ports, store.diskId, this.table, keepMs);
  }

  /**
   * Takes over the votes that this disk had stored, and begins a new file. A disk that takes no write within
   * `firstWriteTimeoutMs` is written as soon as it does.
   */
  async start(stored: StoredVotes, firstWriteTimeoutMs = Infinity): Promise<void> {
    if (stored.isLegacy || this.store.isOwnDiskId(stored.disk))
      for (const vote of stored.votes) this.table.set(vote);
    await this.log.start(stored, firstWriteTimeoutMs);
  }

  /** Whether this disk has taken a file of votes, and all that was written since. */
  isWritable(): boolean {
    return this.log.isWritable();
  }

  /** Gives this disk's vote to the first run that asks; later ones are told which run has it. */
  @messageHandler('vote', VoteRequest)
  async vote(request: VoteRequest): HandlerResult {
    const { key, run } = request;
    if (!isVoter(this.voters(), this.store.diskId))
      return failure('vote', this.store.diskId, 'not a voter', 'refused', 'no-voter');
    const given = this.table.get(key);
    const vote: Vote = given ?? { key, run, state: 'running' };
    if (!given) this.table.set(vote);
    const [error] = errorOrValue(
      await this.withSyncedDiskId(given ? this.log.flush() : this.log.append({ vote })),
    );
    if (error) return failure('vote', this.store.diskId, error.reason, 'failed', error.code);
    return Right({ disk: this.store.diskId, run: vote.run, state: vote.state });
  }

  /**
   * Records what became of a run; one that certainly never ran gives its key back. A run without the vote changes
   * nothing.
   */
  @messageHandler('run', RunStateNotice)
  async recordRunState(notice: RunStateNotice): HandlerResult {
    const { key, run, state } = notice;
    const given = this.table.get(key);
    if (given && given.run !== run) return Right({ disk: this.store.diskId });
    if (state === 'released') {
      this.table.delete(key);
      return this.recordEntry({ gone: key });
    }
    const vote: Vote = { key, run, state };
    this.table.set(vote);
    return this.recordEntry({ vote });
  }

  private async recordEntry(entry: StoredVoteEntry): HandlerResult {
    const [error] = errorOrValue(await this.withSyncedDiskId(this.log.append(entry)));
    return error
      ? failure('note run', this.store.diskId, error.reason, 'failed', error.code)
      : Right({ disk: this.store.diskId });
  }

  /**
   * Lists what a disk that is to become a voter must hold: the votes whose keys begin with a prefix, and the names of the
   * control keys.
   */
  @messageHandler('held', ListVotesRequest)
  listVotes(request: ListVotesRequest): HandlerResult {
    const disk = this.store.diskId;
    const votes = this.table.withPrefix(request.begins);
    const keys = [...this.store.registers.keys()];
    return Promise.resolve(
      request.some && votes.length > MAX_VOTES_PER_REPLY
        ? Right({ disk, votes: [], keys, more: true })
        : Right({ disk, votes, keys }),
    );
  }

  /** Takes over votes that the old voter set had given; those that this disk has given itself stay. */
  @messageHandler('copy')
  async copyVotes(votes: Vote[]): HandlerResult {
    const writes: Promise<Result<void>>[] = [];
    for (const vote of votes) {
      if (this.table.get(vote.key)) continue;
      this.table.set(vote);
      writes.push(this.log.append({ vote }));
    }
    const results = await Promise.all([...writes, this.withSyncedDiskId(this.log.flush())]);
    for (const result of results) if (result.isLeft()) return result;
    return Right({ disk: this.store.diskId });
  }

  /** Waits for a write, and until the disk id is synced: under another one, a restart would forget these votes. */
  private async withSyncedDiskId(write: Promise<Result<void>>): Promise<Result<void>> {
    const [written, identified] = await Promise.all([write, this.store.awaitDiskIdSynced()]);
    return written.isLeft() ? written : identified;
  }
}
