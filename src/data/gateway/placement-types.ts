/**
 * What placement is asked and what it decides.
 */

import { PromptBlock } from '../../shared/contracts/engine';
import { CostEstimate } from './cost-estimate';

/** An engine of a pool, as the platform's list has it. */
export interface EngineEndpoint {
  id: string;
  address: string;
  zone: string;
  region?: string;
  /** Requests that it runs at once, where that differs from its pool. */
  batch?: number;
  /** The salt under which it keeps and finds this request's blocks. */
  salt: string;
}

/** A store of cached prompt blocks. */
export interface StoreEndpoint {
  name: string;
  address: string;
  zone: string;
  region?: string;
  /** Mbit/s of its link. */
  linkMbps: number;
}

/** A pool as placement sees it. */
export interface PoolView {
  name: string;
  /** Requests that one engine runs at once. */
  batch: number;
  /** Tokens that one engine's KV cache holds. */
  cacheTokens: number;
  /** Bytes of one cached token. */
  tokenBytes: number;
  /** Mbit/s of one engine's link. */
  linkMbps: number;
  engines: EngineEndpoint[];
  stores: StoreEndpoint[];
}

/** One request that wants an engine. */
export interface PlacementRequest {
  pool: PoolView;
  /** Names the tenant's isolation and the weights: blocks are shared within one scope only. */
  cacheScope: string;
  /** The prompt's blocks in order; the last one is taken to be the request's own. */
  blocks: readonly PromptBlock[];
  promptTokens: number;
  maxOutputTokens: number;
  /** Ms of its latency target that are left, and of the time that it may take. */
  latencyTargetMs: number;
  remainingMs: number;
  /** Ranks; 0 is the highest. */
  routePriority: number;
  tenantPriority: number;
  tenant?: string;
  isIdempotent: boolean;
  /** Ids of engines that it must not be sent to. */
  excluded: ReadonlySet<string>;
}

/** Where a request goes. */
export interface PlacementDecision {
  request: PlacementRequest;
  estimate: CostEstimate;
  /** 0 goes first. */
  urgency: number;
  /** The store that is to get the blocks that are read. */
  storeAddress?: string;
  /** What the preferred replicas were ranked by. */
  affinityKey: string;
}

/** Why a request is rejected at once, and in how many ms a slot is to be expected. */
export interface PlacementRejection {
  reason: 'no-engine' | 'full' | 'too-late';
  retryAfterMs: number;
}

/** How engines are compared: `full` by the cost estimate, `affinity` by preference alone, `least-busy` by load alone. */
export type PlacementStrategy = 'full' | 'affinity' | 'least-busy';

/** What a placement works with. */
export interface PlacementOptions {
  /** Monotonic ms. */
  now: () => number;
  /** Draws from 0 to under 1. */
  random: () => number;
  /** The zone that requests are sent from. */
  zone: string;
  /** The first ejection of an engine that failed, in ms. */
  baseEjectionMs: number;
  /** `full` where it is left out. */
  strategy?: PlacementStrategy;
}
