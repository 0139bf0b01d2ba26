/**
 * The follower of the replicated control state: what a node that is no controller knows of it, and the leases under
 * which it may act by it.
 */

import { Stream } from 'most';
import { Left } from 'purify-ts';
import { errorOrValue, OperationError, Result } from '../errors/errors';
import { Ports } from '../ports/ports';
import { TimeLimits } from '../settings/time-limits';
import { CONTROL_KEYS } from '../state/control-keys';
import { Engine } from '../state/engines';
import { Member } from '../state/members';
import { Version, VersionedValue } from '../state/versions';
import { addressOf, allVoters, Voter, VoterSet } from '../state/voter-set';
import { ConnectionPool, makeConnectionPool } from '../transport/connection-pool';
import { Hello } from '../transport/hello';
import { notConnected, PeerChannel } from '../transport/peer-channel';
import { pollVoters } from '../transport/quorum-poll';
import { makePushStream } from '../util/push-stream';
import { AppliedState } from './applied-state';
import { CatchUp, makeCatchUp } from './catch-up';
import { ChangeOffer, InlineChange, isAtLeast, keyOfEntry } from './change-message';
import { CoreDiscovery, CoreLocation } from './core-discovery';
import { DrainingEngines, makeDrainingEngines } from './draining-engines';
import { applyMessages, FollowerHandlers } from './follower-handlers';
import { FollowerWarmUp } from './follower-warm-up';
import { hasLeaseQuorum } from './lease-quorum';
import { LeaseReply, LeaseRenewals, LeaseRequestContext } from './lease-renewal';
import { makeMemberView, MemberView } from './member-view';

/** A node's view of the control state, which committed changes and leases keep current. */
export interface Follower {
  /** Whether the node may act by its view: it holds the leases of a quorum, or no controller's process runs. */
  hasLease: () => boolean;
  /** The applied value of a key, and its version. */
  value: <T>(key: string) => { place: Version; value: T } | undefined;
  /** The members of a role, by name; of all roles where it is empty. */
  members: (role: string) => Member[];
  /** The voter set, once it is known. */
  voters: () => VoterSet | undefined;
  /** The addresses of the controllers that vote; none before they are known. */
  coreAddresses: () => string[];
  /** All applied values. */
  appliedValues: () => VersionedValue[];
  /** Applies committed changes; those that are not newer than what is applied are ignored. Whether there was a newer one. */
  applyAll: (changes: VersionedValue[]) => boolean;
  /** The changes as they are applied. */
  changes: Stream<VersionedValue>;
  /** Whether an engine is known to drain, ahead of the committed list. */
  isDraining: (id: string) => boolean;
  /** The ids of engines that are reported to drain. */
  drainingNotices: Stream<string[]>;
  /** All members, each time that they have changed. */
  memberChanges: Stream<Member[]>;
  /** What is said with the leases of engines that may be cold. */
  warmUp: FollowerWarmUp;
  /** Sends a notification to all controllers that are connected. */
  notifyCore: (type: string, body: unknown) => void;
  /** Sends a request to all voters: whether a quorum gave a reply that `isYes` accepts, and the replies until then. */
  askVoters: <T>(
    type: string,
    body: unknown,
    isYes: (reply: T, voter: Voter) => boolean,
  ) => Promise<{ ok: boolean; got: T[] }>;
  /** Gives the leases back, before the process ends. */
  releaseLeases: () => Promise<void>;
  /** Closes all connections, and asks for no more leases. */
  stop: () => void;
}

/** What a follower is started with. */
export interface FollowerOptions {
  timeLimits: TimeLimits;
  /** The node's handshake message. */
  hello: Hello;
  /** The node as a member. */
  member: Member;
  /** Addresses at which the voter set is asked for. */
  seeds: readonly string[];
  /** The node's message handlers; the follower adds its own. */
  handlers: object[];
}

class CoreFollower {
  readonly members: MemberView;
  readonly warmUp: FollowerWarmUp;
  readonly state = new AppliedState(this.beforeNotify.bind(this));
  readonly drainingNotices = makePushStream<string[]>();
  readonly memberChanges = makePushStream<Member[]>();
  private readonly draining: DrainingEngines;
  private readonly catchUp: CatchUp;
  private readonly renewals: LeaseRenewals;
  private readonly pool: ConnectionPool;
  private readonly discovery: CoreDiscovery;
  /** The voter set as seeds and controllers reported it, until the control state itself holds one. */
  private reportedVoters: VoterSet | undefined;
  /** Controllers whose machine refuses connections, and until when that is taken as true. */
  private readonly refusedUntil = new Map<string, number>();
  private isStopped = false;

  constructor(
    private readonly ports: Ports,
    private readonly options: FollowerOptions,
  ) {
    const { clock } = ports;
    const { timeLimits } = options;
    this.members = makeMemberView(clock.now, this.memberChanges.push);
    this.draining = makeDrainingEngines(clock.now, timeLimits.drainingNoticeTtlMs);
    options.handlers.push(this.makeHandlers());
    this.catchUp = this.makeCatchUp();
    this.warmUp = new FollowerWarmUp(clock.now, timeLimits.leaseMs, this.wakeRenewals.bind(this));
    this.renewals = this.makeRenewals();
    this.pool = this.makePool();
    this.discovery = this.makeDiscovery();
  }

