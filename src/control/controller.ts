import { Left, Right } from 'purify-ts';
import { dispatch, Handled } from '../shared/transport/handlers';
import { open, Outcome } from '../shared/errors/errors';
import { rendezvous } from '../shared/util/lib';
import { helloOf } from '../shared/transport/hello';
import { makeMetrics, Metrics, timedDisk } from '../shared/observability/metrics';
import { PackedEdge } from '../shared/transport/compressed-requests';
import { Listening, Ports } from '../shared/ports/ports';
import { boundsOf } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { Exchange, HelloEdge, holdAll, noConnection } from '../shared/transport/connections';
import { withTimeout } from '../shared/concurrency/timeout';
import { makeWakers } from '../shared/concurrency/waker';
import { allVoters, atOf, KEYS, Numbered, Voter, Voters } from '../shared/state/words';
import { logChange, makeMajorityLog } from './change-log';
import { acceptConnections } from './connection-acceptor';
import { learnedOf } from './storage/register-state';
import { askOther } from './consensus/voter-request';
import { makeChanges } from './configuration/change-coordinator';
import { Controller } from './controller-interface';
import { makeEffects } from './configuration/change-effects';
import { DocumentReader } from './configuration/deployment-change';
import { makeFounding } from './membership/bootstrap';
import { makeKeeper } from './consensus/key-maintenance';
import { leaveVoters } from './membership/graceful-leave';
import { Leases } from './leases/lease-registry';
import { makeMembership } from './membership/voter-liveness';
import { ControlEdge } from './peer-handlers';
import { ReadEdge, ReadParts, readNewest, readSettled } from './consensus/linearizable-read';
import { Acceptor, Reach } from './consensus/acceptor';
import { makeOwner } from './consensus/key-owner';
import { ReplicaEdge } from './consensus/replica-sync';
import { RosterEdge } from './membership/voter-set-controller';
import { tellSeeds } from './membership/seed-announcer';
import { openSlots, Slots } from './storage/control-store';
import { KeptVotes, readVotes, Votes } from './storage/idempotency-votes';

export type { Controller } from './controller-interface';

/** Starts a controller: its disk, its votes, its leases, its connections. */
export async function startController(
  given: Ports,
  settings: Settings,
  reader?: DocumentReader,
): Promise<Outcome<Controller>> {
  const metrics = makeMetrics();
  const synced = metrics.times(
    'plumhollow_controller_sync_ms',
    'time of a synced write',
    settings.changeBoundMs,
  );
  const ports: Ports = { ...given, disk: timedDisk(given.disk, given.clock, synced) };
  const [f, kept] = open(await readVotes(ports));
  if (f) return Left(f);
  const [g, slots] = open(await openSlots(ports, 1 << 20, kept, boundsOf(settings).ask));
  return g ? Left(g) : runController(ports, settings, slots, kept, metrics, reader);
}

