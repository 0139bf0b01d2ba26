import { Either, Left, Right } from 'purify-ts';
import { PromptBlock } from '../../shared/contracts/engine';
import { OverlapReply } from '../../shared/contracts/indexer';
import { PreferredReplicas, makeHomes } from './preferred-replicas';
import { makeLinks, LinkEndpoint } from './transfer-estimate';
import { InFlightLoad, makeLoads } from './engine-loads';
import { makePaces } from './throughput-estimate';
import {
  Candidate,
  CachedPrefix,
  Prompt,
  estimateCosts,
  CostEstimate,
  PrefixSource,
} from './cost-estimate';
import { AttemptResult, makeStandings } from './outlier-ejection';

import {
  EngineEndpoint,
  StoreEndpoint,
  PlacementRequest,
  PlacementDecision,
  PlacementRejection,
  PlacedRequest,
  Placement,
  PlacementOptions,
} from './placement-types';

/** A prompt that reads in under this share of its aim is placed without asking an index. */
const QUICK = 0.08;
/** What a prompt's home is taken to keep of its shared parts where no index answered, and an engine where one was placed before. */
const HOME_KEEPS = 0.4;
const PLACED_KEEPS = 0.9;
/** The same of a home that parts are fetched from: a miss costs little. */
const GUESSED = 0.7;
/** Prompts whose engines are remembered. */
const MOST_RECENT = 4096;
const MOST_ENGINES = 4;
/** A router that placed fewer prompts than this has no reason yet to guess that a home keeps something to fetch. */
const FEW = 4;
/** The share of a zone's engines that long prompts are rather sent to, and the shares of the aim that going to the other side must gain. */
const LONG_SIDE = 0.75;
const QUICK_SIDE = 0.1;
const LONG_ASIDE = 0.3;
/** Costs are spread by this share, so that routers do not all choose the same. */
const SPREAD = 0.02;
/** A prompt goes to a store where this share of it is shared: its own part goes along, and fills the store's link and room. */
const STORED = 0.5;
/** A request that fetched shows a slow link only by taking this many times what was reckoned. */
const SLOW = 1.5;
/** Where more than this share of the time is waiting, it shows nothing of a link. */
const MUCH = 0.3;
/** The least urgent rank that is given. */
const LAST = 8;
/** The share of a pool's places that must be taken before a request that can't make its aim is refused. */
const PRESSED = 0.9;
/** A tenant with more than this many fair shares of what is under way gives way first. */
const FAIR = 1.5;

