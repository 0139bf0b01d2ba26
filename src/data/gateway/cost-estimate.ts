/**
 * Cost estimate: what sending a request to an engine would cost, in ms. It is the time to the first event, and what the
 * request takes from others: prefill, prefix recomputation, transfers, and the last slots of an engine.
 */

import { EngineLoadSnapshot } from './engine-loads';
import { ThroughputEstimate } from './throughput-estimate';
import { LinkEndpoint, TransferEstimator } from './transfer-estimate';

/** An engine that may serve a request, as far as it is known. */
export interface Candidate {
  endpoint: LinkEndpoint;
  /** The salt under which it keeps and finds the request's blocks. */
  salt: string;
  /** Requests that it runs at once. */
  batch: number;
  /** Tokens that its KV cache holds. */
  cacheTokens: number;
  load: EngineLoadSnapshot;
  throughput: ThroughputEstimate;
  /** Its rank among the preferred replicas of the prompt's shared prefix; 0 is the first. */
  preferenceRank: number;
  /** What is added where others are meant to take such a request: ms, and a share of the ms of its own prefill. */
  penaltyMs: number;
  prefillPenaltyRatio: number;
}

/** What an engine or a store has of a prompt from its front on, in tokens: what it keeps, and what requests under way will add. */
export interface CachedPrefix {
  cachedTokens: number;
  pendingTokens: number;
}

/** Tells what an engine or a store has of the prompt, by its name. */
export type PrefixLookup = (name: string) => CachedPrefix;

/** An engine or a store that a cached prefix can be fetched from. */
export interface PrefixSource {
  endpoint: LinkEndpoint;
  address: string;
  cachedTokens: number;
}

/** The prompt that is to be placed. Times are ms from now. */
export interface Prompt {
  promptTokens: number;
  maxOutputTokens: number;
  /** Tokens of the blocks that other requests may share. */
  sharedTokens: number;
  /** How many of those some engine or store is known to have computed. */
  computedTokens: number;
  /** Bytes of one cached token. */
  tokenBytes: number;
  latencyTargetMs: number;
  remainingMs: number;
  /** The zone that it is sent from. */
  zone: string;
}

/** The fetch of a cached prefix before an engine begins to read. */
export interface PrefixFetch {
  source: PrefixSource;
  tokens: number;
  ms: number;
}

/** What one engine would mean for a request. Times are ms from now. */
export interface CostEstimate {
  candidate: Candidate;
  /** To its first event. */
  firstEventMs: number;
  /** Of that, until its own prompt is begun with. */
  queueMs: number;
  /** Tokens that the engine would read, and pairs of tokens attended to. */
  prefillTokens: number;
  attentionPairs: number;
  /** Unread tokens of others at the engine. */
  queuedTokens: number;
  prefixFetch?: PrefixFetch;
  /** What is compared: the time, and what it costs others. */
  cost: number;
}

/** What each ms of prefill costs others that wait at the engine. */
const PREFILL_COST_RATIO = 0.6;
/** What each ms costs that is spent on computing a shared prefix again: it is the dearest that an engine does. */
const RECOMPUTE_COST_RATIO = 16;
/** What each ms of a transfer costs beside the time. */
const TRANSFER_COST_RATIO = 0.1;
/** The share of the latency target that going to another zone must gain. */
const CROSS_ZONE_COST_RATIO = 0.05;
/** The share of the latency target by which equals are kept in the order of preference, and the ranks over which it rises. */
const PREFERENCE_COST_RATIO = 0.02;
const MAX_PREFERENCE_RANK = 8;
/** What pending tokens count of cached ones. */
const PENDING_TOKEN_RATIO = 0.9;
/** A fetch must save this share of the prefill time that it spares. */
const MIN_FETCH_SAVING_RATIO = 0.1;
/** Ms that setting a transfer up takes beside the bytes. */
const TRANSFER_SETUP_MS = 2;
/** The share of an engine's KV cache that requests may fill before one more is taken to wait. */
const MAX_CACHE_FILL_RATIO = 0.95;
/** What an engine costs that reads prompts all the time, as a share of the latency target: its decode is slow. */
const BUSY_PREFILL_COST_RATIO = 0.3;
/** What the last slot of an engine costs, as a share of the latency target: requests that come there are preempted. */
const LAST_SLOT_COST_RATIO = 0.2;
/** An answer is taken to end this many times later than it might, so that its time does not pass. */
const COMPLETION_SAFETY_RATIO = 1.25;
/** Each token too many for an engine's KV cache is taken to be read this many times over, as requests are preempted. */
const PREEMPTION_READ_RATIO = 2;

