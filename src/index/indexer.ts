/**
 * An indexer: it follows the core, listens to engines and stores, and answers which of them keep a prompt's prefix.
 */

import { Left, Right } from 'purify-ts';
import { EventsReply } from '../shared/contracts/engine';
import { errorOrValue, Result } from '../shared/errors/errors';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { Connection } from '../shared/ports/network';
import { Ports } from '../shared/ports/ports';
import { followCore, Follower } from '../shared/replication/follower';
import { Settings } from '../shared/settings/settings';
import { TimeLimits, timeLimitsOf } from '../shared/settings/time-limits';
import { drawRunId, Member, memberOf } from '../shared/state/members';
import { addressOf } from '../shared/state/voter-set';
import { BatchRing } from './batch-ring';
import { CacheSources, makeOwnSources, makePlatformSources, Registration } from './cache-sources';
import { ExpectedBlocks, ExpiredExpectation } from './expected-blocks';
import { FeedListener, ListenerView } from './feed-listener';
import { FeedProcessor } from './feed-processor';
import { GapCounts, GapFiller } from './gap-filler';
import {
  blocksOf,
  CompactDump,
  Dump,
  IndexHandlers,
  IndexHandlersDependencies,
  OverlapQuery,
  ReuseReport,
} from './index-handlers';
import { LoadBoard } from './load-board';
import { OverlapHandlers } from './overlap-handlers';
import { requestPeerDump } from './peer-dump';
import { makePrefixTrees, Overlap, PrefixTrees } from './prefix-trees';
import { makeSourceRepair, SourceRepair } from './source-repair';
import { HelloHandlers } from '../shared/transport/hello-handlers';
import { helloOf } from '../shared/transport/hello';
import { ConnectionPool, makeConnectionPool } from '../shared/transport/connection-pool';
import { openChannel } from '../shared/transport/peer-channel';

/** What an indexer counts; the names become metrics. */
export interface IndexCounts extends GapCounts {
  queries: number;
  epochChanges: number;
  /** Blocks that an engine's answer showed to be cached. */
  confirmed: number;
  /** Doubted blocks that an engine's answer showed to be gone. */
  dropped: number;
}

/** A running indexer. */
export interface Indexer extends IndexHandlersDependencies {
  settings: Settings;
  trees: PrefixTrees;
  handlers: object[];
  /** Whether it answers: it has caught up with a peer, or there is none. */
  isReady: () => boolean;
  listenerViews: () => ListenerView[];
  counts: IndexCounts;
  expectedBlocks: ExpectedBlocks;
  sources: CacheSources;
  /** Whether a source's feed can be reached. */
  isReachable: (source: string) => boolean;
  stop: () => Promise<void>;
}

/** How an indexer is started. */
export interface IndexerOptions {
  ports: Ports;
  settings: Settings;
  /** The platform's adapter; without one, engines and stores speak the product's own contracts. */
  adapter?: PlatformAdapter;
  /** Handlers of our own messages, to which the indexer adds its own. */
  handlers: object[];
}

/** The share of the retained blocks that may be expected and not told of yet. */
const EXPECTED_BLOCKS_RATIO = 0.1;

/** Starts an indexer; without `listens` it takes no connections. */
export async function startIndexer(
  ports: Ports,
  settings: Settings,
  adapter?: PlatformAdapter,
  handlers: object[] = [],
  listens = true,
): Promise<Result<Indexer>> {
  const service = new IndexerService({ ports, settings, adapter, handlers });
  if (listens) {
    const [error] = errorOrValue(await service.listen());
    if (error) return Left(error);
  }
  service.startCatchUp();
  return Right(service.asIndexer());
}

function serves(registration: Registration): boolean {
  return !registration.paused;
}

function idOf(registration: Registration): string {
  return registration.id;
}

function byId(a: ListenerView, b: ListenerView): number {
  return a.id < b.id ? -1 : 1;
}

