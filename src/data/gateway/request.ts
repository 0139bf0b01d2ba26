import { open } from '../../shared/errors';
import { CallerRequest, HttpRoute, TenantAccess } from '../../shared/deployment';
import { RawCall } from '../../shared/ports';
import { Refusal, Wanted } from './choose';
import { Attempted, forward, Taken } from './forward';
import { CutOffCause, RequestInFlight } from './in-flight';
import { GatewayParts } from './parts';
import { drawPool, RouteTable } from './routes';

/** Connections to engines that may fail before a request is given up, as a multiple of its attempts. */
const CONNECTS = 3;
/** When a request may come again that could not be sent, as a share of its route's aim; of `contactMs` where no route is known. */
const AGAIN = { aim: 0.25, contact: 0.1 };
/** The least time that is worth another attempt, as a share of `transitMs`. */
const WORTH = 0.1;

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
  g: GatewayParts,
  call: RawCall,
  inFlight: RequestInFlight,
): Promise<void> {
  const { clock } = g.ports;
  const since = inFlight.arrivedAt;
  g.counts.asked++;
  const q = await read(g, call);
  if (!q) return;
  const table = g.table();
  if (!table) return refuse(g, call, notYet(g));
  const a = allow(g, call, table, q.request);
  if (!a) return;
  const until = since + Math.min(q.request.deadlineMs ?? a.route.timeoutMs, a.route.timeoutMs);
  if (!g.draining.takes(until)) return refuse(g, call, leaves(g));
  inFlight.id = q.request.id;
  inFlight.route = a.route.name;
  inFlight.until = until;
  g.budget.asked(a.pool);
  const repeatable = a.route.kind === 'safe' || a.route.resumable;
  if (!repeatable && g.runsOnce.has(q.request.id)) return giveUp(g, call, BAD_GATEWAY);
  if (!repeatable) g.runsOnce.add(q.request.id);
  const x: Taken = {
    request: q.request,
    route: a.route,
    tenant: a.tenant,
    pool: a.pool,
    body: q.body,
    until,
    sentAt: since,
    repeatable,
    inFlight,
    doubted: false,
    lastEvent: undefined,
    elsewhere,
  };
  const avoid = new Set<string>();
  let sent = 0;
  function wanted(): Wanted {
    const { route, tenant, pool } = a!;
    return { request: q!.request, route, pool, tenant, since, until, avoid, again: sent };
  }
  async function elsewhere(): Promise<boolean> {
    return (await g.chooser.choose(wanted())).isRight();
  }
  let last: Attempted | undefined;
  let cause: CutOffCause = 'attempts-used-up';
  let refusal: Refusal = {
    status: 503,
    why: 'no engine can be reached',
    retryAfterMs: a.route.aimMs * AGAIN.aim,
  };

  for (
    let tried = 0;
    sent < a.route.maxAttempts && tried < a.route.maxAttempts * CONNECTS;
    tried++
  ) {
    if (call.gone.aborted || until - clock.now() < g.settings.transitMs * WORTH) {
      cause = 'time-up';
      break;
    }
    if (g.draining.isOver()) break;
    const w = wanted();
    const chosen = await g.chooser.choose(w);
    if (chosen.isLeft()) {
      refusal = chosen.extract() as Refusal;
      cause = 'no-engine';
      break;
    }
    const c = chosen.unsafeCoerce();
    const load = g.chooser.began(c, w);
    avoid.add(c.engine.id);
    const [f, connection] = open(
      await g.connections.take(c.engine, table.pool(a.pool)?.maxConnections ?? 1),
    );
    if (f) {
      if (f.code === 'no-connection') load.turnedAway('not-run');
      load.ended('not-run');
      continue;
    }
    if (!g.stands(c.engine)) {
      load.ended('not-run');
      g.connections.giveBack(c.engine, connection);
      continue;
    }
    const isTimeUp = clock.now() >= until || call.gone.aborted;
    if (isTimeUp || (sent > 0 && !g.budget.spend(a.pool))) {
      cause = isTimeUp ? 'time-up' : 'retry-budget';
      load.ended('caller-gone');
      g.connections.giveBack(c.engine, connection);
      break;
    }
    g.counts.attempts++;
    inFlight.engine = c.engine.id;
    inFlight.attempts++;
    if (sent > 0) g.counts.furtherAttempts++;
    if (inFlight.answerBegan) g.counts.resumed++;
    last = await forward(g, call, x, c, connection, load, sent + 1 < a.route.maxAttempts);
    inFlight.abandonAttempt = undefined;
    if (last !== 'not-sent') sent++;
    if (g.draining.isOver()) break;
    if (last === 'late') cause = 'time-up';
    if (last === 'broken' && !canResume(x)) cause = 'engine-broke-off';
    if (
      last === 'answered' ||
      last === 'caller-gone' ||
      last === 'late' ||
      (last === 'broken' && !canResume(x)) ||
      (last === 'doubt' && !repeatable)
    )
      break;
  }

  if (!repeatable) g.runsOnce.delete(q.request.id);
  if (last === 'answered') g.counts.done++;
  else if (last === 'caller-gone' || call.gone.aborted) g.counts.callersGone++;
  else if (inFlight.answerBegan) breakOff(g, call, inFlight, cause);
  else if (x.doubted)
    giveUp(g, call, last === 'late' || clock.now() >= until ? GATEWAY_TIMEOUT : BAD_GATEWAY);
  else refuse(g, call, refusal);
}

