import { makeBatch } from './batch';
import { FeedWays, Keeper, makeKeeper } from './cache';
import { Ground, H, newest, wireName } from './ground';
import { Batch, calm, EngineSpec, EngineTroubles } from './jobs';
import { answerJson, Door, each, Exchange, jsonOf } from './serve';
import { serveKept } from './store';

/** One life of an engine. */
export interface EngineLife {
  spec: EngineSpec;
  keeper: Keeper;
  batch: Batch;
  troubles: EngineTroubles;
  versions: Map<string, number>;
  state: 'ready' | 'draining' | 'gone';
  /** Ms that it is still slow from its start. */
  warmupLeft: () => number;
  /** Has it be cold for so many ms. */
  goCold: (ms: number) => void;
  /** Says that it is leaving; it serves on. */
  drain: () => void;
  /** Ends it: its connections are reset, or nothing is said any more. */
  end: (how: 'reset' | 'dark') => Promise<void>;
  /** Has its address refuse again after it was dark. */
  clearDark: () => Promise<void>;
  /** Resets its connections. */
  dropConnections: () => void;
}

/** The report, as it is told. */
interface Report {
  at: number;
  body: object;
}

/** How an engine starts. */
export interface EngineStart {
  feed: FeedWays;
  warmupMs: number;
  warmupSlow: number;
  /** How long it is cold from its start, in ms. */
  coldMs?: number;
  /** The versions that it had before; the newest where it is new. */
  versions?: Map<string, number>;
}

const REPORT_MS = 200;

function nothing(): void {
  // does nothing on purpose
}

