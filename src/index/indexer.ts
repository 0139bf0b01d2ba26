import { helloOf } from '../shared/transport/hello';
import { Left, Right } from 'purify-ts';
import { EventBatch, EventsReply } from '../shared/contracts/engine';
import { errorOrValue, Result } from '../shared/errors/errors';
import { followCore, Follower } from '../shared/replication/follower';
import { Ports } from '../shared/ports/ports';
import { Connection } from '../shared/ports/network';
import { TimeLimits, timeLimitsOf } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { openChannel, HelloHandlers, makeConnectionPool } from '../shared/transport/connections';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { addressOf } from '../shared/state/voter-set';
import { Member } from '../shared/state/members';
import { Coming, makeComing, Unheard } from './coming';
import { dumpOfPeer } from './dump';
import { GapCounts, makeGaps } from './gaps';
import { BatchRing, Heard, Listener, ListenerView, listenTo, makeRing } from './listener';
import { makeLoads } from './loads';
import {
  CompactDump,
  Dump,
  IndexEdge,
  IndexParts,
  partsOf,
  QueryAsk,
  ReusedTell,
} from './messages';
import { OverlapEdge } from './overlap';
import { makeRepair, Repair } from './repair';
import { dialectSources, ownSources, Registration, Sources } from './sources';
import { makeTrees, Overlap, Trees } from './tree';

/** A running indexer. */
export interface Indexer extends IndexParts {
  settings: Settings;
  follower: Follower;
  trees: Trees;
  edges: object[];
  gateOpen: () => boolean;
  listeners: () => ListenerView[];
  counts: IndexCounts;
  coming: Coming;
  sources: Sources;
  /** Whether a source's feed can be reached. */
  reached: (source: string) => boolean;
  repair: Repair;
  stop: () => Promise<void>;
}

/** What an indexer counts. */
export interface IndexCounts extends GapCounts {
  queries: number;
  epochChanges: number;
  confirmed: number;
  dropped: number;
}

/** Notes of parts on their way, as a share of the parts that are kept at the most. */
const COMING_SHARE = 0.1;

