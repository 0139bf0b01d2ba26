import { Left, Right } from 'purify-ts';
import { EventBatch, EventsAnswer, Part, PartEvent, splitParts, tokenise } from '../shared/contracts/engine';
import { field, Handled, message } from '../shared/edge';
import { open, Outcome } from '../shared/errors';
import { follow, Follower } from '../shared/follow';
import { Ports, Connection } from '../shared/ports';
import { Bounds, boundsOf, Settings } from '../shared/settings';
import { converse, Exchange, Hello, HelloEdge, holdAll, WIRE_VERSION } from '../shared/connections';
import { Engine, IntentsValue, KEYS, Member } from '../shared/words';
import { BatchRing, Heard, Listener, ListenerView, listenTo, makeRing, Registration } from './listener';
import { makeTrees, Overlap, Trees } from './tree';

/** A query for how much of a prompt each source holds. */
export class QueryAsk {
  @field('string') model!: string;
  @field('string') salt!: string;
  @field('string') weights!: string;
  @field('list', false) parts?: Part[];
  @field('list', false) tokens?: number[];
  @field('string', false) text?: string;
}

class MissedAsk {
  @field('string') source!: string;
  @field('string') epoch!: string;
  @field('number') from!: number;
  @field('number') to!: number;
}

class ReusedTell {
  @field('string') source!: string;
  @field('string') model!: string;
  @field('string') salt!: string;
  @field('string') weights!: string;
  @field('list') parts!: Part[];
  @field('number') count!: number;
}

/** The whole of what an indexer knows, for a starting replica. */
export interface Dump {
  open: boolean;
  heard: [string, Heard][];
  events: { source: string; event: PartEvent }[];
}

/** Parts of a query, however it was given. */
export function partsOf(q: QueryAsk): Part[] {
  if (q.parts) return q.parts;
  return splitParts(q.model, q.tokens ?? tokenise(q.text ?? ''));
}

/** What indexers and routers say to an indexer. */
export class IndexEdge {
  constructor(private readonly ix: IndexParts) {}

  /** Tells how much of a prompt each source holds. */
  @message('query', QueryAsk)
  async query(q: QueryAsk): Handled {
    return Right(this.ix.query(q));
  }

  /** Gives the whole of the trees. */
  @message('dump')
  async dump(): Handled {
    return Right(this.ix.dump());
  }

  /** Gives the batches that a peer missed. */
  @message('missed', MissedAsk)
  async missed(m: MissedAsk): Handled {
    return Right(this.ix.ring(m.source).between(m.epoch, m.from, m.to));
  }

  /** Takes what an engine's return said that it had really reused. */
  @message('reused', ReusedTell)
  async reused(m: ReusedTell): Handled {
    this.ix.reused(m);
    return Right(undefined);
  }
}

interface IndexParts {
  query(q: QueryAsk): Overlap[];
  dump(): Dump;
  ring(source: string): BatchRing;
  reused(m: ReusedTell): void;
}

/** A running indexer. */
export interface Indexer extends IndexParts {
  settings: Settings;
  follower: Follower;
  trees: Trees;
  edges: object[];
  gateOpen(): boolean;
  listeners(): ListenerView[];
  counts: IndexCounts;
  stop(): Promise<void>;
}

/** What an indexer counts. */
export interface IndexCounts {
  queries: number;
  gaps: number;
  repairedBatches: number;
  lostBatches: number;
  epochChanges: number;
  confirmed: number;
  dropped: number;
}

