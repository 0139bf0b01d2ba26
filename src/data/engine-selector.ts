/**
 * Chooses an engine for a prompt: the one that is taken to give the first piece soonest, by what an index knows of cached
 * prefixes, or by affinity where none replied.
 */

import { PromptBlock } from '../shared/contracts/engine';
import { Follower } from '../shared/replication/follower';
import { rankByRendezvousHash } from '../shared/util/hashing';
import { RandomSource } from '../shared/ports/random';
import { CacheStore, IntentsValue } from '../shared/state/intents';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { EngineTracker, TrackedEngine } from './engine-tracker';
import { Overlap } from './overlap-client';
import { tokensOf } from './caller-request';

/** How much a token counts of which an indexer is in doubt. */
const DOUBTED_TOKEN_RATIO = 0.5;
/** Tokens that a request waiting beyond the batch is taken to hold an engine up by. */
const TOKENS_PER_WAITING_REQUEST = 300;
/** The share of an engine's queue that requests which are not urgent may fill. */
const MAX_QUEUE_RATIO = 0.5;
/** The share of a prompt that its first preferred engine is taken to have to read where no index knows. */
const PREFERRED_PREFILL_RATIO = 0.3;
/** Costs are spread by this share, so that routers do not all choose the same. */
const COST_JITTER_RATIO = 0.02;
/** Ms that each rank of preference costs: where no index knows, and where one does, which keeps equals together. */
const RANK_COST_MS = 1;
const INDEXED_RANK_COST_MS = 0.5;
/** Affinity goes by a prompt's blocks up to this one, and never by the last. */
const MAX_AFFINITY_BLOCK = 7;

/** What is to be placed. */
export interface ChoiceRequest {
  model: string;
  salt: string;
  blocks: PromptBlock[];
  isUrgent: boolean;
  /** The weights that an engine would run it with; none where it must not. */
  weightsAt: (tracked: TrackedEngine) => string | undefined;
  /** Ids of engines that it must not be sent to. */
  excluded: ReadonlySet<string>;
}

/** A fetch of cached blocks before an engine begins to read. */
export interface BlockFetch {
  /** The source's id and address. */
  from: string;
  at: string;
  hashes: string[];
}

/** Where a request goes, and what is fetched for it. */
export interface EngineChoice {
  tracked: TrackedEngine;
  weights: string;
  /** Blocks from the prompt's front that the engine is expected to have cached. */
  expectedBlocks: number;
  /** Whether an indexer is certain of them. */
  isCertain: boolean;
  fetch?: BlockFetch;
  /** Whether an indexer replied. */
  isIndexed: boolean;
}

/** An engine that may take the request, and the weights that it would run with. */
interface Candidate {
  tracked: TrackedEngine;
  weights: string;
  /** Its rank of preference; 0 is the first. */
  rank: number;
}

interface PricedChoice {
  /** In ms. */
  cost: number;
  choice: EngineChoice;
}

function hashOf({ hash }: PromptBlock): string {
  return hash;
}

/** Whether an engine's batch and queue have room for one more. */
function hasRoom({ status, sentSinceStatus }: TrackedEngine, isUrgent: boolean): boolean {
  const { running, waiting, batch, queue } = status!;
  const maxQueue = isUrgent ? queue : queue * MAX_QUEUE_RATIO;
  return running + waiting + sentSinceStatus < batch + maxQueue;
}

/** Ms until an engine begins to read the prompt. */
function queueMs(tracked: TrackedEngine): number {
  const { status, sentSinceStatus, sentTokensSinceStatus, msPerPrefillToken } = tracked;
  const { unreadTokens, running, waiting, batch } = status!;
  const unreadMs = (unreadTokens + sentTokensSinceStatus) * msPerPrefillToken;
  const excessRequests = Math.max(0, running + waiting + sentSinceStatus + 1 - batch);
  return unreadMs + excessRequests * msPerPrefillToken * TOKENS_PER_WAITING_REQUEST;
}

/** By what engines are ranked for a prompt: its salt, and the last block that prompts of one kind may share. */
function affinityKeyOf({ blocks, salt }: ChoiceRequest): string {
  const index = blocks.length > 1 ? Math.min(blocks.length - 2, MAX_AFFINITY_BLOCK) : 0;
  return `${salt} ${blocks[index]?.hash ?? ''}`;
}

