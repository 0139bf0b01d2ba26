import { Left, Right } from 'purify-ts';
import { dispatch, Handled } from '../shared/edge';
import { Fault, open, Outcome } from '../shared/errors';
import { rendezvous } from '../shared/lib';
import { appliedEntries } from '../shared/change-message';
import { makeMetrics, Metrics, timedDisk } from '../shared/metrics';
import { poll } from '../shared/poll';
import { Listening, Ports, Connection } from '../shared/ports';
import { Bounds, boundsOf } from '../shared/bounds';
import { Settings } from '../shared/settings';
import {
  askOnce,
  closeSilent,
  converse,
  Exchange,
  Hello,
  HelloEdge,
  holdAll,
  noConnection,
  WIRE_VERSION,
} from '../shared/connections';
import { withTimeout } from '../shared/timeout';
import { makeWaker, Waker } from '../shared/waker';
import { allVoters, isQuorum, KEYS, Numbered, Place, Voter, Voters } from '../shared/words';
import { Changed, makeChanges } from './changes';
import { DocumentReader } from './deployment';
import { makeFounding } from './founding';
import { makeKeeper } from './keep';
import { Leases } from './leases';
import { keyOf, Operation } from './operations';
import { ControlEdge } from './peers';
import { ReadEdge, ReadParts, readNewest } from './read';
import { Acceptor, makeOwner, Owner, Reach } from './register';
import { RosterEdge } from './roster';
import { openSlots, Slots } from './slots';
import { KeptVotes, readVotes, Votes } from './votes';

