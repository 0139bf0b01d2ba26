/**
 * The callers' HTTP interface of a router.
 */

import { memoryRows } from '../shared/limits/pressure-log';
import { httpHandler, sendJson } from '../shared/transport/http-handlers';
import { IncomingRequest } from '../shared/ports/network';
import { runGenerateAttempts } from './generate-attempts';
import { checkRequest } from './request-validation';
import { RouterDependencies } from './router-dependencies';
import { counterRows, METRICS_CONTENT_TYPE } from '../shared/observability/metrics';

/** Handles callers' requests. */
export class CallerApi {
  private inFlight = 0;

  constructor(private readonly router: RouterDependencies) {}

  /** How many requests are in flight. */
  inFlightCount(): number {
    return this.inFlight;
  }

  /** Takes a prompt, places it, sends it on, and gives the pieces back. */
  @httpHandler('POST', '/v1/generate')
  async generate(call: IncomingRequest): Promise<void> {
    this.router.counts.asked++;
    const request = await checkRequest(this.router, call);
    if (!request) return;
    this.inFlight++;
    await runGenerateAttempts(this.router, call, request);
    this.inFlight--;
  }

  /** Whether this router takes requests. */
  @httpHandler('GET', '/healthz')
  health(call: IncomingRequest): Promise<void> {
    const lease = this.router.follower.hasLease();
    const draining = this.router.isDraining();
    const ok = lease && !draining;
    sendJson(call, ok ? 200 : 503, { ok, lease, draining });
    return Promise.resolve();
  }

  /** Figures in the text form that collectors read. */
  @httpHandler('GET', '/metrics')
  async metrics(call: IncomingRequest): Promise<void> {
    const rows = counterRows('plumhollow_router', this.router.counts);
    rows.push(`plumhollow_router_under_way ${this.inFlight}`);
    rows.push(...memoryRows(this.router.ports.memoryFigures?.()));
    call.writeHead(200, { 'content-type': METRICS_CONTENT_TYPE });
    call.end(await this.router.metrics.text(rows));
  }
}
