import { Clock } from '../../../src/shared/ports/clock';
import { ApartRecords, makeApartRecords } from './apart-records';

/** How often a kind of request may run. */
export type RouteType = 'safe' | 'unsafe' | 'streaming';

/** A route, as the operator sends it. */
export interface RouteDoc {
  name: string;
  hostname: string;
  pathPrefix: string;
  routeType: RouteType;
  timeoutMs: number;
  targetLatencyMs: number;
  priority: number;
  service?: string;
  backends?: { service: string; weight: number }[];
  maxAttempts: number;
  public: boolean;
  sessionAffinity: boolean;
  resumable: boolean;
  targetGapMs?: number;
}

/** A tenant, as the operator sends it. */
export interface TenantDoc {
  name: string;
  apiKeys: string[];
  priority: number;
  isolated: boolean;
}

/** A service, as the operator sends it. */
export interface ServiceDoc {
  name: string;
  healthCheckPath?: string;
  maxConnections?: number;
  protocol?: string;
  tls?: boolean;
  /** For how long an engine that has started is cold, in s, and how many requests a second it bears then. */
  warmupS?: number;
  warmupPerS?: number;
  engine?: {
    capacity: number;
    cacheTokens: number;
    kvTokenBytes: number;
    bandwidthMbps: number;
    stride: number;
    maxConcurrent: number;
    models: { name: string }[];
  };
  cacheStore?: string;
  zone?: string;
  cacheTokens?: number;
  bandwidthMbps?: number;
  maxConcurrent?: number;
}

/** A whole configuration. */
export interface ConfigDoc {
  revision: number;
  routes: RouteDoc[];
  services: ServiceDoc[];
  limits: {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
  };
  tenants: TenantDoc[];
}

/** One event of a stream, as its bytes stand on the wire. */
export interface Piece {
  id: number;
  text: string;
}

/** One try of a client, and what came of it. */
export interface Try {
  id: string;
  /** The request that it is a try of. */
  request: number;
  nth: number;
  router: string;
  /** The life of the router's process. */
  life: number;
  route: string;
  kind: RouteType;
  /** May run more than once. */
  repeatable: boolean;
  host: string;
  method: string;
  target: string;
  body: string;
  key?: string;
  tenant?: string;
  lastEvent?: number;
  /** It only shows which configuration is in force. */
  probe: boolean;
  /** Sent on a connection that had served a request before. */
  onKept?: boolean;
  sentAt: number;
  /** When its last byte was written. */
  writtenAt: number;
  deadlineMs: number;
  timeoutMs: number;
  aimMs: number;
  gapMs: number;
  status?: number;
  answerId?: string;
  seal?: string;
  encoding?: string;
  answer: string;
  /** When each event had come whole. */
  times: number[];
  /** How the exchange ended: an answer that came whole, a cut, bytes that are no answer, the client's own giving up, no connection. */
  end?: 'whole' | 'cut' | 'garbage' | 'gave-up' | 'no-connection';
  endedAt: number;
}

/** A request's arrival at an engine. */
export interface Arrival {
  at: number;
  id: string;
  from: string;
  instance: string;
  service: string;
  /** The engine's zone. */
  zone?: string;
  method: string;
  target: string;
  body?: string;
  tenant?: string;
  /** The client's key was among the headers. */
  keyShown: boolean;
  /** The status it was turned away with, not having run. */
  turned?: number;
}

/** One run at an engine. */
export interface Run {
  seal: string;
  id: string;
  from: string;
  instance: string;
  service: string;
  model: string;
  version: number;
  tenant?: string;
  beganAt: number;
  /** When its first token came. */
  startedAt?: number;
  /** It was put out before its first token, and said so. */
  undone: boolean;
  status: number;
  /** The last event that its stream goes on after. */
  after: number;
  /** How many events make it whole, from the stream's beginning. */
  total: number;
  pieces: Piece[];
  times: number[];
  whole: boolean;
  /** The engine itself broke off, or sent bytes that are no answer. */
  broke: boolean;
  endedAt?: number;
  /** The parts that were not read again, and whose they were. */
  used: { id: string; tokens: number; version: number; tenant?: string }[];
  tokensIn: number;
}

/** An order that reached an engine. */
export interface OrderSeen {
  at: number;
  instance: string;
  from: string;
  holder: string;
  fence: number;
  status: number;
}

/** A change of the operator's, and what came of it. */
export interface ConfigSent {
  doc: ConfigDoc;
  base: number;
  at: number;
  ackAt?: number;
  valid: boolean;
  outcome: 'open' | 'acked' | 'refused' | 'unclear';
}

