/**
 * The decisions of a rolling load of weights, as functions of values: which engines lack the weights, how many load at
 * once, which are next, when a failed one is tried again, and what a report says of an order.
 */

import { EngineReport } from '../../shared/platform-adapter/platform-adapter';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Engine } from '../../shared/state/engines';
import { compareWeights, lacks, NamedWeights } from '../../shared/state/weights';

/** Engines of a model that may load at once, as a ratio of all of them. */
const BATCH_RATIO = 0.25;

/** The same where the rollout is late and older weights still serve: the other half goes on serving them. */
const LATE_BATCH_RATIO = 0.5;

/** Weight of the newest load time in the moving average. */
const LOAD_TIME_SMOOTHING_RATIO = 0.3;

/** The wait before a retry doubles up to this many report ages. */
const MAX_BACKOFF_FACTOR = 8;

/** Reports in a row without an answer after which an engine is given up until it is tried again. */
const MAX_UNANSWERED_REPORTS = 3;

/** Of the usual load time, the ratio for which nothing is asked after an order. */
const QUIET_LOAD_RATIO = 0.5;

/** Of the time for which the role is safe, the ratio between two reports. */
const REPORT_INTERVAL_RATIO = 0.6;

/** Of the rollout's target, what counts as gone where it is not known since when weights are named. */
const ASSUMED_ELAPSED_RATIO = 0.5;

/** One engine that is to load the named weights of one model. */
export interface EngineUpdate {
  engine: Engine;
  model: string;
  named: NamedWeights;
}

/** How far the rollout of one model is; times in ms. */
export interface RolloutProgress {
  engineCount: number;
  lackingCount: number;
  elapsedMs: number;
  usualLoadMs: number;
}

/** The failed attempts at one engine, and when it may be tried again, in ms of the clock. */
export interface RetryState {
  attempts: number;
  notBefore: number;
}

/** An order that an engine has, or may have: `isCertain` where the engine said so. */
export interface PendingOrder {
  sentAt: number;
  isCertain: boolean;
}

/** What follows from a report on an engine that was ordered to load weights. */
export type ReportVerdict = 'loaded' | 'wait' | 'failed' | 'order-again';

/** What a verdict on a pending order goes by; times in ms. */
export interface OrderObservation {
  order: PendingOrder;
  now: number;
  /** Nothing where the engine did not answer. */
  report: EngineReport | undefined;
  /** How many reports in a row were not answered, this one included. */
  unansweredReports: number;
  /** Whether the platform's list still shows the engine as serving the model. */
  isListed: boolean;
}

/** The weights that the platform's list gives for a model on an engine; nothing where the engine does not serve it. */
export function listedWeightsOf(engine: Engine, model: string): string | undefined {
  for (const served of engine.models ?? [{ name: engine.model, weights: engine.weights }])
    if (served.name === model) return served.weights;
  return undefined;
}

/** The engines of a list that serve a model and do not leave. */
export function servingEngines(engines: readonly Engine[], model: string): Engine[] {
  function isServing(engine: Engine): boolean {
    return !engine.leaving && listedWeightsOf(engine, model) !== undefined;
  }
  return engines.filter(isServing);
}

/** What an engine runs with: the newer one of what the list and its own last answer say, for weights never go back. */
export function currentWeightsOf(
  listed: string,
  reported: string | undefined,
  named: NamedWeights,
): string {
  return reported !== undefined && compareWeights(reported, listed, named) > 0 ? reported : listed;
}

/** The updates of all serving engines that lack the named weights; `reportedBy` gives what an engine itself said last. */
export function updatesFor(
  serving: readonly Engine[],
  named: NamedWeights,
  reportedBy: (engine: Engine) => string | undefined,
): EngineUpdate[] {
  const updates: EngineUpdate[] = [];
  for (const engine of serving) {
    const listed = listedWeightsOf(engine, named.model);
    if (listed !== undefined && lacks(currentWeightsOf(listed, reportedBy(engine), named), named))
      updates.push({ engine, model: named.model, named });
  }
  return updates;
}

/**
 * How many engines of a model may load at once: a quarter of them, or more, up to half, where the rollout would miss
 * its target otherwise. Once the older weights are retired, engines that have them serve nothing, and all may load.
 */
