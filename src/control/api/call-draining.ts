import { IncomingRequest, Listener, Network } from '../../shared/ports/network';
import { Clock } from '../../shared/ports/clock';
import { TimeLimits } from '../../shared/settings/time-limits';

/** How often it is looked whether calls are under way, as a share of `pause`. */
const LOOK = 0.1;

/** Calls that a process has taken and not answered yet. */
export interface CallCounter {
  /** A wire whose served calls are counted. */
  network: Network;
  inFlight: () => number;
}

/** Counts the calls that are served by a wire. */
export function countCalls(wire: Network): CallCounter {
  let open = 0;

  function serve(
    at: string,
    take: (call: IncomingRequest) => Promise<void>,
  ): ReturnType<Network['serveHttp']> {
    return wire.serveHttp(at, counted);
    async function counted(call: IncomingRequest): Promise<void> {
      open++;
      await take(call);
      open--;
    }
  }

  function underWay(): number {
    return open;
  }

  return { network: { ...wire, serveHttp: serve }, inFlight: underWay };
}

/** What ending the service of calls needs. */
export interface CallDrainingDependencies {
  clock: Clock;
  timeLimits: TimeLimits;
  listener: Listener;
  calls: CallCounter;
}

/** Takes no further connections and comes back once each call that was taken is answered, or that took too long. */
export async function drainCalls(p: CallDrainingDependencies): Promise<void> {
  const closed = p.listener.close();
  const until = p.clock.now() + p.timeLimits.callDrainTimeoutMs;
  while (p.calls.inFlight() > 0 && p.clock.now() < until)
    await p.clock.sleep(p.timeLimits.retryPauseMs * LOOK);
  await Promise.race([closed, p.clock.sleep(p.timeLimits.retryPauseMs)]);
}
