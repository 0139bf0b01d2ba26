/**
 * Response classification: what the head of an engine's response says of an attempt.
 */

import { EngineResponseHead } from '../../shared/platform-adapter/platform-adapter';
import { AdmittedRequest } from './admitted-request';
import { EngineRejection } from './attempt-tracker';

/**
 * A classified response: `mismatched` answers another request; `rejected` did not run; `uncertain` may have run and is
 * of no use; `server-error` is an answer that a retry may better; `answer` goes back to the caller.
 */
export type ClassifiedResponse =
  | { kind: 'mismatched' | 'uncertain' | 'server-error' | 'answer' }
  | { kind: 'rejected'; rejection: EngineRejection };

/** Whether a status tells of success. */
export function isSuccess(status: number): boolean {
  return status >= 200 && status < 300;
}

/** The instance that was asked can't be another one: its answer that it is tells of other weights. */
function verdictOf(head: EngineResponseHead, engineId: string): EngineResponseHead['verdict'] {
  const isSameInstance = head.verdict === 'other-instance' && head.instance === engineId;
  return isSameInstance ? 'other-weights' : head.verdict;
}

/** Classifies a response from its head. */
export function classifyResponse(
  head: EngineResponseHead,
  status: number,
  admitted: AdmittedRequest,
  engineId: string,
): ClassifiedResponse {
  if (head.id !== admitted.request.id) return { kind: 'mismatched' };
  const verdict = verdictOf(head, engineId);
  if (verdict === 'not-run' || verdict === 'other-instance' || verdict === 'other-weights')
    return { kind: 'rejected', rejection: verdict };
  const isUnusableRest = admitted.inFlight.answerBegan && !isSuccess(status);
  if (verdict === 'doubt' || isUnusableRest) return { kind: 'uncertain' };
  return { kind: status >= 500 ? 'server-error' : 'answer' };
}
