/**
 * A request that was placed and is under way: what it adds to its engine's load, and what its end teaches.
 */

import { CostEstimate } from './cost-estimate';
import { EngineLoads, InFlightLoad } from './engine-loads';
import { TenantShares } from './load-shedding';
import { AttemptResult, OutlierEjection } from './outlier-ejection';
import { PlacementDecision, PlacementRequest } from './placement-types';
import { ThroughputEstimator } from './throughput-estimate';
import { TransferEstimator } from './transfer-estimate';

/** A fetch was slow where the first event took this many times what was estimated, and the transfer's time more. */
const SLOW_FETCH_RATIO = 1.5;
/** Where more than this share of the time was queueing, it shows nothing of a transfer. */
const MAX_QUEUE_RATIO = 0.3;

/** What requests under way are counted in and teach. */
export interface PlacementObservers {
  now: () => number;
  loads: EngineLoads;
  throughput: ThroughputEstimator;
  transfers: TransferEstimator;
  ejection: OutlierEjection;
  tenants: TenantShares;
}

/** A request under way at its engine; it counts from when it is made. */
export class PlacedRequest {
  private readonly request: PlacementRequest;
  private readonly estimate: CostEstimate;
  private readonly engine: string;
  private readonly tenant: string;
  private readonly load: InFlightLoad;
  private hasEnded = false;

  constructor(
    decision: PlacementDecision,
    private readonly observers: PlacementObservers,
  ) {
    const { request, estimate } = decision;
    this.request = request;
    this.estimate = estimate;
    this.engine = estimate.candidate.endpoint.name;
    this.tenant = request.tenant ?? '';
    this.load = {
      engine: this.engine,
      prefillTokens: estimate.prefillTokens,
      memoryTokens: request.promptTokens + request.maxOutputTokens,
      sentAt: observers.now(),
      expectedFirstEventMs: estimate.firstEventMs,
      transferMs: estimate.prefixFetch?.ms ?? 0,
    };
    observers.loads.recordStart(this.load);
    observers.ejection.recordStart(this.engine);
    observers.tenants.recordStart(this.tenant);
  }

  /** Records the request's first event; further ones are passed over. */
  recordFirstEvent(): void {
    const { load, observers } = this;
    if (load.firstEventAt !== undefined) return;
    observers.loads.recordFirstEvent(load);
    const firstEventMs = load.firstEventAt! - load.sentAt;
    if (this.estimate.prefixFetch) this.observeFetch(firstEventMs);
    else this.observePrefill(firstEventMs);
  }

  /** Records once how the attempt ended. */
  recordEnd(result: AttemptResult): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    const { engine, load, observers, request } = this;
    observers.loads.recordEnd(load);
    observers.ejection.recordEnd(engine, result, load.sentAt);
    observers.tenants.recordEnd(this.tenant);
    const { now, throughput } = observers;
    if (result === 'answered') throughput.observeSlot(request.pool.name, now() - load.sentAt);
    if (result === 'rejected' || load.firstEventAt === undefined) return;
    const decodeMs = now() - load.firstEventAt;
    throughput.observeDecode(request.pool.name, engine, decodeMs, request.maxOutputTokens);
  }

  private observeFetch(firstEventMs: number): void {
    const { queueMs, firstEventMs: expectedMs, prefixFetch } = this.estimate;
    if (!prefixFetch || queueMs > expectedMs * MAX_QUEUE_RATIO) return;
    const wasSlow = firstEventMs > expectedMs * SLOW_FETCH_RATIO + prefixFetch.ms;
    this.observers.transfers.observe(prefixFetch.source.endpoint.name, this.engine, wasSlow);
  }

  private observePrefill(firstEventMs: number): void {
    const { prefillTokens, attentionPairs, queuedTokens } = this.estimate;
    this.observers.throughput.observeFirstEvent(this.request.pool.name, this.engine, {
      firstEventMs,
      prefillTokens,
      attentionPairs,
      queuedTokens,
    });
  }
}
