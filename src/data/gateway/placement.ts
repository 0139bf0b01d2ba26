/**
 * Placement: finds the candidates for a request, estimates what each would cost, and decides for the cheapest or
 * rejects the request. It learns from the requests that it placed.
 */

import { Either, Left, Right } from 'purify-ts';
import { OverlapReply } from '../../shared/contracts/indexer';
import {
  computedTokensOf,
  prefixKnowledge,
  prefixSourcesOf,
  reportedPrefixes,
  sharedTokensOf,
} from './cached-prefix';
import { affinityKeyOf, CandidateFinder, idsOf } from './candidates';
import {
  Candidate,
  CostEstimate,
  estimateCosts,
  PrefixLookup,
  PrefixSource,
  Prompt,
} from './cost-estimate';
import { EngineLoads } from './engine-loads';
import { shedReason, TenantShares } from './load-shedding';
import { OutlierEjection } from './outlier-ejection';
import { PlacedRequest } from './placed-request';
import {
  PlacementDecision,
  PlacementOptions,
  PlacementRejection,
  PlacementRequest,
  PlacementStrategy,
  PoolView,
  StoreEndpoint,
} from './placement-types';
import { PreferredReplicas } from './preferred-replicas';
import { RecentPlacements } from './recent-placements';
import { ThroughputEstimator } from './throughput-estimate';
import { TransferEstimator } from './transfer-estimate';

/** Costs are spread by up to this share, so that routers do not all choose the same engine. */
const COST_JITTER_RATIO = 0.02;
/** A router that remembers fewer prompts than this presumes nothing that is worth a fetch. */
const MIN_REMEMBERED_PROMPTS = 4;
/** Blocks go to a store where at least this share of the prompt is shared: the request's own block goes along, and fills the store's link and memory. */
const MIN_STORED_SHARED_RATIO = 0.5;
/** The last urgency that is given. */
const MAX_URGENCY = 8;

/** One placement under way: its request, its candidates, and what they are compared by. */
interface Comparison {
  request: PlacementRequest;
  /** What indexers reported, by salt. */
  replies: ReadonlyMap<string, OverlapReply>;
  affinityKey: string;
  /** Tokens of the blocks that other prompts may share. */
  sharedTokens: number;
  ranks: ReadonlyMap<string, number>;
  candidates: readonly Candidate[];
}

interface RankedEstimate {
  estimate: CostEstimate;
  /** The estimate's cost by the strategy, with jitter. */
  cost: number;
}

function nameOf(store: StoreEndpoint): string {
  return store.name;
}

/** The requests' place in an engine's queue: the route's rank goes before the tenant's. */
function urgencyOf(request: PlacementRequest): number {
  return Math.min(MAX_URGENCY, request.routePriority * 2 + Math.min(1, request.tenantPriority));
}

/** The candidates by salt, in the order of the salts' first engines. */
function groupBySalt(candidates: readonly Candidate[]): Map<string, Candidate[]> {
  const groups = new Map<string, Candidate[]>();
  for (const candidate of candidates) {
    const group = groups.get(candidate.salt);
    if (group) group.push(candidate);
    else groups.set(candidate.salt, [candidate]);
  }
  return groups;
}

/** Places requests at engines, and learns from how they go. */
export class Placement {
  readonly loads: EngineLoads;
  readonly throughput = new ThroughputEstimator();
  readonly transfers = new TransferEstimator();
  readonly ejection: OutlierEjection;
  private readonly replicas = new PreferredReplicas();
  private readonly recent = new RecentPlacements();
  private readonly tenants = new TenantShares();
  private readonly strategy: PlacementStrategy;
  private readonly finder: CandidateFinder;

  constructor(private readonly options: PlacementOptions) {
    this.loads = new EngineLoads(options.now);
    this.ejection = new OutlierEjection(options.now, options.random, options.baseEjectionMs);
    this.strategy = options.strategy ?? 'full';
    this.finder = new CandidateFinder(this.replicas, this.loads, this.throughput);
  }

  /** The salts under which an index is worth asking for this request. */
  saltsToQuery(request: PlacementRequest): string[] {
    if (this.strategy !== 'full' || request.blocks.length === 0) return [];
    if (this.finder.isShortPrompt(request)) return [];
    const salts = new Set<string>();
    for (const { salt } of request.pool.engines) salts.add(salt);
    return [...salts];
  }

  /** Places a request; `replies` is what indexers reported, by salt. */
  place(
    request: PlacementRequest,
    replies: ReadonlyMap<string, OverlapReply>,
  ): Either<PlacementRejection, PlacementDecision> {
    const allowed = idsOf(request.pool.engines).filter(isAllowed);
    function isAllowed(id: string): boolean {
      return !request.excluded.has(id);
    }
    const usable = new Set(this.ejection.available(allowed, request.isIdempotent));
    if (usable.size === 0) return Left(this.noEngine(allowed));
    const affinityKey = affinityKeyOf(request);
    const ranks = this.finder.ranksByZone(request.pool.engines, affinityKey);
    const candidates = this.finder.find(request, usable, ranks);
    const sharedTokens = sharedTokensOf(request.blocks);
    const comparison = { request, replies, affinityKey, sharedTokens, ranks, candidates };
    const estimate = this.cheapest(comparison);
    const rejection = shedReason(request, candidates, estimate, this.tenants);
    return rejection ? Left(rejection) : Right(this.decide(comparison, estimate));
  }

