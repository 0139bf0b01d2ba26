import { Either } from 'purify-ts';
import { PromptBlock } from '../../shared/contracts/engine';
import { OverlapReply } from '../../shared/contracts/indexer';
import { TransferEstimator } from './transfer-estimate';
import { EngineLoads } from './engine-loads';
import { ThroughputEstimator } from './throughput-estimate';
import { CostEstimate } from './cost-estimate';
import { AttemptResult, OutlierEjection } from './outlier-ejection';

/** An engine of the pool, as the list has it. */
export interface EngineEndpoint {
  id: string;
  address: string;
  zone: string;
  region?: string;
  batch?: number;
  /** The text under which it keeps and finds this request's parts. */
  salt: string;
}

/** A store of kept parts. */
export interface StoreEndpoint {
  name: string;
  address: string;
  zone: string;
  region?: string;
  linkMbps: number;
}

/** A pool as placement sees it. */
export interface PoolView {
  name: string;
  batch: number;
  cacheTokens: number;
  tokenBytes: number;
  linkMbps: number;
  engines: EngineEndpoint[];
  stores: StoreEndpoint[];
}

/** One request that wants an engine. */
export interface PlacementRequest {
  pool: PoolView;
  /** Stands for the wall and the weights that are named. */
  cacheScope: string;
  blocks: readonly PromptBlock[];
  promptTokens: number;
  maxOutputTokens: number;
  /** Ms of its aim that are left, and of the time that it may take. */
  latencyTargetMs: number;
  remainingMs: number;
  /** Ranks; 0 is the highest. */
  routePriority: number;
  tenantPriority: number;
  tenant?: string;
  isIdempotent: boolean;
  excluded: ReadonlySet<string>;
}

/** Where a request goes. */
export interface PlacementDecision {
  request: PlacementRequest;
  estimate: CostEstimate;
  urgency: number;
  /** The store that is to get the parts that are read. */
  storeAddress?: string;
  affinityKey: string;
}

/** Why a request is refused at once, and in how many ms a place is to be expected. */
export interface PlacementRejection {
  reason: 'no-engine' | 'full' | 'too-late';
  retryAfterMs: number;
}

/** A request under way at its engine. */
export interface PlacedRequest {
  recordFirstEvent: () => void;
  recordEnd: (how: AttemptResult) => void;
}

/** How engines are compared: `full` reckons all that is known, `affinity` takes the home, `least-busy` the engine with the least at work. */
export type PlacementStrategy = 'full' | 'affinity' | 'least-busy';

/** Places requests at engines. */
export interface Placement {
  /** The salts under which an index is worth asking for this request. */
  saltsToQuery: (ask: PlacementRequest) => string[];
  /** Places a request; `kept` is what an index answered by salt. */
  place: (
    ask: PlacementRequest,
    kept: ReadonlyMap<string, OverlapReply>,
  ) => Either<PlacementRejection, PlacementDecision>;
  start: (p: PlacementDecision) => PlacedRequest;
  loads: EngineLoads;
  throughput: ThroughputEstimator;
  transfers: TransferEstimator;
  ejection: OutlierEjection;
  /** Forgets engines and stores that are gone. */
  retain: (names: ReadonlySet<string>) => void;
}

/** What placement stands on. */
export interface PlacementOptions {
  now: () => number;
  random: () => number;
  /** The zone that requests are sent from. */
  zone: string;
  /** The first rest of an engine that failed, in ms. */
  baseEjectionMs: number;
  strategy?: PlacementStrategy;
}
