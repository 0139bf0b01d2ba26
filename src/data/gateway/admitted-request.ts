/**
 * A request that was admitted, over all its attempts.
 */

import { CallerRequest, HttpRoute, TenantAccess } from '../../shared/state/deployment';
import { AttemptOutcome, AttemptTracker } from './attempt-tracker';
import { EngineSelection, SelectionRequest } from './engine-chooser';
import { InFlightRequest } from './in-flight-requests';

/** An attempt that was not sent yet; its engine counts it as load from now on. */
export interface PreparedAttempt {
  selection: EngineSelection;
  tracker: AttemptTracker;
}

/** An admitted request. Times are ms of the clock port. */
export interface AdmittedRequest {
  request: CallerRequest;
  route: HttpRoute;
  tenant?: TenantAccess;
  pool: string;
  body: Uint8Array;
  deadlineAt: number;
  /** Whether it may run more than once, or be resumed where it broke off. */
  isIdempotent: boolean;
  inFlight: InFlightRequest;
  /** Whether an attempt may have run. */
  mayHaveRun: boolean;
  /** The id of the last event that went to the caller. */
  lastEvent?: string;
  /** Connections that one engine of its pool takes from all callers. */
  maxConnections: number;
  /** Ids of engines that were tried. */
  excluded: Set<string>;
  /** Attempts that reached an engine. */
  sentAttempts: number;
  /** The attempt that follows, where the one under way was given up for it. */
  failover?: PreparedAttempt;
  /** Whether the next retry was spent from the budget already. */
  hasPaidRetry: boolean;
}

/** What a request asks of the engine that is to be chosen now. */
export function selectionRequestOf(admitted: AdmittedRequest): SelectionRequest {
  const { request, route, pool, tenant, deadlineAt, excluded, inFlight } = admitted;
  return { request, route, pool, tenant, arrivedAt: inFlight.arrivedAt, deadlineAt, excluded };
}

/** Whether an answer that broke off can go on at another engine: nothing of it was passed on, or whole events with ids. */
export function canResume(admitted: AdmittedRequest): boolean {
  const { inFlight, lastEvent, route } = admitted;
  return route.resumable && (!inFlight.answerBegan || lastEvent !== undefined);
}

/** Records that an attempt may have run and gave no complete answer; gives its outcome. */
export function markUncertain(admitted: AdmittedRequest): AttemptOutcome {
  admitted.mayHaveRun = true;
  return admitted.inFlight.answerBegan ? 'broken-off' : 'uncertain';
}

/** Records that an attempt was under way when the request's time was up; gives its outcome. */
export function markTimedOut(admitted: AdmittedRequest): AttemptOutcome {
  admitted.mayHaveRun = true;
  return 'timed-out';
}

/** Weights by model, as an engine reported them; those under no model are of the request's. */
export function weightsByModel(
  { request }: AdmittedRequest,
  weights: Record<string, string>,
): Record<string, string> {
  const { '': ownWeights, ...named } = weights;
  if (ownWeights === undefined || request.model === undefined) return named;
  return { ...named, [request.model]: ownWeights };
}
