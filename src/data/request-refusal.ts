/**
 * Refusals: answers to requests that have not run and never will.
 */

import { sendError } from '../shared/transport/http-handlers';
import { IncomingRequest } from '../shared/ports/network';
import { RouterDependencies } from './router-dependencies';

/** Why a request is refused. */
export interface RequestRefusal {
  /** The HTTP status. */
  status: number;
  /** The documented code. */
  code: string;
  reason: string;
  /** Ms after which it may come again; left out where coming again does not help. */
  retryAfterMs?: number;
}

/** When a request may come again that this router or the fleet can't serve now, as a multiple of `retryPauseMs`. */
const RETRY_AFTER_RATIO = 5;

/** Ms after which a request may come again that this router or the fleet can't serve now. */
export function retryAfterMs({ timeLimits }: RouterDependencies): number {
  return timeLimits.retryPauseMs * RETRY_AFTER_RATIO;
}

/** Answers with a refusal. */
export function sendRefusal(
  { counts }: RouterDependencies,
  call: IncomingRequest,
  refusal: RequestRefusal,
): void {
  counts.refused++;
  sendError(call, refusal.status, 'refused', refusal.code, refusal.reason, refusal.retryAfterMs);
}