/** Pairs of tokens attended to while reading the last `prefillTokens` of `promptTokens`. */
function attentionPairsOf(promptTokens: number, prefillTokens: number): number {
  const cachedTokens = promptTokens - prefillTokens;
  return (promptTokens * promptTokens - cachedTokens * cachedTokens) / 2;
}

/** Ms that prefill takes an engine. */
function prefillMs(
  throughput: ThroughputEstimate,
  prefillTokens: number,
  attentionPairs: number,
): number {
  return (
    prefillTokens * throughput.msPerPrefillToken + attentionPairs * throughput.msPerAttentionPair
  );
}

/** Ms until an engine begins to read the prompt: unread prompts of others, silence, and waiting for a slot and for cache. */
function queueMsAt(candidate: Candidate, prompt: Prompt): number {
  const { load, throughput, batch } = candidate;
  let queueMs = load.prefillTokens * throughput.msPerQueuedToken + load.overdueMs;
  const excessRequests = load.running + 1 - batch;
  if (excessRequests > 0) queueMs += (excessRequests * throughput.slotMs) / batch;
  const excessTokens =
    load.memoryTokens +
    prompt.promptTokens +
    prompt.maxOutputTokens -
    candidate.cacheTokens * MAX_CACHE_FILL_RATIO;
  if (excessTokens > 0 && load.memoryTokens > 0)
    queueMs +=
      throughput.slotMs +
      Math.min(excessTokens, load.memoryTokens) *
        throughput.msPerPrefillToken *
        PREEMPTION_READ_RATIO;
  return queueMs;
}

/** What an engine costs whatever it has cached: a full or busy engine, distance, and the order of preference. */
function fixedCostAt(candidate: Candidate, prompt: Prompt): number {
  const { load, preferenceRank } = candidate;
  const { latencyTargetMs } = prompt;
  const fill = Math.min(1, load.running / candidate.batch);
  const isRemote = candidate.endpoint.zone !== prompt.zone;
  return (
    candidate.penaltyMs +
    BUSY_PREFILL_COST_RATIO * load.prefillRatio * load.prefillRatio * latencyTargetMs +
    LAST_SLOT_COST_RATIO * fill * fill * latencyTargetMs +
    (isRemote ? CROSS_ZONE_COST_RATIO * latencyTargetMs : 0) +
    (Math.min(preferenceRank, MAX_PREFERENCE_RANK) / MAX_PREFERENCE_RANK) *
      PREFERENCE_COST_RATIO *
      latencyTargetMs
  );
}

/** The cost estimates of one engine for one prompt, with and without a fetch. */
class CandidateCosts {
  private readonly queueMs: number;
  private readonly fixedCost: number;

  constructor(
    private readonly candidate: Candidate,
    private readonly prompt: Prompt,
  ) {
    this.queueMs = queueMsAt(candidate, prompt);
    this.fixedCost = fixedCostAt(candidate, prompt);
  }

