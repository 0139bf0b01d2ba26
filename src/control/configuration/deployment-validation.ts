/**
 * Validates deployments beyond the form of their documents: what names what, and what must be unique.
 */

import { Deployment, HttpRoute } from '../../shared/state/deployment';

/** What is wrong with a deployment, one violation an item; empty where it may take effect. */
export function validateDeployment(deployment: Deployment): string[] {
  return [...checkRoutes(deployment), ...checkTenantKeys(deployment)];
}

function checkRoutes(deployment: Deployment): string[] {
  const violations: string[] = [];
  const pools = new Set<string>();
  for (const pool of deployment.pools) pools.add(pool.name);
  const routeAt = new Map<string, string>();
  for (const route of deployment.routes) {
    const location = `${route.host} ${route.prefix}`;
    const other = routeAt.get(location);
    if (other !== undefined)
      violations.push(`route ${route.name}: has the host and prefix of ${other}`);
    routeAt.set(location, route.name);
    violations.push(...checkRoute(route, pools));
  }
  return violations;
}

function checkRoute(route: HttpRoute, pools: ReadonlySet<string>): string[] {
  const violations: string[] = [];
  let totalWeight = 0;
  if (!route.prefix.startsWith('/') || !route.prefix.endsWith('/'))
    violations.push(`route ${route.name}: the prefix must begin and end with a slash`);
  if (!(route.timeoutMs > 0)) violations.push(`route ${route.name}: the time-out must be above 0`);
  for (const { pool, weight } of route.targets) {
    if (!pools.has(pool)) violations.push(`route ${route.name}: no pool ${pool}`);
    if (!(weight >= 0)) violations.push(`route ${route.name}: a weight must be 0 or above`);
    totalWeight += weight;
  }
  if (!(totalWeight > 0)) violations.push(`route ${route.name}: the weights add up to 0`);
  return violations;
}

/** A key stands for one tenant. */
function checkTenantKeys(deployment: Deployment): string[] {
  const violations: string[] = [];
  const tenantOf = new Map<string, string>();
  for (const tenant of deployment.tenants)
    for (const key of tenant.keys) {
      const other = tenantOf.get(key);
      if (other !== undefined && other !== tenant.name)
        violations.push(`tenant ${tenant.name}: shares a key with ${other}`);
      tenantOf.set(key, tenant.name);
    }
  return violations;
}
