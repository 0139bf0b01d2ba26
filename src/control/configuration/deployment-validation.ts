import { Deployment, HttpRoute } from '../../shared/state/deployment';

/** What is wrong with a deployment; empty where it may come into force. */
export function validateDeployment(d: Deployment): string[] {
  return [...checkRoutes(d), ...checkKeys(d)];
}

function checkRoutes(d: Deployment): string[] {
  const faults: string[] = [];
  const pools = new Set<string>();
  for (const p of d.pools) pools.add(p.name);
  const places = new Map<string, string>();
  for (const r of d.routes) {
    const place = `${r.host} ${r.prefix}`;
    const other = places.get(place);
    if (other !== undefined) faults.push(`route ${r.name}: has the host and prefix of ${other}`);
    places.set(place, r.name);
    faults.push(...checkRoute(r, pools));
  }
  return faults;
}

function checkRoute(r: HttpRoute, pools: Set<string>): string[] {
  const faults: string[] = [];
  let weight = 0;
  if (!r.prefix.startsWith('/') || !r.prefix.endsWith('/'))
    faults.push(`route ${r.name}: the prefix must begin and end with a slash`);
  if (!(r.timeoutMs > 0)) faults.push(`route ${r.name}: the time-out must be above 0`);
  for (const t of r.targets) {
    if (!pools.has(t.pool)) faults.push(`route ${r.name}: no pool ${t.pool}`);
    if (!(t.weight >= 0)) faults.push(`route ${r.name}: a weight must be 0 or above`);
    weight += t.weight;
  }
  if (!(weight > 0)) faults.push(`route ${r.name}: the weights add up to 0`);
  return faults;
}

function checkKeys(d: Deployment): string[] {
  const faults: string[] = [];
  const holders = new Map<string, string>();
  for (const t of d.tenants) {
    for (const k of t.keys) {
      const other = holders.get(k);
      if (other !== undefined && other !== t.name)
        faults.push(`tenant ${t.name}: shares a key with ${other}`);
      holders.set(k, t.name);
    }
  }
  return faults;
}