/** The state of an indexer, and what it does with what it hears. */
class IndexerService {
  private readonly ports: Ports;
  private readonly settings: Settings;
  private readonly timeLimits: TimeLimits;
  private readonly trees: PrefixTrees;
  private readonly listeners = new Map<string, FeedListener>();
  /** Replies that came before a peer's dump was applied. */
  private readonly buffered: { source: string; reply: EventsReply }[] = [];
  private readonly peers: ConnectionPool;
  private readonly sources: CacheSources;
  private readonly expectedBlocks: ExpectedBlocks;
  private readonly repair: SourceRepair;
  private readonly gaps: GapFiller;
  private readonly feeds: FeedProcessor;
  private readonly follower: Follower;
  private readonly counts: IndexCounts = {
    queries: 0,
    gaps: 0,
    repairedBatches: 0,
    lostBatches: 0,
    epochChanges: 0,
    confirmed: 0,
    dropped: 0,
  };
  private isCaughtUp = false;
  private isStopped = false;
  private closeListener: (() => Promise<void>) | undefined;

  constructor(private readonly options: IndexerOptions) {
    const { ports, settings, adapter, handlers } = options;
    this.ports = ports;
    this.settings = settings;
    this.timeLimits = timeLimitsOf(settings);
    const hello = helloOf(settings, 'indexer');
    const runId = drawRunId(ports.random);
    this.trees = makePrefixTrees(settings.indexMostParts);
    this.peers = makeConnectionPool(ports, {
      hello,
      handlers,
      timeoutMs: this.timeLimits.connectTimeoutMs,
      retryPauseMs: this.timeLimits.retryPauseMs,
    });
    this.sources = adapter
      ? makePlatformSources(ports, this.timeLimits, adapter)
      : makeOwnSources(ports, this.timeLimits);
    this.expectedBlocks = this.makeExpectedBlocks();
    const loads = new LoadBoard(ports.clock.now, this.timeLimits.loadReportExpiryMs);
    this.repair = this.makeRepair();
    this.gaps = this.makeGaps();
    this.feeds = this.makeFeeds();
    handlers.push(
      new HelloHandlers(hello),
      new IndexHandlers(this.handlersDependencies()),
      new OverlapHandlers(
        this.trees,
        this.expectedBlocks,
        loads,
        this.isReachable.bind(this),
        this.isReady.bind(this),
      ),
      this.repair.handlers,
    );
    const member = memberOf(settings, 'indexer', runId);
    this.follower = followCore(ports, {
      timeLimits: this.timeLimits,
      hello,
      member,
      seeds: settings.seeds,
      handlers,
    });
    void this.follower.changes.observe(this.register.bind(this));
    void this.follower.memberChanges.observe(this.connectPeers.bind(this));
  }

  /** Takes connections of routers and other indexers. */
  async listen(): Promise<Result<void>> {
    const { network } = this.ports;
    const [error, listener] = errorOrValue(
      await network.listen(this.settings.wire, this.accept.bind(this)),
    );
    if (error) return Left(error);
    this.closeListener = listener.close;
    return Right(undefined);
  }

  /** Begins to take over what a peer knows; answers are given once that is done. */
  startCatchUp(): void {
    void this.catchUp();
  }

  /** The indexer as others use it; its methods may be passed on alone. */
  asIndexer(): Indexer {
    return {
      ...this.handlersDependencies(),
      settings: this.settings,
      trees: this.trees,
      handlers: this.options.handlers,
      isReady: this.isReady.bind(this),
      listenerViews: this.listenerViews.bind(this),
      counts: this.counts,
      expectedBlocks: this.expectedBlocks,
      sources: this.sources,
      isReachable: this.isReachable.bind(this),
      stop: this.stop.bind(this),
    };
  }

  private makeExpectedBlocks(): ExpectedBlocks {
    return new ExpectedBlocks(
      this.ports.clock.now,
      this.timeLimits.pendingBlockTtlMs,
      Math.ceil(this.settings.indexMostParts * EXPECTED_BLOCKS_RATIO),
      this.onExpectationExpired.bind(this),
    );
  }

