/**
 * Handles one request: admission, attempts, and the outcome that its caller gets.
 */

import { RawIncomingRequest } from '../../shared/ports/raw-http';
import { admit } from './admission';
import { AdmittedRequest } from './admitted-request';
import { AttemptsEnd, runAttempts } from './attempts';
import {
  BAD_GATEWAY,
  GATEWAY_TIMEOUT,
  Rejection,
  sendRejection,
  sendUncertain,
} from './error-responses';
import { GatewayDependencies } from './gateway-dependencies';
import { CutOffCause, InFlightRequest } from './in-flight-requests';
import { errorOrValue } from '../../shared/errors/errors';

/** Handles one request; comes once its answer was given to the connection. */
export async function handleRequest(
  gateway: GatewayDependencies,
  call: RawIncomingRequest,
  inFlight: InFlightRequest,
): Promise<void> {
  gateway.counts.received++;
  const [rejection, admitted] = errorOrValue(await admit(gateway, call, inFlight));
  if (rejection) return reject(gateway, call, rejection);
  gateway.budget.recordRequest(admitted.pool);
  const { id } = admitted.request;
  const { isIdempotent } = admitted;
  if (!isIdempotent && gateway.singleRunIds.has(id)) return giveUp(gateway, call, BAD_GATEWAY);
  if (!isIdempotent) gateway.singleRunIds.add(id);
  const end = await runAttempts(gateway, call, admitted);
  if (!isIdempotent) gateway.singleRunIds.delete(id);
  finish(gateway, call, admitted, end);
}

/** Ends a request whose attempts have ended. */
function finish(
  gateway: GatewayDependencies,
  call: RawIncomingRequest,
  admitted: AdmittedRequest,
  { outcome, cause, rejection }: AttemptsEnd,
): void {
  const { counts } = gateway;
  if (outcome === 'answered') counts.answered++;
  else if (outcome === 'caller-gone' || call.aborted.aborted) counts.callersGone++;
  else if (admitted.inFlight.answerBegan) cutOff(gateway, call, admitted.inFlight, cause);
  else if (admitted.mayHaveRun) {
    const isTimeUp = outcome === 'timed-out' || gateway.ports.clock.now() >= admitted.deadlineAt;
    giveUp(gateway, call, isTimeUp ? GATEWAY_TIMEOUT : BAD_GATEWAY);
  } else reject(gateway, call, rejection);
}

/** Rejects what has not run and never will. */
function reject(
  gateway: GatewayDependencies,
  call: RawIncomingRequest,
  rejection: Rejection,
): void {
  gateway.counts.rejected++;
  sendRejection(call, rejection);
}

/** Gives up what may have run. */
function giveUp(gateway: GatewayDependencies, call: RawIncomingRequest, status: number): void {
  gateway.counts.unknown++;
  sendUncertain(call, status);
}

/** Closes the connection of an answer that has begun and can't be completed. */
function cutOff(
  gateway: GatewayDependencies,
  call: RawIncomingRequest,
  inFlight: InFlightRequest,
  cause: CutOffCause,
): void {
  gateway.counts.unknown++;
  gateway.inFlight.cutOff(inFlight, cause, gateway.drain.drainingMs());
  call.destroy();
}
