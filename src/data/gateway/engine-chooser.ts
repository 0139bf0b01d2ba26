/**
 * Chooses engines for requests: asks an index for what engines have cached where that is worth it, and has placement
 * decide among the engines that may serve.
 */

import { Either, Left, Right } from 'purify-ts';
import {
  CallerRequest,
  HttpRoute,
  PartStore,
  Pool,
  TenantAccess,
} from '../../shared/state/deployment';
import { helloOf } from '../../shared/transport/hello';
import { Follower } from '../../shared/replication/follower';
import { OverlapReply, WireBlock } from '../../shared/contracts/indexer';
import { Ports } from '../../shared/ports/ports';
import { Settings } from '../../shared/settings/settings';
import { timeLimitsOf } from '../../shared/settings/time-limits';
import { Engine } from '../../shared/state/engines';
import { AttemptTracker } from './attempt-tracker';
import { cacheScopeOf, EngineDirectory, ServingEngines } from './engine-directory';
import { Rejection } from './error-responses';
import { IndexerClient } from './indexer-client';
import { Placement } from './placement';
import {
  PlacementDecision,
  PlacementRejection,
  PlacementRequest,
  PoolView,
} from './placement-types';
import { cacheSalt, WeightsTracker } from './weights-tracker';
import { errorOrValue } from '../../shared/errors/errors';

/** What an engine is wanted for. Times are ms of the clock port. */
export interface SelectionRequest {
  request: CallerRequest;
  route: HttpRoute;
  pool: string;
  tenant?: TenantAccess;
  arrivedAt: number;
  deadlineAt: number;
  /** Ids of engines that this request must not be sent to. */
  excluded: ReadonlySet<string>;
}

/** The engine that a request goes to, and under what terms. */
export interface EngineSelection {
  engine: Engine;
  /** The salt under which the engine keeps and finds the request's blocks. */
  salt: string;
  /** The weights that alone may run it; none where the request names no model. */
  weights?: string;
  /** 0 goes first, 9 last. */
  urgency: number;
  /** Where the engine first fetches a cached prefix from. */
  fetchFromAddress?: string;
  /** Where the engine sends blocks that it read. */
  storeAddress?: string;
  decision: PlacementDecision;
  /** Whether an index was worth asking, so that it is notified of the request. */
  isIndexed: boolean;
}

/** What an engine chooser works with. */
export interface EngineChooserDependencies {
  ports: Ports;
  settings: Settings;
  follower: Follower;
  weights: WeightsTracker;
  pool: (name: string) => Pool | undefined;
  stores: () => readonly PartStore[];
  /** Whether an engine may be sent a request now, as far as it warms up. */
  mayTake: (engine: Engine) => boolean;
  /** How many routers there are, as far as it is known. */
  routerCount: () => number | undefined;
}

/** The first ejection of an engine that failed or rejected a request, as a share of `contactMs`. */
const BASE_EJECTION_RATIO = 0.05;
/** How long an indexer's answer is waited for, as a share of the route's latency target. */
const INDEX_TIMEOUT_RATIO = 0.06;
/** The least time after which a rejected request may come again, as a share of its route's latency target. */
const MIN_RETRY_AFTER_RATIO = 0.1;

function wireBlocks({ parts }: CallerRequest): WireBlock[] {
  const blocks: WireBlock[] = [];
  for (const { hash, size } of parts) blocks.push([hash, size]);
  return blocks;
}

function rejectionFor({ reason, retryAfterMs }: PlacementRejection, route: HttpRoute): Rejection {
  return {
    status: 503,
    reason: reason === 'no-engine' ? 'no engine can take this now' : 'every place is taken',
    retryAfterMs: Math.max(retryAfterMs, route.aimMs * MIN_RETRY_AFTER_RATIO),
  };
}

/** Chooses engines for requests, and follows the attempts that are sent there. */
export class EngineChooser {
  private readonly placement: Placement;
  private readonly indexers: IndexerClient;
  private readonly directory: EngineDirectory;

  constructor(private readonly dependencies: EngineChooserDependencies) {
    const { ports, settings, follower, weights, stores, mayTake, routerCount } = dependencies;
    this.placement = new Placement({
      now: ports.clock.now,
      random: ports.random.next,
      zone: settings.zone,
      baseEjectionMs: settings.contactMs * BASE_EJECTION_RATIO,
    });
    this.indexers = new IndexerClient({
      ports,
      timeLimits: timeLimitsOf(settings),
      follower,
      hello: helloOf(settings, 'router'),
      loads: this.placement.loads,
      routerCount,
    });
    const onListed = this.placement.retain.bind(this.placement);
    this.directory = new EngineDirectory({
      settings,
      follower,
      weights,
      stores,
      mayTake,
      onListed,
    });
  }

