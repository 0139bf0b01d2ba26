/**
 * Single flight: work that is asked for again while it is in progress is done once.
 */

/** Joins calls for the same work. */
export interface SingleFlight<T> {
  /** Starts the work of an identity, or joins that which is in progress; work without an identity is always started. */
  run: (identity: string | undefined, start: () => Promise<T>) => Promise<T>;
  /** Whether work of an identity is in progress. */
  isInProgress: (identity: string) => boolean;
}

/** Makes an empty set of flights. */
export function makeSingleFlight<T>(): SingleFlight<T> {
  const flights = new Map<string, Promise<T>>();

  function run(identity: string | undefined, start: () => Promise<T>): Promise<T> {
    if (identity === undefined) return start();
    const flight = flights.get(identity);
    if (flight) return flight;
    const result = start();
    flights.set(identity, result);
    void result.finally(onEnd);
    function onEnd(): void {
      flights.delete(identity!);
    }
    return result;
  }

  function isInProgress(identity: string): boolean {
    return flights.has(identity);
  }

  return { run, isInProgress };
}
