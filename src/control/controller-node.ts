/**
 * A running controller: the wiring of its components, the phases of serving and draining, and its maintenance loop.
 */

import { Left, Right } from 'purify-ts';
import { withTimeout } from '../shared/concurrency/timeout';
import { makeWakerGroup, Waker, WakerGroup } from '../shared/concurrency/waker';
import { errorOrValue, Result } from '../shared/errors/errors';
import { Metrics } from '../shared/observability/metrics';
import { Listener } from '../shared/ports/network';
import { Ports } from '../shared/ports/ports';
import { Settings } from '../shared/settings/settings';
import { TimeLimits, timeLimitsOf } from '../shared/settings/time-limits';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { VersionedValue } from '../shared/state/versions';
import { allVoters, Voter, VoterSet } from '../shared/state/voter-set';
import { CompressedRequestHandlers } from '../shared/transport/compressed-requests';
import { Hello, helloOf } from '../shared/transport/hello';
import { HelloHandlers } from '../shared/transport/hello-handlers';
import { PeerChannel } from '../shared/transport/peer-channel';
import { dispatch, HandlerResult } from '../shared/transport/message-handlers';
import { rankByRendezvousHash } from '../shared/util/hashing';
import { bindMethods } from './bind-methods';
import { logChange, makeQuorumLog } from './change-log';
import { ChangeCoordinator, makeChangeCoordinator } from './configuration/change-coordinator';
import { ChangeEffects, makeChangeEffects } from './configuration/change-effects';
import { DocumentParser } from './configuration/deployment-change';
import { acceptConnections } from './connection-acceptor';
import { Acceptor } from './consensus/acceptor';
import { VoterTransport } from './consensus/voter-transport';
import { KeyMaintenance, makeKeyMaintenance } from './consensus/key-maintenance';
import { KeyOwner, makeKeyOwner } from './consensus/key-owner';
import {
  ReadDependencies,
  ReadHandlers,
  readIfStable,
  readLinearizable,
} from './consensus/linearizable-read';
import { ReplicaHandlers } from './consensus/replica-sync';
import { CommittedValue, Controller } from './controller-interface';
import { LeaseRegistry } from './leases/lease-registry';
import { ClusterBootstrap } from './membership/bootstrap';
import { leaveGracefully } from './membership/graceful-leave';
import { IdentifyReply } from './membership/identify-reply';
import { MembershipRequests } from './membership/membership-requests';
import { announceToSeeds } from './membership/seed-announcer';
import { VoterConnections } from './membership/voter-connections';
import { ZoneCutDetector } from './membership/zone-cut-detector';
import { VoterLiveness, VoterLivenessView } from './membership/voter-liveness';
import { waitForNextRound } from './maintenance-pause';
import { PeerHandlers } from './peer-handlers';
import { ControlStore } from './storage/control-store';
import { IdempotencyVotes } from './storage/idempotency-votes';
import { learnedValues } from './storage/register-state';
import { StoredVotes } from './storage/vote-files';
import { CopyHolder } from './tallies/survivability';
import { Tallies } from './tallies/tallies';
import { makeWarmUpPermits, WarmUpPermits } from './warm-up/warm-up-permits';
import { drawRunId } from '../shared/state/members';

/** What a controller is made of. */
export interface ControllerNodeOptions {
  ports: Ports;
  settings: Settings;
  metrics: Metrics;
  store: ControlStore;
  /** The idempotency votes that this disk stored before the start. */
  storedVotes: StoredVotes;
  /** Reads the deployment documents of a platform; without one the controller serves intents. */
  parser: DocumentParser | undefined;
}

/**
 * A controller. The constructor wires the components and starts nothing; `start` serves. The methods are bound, since
 * components and background tasks take them as functions.
 */
export class ControllerNode implements Controller {
  readonly name: string;
  readonly ownerId: string;
  readonly hello: Hello;
  readonly settings: Settings;
  readonly timeLimits: TimeLimits;
  readonly store: ControlStore;
  readonly metrics: Metrics;
  readonly permits: WarmUpPermits;
  readonly leases: LeaseRegistry;
  readonly votes: IdempotencyVotes;
  readonly tallies?: Tallies;
  readonly keyOwner: KeyOwner;
  readonly membershipRequests: MembershipRequests;
  readonly handlers: object[] = [];

