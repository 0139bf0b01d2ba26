import { Either } from 'purify-ts';
import { PromptBlock } from '../../shared/contracts/engine';
import { OverlapReply } from '../../shared/contracts/indexer';
import { Links } from './links';
import { Loads } from './loads';
import { Paces } from './pace';
import { Reckoned } from './reckon';
import { Ending, Standings } from './standing';

/** An engine of the pool, as the list has it. */
export interface EngineSpot {
  id: string;
  at: string;
  zone: string;
  region?: string;
  batch?: number;
  /** The text under which it keeps and finds this request's parts. */
  salt: string;
}

/** A store of kept parts. */
export interface StoreSpot {
  name: string;
  at: string;
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
  engines: EngineSpot[];
  stores: StoreSpot[];
}

/** One request that wants an engine. */
export interface PlaceAsk {
  pool: PoolView;
  /** Stands for the wall and the weights that are named. */
  wall: string;
  parts: readonly PromptBlock[];
  tokensIn: number;
  tokensOut: number;
  /** Ms of its aim that are left, and of the time that it may take. */
  aimMs: number;
  leftMs: number;
  /** Ranks; 0 is the highest. */
  routePriority: number;
  tenantPriority: number;
  tenant?: string;
  repeatable: boolean;
  avoid: ReadonlySet<string>;
}

/** Where a request goes. */
export interface Placed {
  ask: PlaceAsk;
  reckoned: Reckoned;
  urgency: number;
  /** The store that is to get the parts that are read. */
  storeAt?: string;
  home: string;
}

/** Why a request is refused at once, and in how many ms a place is to be expected. */
export interface NoPlace {
  why: 'no-engine' | 'full' | 'too-late';
  retryAfterMs: number;
}

/** A request under way at its engine. */
export interface Underway {
  first: () => void;
  ended: (how: Ending) => void;
}

/** How engines are compared: `full` reckons all that is known, `affinity` takes the home, `least-busy` the engine with the least at work. */
export type PlaceWay = 'full' | 'affinity' | 'least-busy';

/** Places requests at engines. */
export interface Placement {
  /** The salts under which an index is worth asking for this request. */
  wantsIndex: (ask: PlaceAsk) => string[];
  /** Places a request; `kept` is what an index answered by salt. */
  place: (ask: PlaceAsk, kept: ReadonlyMap<string, OverlapReply>) => Either<NoPlace, Placed>;
  began: (p: Placed) => Underway;
  loads: Loads;
  paces: Paces;
  links: Links;
  standings: Standings;
  /** Forgets engines and stores that are gone. */
  keep: (names: ReadonlySet<string>) => void;
}

/** What placement stands on. */
export interface PlaceWays {
  now: () => number;
  spread: () => number;
  /** The zone that requests are sent from. */
  zone: string;
  /** The first rest of an engine that failed, in ms. */
  pause: number;
  way?: PlaceWay;
}
