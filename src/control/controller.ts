import { Left, Right } from 'purify-ts';
import { dispatch, HandlerResult } from '../shared/transport/message-handlers';
import { errorOrValue, Result } from '../shared/errors/errors';
import { rankByRendezvousHash } from '../shared/util/hashing';
import { helloOf } from '../shared/transport/hello';
import { makeMetrics, Metrics, timedDisk } from '../shared/observability/metrics';
import { CompressedRequestHandlers } from '../shared/transport/compressed-requests';
import { Ports } from '../shared/ports/ports';
import { timeLimitsOf } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import {
  PeerChannel,
  HelloHandlers,
  makeConnectionPool,
  notConnected,
} from '../shared/transport/connections';
import { withTimeout } from '../shared/concurrency/timeout';
import { makeWakerGroup } from '../shared/concurrency/waker';
import { allVoters, addressOf, Voter, VoterSet } from '../shared/state/voter-set';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { VersionedValue } from '../shared/state/versions';
import { logChange, makeQuorumLog } from './change-log';
import { acceptConnections } from './connection-acceptor';
import { learnedValues } from './storage/register-state';
import { requestOtherVoter } from './consensus/voter-request';
import { makeChangeCoordinator } from './configuration/change-coordinator';
import { Controller } from './controller-interface';
import { makeChangeEffects } from './configuration/change-effects';
import { DocumentParser } from './configuration/deployment-change';
import { makeBootstrap } from './membership/bootstrap';
import { makeKeyMaintenance } from './consensus/key-maintenance';
import { leaveGracefully } from './membership/graceful-leave';
import { LeaseRegistry } from './leases/lease-registry';
import { makeVoterLiveness } from './membership/voter-liveness';
import { PeerHandlers } from './peer-handlers';
import {
  ReadHandlers,
  ReadDependencies,
  readLinearizable,
  readIfStable,
} from './consensus/linearizable-read';
import { Acceptor } from './consensus/acceptor';
import { VoterTransport } from './consensus/voter-transport';
import { makeKeyOwner } from './consensus/key-owner';
import { ReplicaHandlers } from './consensus/replica-sync';
import { MembershipRequests } from './membership/membership-requests';
import { announceToSeeds } from './membership/seed-announcer';
import { openControlStore, ControlStore } from './storage/control-store';
import { StoredVotes, readStoredVotes } from './storage/vote-files';
import { IdempotencyVotes } from './storage/idempotency-votes';

export type { Controller } from './controller-interface';

/** Starts a controller: its disk, its votes, its leases, its connections. */
export async function startController(
  given: Ports,
  settings: Settings,
  reader?: DocumentParser,
): Promise<Result<Controller>> {
  const metrics = makeMetrics();
  const synced = metrics.times(
    'plumhollow_controller_sync_ms',
    'time of a synced write',
    settings.changeBoundMs,
  );
  const ports: Ports = { ...given, disk: timedDisk(given.disk, given.clock, synced) };
  const [f, kept] = errorOrValue(await readStoredVotes(ports));
  if (f) return Left(f);
  const [g, slots] = errorOrValue(
    await openControlStore(ports, 1 << 20, kept, timeLimitsOf(settings).requestTimeoutMs),
  );
  return g ? Left(g) : runController(ports, settings, slots, kept, metrics, reader);
}

