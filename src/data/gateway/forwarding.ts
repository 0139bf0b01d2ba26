import { CallerRequest, HttpRoute, TenantAccess } from '../../shared/state/deployment';
import { RawHeaders, StreamEvent } from '../../shared/platform-adapter/platform-adapter';
import { OperationError, errorOrValue } from '../../shared/errors/errors';
import { HttpConnection, RawIncomingRequest, RawHttpResponse } from '../../shared/ports/raw-http';
import { AttemptEffect, EngineSelection, AttemptTracker, SelectionRequest } from './engine-chooser';
import { InFlightRequest } from './in-flight-requests';
import { GatewayDependencies } from './gateway-dependencies';

/** What became of an attempt: `not-sent` never reached an engine; `not-run` is the engine's word; `doubt` may have run and gave nothing; `broken` gave a part; `late` was under way when the time was up. */
export type AttemptOutcome =
  'answered' | 'not-sent' | 'not-run' | 'doubt' | 'broken' | 'late' | 'caller-gone';

/** A request on its way, over all its attempts. */
export interface AdmittedRequest {
  request: CallerRequest;
  route: HttpRoute;
  tenant?: TenantAccess;
  pool: string;
  body: Uint8Array;
  until: number;
  /** When its last attempt began. */
  sentAt: number;
  /** Whether it may run more than once, or be taken up where it broke off. */
  repeatable: boolean;
  inFlight: InFlightRequest;
  /** Whether an attempt may have run. */
  doubted: boolean;
  /** The last event that went to the caller. */
  lastEvent?: string;
  /** Connections that one engine of its pool takes from all callers. */
  maxConnections: number;
  /** Engines that were tried. */
  avoid: Set<string>;
  /** Attempts that reached an engine. */
  sent: number;
}

/** What a request asks of the engine that is to be chosen now. */
export function wantedOf(x: AdmittedRequest): SelectionRequest {
  const { request, route, pool, tenant, until, avoid, sent } = x;
  return {
    request,
    route,
    pool,
    tenant,
    arrivedAt: x.inFlight.arrivedAt,
    deadlineAt: until,
    excluded: avoid,
    again: sent,
  };
}

/** How long an engine that is there may be silent on all its connections before what may be repeated goes elsewhere, as multiples of the route's aims. */
const SILENT = { aim: 3, gap: 6 };

/** Sends a request to an engine and passes its answer back; `more` says whether another attempt may follow. */
export async function forward(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  x: AdmittedRequest,
  c: EngineSelection,
  connection: HttpConnection,
  load: AttemptTracker,
  more: boolean,
): Promise<AttemptOutcome> {
  const { clock } = g.ports;
  const began = clock.now();
  const left = x.until - began;
  x.sentAt = began;
  const worded = g.adapter.engines.attempt(
    { method: call.method, target: call.target, headers: call.headers, body: x.body },
    {
      instance: c.engine.id,
      deadlineMs: left,
      tenant: x.tenant?.name,
      salt: c.salt,
      weights: c.weights,
      urgency: c.urgency,
      fetchFrom: c.fetchFromAddress,
      storeAt: c.storeAddress,
      lastEvent: x.lastEvent,
    },
  );
  x.inFlight.abandonAttempt = connection.close;
  const watch = x.repeatable && more ? watchSilence(g, call, x, c) : undefined;
  const [f, reply] = errorOrValue(
    await connection.request(worded, left, watch?.signal ?? call.aborted),
  );
  if (f) {
    watch?.stop();
    return lost(call, x, load, f);
  }
  g.connections.recordActivity(c.engine);
  const o = await takeAnswer(g, call, x, c, reply, load, more);
  watch?.stop();
  return o;
}

/** What became of an attempt that gave no whole answer. */
function lost(
  call: RawIncomingRequest,
  x: AdmittedRequest,
  load: AttemptTracker,
  f: OperationError,
): AttemptOutcome {
  if (call.aborted.aborted) {
    load.recordEnd('caller-gone');
    return 'caller-gone';
  }
  if (f.certainty === 'refused') {
    load.recordEnd('not-run');
    return 'not-sent';
  }
  load.recordEnd(f.code === 'timeout' ? 'late' : 'doubt');
  return f.code === 'timeout' ? late(x) : doubt(x);
}

/** Watches an engine for as long as an attempt lasts: where it is silent on all its connections for an aim, it is asked whether it is still there; where it stays silent, it is taken for lost, but never while no other engine would take the request. */
function watchSilence(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  x: AdmittedRequest,
  c: EngineSelection,
): { signal: AbortSignal; stop: () => void } {
  const { clock } = g.ports;
  const began = clock.now();
  const soon = Math.max(x.route.aimMs, x.route.gapAimMs);
  const most = Math.max(x.route.aimMs * SILENT.aim, x.route.gapAimMs * SILENT.gap);
  const gone = new AbortController();
  let stopped = false;
  let off = clock.setTimer(soon, look);
  function silent(): number {
    return clock.now() - Math.max(began, g.connections.lastActivityAt(c.engine));
  }
  function look(): void {
    if (silent() < soon) off = clock.setTimer(soon - silent(), look);
    else void judge();
  }
  /** Asks in any case, so that bytes that arrived while the event loop was held up are read before it judges. */
  async function judge(): Promise<void> {
    const reached = await g.connections.isReachable(c.engine);
    const there = reached && silent() < most;
    const goes =
      !there && g.budget.hasBudget(x.pool) && (await g.chooser.choose(wantedOf(x))).isRight();
    if (stopped) return;
    if (goes && silent() >= soon) {
      x.inFlight.silentEngines++;
      gone.abort();
    } else off = clock.setTimer(soon, look);
  }
  function stop(): void {
    stopped = true;
    off();
  }
  return { signal: AbortSignal.any([call.aborted, gone.signal]), stop };
}