  readonly isUp: VoterLiveness['isUp'];
  readonly hasOtherDisk: VoterLiveness['hasOtherDisk'];
  readonly isLeaving: VoterLiveness['isLeaving'];
  readonly zoneOf: VoterLiveness['zoneOf'];
  readonly isSelfLeaving: VoterLiveness['isSelfLeaving'];
  readonly liveAddresses: VoterLiveness['liveAddresses'];
  readonly hasQuorum: VoterLiveness['hasQuorum'];
  readonly jointForMs: VoterLiveness['jointForMs'];
  readonly change: ChangeEffects['change'];
  readonly awaitEffect: ChangeEffects['awaitEffect'];
  readonly recommit: ChangeCoordinator['recommit'];

  private readonly ports: Ports;
  private readonly self: Voter;
  private readonly runId: string;
  private readonly wakers: WakerGroup;
  private readonly acceptor: Acceptor;
  private readonly liveness: VoterLiveness;
  private readonly connections: VoterConnections;
  private readonly acceptedChannels = new Set<PeerChannel>();
  private readonly zoneCuts: ZoneCutDetector;
  private readonly coordinator: ChangeCoordinator;
  private readonly reads: ReadDependencies;
  private readonly clusterBootstrap: ClusterBootstrap;
  private readonly keyMaintenance: KeyMaintenance;
  /** Keys whose newest value was learned as it was committed. */
  private readonly learnedLive = new Set<string>();
  private listener: Listener | undefined;
  private stopped = false;

  constructor(private readonly options: ControllerNodeOptions) {
    bindMethods(this);
    const { ports, settings, store, metrics } = options;
    this.ports = ports;
    this.settings = settings;
    this.store = store;
    this.metrics = metrics;
    this.name = settings.name;
    this.timeLimits = timeLimitsOf(settings);
    this.hello = helloOf(settings, 'controller', store.diskId);
    this.self = { disk: store.diskId, at: settings.wire };
    this.runId = drawRunId(ports.random);
    this.ownerId = `${settings.name}.${this.runId}`;
    this.wakers = makeWakerGroup(ports.clock);
    const transport = this.makeVoterTransport();
    this.acceptor = new Acceptor(store, transport, ports);
    const voters = this.voters.bind(this);
    this.permits = makeWarmUpPermits(this, ports.clock, options.parser);
    this.leases = new LeaseRegistry(store, ports, this.timeLimits, voters, this.permits);
    this.keyOwner = makeKeyOwner(store, transport);
    this.votes = new IdempotencyVotes(store, ports, this.voters.bind(this), settings.onceKeepMs);

    this.liveness = this.makeLiveness();
    this.isUp = this.liveness.isUp;
    this.hasOtherDisk = this.liveness.hasOtherDisk;
    this.isLeaving = this.liveness.isLeaving;
    this.zoneOf = this.liveness.zoneOf;
    this.isSelfLeaving = this.liveness.isSelfLeaving;
    this.liveAddresses = this.liveness.liveAddresses;
    this.hasQuorum = this.liveness.hasQuorum;
    this.jointForMs = this.liveness.jointForMs;
    this.membershipRequests = this.makeMembershipRequests();
    this.connections = this.makeConnections();
    this.zoneCuts = this.makeZoneCutDetector();
    if (options.parser) this.tallies = this.makeTallies();

    this.coordinator = this.makeCoordinator();
    this.recommit = this.coordinator.recommit;
    const effects = this.makeEffects();
    this.change = effects.change;
    this.awaitEffect = effects.awaitEffect;
    this.reads = this.makeReadDependencies();
    this.clusterBootstrap = this.makeClusterBootstrap();
    this.keyMaintenance = this.makeKeyMaintenance();
    this.registerHandlers();
  }

  /** Serves: recovers the votes, listens, connects to the voters and starts the loops. */
  async start(): Promise<Result<void>> {
    await this.votes.start(this.options.storedVotes, this.timeLimits.requestTimeoutMs);
    const [talliesError] = errorOrValue((await this.tallies?.start()) ?? Right(undefined));
    if (talliesError) return Left(talliesError);
    const [error, listener] = errorOrValue(await this.listen());
    if (error) return Left(error);
    this.listener = listener;
    this.connections.refresh();
    void this.maintain();
    void this.zoneCuts.run();
    void this.announceToSeeds();
    this.tallies?.run();
    return Right(undefined);
  }

  addWaker(): Waker {
    return this.wakers.add();
  }

  voters(): VoterSet | undefined {
    const learned = this.store.registers.get(CONTROL_KEYS.voters)?.learned?.value;
    return ((learned ?? this.store.bootstrapVoterSet()) as VoterSet | undefined) ?? undefined;
  }

  isPreferredOwner(key: string): boolean {
    return rankByRendezvousHash(key, this.liveAddresses())[0] === this.settings.wire;
  }