/** A running controller. */
export interface Controller {
  name: string;
  by: string;
  hello: Hello;
  settings: Settings;
  bounds: Bounds;
  slots: Slots;
  leases: Leases;
  votes: Votes;
  owner: Owner;
  roster: RosterEdge;
  /** Makes a waker that wakes when a peer has come or gone, or the voters have changed. */
  addWaker(): Waker;
  metrics: Metrics;
  edges: object[];
  voters(): Voters | undefined;
  live(): string[];
  isUp(x: Voter): boolean;
  /** Whether a voter's machine is there with another disk, so that its own is gone. */
  isEmptied(x: Voter): boolean;
  isLeaving(x: Voter): boolean;
  chosen(key: string): boolean;
  change(op: Operation): Promise<Outcome<Changed>>;
  found(without: string[]): Promise<Outcome<Voters>>;
  effect(key: string, p: Place, within: number): Promise<boolean>;
  value<T>(key: string): { place: Numbered; value: T } | undefined;
  /** What is committed of a key, never older than what was acknowledged before the call. */
  newest(key: string): Promise<Outcome<Numbered | undefined>>;
  heardLive(key: string): boolean;
  hasMajority(): boolean;
  askVoter(v: Voter, type: string, body: unknown, within: number): Promise<Outcome<unknown>>;
  leave(): Promise<void>;
  stop(): Promise<void>;
  stopped(): boolean;
}

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
  const hello: Hello = {
    version: WIRE_VERSION,
    name: settings.name,
    role: 'controller',
    at: settings.wire,
    zone: settings.zone,
    disk: slots.disk,
  };
  const heard = new Set<string>();
  const by = `${settings.name}.${ports.dice.id().slice(0, 8)}`;
  const effectTook = metrics.times(
    'plumhollow_controller_change_to_effect_ms',
    "from a change's arrival at its owner to its effect everywhere",
    settings.changeBoundMs,
  );
  const taking = new Set<Exchange>();
  const upSince = new Map<string, number>();
  const wakers: Waker[] = [];
  let hints: string[] = [];
  let leaving = false;
  let stopped = false;

  function addWaker(): Waker {
    wakers.push(makeWaker(ports.clock));
    return wakers[wakers.length - 1];
  }

  function wake(): void {
    for (const w of wakers) w.wake();
  }

  function voters(): Voters | undefined {
    return (
      ((slots.cells.get(KEYS.voters)?.learned?.value ?? slots.founding()) as Voters | undefined) ??
      undefined
    );
  }

  function learned(n: Numbered): void {
    heard.add(n.key);
    if (!n.key.startsWith(KEYS.duty)) leases.push(n, n.by === by);
    if (n.by !== by) owner.passed(n.key, n.epoch);
    if (n.key !== KEYS.voters) return;
    reachAll();
    wake();
  }

  function isSelf(v: Voter): boolean {
    return v.disk === slots.disk;
  }

  async function askVoter(
    v: Voter,
    type: string,
    body: unknown,
    within: number,
  ): Promise<Outcome<unknown>> {
    if (isSelf(v)) return withTimeout(ports.clock, within, type, settings.name, local(type, body));
    const ex = helds.up(v.at);
    return ex ? ex.ask(type, body, within) : Left(noConnection(type, v.at));
  }

  function askShortly(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>> {
    return askVoter(v, type, body, bounds.ask);
  }

  function local(type: string, body: unknown): Handled {
    return dispatch(edges, type, body, undefined, settings.name);
  }

  const reach: Reach = { by, within: bounds.ask, voters, ask: askVoter, learned, learnHere };
  function learnHere(n: Numbered): Promise<unknown> {
    return acceptor.learn({ change: n });
  }
  const acceptor = new Acceptor(slots, reach, ports);
  const leases = new Leases(slots, ports, bounds, voters);
  const owner = makeOwner(slots, reach);
  const votes = new Votes(slots, ports, voters, settings.onceKeepMs);
  await votes.begin(kept, bounds.ask);
  const roster = new RosterEdge(ports, bounds, voters, joined);
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
  });
  const peers = new ControlEdge({
    by,
    slots,
    mayFound: settings.bootstrap,
    voters,
    changeHere: changes.here,
    committed,
    hinted,
    isUp,
    wake,
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
  ];
  const helds = holdAll(ports, {
    hello,
    edges,
    within: bounds.dial,
    pause: bounds.pause,
    onUp,
    onDown: wake,
  });
  const founding = makeFounding({ settings, bounds, clock: ports.clock, slots, voters, who });

  function up(at: string): Exchange | undefined {
    return helds.up(at);
  }

  function onUp(ex: Exchange): void {
    upSince.set(ex.peer, ports.clock.now());
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

  function live(): string[] {
    const v = voters();
    if (!v) return [];
    return allVoters(v).filter(isHere).map(atOf);
  }

  function isHere(x: Voter): boolean {
    return isUp(x) && !isLeaving(x);
  }

  function isLeaving(x: Voter): boolean {
    return isSelf(x) ? leaving : roster.isLeaving(x.disk, upSince.get(x.at));
  }

  function isEmptied(x: Voter): boolean {
    const disk = helds.up(x.at)?.hello?.disk;
    return disk !== undefined && disk !== x.disk;
  }

  /** Whether a voter is up with its own disk; an emptied one at its address is not that voter. */
  function isUp(x: Voter): boolean {
    if (isSelf(x)) return true;
    const ex = helds.up(x.at);
    return ex !== undefined && (ex.hello?.disk ?? x.disk) === x.disk;
  }

  function chosen(key: string): boolean {
    return rendezvous(key, live())[0] === settings.wire;
  }

  async function effect(key: string, p: Place, within: number): Promise<boolean> {
    const v = voters();
    if (!v) return false;
    function one(x: Voter): Promise<Outcome<unknown>> {
      return askVoter(
        x,
        'effect',
        { key, epoch: p.epoch, by: p.by, number: p.number, within },
        within * 1.1,
      );
    }
    return (await poll(v, one)).isRight();
  }

  async function change(op: Operation): Promise<Outcome<Changed>> {
    const began = ports.clock.now();
    const [f, r] = open(await changes.commit(op));
    if (f) return Left(f);
    const waits =
      settings.strict && op.kind !== 'engines' && op.kind !== 'duty' && op.kind !== 'voters';
    const inEffect = waits && (await effect(keyOf(op), r.place, bounds.effect));
    if (inEffect) effectTook(ports.clock.now() - began);
    return Right({ ...r, inEffect });
  }

  function newest(key: string): Promise<Outcome<Numbered | undefined>> {
    return readNewest(reads, key);
  }

  function committed(): Numbered[] {
    const out: Numbered[] = [];
    for (const c of slots.cells.values()) if (c.learned) out.push(c.learned);
    return out;
  }

  /** Holds connections to the voters and to those that would be; to the founders and to where others said that the core is, while it knows no voters. */
  function reachAll(): void {
    const v = voters();
    function other(at: string): boolean {
      return at !== settings.wire;
    }
    const core = v
      ? [...allVoters(v), ...roster.joiners()].map(atOf)
      : [...settings.founders, ...settings.seeds, ...hints];
    helds.want(core.filter(other));
  }

  function who(at: string): Promise<Outcome<unknown>> {
    const ex = helds.up(at);
    return ex
      ? ex.ask('who', {}, bounds.ask)
      : Promise.resolve(Left<Fault, unknown>(noConnection('who', at)));
  }

  async function spreadFounding(): Promise<void> {
    const v = slots.founding() as Voters | undefined;
    if (!v || slots.cells.get(KEYS.voters)?.learned) return;
    async function tell(x: Voter): Promise<void> {
      if (!isSelf(x)) await helds.up(x.at)?.ask('found', v, bounds.ask);
    }
    await Promise.all(v.now.map(tell));
    function make(now: Numbered | undefined): Outcome<unknown> {
      return Right(now?.value ?? v);
    }
    if (chosen(KEYS.voters)) await owner.change(KEYS.voters, make);
  }

  function learnInTime(m: { change: Numbered }): Promise<Outcome<unknown>> {
    return withTimeout(ports.clock, bounds.ask, 'learn', settings.name, acceptor.learn(m));
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
    learn: learnInTime,
    forget: heard.delete.bind(heard),
  });

  async function take(o: Outcome<unknown>): Promise<void> {
    const [f, list] = open(o);
    if (f) return;
    for (const n of list as Numbered[]) {
      await acceptor.learn({ change: n });
      heard.delete(n.key);
    }
  }

  /** Tells the seeds that are not of the core where it is: they are asked first, and may be machines that know of nobody. A node that has lost the core asks them. */
  async function tellSeeds(): Promise<void> {
    while (!stopped) {
      const v = voters();
      function isOther(at: string): boolean {
        return at !== settings.wire && !helds.up(at);
      }
      for (const at of settings.seeds.filter(isOther)) {
        if (v && !hasMajority())
          await take(
            await askOnce(
              ports,
              hello,
              edges,
              at,
              'missing',
              appliedEntries(committed()),
              bounds.dial,
            ),
          );
        else if (v && !allVoters(v).map(atOf).includes(at))
          await askOnce(ports, hello, edges, at, 'here', v, bounds.dial);
      }
      await ports.clock.sleep(bounds.lease * (0.8 + 0.4 * ports.dice.next()));
    }
  }

  async function tend(): Promise<void> {
    const tending = addWaker();
    while (!stopped) {
      keeper.tendDisk();
      await keeper.catchUp();
      if (!voters()) await founding.foundByItself();
      if (voters()) await spreadFounding();
      reachAll();
      if (voters()) await keeper.tendKeys();
      await tending.wait(bounds.renew * (0.8 + 0.4 * ports.dice.next()), bounds.pause * 0.1);
    }
  }

  const [g, listening] = open(await ports.wire.accept(settings.wire, taken));
  if (g) return Left(g);

  function taken(s: Connection): void {
    const ex = converse(ports, s, edges);
    taking.add(ex);
    void ex.done.then(over);
    function over(): void {
      taking.delete(ex);
    }
  }

  function value<T>(key: string): { place: Numbered; value: T } | undefined {
    const n = slots.cells.get(key)?.learned;
    return n && { place: n, value: n.value as T };
  }

  function heardLive(key: string): boolean {
    return heard.has(key);
  }

  function hasMajority(): boolean {
    const v = voters();
    const disks = new Set<string>();
    for (const x of v ? allVoters(v) : []) if (isUp(x)) disks.add(x.disk);
    return v !== undefined && isQuorum(v, disks);
  }

  /** Tells the other controllers that this one ends, so that they take its keys over at once. */
  async function leave(): Promise<void> {
    leaving = true;
    const v = voters();
    function tell(x: Voter): Promise<unknown> | undefined {
      return isSelf(x)
        ? undefined
        : helds.up(x.at)?.ask('core-leave', { disk: slots.disk, at: settings.wire }, bounds.dial);
    }
    if (v) await Promise.all(allVoters(v).map(tell));
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
  void tellSeeds();
  void closeSilent(ports, taking, bounds.silence, isStopped);
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
    chosen,
    change,
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

function atOf(x: { at: string }): string {
  return x.at;
}