  /** The cost where `cachedTokens` of the prompt need not be read, after a fetch where there is one. */
  estimate(cachedTokens: number, prefixFetch?: PrefixFetch): CostEstimate {
    const { candidate, prompt, queueMs } = this;
    const { throughput } = candidate;
    const prefillTokens = Math.max(0, prompt.promptTokens - cachedTokens);
    const attentionPairs = attentionPairsOf(prompt.promptTokens, prefillTokens);
    const readMs = prefillMs(throughput, prefillTokens, attentionPairs);
    const fetchMs = prefixFetch?.ms ?? 0;
    const firstEventMs = throughput.baseMs + queueMs + fetchMs + readMs;
    return {
      candidate,
      firstEventMs,
      queueMs,
      prefillTokens,
      attentionPairs,
      queuedTokens: candidate.load.prefillTokens,
      prefixFetch,
      cost:
        firstEventMs +
        readMs * (PREFILL_COST_RATIO + candidate.prefillPenaltyRatio) +
        fetchMs * TRANSFER_COST_RATIO +
        this.recomputedTokens(cachedTokens) * throughput.msPerPrefillToken * RECOMPUTE_COST_RATIO +
        this.lateMs(firstEventMs) +
        this.fixedCost,
    };
  }

  /** Ms that an estimate's prefill takes. */
  prefillMsOf(estimate: CostEstimate): number {
    return prefillMs(this.candidate.throughput, estimate.prefillTokens, estimate.attentionPairs);
  }

  /** Shared tokens that would be read although they were computed before. */
  private recomputedTokens(cachedTokens: number): number {
    return Math.max(
      0,
      Math.min(this.prompt.sharedTokens, this.prompt.computedTokens) - cachedTokens,
    );
  }

  /** Ms by which the answer would end after the request's time is over. */
  private lateMs(firstEventMs: number): number {
    const { maxOutputTokens, remainingMs } = this.prompt;
    const endMs = firstEventMs + maxOutputTokens * this.candidate.throughput.msPerOutputToken;
    return Math.max(0, endMs * COMPLETION_SAFETY_RATIO - remainingMs);
  }
}

/** Estimates one engine without a fetch, and with one from each source that has more of the prompt; gives the best. */
function estimateCandidate(
  candidate: Candidate,
  prompt: Prompt,
  own: CachedPrefix,
  sources: readonly PrefixSource[],
  transfers: TransferEstimator,
): CostEstimate {
  const costs = new CandidateCosts(candidate, prompt);
  const ownTokens = Math.min(
    prompt.promptTokens,
    own.cachedTokens + own.pendingTokens * PENDING_TOKEN_RATIO,
  );
  let best = costs.estimate(ownTokens);
  const readMs = costs.prefillMsOf(best);
  for (const source of sources) {
    const tokens = Math.min(prompt.promptTokens, source.cachedTokens) - ownTokens;
    if (tokens <= 0 || source.endpoint.name === candidate.endpoint.name) continue;
    const ms =
      TRANSFER_SETUP_MS +
      candidate.load.transferMs +
      transfers.transferMs(source.endpoint, candidate.endpoint, tokens * prompt.tokenBytes);
    const estimate = costs.estimate(ownTokens + tokens, { source, tokens, ms });
    const minSavingMs = MIN_FETCH_SAVING_RATIO * (readMs - costs.prefillMsOf(estimate));
    if (estimate.cost < best.cost - minSavingMs) best = estimate;
  }
  return best;
}

/** Estimates all candidates, the cheapest first. */
export function estimateCosts(
  prompt: Prompt,
  candidates: readonly Candidate[],
  prefixOf: PrefixLookup,
  sources: readonly PrefixSource[],
  transfers: TransferEstimator,
): CostEstimate[] {
  const estimates: CostEstimate[] = [];
  for (const candidate of candidates) {
    const own = prefixOf(candidate.endpoint.name);
    estimates.push(estimateCandidate(candidate, prompt, own, sources, transfers));
  }
  return estimates.sort(byCost);
}

function byCost(a: CostEstimate, b: CostEstimate): number {
  return a.cost - b.cost;
}
