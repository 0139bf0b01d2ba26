import { Left } from 'purify-ts';
import { Fault, Outcome } from './errors';
import { Clock } from './ports';

/** Waits for an outcome for `ms` at most, and gives the fault where it is late; what is waited for goes on by itself. */
export function beforeDeadline<T>(
  clock: Clock,
  outcome: Promise<Outcome<T>>,
  ms: number,
  late: Fault,
): Promise<Outcome<T>> {
  function run(done: (o: Outcome<T>) => void): void {
    const cancel = clock.timer(ms, expire);
    function expire(): void {
      done(Left(late));
    }
    function settle(o: Outcome<T>): void {
      cancel();
      done(o);
    }
    void outcome.then(settle);
  }
  return new Promise(run);
}
