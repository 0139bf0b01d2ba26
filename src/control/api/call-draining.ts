/**
 * Draining of HTTP calls: a process that stops answers the calls that it has accepted.
 */

import { IncomingRequest, Listener, Network } from '../../shared/ports/network';
import { Clock } from '../../shared/ports/clock';
import { TimeLimits } from '../../shared/settings/time-limits';

/** How often it is looked whether calls are in flight, as a ratio of the retry pause. */
const POLL_INTERVAL_RATIO = 0.1;

/** Counts the calls that a process has accepted and not answered yet. */
export interface CallCounter {
  /** A network whose served calls are counted. */
  network: Network;
  /** How many calls are in flight. */
  inFlight: () => number;
}

/** Makes a counter of the calls that are served by a network. */
export function countCalls(network: Network): CallCounter {
  let inFlightCount = 0;

  function serveHttp(
    address: string,
    handle: (call: IncomingRequest) => Promise<void>,
  ): ReturnType<Network['serveHttp']> {
    async function handleCounted(call: IncomingRequest): Promise<void> {
      inFlightCount++;
      await handle(call);
      inFlightCount--;
    }
    return network.serveHttp(address, handleCounted);
  }

  function inFlight(): number {
    return inFlightCount;
  }

  return { network: { ...network, serveHttp }, inFlight };
}

/** What draining calls needs. */
export interface CallDrainingDependencies {
  clock: Clock;
  timeLimits: TimeLimits;
  listener: Listener;
  calls: CallCounter;
}

/** Accepts no further connections; resolves once each accepted call is answered, or the drain time-out is over. */
export async function drainCalls(dependencies: CallDrainingDependencies): Promise<void> {
  const { clock, timeLimits, listener, calls } = dependencies;
  const closed = listener.close();
  const drainUntil = clock.now() + timeLimits.callDrainTimeoutMs;
  while (calls.inFlight() > 0 && clock.now() < drainUntil)
    await clock.sleep(timeLimits.retryPauseMs * POLL_INTERVAL_RATIO);
  await Promise.race([closed, clock.sleep(timeLimits.retryPauseMs)]);
}