export function batchSize(
  progress: RolloutProgress,
  limits: Pick<TimeLimits, 'rolloutTargetMs' | 'oldWeightsRetireMs'>,
): number {
  const { engineCount, lackingCount, elapsedMs, usualLoadMs } = progress;
  const remainingMs = Math.max(usualLoadMs, limits.rolloutTargetMs - elapsedMs - usualLoadMs / 2);
  const needed = Math.ceil((lackingCount * usualLoadMs) / remainingMs);
  const most =
    elapsedMs < limits.oldWeightsRetireMs
      ? Math.ceil(engineCount * LATE_BATCH_RATIO)
      : lackingCount;
  return Math.max(1, Math.floor(engineCount * BATCH_RATIO), Math.min(needed, most));
}

/** How many engines load a model now. */
export function countLoading(loading: ReadonlyMap<string, string>, model: string): number {
  let count = 0;
  for (const loadingModel of loading.values()) if (loadingModel === model) count++;
  return count;
}

/** The updates to begin now, `room` at most: those whose engine neither loads already nor waits for its retry. */
export function selectNextUpdates(
  updates: readonly EngineUpdate[],
  room: number,
  loading: ReadonlyMap<string, string>,
  retries: ReadonlyMap<string, RetryState>,
  now: number,
): EngineUpdate[] {
  function mayBegin({ engine }: EngineUpdate): boolean {
    return !loading.has(engine.id) && now >= (retries.get(engine.id)?.notBefore ?? 0);
  }
  return updates.filter(mayBegin).slice(0, Math.max(0, room));
}

/** When an engine may be tried again after one more failed attempt: the wait doubles, up to a bound. */
export function nextRetry(
  before: RetryState | undefined,
  now: number,
  reportMaxAgeMs: number,
): RetryState {
  const attempts = (before?.attempts ?? 0) + 1;
  const factor = Math.min(MAX_BACKOFF_FACTOR, 2 ** (attempts - 1));
  return { attempts, notBefore: now + reportMaxAgeMs * factor };
}

/** The moving average of load times after one more of them, in ms. */
export function smoothLoadTime(usualLoadMs: number, measuredMs: number): number {
  return usualLoadMs + LOAD_TIME_SMOOTHING_RATIO * (measuredMs - usualLoadMs);
}

/**
 * How long ago weights were named, in ms, where this node sees them for the first time at this moment: just now where it
 * has been in touch for a whole lease. Otherwise they may have been named at any time, and half of the target is taken
 * as gone.
 */
export function assumedElapsedMs(
  inTouchMs: number,
  limits: Pick<TimeLimits, 'leaseMs' | 'rolloutTargetMs'>,
): number {
  return inTouchMs > limits.leaseMs ? 0 : limits.rolloutTargetMs * ASSUMED_ELAPSED_RATIO;
}

/** How long to wait until the next report of an engine that has an order, in ms. */
export function reportDelayMs(
  sinceOrderMs: number,
  usualLoadMs: number,
  singletonFreshMs: number,
): number {
  const quietMs = usualLoadMs * QUIET_LOAD_RATIO;
  return Math.max(singletonFreshMs * REPORT_INTERVAL_RATIO, sinceOrderMs < quietMs ? quietMs : 0);
}

/** Whether an engine reports that it has the weights of an update, or newer ones. */
function reportsLoaded(report: EngineReport, update: EngineUpdate): boolean {
  for (const served of report.models)
    if (served.name === update.model) return !lacks(served.weights, update.named);
  return false;
}

/**
 * What becomes of an order. An idle engine without the weights has failed to load them where it had taken the order;
 * where that was not certain, the order goes out again, once no report can be older than the order.
 */
export function judgeReport(
  update: EngineUpdate,
  observation: OrderObservation,
  limits: Pick<TimeLimits, 'weightsLoadTimeoutMs' | 'engineReportMaxAgeMs'>,
): ReportVerdict {
  const { order, report, unansweredReports, isListed } = observation;
  const sinceOrderMs = observation.now - order.sentAt;
  const isLost =
    unansweredReports >= MAX_UNANSWERED_REPORTS || sinceOrderMs > limits.weightsLoadTimeoutMs;
  if (isLost || !isListed) return 'failed';
  if (report === undefined) return 'wait';
  if (reportsLoaded(report, update)) return 'loaded';
  if (report.busy || sinceOrderMs < limits.engineReportMaxAgeMs * 2) return 'wait';
  return order.isCertain ? 'failed' : 'order-again';
}