/** Starts an indexer: listeners buffer, a peer's dump is applied, the gate opens, the buffer drains. */
export async function startIndexer(ports: Ports, settings: Settings, edges: object[] = [], listens = true): Promise<Outcome<Indexer>> {
  const bounds: Bounds = boundsOf(settings);
  const hello: Hello = { version: WIRE_VERSION, name: settings.name, role: 'indexer', at: settings.wire, zone: settings.zone };
  const member: Member = { name: settings.name, role: 'indexer', at: settings.wire, http: settings.http, zone: settings.zone, life: ports.dice.id().slice(0, 8) };
  const trees = makeTrees(settings.indexMostParts);
  const heard = new Map<string, Heard>();
  const listeners = new Map<string, Listener>();
  const rings = new Map<string, BatchRing>();
  const gapsOf = new Map<string, { gaps: number; repaired: number }>();
  const peers = holdAll(ports, { hello, edges, within: bounds.dial, pause: bounds.pause });
  const turns = new Map<string, Promise<void>>();
  const buffered: { id: string; r: EventsAnswer }[] = [];
  const counts: IndexCounts = { queries: 0, gaps: 0, repairedBatches: 0, lostBatches: 0, epochChanges: 0, confirmed: 0, dropped: 0 };
  let gate = false;
  let stopped = false;
  edges.push(new HelloEdge(hello), new IndexEdge({ query, dump, ring, reused }));
  const follower = follow(ports, bounds, hello, member, settings.seeds, edges);

  function gateOpen(): boolean {
    return gate;
  }

  function ring(source: string): BatchRing {
    const r = rings.get(source) ?? makeRing(512);
    rings.set(source, r);
    return r;
  }

  function query(q: QueryAsk): Overlap[] {
    counts.queries++;
    return trees.query(q.model, q.salt, q.weights, partsOf(q));
  }

  function dump(): Dump {
    return { open: gate, heard: [...heard], events: trees.dump() };
  }

  function reused(m: ReusedTell): void {
    if (!listeners.has(m.source)) return;
    const r = trees.reused(m.source, m.model, m.salt, m.weights, m.parts, m.count);
    counts.confirmed += r.confirmed;
    counts.dropped += r.dropped;
  }

  function registrations(): Registration[] {
    const out: Registration[] = [];
    for (const e of follower.value<Engine[]>(KEYS.engines)?.value ?? []) out.push({ id: e.id, kind: 'engine', at: e.at, paused: e.leaving });
    for (const s of follower.value<IntentsValue>(KEYS.intents)?.value.doc.cacheStores ?? []) out.push({ id: s.id, kind: 'store', at: s.at, paused: false });
    return out;
  }

  function register(): void {
    const want = new Map<string, Registration>();
    for (const r of registrations()) want.set(r.id, r);
    for (const [id, l] of listeners) {
      const w = want.get(id);
      if (w && w.at === l.reg.at && w.paused === l.reg.paused) continue;
      l.stop();
      listeners.delete(id);
      if (!w || w.paused || w.at !== l.reg.at) trees.dropSource(id);
    }
    for (const [id, r] of want) {
      if (listeners.has(id)) continue;
      const l = listenTo(ports, bounds, r, heard.get(id) ?? { epoch: '', seq: 0 }, gateOpen, onLong);
      listeners.set(id, l);
      void l.pulls.observe(pulled);
      function pulled(e: EventsAnswer): void {
        if (!gate) buffered.push({ id, r: e });
        else inTurn(id, e);
      }
      function onLong(): void {
        trees.dropSource(id);
      }
    }
  }

  function inTurn(id: string, r: EventsAnswer): void {
    const before = turns.get(id) ?? Promise.resolve();
    turns.set(id, before.then(run));
    function run(): Promise<void> {
      return take(id, r);
    }
  }

  async function take(id: string, r: EventsAnswer): Promise<void> {
    if (!listeners.has(id)) return;
    let h = heard.get(id) ?? { epoch: '', seq: 0 };
    if (r.epoch !== h.epoch) {
      if (h.epoch !== '') counts.epochChanges++;
      trees.dropSource(id);
      h = { epoch: r.epoch, seq: 0 };
    }
    for (const b of r.batches) {
      if (b.seq <= h.seq) continue;
      if (b.seq > h.seq + 1) await mend(id, h, b.seq);
      applyBatch(id, r.epoch, b);
      h = { epoch: r.epoch, seq: b.seq };
      heard.set(id, h);
    }
    if (r.last > h.seq) {
      await mend(id, h, r.last + 1);
      h = { epoch: r.epoch, seq: r.last };
    }
    heard.set(id, h);
  }

  function applyBatch(id: string, epoch: string, b: EventBatch): void {
    ring(id).add(epoch, b);
    for (const e of b.events) trees.apply(id, e);
  }

  async function mend(id: string, h: Heard, next: number): Promise<void> {
    const g = gapsOf.get(id) ?? { gaps: 0, repaired: 0 };
    gapsOf.set(id, g);
    g.gaps++;
    counts.gaps++;
    const missing = new Set<number>();
    for (let n = Math.max(h.seq + 1, next - 2048); n < next; n++) missing.add(n);
    const found = new Map<number, EventBatch>();
    for (const at of peers.ats()) {
      if (found.size === missing.size) break;
      const ex = peers.up(at);
      if (!ex) continue;
      const [f, list] = open(await ex.ask('missed', { source: id, epoch: h.epoch, from: h.seq + 1, to: next - 1 }, bounds.query));
      if (f) continue;
      for (const b of list as EventBatch[]) if (missing.has(b.seq)) found.set(b.seq, b);
    }
    const lost = next - 1 - h.seq - found.size;
    if (lost > 0) {
      trees.doubt(id);
      ports.log.warn({ step: 'mend gap', peer: id }, `${lost} batches are lost after ${h.seq}`);
    }
    for (const n of [...found.keys()].sort(byNumber)) applyBatch(id, h.epoch, found.get(n)!);
    counts.repairedBatches += found.size;
    counts.lostBatches += lost;
    g.repaired += found.size;
  }

  function byNumber(a: number, b: number): number {
    return a - b;
  }

  function reachPeers(members: Member[]): void {
    peers.want(members.filter(isPeer).map(atOf));
  }

  function isPeer(m: Member): boolean {
    return m.role === 'indexer' && m.name !== settings.name;
  }

  function atOf(m: Member): string {
    return m.at;
  }

  async function join(): Promise<void> {
    await ports.clock.sleep(bounds.join);
    while (!stopped && !follower.live()) await ports.clock.sleep(bounds.pause);
    for (const p of await upPeers()) {
      const [f, d] = open(await p.ask('dump', {}, bounds.ask));
      if (f || !(d as Dump).open) continue;
      applyDump(d as Dump);
      break;
    }
    gate = true;
    for (const b of buffered.splice(0)) inTurn(b.id, b.r);
  }

  async function upPeers(): Promise<Exchange[]> {
    const until = ports.clock.now() + bounds.dial;
    for (;;) {
      const out: Exchange[] = [];
      for (const at of peers.ats()) if (peers.up(at)) out.push(peers.up(at)!);
      if (out.length > 0 || ports.clock.now() >= until) return out;
      await ports.clock.sleep(bounds.pause * 0.25);
    }
  }

  function applyDump(d: Dump): void {
    const known = new Set<string>(registrations().filter(serves).map(idOf));
    for (const [id, h] of d.heard) if (known.has(id)) heard.set(id, h);
    for (const e of d.events) if (known.has(e.source)) trees.apply(e.source, e.event);
  }

  function serves(r: Registration): boolean {
    return !r.paused;
  }

  function idOf(r: Registration): string {
    return r.id;
  }

  function views(): ListenerView[] {
    const out: ListenerView[] = [];
    for (const [id, l] of listeners) {
      const h = heard.get(id) ?? { epoch: '', seq: 0 };
      out.push({ id, kind: l.reg.kind, at: l.reg.at, ...l.view(), epoch: h.epoch, lastSeq: h.seq, ...(gapsOf.get(id) ?? { gaps: 0, repaired: 0 }) });
    }
    return out.sort(byId);
  }

  function byId(a: ListenerView, b: ListenerView): number {
    return a.id < b.id ? -1 : 1;
  }

  void follower.changes.observe(register);
  void follower.membership.observe(reachPeers);
  let close: () => Promise<void> = nothing;
  async function nothing(): Promise<void> {}
  if (listens) {
    const [f, listening] = open(await ports.wire.accept(settings.wire, taken));
    if (f) return Left(f);
    close = listening.close;
  }

  function taken(s: Connection): void {
    converse(ports, s, edges);
  }

  async function stop(): Promise<void> {
    stopped = true;
    await follower.leave();
    follower.stop();
    for (const l of listeners.values()) l.stop();
    peers.stop();
    await close();
  }

  void join();
  return Right({ settings, follower, trees, edges, query, dump, ring, reused, gateOpen, listeners: views, counts, stop });
}
