import { CallerRequest, HttpRoute, TenantAccess } from '../../shared/state/deployment';
import { RawHeaders, StreamEvent } from '../../shared/platform-adapter/platform-adapter';
import { OperationError, errorOrValue } from '../../shared/errors/errors';
import { HttpConnection, RawIncomingRequest, RawHttpResponse } from '../../shared/ports/raw-http';
import { AttemptEnd, Chosen, Load, Wanted } from './choose';
import { RequestInFlight } from './in-flight';
import { GatewayParts } from './parts';

/** What became of an attempt: `not-sent` never reached an engine; `not-run` is the engine's word; `doubt` may have run and gave nothing; `broken` gave a part; `late` was under way when the time was up. */
export type Attempted =
  'answered' | 'not-sent' | 'not-run' | 'doubt' | 'broken' | 'late' | 'caller-gone';

/** A request on its way, over all its attempts. */
export interface Taken {
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
  inFlight: RequestInFlight;
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
export function wantedOf(x: Taken): Wanted {
  const { request, route, pool, tenant, until, avoid, sent } = x;
  return { request, route, pool, tenant, since: x.inFlight.arrivedAt, until, avoid, again: sent };
}

/** How long an engine that is there may be silent on all its connections before what may be repeated goes elsewhere, as multiples of the route's aims. */
const SILENT = { aim: 3, gap: 6 };

/** Sends a request to an engine and passes its answer back; `more` says whether another attempt may follow. */
export async function forward(
  g: GatewayParts,
  call: RawIncomingRequest,
  x: Taken,
  c: Chosen,
  connection: HttpConnection,
  load: Load,
  more: boolean,
): Promise<Attempted> {
  const { clock } = g.ports;
  const began = clock.now();
  const left = x.until - began;
  x.sentAt = began;
  const worded = g.dialect.engines.attempt(
    { method: call.method, target: call.target, headers: call.headers, body: x.body },
    {
      instance: c.engine.id,
      deadlineMs: left,
      tenant: x.tenant?.name,
      salt: c.salt,
      weights: c.weights,
      urgency: c.urgency,
      fetchFrom: c.fetchFrom,
      storeAt: c.storeAt,
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
  g.connections.heard(c.engine);
  const o = await takeAnswer(g, call, x, c, reply, load, more);
  watch?.stop();
  return o;
}

/** What became of an attempt that gave no whole answer. */
function lost(call: RawIncomingRequest, x: Taken, load: Load, f: OperationError): Attempted {
  if (call.aborted.aborted) {
    load.ended('caller-gone');
    return 'caller-gone';
  }
  if (f.certainty === 'refused') {
    load.ended('not-run');
    return 'not-sent';
  }
  load.ended(f.code === 'timeout' ? 'late' : 'doubt');
  return f.code === 'timeout' ? late(x) : doubt(x);
}

/** Watches an engine for as long as an attempt lasts: where it is silent on all its connections for an aim, it is asked whether it is still there; where it stays silent, it is taken for lost, but never while no other engine would take the request. */
function watchSilence(
  g: GatewayParts,
  call: RawIncomingRequest,
  x: Taken,
  c: Chosen,
): { signal: AbortSignal; stop: () => void } {
  const { clock } = g.ports;
  const began = clock.now();
  const soon = Math.max(x.route.aimMs, x.route.gapAimMs);
  const most = Math.max(x.route.aimMs * SILENT.aim, x.route.gapAimMs * SILENT.gap);
  const gone = new AbortController();
  let stopped = false;
  let off = clock.setTimer(soon, look);
  function silent(): number {
    return clock.now() - Math.max(began, g.connections.heardAt(c.engine));
  }
  function look(): void {
    if (silent() < soon) off = clock.setTimer(soon - silent(), look);
    else void judge();
  }
  /** Asks in any case, so that bytes that arrived while the event loop was held up are read before it judges. */
  async function judge(): Promise<void> {
    const reached = await g.connections.reaches(c.engine);
    const there = reached && silent() < most;
    const goes = !there && g.budget.left(x.pool) && (await g.chooser.choose(wantedOf(x))).isRight();
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
  g: GatewayParts,
  call: RawIncomingRequest,
  x: Taken,
  c: Chosen,
  reply: RawHttpResponse,
  load: Load,
  more: boolean,
): Promise<Attempted> {
  const head = g.dialect.engines.head(reply.status, reply.headersByName);
  if (head.id !== x.request.id) {
    g.connections.garbles(c.engine);
    reply.cancel();
    load.ended('doubt');
    return doubt(x);
  }
  g.connections.told(c.engine, head.keepS);
  load.told(byModel(x, head.weights));
  const verdict =
    head.verdict === 'other-instance' && head.instance === c.engine.id
      ? 'other-weights'
      : head.verdict;
  if (verdict === 'not-run' || verdict === 'other-instance' || verdict === 'other-weights') {
    void readOut(reply);
    load.turnedAway(verdict);
    load.ended('not-run');
    return 'not-run';
  }
  if (verdict === 'doubt' || (x.inFlight.answerBegan && !isSuccess(reply.status))) {
    reply.cancel();
    load.ended('doubt');
    return doubt(x);
  }
  if (reply.status >= 500 && x.repeatable && more && g.budget.left(x.pool)) {
    void readOut(reply);
    load.ended('doubt');
    return doubt(x);
  }
  const o = await passBack(g, call, x, c, reply, load);
  load.ended(ENDS[o]);
  return o;
}

const ENDS: Record<Attempted, AttemptEnd> = {
  answered: 'done',
  'not-sent': 'not-run',
  'not-run': 'not-run',
  doubt: 'doubt',
  broken: 'doubt',
  late: 'late',
  'caller-gone': 'caller-gone',
};

function late(x: Taken): Attempted {
  x.doubted = true;
  return 'late';
}

/** Weights by model; what names no model is the request's. */
function byModel(x: Taken, weights: Record<string, string>): Record<string, string> {
  const { '': own, ...named } = weights;
  return own === undefined || x.request.model === undefined
    ? named
    : { ...named, [x.request.model]: own };
}

function doubt(x: Taken): Attempted {
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
  g: GatewayParts,
  call: RawIncomingRequest,
  x: Taken,
  c: Chosen,
  reply: RawHttpResponse,
  load: Load,
): Promise<Attempted> {
  const cutter =
    x.route.resumable && isSuccess(reply.status) ? g.dialect.engines.events() : undefined;
  const headers = g.dialect.engines.passBack(reply.headers);
  let any = false;
  for (;;) {
    const [f, p] = errorOrValue(await reply.nextChunk());
    if (call.aborted.aborted) {
      reply.cancel();
      return 'caller-gone';
    }
    if (f) return f.code === 'timeout' ? late(x) : doubt(x);
    if (p === undefined) break;
    g.connections.heard(c.engine);
    if (!any) load.firstEvent(g.ports.clock.now() - x.sentAt);
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
function wholeEvents(x: Taken, events: StreamEvent[], load: Load): Uint8Array | undefined {
  for (const e of events) {
    if (e.id !== undefined && x.lastEvent !== undefined && Number(e.id) <= Number(x.lastEvent))
      return undefined;
    x.lastEvent = e.id ?? x.lastEvent;
    if (e.weights !== undefined) load.told(byModel(x, { '': e.weights }));
  }
  function bytesOf(e: { bytes: Uint8Array }): Uint8Array {
    return e.bytes;
  }
  return events.length === 1 ? events[0].bytes : Buffer.concat(events.map(bytesOf));
}

/** Gives the head once; a stream that may be taken up elsewhere tells no length. */
function giveHead(call: RawIncomingRequest, x: Taken, status: number, headers: RawHeaders): void {
  if (x.inFlight.answerBegan) return;
  x.inFlight.answerBegan = true;
  if (!x.route.resumable) return call.writeHead(status, headers);
  const out: RawHeaders = [];
  for (let i = 0; i < headers.length; i += 2)
    if (headers[i].toLowerCase() !== 'content-length') out.push(headers[i], headers[i + 1]);
  call.writeHead(status, out);
}
