import { sendJson } from '../../src/shared/transport/http-handlers';
import { requestJson } from '../../src/shared/util/http-json';
import { errorOrValue, Result } from '../../src/shared/errors/errors';
import { IncomingRequest, Listener } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';
import { Engine } from '../../src/shared/state/engines';
import { Hollow, MODEL } from './hollow-fleet';
import { ChangeSeen } from './operators';
import { CHAIN, hollowHash, SourceWays } from './sources';

/** Events of one return at the most. */
const MOST = 2560;
/** Engines of one page of the list. */
const PAGE = 50;
/** The pool of all hollow engines. */
const POOL = 'pool-1';

type Doc = { revision: number } & Record<string, unknown>;

/** Starts the platform's stand-in list, page by page. */
export function startList(ports: Ports, at: string, engines: Engine[]): Promise<Result<Listener>> {
  function take(call: IncomingRequest): Promise<void> {
    const from = Number(call.query.get('pageToken') ?? 0);
    const instances = engines.slice(from, from + PAGE).map(listed);
    sendJson(call, 200, {
      instances,
      nextPageToken: from + PAGE < engines.length ? String(from + PAGE) : null,
    });
    return Promise.resolve();
  }
  return ports.network.serveHttp(at, take);
}

function listed(e: Engine): object {
  return {
    instanceId: e.id,
    service: POOL,
    address: e.at,
    zone: e.zone,
    revision: 'v1',
    capacity: 24,
    state: e.leaving ? 'draining' : 'ready',
    warmupLeftMs: 0,
    stage: 'prefill_decode',
    models: [{ name: e.model, revision: 1, adapters: [] }],
  };
}

function routeOf(i: number): object {
  return {
    name: `r-${i}`,
    hostname: 'desk.example',
    pathPrefix: `/p${i}/`,
    routeType: 'streaming',
    timeoutMs: 6000,
    targetLatencyMs: 600,
    priority: i % 3,
    service: POOL,
    maxAttempts: 2,
    public: false,
    sessionAffinity: true,
    resumable: false,
    targetGapMs: 250,
  };
}

/** Makes a whole document of so many tenants, one key each, and so many routes. */
export function makeDoc(tenants: number, routes: number): Doc {
  const doc = {
    revision: 1,
    routes: [] as object[],
    services: [] as object[],
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
    },
    tenants: [] as object[],
  };
  for (let i = 0; i < routes; i++) doc.routes.push(routeOf(i));
  for (let i = 0; i < tenants; i++)
    doc.tenants.push({
      name: `tenant-${i}`,
      apiKeys: [keyOf(i)],
      priority: i % 3,
      isolated: i % 2 === 0,
    });
  const engine = {
    capacity: 24,
    cacheTokens: 149454,
    kvTokenBytes: 163840,
    bandwidthMbps: 1100000,
    stride: 7,
    maxConcurrent: 12,
    models: [{ name: MODEL }],
  };
  doc.services.push({
    name: POOL,
    healthCheckPath: '/health',
    maxConnections: 210,
    protocol: 'h1',
    tls: false,
    engine,
  });
  return doc;
}

/** The key of a hollow tenant. */
export function keyOf(i: number): string {
  return `key${String(i).padStart(17, '0')}`;
}

async function send(
  h: Hollow,
  path: string,
  base: number,
  body: unknown,
  at: number,
): Promise<ChangeSeen> {
  const began = h.ports.clock.now();
  const headers = { 'plumhollow-base-version': String(base) };
  const [f, r] = errorOrValue(
    await requestJson(h.ports.network, {
      address: h.controllers[at % h.controllers.length].http,
      method: 'POST',
      path,
      headers,
      body: JSON.stringify(body),
      timeoutMs: 60000,
    }),
  );
  const status = f ? 0 : r.status;
  return { ms: h.ports.clock.now() - began, inEffect: status === 200, status };
}

/** Replaces the whole document; it is sent again until it is taken. */
export async function replaceDoc(h: Hollow, doc: Doc): Promise<ChangeSeen> {
  let seen: ChangeSeen = { ms: 0, inEffect: false, status: 0 };
  for (let i = 0; i < 20 && seen.status !== 200; i++) {
    seen = await send(h, '/api/Configuration.Replace', 0, doc, i);
    if (seen.status !== 200) await h.ports.clock.sleep(500);
  }
  return seen;
}

