import nodeHttp from 'node:http';
import net from 'node:net';
import { Left, Right } from 'purify-ts';
import { usersPlatform } from '../../platform/adapter';
import { Gateway, startGateway } from '../../src/data/gateway/gateway';
import { Deployment, HttpRoute } from '../../src/shared/state/deployment';
import { Follower } from '../../src/shared/replication/follower';
import { describeError, errorOrValue, Result } from '../../src/shared/errors/errors';
import { RawHttpNetwork, RawListener } from '../../src/shared/ports/raw-http';
import { makePushStream } from '../../src/shared/util/push-stream';
import { Ports } from '../../src/shared/ports/ports';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { makeRawHttpNetwork } from '../../src/shared/system/raw-http';
import { defaultSettings, Settings } from '../../src/shared/settings/settings';
import { Engine } from '../../src/shared/state/engines';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { VersionedValue } from '../../src/shared/state/versions';

/** Settings whose retry budget no test uses up. */
export const AMPLE_RETRY_BUDGET = { retryWindowMs: 1, retrySlack: 1000 };

/** What a stand-in engine was asked, and its answer to be given. */
export interface EngineCall {
  req: nodeHttp.IncomingMessage;
  res: nodeHttp.ServerResponse;
  body: string;
  /** Requests that came before this one. */
  before: number;
}

/** A stand-in engine whose answers a test writes; it notes what it ran. */
export interface EngineStandIn {
  id: string;
  at: string;
  zone: string;
  calls: nodeHttp.IncomingMessage[];
  bodies: string[];
  connections: number;
  close: () => void;
}

/** Starts an engine that answers by `answer`. */
export async function startStandIn(
  id: string,
  answer: (c: EngineCall) => void,
  zone = 'zone-a',
): Promise<EngineStandIn> {
  const server = nodeHttp.createServer(asked);
  const e: EngineStandIn = { id, at: '', zone, calls: [], bodies: [], connections: 0, close };
  function asked(req: nodeHttp.IncomingMessage, res: nodeHttp.ServerResponse): void {
    let body = '';
    function data(p: Buffer): void {
      body += p.toString('latin1');
    }
    function whole(): void {
      e.calls.push(req);
      e.bodies.push(body);
      answer({ req, res, body, before: e.calls.length - 1 });
    }
    req.on('data', data);
    req.on('end', whole);
  }
  function connected(): void {
    e.connections++;
  }
  function close(): void {
    server.close();
    server.closeAllConnections();
  }
  server.on('connection', connected);
  function wait(done: () => void): void {
    server.listen(0, '127.0.0.1', done);
  }
  await new Promise<void>(wait);
  e.at = `127.0.0.1:${(server.address() as net.AddressInfo).port}`;
  return e;
}

/** Headers that an engine's own answer to a request has. */
export function engineHeaders(
  c: EngineCall,
  more: Record<string, string> = {},
): Record<string, string> {
  return {
    'Plumhollow-Attempt-Id': String(c.req.headers['plumhollow-attempt-id']),
    'Plumhollow-Response-Seal': 's.1',
    'Plumhollow-Weight-Versions': 'm:1',
    ...more,
  };
}

/** Answers with a stream of numbered events from where the caller left off. */
export function streamEvents(events: number): (c: EngineCall) => void {
  function answer(c: EngineCall): void {
    c.res.writeHead(200, engineHeaders(c, { 'Content-Type': 'text/event-stream' }));
    for (let i = Number(c.req.headers['last-event-id'] ?? 0) + 1; i <= events; i++)
      c.res.write(`id: ${i}\ndata: piece ${i}\n\n`);
    c.res.end();
  }
  return answer;
}

/** Turns a request away. */
export function rejectRequest(c: EngineCall): void {
  c.res.writeHead(503, {
    'Plumhollow-Attempt-Id': String(c.req.headers['plumhollow-attempt-id']),
    'Plumhollow-Not-Executed': '1',
  });
  c.res.end('full\n');
}

/** Closes the connection without an answer. */
export function resetConnection(c: EngineCall): void {
  c.req.socket.resetAndDestroy();
}

/** A route of the tests' host with some of it set. */
export function route(more: Partial<HttpRoute>): HttpRoute {
  return {
    name: 'r',
    host: 'desk.example',
    prefix: '/a/',
    kind: 'streaming',
    timeoutMs: 3000,
    aimMs: 300,
    gapAimMs: 250,
    priority: 0,
    targets: [{ pool: 'p', weight: 1 }],
    maxAttempts: 2,
    public: false,
    affinity: false,
    resumable: false,
    ...more,
  };
}

