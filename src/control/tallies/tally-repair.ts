/**
 * Repair of tallies: each controller compares digests with each other that is connected, the newest additions first,
 * and fetches what it lacks. Whoever lacks much uses the same way: a controller after a cut, or with an empty disk.
 */

import { Left, Right } from 'purify-ts';
import { makeWaker, Waker } from '../../shared/concurrency/waker';
import { jittered } from '../../shared/concurrency/jitter';
import { errorOrValue, failure, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { decompress } from '../../shared/transport/compression';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { AdditionRun, areRuns } from './addition';
import { AdditionSet } from './addition-set';
import { EMPTY_DIGEST, RangeDigest } from './replica-additions';
import {
  DigestsReply,
  HeldRange,
  MissingReply,
  MissingRequest,
  RangesReply,
  RangesRequest,
  TALLY_MESSAGES,
} from './tally-messages';

/** Ranges whose missing additions one request asks for. */
const RANGES_PER_REQUEST = 8;
/** After each reply with additions the link is left to others for this ratio of the time that it took. */
const PAUSE_RATIO = 1;

/** What repair needs of its controller. */
export interface RepairDependencies {
  ports: Ports;
  set: AdditionSet;
  /** Adds runs to the set and returns once they are synced. */
  record: (runs: readonly AdditionRun[]) => Promise<Result<void>>;
  /** The connections to other controllers that are up and may know tallies. */
  channels: () => PeerChannel[];
  onWithoutTallies: (channel: PeerChannel) => void;
  /** Called after each comparison with a peer that was brought to its end. */
  onCompared: () => void;
  /** The time between comparisons with a peer, on average, in ms. */
  intervalMs: number;
  requestTimeoutMs: number;
  isStopped: () => boolean;
}

/** How far this controller is with one peer. */
export interface PeerRepair {
  peer: string;
  /** Whether nothing of the peer's was missing here at the last comparison. */
  isLevel: boolean;
  /** When nothing was missing last, in ms of the clock port; undefined where that was never so on this connection. */
  levelAt?: number;
  /** Additions that were fetched from the peer on this connection. */
  fetched: number;
  /** When additions last came, in ms of the clock port. */
  fetchedAt?: number;
}

/** The state of a peer's connection. */
interface PeerState extends PeerRepair {
  isBusy: boolean;
}

/** Compares with the connected controllers at a pace, and fetches what is missing here. */
export class TallyRepair {
  private readonly states = new Map<PeerChannel, PeerState>();
  private readonly waker: Waker;

  constructor(private readonly dependencies: RepairDependencies) {
    this.waker = makeWaker(dependencies.ports.clock);
  }

  /** Compares again and again until the controller is stopped. */
  async run(): Promise<void> {
    const { ports, intervalMs, isStopped } = this.dependencies;
    while (!isStopped()) {
      for (const channel of this.dependencies.channels()) void this.repairOnce(channel);
      await this.waker.wait(jittered(ports.random, intervalMs), 0);
    }
  }

  /** Compares at once: a peer has connected, or the controller stops. */
  wake(): void {
    this.waker.wake();
  }

  /** Forgets a connection that has ended. */
  noteDown(channel: PeerChannel): void {
    this.states.delete(channel);
  }

  /** How far this controller is with each connected peer that knows tallies. */
  peers(): PeerRepair[] {
    const peers: PeerRepair[] = [];
    for (const channel of this.dependencies.channels()) peers.push(this.stateOf(channel));
    return peers;
  }

  private stateOf(channel: PeerChannel): PeerState {
    const known = this.states.get(channel);
    if (known) return known;
    const state: PeerState = { peer: channel.peer, isLevel: false, fetched: 0, isBusy: false };
    this.states.set(channel, state);
    return state;
  }

  private async repairOnce(channel: PeerChannel): Promise<void> {
    const state = this.stateOf(channel);
    if (state.isBusy) return;
    state.isBusy = true;
    const fetchedBefore = state.fetched;
    const [error] = errorOrValue(await this.compare(channel, state));
    state.isBusy = false;
    if (error?.code === 'not-known') return this.dependencies.onWithoutTallies(channel);
    if (error) return;
    this.noteCompared(state, state.fetched - fetchedBefore);
  }

  private noteCompared(state: PeerState, fetched: number): void {
    const { ports, onCompared } = this.dependencies;
    if (fetched > 0 && state.levelAt === undefined)
      ports.logger.info(
        { event: 'tallies.level', peer: state.peer, fetched },
        `caught up with ${fetched} additions to tallies`,
      );
    state.isLevel = true;
    state.levelAt = ports.clock.now();
    onCompared();
  }

  /** Compares the whole sets, then the replicas that differ, the one that changed last first. */
  private async compare(channel: PeerChannel, state: PeerState): Promise<Result<void>> {
    const { set } = this.dependencies;
    const request = { digest: set.digest() };
    const reply = await this.request<DigestsReply>(channel, TALLY_MESSAGES.digests, request);
    const [error, digests] = errorOrValue(reply);
    if (error) return Left(error);
    for (const { replica, digest } of digests.replicas) {
      if (this.digestOf(replica) === digest) continue;
      const compared = await this.compareReplica(channel, state, replica);
      if (compared.isLeft()) return compared;
    }
    return Right(undefined);
  }

  /** Compares the ranges of a replica, newest first, until all earlier ones are the same. */
  private async compareReplica(
    channel: PeerChannel,
    state: PeerState,
    replica: string,
  ): Promise<Result<void>> {
    let end: number | undefined;
    for (;;) {
      const request: RangesRequest = { replica, end };
      const reply = await this.request<RangesReply>(channel, TALLY_MESSAGES.ranges, request);
      const [error, compared] = errorOrValue(reply);
      if (error) return Left(error);
      const { ranges, earlier } = compared;
      const fetched = await this.fetchRanges(channel, state, replica, ranges);
      if (fetched.isLeft()) return fetched;
      end = ranges.at(-1)?.index;
      if (end === undefined || this.digestBefore(replica, end) === earlier) return Right(undefined);
    }
  }

  /** Fetches what is missing of the ranges that differ, a few at a time, with pauses. */
  private async fetchRanges(
    channel: PeerChannel,
    state: PeerState,
    replica: string,
    ranges: readonly RangeDigest[],
  ): Promise<Result<void>> {
    const { clock } = this.dependencies.ports;
    const differing = this.differingRanges(replica, ranges);
    while (differing.length > 0) {
      const beganAt = clock.now();
      const held = this.heldRanges(replica, differing.splice(0, RANGES_PER_REQUEST));
      const [error, runs] = errorOrValue(await this.fetch(channel, { replica, ranges: held }));
      if (error) return Left(error);
      const recorded = await this.recordFetched(state, runs);
      if (recorded.isLeft()) return recorded;
      if (differing.length > 0) await clock.sleep((clock.now() - beganAt) * PAUSE_RATIO);
    }
    return Right(undefined);
  }

  private async recordFetched(
    state: PeerState,
    runs: readonly AdditionRun[],
  ): Promise<Result<void>> {
    const { set, record, ports } = this.dependencies;
    const sizeBefore = set.size();
    if (runs.length === 0) return Right(undefined);
    const recorded = record(runs);
    const fetched = set.size() - sizeBefore;
    state.fetched += fetched;
    if (fetched > 0) {
      state.isLevel = false;
      state.fetchedAt = ports.clock.now();
    }
    return recorded;
  }

  private async fetch(
    channel: PeerChannel,
    request: MissingRequest,
  ): Promise<Result<AdditionRun[]>> {
    const reply = await this.request<MissingReply>(channel, TALLY_MESSAGES.missing, request);
    const [error, missing] = errorOrValue(reply);
    if (error) return Left(error);
    const [unpackError, runs] = errorOrValue(
      decompress('read missing additions', channel.peer, missing.runs),
    );
    if (unpackError) return Left(unpackError);
    return areRuns(runs)
      ? Right(runs)
      : failure('read missing additions', channel.peer, 'no runs', 'failed', 'bad-shape');
  }

  private differingRanges(replica: string, ranges: readonly RangeDigest[]): number[] {
    const own = this.dependencies.set.ofReplica(replica);
    const differing: number[] = [];
    for (const { index, digest } of ranges)
      if (digest !== (own?.rangeDigest(index) ?? EMPTY_DIGEST)) differing.push(index);
    return differing;
  }

  private heldRanges(replica: string, indexes: readonly number[]): HeldRange[] {
    const own = this.dependencies.set.ofReplica(replica);
    const held: HeldRange[] = [];
    for (const index of indexes)
      held.push({ index, bitmap: own?.bitmap(index) ?? new Uint8Array(0) });
    return held;
  }

  private digestOf(replica: string): string {
    return this.dependencies.set.ofReplica(replica)?.digest() ?? EMPTY_DIGEST;
  }

  private digestBefore(replica: string, end: number): string {
    return this.dependencies.set.ofReplica(replica)?.digestBefore(end) ?? EMPTY_DIGEST;
  }

  private request<Reply>(channel: PeerChannel, type: string, body: object): Promise<Result<Reply>> {
    const { requestTimeoutMs } = this.dependencies;
    return channel.request(type, body, requestTimeoutMs) as Promise<Result<Reply>>;
  }
}
