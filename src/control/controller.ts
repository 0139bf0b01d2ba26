import { Left, Right } from 'purify-ts';
import { dispatch, Handled, message } from '../shared/edge';
import { bad, Fault, open, Outcome } from '../shared/errors';
import { rendezvous } from '../shared/lib';
import { hasList } from '../shared/follow';
import { makeMetrics, Metrics, timedDisk } from '../shared/metrics';
import { poll } from '../shared/poll';
import { Listening, Ports, Connection } from '../shared/ports';
import { Bounds, boundsOf, Settings } from '../shared/settings';
import { askOnce, converse, Hello, HelloEdge, holdAll, noConnection, WIRE_VERSION } from '../shared/connections';
import { allVoters, comparePlaces, isQuorum, isVoter, KEYS, Numbered, Place, Voter, Voters } from '../shared/words';
import { DocumentReader, mayBeStale } from './deployment';
import { Leases } from './leases';
import { keyOf, makeValue, Operation } from './operations';
import { ReadEdge, ReadParts, readNewest } from './read';
import { Acceptor, makeOwner, Owner, Reach } from './register';
import { openSlots, Slots } from './slots';
import { KeptVotes, readVotes, Votes } from './votes';

/** How the disk of a founder is named that was not there. */
export const ABSENT = 'absent ';

/** What became of a change. */
export interface Changed {
  place: Place;
  inEffect: boolean;
  value: unknown;
}

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
  metrics: Metrics;
  edges: object[];
  voters(): Voters | undefined;
  live(): string[];
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
  peerHello(at: string, type: string): Promise<Outcome<unknown>>;
  stop(): Promise<void>;
  stopped(): boolean;
}

/** What one controller says to another beside votes. */
export class ControlEdge {
  constructor(private readonly c: ControlParts) {}

  /** Takes a change that this node, as the key's owner, is to make. */
  @message('change')
  async change(op: Operation): Handled {
    return this.c.changeHere(op);
  }

  /** Gives what is committed here and not yet at the asker, who tells its places. */
  @message('missing')
  async missing(has: [string, number, string, number][]): Handled {
    const places = new Map<string, Place>();
    for (const [key, epoch, by, number] of has) places.set(key, { epoch, by, number });
    function later(n: Numbered): boolean {
      return !reached(places.get(n.key), n);
    }
    return Right(this.c.committed().filter(later));
  }

  /** Tells whether this disk is blank, which one it is, and the voters. */
  @message('who')
  async who(): Handled {
    const v = this.c.voters();
    return Right({ disk: this.c.slots.disk, blank: v === undefined && !this.c.slots.spoilt, voters: v, core: v ? allVoters(v).map(atOf) : [] });
  }

  /** Agrees to a founding, once. */
  @message('found')
  async found(v: Voters): Handled {
    const now = this.c.voters();
    if (now) return JSON.stringify(this.c.slots.founding()) === JSON.stringify(v) ? Right(true) : bad('found', this.c.slots.disk, 'already of a fleet', 'refused', 'not-blank');
    const { disk, spoilt } = this.c.slots;
    if (spoilt) return bad('found', disk, 'this disk was of a fleet', 'refused', 'not-blank');
    function mine(x: Voter): boolean {
      return x.disk === disk;
    }
    if (!v.now.some(mine)) return bad('found', disk, 'not of these founders', 'refused', 'not-founder');
    const o = await this.c.slots.found(v);
    return o;
  }
}

function atOf(x: { at: string }): string {
  return x.at;
}

interface ControlParts {
  slots: Slots;
  acceptor: Acceptor;
  voters(): Voters | undefined;
  changeHere(op: Operation): Promise<Outcome<unknown>>;
  committed(): Numbered[];
}

/** Starts a controller: its disk, its votes, its leases, its connections. */
export async function startController(given: Ports, settings: Settings, reader?: DocumentReader): Promise<Outcome<Controller>> {
  const metrics = makeMetrics();
  const synced = metrics.times('plumhollow_controller_sync_ms', 'time of a synced write', settings.changeBoundMs);
  const ports: Ports = { ...given, disk: timedDisk(given.disk, given.clock, synced) };
  const [f, kept] = open(await readVotes(ports));
  if (f) return Left(f);
  const [g, slots] = open(await openSlots(ports, 1 << 20, kept));
  return g ? Left(g) : runController(ports, settings, slots, kept, metrics, reader);
}

