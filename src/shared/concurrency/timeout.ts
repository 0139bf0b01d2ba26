import { bad, Outcome } from '../errors/errors';
import { Clock } from '../ports/ports';

/** Waits for a result, but not past a time; what comes later is dropped, and its fate is told as unknown. */
export function withTimeout<T>(
  clock: Clock,
  ms: number,
  step: string,
  peer: string,
  result: Promise<Outcome<T>>,
): Promise<Outcome<T>> {
  function wait(done: (o: Outcome<T>) => void): void {
    const off = clock.timer(ms, late);
    function late(): void {
      done(bad(step, peer, 'not done in time', 'unknown', 'timeout'));
    }
    function arrived(o: Outcome<T>): void {
      off();
      done(o);
    }
    void result.then(arrived);
  }
  return new Promise(wait);
}
