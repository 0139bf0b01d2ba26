import { Call, Clock, Listening, Wire } from '../../shared/ports/ports';
import { Bounds } from '../../shared/settings/time-limits';

/** How often it is looked whether calls are under way, as a share of `pause`. */
const LOOK = 0.1;

/** Calls that a process has taken and not answered yet. */
export interface CallCounter {
  /** A wire whose served calls are counted. */
  wire: Wire;
  underWay(): number;
}

/** Counts the calls that are served by a wire. */
export function countCalls(wire: Wire): CallCounter {
  let open = 0;

  function serve(at: string, take: (call: Call) => Promise<void>): ReturnType<Wire['serve']> {
    return wire.serve(at, counted);
    async function counted(call: Call): Promise<void> {
      open++;
      await take(call);
      open--;
    }
  }

  function underWay(): number {
    return open;
  }

  return { wire: { ...wire, serve }, underWay };
}

/** What ending the service of calls needs. */
export interface EndServiceParts {
  clock: Clock;
  bounds: Bounds;
  listening: Listening;
  calls: CallCounter;
}

/** Takes no further connections and comes back once each call that was taken is answered, or that took too long. */
export async function endService(p: EndServiceParts): Promise<void> {
  const closed = p.listening.close();
  const until = p.clock.now() + p.bounds.lastCalls;
  while (p.calls.underWay() > 0 && p.clock.now() < until)
    await p.clock.sleep(p.bounds.pause * LOOK);
  await Promise.race([closed, p.clock.sleep(p.bounds.pause)]);
}
