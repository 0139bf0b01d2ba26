/** The requests that a router has taken and whose answers have not ended, and what is logged of those that are cut off. */

import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { Settings } from '../../shared/settings/settings';

/** A request on its way through a router. Times are of the clock port, in ms. */
export interface InFlightRequest {
  arrivedAt: number;
  id?: string;
  route?: string;
  /** When its own time and its route's are over. */
  deadlineAt?: number;
  /** The engine of its newest attempt. */
  engine?: string;
  /** Attempts that were sent to engines. */
  attempts: number;
  /** Attempts that were given up since their engine was silent. */
  silentEngines: number;
  /** Whether the caller has the head of an answer. */
  answerBegan: boolean;
  /** Whether it was logged as cut off. */
  isCutOff: boolean;
  /** Ends the attempt that is under way, as if its engine were lost. */
  abandonAttempt?: () => void;
}

/** Why a connection was closed in the middle of an answer. */
export type CutOffCause =
  | 'drain-ended'
  | 'engine-broke-off'
  | 'attempts-used-up'
  | 'no-engine'
  | 'retry-budget'
  | 'time-up';

/** Keeps the requests in flight. */
export interface InFlightRequests {
  add: () => InFlightRequest;
  remove: (request: InFlightRequest) => void;
  count: () => number;
  all: () => Iterable<InFlightRequest>;
  /** Logs once that a request was cut off; `leavingMs` is the time since this router was told to end. */
  cutOff: (request: InFlightRequest, cause: CutOffCause, leavingMs?: number) => void;
}

/** Lines that are logged within `contactMs`; cut-offs beyond them are counted in the next line. */
const MOST_LINES = 20;

/** Makes the set of requests in flight. */
export function trackInFlight(clock: Clock, log: Logger, settings: Settings): InFlightRequests {
  const requests = new Set<InFlightRequest>();
  let windowBegan = -Infinity;
  let lines = 0;
  let unlogged = 0;

  function began(): InFlightRequest {
    const request: InFlightRequest = {
      arrivedAt: clock.now(),
      attempts: 0,
      silentEngines: 0,
      answerBegan: false,
      isCutOff: false,
    };
    requests.add(request);
    return request;
  }

  function ended(request: InFlightRequest): void {
    requests.delete(request);
  }

  function count(): number {
    return requests.size;
  }

  function all(): Iterable<InFlightRequest> {
    return requests;
  }

  /** Whether one more line may be written now. */
  function mayLog(): boolean {
    const now = clock.now();
    if (now - windowBegan > settings.contactMs) {
      windowBegan = now;
      lines = 0;
    }
    return ++lines <= MOST_LINES;
  }

  function cutOff(request: InFlightRequest, cause: CutOffCause, leavingMs?: number): void {
    if (request.isCutOff) return;
    request.isCutOff = true;
    if (!mayLog()) {
      unlogged++;
      return;
    }
    const now = clock.now();
    const fields = {
      step: 'cut off',
      peer: request.engine,
      request: request.id,
      route: request.route,
      cause,
      ageMs: Math.round(now - request.arrivedAt),
      leftMs: request.deadlineAt === undefined ? undefined : Math.round(request.deadlineAt - now),
      attempts: request.attempts,
      silentEngines: request.silentEngines,
      answerBegan: request.answerBegan,
      leavingMs: leavingMs === undefined ? undefined : Math.round(leavingMs),
      unlogged,
    };
    unlogged = 0;
    log.notice(fields, `cut off: ${cause}`);
  }

  return { add: began, remove: ended, count, all, cutOff };
}