/** Starts one life of an engine. */
export async function startEngine(
  ground: Ground,
  spec: EngineSpec,
  start: EngineStart,
): Promise<EngineLife> {
  const { clock, book, dice } = ground;
  const troubles = calm();
  const keeper = makeKeeper(clock, dice, spec.cacheTokens, start.feed);
  const versions = start.versions ?? new Map<string, number>();
  if (spec.model !== undefined && !versions.has(spec.model))
    versions.set(spec.model, newest(ground, spec.model));
  const born = clock.now();
  let warmAt = born + start.warmupMs;
  function warmupLeft(): number {
    return Math.max(0, warmAt - clock.now());
  }
  function goCold(ms: number): void {
    const now = clock.now();
    warmAt = Math.max(warmAt, now + ms);
    const { instance, warmUpPerS } = spec;
    if (warmUpPerS === undefined) return;
    book.cold.push({ instance, from: now, until: now + ms, perS: warmUpPerS });
  }
  if (start.coldMs !== undefined) goCold(start.coldMs);
  function warm(): number {
    return warmupLeft() > 0 ? start.warmupSlow : 1;
  }
  const batch = makeBatch({ ground, spec, keeper, troubles, versions, warm });
  let callCount = 0;
  let busy = false;
  let topFence = -Infinity;
  let told: Report = { at: born, body: report() };
  let stopReports = nothing;

  function report(): object {
    const models: object[] = [];
    for (const [name, revision] of versions) models.push({ name, revision, adapters: [] });
    return {
      stage: 'prefill_decode',
      models,
      busy,
      callCount,
      queued: batch.queue.length,
      running: batch.running.size,
      cacheUsed: keeper.used(),
      cacheTotal: spec.cacheTokens,
      handles: 0,
    };
  }
  function renew(): void {
    told = { at: clock.now(), body: report() };
  }

  async function take(x: Exchange): Promise<void> {
    if (x.method === 'GET' && x.path === '/api/report') {
      book.probes++;
      return answerJson(x, 200, told.body);
    }
    if (x.method === 'POST' && x.path === '/api/order') return order(x);
    if (serveKept(ground, keeper, x)) return;
    if (x.method === 'GET' && x.path === spec.healthPath) return health(x);
    const body = await x.body();
    if (body === undefined || life.state === 'gone') return;
    const key = x.headers.authorization;
    book.arrivals.push({
      at: clock.now(),
      id: x.headers[H.id] ?? '',
      from: x.peer,
      instance: spec.instance,
      service: spec.service,
      zone: spec.zone,
      method: x.method,
      target: x.target,
      body,
      tenant: x.headers[H.tenant],
      keyShown: key !== undefined,
    });
    batch.submit(x);
  }

  function health(x: Exchange): void {
    book.probes++;
    const well =
      troubles.lyingHealth ||
      (life.state === 'ready' && !troubles.full && batch.running.size < spec.capacity + spec.queue);
    answerJson(x, well ? 200 : 503, undefined, {
      [wireName(H.told)]: spec.instance,
      [wireName(H.warmup)]: String(Math.round(warmupLeft())),
    });
  }

  async function order(x: Exchange): Promise<void> {
    const b = await jsonOf(x);
    const at = clock.now();
    function answer(status: number): void {
      if (typeof b?.holder === 'string' && typeof b?.fenceToken === 'number')
        book.orders.push({
          at,
          instance: spec.instance,
          from: x.peer,
          holder: b.holder,
          fence: b.fenceToken,
          status,
        });
      answerJson(x, status, undefined, { [wireName(H.told)]: spec.instance });
    }
    if (x.headers[H.instance] !== undefined && x.headers[H.instance] !== spec.instance)
      return answer(421);
    const model = textOf(b?.model);
    const revision = Number(b?.revision);
    const method = textOf(b?.method);
    const named = revision === 1 || (ground.named.get(model) ?? []).includes(revision);
    if (
      b?.operation !== 'revision' ||
      typeof b.holder !== 'string' ||
      typeof b.fenceToken !== 'number' ||
      !versions.has(model) ||
      !named ||
      !['queue', 'preempt', 'retain'].includes(method)
    )
      return answer(400);
    if (ground.bounds.fencing && b.fenceToken < topFence) return answer(412);
    topFence = Math.max(topFence, b.fenceToken);
    if (busy || (b.expectedCount !== undefined && b.expectedCount !== callCount))
      return answer(409);
    if (versions.get(model) === revision) return answer(200);
    callCount++;
    busy = true;
    book.loads++;
    batch.blocked.add(model);
    batch.clear(model);
    answer(202);
    renew();
    if (method === 'preempt') batch.preempt(model);
    if (method === 'queue') batch.whenIdle(model, load);
    else load();
    function load(): void {
      ground.loading.count++;
      clock.setTimer(spec.loadMs * Math.max(1, ground.loading.count / 3), loaded);
    }
    function loaded(): void {
      ground.loading.count--;
      if (life.state === 'gone') return;
      versions.set(model, revision);
      for (const j of batch.running) if (j.model === model) j.tell = revision;
      keeper.drop(model);
      busy = false;
      batch.blocked.delete(model);
      renew();
    }
  }

  const door: Door = await ground.open(
    spec.at,
    { maxConnections: spec.maxConnections, idleMs: spec.idleMs },
    taken,
  );
  function taken(x: Exchange): void {
    if (life.state !== 'gone') void take(x);
  }
  function alive(): boolean {
    return life.state !== 'gone';
  }
  ground.sources.set(spec.at, { keeper, zone: spec.zone, alive });
  stopReports = each(clock, REPORT_MS, renew);

  function drain(): void {
    if (life.state !== 'ready') return;
    life.state = 'draining';
    batch.leaving = true;
  }

  async function end(how: 'reset' | 'dark'): Promise<void> {
    if (life.state === 'gone') return;
    life.state = 'gone';
    stopReports();
    batch.close();
    if (how === 'dark') return door.dark();
    await door.reset();
  }

  const life: EngineLife = {
    spec,
    keeper,
    batch,
    troubles,
    versions,
    state: 'ready',
    warmupLeft,
    goCold,
    drain,
    end,
    clearDark: door.reset,
    dropConnections: door.drop,
  };
  return life;
}

/** A text of a body; empty where it is none. */
function textOf(value: unknown): string {
  return typeof value === 'string' ? value : '';
}
