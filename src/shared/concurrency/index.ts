/**
 * Concurrency: backoff with jitter (`backoff`), work that is done once (`single-flight`), time limits on results
 * (`timeout`), and waits of loops that can be cut short (`waker`).
 */

export { Backoff } from './backoff';
export { makeSingleFlight, SingleFlight } from './single-flight';
export { withTimeout } from './timeout';
export { makeWaker, makeWakerGroup, Waker, WakerGroup } from './waker';
