/**
 * The log of requests that a router still has after their time is over, and of whom they wait for.
 */

import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { Settings } from '../../shared/settings/settings';
import { InFlightRequest, InFlightRequests, MAX_LOG_LINES } from './in-flight-requests';

/** How long after its time a request counts as overdue, as a ratio of `transitMs`. */
const OVERDUE_RATIO = 2;

/** Whom an overdue request waits for: the engine of its newest attempt, or its caller, who has not read the answer yet. */
type AwaitedPeer = 'engine' | 'caller';

function awaitedPeer({ abandonAttempt }: InFlightRequest): AwaitedPeer {
  return abandonAttempt ? 'engine' : 'caller';
}

/** Logs each overdue request of a router once. */
export class OverdueRequestLog {
  private readonly logged = new WeakSet<InFlightRequest>();

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly settings: Settings,
    private readonly inFlight: InFlightRequests,
  ) {}

  /** Is to be called now and then. */
  update(): void {
    const overdue = this.newlyOverdue();
    const unlogged = Math.max(0, overdue.length - MAX_LOG_LINES);
    for (const request of overdue.slice(0, MAX_LOG_LINES)) this.log(request, unlogged);
  }

  private newlyOverdue(): InFlightRequest[] {
    const overdue: InFlightRequest[] = [];
    const before = this.clock.now() - this.settings.transitMs * OVERDUE_RATIO;
    for (const request of this.inFlight.all()) {
      const { deadlineAt } = request;
      if (deadlineAt === undefined || deadlineAt > before || this.logged.has(request)) continue;
      this.logged.add(request);
      overdue.push(request);
    }
    return overdue;
  }

  private log(request: InFlightRequest, unlogged: number): void {
    const { attempts, answerBegan, deadlineAt, engine, id, route } = request;
    const awaits = awaitedPeer(request);
    const fields = {
      event: 'request.overdue',
      peer: engine,
      request: id,
      route,
      awaits,
      overdueMs: Math.round(this.clock.now() - (deadlineAt ?? 0)),
      attempts,
      answerBegan,
      unlogged,
    };
    this.logger.notice(fields, `its time is over, and it still waits for its ${awaits}`);
  }
}
