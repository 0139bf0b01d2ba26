import { errorOrValue } from '../../shared/errors/errors';
import { CallerRequest, HttpRoute, TenantAccess } from '../../shared/state/deployment';
import { HttpConnection, RawIncomingRequest } from '../../shared/ports/raw-http';
import { EngineSelection, AttemptTracker, Rejection } from './engine-chooser';
import { AttemptOutcome, forward, AdmittedRequest, wantedOf } from './forwarding';
import { CutOffCause, InFlightRequest } from './in-flight-requests';
import { GatewayDependencies } from './gateway-dependencies';
import { drawPool, RouteTable } from './route-table';

/** Connections to engines that may fail before a request is given up, as a multiple of its attempts. */
const CONNECTS = 3;
/** When a request may come again that could not be sent, as a share of its route's aim; of `contactMs` where no route is known. */
const AGAIN = { aim: 0.25, contact: 0.1 };
/** The least time that is worth another attempt, as a share of `transitMs`. */
const WORTH = 0.1;

/** Why a router that is sound refuses. */
const NO_DEPLOYMENT = 'this router has no deployment yet';
const LEAVING = 'this router is leaving';

/** Answers to what may have run: they promise nothing. */
const BAD_GATEWAY = 502;
const GATEWAY_TIMEOUT = 504;

/** A request that was read: what it asks for, whole. */
interface Read {
  request: CallerRequest;
  body: Uint8Array;
}

/** A request that the deployment allows. */
interface Allowed {
  route: HttpRoute;
  tenant?: TenantAccess;
  pool: string;
}

/** Serves one request: read, allow, route, choose, forward, events back. */
export async function serveRequest(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  inFlight: InFlightRequest,
): Promise<void> {
  g.counts.received++;
  const x = await admit(g, call, inFlight);
  if (!x) return;
  g.budget.recordRequest(x.pool);
  const { id } = x.request;
  if (!x.repeatable && g.singleRunIds.has(id)) return giveUp(g, call, BAD_GATEWAY);
  if (!x.repeatable) g.singleRunIds.add(id);
  const end = await attempt(g, call, x);
  if (!x.repeatable) g.singleRunIds.delete(id);
  finish(g, call, x, end);
}

/** Reads a request and judges whether it is taken; nothing where it was answered already. */
async function admit(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  inFlight: InFlightRequest,
): Promise<AdmittedRequest | undefined> {
  const q = await read(g, call);
  if (!q) return undefined;
  const table = g.routes();
  if (!table) return refuse(g, call, comeAgain(g, NO_DEPLOYMENT));
  const a = allow(g, call, table, q.request);
  if (!a) return undefined;
  const { timeoutMs } = a.route;
  const until = inFlight.arrivedAt + Math.min(q.request.deadlineMs ?? timeoutMs, timeoutMs);
  if (!g.drain.admits(until)) return refuse(g, call, comeAgain(g, LEAVING));
  inFlight.id = q.request.id;
  inFlight.route = a.route.name;
  inFlight.deadlineAt = until;
  return {
    request: q.request,
    route: a.route,
    tenant: a.tenant,
    pool: a.pool,
    maxConnections: table.poolOf(a.pool)?.maxConnections ?? 1,
    body: q.body,
    until,
    sentAt: inFlight.arrivedAt,
    repeatable: a.route.kind === 'safe' || a.route.resumable,
    inFlight,
    doubted: false,
    lastEvent: undefined,
    avoid: new Set(),
    sent: 0,
  };
}

/** How the attempts of a request came to their end. */
interface AttemptsEnd {
  last?: AttemptOutcome;
  /** Why an answer that has begun is cut off. */
  cause: CutOffCause;
  /** The refusal of what no engine has run. */
  refusal: Rejection;
}

/** Sends a request to engines in turn until one has answered, or none may be tried any more. */
async function attempt(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  x: AdmittedRequest,
): Promise<AttemptsEnd> {
  const { clock } = g.ports;
  const { maxAttempts } = x.route;
  const end: AttemptsEnd = { cause: 'attempts-used-up', refusal: unreachable(x.route) };
  for (let tried = 0; x.sent < maxAttempts && tried < maxAttempts * CONNECTS; tried++) {
    if (call.aborted.aborted || x.until - clock.now() < g.settings.transitMs * WORTH)
      return { ...end, cause: 'time-up' };
    if (g.drain.isOver()) return end;
    const wanted = wantedOf(x);
    const chosen = await g.chooser.choose(wanted);
    if (chosen.isLeft()) return { ...end, refusal: chosen.extract(), cause: 'no-engine' };
    const c = chosen.unsafeCoerce();
    const load = g.chooser.startAttempt(c, wanted);
    x.avoid.add(c.engine.id);
    const connection = await connect(g, x, c, load);
    if (!connection) continue;
    const isTimeUp = clock.now() >= x.until || call.aborted.aborted;
    if (isTimeUp || (x.sent > 0 && !g.budget.trySpend(x.pool))) {
      load.recordEnd('caller-gone');
      g.connections.release(c.engine, connection);
      return { ...end, cause: isTimeUp ? 'time-up' : 'retry-budget' };
    }
    countAttempt(g, x, c);
    end.last = await forward(g, call, x, c, connection, load, x.sent + 1 < maxAttempts);
    x.inFlight.abandonAttempt = undefined;
    if (end.last !== 'not-sent') x.sent++;
    if (g.drain.isOver()) return end;
    if (end.last === 'late') return { ...end, cause: 'time-up' };
    if (end.last === 'broken' && !canResume(x)) return { ...end, cause: 'engine-broke-off' };
    if (end.last === 'answered' || end.last === 'caller-gone') return end;
    if (end.last === 'doubt' && !x.repeatable) return end;
  }
  return end;
}

