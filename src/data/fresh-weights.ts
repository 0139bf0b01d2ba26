/**
 * Which weights a fresh request may run with: the named ones, and for a while the older ones.
 */

import { Clock } from '../shared/ports/clock';
import { Follower } from '../shared/replication/follower';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { ANY_OLDER, NamedWeights } from '../shared/state/weights';
import { EngineTracker, TrackedEngine } from './engine-tracker';
import { OutdatedWeights } from './outdated-weights';

/** Tells the weights that an engine would run a request with; none where it must not. */
export type WeightsAt = (tracked: TrackedEngine) => string | undefined;

/** The weights of fresh requests for one model. */
export interface WeightsChoice {
  /** At engines with the named weights; with any where none are named. */
  current: WeightsAt;
  /** At engines with older weights that may still serve; left out where there are none. */
  older?: WeightsAt;
  /** The weights for which an index is worth asking. */
  queried: string[];
}

function reportedWeights({ status }: TrackedEngine): string | undefined {
  return status?.weights;
}

/** Follows the naming of weights. */
export class FreshWeights {
  private readonly outdated = new OutdatedWeights();

  /** Older weights may serve for `retireMs` from when the newer naming was heard. */
  constructor(
    private readonly clock: Clock,
    private readonly follower: Follower,
    private readonly engines: EngineTracker,
    private readonly retireMs: number,
  ) {}

  /** Takes the newest naming under a control key; without a lease it may be long known elsewhere, and its older weights serve no more. */
  recordNaming(key: string, { older }: Pick<NamedWeights, 'older'>): void {
    const heardAt = this.follower.hasLease() ? this.clock.now() : -Infinity;
    this.outdated.record(key, older, heardAt);
  }

  /** Whether requests with these weights must end, as neither they nor older ones like them are named any more. */
  haveEnded(model: string, weights: string): boolean {
    const named = this.namingOf(model);
    if (named === undefined || named.weights === weights) return false;
    return !named.older.includes(weights) && !named.older.includes(ANY_OLDER);
  }

  /** The weights that a fresh request for a model may run with. */
  choiceFor(model: string): WeightsChoice {
    const named = this.namingOf(model);
    const reported = new Set<string>();
    for (const { status } of this.engines.ofModel(model)) if (status) reported.add(status.weights);
    if (!named) return { current: reportedWeights, queried: [...reported] };
    function current(tracked: TrackedEngine): string | undefined {
      return reportedWeights(tracked) === named!.weights ? named!.weights : undefined;
    }
    const serving = this.stillServing(model, named);
    function older(tracked: TrackedEngine): string | undefined {
      const weights = reportedWeights(tracked);
      const mayServe = weights !== undefined && (serving.has(weights) || serving.has(ANY_OLDER));
      return mayServe ? weights : undefined;
    }
    if (serving.size === 0) return { current, queried: [named.weights] };
    return { current, older, queried: [...reported] };
  }

  private namingOf(model: string): NamedWeights | undefined {
    return this.follower.value<NamedWeights>(CONTROL_KEYS.weights + model)?.value;
  }

  /** The older weights that may still serve. */
  private stillServing(model: string, named: NamedWeights): Set<string> {
    const serving = new Set<string>();
    const now = this.clock.now();
    for (const weights of named.older) {
      const since = this.outdated.sinceOf(CONTROL_KEYS.weights + model, weights) ?? -Infinity;
      if (now - since < this.retireMs) serving.add(weights);
    }
    return serving;
  }
}
