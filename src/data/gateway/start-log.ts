/**
 * Logs when a router first takes requests, and what it lacks as long as it does not.
 */

import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { Settings } from '../../shared/settings/settings';
import { ServingState } from './serving-state';

/** Logs the start of one router. */
export class StartLog {
  private readonly startedAt: number;
  private lastLoggedAt: number;
  private hasStarted = false;

  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly settings: Settings,
    private readonly state: ServingState,
  ) {
    this.startedAt = clock.now();
    this.lastLoggedAt = this.startedAt;
  }

  /** Is to be called now and then until the router serves. */
  update(): void {
    if (this.hasStarted) return;
    const now = this.clock.now();
    const fields = { peer: this.settings.name, tookMs: Math.round(now - this.startedAt) };
    this.hasStarted = this.state.canServe();
    if (this.hasStarted) {
      this.logger.notice({ event: 'gateway.started', ...fields }, 'takes requests');
    } else if (now - this.lastLoggedAt > this.settings.contactMs) {
      this.lastLoggedAt = now;
      const missing = this.state.missing().join(', ');
      this.logger.notice(
        { event: 'gateway.not-ready', ...fields },
        `takes no requests yet: lacks ${missing}`,
      );
    }
  }
}