  committedValue<T>(key: string): CommittedValue<T> | undefined {
    const learned = this.store.registers.get(key)?.learned;
    return learned && { place: learned, value: learned.value as T };
  }

  bootstrap(absent: readonly string[]): Promise<Result<VoterSet>> {
    return this.clusterBootstrap.bootstrap(absent);
  }

  readLinearizable(key: string): Promise<Result<VersionedValue | undefined>> {
    return readLinearizable(this.reads, key);
  }

  wasLearnedLive(key: string): boolean {
    return this.learnedLive.has(key);
  }

  requestVoter(
    voter: Voter,
    type: string,
    body: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown>> {
    if (!this.liveness.isSelf(voter)) return this.connections.request(voter, type, body, timeoutMs);
    const reply = this.dispatchLocally(type, body);
    return withTimeout(this.ports.clock, timeoutMs, type, this.name, reply);
  }

  drain(): Promise<unknown> {
    return leaveGracefully({
      clock: this.ports.clock,
      logger: this.ports.logger,
      timeLimits: this.timeLimits,
      store: this.store,
      self: this.self,
      liveness: this.liveness,
      voters: this.voters.bind(this),
      candidates: this.candidates.bind(this),
      requestVoter: this.requestVoterBriefly.bind(this),
      wake: this.wakers.wake,
    });
  }

  async stop(): Promise<void> {
    this.stopped = true;
    this.wakers.wake();
    this.tallies?.stop();
    this.connections.pool.stop();
    await this.listener!.close();
  }

  isStopped(): boolean {
    return this.stopped;
  }

  cutOffZones(): string[] {
    return this.zoneCuts.cutOffZones();
  }

  private makeVoterTransport(): VoterTransport {
    return {
      ownerId: this.ownerId,
      timeoutMs: this.timeLimits.requestTimeoutMs,
      voters: this.voters.bind(this),
      request: this.requestVoter.bind(this),
      onLearned: this.onLearned.bind(this),
      learnLocally: this.learnLocally.bind(this),
    };
  }

  private makeLiveness(): VoterLiveness {
    return new VoterLivenessView({
      clock: this.ports.clock,
      self: this.self,
      zone: this.settings.zone,
      voters: this.voters.bind(this),
      channelTo: this.channelTo.bind(this),
      announcedLeave: this.hasAnnouncedLeave.bind(this),
    });
  }

  private makeMembershipRequests(): MembershipRequests {
    return new MembershipRequests(
      this.ports,
      this.timeLimits,
      this.voters.bind(this),
      this.onMembershipRequest.bind(this),
      this.isSelfLeaving,
    );
  }

  private makeConnections(): VoterConnections {
    return new VoterConnections({
      ports: this.ports,
      settings: this.settings,
      timeLimits: this.timeLimits,
      hello: this.hello,
      handlers: this.handlers,
      voters: this.voters.bind(this),
      candidates: this.candidates.bind(this),
      onUp: this.onPeerUp.bind(this),
      onDown: this.onPeerDown.bind(this),
    });
  }

  private makeZoneCutDetector(): ZoneCutDetector {
    return new ZoneCutDetector({
      ports: this.ports,
      ownZone: this.settings.zone,
      channels: this.allChannels.bind(this),
      silenceMs: this.timeLimits.zoneSilenceMs,
      onChange: this.onZoneCutChange.bind(this),
      isStopped: this.isStopped.bind(this),
    });
  }

  private makeTallies(): Tallies {
    return new Tallies({
      ports: this.ports,
      settings: this.settings,
      timeLimits: this.timeLimits,
      diskId: this.store.diskId,
      runId: this.runId,
      openChannels: this.connections.pool.openChannels,
      controllerCount: this.controllerCount.bind(this),
      otherVoters: this.otherVoters.bind(this),
      isCutOff: this.zoneCuts.isCutOff.bind(this.zoneCuts),
      isStopped: this.isStopped.bind(this),
    });
  }

  private makeCoordinator(): ChangeCoordinator {
    return makeChangeCoordinator({
      clock: this.ports.clock,
      random: this.ports.random,
      settings: this.settings,
      timeLimits: this.timeLimits,
      keyOwner: this.keyOwner,
      parser: this.options.parser,
      voters: this.voters.bind(this),
      liveAddresses: this.liveAddresses,
      channelTo: this.channelTo.bind(this),
      dispatchLocally: this.dispatchLocally.bind(this),
      readIfStable: this.readIfStable.bind(this),
    });
  }

  private makeEffects(): ChangeEffects {
    const observeEffectMs = this.metrics.times(
      'plumhollow_controller_change_to_effect_ms',
      "from a change's arrival at its owner to its effect everywhere",
      this.settings.changeBoundMs,
    );
    return makeChangeEffects({
      clock: this.ports.clock,
      settings: this.settings,
      timeLimits: this.timeLimits,
      voters: this.voters.bind(this),
      requestVoter: this.requestVoter.bind(this),
      commit: this.coordinator.commit,
      observeEffectMs,
    });
  }

  private makeReadDependencies(): ReadDependencies {
    return {
      store: this.store,
      keyOwner: this.keyOwner,
      voters: this.voters.bind(this),
      requestVoter: this.requestVoterBriefly.bind(this),
      requestOwner: this.coordinator.requestOwner,
      learnLocally: this.learnLocally.bind(this),
    };
  }

  private makeClusterBootstrap(): ClusterBootstrap {
    return new ClusterBootstrap({
      settings: this.settings,
      timeLimits: this.timeLimits,
      clock: this.ports.clock,
      store: this.store,
      voters: this.voters.bind(this),
      identify: this.identify.bind(this),
      requestVoter: this.requestVoterBriefly.bind(this),
      commitBootstrap: this.commitBootstrap.bind(this),
    });
  }

  private makeKeyMaintenance(): KeyMaintenance {
    const { parser } = this.options;
    const configurationKey = parser ? CONTROL_KEYS.deployment : CONTROL_KEYS.intents;
    return makeKeyMaintenance({
      selfAddress: this.settings.wire,
      alwaysOwnedKeys: [CONTROL_KEYS.engines, configurationKey],
      keyKeptWithoutQuorum: parser ? undefined : CONTROL_KEYS.engines,
      store: this.store,
      keyOwner: this.keyOwner,
      timeLimits: this.timeLimits,
      connections: this.connections.pool,
      liveAddresses: this.liveAddresses,
      hasQuorum: this.hasQuorum,
      committedValues: this.committedValues.bind(this),
      learn: this.learnInTime.bind(this),
      onCaughtUp: this.onCaughtUp.bind(this),
    });
  }

  private makePeerHandlers(): PeerHandlers {
    return new PeerHandlers({
      ownerId: this.ownerId,
      store: this.store,
      mayBootstrap: this.settings.bootstrap,
      voters: this.voters.bind(this),
      changeAsOwner: this.coordinator.changeAsOwner,
      isInProgress: this.coordinator.isInProgress,
      committedValues: this.committedValues.bind(this),
      onCoreHint: this.noteCoreHint.bind(this),
      isUp: this.isUp,
      wake: this.wakers.wake,
    });
  }

  /** Registers what handles messages; compressed requests are dispatched to the same list. */
  private registerHandlers(): void {
    this.handlers.push(
      new HelloHandlers(this.hello),
      this.acceptor,
      this.leases,
      this.votes,
      this.membershipRequests,
      this.makePeerHandlers(),
      new ReadHandlers(this.reads),
      new ReplicaHandlers(this.store),
    );
    if (this.tallies) this.handlers.push(this.tallies);
    this.handlers.push(new CompressedRequestHandlers(this.handlers));
  }

  private listen(): Promise<Result<Listener>> {
    return acceptConnections({
      ports: this.ports,
      address: this.settings.wire,
      handlers: this.handlers,
      channels: this.acceptedChannels,
      idleTimeoutMs: this.timeLimits.idleChannelTimeoutMs,
      isStopped: this.isStopped.bind(this),
    });
  }

  private announceToSeeds(): Promise<void> {
    return announceToSeeds({
      ports: this.ports,
      settings: this.settings,
      timeLimits: this.timeLimits,
      hello: this.hello,
      handlers: this.handlers,
      connections: this.connections.pool,
      voters: this.voters.bind(this),
      hasQuorum: this.hasQuorum,
      committedValues: this.committedValues.bind(this),
      learn: this.learnInTime.bind(this),
      onCaughtUp: this.onCaughtUp.bind(this),
      isStopped: this.isStopped.bind(this),
    });
  }

  /** Until it is stopped: catches up, bootstraps where no voter set is known, and acquires the keys of this node. */
  private async maintain(): Promise<void> {
    const waker = this.addWaker();
    const noteQuorum = makeQuorumLog(this.ports.logger, this.ports.clock, this.settings.wire);
    while (!this.stopped) {
      noteQuorum(this.hasQuorum());
      this.keyMaintenance.retryFailedDisk();
      await this.keyMaintenance.catchUp();
      if (!this.voters()) await this.clusterBootstrap.bootstrapIfReady();
      if (this.voters()) await this.clusterBootstrap.announce();
      this.connections.refresh();
      if (this.voters()) await this.keyMaintenance.acquireAssignedKeys();
      await waitForNextRound(waker, this.timeLimits, this.ports.random);
    }
  }

  private onLearned(learned: VersionedValue, before?: VersionedValue): void {
    const isOwn = learned.by === this.ownerId;
    this.learnedLive.add(learned.key);
    if (!learned.key.startsWith(CONTROL_KEYS.duty)) this.leases.publish(learned, isOwn);
    if (!isOwn) this.keyOwner.noteNewerEpoch(learned.key, learned.epoch);
    logChange(this.ports.logger, learned, before);
    if (learned.key !== CONTROL_KEYS.voters) return;
    this.liveness.noteVoters(learned.value as VoterSet);
    this.connections.refresh();
    this.wakers.wake();
  }

  private onCaughtUp(key: string): void {
    this.learnedLive.delete(key);
  }

  private onPeerUp(channel: PeerChannel): void {
    this.liveness.noteUp(channel.peer);
    this.tallies?.noteUp(channel);
    this.wakers.wake();
  }

  private onPeerDown(channel: PeerChannel): void {
    this.tallies?.noteDown(channel);
    this.wakers.wake();
  }

  private onMembershipRequest(): void {
    this.connections.refresh();
    this.wakers.wake();
  }

  private noteCoreHint(addresses: string[]): void {
    this.connections.noteHints(addresses);
  }

  private hasAnnouncedLeave(disk: string, upSince: number | undefined): boolean {
    return this.membershipRequests.isLeaving(disk, upSince);
  }

  /** How many controllers vote, or, before that is known, found. */
  private controllerCount(): number {
    const voters = this.voters();
    return voters ? voters.now.length : this.settings.founders.length;
  }

  /** Where the other voters are, or, before they are known, the founders. */
  private otherVoters(): CopyHolder[] {
    const voters = this.voters();
    if (!voters) return this.settings.founders.filter(this.isOther.bind(this)).map(placeOfFounder);
    const places: CopyHolder[] = [];
    for (const voter of allVoters(voters))
      if (this.isOther(voter.at))
        places.push({ address: voter.at, zone: this.zoneOf(voter) ?? '' });
    return places;
  }

  private isOther(address: string): boolean {
    return address !== this.settings.wire;
  }

  /** The connections that are open, made here or accepted. */
  private *allChannels(): Generator<PeerChannel> {
    yield* this.connections.pool.openChannels();
    yield* this.acceptedChannels;
  }

  private onZoneCutChange(): void {
    this.tallies?.noteZoneCutChange();
  }

  private candidates(): Voter[] {
    return this.membershipRequests.candidates();
  }

  private channelTo(address: string): PeerChannel | undefined {
    return this.connections.channelTo(address);
  }

  private identify(address: string): Promise<Result<IdentifyReply>> {
    return this.connections.identify(address);
  }

  private requestVoterBriefly(voter: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    return this.requestVoter(voter, type, body, this.timeLimits.requestTimeoutMs);
  }

  private dispatchLocally(type: string, body: unknown): HandlerResult {
    return dispatch(this.handlers, type, body, undefined, this.name);
  }

  private learnLocally(change: VersionedValue): Promise<unknown> {
    return this.acceptor.learn({ change });
  }

  private learnInTime(message: { change: VersionedValue }): Promise<Result<unknown>> {
    const learned = this.acceptor.learn(message);
    const { requestTimeoutMs } = this.timeLimits;
    return withTimeout(this.ports.clock, requestTimeoutMs, 'learn', this.name, learned);
  }

  private readIfStable(key: string): Promise<Result<VersionedValue | undefined>> {
    return readIfStable(this.reads, key);
  }

  private committedValues(): VersionedValue[] {
    return learnedValues(this.store.registers);
  }

  /** Commits the founders as the voter set where this node should own that key; one that is committed stays. */
  private async commitBootstrap(founders: VoterSet): Promise<void> {
    function keepCommitted(committed: VersionedValue | undefined): Result<unknown> {
      return Right(committed?.value ?? founders);
    }
    if (this.isPreferredOwner(CONTROL_KEYS.voters))
      await this.keyOwner.change(CONTROL_KEYS.voters, keepCommitted);
  }
}

function placeOfFounder(address: string): CopyHolder {
  return { address, zone: '' };
}