  /** Counts a request that was sent where it was placed. */
  start(decision: PlacementDecision): PlacedRequest {
    const { loads, throughput, transfers, ejection, tenants, options } = this;
    const observers = { now: options.now, loads, throughput, transfers, ejection, tenants };
    const placed = new PlacedRequest(decision, observers);
    this.recent.record(decision.affinityKey, decision.estimate.candidate.endpoint.name);
    return placed;
  }

  /** Forgets all engines and stores but these. */
  retain(names: ReadonlySet<string>): void {
    this.throughput.retain(names);
    this.transfers.retain(names);
    this.ejection.retain(names);
    this.loads.retain(names);
  }

  private noEngine(names: readonly string[]): PlacementRejection {
    const { baseEjectionMs } = this.options;
    const retryAfterMs = Math.max(baseEjectionMs, this.ejection.msUntilAvailable(names));
    return { reason: 'no-engine', retryAfterMs };
  }

  private decide(comparison: Comparison, estimate: CostEstimate): PlacementDecision {
    const { request, affinityKey } = comparison;
    return {
      request,
      estimate,
      urgency: urgencyOf(request),
      storeAddress: this.storeToFill(comparison, estimate.candidate.salt),
      affinityKey,
    };
  }

  /** The cheapest estimate of all candidates; there is at least one. */
  private cheapest(comparison: Comparison): CostEstimate {
    let best: RankedEstimate | undefined;
    for (const [salt, candidates] of groupBySalt(comparison.candidates))
      for (const estimate of this.estimateGroup(comparison, salt, candidates)) {
        const cost = this.strategyCost(estimate);
        if (!best || cost < best.cost) best = { estimate, cost };
      }
    return best!.estimate;
  }

  /** Estimates the candidates of one salt, the cheapest first. */
  private estimateGroup(
    comparison: Comparison,
    salt: string,
    candidates: readonly Candidate[],
  ): CostEstimate[] {
    const { request, replies, affinityKey, sharedTokens, ranks } = comparison;
    const isFull = this.strategy === 'full';
    const reply = isFull ? replies.get(salt) : undefined;
    const { atEngine, atSource } = prefixKnowledge(reply, {
      sharedTokens,
      recentEngines: this.recent.enginesOf(affinityKey),
      ranks,
      mayFetch: this.recent.keyCount >= MIN_REMEMBERED_PROMPTS,
    });
    const sources = isFull ? this.prefixSources(request.pool, salt, atSource) : [];
    const prompt = this.promptOf(request, sharedTokens, reply);
    return estimateCosts(prompt, candidates, atEngine, sources, this.transfers);
  }

  private prefixSources(pool: PoolView, salt: string, prefixAt: PrefixLookup): PrefixSource[] {
    const healthy = new Set(this.ejection.available(idsOf(pool.engines), false));
    return prefixSourcesOf(pool, salt, healthy, prefixAt);
  }

  private strategyCost(estimate: CostEstimate): number {
    const { load, cacheTokens, preferenceRank } = estimate.candidate;
    if (this.strategy === 'affinity') return preferenceRank;
    if (this.strategy === 'least-busy')
      return load.running + load.prefillTokens / Math.max(1, cacheTokens);
    return estimate.cost * (1 + COST_JITTER_RATIO * this.options.random());
  }

  private promptOf(
    request: PlacementRequest,
    sharedTokens: number,
    reply: OverlapReply | undefined,
  ): Prompt {
    const { promptTokens, maxOutputTokens, latencyTargetMs, remainingMs } = request;
    return {
      promptTokens,
      maxOutputTokens,
      sharedTokens,
      computedTokens: computedTokensOf(reply, sharedTokens),
      tokenBytes: request.pool.tokenBytes,
      latencyTargetMs,
      remainingMs,
      zone: this.options.zone,
    };
  }

  /** The address of the store that lacks some of the shared blocks: the same store for a block at every router. */
  private storeToFill(
    { request, replies, affinityKey, sharedTokens }: Comparison,
    salt: string,
  ): string | undefined {
    const { stores } = request.pool;
    const reply = replies.get(salt);
    if (!reply || stores.length === 0) return undefined;
    if (sharedTokens < request.promptTokens * MIN_STORED_SHARED_RATIO) return undefined;
    const ranks = this.replicas.rank(affinityKey, stores.map(nameOf));
    function isPreferred(store: StoreEndpoint): boolean {
      return ranks.get(store.name) === 0;
    }
    const store = stores.find(isPreferred);
    if (!store) return undefined;
    const { cachedTokens, pendingTokens } = reportedPrefixes(reply)(store.name);
    return cachedTokens + pendingTokens < sharedTokens ? store.address : undefined;
  }
}