  /** Starts to look for the controllers. */
  start(): void {
    void this.discovery.findCore();
    void this.discovery.findLostCore();
  }

  stop(): void {
    this.isStopped = true;
    this.pool.stop();
  }

  hasLease(): boolean {
    const voters = this.voters();
    if (!voters) return false;
    const now = this.ports.clock.now();
    const granted = new Set<string>();
    const refused = new Set<string>();
    for (const { disk, at } of allVoters(voters)) {
      if (this.members.expiryOf(disk) > now) granted.add(disk);
      if ((this.refusedUntil.get(at) ?? 0) > now) refused.add(disk);
    }
    return hasLeaseQuorum(voters, granted, refused);
  }

  value<T>(key: string): { place: Version; value: T } | undefined {
    const applied = this.state.get(key);
    return applied && { place: applied, value: applied.value as T };
  }

  voters(): VoterSet | undefined {
    return this.state.voters() ?? this.reportedVoters;
  }

  coreAddresses(): string[] {
    const voters = this.voters();
    return voters ? allVoters(voters).map(addressOf) : [];
  }

  applyAll(changes: readonly VersionedValue[]): boolean {
    const anyNewer = this.state.apply(changes);
    if (anyNewer) this.connectToCore();
    return anyNewer;
  }

  isDraining(id: string): boolean {
    return this.draining.isDraining(id);
  }

  notifyCore(type: string, body: unknown): void {
    for (const address of this.pool.peerAddresses())
      this.pool.channelTo(address)?.notify(type, body);
  }

  async askVoters<T>(
    type: string,
    body: unknown,
    isYes: (reply: T, voter: Voter) => boolean,
  ): Promise<{ ok: boolean; got: T[] }> {
    const voters = this.voters();
    if (!voters) return { ok: false, got: [] };
    const got: T[] = [];
    const { pool, options } = this;
    async function askVoter(voter: Voter): Promise<Result<T>> {
      const channel = pool.channelTo(voter.at);
      if (!channel) return Left(notConnected(type, voter.at));
      const timeoutMs = options.timeLimits.requestTimeoutMs;
      const result = (await channel.request(type, body, timeoutMs)) as Result<T>;
      const [, reply] = errorOrValue(result);
      if (reply !== undefined) got.push(reply);
      return result;
    }
    const outcome = await pollVoters(voters, askVoter, isYes);
    return { ok: outcome.isRight(), got };
  }

  async releaseLeases(): Promise<void> {
    this.members.clear();
    this.warmUp.giveBack();
    const { member, timeLimits } = this.options;
    const replies: Promise<unknown>[] = [];
    for (const address of this.pool.peerAddresses()) {
      const channel = this.pool.channelTo(address);
      replies.push(
        channel?.request('leave', { member, has: [] }, timeLimits.requestTimeoutMs) ??
          Promise.resolve(undefined),
      );
    }
    await Promise.all(replies);
  }

  private makeHandlers(): FollowerHandlers {
    return new FollowerHandlers({
      apply: this.applyAll.bind(this),
      appliedVersion: this.state.get.bind(this.state),
      fetchOffer: this.fetchOffer.bind(this),
      coreLocation: this.coreLocation.bind(this),
      onCoreFound: this.onCoreFound.bind(this),
      onEnginesDraining: this.onEnginesDraining.bind(this),
    });
  }

  private makeCatchUp(): CatchUp {
    return makeCatchUp({
      appliedVersion: this.state.get.bind(this.state),
      apply: this.applyMessages.bind(this),
      openChannels: this.openChannels.bind(this),
      timeoutMs: this.options.timeLimits.requestTimeoutMs,
    });
  }

  private makeRenewals(): LeaseRenewals {
    const { timeLimits, member } = this.options;
    return new LeaseRenewals({
      ports: this.ports,
      timeLimits,
      member,
      state: this.state,
      catchUp: this.catchUp,
      warmUp: this.warmUp,
      applyAll: this.applyAll.bind(this),
      onGranted: this.onGranted.bind(this),
      onVoterSet: this.onVoterSet.bind(this),
      isStopped: this.hasStopped.bind(this),
    });
  }

  private makePool(): ConnectionPool {
    const { timeLimits, hello, handlers } = this.options;
    return makeConnectionPool(this.ports, {
      hello,
      handlers,
      timeoutMs: timeLimits.connectTimeoutMs,
      retryPauseMs: timeLimits.retryPauseMs,
      onUp: this.onUp.bind(this),
      onConnectFailed: this.onConnectFailed.bind(this),
    });
  }

