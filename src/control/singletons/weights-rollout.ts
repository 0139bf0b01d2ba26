import {
  PlatformAdapter,
  EngineReport,
  OrderReply,
} from '../../shared/platform-adapter/platform-adapter';
import { errorOrValue } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { compareWeights, lacks, NamedWeights } from '../../shared/state/weights';
import { sendAdapterRequest } from '../../shared/platform-adapter/adapter-request';
import { Engine } from '../../shared/state/engines';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Controller } from '../controller-interface';
import { makeSingletonLease } from './singleton-lease';

/** Engines of a model that take up weights at once, as a share of them all. */
const AT_ONCE = 0.25;
/** The same where the time is short, while older weights serve: the other half goes on serving. */
const AT_ONCE_LATE = 0.5;
/** Weight of the last engine's time in the usual one. */
const SMOOTH = 0.3;
/** Reports without an answer after which an engine is left to the list. */
const MOST_SILENT = 3;

interface Task {
  engine: Engine;
  model: string;
  named: NamedWeights;
}

interface Sent {
  at: number;
  sure: boolean;
}

/** Brings all engines of each model to its named weights: a few at a time, each ordered once, under the fence of one duty for the whole fleet. */
export async function runWeightsRollout(
  c: Controller,
  ports: Ports,
  speak: Pick<PlatformAdapter['engines'], 'order' | 'report'>,
): Promise<void> {
  const { clock, network: wire, logger: log } = ports;
  const { timeLimits: bounds } = c;
  const term = makeSingletonLease(c, ports, 'weights');
  const known = new Map<string, string>();
  const since = new Map<string, { weights: string; at: number }>();
  const underWay = new Map<string, string>();
  const notBefore = new Map<string, { tries: number; at: number }>();
  let usual = bounds.initialWeightsLoadMs;
  let waiting: number | undefined;
  let passed = -Infinity;
  let inTouchSince = Infinity;

  while (!c.isStopped()) {
    await clock.sleep(bounds.singletonFreshMs * 0.5);
    term.observe();
    noteTouch();
    const next: Task[] = [];
    let any = false;
    for (const named of namedModels()) {
      const all = lacking(named);
      any ||= all.length > 0;
      next.push(...nextOf(named, all));
      if (all.length === 0) await endOlder(named);
    }
    waiting = any ? (waiting ?? clock.now()) : undefined;
    if (waiting === undefined || (next.length === 0 && term.isSafeFromTakeover())) continue;
    if ((await term.acquireFencingToken(clock.now() - waiting)) !== undefined)
      for (const t of next) void bring(t);
  }

  /** Notes since when this node has taken its turns and seen a majority: what it hears meanwhile, it hears as it is made. */
  function noteTouch(): void {
    const now = clock.now();
    if (now - passed > bounds.leaseMs || !c.hasQuorum()) inTouchSince = now;
    passed = now;
  }

  /** The named weights of each model, and since when they are named; where that is not known, half of the time is taken as gone. */
  function namedModels(): NamedWeights[] {
    const out: NamedWeights[] = [];
    for (const key of c.store.registers.keys()) {
      const v = key.startsWith(CONTROL_KEYS.weights)
        ? c.committedValue<NamedWeights>(key)?.value
        : undefined;
      if (!v) continue;
      const s = since.get(v.model);
      if (s?.weights !== v.weights)
        since.set(v.model, {
          weights: v.weights,
          at:
            clock.now() -
            (clock.now() - inTouchSince > bounds.leaseMs ? 0 : bounds.rolloutTargetMs * 0.5),
        });
      out.push(v);
    }
    return out;
  }

  /** Ends the older weights of a model once none of its engines has them, or they are long over at every router. */
  async function endOlder(named: NamedWeights): Promise<void> {
    const s = since.get(named.model)!;
    if (
      named.older.length === 0 ||
      !c.keyOwner.owns(CONTROL_KEYS.weights + named.model) ||
      clock.now() - s.at < bounds.oldWeightsRetireMs
    )
      return;
    s.at = clock.now();
    await c.change({ kind: 'weights-end', model: named.model, ended: named.older });
  }

  function enginesOf(model: string): Engine[] {
    const out: Engine[] = [];
    for (const e of c.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value ?? [])
      if (!e.leaving && listedWeights(e, model) !== undefined) out.push(e);
    return out;
  }

  function listedWeights(e: Engine, model: string): string | undefined {
    for (const m of e.models ?? [{ name: e.model, weights: e.weights }])
      if (m.name === model) return m.weights;
    return undefined;
  }

  /** What an engine runs with: the newest of what the list and its own answers say, for its weights never fall. */
  function weightsOf(e: Engine, named: NamedWeights): string {
    const listed = listedWeights(e, named.model)!;
    const own = known.get(`${e.id} ${named.model}`);
    return own !== undefined && compareWeights(own, listed, named) > 0 ? own : listed;
  }

  function lacking(named: NamedWeights): Task[] {
    const out: Task[] = [];
    for (const engine of enginesOf(named.model))
      if (lacks(weightsOf(engine, named), named)) out.push({ engine, model: named.model, named });
    return out;
  }

  /** How many engines may take up weights at once: a share of them, or up to half where the time is short. Once older ones have ended, all may. */
  function atOnce(named: NamedWeights, left: number): number {
    const gone = clock.now() - since.get(named.model)!.at;
    const all = enginesOf(named.model).length;
    const needed = Math.ceil(
      (left * usual) / Math.max(usual, bounds.rolloutTargetMs - gone - usual / 2),
    );
    const most = gone < bounds.oldWeightsRetireMs ? Math.ceil(all * AT_ONCE_LATE) : left;
    return Math.max(1, Math.floor(all * AT_ONCE), Math.min(needed, most));
  }

  /** The engines of a model to be brought to its weights now. */
  function nextOf(named: NamedWeights, all: readonly Task[]): Task[] {
    let room = atOnce(named, all.length);
    for (const m of underWay.values()) if (m === named.model) room--;
    return all.filter(isFree).slice(0, Math.max(0, room));
    function isFree(t: Task): boolean {
      return !underWay.has(t.engine.id) && clock.now() >= (notBefore.get(t.engine.id)?.at ?? 0);
    }
  }

  /** Brings one engine to the weights: tells routers, orders, and looks until it has them. */
  async function bring(t: Task): Promise<void> {
    const { engine, model } = t;
    const began = clock.now();
    underWay.set(engine.id, model);
    c.leases.notifyAll('loading', { engines: [engine.id], within: bounds.weightsLoadTimeoutMs });
    await clock.sleep(bounds.singletonFreshMs * 0.25);
    const done = await orderAndLook(t);
    underWay.delete(engine.id);
    if (done) {
      usual += SMOOTH * (clock.now() - began - usual);
      notBefore.delete(engine.id);
      known.set(`${engine.id} ${model}`, t.named.weights);
      c.leases.notifyAll('loaded', { engine: engine.id, weights: { [model]: t.named.weights } });
      return;
    }
    c.leases.notifyAll('loading', { engines: [engine.id], within: 0 });
    const tries = (notBefore.get(engine.id)?.tries ?? 0) + 1;
    notBefore.set(engine.id, {
      tries,
      at: clock.now() + bounds.engineReportMaxAgeMs * Math.min(8, 2 ** (tries - 1)),
    });
  }

  async function orderAndLook(t: Task): Promise<boolean> {
    let sent = await order(t, undefined);
    let silent = 0;
    while (sent !== 'holds' && sent !== 'not taken') {
      await clock.sleep(
        Math.max(
          bounds.singletonFreshMs * 0.6,
          clock.now() - sent.at < usual * 0.5 ? usual * 0.5 : 0,
        ),
      );
      const r = await report(t);
      if (r === undefined) silent++;
      else silent = 0;
      if (
        silent >= MOST_SILENT ||
        clock.now() - sent.at > bounds.weightsLoadTimeoutMs ||
        !isListed(t)
      )
        return false;
      if (r === undefined) continue;
      if (has(r, t)) return true;
      if (r.busy || clock.now() - sent.at < bounds.engineReportMaxAgeMs * 2) continue;
      if (sent.sure) return false;
      sent = await order(t, r.orders);
    }
    return sent === 'holds';
  }

  /** Gives the order, under a fence that a majority confirmed just now; what got no clear answer may have been taken. */
  async function order(
    t: Task,
    expected: number | undefined,
  ): Promise<Sent | 'holds' | 'not taken'> {
    const fence = await term.acquireFencingToken(0);
    if (fence === undefined || !term.isFresh()) return 'not taken';
    const { engine, model, named } = t;
    const q = speak.order.ask({
      instance: engine.id,
      model,
      weights: named.weights,
      method: 'queue',
      holder: c.ownerId,
      fence,
      expected,
    });
    const at = clock.now();
    const [f, r] = errorOrValue(
      await sendAdapterRequest(wire, engine.at, q, bounds.engineOrderTimeoutMs),
    );
    const answer: OrderReply = f ? 'unknown' : speak.order.read(r.status, r.body);
    log.info(
      { step: 'order weights', peer: engine.at },
      `${engine.id} ${model} ${named.weights}: ${f ? f.reason : answer}`,
    );
    if (f?.certainty === 'refused') return 'not taken';
    if (answer === 'holds') return 'holds';
    if (answer === 'taken' || answer === 'busy') return { at, sure: true };
    return answer === 'unknown' ? { at, sure: false } : 'not taken';
  }

  async function report(t: Task): Promise<EngineReport | undefined> {
    const [f, r] = errorOrValue(
      await sendAdapterRequest(wire, t.engine.at, speak.report.ask(), bounds.engineOrderTimeoutMs),
    );
    const read = f ? undefined : speak.report.read(r.status, r.body);
    return read?.isRight() ? read.extract() : undefined;
  }

  function has(r: EngineReport, t: Task): boolean {
    for (const m of r.models) if (m.name === t.model) return !lacks(m.weights, t.named);
    return false;
  }

  function isListed(t: Task): boolean {
    function same(e: Engine): boolean {
      return e.id === t.engine.id;
    }
    return enginesOf(t.model).some(same);
  }
}