/** Changes one route, again and again at a pace, by named changes. */
export async function updateRoutes(
  h: Hollow,
  from: number,
  routes: number,
  times: number,
  perS: number,
): Promise<ChangeSeen[]> {
  const out: ChangeSeen[] = [];
  for (let i = 0; i < times; i++) {
    const began = h.ports.clock.now();
    const change = {
      revision: from + i + 1,
      upsert: { routes: [{ ...routeOf((i * 7) % routes), timeoutMs: 5000 + from + i }] },
      remove: {},
    };
    out.push(await send(h, '/api/Configuration.Update', from + i, change, i));
    await h.ports.clock.sleep(Math.max(0, 1000 / perS - (h.ports.clock.now() - began)));
  }
  return out;
}

/** Starts a hollow engine that speaks the platform's manner: its parts are made up, and its answers are a few events. */
export function startPlatformSource(ports: Ports, w: SourceWays): Promise<Result<Listener>> {
  const began = ports.clock.now() - ports.random.next() * 1000;
  const filled = Math.ceil(w.holds / CHAIN) * CHAIN;

  function last(): number {
    return filled + Math.floor(((ports.clock.now() - began) / 1000) * w.eventsPerS);
  }

  /** Once all room is taken, every other event is of a part that goes. */
  function event(seq: number): unknown[] {
    const beyond = seq - filled;
    const [sign, n] =
      beyond <= 0
        ? ['+', seq]
        : beyond % 2 === 1
          ? ['-', (beyond + 1) >> 1]
          : ['+', filled + (beyond >> 1)];
    const i = n;
    return [
      seq,
      sign,
      w.salt,
      hollowHash(w.id, Math.floor((i - 1) / CHAIN) + 1, (i - 1) % CHAIN),
      sign === '+' ? 64 : 0,
      w.model,
    ];
  }

  async function feed(call: IncomingRequest): Promise<void> {
    const since = Number(call.query.get('since') ?? 0);
    const until = ports.clock.now() + Math.min(1000, Number(call.headers['wait-ms'] ?? 0));
    const gap = w.eventsPerS > 0 ? Math.max(5, 1000 / w.eventsPerS) : Infinity;
    while (last() <= since && !call.aborted.aborted && ports.clock.now() < until)
      await ports.clock.sleep(Math.min(gap, until - ports.clock.now()));
    const to = Math.min(last(), since + MOST);
    const events: unknown[] = [];
    for (let n = since + 1; n <= to; n++) events.push(event(n));
    sendJson(call, 200, { epoch: 1, nextPageToken: Math.max(since, to), lost: false, events });
  }

  async function generate(call: IncomingRequest): Promise<void> {
    await call.body(1 << 22);
    await ports.clock.sleep(20);
    call.writeHead(200, {
      'content-type': 'text/event-stream',
      'plumhollow-attempt-id': call.headers['plumhollow-attempt-id'] ?? '',
      'plumhollow-response-seal': 's.1',
      'plumhollow-weight-versions': `${w.model}:1`,
    });
    for (let i = 1; i <= 6; i++) {
      if (!(await call.write(`id: ${i}\ndata: piece ${i} of some tokens\n\n`)))
        return call.destroy();
      await ports.clock.sleep(10);
    }
    call.end();
  }

  async function take(call: IncomingRequest): Promise<void> {
    if (call.path === '/api/kv-events') return feed(call);
    if (call.path === '/api/kv-list')
      return sendJson(call, 200, { epoch: 1, nextPageToken: last(), held: [] });
    if (call.path === '/api/report')
      return sendJson(call, 200, {
        stage: 'prefill_decode',
        models: [{ name: w.model, revision: 1, adapters: [] }],
        busy: false,
        callCount: 0,
        queued: 0,
        running: 1,
        cacheUsed: 100,
        cacheTotal: 149454,
        handles: 0,
      });
    if (call.path === '/health') return sendJson(call, 200, {}, { 'plumhollow-instance-id': w.id });
    return generate(call);
  }

  return ports.network.serveHttp(w.at, take);
}
