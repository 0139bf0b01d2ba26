/**
 * Graceful drain: what a router still takes once it is told to end, and for how long it waits for what it took.
 */

import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { RawListener } from '../../shared/ports/raw-http';
import { Settings } from '../../shared/settings/settings';
import { StallMonitor } from '../../shared/observability/event-loop-stalls';
import { InFlightRequests } from './in-flight-requests';

/** The share of the grace that a drain takes at the most. */
const MAX_DRAIN_RATIO = 0.93;
/** For this share of the grace callers are still sent to a router that drains, and it takes all that comes. */
const STILL_LISTED_RATIO = 0.3;
/** A router without new connections and requests for this share of `contactMs` is out of the callers' list. */
const QUIET_RATIO = 0.85;
/** How long the last answers may take to be written after the drain's end, as a share of the grace. */
const LAST_ANSWERS_RATIO = 0.02;
/** How long a router that takes no new connections still answers what is on its way on those that it has, as a share of `transitMs`. */
const LINGER_RATIO = 0.5;
/** The share of the grace that may have passed at the most before a signal is handled. */
const MAX_SIGNAL_DELAY_RATIO = 0.5;
/** How often a router that drains looks at itself, as a share of `contactMs`. */
const POLL_RATIO = 0.02;

/** The drain of a router that serves. Its time counts from when the signal may have been sent, which is before it is handled where the process was held up. */
export class GracefulDrain {
  private readonly maxDrainMs: number;
  private startedAt: number | undefined;
  private hasEnded = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly settings: Settings,
    private readonly requests: InFlightRequests,
    private readonly stalls: StallMonitor,
  ) {
    this.maxDrainMs = settings.graceMs * MAX_DRAIN_RATIO;
  }

  /** Whether the router was told to end. */
  isDraining(): boolean {
    return this.startedAt !== undefined;
  }

  /** How long ago this router was told to end, in ms. */
  drainingMs(): number | undefined {
    return this.startedAt === undefined ? undefined : this.clock.now() - this.startedAt;
  }

  /** Whether a request is taken whose time is over at `deadlineAt`, in ms of the clock port. */
  admits(deadlineAt: number): boolean {
    if (this.startedAt === undefined) return true;
    if (this.hasEnded) return false;
    const isListed =
      this.clock.now() - this.startedAt <= this.settings.graceMs * STILL_LISTED_RATIO;
    return isListed || deadlineAt <= this.startedAt + this.maxDrainMs;
  }

  /** Whether the drain's time is over: no further attempt begins. */
  isOver(): boolean {
    return this.hasEnded;
  }

  /** Begins to drain. */
  begin(): void {
    this.startedAt ??= Math.max(
      this.stalls.earliest(),
      this.clock.now() - this.settings.graceMs * MAX_SIGNAL_DELAY_RATIO,
    );
  }

  /** Comes once nothing is in flight and nothing new comes, or at the end of the drain's time. */
  async run(server: RawListener): Promise<void> {
    this.begin();
    this.log(server, 'drain.started', 'is told to end');
    await this.untilDrained(server);
    this.log(server, 'drain.finished', 'has drained');
    this.hasEnded = true;
    this.abandonUnanswered();
  }

  /** Ends the drain, and closes the server; what arrives meanwhile is refused. */
  async close(server: RawListener): Promise<void> {
    this.begin();
    this.hasEnded = true;
    const { transitMs, graceMs } = this.settings;
    const cutOff = await server.closeGracefully(
      transitMs * LINGER_RATIO,
      graceMs * LAST_ANSWERS_RATIO,
    );
    for (const request of this.requests.all())
      this.requests.cutOff(request, 'drain-ended', this.drainingMs());
    await server.close();
    this.log(server, 'drain.closed', 'has closed', { cutOff });
  }

  /** Waits until nothing is in flight and nothing comes, also of what had arrived while this process was held up. */
  private async untilDrained(server: RawListener): Promise<void> {
    const { clock, settings } = this;
    let arrivals = server.arrivalCount();
    let quietSince = clock.now();
    while (this.drainingMs()! < this.maxDrainMs) {
      await clock.sleep(settings.contactMs * POLL_RATIO);
      if (server.arrivalCount() !== arrivals) quietSince = clock.now();
      arrivals = server.arrivalCount();
      const quietMs = clock.now() - quietSince;
      if (this.requests.count() > 0 || quietMs <= settings.contactMs * QUIET_RATIO) continue;
      await server.readArrived();
      if (server.arrivalCount() === arrivals) return;
    }
    await server.readArrived();
  }

  /** Gives up the attempts whose engines have not answered yet, so that their callers get an answer rather than a closed connection. */
  private abandonUnanswered(): void {
    for (const request of this.requests.all()) if (!request.answerBegan) request.abandonAttempt?.();
  }

  private log(server: RawListener, event: string, text: string, more: object = {}): void {
    const fields = {
      event,
      peer: this.settings.name,
      tookMs: Math.round(this.drainingMs()!),
      inFlight: this.requests.count(),
      arrivals: server.arrivalCount(),
      ...more,
    };
    this.logger.notice(fields, text);
  }
}