async function runController(
  ports: Ports,
  settings: Settings,
  slots: ControlStore,
  kept: StoredVotes,
  metrics: Metrics,
  reader?: DocumentParser,
): Promise<Result<Controller>> {
  const bounds = timeLimitsOf(settings);
  const hello = helloOf(settings, 'controller', slots.diskId);
  const heard = new Set<string>();
  const by = `${settings.name}.${ports.random.uuid().slice(0, 8)}`;
  const effectTook = metrics.times(
    'plumhollow_controller_change_to_effect_ms',
    "from a change's arrival at its owner to its effect everywhere",
    settings.changeBoundMs,
  );
  const { add: addWaker, wake } = makeWakerGroup(ports.clock);
  let hints: string[] = [];
  let stopped = false;

  function voters(): VoterSet | undefined {
    const known =
      slots.registers.get(CONTROL_KEYS.voters)?.learned?.value ?? slots.bootstrapVoterSet();
    return (known as VoterSet | undefined) ?? undefined;
  }

  function learned(n: VersionedValue, before?: VersionedValue): void {
    heard.add(n.key);
    if (!n.key.startsWith(CONTROL_KEYS.duty)) leases.publish(n, n.by === by);
    if (n.by !== by) owner.noteNewerEpoch(n.key, n.epoch);
    logChange(ports.logger, n, before);
    if (n.key !== CONTROL_KEYS.voters) return;
    membership.noteVoters(n.value as VoterSet);
    reachAll();
    wake();
  }

  function askVoter(
    v: Voter,
    type: string,
    body: unknown,
    within: number,
  ): Promise<Result<unknown>> {
    if (!membership.isSelf(v)) return requestOtherVoter(up(v.at), v, type, body, within);
    return withTimeout(ports.clock, within, type, settings.name, local(type, body));
  }

  function askShortly(v: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    return askVoter(v, type, body, bounds.requestTimeoutMs);
  }

  function local(type: string, body: unknown): HandlerResult {
    return dispatch(edges, type, body, undefined, settings.name);
  }

  function learnHere(n: VersionedValue): Promise<unknown> {
    return acceptor.learn({ change: n });
  }
  const reach: VoterTransport = {
    ownerId: by,
    timeoutMs: bounds.requestTimeoutMs,
    voters,
    request: askVoter,
    onLearned: learned,
    learnLocally: learnHere,
  };
  const acceptor = new Acceptor(slots, reach, ports);
  function learn(m: { change: VersionedValue }): Promise<Result<unknown>> {
    return withTimeout(
      ports.clock,
      bounds.requestTimeoutMs,
      'learn',
      settings.name,
      acceptor.learn(m),
    );
  }
  const leases = new LeaseRegistry(slots, ports, bounds, voters);
  const owner = makeKeyOwner(slots, reach);
  const votes = new IdempotencyVotes(slots, ports, voters, settings.onceKeepMs);
  await votes.start(kept, bounds.requestTimeoutMs);
  const self: Voter = { disk: slots.diskId, at: settings.wire };
  const membership = makeVoterLiveness({
    clock: ports.clock,
    self,
    voters,
    channelTo: up,
    announcedLeave: saidLeaving,
  });
  const {
    isUp,
    hasOtherDisk: isEmptied,
    isLeaving,
    liveAddresses: live,
    hasQuorum: hasMajority,
  } = membership;
  const roster = new MembershipRequests(ports, bounds, voters, joined, membership.isSelfLeaving);
  function saidLeaving(disk: string, upSince: number | undefined): boolean {
    return roster.isLeaving(disk, upSince);
  }
  const changes = makeChangeCoordinator({
    clock: ports.clock,
    random: ports.random,
    settings,
    timeLimits: bounds,
    keyOwner: owner,
    parser: reader,
    voters,
    liveAddresses: live,
    channelTo: up,
    dispatchLocally: local,
    readIfStable: readSettledHere,
  });
  const peers = new PeerHandlers({
    ownerId: by,
    store: slots,
    mayBootstrap: settings.bootstrap,
    voters,
    changeAsOwner: changes.changeAsOwner,
    isInProgress: changes.isInProgress,
    committedValues: committed,
    onCoreHint: hinted,
    isUp,
    wake,
  });
  const { awaitEffect: effect, change } = makeChangeEffects({
    clock: ports.clock,
    settings,
    timeLimits: bounds,
    voters,
    requestVoter: askVoter,
    commit: changes.commit,
    observeEffectMs: effectTook,
  });
  const reads: ReadDependencies = {
    store: slots,
    keyOwner: owner,
    voters,
    requestVoter: askShortly,
    requestOwner: changes.requestOwner,
    learnLocally: learnHere,
  };
  const edges: object[] = [
    new HelloHandlers(hello),
    acceptor,
    leases,
    votes,
    roster,
    peers,
    new ReadHandlers(reads),
    new ReplicaHandlers(slots),
  ];
  edges.push(new CompressedRequestHandlers(edges));
  const helds = makeConnectionPool(ports, {
    hello,
    handlers: edges,
    timeoutMs: bounds.connectTimeoutMs,
    retryPauseMs: bounds.retryPauseMs,
    onUp,
    onDown: wake,
  });
  const founding = makeBootstrap({
    settings,
    timeLimits: bounds,
    clock: ports.clock,
    store: slots,
    voters,
    who,
    requestVoter: askShortly,
    commitBootstrap: commitFounding,
  });

  async function commitFounding(v: VoterSet): Promise<void> {
    function make(now: VersionedValue | undefined): Result<unknown> {
      return Right(now?.value ?? v);
    }
    if (chosen(CONTROL_KEYS.voters)) await owner.change(CONTROL_KEYS.voters, make);
  }

  function up(at: string): PeerChannel | undefined {
    return helds.channelTo(at);
  }

  function onUp(ex: PeerChannel): void {
    membership.noteUp(ex.peer);
    wake();
  }

  function joined(): void {
    reachAll();
    wake();
  }

  function hinted(ats: string[]): void {
    hints = ats;
    reachAll();
  }

  function chosen(key: string): boolean {
    return rankByRendezvousHash(key, live())[0] === settings.wire;
  }

  function readSettledHere(key: string): Promise<Result<VersionedValue | undefined>> {
    return readIfStable(reads, key);
  }

  function newest(key: string): Promise<Result<VersionedValue | undefined>> {
    return readLinearizable(reads, key);
  }

  function committed(): VersionedValue[] {
    return learnedValues(slots.registers);
  }
  function isOther(at: string): boolean {
    return at !== settings.wire;
  }

  /** Holds connections to the voters and to those that would be; to the founders and to where others said that the core is, while it knows no voters. */
  function reachAll(): void {
    const v = voters();
    const core = v
      ? [...allVoters(v), ...roster.candidates()].map(addressOf)
      : [...settings.founders, ...settings.seeds, ...hints];
    helds.setPeers(core.filter(isOther));
  }

  async function who(at: string): Promise<Result<unknown>> {
    return up(at)?.request('who', {}, bounds.requestTimeoutMs) ?? Left(notConnected('who', at));
  }
  const always = [CONTROL_KEYS.engines, reader ? CONTROL_KEYS.deployment : CONTROL_KEYS.intents];
  const keeper = makeKeyMaintenance({
    selfAddress: settings.wire,
    alwaysOwnedKeys: always,
    keyKeptWithoutQuorum: reader ? undefined : CONTROL_KEYS.engines,
    store: slots,
    keyOwner: owner,
    timeLimits: bounds,
    connections: helds,
    liveAddresses: live,
    hasQuorum: hasMajority,
    committedValues: committed,
    learn,
    onCaughtUp: forget,
  });

  function forget(key: string): void {
    heard.delete(key);
  }

  async function tend(): Promise<void> {
    const tending = addWaker();
    const noteMajority = makeQuorumLog(ports.logger, ports.clock, settings.wire);
    while (!stopped) {
      noteMajority(hasMajority());
      keeper.retryFailedDisk();
      await keeper.catchUp();
      if (!voters()) await founding.bootstrapIfReady();
      if (voters()) await founding.announce();
      reachAll();
      if (voters()) await keeper.acquireAssignedKeys();
      await tending.wait(
        bounds.leaseRenewalMs * (0.8 + 0.4 * ports.random.next()),
        bounds.retryPauseMs * 0.1,
      );
    }
  }

  const [g, listening] = errorOrValue(
    await acceptConnections({
      ports,
      address: settings.wire,
      handlers: edges,
      idleTimeoutMs: bounds.idleChannelTimeoutMs,
      isStopped: isStopped,
    }),
  );
  if (g) return Left(g);

  function value<T>(key: string): { place: VersionedValue; value: T } | undefined {
    const n = slots.registers.get(key)?.learned;
    return n && { place: n, value: n.value as T };
  }

  function heardLive(key: string): boolean {
    return heard.has(key);
  }

  function joiners(): Voter[] {
    return roster.candidates();
  }

  function leave(): Promise<unknown> {
    const { clock, logger: log } = ports;
    return leaveGracefully({
      clock,
      logger: log,
      timeLimits: bounds,
      store: slots,
      self,
      liveness: membership,
      voters,
      candidates: joiners,
      requestVoter: askShortly,
      wake,
    });
  }

  async function stop(): Promise<void> {
    stopped = true;
    wake();
    helds.stop();
    await listening!.close();
  }

  function isStopped(): boolean {
    return stopped;
  }

  reachAll();
  void tend();
  void announceToSeeds({
    ports,
    settings,
    timeLimits: bounds,
    hello,
    handlers: edges,
    connections: helds,
    voters,
    hasQuorum: hasMajority,
    committedValues: committed,
    learn,
    onCaughtUp: forget,
    isStopped: isStopped,
  });
  return Right({
    name: settings.name,
    ownerId: by,
    hello,
    settings,
    timeLimits: bounds,
    store: slots,
    leases,
    votes,
    keyOwner: owner,
    membershipRequests: roster,
    addWaker,
    metrics,
    handlers: edges,
    voters,
    liveAddresses: live,
    isUp,
    hasOtherDisk: isEmptied,
    isLeaving,
    isSelfLeaving: membership.isSelfLeaving,
    jointForMs: membership.jointForMs,
    isPreferredOwner: chosen,
    change,
    recommit: changes.recommit,
    bootstrap: founding.bootstrap,
    awaitEffect: effect,
    committedValue: value,
    readLinearizable: newest,
    wasLearnedLive: heardLive,
    hasQuorum: hasMajority,
    requestVoter: askVoter,
    drain: leave,
    stop,
    isStopped,
  });
}