/** A deployment of two tenants and one pool with some of it set. */
export function deployment(routes: HttpRoute[], more: Partial<Deployment> = {}): Deployment {
  return {
    revision: 1,
    routes,
    stores: [],
    pools: [
      {
        name: 'p',
        healthPath: '/health',
        maxConnections: 100,
        batch: 4,
        cacheTokens: 1000,
        tokenBytes: 10,
        linkMbps: 100,
        feedCalls: 4,
        warmUpMs: 0,
        warmUpPerS: 0,
        models: ['m'],
      },
    ],
    tenants: [
      { name: 'walled', keys: ['k1'], priority: 1, isolated: true },
      { name: 'open', keys: ['k2', 'k3'], priority: 0, isolated: false },
    ],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 100000,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    ...more,
  };
}

/** A gateway with a follower whose news a test tells. */
export interface GatewayFixture {
  gateway: Gateway;
  address: string;
  readinessAddress: string;
  publish: (key: string, value: unknown) => void;
  publishEngines: (list: Partial<Engine>[]) => void;
  setLease: (on: boolean) => void;
  /** Tells that routers of its zone can't connect to an engine. */
  tellUnreachable: (engine: string) => void;
  close: () => Promise<void>;
}

/** What a rig starts with. */
export interface GatewayFixtureOptions {
  engines?: (EngineStandIn & Partial<Engine>)[];
  deployment?: Deployment;
  settings?: Partial<Settings>;
  routers?: number;
  /** Whether it holds a majority's leases from the start. */
  hasLease?: boolean;
  clock?: Ports['clock'];
  /** How many permits to send to an engine that warms up it holds; none where it is left out. */
  permitCount?: (engine: string) => number;
  /** Engines that controllers reported as unreachable before it began to listen. */
  reported?: string[];
  /** Called with each engine that it reports as unreachable. */
  onUnreachable?: (engine: string) => void;
  /** Called when a connection to an engine has come up, before it is used. */
  onConnect?: (at: string) => void;
}

/** Addresses at which the system chooses a port that nothing else has; the two differ only to be told apart. */
const ANY_CALLERS_PORT = '127.0.0.1:0';
const ANY_READINESS_PORT = '127.0.0.2:0';

/** A raw HTTP network that notes at which address each listener was bound. */
interface BoundNetwork {
  http: RawHttpNetwork;
  /** The bound address of what was to listen at an address. */
  boundAddress: (address: string) => string;
}

function noteBoundAddresses(network: RawHttpNetwork): BoundNetwork {
  const bound = new Map<string, string>();
  async function serve(
    ...[address, limits, onRequest]: Parameters<RawHttpNetwork['serve']>
  ): Promise<Result<RawListener>> {
    const served = await network.serve(address, limits, onRequest);
    const [, listener] = errorOrValue(served);
    if (listener) bound.set(address, listener.address);
    return served;
  }
  function boundAddress(address: string): string {
    return bound.get(address) ?? address;
  }
  return { http: { ...network, serve }, boundAddress };
}

function readDeployment(doc: unknown): ReturnType<typeof usersPlatform.deployment> {
  return doc === undefined ? Left(['nothing']) : Right(doc as Deployment);
}

/** The gateway that was started; throws what kept it from starting. */
function startedOrThrow(started: Result<Gateway>): Gateway {
  const [error, gateway] = errorOrValue(started);
  if (error) throw new Error(`the gateway did not start: ${describeError(error)}`);
  return gateway;
}

