/**
 * The attempts of a request: engine after engine until one has answered, or no further attempt may be made.
 */

import { sendError } from '../shared/transport/http-handlers';
import { OperationError } from '../shared/errors/errors';
import { IncomingRequest } from '../shared/ports/network';
import { CheckedRequest, isUrgent } from './caller-request';
import { EngineChoice } from './engine-selector';
import { WeightsAt, WeightsChoice } from './fresh-weights';
import { forwardAttempt, ForwardOutcome } from './generate-forwarding';
import {
  acquireIdempotencyKey,
  KeyState,
  reportRun,
  voterSetFingerprint,
} from './idempotency-keys';
import { Overlap } from './overlap-client';
import { retryAfterMs, sendRefusal } from './request-refusal';
import { RouterDependencies } from './router-dependencies';

const MAX_ATTEMPTS = 3;

/** Why no engine got a request: the code of its refusal. */
type RefusalCode = 'no-engine' | 'no-budget' | 'no-claim';

/** Makes the attempts of one request. */
class GenerateAttempts {
  private readonly runId: string;
  /** Ids of engines that were tried. */
  private readonly excluded = new Set<string>();
  /** The voter set under which the idempotency key was acquired. */
  private voterSet: string | undefined;
  private lastError: OperationError | undefined;
  private hasSent = false;
  private refusalCode: RefusalCode = 'no-engine';

  constructor(
    private readonly router: RouterDependencies,
    private readonly call: IncomingRequest,
    private readonly request: CheckedRequest,
  ) {
    this.runId = router.nextRunId();
  }

  /** The awaits stand in this one function, as each function between would put a turn of the event loop's microtasks between steps that must see the same state. */
  async run(): Promise<void> {
    const { call, request, router, runId } = this;
    const { idempotencyKey, service } = request;
    router.retryBudget.earn(service);
    if (idempotencyKey !== undefined) {
      const acquired = await acquireIdempotencyKey(router.follower, idempotencyKey, runId);
      if (!acquired.isAcquired) return this.answerNotAcquired(idempotencyKey, acquired.state);
      this.voterSet = acquired.voterSet;
    }
    for (let attempts = 0; attempts < MAX_ATTEMPTS; attempts++) {
      const weights = router.freshWeights.choiceFor(service.model);
      const overlaps = new Map<string, Overlap[] | undefined>();
      for (const queried of weights.queried)
        overlaps.set(queried, await this.queryOverlaps(queried));
      const choice = this.chooseEngine(weights, overlaps);
      if (!choice || this.mustStop()) break;
      if (idempotencyKey !== undefined && this.isVoterSetChanged()) {
        const acquired = await acquireIdempotencyKey(router.follower, idempotencyKey, runId);
        this.voterSet = acquired.voterSet;
        if (acquired.voterSet === undefined) break;
        attempts--;
        continue;
      }
      this.countAttempt();
      const outcome = await forwardAttempt(call, router, { request, choice, runId });
      if (this.isAnswered(outcome, choice)) return;
    }
    this.finish();
  }

  /** Answers what became of the run that has the idempotency key. */
  private answerNotAcquired(key: string, state: KeyState): void {
    reportRun(this.router.follower, key, this.runId, 'released');
    if (state === 'unreachable') this.refuse('no-core', 'the core gave no vote');
    else this.answerKeyTaken(state);
  }

  private answerKeyTaken(state: KeyState): void {
    const { call, router } = this;
    const reason = `this Idempotency-Key is taken: ${state}`;
    const againMs = state === 'running' ? router.timeLimits.leaseMs : undefined;
    router.counts.unknown++;
    sendError(call, 409, 'unknown', `key-${state}`, reason, againMs);
  }

  private isVoterSetChanged(): boolean {
    return voterSetFingerprint(this.router.follower) !== this.voterSet;
  }

  /** Chooses among the engines with the named weights, then among those with older ones. */
  private chooseEngine(
    { current, older }: WeightsChoice,
    overlaps: ReadonlyMap<string, Overlap[] | undefined>,
  ): EngineChoice | undefined {
    const { excluded, request, router } = this;
    const { blocks, salt, service } = request;
    const { model } = service;
    function choose(weightsAt: WeightsAt): EngineChoice | undefined {
      const wanted = { model, salt, blocks, isUrgent: isUrgent(request), excluded, weightsAt };
      return router.selector.choose(wanted, overlaps);
    }
    return choose(current) ?? (older && choose(older));
  }

  private queryOverlaps(weights: string): Promise<Overlap[] | undefined> {
    const { indexers, settings } = this.router;
    if (settings.placeBy === 'affinity') return Promise.resolve(undefined);
    const { blocks, salt, service } = this.request;
    return indexers.query({ model: service.model, salt, weights, parts: blocks });
  }

  /** Whether no attempt may be made any more; a retry is paid for here. */
  private mustStop(): boolean {
    const { call, request, router } = this;
    if (this.hasSent && !router.retryBudget.trySpend(request.service)) {
      this.refusalCode = 'no-budget';
      return true;
    }
    if (call.aborted.aborted || router.ports.clock.now() >= request.deadlineAt) return true;
    const isPermitted =
      router.follower.hasLease() && router.tenants.saltOf(request.tenant) === request.salt;
    if (!isPermitted) this.refusalCode = 'no-claim';
    return !isPermitted;
  }

  private countAttempt(): void {
    this.hasSent = true;
    this.router.counts.attempts++;
  }

  /** Takes an attempt's outcome; `true` where the caller has its answer, if only that the request may have run. */
  private isAnswered({ hasAnswered, error }: ForwardOutcome, { tracked }: EngineChoice): boolean {
    if (hasAnswered) {
      this.reportRun(error ? 'unknown' : 'done');
      return true;
    }
    this.lastError = error;
    if (error && error.certainty !== 'refused' && !this.request.service.mayRepeat) {
      this.reportRun('unknown');
      this.answerLost(502, `${error.step} at ${tracked.engine.id}: ${error.reason}`);
      return true;
    }
    this.excluded.add(tracked.engine.id);
    if (error?.code?.startsWith('status-')) this.router.engines.recordRejection(tracked);
    return false;
  }

  /** Answers a request whose attempts have all failed. */
  private finish(): void {
    const { lastError, request, router } = this;
    this.reportRun('released');
    const reason = lastError && `${lastError.step}: ${lastError.reason}`;
    if (lastError && lastError.certainty !== 'refused') {
      const isTimeUp = router.ports.clock.now() >= request.deadlineAt;
      return this.answerLost(isTimeUp ? 504 : 502, reason!, retryAfterMs(router));
    }
    this.refuse(this.refusalCode, reason ?? 'no engine can take this now');
  }

  private reportRun(state: 'done' | 'unknown' | 'released'): void {
    const { idempotencyKey } = this.request;
    if (idempotencyKey === undefined) return;
    reportRun(this.router.follower, idempotencyKey, this.runId, state);
  }

  /** Answers that the request may have run. */
  private answerLost(status: number, reason: string, againMs?: number): void {
    this.router.counts.unknown++;
    sendError(this.call, status, 'unknown', 'leg-lost', reason, againMs);
  }

  private refuse(code: string, reason: string): void {
    const { call, router } = this;
    sendRefusal(router, call, { status: 503, code, reason, retryAfterMs: retryAfterMs(router) });
  }
}

/** Sends a request to engines in turn, and answers its caller. */
export function runGenerateAttempts(
  router: RouterDependencies,
  call: IncomingRequest,
  request: CheckedRequest,
): Promise<void> {
  return new GenerateAttempts(router, call, request).run();
}
