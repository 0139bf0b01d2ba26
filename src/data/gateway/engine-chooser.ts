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
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { reachIndexers } from './indexer-client';
import { Placement } from './placement';
import {
  EngineEndpoint,
  PlacementRejection,
  PlacementRequest,
  PlacementDecision,
  StoreEndpoint,
} from './placement-types';
import { AttemptResult } from './outlier-ejection';
import { ExpectedWeights, cacheSalt, WeightsTracker } from './weights-tracker';

/** What an engine is wanted for. Times are of the clock port. */
export interface SelectionRequest {
  request: CallerRequest;
  route: HttpRoute;
  pool: string;
  tenant?: TenantAccess;
  arrivedAt: number;
  deadlineAt: number;
  /** Engines that this request is kept from, by id. */
  excluded: ReadonlySet<string>;
  /** Attempts before this one. */
  again: number;
}

/** The engine that a request goes to, and under what terms. */
export interface EngineSelection {
  engine: Engine;
  salt?: string;
  weights?: string;
  /** 0 goes first, 9 last. */
  urgency: number;
  fetchFromAddress?: string;
  storeAddress?: string;
}

/** Why no engine takes a request, and when it may come again. */
export interface Rejection {
  status: number;
  reason: string;
  retryAfterMs: number;
}

/** How an attempt ended; `late` was under way when its time was up. */
export type AttemptEffect = 'done' | 'not-run' | 'doubt' | 'late' | 'caller-gone';

/** An attempt as a load on its engine. */
export interface AttemptTracker {
  /** Hears of the first event, in ms from the attempt's start. */
  recordFirstEvent: (ms: number) => void;
  /** Hears of the weights that the engine runs with, by model. */
  recordWeights: (weights: Record<string, string>) => void;
  /** Hears that another instance stands at the engine's address, or other weights are there. */
  recordRejection: (verdict: 'not-run' | 'other-instance' | 'other-weights') => void;
  recordEnd: (how: AttemptEffect) => void;
}

/** Chooses engines for requests. */
export interface EngineChooser {
  choose: (w: SelectionRequest) => Promise<Either<Rejection, EngineSelection>>;
  startAttempt: (c: EngineSelection, w: SelectionRequest) => AttemptTracker;
  stop: () => void;
}

/** What a chooser needs. */
export interface EngineChooserDependencies {
  ports: Ports;
  settings: Settings;
  follower: Follower;
  weights: WeightsTracker;
  pool: (name: string) => Pool | undefined;
  stores: () => readonly PartStore[];
  /** How many routers there are, as far as it is known. */
  routers: () => number | undefined;
}

/** The wall behind which engines keep a tenant's parts: its own where it is isolated, one for all others. */
export function cacheScopeOf(tenant: TenantAccess | undefined): string {
  return tenant?.isolated ? tenant.name : '';
}

/** The first pause of an engine that failed or turned a request away, as a share of `contactMs`. */
const PAUSE = 0.05;
/** How long an indexer's answer is waited for, as a share of the aim. */
const INDEX_WAIT = 0.06;
/** The least time after which a refused request may come again, as a share of its route's aim. */
const AGAIN = 0.1;

/** What was chosen, and what placement reckoned. */
interface ChosenHere extends EngineSelection {
  placed: PlacementDecision;
  indexed: boolean;
}

