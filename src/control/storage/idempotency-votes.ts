/**
 * First-come votes for idempotency keys, synced before they are told.
 */

import { Right } from 'purify-ts';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { isVoter, VoterSet } from '../../shared/state/voter-set';
import { encodeFrame, encodeFrames } from './frames';
import { GroupCommit, makeGroupCommit, awaitFirstWrite } from './group-commit';
import { ControlStore } from './control-store';
import { RunState, Vote, VOTE_FILE_INDEXES, StoredVotes, toVoteEntry } from './vote-files';

class VoteRequest {
  @bodyField('string') key!: string;
  @bodyField('string') run!: string;
}

class ListVotesRequest {
  @bodyField('string') begins!: string;
  @bodyField('boolean', false) some?: boolean;
}

/** Votes that one message carries well. */
const MAX_VOTES_PER_REPLY = 500;

class RunStateNotice {
  @bodyField('string') key!: string;
  @bodyField('string') run!: string;
  @bodyField('string') state!: RunState | 'released';
}

/** First-come votes for idempotency keys, synced before they are told; three files written in turn. */
export class IdempotencyVotes {
  private now = new Map<string, Vote>();
  private before = new Map<string, Vote>();
  private file = 0;
  private gen = 0;
  private turnedAt: number;
  private torn = false;
  private syncRead?: () => Promise<Result<void>>;
  private readonly group: GroupCommit<object>;

  constructor(
    private readonly slots: ControlStore,
    private readonly ports: Ports,
    private readonly voters: () => VoterSet | undefined,
    private readonly keep: number,
  ) {
    this.turnedAt = ports.clock.now();
    this.group = makeGroupCommit(this.writeBatch.bind(this), this.isTorn.bind(this));
  }

  private isTorn(): boolean {
    return this.torn;
  }

  /** Takes what this disk had kept and starts a new file, so that a torn tail is never written on; a disk that takes no write `within` a time is written as soon as it does. */
  async start(kept: StoredVotes, within = Infinity): Promise<void> {
    if (kept.isLegacy || kept.disk === this.slots.diskId)
      for (const vote of kept.votes) this.now.set(vote.key, vote);
    this.file = kept.fileIndex;
    this.gen = kept.generation;
    this.torn = true;
    this.syncRead = kept.sync;
    await awaitFirstWrite(this.ports, within, 'open votes', this.group.flush());
    if (this.torn && within !== Infinity) void this.writeUntilFit(within);
  }

  /** Writes the first file again and again: without one, a disk that holds control keys counts as a new one. */
  private async writeUntilFit(pause: number): Promise<void> {
    while (this.torn) {
      await this.ports.clock.sleep(pause);
      await this.group.flush();
    }
  }

  /** Whether this disk has taken a file of votes, and all that was written since. */
  isWritable(): boolean {
    return !this.torn;
  }

  /** Writes the next file: its head with the first of the carried votes, then the rest of them, each synced. */
  private async turn(carried: Map<string, Vote>): Promise<Result<void>> {
    const synced = (await this.syncRead?.()) ?? Right(undefined);
    if (synced.isLeft()) return synced;
    const to = (this.file + 1) % VOTE_FILE_INDEXES.length;
    const head = encodeFrame({ gen: this.gen + 1, disk: this.slots.diskId });
    const [first, ...rest] = encodeFrames([...carried.values()].map(toVoteEntry));
    let written = await this.ports.disk.write(`votes-${to}`, Buffer.concat([head, first]));
    for (const bytes of rest)
      if (written.isRight()) written = await this.ports.disk.append(`votes-${to}`, bytes);
    if (written.isLeft()) return written;
    this.file = to;
    this.gen++;
    this.turnedAt = this.ports.clock.now();
    return Right(undefined);
  }

  private async append(lines: object[]): Promise<Result<void>> {
    for (const bytes of encodeFrames(lines)) {
      const o = await this.ports.disk.append(`votes-${this.file}`, bytes);
      if (o.isLeft()) return o;
    }
    return Right(undefined);
  }

  private find(key: string): Vote | undefined {
    return this.now.get(key) ?? this.before.get(key);
  }

  private async writeBatch(lines: object[]): Promise<Result<void>> {
    if (this.torn) {
      const o = await this.turn(new Map([...this.before, ...this.now]));
      this.torn = o.isLeft();
      if (this.torn) return o;
    }
    if (this.ports.clock.now() - this.turnedAt > this.keep) {
      const o = await this.turn(new Map());
      if (o.isLeft()) {
        this.torn = true;
        return o;
      }
      this.before = this.now;
      this.now = new Map();
    }
    if (lines.length === 0) return Right(undefined);
    const o = await this.append(lines);
    if (o.isLeft()) this.torn = true;
    return o;
  }

  /** Gives this disk's vote to the first run that asks; later ones are told which run has it. */
  @messageHandler('vote', VoteRequest)
  async vote(m: VoteRequest): HandlerResult {
    if (!isVoter(this.voters(), this.slots.diskId))
      return failure('vote', this.slots.diskId, 'not a voter', 'refused', 'no-voter');
    const have = this.find(m.key);
    const vote: Vote = have ?? { key: m.key, run: m.run, state: 'running' };
    if (!have) this.now.set(m.key, vote);
    const [f] = errorOrValue(await (have ? this.group.flush() : this.group.add({ vote })));
    if (f) return failure('vote', this.slots.diskId, f.reason, 'failed', f.code);
    return Right({ disk: this.slots.diskId, run: vote.run, state: vote.state });
  }

  /** Takes what became of a run; one that certainly never ran gives its key back. */
  @messageHandler('run', RunStateNotice)
  async recordRunState(m: RunStateNotice): HandlerResult {
    const have = this.find(m.key);
    if (have && have.run !== m.run) return Right({ disk: this.slots.diskId });
    if (m.state === 'released') {
      this.now.delete(m.key);
      this.before.delete(m.key);
      return this.told({ gone: m.key });
    }
    const vote: Vote = { key: m.key, run: m.run, state: m.state };
    this.now.set(m.key, vote);
    return this.told({ vote });
  }

  private async told(line: object): HandlerResult {
    const [f] = errorOrValue(await this.group.add(line));
    return f
      ? failure('note run', this.slots.diskId, f.reason, 'failed', f.code)
      : Right({ disk: this.slots.diskId });
  }

  /** Gives a pile of what a disk that is to become a voter must hold: the votes whose key begins so, and the names of the control keys; an asker who wants some only is told where there are more. */
  @messageHandler('held', ListVotesRequest)
  async listVotes(m: ListVotesRequest): HandlerResult {
    const votes: Vote[] = [];
    for (const kept of [this.before, this.now])
      for (const v of kept.values()) if (v.key.startsWith(m.begins)) votes.push(v);
    const keys = [...this.slots.registers.keys()];
    return Right(
      m.some && votes.length > MAX_VOTES_PER_REPLY
        ? { disk: this.slots.diskId, votes: [], keys, more: true }
        : { disk: this.slots.diskId, votes, keys },
    );
  }

  /** Takes votes that the old set had given; those that stand here stay. */
  @messageHandler('copy')
  async copyVotes(votes: Vote[]): HandlerResult {
    const writes: Promise<Result<void>>[] = [];
    for (const v of votes) {
      if (this.find(v.key)) continue;
      this.now.set(v.key, v);
      writes.push(this.group.add({ vote: v }));
    }
    for (const o of await Promise.all([...writes, this.group.flush()])) if (o.isLeft()) return o;
    return Right({ disk: this.slots.diskId });
  }
}
