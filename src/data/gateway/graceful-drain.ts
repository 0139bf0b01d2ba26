/** How a router leaves: what it still takes once it is told to end, and for how long it waits. */

import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { RawListener } from '../../shared/ports/raw-http';
import { Settings } from '../../shared/settings/settings';
import { StallMonitor } from '../../shared/observability/event-loop-stalls';
import { InFlightRequests } from './in-flight-requests';

/** How much of the grace a drain takes at the most. */
const DRAIN = 0.93;
/** For this share of the grace callers are still sent to a router that leaves, and it takes all that comes. */
const LISTED = 0.3;
/** A router without new connections and requests for this share of `contactMs` is out of the callers' list. */
const QUIET = 0.85;
/** How long, of the grace, the last answers may take to be written after the drain's end. */
const LAST_ANSWERS = 0.02;
/** How long a router that takes no new connections still answers what is on its way on those that it has, as a share of `transitMs`. */
const LINGER = 0.5;
/** The most of the grace that may have passed before a signal is handled. */
const MOST_LATE = 0.5;
/** How often a router that drains looks at itself, as a share of `contactMs`. */
const LOOK = 0.02;

/** The leaving of a router. */
export interface GracefulDrain {
  isDraining: () => boolean;
  /** How long ago this router was told to end, in ms. */
  drainingMs: () => number | undefined;
  /** Whether a request may be taken whose time is over at `until`, in ms of the clock port. */
  admits: (until: number) => boolean;
  /** Whether the drain's time is over: no further attempt begins. */
  isOver: () => boolean;
  /** Begins to leave. */
  begin: () => void;
  /** Comes once nothing is in flight and nothing new comes, or at the end of the drain's time. */
  run: (server: RawListener) => Promise<void>;
  /** Ends the drain, and closes the server; what arrives meanwhile is refused. */
  close: (server: RawListener) => Promise<void>;
}

/** Makes the drain of a router that serves. Its time counts from when the signal may have been sent, which is before it is handled where the process was held up. */
export function makeDrain(
  clock: Clock,
  log: Logger,
  settings: Settings,
  requests: InFlightRequests,
  stalls: StallMonitor,
): GracefulDrain {
  const endsAfterMs = settings.graceMs * DRAIN;
  let began: number | undefined;
  let over = false;

  function isLeaving(): boolean {
    return began !== undefined;
  }

  function leavingMs(): number | undefined {
    return began === undefined ? undefined : clock.now() - began;
  }

  function takes(until: number): boolean {
    if (began === undefined) return true;
    if (over) return false;
    const isListed = clock.now() - began <= settings.graceMs * LISTED;
    return isListed || until <= began + endsAfterMs;
  }

  function isOver(): boolean {
    return over;
  }

  function begin(): void {
    began ??= Math.max(stalls.earliest(), clock.now() - settings.graceMs * MOST_LATE);
  }

  async function run(server: RawListener): Promise<void> {
    begin();
    logStep(server, 'is told to end');
    await untilDrained(server);
    logStep(server, 'has drained');
    over = true;
    answerUnanswered();
  }

  /** Waits until nothing is in flight and nothing comes, also of what had arrived while this process was held up. */
  async function untilDrained(server: RawListener): Promise<void> {
    let seen = server.arrivalCount();
    let quietSince = clock.now();
    while (leavingMs()! < endsAfterMs) {
      await clock.sleep(settings.contactMs * LOOK);
      if (server.arrivalCount() !== seen) quietSince = clock.now();
      seen = server.arrivalCount();
      const quietMs = clock.now() - quietSince;
      if (requests.count() > 0 || quietMs <= settings.contactMs * QUIET) continue;
      await server.readArrived();
      if (server.arrivalCount() === seen) return;
    }
    await server.readArrived();
  }

  async function close(server: RawListener): Promise<void> {
    begin();
    over = true;
    const lingerMs = settings.transitMs * LINGER;
    const cutOff = await server.closeGracefully(lingerMs, settings.graceMs * LAST_ANSWERS);
    for (const request of requests.all()) requests.cutOff(request, 'drain-ended', leavingMs());
    await server.close();
    logStep(server, 'has closed', { cutOff });
  }

  /** Gives up the attempts whose engines have not answered yet, so that their callers get an answer rather than a closed connection. */
  function answerUnanswered(): void {
    for (const request of requests.all()) if (!request.answerBegan) request.abandonAttempt?.();
  }

  function logStep(server: RawListener, what: string, more: object = {}): void {
    const fields = {
      step: 'drain',
      peer: settings.name,
      tookMs: Math.round(leavingMs()!),
      inFlight: requests.count(),
      arrivals: server.arrivalCount(),
      ...more,
    };
    log.notice(fields, what);
  }

  return { isDraining: isLeaving, drainingMs: leavingMs, admits: takes, isOver, begin, run, close };
}
