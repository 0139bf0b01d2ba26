/**
 * The requests that a router has taken and whose answers have not ended, and the log of those that are cut off.
 */

import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { Settings } from '../../shared/settings/settings';

/** A request on its way through a router. Times are ms of the clock port. */
export interface InFlightRequest {
  arrivedAt: number;
  id?: string;
  route?: string;
  /** When its own time-out or its route's is over. */
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

/** Why a connection was closed in the middle of an answer; it is logged. */
export type CutOffCause =
  | 'drain-ended'
  | 'engine-broke-off'
  | 'attempts-used-up'
  | 'no-engine'
  | 'retry-budget'
  | 'time-up';

/** Lines of one event that are logged within `contactMs`, or at once; what is beyond them is counted in the other lines. */
export const MAX_LOG_LINES = 20;

function rounded(ms: number | undefined): number | undefined {
  return ms === undefined ? undefined : Math.round(ms);
}

/** Keeps the requests in flight, and logs those that are cut off. */
export class InFlightRequests {
  private readonly requests = new Set<InFlightRequest>();
  private logWindowStartedAt = -Infinity;
  private linesInWindow = 0;
  private unlogged = 0;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly settings: Settings,
  ) {}

  /** Adds a request that has arrived now. */
  add(): InFlightRequest {
    const request: InFlightRequest = {
      arrivedAt: this.clock.now(),
      attempts: 0,
      silentEngines: 0,
      answerBegan: false,
      isCutOff: false,
    };
    this.requests.add(request);
    return request;
  }

  /** Removes a request whose answer has been written out. */
  remove(request: InFlightRequest): void {
    this.requests.delete(request);
  }

  /** How many there are. */
  count(): number {
    return this.requests.size;
  }

  /** All of them. */
  all(): Iterable<InFlightRequest> {
    return this.requests;
  }

  /** Logs once that a request was cut off; `drainingMs` is the time since this router began to drain. */
  cutOff(request: InFlightRequest, cause: CutOffCause, drainingMs?: number): void {
    if (request.isCutOff) return;
    request.isCutOff = true;
    if (!this.mayLog()) {
      this.unlogged++;
      return;
    }
    const now = this.clock.now();
    const { deadlineAt } = request;
    const fields = {
      event: 'request.cut-off',
      peer: request.engine,
      request: request.id,
      route: request.route,
      cause,
      ageMs: Math.round(now - request.arrivedAt),
      leftMs: rounded(deadlineAt === undefined ? undefined : deadlineAt - now),
      attempts: request.attempts,
      silentEngines: request.silentEngines,
      answerBegan: request.answerBegan,
      leavingMs: rounded(drainingMs),
      unlogged: this.unlogged,
    };
    this.unlogged = 0;
    this.logger.notice(fields, `cut off: ${cause}`);
  }

  /** Whether one more line may be written now. */
  private mayLog(): boolean {
    const now = this.clock.now();
    if (now - this.logWindowStartedAt > this.settings.contactMs) {
      this.logWindowStartedAt = now;
      this.linesInWindow = 0;
    }
    return ++this.linesInWindow <= MAX_LOG_LINES;
  }
}
