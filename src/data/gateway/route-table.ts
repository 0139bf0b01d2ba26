import {
  CallerLimits,
  Deployment,
  HttpRoute,
  PartStore,
  Pool,
  TenantAccess,
} from '../../shared/state/deployment';

/** Routes by prefix, by host. */
type RoutesByHost = ReadonlyMap<string, ReadonlyMap<string, HttpRoute>>;

/** The routes of one deployment, and their look-up. */
interface RouteIndex {
  routes: readonly HttpRoute[];
  byHost: RoutesByHost;
  /** Whether each route has a host and prefix of its own. */
  unique: boolean;
}

/** A deployment made ready for look-ups. */
export interface RouteTable {
  limits: CallerLimits;
  /** The route of that host with the longest prefix that begins the path. */
  findRoute: (host: string, path: string) => HttpRoute | undefined;
  tenantOf: (key: string) => TenantAccess | undefined;
  poolOf: (name: string) => Pool | undefined;
  stores: readonly PartStore[];
  /** What the next deployment's table is made from. */
  index: RouteIndex;
}

/** Puts routes into their hosts' look-ups, each of which is made anew once; `true` where all were new. */
function putRoutes(
  byHost: Map<string, ReadonlyMap<string, HttpRoute>>,
  removed: readonly HttpRoute[],
  added: readonly HttpRoute[],
): boolean {
  const changed = new Map<string, Map<string, HttpRoute>>();
  function prefixesOf(route: HttpRoute): Map<string, HttpRoute> {
    const host = route.host.toLowerCase();
    const had = changed.get(host);
    if (had) return had;
    const prefixes = new Map(byHost.get(host));
    changed.set(host, prefixes);
    byHost.set(host, prefixes);
    return prefixes;
  }
  for (const r of removed) prefixesOf(r).delete(r.prefix);
  let unique = true;
  for (const r of added) {
    const prefixes = prefixesOf(r);
    unique = unique && !prefixes.has(r.prefix);
    prefixes.set(r.prefix, r);
  }
  return unique;
}

/** The stretch of two lists outside which they are the same: from `start`, up to each list's end. */
function differing<T>(
  before: readonly T[],
  after: readonly T[],
): { start: number; endBefore: number; endAfter: number } {
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

/** Makes the look-up of routes; from an earlier one, only the hosts of routes that changed are made anew. */
function makeRouteIndex(routes: readonly HttpRoute[], before?: RouteIndex): RouteIndex {
  if (before?.unique) {
    const { start, endBefore, endAfter } = differing(before.routes, routes);
    const byHost = new Map(before.byHost);
    const removed = before.routes.slice(start, endBefore);
    if (putRoutes(byHost, removed, routes.slice(start, endAfter)))
      return { routes, byHost, unique: true };
  }
  const byHost = new Map<string, ReadonlyMap<string, HttpRoute>>();
  const unique = putRoutes(byHost, [], routes);
  return { routes, byHost, unique };
}

/** Makes the look-ups of a deployment; with the table before it, for the cost of what changed. */
export function makeRouteTable(d: Deployment, before?: RouteTable): RouteTable {
  const index = makeRouteIndex(d.routes, before?.index);
  const keys = new Map<string, TenantAccess>();
  const pools = new Map<string, Pool>();
  for (const t of d.tenants) for (const k of t.keys) keys.set(k, t);
  for (const p of d.pools) pools.set(p.name, p);

  function find(host: string, path: string): HttpRoute | undefined {
    const prefixes = index.byHost.get(host);
    if (!prefixes) return undefined;
    for (let i = path.lastIndexOf('/'); i >= 0; i = i === 0 ? -1 : path.lastIndexOf('/', i - 1)) {
      const r = prefixes.get(path.slice(0, i + 1));
      if (r) return r;
    }
    return undefined;
  }

  return {
    limits: d.limits,
    findRoute: find,
    tenantOf: keys.get.bind(keys),
    poolOf: pools.get.bind(pools),
    stores: d.stores,
    index,
  };
}

/** Draws a target of a route by weight; `draw` is from 0 to under 1. */
export function drawPool(route: HttpRoute, draw: number): string | undefined {
  let all = 0;
  for (const t of route.targets) all += t.weight;
  let at = draw * all;
  for (const t of route.targets) {
    if (t.weight > 0 && at < t.weight) return t.pool;
    at -= t.weight;
  }
  return undefined;
}