  /** Chooses an engine, or says why none takes the request. */
  async choose(wanted: SelectionRequest): Promise<Either<Rejection, EngineSelection>> {
    const { pool, request, route, tenant } = wanted;
    const serving = this.directory.serving(pool, request.model, tenant);
    const placementRequest = this.placementRequest(wanted, serving);
    const salts = this.placement.saltsToQuery(placementRequest);
    const replies = new Map<string, OverlapReply>();
    if (salts.length > 0) await this.queryIndex(wanted, salts, replies);
    const [rejection, decision] = errorOrValue(this.placement.place(placementRequest, replies));
    if (rejection) return Left(rejectionFor(rejection, route));
    const { candidate, prefixFetch } = decision.estimate;
    const engine = this.directory.find(pool, candidate.endpoint.name);
    if (!engine) return Left(rejectionFor({ reason: 'no-engine', retryAfterMs: 0 }, route));
    return Right({
      engine,
      weights: nonEmpty(serving.weights.get(engine.id)),
      salt: candidate.salt,
      urgency: decision.urgency,
      fetchFromAddress: prefixFetch?.source.address,
      storeAddress: decision.storeAddress,
      decision,
      isIndexed: salts.length > 0,
    });
  }

  /** Counts an attempt from when it is to be sent to the engine that was chosen. */
  startAttempt(selection: EngineSelection, request: CallerRequest): AttemptTracker {
    const { engine, salt, decision, storeAddress } = selection;
    const placed = this.placement.start(decision);
    if (selection.isIndexed)
      this.indexers.notifyPlaced({
        model: request.model ?? '',
        salt,
        engine: engine.id,
        parts: wireBlocks(request),
        store: this.directory.storeNameAt(storeAddress),
      });
    return new AttemptTracker(engine.id, placed, this.dependencies.weights, this.directory);
  }

  /** Ends the connections to indexers. */
  stop(): void {
    this.indexers.stop();
  }

  /** Asks an index for what is cached under each salt, and refreshes the loads of other routers, all at once. */
  private async queryIndex(
    { request, route }: SelectionRequest,
    salts: readonly string[],
    replies: Map<string, OverlapReply>,
  ): Promise<void> {
    const { indexers } = this;
    const timeoutMs = route.aimMs * INDEX_TIMEOUT_RATIO;
    const parts = wireBlocks(request);
    async function query(salt: string): Promise<void> {
      const reply = await indexers.queryOverlap(
        { model: request.model ?? '', salt, parts },
        timeoutMs,
      );
      if (reply) replies.set(salt, reply);
    }
    await Promise.all([indexers.refreshLoads(timeoutMs), ...salts.map(query)]);
  }

  private placementRequest(wanted: SelectionRequest, serving: ServingEngines): PlacementRequest {
    const { request, route, tenant, arrivedAt, deadlineAt, excluded } = wanted;
    const now = this.dependencies.ports.clock.now();
    return {
      pool: this.poolView(wanted.pool, serving),
      cacheScope: cacheSalt(cacheScopeOf(tenant), serving.namedWeights),
      blocks: request.parts,
      promptTokens: request.tokensIn,
      maxOutputTokens: request.tokensOut,
      latencyTargetMs: Math.max(1, route.aimMs - (now - arrivedAt)),
      remainingMs: deadlineAt - now,
      routePriority: route.priority,
      tenantPriority: tenant?.priority ?? 0,
      tenant: tenant?.name,
      isIdempotent: route.kind === 'safe' || route.resumable,
      excluded,
    };
  }

  private poolView(name: string, { endpoints }: ServingEngines): PoolView {
    const pool = this.dependencies.pool(name);
    return {
      name,
      batch: pool?.batch ?? 1,
      cacheTokens: pool?.cacheTokens ?? Infinity,
      tokenBytes: pool?.tokenBytes ?? 0,
      linkMbps: pool?.linkMbps ?? 0,
      engines: endpoints,
      stores: this.directory.storeEndpoints(),
    };
  }
}

/** A text that says something; an empty one names no weights. */
function nonEmpty(text: string | undefined): string | undefined {
  return text === '' ? undefined : text;
}