async function runController(
  ports: Ports,
  settings: Settings,
  slots: Slots,
  kept: KeptVotes,
  metrics: Metrics,
  reader?: DocumentReader,
): Promise<Outcome<Controller>> {
  const bounds = boundsOf(settings);
  const hello = helloOf(settings, 'controller', slots.disk);
  const heard = new Set<string>();
  const by = `${settings.name}.${ports.dice.id().slice(0, 8)}`;
  const effectTook = metrics.times(
    'plumhollow_controller_change_to_effect_ms',
    "from a change's arrival at its owner to its effect everywhere",
    settings.changeBoundMs,
  );
  const { add: addWaker, wake } = makeWakers(ports.clock);
  let hints: string[] = [];
  let stopped = false;

  function voters(): Voters | undefined {
    const known = slots.cells.get(KEYS.voters)?.learned?.value ?? slots.founding();
    return (known as Voters | undefined) ?? undefined;
  }

  function learned(n: Numbered, before?: Numbered): void {
    heard.add(n.key);
    if (!n.key.startsWith(KEYS.duty)) leases.push(n, n.by === by);
    if (n.by !== by) owner.passed(n.key, n.epoch);
    logChange(ports.log, n, before);
    if (n.key !== KEYS.voters) return;
    membership.noteVoters(n.value as Voters);
    reachAll();
    wake();
  }

  function askVoter(
    v: Voter,
    type: string,
    body: unknown,
    within: number,
  ): Promise<Outcome<unknown>> {
    if (!membership.isSelf(v)) return askOther(up(v.at), v, type, body, within);
    return withTimeout(ports.clock, within, type, settings.name, local(type, body));
  }

  function askShortly(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>> {
    return askVoter(v, type, body, bounds.ask);
  }

  function local(type: string, body: unknown): Handled {
    return dispatch(edges, type, body, undefined, settings.name);
  }

  function learnHere(n: Numbered): Promise<unknown> {
    return acceptor.learn({ change: n });
  }
  const reach: Reach = { by, within: bounds.ask, voters, ask: askVoter, learned, learnHere };
  const acceptor = new Acceptor(slots, reach, ports);
  function learn(m: { change: Numbered }): Promise<Outcome<unknown>> {
    return withTimeout(ports.clock, bounds.ask, 'learn', settings.name, acceptor.learn(m));
  }
  const leases = new Leases(slots, ports, bounds, voters);
  const owner = makeOwner(slots, reach);
  const votes = new Votes(slots, ports, voters, settings.onceKeepMs);
  await votes.begin(kept, bounds.ask);
  const self: Voter = { disk: slots.disk, at: settings.wire };
  const membership = makeMembership({ clock: ports.clock, self, voters, up, saidLeaving });
  const { isUp, isEmptied, isLeaving, live, hasMajority } = membership;
  const roster = new RosterEdge(ports, bounds, voters, joined, membership.leaving);
  function saidLeaving(disk: string, upSince: number | undefined): boolean {
    return roster.isLeaving(disk, upSince);
  }
  const changes = makeChanges({
    clock: ports.clock,
    dice: ports.dice,
    settings,
    bounds,
    owner,
    reader,
    voters,
    live,
    up,
    local,
    readSettled: readSettledHere,
  });
  const peers = new ControlEdge({
    by,
    slots,
    mayFound: settings.bootstrap,
    voters,
    changeHere: changes.here,
    isUnderWay: changes.isUnderWay,
    committed,
    hinted,
    isUp,
    wake,
  });
  const { effect, change } = makeEffects({
    clock: ports.clock,
    settings,
    bounds,
    voters,
    askVoter,
    commit: changes.commit,
    effectTook,
  });
  const reads: ReadParts = {
    slots,
    owner,
    voters,
    askVoter: askShortly,
    ofOwner: changes.ofOwner,
    learnHere,
  };
  const edges: object[] = [
    new HelloEdge(hello),
    acceptor,
    leases,
    votes,
    roster,
    peers,
    new ReadEdge(reads),
    new ReplicaEdge(slots),
  ];
  edges.push(new PackedEdge(edges));
  const helds = holdAll(ports, {
    hello,
    edges,
    within: bounds.dial,
    pause: bounds.pause,
    onUp,
    onDown: wake,
  });
  const founding = makeFounding({
    settings,
    bounds,
    clock: ports.clock,
    slots,
    voters,
    who,
    askVoter: askShortly,
    commitFounding,
  });

  async function commitFounding(v: Voters): Promise<void> {
    function make(now: Numbered | undefined): Outcome<unknown> {
      return Right(now?.value ?? v);
    }
    if (chosen(KEYS.voters)) await owner.change(KEYS.voters, make);
  }

  function up(at: string): Exchange | undefined {
    return helds.up(at);
  }

  function onUp(ex: Exchange): void {
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
    return rendezvous(key, live())[0] === settings.wire;
  }

  function readSettledHere(key: string): Promise<Outcome<Numbered | undefined>> {
    return readSettled(reads, key);
  }

  function newest(key: string): Promise<Outcome<Numbered | undefined>> {
    return readNewest(reads, key);
  }

  function committed(): Numbered[] {
    return learnedOf(slots.cells);
  }
  function isOther(at: string): boolean {
    return at !== settings.wire;
  }

  /** Holds connections to the voters and to those that would be; to the founders and to where others said that the core is, while it knows no voters. */
  function reachAll(): void {
    const v = voters();
    const core = v
      ? [...allVoters(v), ...roster.joiners()].map(atOf)
      : [...settings.founders, ...settings.seeds, ...hints];
    helds.want(core.filter(isOther));
  }

  async function who(at: string): Promise<Outcome<unknown>> {
    return up(at)?.ask('who', {}, bounds.ask) ?? Left(noConnection('who', at));
  }
  const always = [KEYS.engines, reader ? KEYS.deployment : KEYS.intents];
  const keeper = makeKeeper({
    wire: settings.wire,
    always,
    keptAlone: reader ? undefined : KEYS.engines,
    slots,
    owner,
    bounds,
    helds,
    live,
    hasMajority,
    committed,
    learn,
    forget,
  });

  function forget(key: string): void {
    heard.delete(key);
  }

  async function tend(): Promise<void> {
    const tending = addWaker();
    const noteMajority = makeMajorityLog(ports.log, ports.clock, settings.wire);
    while (!stopped) {
      noteMajority(hasMajority());
      keeper.tendDisk();
      await keeper.catchUp();
      if (!voters()) await founding.foundByItself();
      if (voters()) await founding.spread();
      reachAll();
      if (voters()) await keeper.tendKeys();
      await tending.wait(bounds.renew * (0.8 + 0.4 * ports.dice.next()), bounds.pause * 0.1);
    }
  }

  const [g, listening] = open(
    await acceptConnections({
      ports,
      at: settings.wire,
      edges,
      silence: bounds.silence,
      stopped: isStopped,
    }),
  );
  if (g) return Left(g);

  function value<T>(key: string): { place: Numbered; value: T } | undefined {
    const n = slots.cells.get(key)?.learned;
    return n && { place: n, value: n.value as T };
  }

  function heardLive(key: string): boolean {
    return heard.has(key);
  }

  function joiners(): Voter[] {
    return roster.joiners();
  }

  function leave(): Promise<unknown> {
    const { clock, log } = ports;
    return leaveVoters({
      clock,
      log,
      bounds,
      slots,
      self,
      membership,
      voters,
      joiners,
      askVoter: askShortly,
      wake,
    });
  }

  async function stop(): Promise<void> {
    stopped = true;
    wake();
    helds.stop();
    await (listening as Listening).close();
  }

  function isStopped(): boolean {
    return stopped;
  }

  reachAll();
  void tend();
  void tellSeeds({
    ports,
    settings,
    bounds,
    hello,
    edges,
    helds,
    voters,
    hasMajority,
    committed,
    learn,
    forget,
    stopped: isStopped,
  });
  return Right({
    name: settings.name,
    by,
    hello,
    settings,
    bounds,
    slots,
    leases,
    votes,
    owner,
    roster,
    addWaker,
    metrics,
    edges,
    voters,
    live,
    isUp,
    isEmptied,
    isLeaving,
    leaving: membership.leaving,
    jointForMs: membership.jointForMs,
    chosen,
    change,
    settle: changes.settle,
    found: founding.found,
    effect,
    value,
    newest,
    heardLive,
    hasMajority,
    askVoter,
    leave,
    stop,
    stopped: isStopped,
  });
}