/** Makes the placement. */
export function makePlacement(ways: PlacementOptions): Placement {
  const homes: PreferredReplicas = makeHomes();
  const paces = makePaces();
  const links = makeLinks();
  const loads = makeLoads(ways.now);
  const standings = makeStandings(ways.now, ways.random, ways.baseEjectionMs);
  const recent = new Map<string, string[]>();
  const tenants = new Map<string, number>();
  const way = ways.strategy ?? 'full';

  function sharedOf(parts: readonly PromptBlock[]): number {
    let t = 0;
    for (let i = 0; i < parts.length - 1; i++) t += parts[i].size;
    return t;
  }

  function wantsIndex(ask: PlacementRequest): string[] {
    if (way !== 'full' || ask.blocks.length === 0) return [];
    if (isQuick(ask)) return [];
    const salts = new Set<string>();
    for (const e of ask.pool.engines) salts.add(e.salt);
    return [...salts];
  }

  function isQuick(ask: PlacementRequest): boolean {
    return (
      ask.promptTokens * paces.estimate(ask.pool.name, '').msPerPrefillToken <=
      QUICK * ask.latencyTargetMs
    );
  }

  function homeOf(ask: PlacementRequest): string {
    return `${ask.cacheScope} ${ask.blocks[Math.max(0, ask.blocks.length - 2)]?.hash ?? ''}`;
  }

  function sideOf(e: EngineEndpoint | StoreEndpoint, name: string, mbps: number): LinkEndpoint {
    return { name, zone: e.zone, region: e.region, linkMbps: mbps };
  }

  /** How far each engine stands from the home of its zone: a prompt has one home in each, so that it need not cross zones. */
  function ranksOf(ask: PlacementRequest, home: string): Map<string, number> {
    const all = homes.rank(home, ask.pool.engines.map(idOf));
    const order = [...ask.pool.engines].sort(byRank);
    const count = new Map<string, number>();
    const out = new Map<string, number>();
    for (const e of order) {
      const n = count.get(e.zone) ?? 0;
      count.set(e.zone, n + 1);
      out.set(e.id, n);
    }
    return out;
    function byRank(a: EngineEndpoint, b: EngineEndpoint): number {
      return all.get(a.id)! - all.get(b.id)!;
    }
  }

  /** Engines that long prompts are rather sent to: most of each zone's, in an order that all routers share. */
  function forLong(ask: PlacementRequest): Set<string> {
    const ranks = ranksOf(ask, ask.pool.name);
    const count = new Map<string, number>();
    for (const e of ask.pool.engines) count.set(e.zone, (count.get(e.zone) ?? 0) + 1);
    const out = new Set<string>();
    for (const e of ask.pool.engines)
      if (
        ranks.get(e.id)! <
        Math.min(count.get(e.zone)! - 1, Math.round(count.get(e.zone)! * LONG_SIDE))
      )
        out.add(e.id);
    return out;
  }

  function guess(
    ask: PlacementRequest,
    home: string,
    ranks: Map<string, number>,
  ): { here: (name: string) => CachedPrefix; there: (name: string) => CachedPrefix } {
    const shared = sharedOf(ask.blocks);
    const placed = recent.get(home) ?? [];
    function by(home: number): (name: string) => CachedPrefix {
      function keptAt(name: string): CachedPrefix {
        if (placed.includes(name)) return { cachedTokens: shared * PLACED_KEEPS, pendingTokens: 0 };
        return { cachedTokens: ranks.get(name) === 0 ? shared * home : 0, pendingTokens: 0 };
      }
      return keptAt;
    }
    return { here: by(HOME_KEEPS), there: by(recent.size < FEW ? 0 : GUESSED) };
  }

  function told(kept: OverlapReply): (name: string) => CachedPrefix {
    const m = new Map<string, CachedPrefix>();
    for (const [source, k, coming] of kept)
      m.set(source, { cachedTokens: k, pendingTokens: coming });
    function keptAt(name: string): CachedPrefix {
      return m.get(name) ?? { cachedTokens: 0, pendingTokens: 0 };
    }
    return keptAt;
  }

  function sourcesOf(
    ask: PlacementRequest,
    salt: string,
    keptAt: (name: string) => CachedPrefix,
  ): PrefixSource[] {
    const out: PrefixSource[] = [];
    const up = new Set(standings.available(ask.pool.engines.map(idOf), false));
    for (const e of ask.pool.engines) {
      const { cachedTokens: kept } = keptAt(e.id);
      if (kept > 0 && e.salt === salt && up.has(e.id))
        out.push({
          endpoint: sideOf(e, e.id, ask.pool.linkMbps),
          address: e.address,
          cachedTokens: kept,
        });
    }
    for (const s of ask.pool.stores) {
      const { cachedTokens: kept } = keptAt(s.name);
      if (kept > 0)
        out.push({
          endpoint: sideOf(s, s.name, s.linkMbps),
          address: s.address,
          cachedTokens: kept,
        });
    }
    return out;
  }

  function idOf(e: EngineEndpoint): string {
    return e.id;
  }

  function cost(r: CostEstimate): number {
    if (way === 'affinity') return r.candidate.preferenceRank;
    if (way === 'least-busy')
      return (
        r.candidate.load.running +
        r.candidate.load.prefillTokens / Math.max(1, r.candidate.cacheTokens)
      );
    return r.cost * (1 + SPREAD * ways.random());
  }

  function place(
    ask: PlacementRequest,
    kept: ReadonlyMap<string, OverlapReply>,
  ): Either<PlacementRejection, PlacementDecision> {
    const names: string[] = [];
    for (const e of ask.pool.engines) if (!ask.excluded.has(e.id)) names.push(e.id);
    const fit = new Set(standings.available(names, ask.isIdempotent));
    if (fit.size === 0)
      return Left({
        reason: 'no-engine',
        retryAfterMs: Math.max(ways.baseEjectionMs, standings.msUntilAvailable(names)),
      });
    const home = homeOf(ask);
    const ranks = ranksOf(ask, home);
    const quick = isQuick(ask);
    const side = forLong(ask);
    const bySalt = new Map<string, Candidate[]>();
    const all: Candidate[] = [];
    for (const e of ask.pool.engines) {
      if (!fit.has(e.id)) continue;
      const a: Candidate = {
        endpoint: sideOf(e, e.id, ask.pool.linkMbps),
        at: e.address,
        batch: Math.max(1, e.batch ?? ask.pool.batch),
        cacheTokens: ask.pool.cacheTokens,
        load: loads.snapshot(e.id),
        throughput: paces.estimate(ask.pool.name, e.id),
        preferenceRank: ranks.get(e.id)!,
        besideMs: quick && side.has(e.id) ? ask.latencyTargetMs * QUICK_SIDE : 0,
        besideReading: !quick && !side.has(e.id) ? LONG_ASIDE : 0,
      };
      all.push(a);
      bySalt.set(e.salt, [...(bySalt.get(e.salt) ?? []), a]);
    }
    let best: { r: CostEstimate; cost: number } | undefined;
    for (const [salt, able] of bySalt) {
      const answer = way === 'full' ? kept.get(salt) : undefined;
      const by = answer ? told(answer) : undefined;
      const { here, there } = by ? { here: by, there: by } : guess(ask, home, ranks);
      const sources = way === 'full' ? sourcesOf(ask, salt, there) : [];
      for (const r of estimateCosts(promptOf(ask, answer), able, here, sources, links.transferMs)) {
        const c = cost(r);
        if (!best || c < best.cost) best = { r, cost: c };
      }
    }
    const no = refusal(ask, all, best!.r);
    if (no) return Left(no);
    const salt = ask.pool.engines.find(isBest)!.salt;
    return Right({
      request: ask,
      estimate: best!.r,
      urgency: urgencyOf(ask),
      storeAddress: storeFor(ask, home, kept.get(salt)),
      affinityKey: home,
    });
    function isBest(e: EngineEndpoint): boolean {
      return e.id === best!.r.candidate.endpoint.name;
    }
  }

  /** The prompt, with how much of what it shares was read before: as an index told, or all where none did. */
  function promptOf(ask: PlacementRequest, answer: OverlapReply | undefined): Prompt {
    const shared = sharedOf(ask.blocks);
    let known = answer ? 0 : shared;
    for (const [, k, coming] of answer ?? []) known = Math.max(known, k + coming);
    return {
      tokensIn: ask.promptTokens,
      tokensOut: ask.maxOutputTokens,
      shared,
      known,
      tokenBytes: ask.pool.tokenBytes,
      aimMs: ask.latencyTargetMs,
      leftMs: ask.remainingMs,
      zone: ways.zone,
    };
  }

  /** The store that lacks something of what the prompt shares: the same one for a part at every router. */
  function storeFor(
    ask: PlacementRequest,
    home: string,
    answer: OverlapReply | undefined,
  ): string | undefined {
    if (!answer || ask.pool.stores.length === 0) return undefined;
    const ranks = homes.rank(home, ask.pool.stores.map(nameOf));
    const shared = sharedOf(ask.blocks);
    if (shared < ask.promptTokens * STORED) return undefined;
    for (const s of ask.pool.stores) {
      if (ranks.get(s.name) !== 0) continue;
      const { cachedTokens: kept, pendingTokens: coming } = told(answer)(s.name);
      return kept + coming < shared ? s.address : undefined;
    }
    return undefined;
  }

  function nameOf(s: StoreEndpoint): string {
    return s.name;
  }

  /** A request is refused only where places are taken, and its time would pass in waiting for one. */
  function refusal(
    ask: PlacementRequest,
    able: readonly Candidate[],
    r: CostEstimate,
  ): PlacementRejection | undefined {
    let running = 0;
    let places = 0;
    for (const a of able) {
      running += Math.min(a.batch, a.load.running);
      places += a.batch;
    }
    if (running < places * PRESSED || r.candidate.load.running < r.candidate.batch)
      return undefined;
    const own = r.firstEventMs - r.queueMs;
    if (own < ask.remainingMs && r.firstEventMs >= ask.remainingMs)
      return { reason: 'full', retryAfterMs: r.queueMs };
    if (own >= ask.latencyTargetMs || r.firstEventMs < ask.latencyTargetMs) return undefined;
    return r.queueMs > ask.latencyTargetMs * (overShare(ask.tenant) ? 1 : 2)
      ? { reason: 'too-late', retryAfterMs: r.queueMs }
      : undefined;
  }

  function overShare(tenant: string | undefined): boolean {
    let all = 0;
    for (const n of tenants.values()) all += n;
    return (tenants.get(tenant ?? '') ?? 0) * tenants.size > all * FAIR;
  }

  function urgencyOf(ask: PlacementRequest): number {
    return Math.min(LAST, ask.routePriority * 2 + Math.min(1, ask.tenantPriority));
  }

  function remember(home: string, engine: string): void {
    const was = recent.get(home) ?? [];
    recent.delete(home);
    recent.set(home, [engine, ...was.filter(other)].slice(0, MOST_ENGINES));
    if (recent.size > MOST_RECENT) recent.delete(recent.keys().next().value!);
    function other(id: string): boolean {
      return id !== engine;
    }
  }

  function began(p: PlacementDecision): PlacedRequest {
    const { request: ask, estimate: r } = p;
    const engine = r.candidate.endpoint.name;
    const tenant = ask.tenant ?? '';
    const f: InFlightLoad = {
      engine,
      prefillTokens: r.prefillTokens,
      memoryTokens: ask.promptTokens + ask.maxOutputTokens,
      sentAt: ways.now(),
      expectedFirstEventMs: r.firstEventMs,
      transferMs: r.prefixFetch?.ms ?? 0,
    };
    loads.recordStart(f);
    standings.recordStart(engine);
    tenants.set(tenant, (tenants.get(tenant) ?? 0) + 1);
    remember(p.affinityKey, engine);
    let over = false;

    function first(): void {
      if (f.firstEventAt !== undefined) return;
      loads.recordFirstEvent(f);
      const ms = f.firstEventAt! - f.sentAt;
      if (r.prefixFetch && r.queueMs > r.firstEventMs * MUCH) return;
      if (r.prefixFetch)
        links.observe(
          r.prefixFetch.source.endpoint.name,
          engine,
          ms > r.firstEventMs * SLOW + r.prefixFetch.ms,
        );
      else
        paces.observeFirstEvent(ask.pool.name, engine, {
          firstEventMs: ms,
          prefillTokens: r.prefillTokens,
          attentionPairs: r.attentionPairs,
          queuedTokens: r.queuedTokens,
        });
    }

    function ended(how: AttemptResult): void {
      if (over) return;
      over = true;
      loads.recordEnd(f);
      standings.recordEnd(engine, how, f.sentAt);
      const left = (tenants.get(tenant) ?? 1) - 1;
      if (left > 0) tenants.set(tenant, left);
      else tenants.delete(tenant);
      if (how === 'answered') paces.observeSlot(ask.pool.name, ways.now() - f.sentAt);
      if (how !== 'turned-away' && f.firstEventAt !== undefined)
        paces.observeDecode(
          ask.pool.name,
          engine,
          ways.now() - f.firstEventAt,
          ask.maxOutputTokens,
        );
    }

    return { recordFirstEvent: first, recordEnd: ended };
  }

  function keep(names: ReadonlySet<string>): void {
    paces.retain(names);
    links.retain(names);
    standings.retain(names);
    loads.retain(names);
  }

  return {
    saltsToQuery: wantsIndex,
    place,
    start: began,
    loads,
    throughput: paces,
    transfers: links,
    ejection: standings,
    retain: keep,
  };
}
