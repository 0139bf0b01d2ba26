import { Stream as Feed } from 'most';
import { Left } from 'purify-ts';
import { makeCatchUp } from './catch-up';
import { AppliedEntry, ChangeOffer, InlineChange, isAtLeast } from './change-message';
import { OperationError, errorOrValue, Result } from '../errors/errors';
import { applyMessages, FollowerHandlers } from './follower-handlers';
import { makeKeyJournal } from './key-journal';
import { makePushStream } from '../util/push-stream';
import { LeaseReply, makeLeaseRenewals } from './lease-renewal';
import { makeDrainingEngines } from './draining-engines';
import { makeMemberView } from './member-view';
import { pollVoters } from '../transport/quorum-poll';
import { Ports } from '../ports/ports';
import { TimeLimits } from '../settings/time-limits';
import { makeConnectionPool } from '../transport/connection-pool';
import { Hello } from '../transport/hello';
import { notConnected, PeerChannel, requestOnce } from '../transport/peer-channel';
import { Backoff } from '../concurrency/backoff';
import { allVoters, addressOf, isQuorum, Voter, VoterSet } from '../state/voter-set';
import { compareVersions, VersionedValue, Version } from '../state/versions';
import { Engine } from '../state/engines';
import { CONTROL_KEYS } from '../state/control-keys';
import { Member } from '../state/members';

/** A node's view of the control state, kept up by news and leases. */
export interface Follower {
  hasLease: () => boolean;
  value: <T>(key: string) => { place: Version; value: T } | undefined;
  keys: (prefix: string) => string[];
  members: (role: string) => Member[];
  voters: () => VoterSet | undefined;
  coreAddresses: () => string[];
  appliedValues: () => VersionedValue[];
  applyAll: (list: VersionedValue[]) => boolean;
  changes: Feed<VersionedValue>;
  isDraining: (id: string) => boolean;
  drainingNotices: Feed<string[]>;
  memberChanges: Feed<Member[]>;
  notifyCore: (type: string, body: unknown) => void;
  askVoters: <T>(
    type: string,
    body: unknown,
    yes: (r: T, v: Voter) => boolean,
  ) => Promise<{ ok: boolean; got: T[] }>;
  releaseLeases: () => Promise<void>;
  stop: () => void;
}

