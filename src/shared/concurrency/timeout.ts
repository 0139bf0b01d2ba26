import { failure, Result } from '../errors/errors';
import { Clock } from '../ports/clock';

/** Waits for a result, but not past a time; what comes later is dropped, and its fate is told as unknown. */
export function withTimeout<T>(
  clock: Clock,
  ms: number,
  step: string,
  peer: string,
  result: Promise<Result<T>>,
): Promise<Result<T>> {
  function wait(done: (o: Result<T>) => void): void {
    const off = clock.setTimer(ms, late);
    function late(): void {
      done(failure(step, peer, 'not done in time', 'unknown', 'timeout'));
    }
    function arrived(o: Result<T>): void {
      off();
      done(o);
    }
    void result.then(arrived);
  }
  return new Promise(wait);
}
