/**
 * Sends one attempt to its engine, and relays the pieces to the caller.
 */

import { generate, GenerateRequest, GenerationStream } from '../shared/contracts/engine';
import { errorOrValue, OperationError, Result } from '../shared/errors/errors';
import { IncomingRequest } from '../shared/ports/network';
import { PendingAttempt } from './attempt-cutoff';
import { isUrgent, tokensOf } from './caller-request';
import { GenerateAttempt } from './generate-attempt';
import { relayPieces } from './piece-relay';
import { RouterDependencies } from './router-dependencies';

/** What became of an attempt: whether the caller's answer has begun, and the error where it has no good end. */
export interface ForwardOutcome {
  hasAnswered: boolean;
  error?: OperationError;
}

function generateRequest({ request, choice, runId }: GenerateAttempt): GenerateRequest {
  const { service } = request;
  const { fetch } = choice;
  return {
    request: runId,
    tenant: request.tenant,
    model: service.model,
    weights: choice.weights,
    salt: request.salt,
    parts: request.blocks,
    maxTokens: request.maxTokens,
    urgent: isUrgent(request),
    repeatable: service.mayRepeat,
    fetch: fetch && { at: fetch.at, hashes: fetch.hashes },
  };
}

function pendingAttempt({ request, choice }: GenerateAttempt, sentAt: number): PendingAttempt {
  const { tenant, salt, service } = request;
  const { tracked, weights } = choice;
  const cut = new AbortController();
  return { tenant, salt, model: service.model, weights, tracked, sentAt, cut };
}

/** Whether an engine gave an answer of its own, if only a rejection. */
function isEngineRejection({ certainty, code }: OperationError): boolean {
  return certainty === 'refused' && code?.startsWith('status-') === true;
}

/** Asks the engine to generate; the attempt may be cut off until its first piece comes. */
function startGeneration(
  router: RouterDependencies,
  call: IncomingRequest,
  attempt: GenerateAttempt,
  pending: PendingAttempt,
): Promise<Result<GenerationStream>> {
  const { deadlineAt } = attempt.request;
  return generate(
    router.ports,
    attempt.choice.tracked.engine.at,
    generateRequest(attempt),
    Math.max(1, deadlineAt - router.ports.clock.now()),
    AbortSignal.any([call.aborted, pending.cut.signal]),
  );
}

/** Sends an attempt to its engine, and gives the pieces to the caller. */
export async function forwardAttempt(
  call: IncomingRequest,
  router: RouterDependencies,
  attempt: GenerateAttempt,
): Promise<ForwardOutcome> {
  const { clock } = router.ports;
  const { request, choice } = attempt;
  const { tracked } = choice;
  router.engines.recordStart(tracked, tokensOf(request.blocks.slice(choice.expectedBlocks)));
  const pending = pendingAttempt(attempt, clock.now());
  router.cutoff.add(pending);
  const [error, stream] = errorOrValue(await startGeneration(router, call, attempt, pending));
  if (error) {
    router.cutoff.remove(pending);
    router.engines.recordEnd(tracked, isEngineRejection(error));
    return { hasAnswered: false, error };
  }
  const [firstError, line] = errorOrValue(await stream.next());
  router.cutoff.remove(pending);
  if (firstError) {
    router.engines.recordEnd(tracked, false);
    return { hasAnswered: false, error: firstError };
  }
  router.observeFirstPieceMs(clock.now() - request.arrivedAt);
  const headers = { 'content-type': 'application/x-ndjson', 'x-engine': tracked.engine.id };
  call.writeHead(200, headers);
  const relayError = await relayPieces(call, router, attempt, stream, line);
  const hasServed = relayError === undefined || relayError.code === 'caller-gone';
  router.engines.recordEnd(tracked, hasServed);
  return { hasAnswered: true, error: relayError };
}
