/**
 * The route table: a deployment made ready for look-ups of routes, tenants and pools. A new deployment's table is made
 * from the one before it, for the cost of what changed.
 */

import {
  CallerLimits,
  Deployment,
  HttpRoute,
  PartStore,
  Pool,
  TenantAccess,
} from '../../shared/state/deployment';

/** The routes of one deployment, and their look-up. */
interface RouteIndex {
  routes: readonly HttpRoute[];
  /** Routes by prefix, by host in lower case. */
  byHost: ReadonlyMap<string, ReadonlyMap<string, HttpRoute>>;
  /** Whether each route has a host and prefix of its own. */
  isUnique: boolean;
}

/** The range in which two lists differ: from `start` up to each list's own end. */
interface ChangedRange {
  start: number;
  endBefore: number;
  endAfter: number;
}

/** Puts routes into their hosts' look-ups, each of which is copied once; `true` where all prefixes were new. */
function replaceRoutes(
  byHost: Map<string, ReadonlyMap<string, HttpRoute>>,
  removed: readonly HttpRoute[],
  added: readonly HttpRoute[],
): boolean {
  const copied = new Map<string, Map<string, HttpRoute>>();
  function prefixesOf(route: HttpRoute): Map<string, HttpRoute> {
    const host = route.host.toLowerCase();
    const known = copied.get(host);
    if (known) return known;
    const prefixes = new Map(byHost.get(host));
    copied.set(host, prefixes);
    byHost.set(host, prefixes);
    return prefixes;
  }
  for (const route of removed) prefixesOf(route).delete(route.prefix);
  let isUnique = true;
  for (const route of added) {
    const prefixes = prefixesOf(route);
    isUnique = isUnique && !prefixes.has(route.prefix);
    prefixes.set(route.prefix, route);
  }
  return isUnique;
}

function changedRange<T>(before: readonly T[], after: readonly T[]): ChangedRange {
  let start = 0;
  while (start < before.length && start < after.length && before[start] === after[start]) start++;
  let endBefore = before.length;
  let endAfter = after.length;
  while (endBefore > start && endAfter > start && before[endBefore - 1] === after[endAfter - 1]) {
    endBefore--;
    endAfter--;
  }
  return { start, endBefore, endAfter };
}

/** Indexes routes; from an earlier index, only the hosts of routes that changed are indexed anew. */
function indexRoutes(routes: readonly HttpRoute[], before?: RouteIndex): RouteIndex {
  if (before?.isUnique) {
    const { start, endBefore, endAfter } = changedRange(before.routes, routes);
    const byHost = new Map(before.byHost);
    const removed = before.routes.slice(start, endBefore);
    if (replaceRoutes(byHost, removed, routes.slice(start, endAfter)))
      return { routes, byHost, isUnique: true };
  }
  const byHost = new Map<string, ReadonlyMap<string, HttpRoute>>();
  const isUnique = replaceRoutes(byHost, [], routes);
  return { routes, byHost, isUnique };
}

/** The look-ups of one deployment. */
export class RouteTable {
  readonly limits: CallerLimits;
  readonly stores: readonly PartStore[];
  private readonly index: RouteIndex;
  private readonly tenants = new Map<string, TenantAccess>();
  private readonly pools = new Map<string, Pool>();

  /** `before` is the table of the deployment before this one. */
  constructor(deployment: Deployment, before?: RouteTable) {
    this.limits = deployment.limits;
    this.stores = deployment.stores;
    this.index = indexRoutes(deployment.routes, before?.index);
    for (const tenant of deployment.tenants)
      for (const key of tenant.keys) this.tenants.set(key, tenant);
    for (const pool of deployment.pools) this.pools.set(pool.name, pool);
  }

  /** The route of that host with the longest prefix that begins the path; prefixes end with a slash. */
  findRoute(host: string, path: string): HttpRoute | undefined {
    const prefixes = this.index.byHost.get(host);
    if (!prefixes) return undefined;
    for (let i = path.lastIndexOf('/'); i >= 0; i = i === 0 ? -1 : path.lastIndexOf('/', i - 1)) {
      const route = prefixes.get(path.slice(0, i + 1));
      if (route) return route;
    }
    return undefined;
  }

  /** The tenant of a key. */
  tenantOf(key: string): TenantAccess | undefined {
    return this.tenants.get(key);
  }

  /** The pool of a name. */
  poolOf(name: string): Pool | undefined {
    return this.pools.get(name);
  }
}

/** Draws a target of a route by weight; `draw` is from 0 to under 1. */
export function drawPool(route: HttpRoute, draw: number): string | undefined {
  let totalWeight = 0;
  for (const { weight } of route.targets) totalWeight += weight;
  let remaining = draw * totalWeight;
  for (const { pool, weight } of route.targets) {
    if (weight > 0 && remaining < weight) return pool;
    remaining -= weight;
  }
  return undefined;
}
