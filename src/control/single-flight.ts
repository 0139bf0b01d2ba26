/** Work that is asked for again while it is under way, and is done once. */

import { Clock } from '../shared/ports';

/** Joins calls for the same work. */
export interface SingleFlight<T> {
  /** Starts the work of an identity, or joins that which is under way; work without an identity is always started. */
  run(identity: string | undefined, start: () => Promise<T>): Promise<T>;
  /** For how many ms the work of an identity is under way; undefined where it is not. */
  underWayForMs(identity: string): number | undefined;
}

interface Flight<T> {
  beganAt: number;
  result: Promise<T>;
}

/** Makes an empty set of flights. */
export function makeSingleFlight<T>(clock: Clock): SingleFlight<T> {
  const flights = new Map<string, Flight<T>>();

  function run(identity: string | undefined, start: () => Promise<T>): Promise<T> {
    if (identity === undefined) return start();
    const flight = flights.get(identity);
    if (flight) return flight.result;
    const result = start();
    flights.set(identity, { beganAt: clock.now(), result });
    void result.finally(over);
    function over(): void {
      flights.delete(identity!);
    }
    return result;
  }

  function underWayForMs(identity: string): number | undefined {
    const flight = flights.get(identity);
    return flight && clock.now() - flight.beganAt;
  }

  return { run, underWayForMs };
}
