import { PromptBlock } from '../contracts/engine';

/** How often a route's requests may run: any number of times, once a try, or once a try as a stream of events. */
export type RouteKind = 'safe' | 'unsafe' | 'streaming';

/** How requests of one host and path prefix are served. Times are ms. */
export interface HttpRoute {
  name: string;
  host: string;
  prefix: string;
  kind: RouteKind;
  timeoutMs: number;
  aimMs: number;
  gapAimMs: number;
  /** 0 is the most urgent. */
  priority: number;
  targets: { pool: string; weight: number }[];
  /** The most engines that one try may be sent to. */
  maxAttempts: number;
  public: boolean;
  affinity: boolean;
  resumable: boolean;
}

/** A pool of engines that serve the same. */
export interface Pool {
  name: string;
  healthPath: string;
  /** Connections that one engine takes from all callers together. */
  maxConnections: number;
  /** Requests that one engine runs at once. */
  batch: number;
  /** Tokens that one engine's memory holds. */
  cacheTokens: number;
  /** Bytes of one kept token. */
  tokenBytes: number;
  /** Mbit/s of one engine's link. */
  linkMbps: number;
  /** Calls of the cache feed that one engine holds at once. */
  feedCalls: number;
  /** How long an engine is cold after its start, in ms; 0 where it is not. */
  warmUpMs: number;
  /** Requests a second that a cold engine bears; 0 where nothing is said. */
  warmUpPerS: number;
  models: string[];
}

/** A store of kept parts, as the deployment names it. */
export interface PartStore {
  name: string;
  at: string;
  zone: string;
  cacheTokens: number;
  linkMbps: number;
  feedCalls: number;
}

/** A tenant: its keys, its rank, and whether its kept parts are walled off. */
export interface TenantAccess {
  name: string;
  keys: string[];
  priority: number;
  isolated: boolean;
}

/** What a caller may send, and how long it may take. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** What operators declare, in our words; `revision` is the operators' own number, which rises in uneven steps. */
export interface Deployment {
  revision: number;
  routes: HttpRoute[];
  pools: Pool[];
  stores: PartStore[];
  tenants: TenantAccess[];
  limits: CallerLimits;
}

/** An order that was taken, as it is stored. `sum` is unique in a list: the body that it is made from holds the revision, and revisions rise. Earlier releases stored no `base`. */
export interface StoredOrder {
  revision: number;
  base?: number;
  sum: string;
}

/** The committed value of the control key `deployment`: the operators' document as it was sent, which the dialect reads, and the orders that were taken last, oldest first. */
export interface DeploymentValue {
  revision: number;
  doc: unknown;
  taken: StoredOrder[];
}

/** A named change of lists of named items: items to add or to replace, and names to remove, by list. */
export interface NamedChange {
  revision: number;
  upsert: Record<string, { name: string }[]>;
  remove: Record<string, string[]>;
}

/** What a caller asks for, whatever its manner of speaking. */
export interface CallerRequest {
  /** The id of this try. */
  id: string;
  /** The key that the caller presents. */
  credential?: string;
  host: string;
  path: string;
  deadlineMs?: number;
  model?: string;
  /** The parts of the prompt in order; a part's hash stands for it and for all parts before it. */
  parts: PromptBlock[];
  tokensIn: number;
  tokensOut: number;
  /** The last event that the caller has, where it takes a stream up again. */
  lastEvent?: string;
}