  private makeRepair(): SourceRepair {
    return makeSourceRepair({
      ports: this.ports,
      timeLimits: this.timeLimits,
      sources: this.sources,
      trees: this.trees,
      peers: this.peers,
      selfAddress: this.settings.wire,
      registrationOf: this.registrationOf.bind(this),
      positionOf: this.positionOf.bind(this),
      adopt: this.adopt.bind(this),
    });
  }

  private makeGaps(): GapFiller {
    return new GapFiller({
      ports: this.ports,
      timeLimits: this.timeLimits,
      trees: this.trees,
      peers: this.peers,
      repair: this.repair,
      counts: this.counts,
      positionOf: this.positionOrStart.bind(this),
      apply: this.applyMissed.bind(this),
    });
  }

  private makeFeeds(): FeedProcessor {
    return new FeedProcessor({
      trees: this.trees,
      expectedBlocks: this.expectedBlocks,
      repair: this.repair,
      gaps: this.gaps,
      maxRetainedBatches: this.sources.maxRetainedBatches,
      isRegistered: this.isRegistered.bind(this),
      onEpochChange: this.countEpochChange.bind(this),
    });
  }

  private handlersDependencies(): IndexHandlersDependencies {
    return {
      query: this.query.bind(this),
      dump: this.dump.bind(this),
      dumpRows: this.dumpRows.bind(this),
      ring: this.ringOf.bind(this),
      reused: this.applyReuse.bind(this),
    };
  }

  private isReady(): boolean {
    return this.isCaughtUp;
  }

  private isReachable(source: string): boolean {
    return this.listeners.get(source)?.isReachable() ?? false;
  }

  private isRegistered(source: string): boolean {
    return this.listeners.has(source);
  }

  private registrationOf(source: string): Registration | undefined {
    const registration = this.listeners.get(source)?.registration;
    return registration?.paused ? undefined : registration;
  }

  private positionOf(source: string): ReturnType<FeedProcessor['positionOf']> {
    return this.feeds.positionOf(source);
  }

  private adopt(source: string, epoch: string, seq: number, takeOver: () => void): void {
    this.feeds.adopt(source, epoch, seq, takeOver);
  }

  private positionOrStart(source: string): ReturnType<FeedProcessor['positionOrStart']> {
    return this.feeds.positionOrStart(source);
  }

  private applyMissed(...batch: Parameters<FeedProcessor['applyMissed']>): void {
    this.feeds.applyMissed(...batch);
  }

  private ringOf(source: string): BatchRing {
    return this.feeds.ringOf(source);
  }

  private countEpochChange(): void {
    this.counts.epochChanges++;
  }

  private query(query: OverlapQuery): Overlap[] {
    this.counts.queries++;
    return this.trees.query(query.model, query.salt, query.weights, blocksOf(query));
  }

  private dump(): Dump {
    return { open: this.isCaughtUp, heard: this.feeds.allPositions(), events: this.trees.dump() };
  }

  private dumpRows(): CompactDump {
    return {
      open: this.isCaughtUp,
      heard: this.feeds.allPositions(),
      owed: this.repair.lostCounts(),
      rows: this.trees.rows(),
    };
  }

  private applyReuse(report: ReuseReport): void {
    const { source, model, salt, weights, parts, count } = report;
    if (!this.listeners.has(source)) return;
    const { confirmed, dropped } = this.trees.applyReuse(
      source,
      model,
      salt,
      weights,
      parts,
      count,
    );
    this.counts.confirmed += confirmed;
    this.counts.dropped += dropped;
  }

  /** A block that was expected is taken as cached where events of its source were lost meanwhile: its event may be one of them. */
  private onExpectationExpired({ source, model, salt, hash, size }: ExpiredExpectation): void {
    if (!this.registrationOf(source) || this.repair.lostCount(source) === 0) return;
    this.trees.apply(source, {
      kind: 'stored',
      model,
      weights: '',
      salt,
      parent: '',
      hash,
      size,
    });
  }

