/** The documents that operators of worst days send. */
import { createHash } from 'node:crypto';

/** A named item of a list. */
export interface Item {
  name: string;
  [field: string]: unknown;
}

/** A whole document. */
export interface WorstDocument {
  revision: number;
  routes: Item[];
  services: Item[];
  tenants: Item[];
  limits: object;
}

/** A named change of routes. */
export interface RouteChange {
  revision: number;
  upsert: { routes: Item[] };
  remove: { routes: string[] };
}

const HASH_LENGTH = 16;

function byName(a: Item, b: Item): number {
  return a.name < b.name ? -1 : 1;
}

function sorted(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sorted);
  if (typeof value !== 'object' || value === null) return value;
  const out: Record<string, unknown> = {};
  for (const name of Object.keys(value).sort()) out[name] = sorted((value as Item)[name]);
  return out;
}

/** A hash of a document that doesn't depend on the order of its fields or of its named items. */
export function hashOf(document: WorstDocument): string {
  const { routes = [], services = [], tenants = [] } = document;
  const canonical = {
    ...document,
    routes: [...routes].sort(byName),
    services: [...services].sort(byName),
    tenants: [...tenants].sort(byName),
  };
  const text = JSON.stringify(sorted(canonical));
  return createHash('sha256').update(text).digest('hex').slice(0, HASH_LENGTH);
}

/** A route whose content tells who made it. */
export function routeOf(name: string, maker: string): Item {
  return {
    name,
    hostname: 'worst.example',
    pathPrefix: `/${name}/`,
    routeType: 'safe',
    timeoutMs: 4000,
    service: 'engines',
    maker,
  };
}

/** A whole document with some routes. */
export function documentOf(revision: number, routes: Item[]): WorstDocument {
  const services = [{ name: 'engines', healthCheckPath: '/health', maxConnections: 10 }];
  return { revision, routes, services, tenants: [], limits: {} };
}

/** What a named change makes of a document. */
export function applyRouteChange(document: WorstDocument, change: RouteChange): WorstDocument {
  const routes = new Map<string, Item>();
  for (const route of document.routes) routes.set(route.name, route);
  for (const name of change.remove.routes) routes.delete(name);
  for (const route of change.upsert.routes) routes.set(route.name, route);
  return { ...document, revision: change.revision, routes: [...routes.values()] };
}
