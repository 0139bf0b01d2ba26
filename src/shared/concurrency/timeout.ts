/**
 * Time limits on results.
 */

import { failure, Result } from '../errors/errors';
import { Clock } from '../ports/clock';

/** Waits for a result, but no longer than `timeoutMs`: then it is the error `timeout`, of unknown effect, and what comes later is dropped. */
export function withTimeout<T>(
  clock: Clock,
  timeoutMs: number,
  step: string,
  peer: string,
  result: Promise<Result<T>>,
): Promise<Result<T>> {
  function run(resolve: (result: Result<T>) => void): void {
    const cancelTimer = clock.setTimer(timeoutMs, onTimeout);
    function onTimeout(): void {
      resolve(failure(step, peer, 'not done in time', 'unknown', 'timeout'));
    }
    function onResult(inTime: Result<T>): void {
      cancelTimer();
      resolve(inTime);
    }
    void result.then(onResult);
  }
  return new Promise(run);
}