/** New weights that the operator named. */
export interface VersionNamed {
  model: string;
  revision: number;
  at: number;
  ackAt?: number;
}

/** When the list first showed that an engine is draining or gone. */
export interface Leaving {
  instance: string;
  at: number;
}

/** A trouble or planned work: `who` is an IP number of a machine, an instance, `core` or `links`. */
export interface Trouble {
  kind: string;
  who: string;
  /** The IP number of the one machine that it struck, where `who` is more. */
  machine?: string;
  at: number;
  until: number;
  planned: boolean;
}

/** Bytes on a connection where no request was waiting. */
export interface Stray {
  at: number;
  router: string;
  bytes: string;
}

/** All that engines, clients, operators and the platform have observed, on one clock. */
export interface Book extends ApartRecords {
  clock: Clock;
  tries: Map<string, Try>;
  arrivals: Arrival[];
  runs: Run[];
  orders: OrderSeen[];
  configs: ConfigSent[];
  versions: VersionNamed[];
  leaving: Leaving[];
  troubles: Trouble[];
  strays: Stray[];
  /** The configuration as it was read back at the end, or undefined where it didn't come. */
  readBack?: ConfigDoc;
  readBackAsked: boolean;
  /** Calls of the platform's list. */
  listCalls: number;
  /** Reports, lists of kept parts and health checks. */
  probes: number;
  loads: number;
  movedTokens: number;
  readTokens: number;
}

/** An empty book. */
export function makeBook(clock: Clock): Book {
  return {
    ...makeApartRecords(),
    clock,
    tries: new Map(),
    arrivals: [],
    runs: [],
    orders: [],
    configs: [],
    versions: [],
    leaving: [],
    troubles: [],
    strays: [],
    readBackAsked: false,
    listCalls: 0,
    probes: 0,
    loads: 0,
    movedTokens: 0,
    readTokens: 0,
  };
}

/** Opens a trouble; the given function ends it. */
export function troubled(
  book: Book,
  kind: string,
  who: string,
  planned = false,
  machine?: string,
): () => void {
  const t: Trouble = { kind, who, machine, at: book.clock.now(), until: Infinity, planned };
  book.troubles.push(t);
  function over(): void {
    t.until = book.clock.now();
  }
  return over;
}

/** The route of a configuration that serves a host and path: the longest prefix wins. */
export function routeOf(doc: ConfigDoc, host: string, path: string): RouteDoc | undefined {
  let best: RouteDoc | undefined;
  for (const r of doc.routes)
    if (
      r.hostname === host &&
      path.startsWith(r.pathPrefix) &&
      (!best || r.pathPrefix.length > best.pathPrefix.length)
    )
      best = r;
  return best;
}

/** The services that a route may send to. */
export function servicesOf(r: RouteDoc): string[] {
  if (r.backends === undefined) return r.service === undefined ? [] : [r.service];
  const out: string[] = [];
  for (const b of r.backends) if (b.weight > 0) out.push(b.service);
  return out;
}

/** The tenant that holds a key. */
export function tenantOf(doc: ConfigDoc, key: string | undefined): TenantDoc | undefined {
  for (const t of doc.tenants) if (key !== undefined && t.apiKeys.includes(key)) return t;
  return undefined;
}

/** Whether a request of this kind may run again. */
export function mayRepeat(r: RouteDoc): boolean {
  return r.routeType === 'safe' || (r.routeType === 'streaming' && r.resumable);
}

/** What is wrong with a configuration by itself; nothing where it is valid. */
export function faultOf(doc: ConfigDoc): string | undefined {
  const names = new Set<string>();
  for (const s of doc.services) names.add(s.name);
  const places = new Set<string>();
  for (const r of doc.routes) {
    const place = `${r.hostname} ${r.pathPrefix}`;
    if (places.has(place)) return `two routes at ${place}`;
    places.add(place);
    if (!(r.timeoutMs > 0)) return `${r.name} has no timeoutMs`;
    const targets = r.backends ?? [{ service: r.service ?? '', weight: 1 }];
    let sum = 0;
    for (const b of targets) {
      if (!names.has(b.service)) return `${r.name} names ${b.service}`;
      sum += b.weight;
    }
    if (sum <= 0) return `${r.name} has no weight`;
  }
  const keys = new Set<string>();
  for (const t of doc.tenants) {
    for (const k of t.apiKeys) {
      if (keys.has(k)) return `a key is shared by ${t.name}`;
      keys.add(k);
    }
  }
  return undefined;
}