  private makeDiscovery(): CoreDiscovery {
    const { timeLimits, hello, handlers, seeds } = this.options;
    return new CoreDiscovery({
      ports: this.ports,
      timeLimits,
      hello,
      handlers,
      seeds,
      isKnown: this.isCoreKnown.bind(this),
      isConnected: this.isConnected.bind(this),
      isStopped: this.hasStopped.bind(this),
      onFound: this.onDiscovered.bind(this),
    });
  }

  private wakeRenewals(): void {
    this.renewals.wake();
  }

  private hasStopped(): boolean {
    return this.isStopped;
  }

  private isCoreKnown(): boolean {
    return this.coreAddresses().length > 0;
  }

  private openChannels(): PeerChannel[] {
    return this.pool.openChannels();
  }

  private isConnected(): boolean {
    return this.pool.openChannels().length > 0;
  }

  private connectToCore(): void {
    const addresses = this.coreAddresses();
    if (addresses.length > 0) this.pool.setPeers(addresses);
  }

  /** The reply to a node that looks for the controllers; `stands` is only sent by controllers. */
  private coreLocation(): CoreLocation & { core: string[] } {
    return { voters: this.voters(), core: this.coreAddresses() };
  }

  /** Runs before a change is told to the streams, so that they see its effect on what drains. */
  private beforeNotify(change: VersionedValue): void {
    const engines = enginesOf(change);
    if (engines) this.draining.noteCommittedList(engines);
  }

  /** Fetches what a controller offers, and has the controllers hear soon that it is applied. */
  private fetchOffer(offer: ChangeOffer, from: PeerChannel): void {
    void this.catchUp.acceptOffer(from, offer).then(this.reportApplied.bind(this, offer));
  }

  private reportApplied(offer: ChangeOffer): void {
    if (isAtLeast(this.state.get(offer.key), offer)) this.renewals.wake();
  }

  /** Applies messages, and gives the keys that could not be read. */
  private applyMessages(messages: InlineChange[]): Promise<string[]> {
    const apply = this.applyAll.bind(this);
    const appliedVersion = this.state.get.bind(this.state);
    return Promise.resolve(
      applyMessages({ apply, appliedVersion }, messages).lacking.map(keyOfEntry),
    );
  }

  private onUp(channel: PeerChannel): void {
    void this.renewals.renew(channel);
  }

  /**
   * Notes that a controller's machine refuses connections, which shows that no controller runs there. This is taken as
   * true for a lease's time less the time that a connection may take, and is noted only while leases last.
   */
  private onConnectFailed(error: OperationError): void {
    if (error.code !== 'ECONNREFUSED' || !this.hasLease()) return;
    const { leaseMs, connectTimeoutMs } = this.options.timeLimits;
    this.refusedUntil.set(error.peer, this.ports.clock.now() + leaseMs - connectTimeoutMs);
  }

  private onGranted(reply: LeaseReply, from: PeerChannel, context: LeaseRequestContext): void {
    const { requestedAt, toldAll } = context;
    const expiresAt = requestedAt + this.options.timeLimits.leaseMs;
    this.refusedUntil.delete(from.peer);
    this.warmUp.note({ ...reply, requestedAt, expiresAt, isComplete: toldAll });
    this.members.grant(reply.disk, expiresAt, reply);
    this.connectToCore();
  }

  private onVoterSet(voters: VoterSet): void {
    this.reportedVoters = voters;
  }

  private onCoreFound(voters: VoterSet | undefined): void {
    if (!voters) return;
    this.reportedVoters = this.reportedVoters ?? voters;
    this.connectToCore();
  }

  private onDiscovered({ voters, stands }: CoreLocation): void {
    this.onCoreFound(voters);
    if (stands) this.applyAll([stands]);
  }

  private onEnginesDraining(ids: string[]): void {
    this.draining.markDraining(ids);
    this.drainingNotices.push(ids);
  }
}

function enginesOf(change: VersionedValue): Engine[] | undefined {
  return change.key === CONTROL_KEYS.engines ? (change.value as Engine[]) : undefined;
}

/**
 * Follows the control state: finds the controllers from the seeds, renews a lease at each, and applies what they commit.
 * The functions of the result need no `this`.
 */
export function followCore(ports: Ports, options: FollowerOptions): Follower {
  const follower = new CoreFollower(ports, options);
  follower.start();
  const { state, members, warmUp } = follower;
  return {
    hasLease: follower.hasLease.bind(follower),
    value: follower.value.bind(follower),
    members: members.members.bind(members),
    voters: follower.voters.bind(follower),
    coreAddresses: follower.coreAddresses.bind(follower),
    appliedValues: state.values.bind(state),
    applyAll: follower.applyAll.bind(follower),
    changes: state.changes,
    isDraining: follower.isDraining.bind(follower),
    drainingNotices: follower.drainingNotices.stream,
    memberChanges: follower.memberChanges.stream,
    warmUp,
    notifyCore: follower.notifyCore.bind(follower),
    askVoters: follower.askVoters.bind(follower),
    releaseLeases: follower.releaseLeases.bind(follower),
    stop: follower.stop.bind(follower),
  };
}
