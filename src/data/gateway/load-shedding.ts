/**
 * Load shedding: which requests are rejected at once, as all slots of their pool are taken and their time would pass in
 * waiting for one; a tenant over its fair share gives way first.
 */

import { Candidate, CostEstimate } from './cost-estimate';
import { PlacementRejection, PlacementRequest } from './placement-types';

/** The share of a pool's slots that must be taken before a request is rejected. */
const MIN_SATURATION_RATIO = 0.9;
/** A tenant with more than this many fair shares of the requests in flight gives way first. */
const MAX_FAIR_SHARES = 1.5;
/** How many latency targets a request waits that would miss its target, of a tenant within its fair share and of one over it. */
const MAX_WAIT_TARGETS = 2;
const MAX_WAIT_TARGETS_OVER_SHARE = 1;

/** Counts the requests in flight by tenant; those of none count as one tenant. */
export class TenantShares {
  private readonly inFlight = new Map<string, number>();

  /** Counts a request. */
  recordStart(tenant: string): void {
    this.inFlight.set(tenant, (this.inFlight.get(tenant) ?? 0) + 1);
  }

  /** Counts a request no longer. */
  recordEnd(tenant: string): void {
    const left = (this.inFlight.get(tenant) ?? 1) - 1;
    if (left > 0) this.inFlight.set(tenant, left);
    else this.inFlight.delete(tenant);
  }

  /** Whether a tenant has far more than its fair share of the requests in flight. */
  isOverShare(tenant: string): boolean {
    let total = 0;
    for (const count of this.inFlight.values()) total += count;
    return (this.inFlight.get(tenant) ?? 0) * this.inFlight.size > total * MAX_FAIR_SHARES;
  }
}

/** Whether nearly all slots of these engines are taken. */
function isSaturated(candidates: readonly Candidate[]): boolean {
  let running = 0;
  let slots = 0;
  for (const candidate of candidates) {
    running += Math.min(candidate.batch, candidate.load.running);
    slots += candidate.batch;
  }
  return running >= slots * MIN_SATURATION_RATIO;
}

/** Why a request is rejected rather than sent to the engine of the best estimate; nothing where it is sent. */
export function shedReason(
  request: PlacementRequest,
  candidates: readonly Candidate[],
  best: CostEstimate,
  tenants: TenantShares,
): PlacementRejection | undefined {
  const { candidate, firstEventMs, queueMs } = best;
  if (!isSaturated(candidates) || candidate.load.running < candidate.batch) return undefined;
  const unqueuedMs = firstEventMs - queueMs;
  if (unqueuedMs < request.remainingMs && firstEventMs >= request.remainingMs)
    return { reason: 'full', retryAfterMs: queueMs };
  const { latencyTargetMs } = request;
  if (unqueuedMs >= latencyTargetMs || firstEventMs < latencyTargetMs) return undefined;
  const maxTargets = tenants.isOverShare(request.tenant ?? '')
    ? MAX_WAIT_TARGETS_OVER_SHARE
    : MAX_WAIT_TARGETS;
  return queueMs > latencyTargetMs * maxTargets
    ? { reason: 'too-late', retryAfterMs: queueMs }
    : undefined;
}