/** Follows the core: finds it from the seeds, renews a lease at each controller, applies news. */
export function followCore(
  ports: Ports,
  bounds: TimeLimits,
  hello: Hello,
  member: Member,
  seeds: string[],
  edges: object[],
): Follower {
  const state = new Map<string, VersionedValue>();
  const applied = makeKeyJournal();
  const refused = new Map<string, number>();
  const changes = makePushStream<VersionedValue>();
  const membership = makePushStream<Member[]>();
  const advice = makePushStream<string[]>();
  const view = makeMemberView(ports.clock.now, membership.push);
  const leavingAdvice = makeDrainingEngines(ports.clock.now, bounds.drainingNoticeTtlMs);
  let founded: VoterSet | undefined;
  let stopped = false;

  function voters(): VoterSet | undefined {
    return (state.get(CONTROL_KEYS.voters)?.value as VoterSet | undefined) ?? founded;
  }

  function core(): string[] {
    const v = voters();
    return v ? allVoters(v).map(addressOf) : [];
  }

  function take(list: VersionedValue[]): boolean {
    let any = false;
    for (const n of list) {
      const have = state.get(n.key);
      if (have && compareVersions(n, have) <= 0) continue;
      state.set(n.key, n);
      applied.add(n.key);
      if (n.key === CONTROL_KEYS.engines) leavingAdvice.noteCommittedList(n.value as Engine[]);
      any = true;
      changes.push(n);
    }
    if (any) reach();
    return any;
  }

  function advised(ids: string[]): void {
    leavingAdvice.markDraining(ids);
    advice.push(ids);
  }

  function who(): unknown {
    return { voters: voters(), core: core() };
  }

  function held(key: string): VersionedValue | undefined {
    return state.get(key);
  }

  function exchanges(): PeerChannel[] {
    return helds.openChannels();
  }

  /** Fetches what a controller offers, and has the controllers know soon that it is applied. */
  function fetchOffer(offer: ChangeOffer, from: PeerChannel): void {
    void catchUp.acceptOffer(from, offer).then(tell);
    function tell(): void {
      if (isAtLeast(state.get(offer.key), offer)) renewals.wake();
    }
  }

  async function applyChanges(messages: InlineChange[]): Promise<string[]> {
    return applyMessages({ apply: take, appliedVersion: held }, messages).lacking.map(keyOf);
  }

  function keyOf(entry: AppliedEntry): string {
    return entry[0];
  }

  edges.push(
    new FollowerHandlers({
      apply: take,
      appliedVersion: held,
      fetchOffer,
      coreLocation: who,
      onCoreFound: told,
      onEnginesDraining: advised,
    }),
  );
  const catchUp = makeCatchUp({
    appliedVersion: held,
    apply: applyChanges,
    openChannels: exchanges,
    timeoutMs: bounds.requestTimeoutMs,
  });
  const renewals = makeLeaseRenewals({
    ports,
    bounds,
    member,
    state,
    applied,
    catchUp,
    applyAll: take,
    onGranted: grant,
    onVoterSet: votersTold,
    isStopped: isStopped,
  });
  const helds = makeConnectionPool(ports, {
    hello,
    handlers: edges,
    timeoutMs: bounds.connectTimeoutMs,
    retryPauseMs: bounds.retryPauseMs,
    onUp,
    onConnectFailed: onRefused,
  });

  function live(): boolean {
    const v = voters();
    if (!v) return false;
    const now = ports.clock.now();
    const good = new Set<string>();
    const dead = new Set<string>();
    for (const x of allVoters(v)) {
      if (view.expiryOf(x.disk) > now) good.add(x.disk);
      if ((refused.get(x.at) ?? 0) > now) dead.add(x.disk);
    }
    return isQuorum(v, good) || dead.size === allVoters(v).length;
  }

  function onUp(ex: PeerChannel): void {
    void renewals.renew(ex);
  }

  function grant(answer: LeaseReply, ex: PeerChannel, sent: number): void {
    refused.delete(ex.peer);
    view.grant(answer.disk, sent + bounds.leaseMs, answer);
    reach();
  }

  function votersTold(told: VoterSet): void {
    founded = told;
  }

  function isStopped(): boolean {
    return stopped;
  }

  function onRefused(f: OperationError): void {
    if (f.code === 'ECONNREFUSED' && live())
      refused.set(f.peer, ports.clock.now() + bounds.leaseMs - bounds.connectTimeoutMs);
  }

  function reach(): void {
    const want = core();
    if (want.length > 0) helds.setPeers(want);
  }

  /** Asks all seeds side by side, at first soon again: after a loss of power they come up one by one. */
  async function findCore(): Promise<void> {
    const asking = new Set<string>();
    async function one(at: string): Promise<void> {
      asking.add(at);
      await askSeed(at);
      asking.delete(at);
    }
    const backoff = new Backoff(ports, bounds.retryPauseMs);
    while (!stopped && core().length === 0) {
      for (const at of seeds) if (!asking.has(at)) void one(at);
      await backoff.wait();
    }
  }

  /** Asks the seeds again where no controller has been here for the contact bound: all that were known may have been exchanged. */
  async function findCoreAnew(): Promise<void> {
    function isUp(at: string): boolean {
      return helds.channelTo(at) !== undefined;
    }
    let since = ports.clock.now();
    while (!stopped) {
      await ports.clock.sleep(bounds.leaseMs);
      if (core().length === 0 || helds.peerAddresses().some(isUp)) since = ports.clock.now();
      else if (ports.clock.now() - since > bounds.idleChannelTimeoutMs)
        await Promise.all(seeds.map(askSeed));
    }
  }

  async function askSeed(at: string): Promise<void> {
    const [f, w] = errorOrValue(
      await requestOnce(ports, hello, edges, at, 'who', {}, bounds.connectTimeoutMs),
    );
    if (f) return;
    const { voters: v, stands } = w as { voters?: VoterSet; stands?: VersionedValue };
    told(v);
    if (stands) take([stands]);
  }

  function told(v: VoterSet | undefined): void {
    if (!v) return;
    founded = founded ?? v;
    reach();
  }

  async function coreAsk(type: string, body: unknown): Promise<unknown[]> {
    const out: Promise<unknown>[] = [];
    for (const at of helds.peerAddresses())
      out.push(
        helds.channelTo(at)?.request(type, body, bounds.requestTimeoutMs) ??
          Promise.resolve(undefined),
      );
    return Promise.all(out);
  }

  function coreTell(type: string, body: unknown): void {
    for (const at of helds.peerAddresses()) helds.channelTo(at)?.notify(type, body);
  }

  async function askVoters<T>(
    type: string,
    body: unknown,
    yes: (r: T, v: Voter) => boolean,
  ): Promise<{ ok: boolean; got: T[] }> {
    const v = voters();
    if (!v) return { ok: false, got: [] };
    const got: T[] = [];
    async function one(x: Voter): Promise<Result<T>> {
      const ex = helds.channelTo(x.at);
      const r = (
        ex ? await ex.request(type, body, bounds.requestTimeoutMs) : Left(notConnected(type, x.at))
      ) as Result<T>;
      const [, g] = errorOrValue(r);
      if (g !== undefined) got.push(g);
      return r;
    }
    const o = await pollVoters(v, one, yes);
    return { ok: o.isRight(), got };
  }

  async function leave(): Promise<void> {
    view.clear();
    await coreAsk('leave', { member, has: [] });
  }

  function value<T>(key: string): { place: Version; value: T } | undefined {
    const n = state.get(key);
    return n && { place: n, value: n.value as T };
  }

  function keys(prefix: string): string[] {
    function starts(k: string): boolean {
      return k.startsWith(prefix);
    }
    return [...state.keys()].filter(starts);
  }

  function places(): VersionedValue[] {
    return [...state.values()];
  }

  function stop(): void {
    stopped = true;
    helds.stop();
  }

  void findCore();
  void findCoreAnew();
  return {
    hasLease: live,
    value,
    keys,
    members: view.members,
    voters,
    coreAddresses: core,
    appliedValues: places,
    applyAll: take,
    changes: changes.stream,
    isDraining: leavingAdvice.isDraining,
    drainingNotices: advice.stream,
    memberChanges: membership.stream,
    notifyCore: coreTell,
    askVoters,
    releaseLeases: leave,
    stop,
  };
}