/** Makes a chooser that reckons, for each engine, the time to a first event. */
export function makeChooser(p: EngineChooserDependencies): EngineChooser {
  const { clock, random: dice } = p.ports;
  const bounds = timeLimitsOf(p.settings);
  const placement = new Placement({
    now: clock.now,
    random: dice.next,
    zone: p.settings.zone,
    baseEjectionMs: p.settings.contactMs * PAUSE,
  });
  const hello = helloOf(p.settings, 'router');
  const indexers = reachIndexers(p.ports, bounds, p.follower, hello, placement.loads, p.routers);
  const gone = new Set<string>();
  let listed: Engine[] | undefined;
  let byPool = new Map<string, Engine[]>();

  function engines(pool: string): Engine[] {
    const list = p.follower.value<Engine[]>(CONTROL_KEYS.engines)?.value ?? [];
    if (list !== listed) renew(list);
    return byPool.get(pool) ?? [];
  }

  function renew(list: Engine[]): void {
    listed = list;
    byPool = new Map();
    gone.clear();
    const names = new Set<string>();
    for (const s of p.stores()) names.add(s.name);
    for (const e of list) {
      names.add(e.id);
      const of = byPool.get(e.pool ?? '') ?? [];
      of.push(e);
      byPool.set(e.pool ?? '', of);
    }
    placement.retain(names);
  }

  function expected(e: Engine, model: string | undefined): ExpectedWeights | undefined {
    return model === undefined
      ? { weights: '', kind: 'now' }
      : p.weights.expectedWeights(e.id, model);
  }

  function regionOf(zone: string): string | undefined {
    return p.settings.zones[zone];
  }

  /** The engines that may serve, each with the text that its parts are kept under. */
  function spots(w: SelectionRequest): {
    spots: EngineEndpoint[];
    weights: Map<string, string>;
    named: string;
  } {
    const out: EngineEndpoint[] = [];
    const weights = new Map<string, string>();
    let named = '';
    for (const e of engines(w.pool)) {
      if (e.leaving || p.follower.isDraining(e.id) || gone.has(e.id)) continue;
      const x = expected(e, w.request.model);
      if (x === undefined || x.kind === 'loading') continue;
      if (x.kind === 'now') named = x.weights;
      weights.set(e.id, x.weights);
      out.push({
        id: e.id,
        address: e.at,
        zone: e.zone,
        region: regionOf(e.zone),
        batch: e.batch,
        salt: cacheSalt(cacheScopeOf(w.tenant), x.weights),
      });
    }
    return { spots: out, weights, named };
  }

  function storeSpots(): StoreEndpoint[] {
    const out: StoreEndpoint[] = [];
    for (const s of p.stores())
      out.push({
        name: s.name,
        address: s.at,
        zone: s.zone,
        region: regionOf(s.zone),
        linkMbps: s.linkMbps,
      });
    return out;
  }

  function askOf(w: SelectionRequest, at: EngineEndpoint[], named: string): PlacementRequest {
    const pool = p.pool(w.pool);
    const now = clock.now();
    return {
      pool: {
        name: w.pool,
        batch: pool?.batch ?? 1,
        cacheTokens: pool?.cacheTokens ?? Infinity,
        tokenBytes: pool?.tokenBytes ?? 0,
        linkMbps: pool?.linkMbps ?? 0,
        engines: at,
        stores: storeSpots(),
      },
      cacheScope: cacheSalt(cacheScopeOf(w.tenant), named),
      blocks: w.request.parts,
      promptTokens: w.request.tokensIn,
      maxOutputTokens: w.request.tokensOut,
      latencyTargetMs: Math.max(1, w.route.aimMs - (now - w.arrivedAt)),
      remainingMs: w.deadlineAt - now,
      routePriority: w.route.priority,
      tenantPriority: w.tenant?.priority ?? 0,
      tenant: w.tenant?.name,
      isIdempotent: w.route.kind === 'safe' || w.route.resumable,
      excluded: w.excluded,
    };
  }

  async function choose(w: SelectionRequest): Promise<Either<Rejection, EngineSelection>> {
    const s = spots(w);
    const ask = askOf(w, s.spots, s.named);
    const kept = new Map<string, OverlapReply>();
    const salts = placement.saltsToQuery(ask);
    if (salts.length > 0)
      await Promise.all([indexers.refreshLoads(w.route.aimMs * INDEX_WAIT), ...salts.map(overlap)]);
    async function overlap(salt: string): Promise<void> {
      const answer = await indexers.queryOverlap(
        { model: w.request.model ?? '', salt, parts: wireParts(w) },
        w.route.aimMs * INDEX_WAIT,
      );
      if (answer) kept.set(salt, answer);
    }
    const o = placement.place(ask, kept);
    if (o.isLeft()) return Left(refusalOf(o.extract(), w));
    const placed = o.extract() as PlacementDecision;
    const { candidate: able, prefixFetch: fetch } = placed.estimate;
    const engine = engines(w.pool).find(same);
    if (!engine) return Left(refusalOf({ reason: 'no-engine', retryAfterMs: 0 }, w));
    function same(e: Engine): boolean {
      return e.id === able.endpoint.name;
    }
    const weights = s.weights.get(engine.id);
    const salt = cacheSalt(cacheScopeOf(w.tenant), weights ?? '');
    const c: ChosenHere = {
      engine,
      weights: weights === '' ? undefined : weights,
      salt,
      urgency: placed.urgency,
      fetchFromAddress: fetch?.source.address,
      storeAddress: placed.storeAddress,
      placed,
      indexed: salts.length > 0,
    };
    return Right(c);
  }

  function storeName(at: string | undefined): string | undefined {
    for (const s of p.stores()) if (s.at === at) return s.name;
    return undefined;
  }

  function wireParts(w: SelectionRequest): WireBlock[] {
    const out: WireBlock[] = [];
    for (const x of w.request.parts) out.push([x.hash, x.size]);
    return out;
  }

  function refusalOf(no: PlacementRejection, w: SelectionRequest): Rejection {
    return {
      status: 503,
      reason: no.reason === 'no-engine' ? 'no engine can take this now' : 'every place is taken',
      retryAfterMs: Math.max(no.retryAfterMs, w.route.aimMs * AGAIN),
    };
  }

  function began(chosen: EngineSelection, w: SelectionRequest): AttemptTracker {
    const c = chosen as ChosenHere;
    const u = placement.start(c.placed);
    if (c.indexed)
      indexers.notifyPlaced({
        model: w.request.model ?? '',
        salt: c.salt ?? '',
        engine: c.engine.id,
        parts: wireParts(w),
        store: storeName(c.storeAddress),
      });
    let how: AttemptResult | undefined;

    function told(weights: Record<string, string>): void {
      p.weights.recordReported(c.engine.id, weights);
    }

    function turnedAway(verdict: 'not-run' | 'other-instance' | 'other-weights'): void {
      how = verdict === 'not-run' ? 'rejected' : 'cancelled';
      if (verdict === 'other-instance') gone.add(c.engine.id);
    }

    function ended(end: AttemptEffect): void {
      if (end === 'done') u.recordEnd('answered');
      else if (end === 'caller-gone' || end === 'late') u.recordEnd('cancelled');
      else u.recordEnd(end === 'not-run' && how ? how : 'failed');
    }

    return {
      recordFirstEvent: u.recordFirstEvent,
      recordWeights: told,
      recordRejection: turnedAway,
      recordEnd: ended,
    };
  }

  function stop(): void {
    indexers.stop();
  }

  return { choose, startAttempt: began, stop };
}