/** Takes a connection to the engine that was chosen; nothing where there is none, or the engine has gone meanwhile. */
async function connect(
  g: GatewayDependencies,
  x: AdmittedRequest,
  c: EngineSelection,
  load: AttemptTracker,
): Promise<HttpConnection | undefined> {
  const [f, connection] = errorOrValue(await g.connections.acquire(c.engine, x.maxConnections));
  if (f) {
    if (f.code === 'no-connection') load.recordRejection('not-run');
    load.recordEnd('not-run');
    return undefined;
  }
  if (g.isEngineActive(c.engine)) return connection;
  load.recordEnd('not-run');
  g.connections.release(c.engine, connection);
  return undefined;
}

function countAttempt(g: GatewayDependencies, x: AdmittedRequest, c: EngineSelection): void {
  g.counts.attempts++;
  if (x.sent > 0) g.counts.retries++;
  if (x.inFlight.answerBegan) g.counts.resumed++;
  x.inFlight.engine = c.engine.id;
  x.inFlight.attempts++;
}

/** Ends a request whose attempts have ended. */
function finish(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  x: AdmittedRequest,
  { last, cause, refusal }: AttemptsEnd,
): void {
  if (last === 'answered') g.counts.answered++;
  else if (last === 'caller-gone' || call.aborted.aborted) g.counts.callersGone++;
  else if (x.inFlight.answerBegan) breakOff(g, call, x.inFlight, cause);
  else if (x.doubted) {
    const isTimeUp = last === 'late' || g.ports.clock.now() >= x.until;
    giveUp(g, call, isTimeUp ? GATEWAY_TIMEOUT : BAD_GATEWAY);
  } else refuse(g, call, refusal);
}

function canResume(x: AdmittedRequest): boolean {
  return x.route.resumable && (!x.inFlight.answerBegan || x.lastEvent !== undefined);
}

async function read(g: GatewayDependencies, call: RawIncomingRequest): Promise<Read | undefined> {
  const limits = g.routes()?.limits;
  if (limits && headerBytes(call) > limits.maxHeaderBytes)
    return answer(g, call, 431, 'the headers are too large');
  const [f, body] = errorOrValue(await call.body(limits?.maxBodyBytes ?? g.settings.bodyMostBytes));
  if (f && !limits) return refuse(g, call, comeAgain(g, NO_DEPLOYMENT));
  if (f) return answer(g, call, f.code === 'too-large' ? 413 : 400, f.reason);
  if (!g.routes()) return refuse(g, call, comeAgain(g, NO_DEPLOYMENT));
  const r = g.adapter.callers.read(call.method, call.target, call.headersByName);
  if (r.isLeft()) return answer(g, call, 400, r.extract());
  return { request: r.extract() as CallerRequest, body };
}

/** Bytes of a request's head, its lines with their ends. */
function headerBytes(call: RawIncomingRequest): number {
  let n = call.method.length + call.target.length + 12;
  for (const x of call.headers) n += x.length + 2;
  return n;
}

function allow(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  table: RouteTable,
  q: CallerRequest,
): Allowed | undefined {
  const route = table.findRoute(q.host, q.path);
  if (!route) return answer(g, call, 404, 'no route');
  const tenant = q.credential === undefined ? undefined : table.tenantOf(q.credential);
  if (!route.public && !tenant) return answer(g, call, 401, 'the key is not known');
  const pool = drawPool(route, g.ports.random.next());
  if (pool === undefined) return answer(g, call, 404, 'the route has no target');
  return { route, tenant, pool };
}

function say(call: RawIncomingRequest, status: number, why: string, more: string[] = []): void {
  const bytes = Buffer.from(JSON.stringify({ error: why }) + '\n');
  call.writeHead(status, [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(bytes.length),
    ...more,
  ]);
  call.end(bytes);
}

function answer(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  status: number,
  why: string,
): undefined {
  g.counts.rejected++;
  say(call, status, why);
  return undefined;
}

/** Refuses what has not run and never will, with a time to come again. */
function refuse(g: GatewayDependencies, call: RawIncomingRequest, r: Rejection): undefined {
  g.counts.rejected++;
  say(call, r.status, r.reason, ['Retry-After', (r.retryAfterMs / 1000).toFixed(3)]);
  return undefined;
}

/** A refusal whose cause lies in this router. */
function comeAgain(g: GatewayDependencies, why: string): Rejection {
  return { status: 503, reason: why, retryAfterMs: g.settings.contactMs * AGAIN.contact };
}

/** The refusal where no engine could be connected to. */
function unreachable(route: HttpRoute): Rejection {
  return { status: 503, reason: 'no engine can be reached', retryAfterMs: route.aimMs * AGAIN.aim };
}

/** Gives up what may have run. */
function giveUp(g: GatewayDependencies, call: RawIncomingRequest, status: number): void {
  g.counts.unknown++;
  say(call, status, 'the engine was lost; the request may have run');
}

function breakOff(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  inFlight: InFlightRequest,
  cause: CutOffCause,
): void {
  g.counts.unknown++;
  g.inFlight.cutOff(inFlight, cause, g.drain.drainingMs());
  call.destroy();
}
