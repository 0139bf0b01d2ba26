import { Right } from 'purify-ts';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { Clock } from '../../shared/ports/clock';
import { compareWeights, lacks, NamedWeights } from '../../shared/state/weights';
import { Engine } from '../../shared/state/engines';

/** The weights that a fresh request is sent under: `now` are the named ones or newer, `old` ones may serve for some time yet; an engine that is `loading` turns requests away until it is done. */
export interface ExpectedWeights {
  weights: string;
  kind: 'now' | 'old' | 'loading';
}

/** What a router knows of which engine runs with which weights. */
export interface WeightsTracker {
  /** Hears the news of a model; `live` is whether this router heard it as it was made, not on catching up. */
  recordNaming: (v: NamedWeights, live: boolean) => void;
  /** Takes the list of engines. */
  recordEngines: (engines: readonly Engine[]) => void;
  /** Hears from an engine's answer, also one that turned a request away, which weights it runs with, by model. */
  recordReported: (instance: string, weights: Record<string, string>) => void;
  /** Hears that engines are about to take up weights, so that nothing fresh is sent there until they have them or `withinMs` has passed. */
  recordLoading: (instances: readonly string[], withinMs: number) => void;
  /** The weights to expect of an engine for a fresh request; none where it may not serve one. */
  expectedWeights: (instance: string, model: string) => ExpectedWeights | undefined;
}

/** Makes the book. Older weights serve fresh requests for `stopMs` from when the newer naming was heard, or for `lateMs` where it was only caught up on. An engine's weights never fall within one life, so the newest that any source tells are what it has. */
export function makeWeightsBook(clock: Clock, stopMs: number, lateMs: number): WeightsTracker {
  const names = new Map<string, NamedWeights>();
  const since = new Map<string, number>();
  const has = new Map<string, Map<string, string>>();
  const busy = new Map<string, { weights: Map<string, string>; until: number }>();

  function named(v: NamedWeights, live: boolean): void {
    names.set(v.model, v);
    for (const w of v.older)
      if (!since.has(keyOf(v.model, w)))
        since.set(keyOf(v.model, w), clock.now() - (live ? 0 : stopMs - lateMs));
    for (const k of since.keys())
      if (k.startsWith(`${v.model} `) && !v.older.includes(k.slice(v.model.length + 1)))
        since.delete(k);
  }

  function keyOf(model: string, weights: string): string {
    return `${model} ${weights}`;
  }

  function listed(engines: readonly Engine[]): void {
    const here = new Set<string>();
    for (const e of engines) {
      here.add(e.id);
      for (const m of e.models ?? [{ name: e.model, weights: e.weights }])
        if (m.weights !== '') note(e.id, m.name, m.weights);
    }
    for (const id of has.keys()) if (!here.has(id)) has.delete(id);
    for (const id of busy.keys()) if (!here.has(id)) busy.delete(id);
  }

  function note(instance: string, model: string, weights: string): void {
    const of = has.get(instance) ?? new Map<string, string>();
    has.set(instance, of);
    const before = of.get(model);
    if (before === undefined || compareWeights(weights, before, names.get(model)) >= 0)
      of.set(model, weights);
  }

  function told(instance: string, weights: Record<string, string>): void {
    for (const [model, w] of Object.entries(weights)) note(instance, model, w);
  }

  function loading(instances: readonly string[], withinMs: number): void {
    for (const id of instances)
      busy.set(id, { weights: new Map(has.get(id) ?? []), until: clock.now() + withinMs });
  }

  function isLoading(instance: string, model: string): boolean {
    const b = busy.get(instance);
    return (
      b !== undefined &&
      clock.now() < b.until &&
      b.weights.get(model) === has.get(instance)?.get(model)
    );
  }

  function expect(instance: string, model: string): ExpectedWeights | undefined {
    const w = has.get(instance)?.get(model);
    const v = names.get(model);
    if (w === undefined) return v && { weights: v.weights, kind: 'now' };
    if (!v || !lacks(w, v)) return { weights: w, kind: 'now' };
    if (isLoading(instance, model)) return { weights: v.weights, kind: 'loading' };
    return mayServe(v, w) ? { weights: w, kind: 'old' } : undefined;
  }

  function mayServe(v: NamedWeights, weights: string): boolean {
    const heard = since.get(keyOf(v.model, weights)) ?? since.get(keyOf(v.model, '*'));
    return heard !== undefined && clock.now() - heard < stopMs;
  }

  return {
    recordNaming: named,
    recordEngines: listed,
    recordReported: told,
    recordLoading: loading,
    expectedWeights: expect,
  };
}

class LoadingNotice {
  @bodyField('list') engines!: string[];
  @bodyField('number') within!: number;
}

class LoadedNotice {
  @bodyField('string') engine!: string;
  @bodyField('object') weights!: Record<string, string>;
}

/** What the core says of engines that take up weights, ahead of the list. */
export class WeightsMessages {
  constructor(private readonly book: WeightsTracker) {}

  /** Hears that engines are about to take up weights; within 0 they no longer are. */
  @messageHandler('loading', LoadingNotice)
  async loading(m: LoadingNotice): HandlerResult {
    this.book.recordLoading(m.engines, m.within);
    return Right(true);
  }

  /** Hears that an engine has them. */
  @messageHandler('loaded', LoadedNotice)
  async loaded(m: LoadedNotice): HandlerResult {
    this.book.recordReported(m.engine, m.weights);
    return Right(true);
  }
}

/** The text under which an engine keeps and finds parts: parts of other weights or of another wall are never found. */
export function cacheSalt(wall: string, weights: string): string {
  return `${wall}:${weights}`;
}