async function takeAnswer(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  x: AdmittedRequest,
  c: EngineSelection,
  reply: RawHttpResponse,
  load: AttemptTracker,
  more: boolean,
): Promise<AttemptOutcome> {
  const head = g.adapter.engines.head(reply.status, reply.headersByName);
  if (head.id !== x.request.id) {
    g.connections.quarantine(c.engine);
    reply.cancel();
    load.recordEnd('doubt');
    return doubt(x);
  }
  g.connections.recordKeepAlive(c.engine, head.keepS);
  load.recordWeights(byModel(x, head.weights));
  const verdict =
    head.verdict === 'other-instance' && head.instance === c.engine.id
      ? 'other-weights'
      : head.verdict;
  if (verdict === 'not-run' || verdict === 'other-instance' || verdict === 'other-weights') {
    void readOut(reply);
    load.recordRejection(verdict);
    load.recordEnd('not-run');
    return 'not-run';
  }
  if (verdict === 'doubt' || (x.inFlight.answerBegan && !isSuccess(reply.status))) {
    reply.cancel();
    load.recordEnd('doubt');
    return doubt(x);
  }
  if (reply.status >= 500 && x.repeatable && more && g.budget.hasBudget(x.pool)) {
    void readOut(reply);
    load.recordEnd('doubt');
    return doubt(x);
  }
  const o = await passBack(g, call, x, c, reply, load);
  load.recordEnd(ENDS[o]);
  return o;
}

const ENDS: Record<AttemptOutcome, AttemptEffect> = {
  answered: 'done',
  'not-sent': 'not-run',
  'not-run': 'not-run',
  doubt: 'doubt',
  broken: 'doubt',
  late: 'late',
  'caller-gone': 'caller-gone',
};

function late(x: AdmittedRequest): AttemptOutcome {
  x.doubted = true;
  return 'late';
}

/** Weights by model; what names no model is the request's. */
function byModel(x: AdmittedRequest, weights: Record<string, string>): Record<string, string> {
  const { '': own, ...named } = weights;
  return own === undefined || x.request.model === undefined
    ? named
    : { ...named, [x.request.model]: own };
}

function doubt(x: AdmittedRequest): AttemptOutcome {
  x.doubted = true;
  return x.inFlight.answerBegan ? 'broken' : 'doubt';
}

function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** Reads an answer that nobody wants to its end, so that its connection can be used again. */
async function readOut(reply: RawHttpResponse): Promise<void> {
  for (;;) {
    const [f, p] = errorOrValue(await reply.nextChunk());
    if (f || p === undefined) return;
  }
}

/** Passes an answer back as it comes; of a stream that may be taken up elsewhere, whole events only. */
async function passBack(
  g: GatewayDependencies,
  call: RawIncomingRequest,
  x: AdmittedRequest,
  c: EngineSelection,
  reply: RawHttpResponse,
  load: AttemptTracker,
): Promise<AttemptOutcome> {
  const cutter =
    x.route.resumable && isSuccess(reply.status) ? g.adapter.engines.events() : undefined;
  const headers = g.adapter.engines.passBack(reply.headers);
  let any = false;
  for (;;) {
    const [f, p] = errorOrValue(await reply.nextChunk());
    if (call.aborted.aborted) {
      reply.cancel();
      return 'caller-gone';
    }
    if (f) return f.code === 'timeout' ? late(x) : doubt(x);
    if (p === undefined) break;
    g.connections.recordActivity(c.engine);
    if (!any) load.recordFirstEvent(g.ports.clock.now() - x.sentAt);
    any = true;
    const bytes = cutter ? wholeEvents(x, cutter.take(p), load) : p;
    if (bytes === undefined) {
      reply.cancel();
      return doubt(x);
    }
    if (bytes.length === 0) continue;
    giveHead(call, x, reply.status, headers);
    if (await call.write(bytes)) continue;
    reply.cancel();
    return 'caller-gone';
  }
  if (cutter && cutter.rest() > 0) return doubt(x);
  giveHead(call, x, reply.status, headers);
  call.end();
  return 'answered';
}

/** The bytes of whole events; nothing where an event came that was passed on already. */
function wholeEvents(
  x: AdmittedRequest,
  events: StreamEvent[],
  load: AttemptTracker,
): Uint8Array | undefined {
  for (const e of events) {
    if (e.id !== undefined && x.lastEvent !== undefined && Number(e.id) <= Number(x.lastEvent))
      return undefined;
    x.lastEvent = e.id ?? x.lastEvent;
    if (e.weights !== undefined) load.recordWeights(byModel(x, { '': e.weights }));
  }
  function bytesOf(e: { bytes: Uint8Array }): Uint8Array {
    return e.bytes;
  }
  return events.length === 1 ? events[0].bytes : Buffer.concat(events.map(bytesOf));
}

/** Gives the head once; a stream that may be taken up elsewhere tells no length. */
function giveHead(
  call: RawIncomingRequest,
  x: AdmittedRequest,
  status: number,
  headers: RawHeaders,
): void {
  if (x.inFlight.answerBegan) return;
  x.inFlight.answerBegan = true;
  if (!x.route.resumable) return call.writeHead(status, headers);
  const out: RawHeaders = [];
  for (let i = 0; i < headers.length; i += 2)
    if (headers[i].toLowerCase() !== 'content-length') out.push(headers[i], headers[i + 1]);
  call.writeHead(status, out);
}
