/**
 * Which engine runs with which weights, as far as a router knows: from the list of engines, from engines' own answers,
 * and from the core ahead of the list.
 */

import { Clock } from '../../shared/ports/clock';
import { ANY_OLDER, compareWeights, lacks, NamedWeights } from '../../shared/state/weights';
import { Engine } from '../../shared/state/engines';
import { OutdatedWeights } from '../outdated-weights';

/** The weights that a fresh request is sent under: `now` are the named ones or newer, `old` ones may serve for some time yet; an engine that is `loading` rejects requests until it is done. */
export interface ExpectedWeights {
  weights: string;
  kind: 'now' | 'old' | 'loading';
}

/** An engine that takes up weights. */
interface Loading {
  /** The weights that it had when that was heard, by model. */
  before: Map<string, string>;
  /** When it is taken to have ended whatever is heard, in ms of the clock. */
  until: number;
}

function modelsOf(engine: Engine): { name: string; weights: string }[] {
  return engine.models ?? [{ name: engine.model, weights: engine.weights }];
}

/** Tracks the weights of engines. An engine's weights never fall within one incarnation, so the newest that any source reports are what it has. */
export class WeightsTracker {
  private readonly namings = new Map<string, NamedWeights>();
  private readonly outdated = new OutdatedWeights();
  /** Weights by model, by engine. */
  private readonly engines = new Map<string, Map<string, string>>();
  private readonly loading = new Map<string, Loading>();

  /** Older weights serve fresh requests for `olderMs` from when the newer naming was heard, or for `caughtUpMs` where it was only caught up on. */
  constructor(
    private readonly clock: Clock,
    private readonly olderMs: number,
    private readonly caughtUpMs: number,
  ) {}

  /** Records the newest naming of a model; `isLive` is whether this router heard it as it was made, not on catching up. */
  recordNaming(naming: NamedWeights, isLive: boolean): void {
    const { model, older } = naming;
    const heardAt = this.clock.now() - (isLive ? 0 : this.olderMs - this.caughtUpMs);
    this.namings.set(model, naming);
    this.outdated.record(model, older, heardAt);
  }

  /** Records the list of engines, and forgets all others. */
  recordEngines(engines: readonly Engine[]): void {
    const listed = new Set<string>();
    for (const engine of engines) {
      listed.add(engine.id);
      for (const { name, weights } of modelsOf(engine))
        if (weights !== '') this.recordWeights(engine.id, name, weights);
    }
    for (const id of this.engines.keys()) if (!listed.has(id)) this.engines.delete(id);
    for (const id of this.loading.keys()) if (!listed.has(id)) this.loading.delete(id);
  }

  /** Records what an engine reported, also with a rejection: the weights that it runs with, by model. */
  recordReported(engineId: string, weightsByModel: Record<string, string>): void {
    for (const [model, weights] of Object.entries(weightsByModel))
      this.recordWeights(engineId, model, weights);
  }

  /** Records that engines are about to take up weights, so that nothing fresh is sent there until they have them or `withinMs` has passed. */
  recordLoading(engineIds: readonly string[], withinMs: number): void {
    for (const id of engineIds)
      this.loading.set(id, {
        before: new Map(this.engines.get(id) ?? []),
        until: this.clock.now() + withinMs,
      });
  }

  /** The weights to expect of an engine for a fresh request; none where it may not serve one, or nothing is known of the model. */
  expectedWeights(engineId: string, model: string): ExpectedWeights | undefined {
    const weights = this.engines.get(engineId)?.get(model);
    const naming = this.namings.get(model);
    if (weights === undefined) return naming && { weights: naming.weights, kind: 'now' };
    if (!naming || !lacks(weights, naming)) return { weights, kind: 'now' };
    if (this.isLoading(engineId, model)) return { weights: naming.weights, kind: 'loading' };
    return this.mayStillServe(model, weights) ? { weights, kind: 'old' } : undefined;
  }

  private recordWeights(engineId: string, model: string, weights: string): void {
    const known = this.engines.get(engineId) ?? new Map<string, string>();
    this.engines.set(engineId, known);
    const before = known.get(model);
    if (before === undefined || compareWeights(weights, before, this.namings.get(model)) >= 0)
      known.set(model, weights);
  }

  private isLoading(engineId: string, model: string): boolean {
    const loading = this.loading.get(engineId);
    if (loading === undefined || this.clock.now() >= loading.until) return false;
    return loading.before.get(model) === this.engines.get(engineId)?.get(model);
  }

  private mayStillServe(model: string, weights: string): boolean {
    const since = this.outdated.sinceOf(model, weights) ?? this.outdated.sinceOf(model, ANY_OLDER);
    return since !== undefined && this.clock.now() - since < this.olderMs;
  }
}

/** The salt under which an engine keeps and finds blocks: those of other weights or of another cache scope are never found. */
export function cacheSalt(cacheScope: string, weights: string): string {
  return `${cacheScope}:${weights}`;
}
