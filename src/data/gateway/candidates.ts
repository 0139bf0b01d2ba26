/**
 * Candidates: the engines of a pool that may serve a request, with their load, throughput and preference, and whether
 * they are of those that long prompts go to.
 */

import { Candidate } from './cost-estimate';
import { engineLink } from './cached-prefix';
import { EngineLoads } from './engine-loads';
import { EngineEndpoint, PlacementRequest } from './placement-types';
import { PreferredReplicas } from './preferred-replicas';
import { ThroughputEstimator } from './throughput-estimate';

/** A prompt whose prefill takes less than this share of its latency target is short: no index is asked for it. */
const SHORT_PROMPT_RATIO = 0.08;
/** The share of each zone's engines that long prompts are rather sent to. */
const LONG_PROMPT_ENGINES_RATIO = 0.75;
/** What a short prompt must gain, as a share of its latency target, to go to an engine of long ones. */
const SHORT_PROMPT_PENALTY_RATIO = 0.1;
/** What a long prompt must gain, as a share of its prefill time, to go to an engine of short ones. */
const LONG_PROMPT_PENALTY_RATIO = 0.3;

function idOf({ id }: { id: string }): string {
  return id;
}

/** The ids of engines, in their order. */
export function idsOf(engines: readonly { id: string }[]): string[] {
  return engines.map(idOf);
}

/** By what the preferred replicas of a prompt are ranked: its scope, and the last block that others may share. */
export function affinityKeyOf(request: PlacementRequest): string {
  const { blocks, cacheScope } = request;
  return `${cacheScope} ${blocks[Math.max(0, blocks.length - 2)]?.hash ?? ''}`;
}

function countByZone(engines: readonly EngineEndpoint[]): Map<string, number> {
  const counts = new Map<string, number>();
  for (const { zone } of engines) counts.set(zone, (counts.get(zone) ?? 0) + 1);
  return counts;
}

/** Makes the candidates of requests. */
export class CandidateFinder {
  constructor(
    private readonly replicas: PreferredReplicas,
    private readonly loads: EngineLoads,
    private readonly throughput: ThroughputEstimator,
  ) {}

  /** Whether a prompt is short for its latency target, by its pool's throughput. */
  isShortPrompt(request: PlacementRequest): boolean {
    const { msPerPrefillToken } = this.throughput.estimate(request.pool.name, '');
    return request.promptTokens * msPerPrefillToken <= SHORT_PROMPT_RATIO * request.latencyTargetMs;
  }

  /** Ranks of engines for a key, each within its zone: a prompt has a preferred replica in each, so that it need not cross zones. */
  ranksByZone(engines: readonly EngineEndpoint[], key: string): Map<string, number> {
    const overall = this.replicas.rank(key, idsOf(engines));
    function byRank(a: EngineEndpoint, b: EngineEndpoint): number {
      return overall.get(a.id)! - overall.get(b.id)!;
    }
    const counts = new Map<string, number>();
    const ranks = new Map<string, number>();
    for (const { id, zone } of [...engines].sort(byRank)) {
      const rank = counts.get(zone) ?? 0;
      counts.set(zone, rank + 1);
      ranks.set(id, rank);
    }
    return ranks;
  }

  /** The candidates among the engines that may be used, in the pool's order. */
  find(
    request: PlacementRequest,
    usable: ReadonlySet<string>,
    ranks: ReadonlyMap<string, number>,
  ): Candidate[] {
    const isShort = this.isShortPrompt(request);
    const longPromptEngines = this.longPromptEngines(request);
    const candidates: Candidate[] = [];
    for (const engine of request.pool.engines) {
      if (!usable.has(engine.id)) continue;
      const isForLong = longPromptEngines.has(engine.id);
      candidates.push(this.candidateAt(engine, request, ranks.get(engine.id)!, isShort, isForLong));
    }
    return candidates;
  }

  private candidateAt(
    engine: EngineEndpoint,
    request: PlacementRequest,
    preferenceRank: number,
    isShort: boolean,
    isForLong: boolean,
  ): Candidate {
    const { pool, latencyTargetMs } = request;
    return {
      endpoint: engineLink(engine, pool),
      salt: engine.salt,
      batch: Math.max(1, engine.batch ?? pool.batch),
      cacheTokens: pool.cacheTokens,
      load: this.loads.snapshot(engine.id),
      throughput: this.throughput.estimate(pool.name, engine.id),
      preferenceRank,
      penaltyMs: isShort && isForLong ? latencyTargetMs * SHORT_PROMPT_PENALTY_RATIO : 0,
      prefillPenaltyRatio: !isShort && !isForLong ? LONG_PROMPT_PENALTY_RATIO : 0,
    };
  }

  /** Engines that long prompts are rather sent to: most of each zone's, but never all, in an order that all routers share. */
  private longPromptEngines({ pool }: PlacementRequest): Set<string> {
    const ranks = this.ranksByZone(pool.engines, pool.name);
    const counts = countByZone(pool.engines);
    const chosen = new Set<string>();
    for (const { id, zone } of pool.engines) {
      const count = counts.get(zone)!;
      const maxCount = Math.min(count - 1, Math.round(count * LONG_PROMPT_ENGINES_RATIO));
      if (ranks.get(id)! < maxCount) chosen.add(id);
    }
    return chosen;
  }
}
