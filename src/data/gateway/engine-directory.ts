/**
 * The engines of each pool as the follower last heard of them, and which of them may serve a request now.
 */

import { isZoneEvacuated } from '../../shared/replication/evacuated-zones';
import { Follower } from '../../shared/replication/follower';
import { Settings } from '../../shared/settings/settings';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { PartStore, TenantAccess } from '../../shared/state/deployment';
import { Engine } from '../../shared/state/engines';
import { EngineEndpoint, StoreEndpoint } from './placement-types';
import { cacheSalt, ExpectedWeights, WeightsTracker } from './weights-tracker';
import { ownField } from '../../shared/util/plain-object';

/** The engines of a pool that may serve a request. */
export interface ServingEngines {
  endpoints: EngineEndpoint[];
  /** The weights that the request is sent under, by engine id; empty where it names no model. */
  weights: Map<string, string>;
  /** The newest weights that any of them has; empty where none has them. */
  namedWeights: string;
}

/** What a directory works with. */
export interface EngineDirectoryDependencies {
  settings: Settings;
  follower: Follower;
  weights: WeightsTracker;
  stores: () => readonly PartStore[];
  /** Whether an engine may be sent a request now, as far as it warms up. */
  mayTake: (engine: Engine) => boolean;
  /** Called with the names of all engines and stores when the list of engines is another. */
  onListed: (names: ReadonlySet<string>) => void;
}

/** What engines cache a tenant's blocks under: its own scope where it is isolated, one for all others. */
export function cacheScopeOf(tenant: TenantAccess | undefined): string {
  return tenant?.isolated ? tenant.name : '';
}

/** Looks engines up by pool. */
export class EngineDirectory {
  private listed: Engine[] | undefined;
  private byPool = new Map<string, Engine[]>();
  /** Engines at whose address another instance answered, until there is another list. */
  private readonly replaced = new Set<string>();

  constructor(private readonly dependencies: EngineDirectoryDependencies) {}

  /** An engine of a pool by its id. */
  find(pool: string, id: string): Engine | undefined {
    function isEngine(engine: Engine): boolean {
      return engine.id === id;
    }
    return this.enginesOf(pool).find(isEngine);
  }

  /** Leaves an engine out, as another instance answers at its address. */
  markReplaced(id: string): void {
    this.replaced.add(id);
  }

  /** The engines of a pool that may serve a tenant's request for a model now, each with the salt of its blocks. */
  serving(
    pool: string,
    model: string | undefined,
    tenant: TenantAccess | undefined,
  ): ServingEngines {
    const cacheScope = cacheScopeOf(tenant);
    const serving: ServingEngines = { endpoints: [], weights: new Map(), namedWeights: '' };
    for (const engine of this.enginesOf(pool)) {
      if (this.isUnavailable(engine) || !this.dependencies.mayTake(engine)) continue;
      const expected = this.expectedWeights(engine, model);
      if (expected === undefined || expected.kind === 'loading') continue;
      if (expected.kind === 'now') serving.namedWeights = expected.weights;
      serving.weights.set(engine.id, expected.weights);
      serving.endpoints.push(this.endpointOf(engine, cacheSalt(cacheScope, expected.weights)));
    }
    return serving;
  }

  /** The stores that the deployment names. */
  storeEndpoints(): StoreEndpoint[] {
    const endpoints: StoreEndpoint[] = [];
    for (const { name, at, zone, linkMbps } of this.dependencies.stores())
      endpoints.push({ name, address: at, zone, region: this.regionOf(zone), linkMbps });
    return endpoints;
  }

  /** The name of the store at an address. */
  storeNameAt(address: string | undefined): string | undefined {
    for (const { name, at } of this.dependencies.stores()) if (at === address) return name;
    return undefined;
  }

  private enginesOf(pool: string): readonly Engine[] {
    const { follower } = this.dependencies;
    const list = follower.value<Engine[]>(CONTROL_KEYS.engines)?.value ?? [];
    if (list !== this.listed) this.update(list);
    return this.byPool.get(pool) ?? [];
  }

  private update(list: Engine[]): void {
    this.listed = list;
    this.byPool = new Map();
    this.replaced.clear();
    const names = new Set<string>();
    for (const { name } of this.dependencies.stores()) names.add(name);
    for (const engine of list) {
      names.add(engine.id);
      const pool = engine.pool ?? '';
      const engines = this.byPool.get(pool) ?? [];
      engines.push(engine);
      this.byPool.set(pool, engines);
    }
    this.dependencies.onListed(names);
  }

  private isUnavailable({ id, leaving, zone }: Engine): boolean {
    const { follower } = this.dependencies;
    if (leaving || this.replaced.has(id)) return true;
    return follower.isDraining(id) || isZoneEvacuated(follower, zone);
  }

  private expectedWeights(engine: Engine, model: string | undefined): ExpectedWeights | undefined {
    if (model === undefined) return { weights: '', kind: 'now' };
    return this.dependencies.weights.expectedWeights(engine.id, model);
  }

  private endpointOf({ id, at, zone, batch }: Engine, salt: string): EngineEndpoint {
    return { id, address: at, zone, region: this.regionOf(zone), batch, salt };
  }

  private regionOf(zone: string): string | undefined {
    return ownField(this.dependencies.settings.zones, zone);
  }
}