function canResume(x: Taken): boolean {
  return x.route.resumable && (!x.inFlight.answerBegan || x.lastEvent !== undefined);
}

async function read(g: GatewayParts, call: RawCall): Promise<Read | undefined> {
  const limits = g.table()?.limits;
  if (limits && headerBytes(call) > limits.maxHeaderBytes)
    return answer(g, call, 431, 'the headers are too large');
  const [f, body] = open(await call.body(limits?.maxBodyBytes ?? g.settings.bodyMostBytes));
  if (f && !limits) return refuse(g, call, notYet(g));
  if (f) return answer(g, call, f.code === 'too-large' ? 413 : 400, f.why);
  if (!g.table()) return refuse(g, call, notYet(g));
  const r = g.dialect.callers.read(call.method, call.target, call.fields);
  if (r.isLeft()) return answer(g, call, 400, r.extract() as string);
  return { request: r.extract() as CallerRequest, body };
}

/** Bytes of a request's head, its lines with their ends. */
function headerBytes(call: RawCall): number {
  let n = call.method.length + call.target.length + 12;
  for (const x of call.headers) n += x.length + 2;
  return n;
}

function allow(
  g: GatewayParts,
  call: RawCall,
  table: RouteTable,
  q: CallerRequest,
): Allowed | undefined {
  const route = table.find(q.host, q.path);
  if (!route) return answer(g, call, 404, 'no route');
  const tenant = q.credential === undefined ? undefined : table.tenantOf(q.credential);
  if (!route.public && !tenant) return answer(g, call, 401, 'the key is not known');
  const pool = drawPool(route, g.ports.dice.next());
  if (pool === undefined) return answer(g, call, 404, 'the route has no target');
  return { route, tenant, pool };
}

function say(call: RawCall, status: number, why: string, more: string[] = []): void {
  const bytes = Buffer.from(JSON.stringify({ error: why }) + '\n');
  call.head(status, [
    'Content-Type',
    'application/json',
    'Content-Length',
    String(bytes.length),
    ...more,
  ]);
  call.end(bytes);
}

function answer(g: GatewayParts, call: RawCall, status: number, why: string): undefined {
  g.counts.refused++;
  say(call, status, why);
  return undefined;
}

/** Refuses what has not run and never will, with a time to come again. */
function refuse(g: GatewayParts, call: RawCall, r: Refusal): undefined {
  g.counts.refused++;
  say(call, r.status, r.why, ['Retry-After', (r.retryAfterMs / 1000).toFixed(3)]);
  return undefined;
}

/** The refusal of a router that cannot tell yet which requests are allowed. */
function notYet(g: GatewayParts): Refusal {
  return {
    status: 503,
    why: 'this router has no deployment yet',
    retryAfterMs: g.settings.contactMs * AGAIN.contact,
  };
}

/** The refusal of a router that leaves before the request's time is over. */
function leaves(g: GatewayParts): Refusal {
  return {
    status: 503,
    why: 'this router is leaving',
    retryAfterMs: g.settings.contactMs * AGAIN.contact,
  };
}

/** Gives up what may have run. */
function giveUp(g: GatewayParts, call: RawCall, status: number): void {
  g.counts.unknown++;
  say(call, status, 'the engine was lost; the request may have run');
}

function breakOff(
  g: GatewayParts,
  call: RawCall,
  inFlight: RequestInFlight,
  cause: CutOffCause,
): void {
  g.counts.unknown++;
  g.inFlight.cutOff(inFlight, cause, g.draining.leavingMs());
  call.breakOff();
}
