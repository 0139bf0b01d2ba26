/**
 * The rolling load of weights: brings all engines of each model to its named weights, in batches, each engine ordered
 * once, under the fencing token of one singleton role for the whole fleet.
 */

import { Ports } from '../../shared/ports/ports';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Engine } from '../../shared/state/engines';
import { NamedWeights } from '../../shared/state/weights';
import { Controller } from '../controller-interface';
import { EngineOrderAdapter, EngineWeightsLoader } from './engine-weights-loader';
import {
  assumedElapsedMs,
  batchSize,
  countLoading,
  EngineUpdate,
  nextRetry,
  RetryState,
  selectNextUpdates,
  servingEngines,
  smoothLoadTime,
  updatesFor,
} from './rollout-decisions';
import { makeSingletonLease, SingletonLease } from './singleton-lease';

/** The name of the role, as it is stored. */
const ROLE = 'weights';

/** Of the time for which the role is safe, the ratio between two rounds. */
const ROUND_INTERVAL_RATIO = 0.5;

/** Of the same, the ratio by which routers are notified of a load before its order: they send the engine nothing meanwhile. */
const NOTICE_RATIO = 0.25;

/** Since when weights are named, in ms of the clock. */
interface NamedSince {
  weights: string;
  at: number;
}

/** The rolling load of weights at one controller; of all controllers only the holder of the role gives orders. */
class WeightsRollout {
  private readonly lease: SingletonLease;
  private readonly loader: EngineWeightsLoader;
  /** The weights that engines have by their own answers, by engine and model. */
  private readonly loadedWeights = new Map<string, string>();
  private readonly namedSince = new Map<string, NamedSince>();
  /** The engines that load now, with the model of which they do. */
  private readonly loading = new Map<string, string>();
  private readonly retries = new Map<string, RetryState>();
  private usualLoadMs: number;
  /** Since when updates wait; nothing where none does. */
  private waitingSince: number | undefined;
  private lastRoundAt = -Infinity;
  private inTouchSince = Infinity;

  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
    adapter: EngineOrderAdapter,
  ) {
    this.lease = makeSingletonLease(controller, ports, ROLE);
    this.usualLoadMs = controller.timeLimits.initialWeightsLoadMs;
    this.loader = new EngineWeightsLoader({
      ports,
      timeLimits: controller.timeLimits,
      adapter,
      lease: this.lease,
      holderId: controller.ownerId,
      usualLoadMs: this.currentUsualLoadMs.bind(this),
      isListed: this.isListed.bind(this),
    });
  }

  /** Goes round until the controller stops. */
  async run(): Promise<void> {
    const { clock } = this.ports;
    const { timeLimits } = this.controller;
    while (!this.controller.isStopped()) {
      await clock.sleep(timeLimits.singletonFreshMs * ROUND_INTERVAL_RATIO);
      this.lease.observe();
      this.noteRound();
      let lackingCount = 0;
      const next: EngineUpdate[] = [];
      for (const named of this.namedModels()) {
        const updates = this.updatesOf(named);
        lackingCount += updates.length;
        next.push(...this.nextUpdates(named, updates));
        if (updates.length === 0) await this.retireOlder(named);
      }
      this.waitingSince = lackingCount > 0 ? (this.waitingSince ?? clock.now()) : undefined;
      if (this.waitingSince === undefined) continue;
      if (next.length === 0 && this.lease.isSafeFromTakeover()) continue;
      const fence = await this.lease.acquireFencingToken(clock.now() - this.waitingSince);
      if (fence !== undefined) for (const update of next) void this.load(update);
    }
  }

  /** Notes since when this node goes round in time and sees a majority: what it learns meanwhile, it learns as it is made. */
  private noteRound(): void {
    const now = this.ports.clock.now();
    const { timeLimits, hasQuorum } = this.controller;
    if (now - this.lastRoundAt > timeLimits.leaseMs || !hasQuorum()) this.inTouchSince = now;
    this.lastRoundAt = now;
  }

  /** The named weights of each model; notes since when they are named. */
  private namedModels(): NamedWeights[] {
    const models: NamedWeights[] = [];
    for (const key of this.controller.store.registers.keys()) {
      if (!key.startsWith(CONTROL_KEYS.weights)) continue;
      const named = this.controller.committedValue<NamedWeights>(key)?.value;
      if (!named) continue;
      this.noteNamed(named);
      models.push(named);
    }
    return models;
  }

  private noteNamed({ model, weights }: NamedWeights): void {
    if (this.namedSince.get(model)?.weights === weights) return;
    const now = this.ports.clock.now();
    const elapsedMs = assumedElapsedMs(now - this.inTouchSince, this.controller.timeLimits);
    this.namedSince.set(model, { weights, at: now - elapsedMs });
  }

  /** Retires the older weights of a model of which no engine has them, once they are out of use at every router. */
  private async retireOlder(named: NamedWeights): Promise<void> {
    const { keyOwner, timeLimits, change } = this.controller;
    const since = this.namedSince.get(named.model)!;
    const now = this.ports.clock.now();
    if (named.older.length === 0 || !keyOwner.owns(CONTROL_KEYS.weights + named.model)) return;
    if (now - since.at < timeLimits.oldWeightsRetireMs) return;
    since.at = now;
    await change({ kind: 'weights-end', model: named.model, ended: named.older });
  }

  private servingEngines(model: string): Engine[] {
    const engines = this.controller.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value;
    return servingEngines(engines ?? [], model);
  }

  private updatesOf(named: NamedWeights): EngineUpdate[] {
    const { loadedWeights } = this;
    function loadedBy(engine: Engine): string | undefined {
      return loadedWeights.get(loadKey(engine, named.model));
    }
    return updatesFor(this.servingEngines(named.model), named, loadedBy);
  }

  private nextUpdates({ model }: NamedWeights, updates: EngineUpdate[]): EngineUpdate[] {
    const now = this.ports.clock.now();
    const progress = {
      engineCount: this.servingEngines(model).length,
      lackingCount: updates.length,
      elapsedMs: now - this.namedSince.get(model)!.at,
      usualLoadMs: this.usualLoadMs,
    };
    const batch = batchSize(progress, this.controller.timeLimits);
    const room = batch - countLoading(this.loading, model);
    return selectNextUpdates(updates, room, this.loading, this.retries, now);
  }

  /** Has one engine load weights: notifies routers, orders it, and notes what came of it. */
  private async load(update: EngineUpdate): Promise<void> {
    const { timeLimits, leases } = this.controller;
    const { engine, model } = update;
    const { clock } = this.ports;
    const beganAt = clock.now();
    this.loading.set(engine.id, model);
    leases.notifyAll('loading', { engines: [engine.id], within: timeLimits.weightsLoadTimeoutMs });
    await clock.sleep(timeLimits.singletonFreshMs * NOTICE_RATIO);
    const isLoaded = await this.loader.load(update);
    this.loading.delete(engine.id);
    if (isLoaded) this.noteLoaded(update, clock.now() - beganAt);
    else this.noteFailed(engine);
  }

  private noteLoaded({ engine, model, named }: EngineUpdate, tookMs: number): void {
    const { weights } = named;
    this.usualLoadMs = smoothLoadTime(this.usualLoadMs, tookMs);
    this.retries.delete(engine.id);
    this.loadedWeights.set(loadKey(engine, model), weights);
    const loaded = { engine: engine.id, weights: { [model]: weights } };
    this.controller.leases.notifyAll('loaded', loaded);
  }

  private noteFailed({ id }: Engine): void {
    const { leases, timeLimits } = this.controller;
    leases.notifyAll('loading', { engines: [id], within: 0 });
    const now = this.ports.clock.now();
    this.retries.set(id, nextRetry(this.retries.get(id), now, timeLimits.engineReportMaxAgeMs));
  }

  private isListed({ engine, model }: EngineUpdate): boolean {
    function isSame(listed: Engine): boolean {
      return listed.id === engine.id;
    }
    return this.servingEngines(model).some(isSame);
  }

  private currentUsualLoadMs(): number {
    return this.usualLoadMs;
  }
}

function loadKey(engine: Engine, model: string): string {
  return `${engine.id} ${model}`;
}

/** Runs the rolling load of weights at one controller until that stops. */
export function runWeightsRollout(
  controller: Controller,
  ports: Ports,
  adapter: EngineOrderAdapter,
): Promise<void> {
  return new WeightsRollout(controller, ports, adapter).run();
}