async function runController(ports: Ports, settings: Settings, slots: Slots, kept: KeptVotes, metrics: Metrics, reader?: DocumentReader): Promise<Outcome<Controller>> {
  const bounds = boundsOf(settings);
  const hello: Hello = { version: WIRE_VERSION, name: settings.name, role: 'controller', at: settings.wire, zone: settings.zone, disk: slots.disk };
  const heard = new Set<string>();
  const by = `${settings.name}.${ports.dice.id().slice(0, 8)}`;
  const effectTook = metrics.times('plumhollow_controller_change_to_effect_ms', 'from a change\'s arrival at its owner to its effect everywhere', settings.changeBoundMs);
  let stopped = false;

  function voters(): Voters | undefined {
    return ((slots.cells.get(KEYS.voters)?.learned?.value ?? slots.founding()) as Voters | undefined) ?? undefined;
  }

  function learned(n: Numbered, before?: Numbered): void {
    heard.add(n.key);
    leases.push(n, n.by === by, before);
    if (n.key === KEYS.voters) reachAll();
  }

  function isSelf(v: Voter): boolean {
    return v.disk === slots.disk;
  }

  async function askVoter(v: Voter, type: string, body: unknown, within: number): Promise<Outcome<unknown>> {
    if (isSelf(v)) return local(type, body);
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
  await votes.begin(kept);
  const edges: object[] = [new HelloEdge(hello), acceptor, leases, votes, new ControlEdge({ slots, acceptor, voters, changeHere, committed })];
  const reads: ReadParts = { slots, owner, voters, askVoter: askShortly, ofOwner };
  edges.push(new ReadEdge(reads));
  const helds = holdAll(ports, { hello, edges, within: bounds.dial, pause: bounds.pause });

  function live(): string[] {
    const v = voters();
    if (!v) return [];
    return allVoters(v).filter(isUp).map(atOf);
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
      return askVoter(x, 'effect', { key, epoch: p.epoch, by: p.by, number: p.number, within }, within * 1.1);
    }
    return (await poll(v, one)).isRight();
  }

  async function changeHere(op: Operation): Promise<Outcome<Changed>> {
    const key = keyOf(op);
    const began = ports.clock.now();
    function make(now: Numbered | undefined): Outcome<unknown> {
      return makeValue(op, now, reader);
    }
    const first = await owner.change(key, make);
    if (mayBeStale(op, first)) owner.disown(key);
    const [g, c] = open(mayBeStale(op, first) ? await owner.change(key, make) : first);
    if (g) return Left(g);
    const waits = settings.strict && op.kind !== 'engines' && op.kind !== 'duty';
    const inEffect = waits && (await effect(key, c, bounds.effect));
    if (inEffect) effectTook(ports.clock.now() - began);
    return Right({ place: { epoch: c.epoch, by: c.by, number: c.number }, inEffect, value: c.value });
  }

  async function ofOwner(key: string, type: string, body: unknown): Promise<Outcome<unknown>> {
    const at = rendezvous(key, live())[0];
    if (at === undefined) return bad(type, settings.name, 'not founded', 'refused', 'not-founded');
    if (at === settings.wire) return local(type, body);
    const ex = helds.up(at);
    return ex ? ex.ask(type, body, settings.strict ? bounds.effect * 2 : bounds.ask) : Left(noConnection(type, at));
  }

  function change(op: Operation): Promise<Outcome<Changed>> {
    return ofOwner(keyOf(op), 'change', op) as Promise<Outcome<Changed>>;
  }

  function newest(key: string): Promise<Outcome<Numbered | undefined>> {
    return readNewest(reads, key);
  }

  function committed(): Numbered[] {
    const out: Numbered[] = [];
    for (const c of slots.cells.values()) if (c.learned) out.push(c.learned);
    return out;
  }

  function reachAll(): void {
    const v = voters();
    function other(at: string): boolean {
      return at !== settings.wire;
    }
    helds.want((v ? allVoters(v).map(atOf) : settings.founders).filter(other));
  }

  function peerHello(at: string, type: string): Promise<Outcome<unknown>> {
    const ex = helds.up(at);
    return ex ? ex.ask(type, {}, bounds.ask) : Promise.resolve(Left<Fault, unknown>(noConnection(type, at)));
  }

  async function found(without: string[]): Promise<Outcome<Voters>> {
    const stood = voters();
    if (stood) return isVoter(stood, slots.disk) ? Right(stood) : bad('found', slots.disk, 'a fleet is founded, and this disk is not of it', 'refused', 'not-blank');
    const founders = [...settings.founders].sort();
    function absent(at: string): boolean {
      return without.includes(at);
    }
    if (slots.spoilt) return bad('found', slots.disk, 'this disk was of a fleet', 'refused', 'not-blank');
    if (absent(settings.wire) || founders.filter(absent).length * 2 >= founders.length) return bad('found', settings.name, 'a majority of the founders must be here', 'refused', 'no-quorum');
    const set: Voter[] = [];
    for (const at of founders) {
      if (at === settings.wire) {
        set.push({ disk: slots.disk, at });
        continue;
      }
      const [g, w] = open(await peerHello(at, 'who'));
      const r = w as { disk: string; blank: boolean } | undefined;
      if (absent(at) && r) return bad('found', at, 'is named as absent, and is here', 'refused', 'conflict');
      if (!absent(at) && g) return Left({ ...g, sort: 'refused' });
      if (r && !r.blank) return bad('found', at, 'is not blank', 'refused', 'not-blank');
      set.push({ disk: r ? r.disk : `${ABSENT}${at}`, at });
    }
    const [h] = open(voters() ? bad<void>('found', settings.name, 'another came first', 'refused', 'conflict') : await slots.found({ now: set }));
    return h ? Left(h) : Right({ now: set });
  }

  async function spreadFounding(): Promise<void> {
    const v = slots.founding() as Voters | undefined;
    if (!v || slots.cells.get(KEYS.voters)?.learned) return;
    for (const x of v.now) if (!isSelf(x)) await helds.up(x.at)?.ask('found', v, bounds.ask);
    function make(now: Numbered | undefined): Outcome<unknown> {
      return Right(now?.value ?? v);
    }
    if (chosen(KEYS.voters)) await owner.change(KEYS.voters, make);
  }

  async function catchUp(): Promise<void> {
    const has = hasList(committed());
    async function from(at: string): Promise<void> {
      const [g, list] = open((await helds.up(at)?.ask('missing', has, bounds.ask)) ?? Left(noConnection('missing', at)));
      if (g) return;
      for (const n of list as Numbered[]) {
        await acceptor.learn({ change: n });
        heard.delete(n.key);
      }
    }
    await Promise.all(helds.ats().map(from));
  }

  /** Tells the seeds that are not of the core where it is: they are asked first, and may be machines that know of nobody. */
  async function tellSeeds(): Promise<void> {
    while (!stopped) {
      const v = voters();
      for (const at of settings.seeds) if (v && !allVoters(v).map(atOf).includes(at)) await askOnce(ports, hello, edges, at, 'here', v, bounds.dial);
      await ports.clock.sleep(bounds.lease * (0.8 + 0.4 * ports.dice.next()));
    }
  }

  async function tend(): Promise<void> {
    while (!stopped) {
      await catchUp();
      if (!voters() && [...settings.founders].sort()[0] === settings.wire) await found([]);
      if (voters()) await spreadFounding();
      reachAll();
      if (voters()) await tendKeys();
      await ports.clock.sleep(bounds.renew * (0.8 + 0.4 * ports.dice.next()));
    }
  }

  async function tendKeys(): Promise<void> {
    for (const key of new Set([...slots.cells.keys(), KEYS.engines, reader ? KEYS.deployment : KEYS.intents])) {
      if (!chosen(key)) owner.disown(key);
      else if (!owner.owns(key)) await owner.own(key);
    }
  }

  const [g, listening] = open(await ports.wire.accept(settings.wire, taken));
  if (g) return Left(g);

  function taken(s: Connection): void {
    converse(ports, s, edges);
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

  async function stop(): Promise<void> {
    stopped = true;
    helds.stop();
    await (listening as Listening).close();
  }

  function isStopped(): boolean {
    return stopped;
  }

  reachAll();
  void tend();
  void tellSeeds();
  return Right({
    name: settings.name, by, hello, settings, bounds, slots, leases, votes, owner, metrics, edges, voters, live, chosen, change, found, effect, value, newest,
    heardLive, hasMajority, askVoter, peerHello, stop, stopped: isStopped,
  });
}

/** Whether one place is at or past another. */
export function reached(have: Place | undefined, want: Place): boolean {
  return have !== undefined && comparePlaces(have, want) >= 0;
}
