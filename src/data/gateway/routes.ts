import {
  CallerLimits,
  Deployment,
  HttpRoute,
  PartStore,
  Pool,
  TenantAccess,
} from '../../shared/deployment';

/** A deployment made ready for look-ups. */
export interface RouteTable {
  limits: CallerLimits;
  /** The route of that host with the longest prefix that begins the path. */
  find(host: string, path: string): HttpRoute | undefined;
  tenantOf(key: string): TenantAccess | undefined;
  pool(name: string): Pool | undefined;
  stores: readonly PartStore[];
}

/** Makes the look-ups of a deployment. */
export function makeRouteTable(d: Deployment): RouteTable {
  const hosts = new Map<string, Map<string, HttpRoute>>();
  const keys = new Map<string, TenantAccess>();
  const pools = new Map<string, Pool>();
  for (const r of d.routes) {
    const host = r.host.toLowerCase();
    const prefixes = hosts.get(host) ?? new Map<string, HttpRoute>();
    prefixes.set(r.prefix, r);
    hosts.set(host, prefixes);
  }
  for (const t of d.tenants) for (const k of t.keys) keys.set(k, t);
  for (const p of d.pools) pools.set(p.name, p);

  function find(host: string, path: string): HttpRoute | undefined {
    const prefixes = hosts.get(host);
    if (!prefixes) return undefined;
    for (let i = path.lastIndexOf('/'); i >= 0; i = i === 0 ? -1 : path.lastIndexOf('/', i - 1)) {
      const r = prefixes.get(path.slice(0, i + 1));
      if (r) return r;
    }
    return undefined;
  }

  return {
    limits: d.limits,
    find,
    tenantOf: keys.get.bind(keys),
    pool: pools.get.bind(pools),
    stores: d.stores,
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
