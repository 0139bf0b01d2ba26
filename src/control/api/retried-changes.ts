/**
 * Changes and reads for operators who speak a platform's dialect: tried again while their caller waits, and answered
 * before it goes on to another controller.
 */

import { withTimeout } from '../../shared/concurrency/timeout';
import { errorOrValue, OperationError, Result } from '../../shared/errors/errors';
import { IncomingRequest } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { sendError } from '../../shared/transport/http-handlers';
import { ChangeResult } from '../configuration/change-coordinator';
import { Operation } from '../configuration/operations';
import { Controller } from '../controller-interface';
import { replyTimeoutMs } from './reply-timeout';

/** The pause before a change is tried again, as ratios of the retry pause: the shortest, and the random spread. */
const MIN_RETRY_RATIO = 0.3;
const RETRY_SPREAD_RATIO = 0.4;

/** The codes of errors that the same change would meet again. */
const FINAL_CODES: ReadonlySet<string> = new Set([
  'stands',
  'conflict',
  'bad-deployment',
  'forgotten',
]);

/** Makes one attempt at a change. */
type ChangeAttempt = () => Promise<Result<ChangeResult>>;

/** Makes changes for operators, and sends their errors. */
export class RetriedChanges {
  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
  ) {}

  /** Makes a change. One that stands already succeeds: it was made before, or by another. */
  change(operation: Operation): Promise<OperationError | undefined> {
    return this.run(this.controller.change.bind(undefined, operation));
  }

  /** The same for a change that `attempt` makes. */
  async run(attempt: ChangeAttempt): Promise<OperationError | undefined> {
    const [error] = errorOrValue(await this.inTime('change', this.changeWithRetries(attempt)));
    return error?.code === 'stands' ? undefined : error;
  }

  /** The result, or an error of unknown effect once the caller no longer waits. */
  inTime<T>(step: string, result: Promise<Result<T>>): Promise<Result<T>> {
    const { name } = this.controller;
    return withTimeout(
      this.ports.clock,
      replyTimeoutMs(this.controller.settings),
      step,
      name,
      result,
    );
  }

  /** Sends an error: 412 for a conflict, 400 for a faulty document, 503 with the time to wait for everything else. */
  sendError(call: IncomingRequest, error: OperationError): void {
    const { code, certainty, reason } = error;
    if (code === 'conflict') return sendError(call, 412, 'refused', code, reason);
    if (code === 'bad-deployment') return sendError(call, 400, 'refused', code, reason);
    const message = `${error.step} at ${error.peer}: ${reason}`;
    const { retryPauseMs } = this.controller.timeLimits;
    sendError(call, 503, certainty, code ?? 'unknown', message, retryPauseMs);
  }

  /** Makes a change; one of unknown effect is made again, since one that was committed is recognized. */
  private async changeWithRetries(attempt: ChangeAttempt): Promise<Result<ChangeResult>> {
    const { clock, random } = this.ports;
    const { retryPauseMs } = this.controller.timeLimits;
    const retryUntil = clock.now() + replyTimeoutMs(this.controller.settings);
    for (;;) {
      const result = await attempt();
      const [error] = errorOrValue(result);
      if (!error || isFinal(error) || clock.now() + retryPauseMs > retryUntil) return result;
      const pauseRatio = MIN_RETRY_RATIO + RETRY_SPREAD_RATIO * random.next();
      await clock.sleep(retryPauseMs * pauseRatio);
    }
  }
}

/** Whether the same change would meet the same error again. */
function isFinal(error: OperationError): boolean {
  return FINAL_CODES.has(error.code ?? '');
}