/** Starts a gateway on loopback sockets. */
export async function startGatewayFixture(ways: GatewayFixtureOptions): Promise<GatewayFixture> {
  const state = new Map<string, VersionedValue>();
  const changes = makePushStream<VersionedValue>();
  let live = ways.hasLease ?? true;
  let number = 0;
  function tell(key: string, value: unknown): void {
    const n: VersionedValue = { key, value, epoch: 1, by: 'core', number: ++number };
    state.set(key, n);
    changes.push(n);
  }
  function tellEngines(list: Partial<Engine>[]): void {
    function whole(e: Partial<Engine>): Engine {
      return {
        id: e.id!,
        at: e.at!,
        zone: e.zone ?? 'zone-a',
        model: 'm',
        weights: '1',
        models: e.models ?? [{ name: 'm', weights: '1' }],
        leaving: e.leaving ?? false,
        pool: e.pool ?? 'p',
        batch: 4,
        warmMs: e.warmMs,
      };
    }
    tell(CONTROL_KEYS.engines, list.map(whole));
  }
  function setLive(on: boolean): void {
    live = on;
  }
  function isLive(): boolean {
    return live;
  }
  function value(key: string): unknown {
    const n = state.get(key);
    return n && { place: n, value: n.value };
  }
  function places(): VersionedValue[] {
    return [...state.values()];
  }
  function members(role: string): unknown[] {
    return role === 'router' ? new Array(ways.routers ?? 1).fill({}) : [];
  }
  function leaving(): boolean {
    return false;
  }
  const unreachable = makePushStream<string>();
  function reported(): readonly string[] {
    return ways.reported ?? [];
  }
  function reportUnreachable(id: string): void {
    ways.onUnreachable?.(id);
  }
  function noPermits(): number {
    return 0;
  }
  if (ways.engines) tellEngines(ways.engines);
  if (ways.deployment) tell(CONTROL_KEYS.deployment, { revision: 1, doc: ways.deployment });
  function sink(): void {
    // does nothing on purpose
  }
  const log = { info: sink, notice: sink, warn: sink, error: sink };
  const follower = {
    hasLease: isLive,
    value,
    appliedValues: places,
    members,
    isDraining: leaving,
    changes: changes.stream,
    drainingNotices: makePushStream<string[]>().stream,
    memberChanges: makePushStream<never>().stream,
    warmUp: {
      permitCount: ways.permitCount ?? noPermits,
      reportUnreachable,
      notices: unreachable.stream,
      reported,
    },
  } as unknown as Follower;
  const settings: Settings = {
    ...defaultSettings(),
    name: 'edge-1',
    zone: 'zone-a',
    strict: false,
    http: ANY_CALLERS_PORT,
    readiness: ANY_READINESS_PORT,
    ...ways.settings,
  };
  const { http, boundAddress } = noteBoundAddresses(makeRawHttpNetwork());
  async function connect(at: string, within: number): ReturnType<typeof http.connect> {
    const o = await http.connect(at, within);
    ways.onConnect?.(at);
    return o;
  }
  const ports = {
    clock: ways.clock ?? makeSystemClock(),
    random: { next: Math.random, uuid: String },
    logger: log,
    rawHttp: { ...http, connect },
  } as unknown as Ports;
  const adapter = { ...usersPlatform, deployment: readDeployment };
  const gateway = startedOrThrow(await startGateway(ports, settings, follower, adapter));
  async function close(): Promise<void> {
    await gateway.stop();
    for (const e of ways.engines ?? []) e.close();
  }
  return {
    gateway,
    address: boundAddress(settings.http),
    readinessAddress: boundAddress(settings.readiness),
    publish: tell,
    publishEngines: tellEngines,
    setLease: setLive,
    tellUnreachable: unreachable.push,
    close,
  };
}

/** What a caller got. */
export interface CallerResponse {
  status: number;
  headers: nodeHttp.IncomingHttpHeaders;
  body: string;
  /** Whether the answer came whole. */
  isComplete: boolean;
}

let ids = 0;

/** Asks as a caller does; a connection that ends without a head is status 0. */
export function sendRequest(
  at: string,
  more: {
    path?: string;
    host?: string;
    key?: string;
    method?: string;
    body?: string;
    headers?: Record<string, string>;
    agent?: nodeHttp.Agent;
    onPiece?: (text: string, req: nodeHttp.ClientRequest) => void;
  } = {},
): Promise<CallerResponse & { id: string }> {
  const id = `try-${++ids}`;
  const [host, port] = at.split(':');
  const headers: Record<string, string> = {
    Host: more.host ?? 'desk.example',
    'Plumhollow-Attempt-Id': id,
    'Plumhollow-Model': 'm',
    'Plumhollow-Deadline-Ms': '2000',
    ...more.headers,
  };
  if (more.key !== '') headers.Authorization = `Token ${more.key ?? 'k1'}`;
  function wait(done: (g: CallerResponse & { id: string }) => void): void {
    const req = nodeHttp.request({
      host,
      port,
      method: more.method ?? 'POST',
      path: more.path ?? '/a/x',
      headers,
      agent: more.agent ?? false,
      setHost: false,
    });
    function failed(): void {
      done({ id, status: 0, headers: {}, body: '', isComplete: false });
    }
    function answered(res: nodeHttp.IncomingMessage): void {
      let body = '';
      function data(p: Buffer): void {
        body += p.toString('latin1');
        more.onPiece?.(body, req);
      }
      function closed(): void {
        done({ id, status: res.statusCode!, headers: res.headers, body, isComplete: res.complete });
      }
      function nothing(): void {
        // does nothing on purpose
      }
      res.on('data', data);
      res.on('error', nothing);
      res.on('close', closed);
    }
    req.on('error', failed);
    req.on('response', answered);
    req.end(more.body ?? 'hello');
  }
  return new Promise(wait);
}