/** The cost where no index replied. */
function priceByAffinity(candidate: Candidate, promptTokens: number): PricedChoice {
  const { tracked, weights, rank } = candidate;
  const prefillRatio = rank === 0 ? PREFERRED_PREFILL_RATIO : 1;
  const prefillMs = promptTokens * tracked.msPerPrefillToken * prefillRatio;
  return {
    cost: queueMs(tracked) + prefillMs + rank * RANK_COST_MS,
    choice: { tracked, weights, expectedBlocks: 0, isCertain: false, isIndexed: false },
  };
}

/** Chooses engines for prompts. */
export class EngineSelector {
  constructor(
    private readonly random: RandomSource,
    private readonly follower: Follower,
    private readonly engines: EngineTracker,
  ) {}

  /** Chooses an engine; `overlaps` is what indexers replied by weights. Nothing where none may take the request. */
  choose(
    request: ChoiceRequest,
    overlaps: ReadonlyMap<string, Overlap[] | undefined>,
  ): EngineChoice | undefined {
    const promptTokens = tokensOf(request.blocks);
    let best: PricedChoice | undefined;
    for (const candidate of this.candidatesFor(request)) {
      const known = overlaps.get(candidate.weights);
      const priced = known
        ? this.priceByIndex(candidate, request, promptTokens, known)
        : priceByAffinity(candidate, promptTokens);
      const cost = priced.cost * (1 + COST_JITTER_RATIO * this.random.next());
      if (!best || cost < best.cost) best = { cost, choice: priced.choice };
    }
    return best?.choice;
  }

  private candidatesFor(request: ChoiceRequest): Candidate[] {
    const candidates: Candidate[] = [];
    const ids: string[] = [];
    for (const tracked of this.engines.ofModel(request.model)) {
      const weights = request.weightsAt(tracked);
      const { id } = tracked.engine;
      if (weights === undefined || request.excluded.has(id)) continue;
      if (!this.engines.isUsable(tracked) || !hasRoom(tracked, request.isUrgent)) continue;
      ids.push(id);
      candidates.push({ tracked, weights, rank: 0 });
    }
    const ranked = rankByRendezvousHash(affinityKeyOf(request), ids);
    for (const candidate of candidates)
      candidate.rank = ranked.indexOf(candidate.tracked.engine.id);
    return candidates;
  }

  /** The cost by what an index knows, with the fetch that saves most. */
  private priceByIndex(
    { tracked, weights, rank }: Candidate,
    { blocks }: ChoiceRequest,
    promptTokens: number,
    overlaps: readonly Overlap[],
  ): PricedChoice {
    const { id } = tracked.engine;
    const { msPerPrefillToken } = tracked;
    let own: Overlap = { source: id, tokens: 0, doubted: 0, parts: 0 };
    for (const overlap of overlaps) if (overlap.source === id) own = overlap;
    const ownTokens = own.tokens + own.doubted * DOUBTED_TOKEN_RATIO;
    const waitMs = queueMs(tracked);
    const rankMs = rank * INDEXED_RANK_COST_MS;
    let cost = waitMs + (promptTokens - ownTokens) * msPerPrefillToken + rankMs;
    let fetch: BlockFetch | undefined;
    for (const overlap of overlaps) {
      if (overlap.source === id || overlap.parts <= own.parts) continue;
      const at = this.sourceAddress(overlap.source);
      if (!at) continue;
      const missing = blocks.slice(own.parts, overlap.parts);
      const tokens = tokensOf(missing);
      const transferMs = tokens * this.engines.transferMsPerToken(overlap.source, id);
      const certainty = overlap.tokens / Math.max(1, overlap.tokens + overlap.doubted);
      const readTokens = promptTokens - ownTokens - tokens * certainty;
      const fetchedCost = waitMs + transferMs + readTokens * msPerPrefillToken + rankMs;
      if (fetchedCost >= cost) continue;
      cost = fetchedCost;
      fetch = { from: overlap.source, at, hashes: missing.map(hashOf) };
    }
    const isCertain = own.doubted === 0;
    const choice = {
      tracked,
      weights,
      expectedBlocks: own.parts,
      isCertain,
      fetch,
      isIndexed: true,
    };
    return { cost, choice };
  }

  /** The address of a source: a usable engine, or a store. */
  private sourceAddress(source: string): string | undefined {
    const tracked = this.engines.get(source);
    if (tracked) return this.engines.isUsable(tracked) ? tracked.engine.at : undefined;
    function isSource({ id }: CacheStore): boolean {
      return id === source;
    }
    return this.stores().find(isSource)?.at;
  }

  private stores(): CacheStore[] {
    return this.follower.value<IntentsValue>(CONTROL_KEYS.intents)?.value.doc.cacheStores ?? [];
  }
}
