/**
 * Watches an engine for as long as an attempt lasts. Where it is silent on all its connections for a latency target, its
 * machine is checked; where it stays silent, it is taken for lost, but only once another engine is reserved for the
 * request and its retry is paid for.
 */

import { AdmittedRequest, selectionRequestOf } from './admitted-request';
import { RawIncomingRequest } from '../../shared/ports/raw-http';
import { Engine } from '../../shared/state/engines';
import { EngineSelection } from './engine-chooser';
import { GatewayDependencies } from './gateway-dependencies';

/** How long an engine that is reachable may be silent before it is taken for lost, as multiples of the route's targets for the first event and for the gap between two. */
const MAX_SILENT_FIRST_EVENTS = 3;
const MAX_SILENT_GAPS = 6;

/** Watches one attempt. Times are ms of the clock port. */
export class SilenceWatch {
  /** Aborted when the caller is gone, or the engine is taken for lost. */
  readonly signal: AbortSignal;
  private readonly engineLost = new AbortController();
  private readonly startedAt: number;
  /** Silence after which an engine is checked, and after which a reachable one is taken for lost. */
  private readonly checkAfterMs: number;
  private readonly maxSilentMs: number;
  private isStopped = false;
  private cancelTimer: () => void;

  constructor(
    private readonly gateway: GatewayDependencies,
    call: RawIncomingRequest,
    private readonly admitted: AdmittedRequest,
    private readonly engine: Engine,
  ) {
    const { aimMs, gapAimMs } = admitted.route;
    this.startedAt = gateway.ports.clock.now();
    this.checkAfterMs = Math.max(aimMs, gapAimMs);
    this.maxSilentMs = Math.max(aimMs * MAX_SILENT_FIRST_EVENTS, gapAimMs * MAX_SILENT_GAPS);
    this.cancelTimer = this.lookAfter(this.checkAfterMs);
    this.signal = AbortSignal.any([call.aborted, this.engineLost.signal]);
  }

  /** Ends the watch. */
  stop(): void {
    this.isStopped = true;
    this.cancelTimer();
  }

  private silentMs(): number {
    const { connections, ports } = this.gateway;
    return ports.clock.now() - Math.max(this.startedAt, connections.lastActivityAt(this.engine));
  }

  private lookAfter(ms: number): () => void {
    return this.gateway.ports.clock.setTimer(ms, this.look.bind(this));
  }

  private look(): void {
    if (this.silentMs() < this.checkAfterMs)
      this.cancelTimer = this.lookAfter(this.checkAfterMs - this.silentMs());
    else void this.judge();
  }

  /** Checks in any case, so that bytes that arrived while the event loop was held up are read before it judges. */
  private async judge(): Promise<void> {
    const isReachable = await this.gateway.connections.isReachable(this.engine);
    const isPresent = isReachable && this.silentMs() < this.maxSilentMs;
    const selection = isPresent ? undefined : await this.chooseOther();
    if (this.isStopped) return;
    if (selection && this.silentMs() >= this.checkAfterMs && this.payRetry())
      this.failOver(selection);
    else this.cancelTimer = this.lookAfter(this.checkAfterMs);
  }

  private async chooseOther(): Promise<EngineSelection | undefined> {
    const { budget, chooser } = this.gateway;
    if (!budget.hasBudget(this.admitted.pool)) return undefined;
    return (await chooser.choose(selectionRequestOf(this.admitted))).toMaybe().extract();
  }

  private payRetry(): boolean {
    const { admitted, gateway } = this;
    admitted.hasPaidRetry = gateway.budget.trySpend(admitted.pool);
    return admitted.hasPaidRetry;
  }

  /** Gives the attempt up for another one. */
  private failOver(selection: EngineSelection): void {
    const { admitted, gateway } = this;
    const tracker = gateway.chooser.startAttempt(selection, admitted.request);
    admitted.failover = { selection, tracker };
    admitted.inFlight.silentEngines++;
    this.engineLost.abort();
  }
}
