/** How a router leaves: what it still takes once it is told to end, and for how long it waits. */

import { Clock, Log, RawListening } from '../../shared/ports';
import { Settings } from '../../shared/settings';
import { InFlight } from './in-flight';

/** How much of the grace a drain takes at the most. */
const DRAIN = 0.93;
/** For this share of the grace callers are still sent to a router that leaves, and it takes all that comes. */
const LISTED = 0.3;
/** A router without new connections and requests for this share of `contactMs` is out of the callers' list. */
const QUIET = 0.85;
/** How often a router that drains looks at itself, as a share of `contactMs`. */
const LOOK = 0.02;

/** The leaving of a router. */
export interface Drain {
  isLeaving(): boolean;
  /** How long ago this router was told to end, in ms. */
  leavingMs(): number | undefined;
  /** Whether a request may be taken whose time is over at `until`, in ms of the clock port. */
  takes(until: number): boolean;
  /** Begins to leave. */
  begin(): void;
  /** Comes once nothing is in flight and nothing new comes, or at the end of the drain's time. */
  run(server: RawListening): Promise<void>;
}

/** Makes the drain of a router that serves. */
export function makeDrain(clock: Clock, log: Log, settings: Settings, requests: InFlight): Drain {
  let began: number | undefined;

  function isLeaving(): boolean {
    return began !== undefined;
  }

  function leavingMs(): number | undefined {
    return began === undefined ? undefined : clock.now() - began;
  }

  function takes(until: number): boolean {
    if (began === undefined) return true;
    const isListed = clock.now() - began <= settings.graceMs * LISTED;
    return isListed || until <= began + settings.graceMs * DRAIN;
  }

  function begin(): void {
    began ??= clock.now();
  }

  async function run(server: RawListening): Promise<void> {
    begin();
    logStep(server, 'is told to end');
    let seen = server.arrivals();
    let quietSince = clock.now();
    while (leavingMs()! < settings.graceMs * DRAIN) {
      await clock.sleep(settings.contactMs * LOOK);
      if (server.arrivals() !== seen) quietSince = clock.now();
      seen = server.arrivals();
      const quietMs = clock.now() - quietSince;
      if (requests.count() === 0 && quietMs > settings.contactMs * QUIET) break;
    }
    logStep(server, 'has drained');
    for (const request of requests.all()) requests.cutOff(request, 'drain-ended', leavingMs());
  }

  function logStep(server: RawListening, what: string): void {
    const fields = {
      step: 'drain',
      peer: settings.name,
      tookMs: Math.round(leavingMs()!),
      inFlight: requests.count(),
      arrivals: server.arrivals(),
    };
    log.notice(fields, what);
  }

  return { isLeaving, leavingMs, takes, begin, run };
}