/** Starts an indexer on the product's own contracts or on a dialect: listeners buffer, a peer's dump is applied, the gate opens, the buffer drains. */
export async function startIndexer(
  ports: Ports,
  settings: Settings,
  dialect?: PlatformAdapter,
  edges: object[] = [],
  listens = true,
): Promise<Result<Indexer>> {
  const bounds: TimeLimits = timeLimitsOf(settings);
  const hello = helloOf(settings, 'indexer');
  const member: Member = {
    name: settings.name,
    role: 'indexer',
    at: settings.wire,
    http: settings.http,
    zone: settings.zone,
    life: ports.random.uuid().slice(0, 8),
  };
  const trees = makeTrees(settings.indexMostParts);
  const heard = new Map<string, Heard>();
  const listeners = new Map<string, Listener>();
  const rings = new Map<string, BatchRing>();
  const peers = makeConnectionPool(ports, {
    hello,
    handlers: edges,
    timeoutMs: bounds.connectTimeoutMs,
    retryPauseMs: bounds.retryPauseMs,
  });
  const turns = new Map<string, Promise<void>>();
  const buffered: { id: string; r: EventsReply }[] = [];
  const counts: IndexCounts = {
    queries: 0,
    gaps: 0,
    repairedBatches: 0,
    lostBatches: 0,
    epochChanges: 0,
    confirmed: 0,
    dropped: 0,
  };
  let gate = false;
  let stopped = false;
  const sources: Sources = dialect
    ? dialectSources(ports, bounds, dialect)
    : ownSources(ports, bounds);
  const coming = makeComing(
    ports.clock.now,
    bounds.pendingBlockTtlMs,
    Math.ceil(settings.indexMostParts * COMING_SHARE),
    unheard,
  );
  const loads = makeLoads(ports.clock.now, bounds.loadReportExpiryMs);
  const repair = makeRepair({
    ports,
    bounds,
    sources,
    trees,
    peers,
    at: settings.wire,
    registration: registrationOf,
    heard: heard.get.bind(heard),
    adopt,
  });
  const gaps = makeGaps({ ports, bounds, trees, peers, repair, counts, apply: applyBatch });
  edges.push(
    new HelloHandlers(hello),
    new IndexEdge({ query, dump, dumpRows, ring, reused }),
    new OverlapEdge(trees, coming, loads, reached, gateOpen),
    repair.edge,
  );
  const follower = followCore(ports, {
    timeLimits: bounds,
    hello,
    member,
    seeds: settings.seeds,
    handlers: edges,
  });

  function gateOpen(): boolean {
    return gate;
  }

  function ring(source: string): BatchRing {
    const r = rings.get(source) ?? makeRing(sources.ringMost);
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

  function dumpRows(): CompactDump {
    return { open: gate, heard: [...heard], owed: repair.owedAll(), rows: trees.rows() };
  }

  function registrationOf(source: string): Registration | undefined {
    const r = listeners.get(source)?.reg;
    return r?.paused ? undefined : r;
  }

  function reached(source: string): boolean {
    return listeners.get(source)?.reached() ?? false;
  }

  /** A part that was to come is taken for kept where numbers were lost meanwhile, as its event may be one of them. */
  function unheard(u: Unheard): void {
    if (registrationOf(u.source) && repair.owed(u.source) > 0)
      trees.apply(u.source, {
        kind: 'stored',
        model: u.model,
        weights: '',
        salt: u.salt,
        parent: '',
        hash: u.hash,
        size: u.size,
      });
  }

  function adopt(source: string, epoch: string, seq: number, takeOver: () => void): void {
    takeOver();
    const h = heard.get(source);
    if (h?.epoch === epoch && h.seq > seq)
      for (const b of ring(source).between(epoch, seq + 1, h.seq)) applyEvents(source, b);
    else heard.set(source, { epoch, seq });
  }

  function drop(source: string): void {
    trees.dropSource(source);
    coming.dropSource(source);
    repair.clear(source);
  }

  function register(): void {
    const want = new Map<string, Registration>();
    for (const r of sources.registrations(follower)) want.set(r.id, r);
    for (const [id, l] of listeners) {
      const w = want.get(id);
      if (w && w.at === l.reg.at && w.paused === l.reg.paused) continue;
      l.stop();
      listeners.delete(id);
      if (!w || w.paused || w.at !== l.reg.at) drop(id);
      if (!w && dialect) forget(id);
    }
    for (const [id, r] of want) {
      if (listeners.has(id)) continue;
      const l = listenTo(
        ports,
        bounds,
        sources,
        r,
        heard.get(id) ?? { epoch: '', seq: 0 },
        gateOpen,
        onLong,
      );
      listeners.set(id, l);
      if ((heard.get(id)?.seq ?? 0) > 0 && trees.holding(id) === 0) repair.lost(id, undefined);
      void l.pulls.observe(pulled);
      function pulled(e: EventsReply): void {
        if (!gate) buffered.push({ id, r: e });
        else inTurn(id, e);
      }
      function onLong(): void {
        if (!dialect) trees.dropSource(id);
      }
    }
  }

  /** How far it was heard stays, as it may be registered again. */
  function forget(id: string): void {
    rings.delete(id);
    turns.delete(id);
    gaps.forget(id);
  }

  function inTurn(id: string, r: EventsReply): void {
    const before = turns.get(id) ?? Promise.resolve();
    turns.set(id, before.then(run));
    function run(): Promise<void> {
      return take(id, r);
    }
  }

  async function take(id: string, r: EventsReply): Promise<void> {
    if (!listeners.has(id)) return;
    let h = heard.get(id) ?? { epoch: '', seq: 0 };
    if (r.epoch !== h.epoch) {
      if (h.epoch !== '') counts.epochChanges++;
      drop(id);
      h = { epoch: r.epoch, seq: 0 };
      heard.set(id, h);
    }
    let gap = false;
    for (const b of r.batches) {
      if (b.seq <= h.seq) continue;
      if (b.seq > h.seq + 1) {
        gap = true;
        await gaps.fill(id, h, b.seq);
      }
      applyBatch(id, r.epoch, b);
      h = { epoch: r.epoch, seq: b.seq };
      heard.set(id, h);
    }
    if (r.last > h.seq) {
      gap = true;
      await gaps.fill(id, h, r.last + 1);
      h = { epoch: r.epoch, seq: r.last };
    }
    heard.set(id, h);
    if (r.lost && !gap) repair.lost(id, undefined);
  }

  function applyBatch(id: string, epoch: string, b: EventBatch): void {
    ring(id).add(epoch, b);
    applyEvents(id, b);
  }

  function applyEvents(id: string, b: EventBatch): void {
    for (const e of b.events) {
      trees.apply(id, e);
      if (e.kind === 'stored') coming.heard(e.model, e.salt, e.hash, id);
    }
  }

  function reachPeers(members: Member[]): void {
    peers.setPeers(members.filter(isPeer).map(addressOf));
  }

  function isPeer(m: Member): boolean {
    return m.role === 'indexer' && m.name !== settings.name;
  }

  async function join(): Promise<void> {
    await ports.clock.sleep(dialect ? bounds.adapterIndexStartDelayMs : bounds.indexStartDelayMs);
    while (!stopped && !follower.hasLease()) await ports.clock.sleep(bounds.retryPauseMs);
    const dump = await dumpOfPeer(ports, bounds, peers);
    if (dump) applyDump(dump);
    gate = true;
    for (const b of buffered.splice(0)) inTurn(b.id, b.r);
  }

  function applyDump(d: CompactDump): void {
    const known = new Set<string>(sources.registrations(follower).filter(serves).map(idOf));
    for (const [id, h] of d.heard) if (known.has(id)) heard.set(id, h);
    trees.takeRows(d.rows, known.has.bind(known));
    for (const [id, n] of d.owed) if (known.has(id)) repair.lost(id, n);
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
      out.push({
        id,
        kind: l.reg.kind,
        at: l.reg.at,
        ...l.view(),
        epoch: h.epoch,
        lastSeq: h.seq,
        ...gaps.of(id),
      });
    }
    return out.sort(byId);
  }

  function byId(a: ListenerView, b: ListenerView): number {
    return a.id < b.id ? -1 : 1;
  }

  void follower.changes.observe(register);
  void follower.memberChanges.observe(reachPeers);
  let close: () => Promise<void> = nothing;
  async function nothing(): Promise<void> {}
  if (listens) {
    const [f, listening] = errorOrValue(await ports.network.listen(settings.wire, taken));
    if (f) return Left(f);
    close = listening.close;
  }

  function taken(s: Connection): void {
    openChannel(ports, s, edges);
  }

  async function stop(): Promise<void> {
    stopped = true;
    await follower.releaseLeases();
    follower.stop();
    for (const l of listeners.values()) l.stop();
    peers.stop();
    await close();
  }

  void join();
  return Right({
    settings,
    follower,
    trees,
    edges,
    query,
    dump,
    dumpRows,
    ring,
    reused,
    gateOpen,
    listeners: views,
    counts,
    coming,
    sources,
    reached,
    repair,
    stop,
  });
}