  /** Listens to the sources that are listed now, and to no others. */
  private register(): void {
    const wanted = new Map<string, Registration>();
    for (const registration of this.sources.registrations(this.follower))
      wanted.set(registration.id, registration);
    for (const [source, listener] of this.listeners)
      this.stopOutdated(source, listener, wanted.get(source));
    for (const [source, registration] of wanted)
      if (!this.listeners.has(source)) this.startListener(registration);
  }

  private stopOutdated(
    source: string,
    listener: FeedListener,
    wanted: Registration | undefined,
  ): void {
    const { at, paused } = listener.registration;
    if (wanted?.at === at && wanted.paused === paused) return;
    listener.stop();
    this.listeners.delete(source);
    if (!wanted || wanted.paused || wanted.at !== at) this.feeds.dropContent(source);
    if (!wanted && this.options.adapter) this.feeds.forget(source);
  }

  private startListener(registration: Registration): void {
    const source = registration.id;
    const listener = new FeedListener({
      ports: this.ports,
      timeLimits: this.timeLimits,
      sources: this.sources,
      registration,
      from: this.feeds.positionOrStart(source),
      isReady: this.isReady.bind(this),
      onLongFailure: this.onLongFailure.bind(this, source),
    });
    this.listeners.set(source, listener);
    const wasHeard = this.feeds.positionOrStart(source).seq > 0;
    if (wasHeard && this.trees.blockCount(source) === 0) this.repair.noteLost(source, undefined);
    void listener.replies.observe(this.takeReply.bind(this, source));
  }

  private takeReply(source: string, reply: EventsReply): void {
    if (this.isCaughtUp) this.feeds.enqueue(source, reply);
    else this.buffered.push({ source, reply });
  }

  /** A source of our own contracts that can't be reached for long has likely lost what it kept. */
  private onLongFailure(source: string): void {
    if (!this.options.adapter) this.trees.dropSource(source);
  }

  private connectPeers(members: Member[]): void {
    this.peers.setPeers(members.filter(this.isPeer.bind(this)).map(addressOf));
  }

  private isPeer(member: Member): boolean {
    return member.role === 'indexer' && member.name !== this.settings.name;
  }

  /** Takes over what a peer knows, then what was heard meanwhile, and answers from then on. */
  private async catchUp(): Promise<void> {
    const { clock } = this.ports;
    const { adapterIndexStartDelayMs, indexStartDelayMs, retryPauseMs } = this.timeLimits;
    await clock.sleep(this.options.adapter ? adapterIndexStartDelayMs : indexStartDelayMs);
    while (!this.isStopped && !this.follower.hasLease()) await clock.sleep(retryPauseMs);
    const dump = await requestPeerDump(this.ports, this.timeLimits, this.peers);
    if (dump) this.applyDump(dump);
    this.isCaughtUp = true;
    for (const { source, reply } of this.buffered.splice(0)) this.feeds.enqueue(source, reply);
  }

  private applyDump(dump: CompactDump): void {
    const registrations = this.sources.registrations(this.follower);
    const known = new Set<string>(registrations.filter(serves).map(idOf));
    for (const [source, position] of dump.heard)
      if (known.has(source)) this.feeds.setPosition(source, position);
    this.trees.loadRows(dump.rows, known.has.bind(known));
    for (const [source, lost] of dump.owed)
      if (known.has(source)) this.repair.noteLost(source, lost);
  }

  private listenerViews(): ListenerView[] {
    const views: ListenerView[] = [];
    for (const [id, listener] of this.listeners) {
      const { epoch, seq } = this.feeds.positionOrStart(id);
      const { kind, at } = listener.registration;
      const stats = this.gaps.statsOf(id);
      views.push({ id, kind, at, ...listener.view(), epoch, lastSeq: seq, ...stats });
    }
    return views.sort(byId);
  }

  private accept(connection: Connection): void {
    openChannel(this.ports, connection, this.options.handlers);
  }

  private async stop(): Promise<void> {
    this.isStopped = true;
    await this.follower.releaseLeases();
    this.follower.stop();
    for (const listener of this.listeners.values()) listener.stop();
    this.peers.stop();
    await this.closeListener?.();
  }
}
