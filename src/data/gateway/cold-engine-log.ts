/**
 * Log lines of engines that are taken as cold, and of what is held back from them.
 */

import { Clock } from '../../shared/ports/clock';
import { Logger } from '../../shared/ports/logger';
import { WarmUpCounts } from './warm-up-limit';

/** Why an engine is taken as cold. */
export type ColdReason = 'listed' | 'evacuation-ended' | 'unreachable' | 'reported' | 'returned';

/** The log of one router. */
export class ColdEngineLog {
  private logged: WarmUpCounts = { coldSends: 0, coldExclusions: 0 };
  private loggedAt = -Infinity;

  /** Counts are logged once in `intervalMs` at the most. */
  constructor(
    private readonly clock: Clock,
    private readonly logger: Logger,
    private readonly intervalMs: number,
  ) {}

  /** Notes that an engine is taken as cold, and for how long where that is known. */
  noteCold(engine: string, reason: ColdReason, forMs?: number): void {
    const fields = { event: 'engine.cold', peer: engine, reason, forMs };
    this.logger.info(fields, 'it gets requests only under permits');
  }

  /** Logs what was sent to cold engines and held back from them since the last line. */
  noteCounts({ coldSends, coldExclusions }: WarmUpCounts): void {
    const now = this.clock.now();
    if (now - this.loggedAt < this.intervalMs) return;
    const sent = coldSends - this.logged.coldSends;
    const heldBack = coldExclusions - this.logged.coldExclusions;
    if (sent === 0 && heldBack === 0) return;
    this.loggedAt = now;
    this.logged = { coldSends, coldExclusions };
    const fields = { event: 'engine.cold-requests', sent, heldBack };
    this.logger.info(fields, `${sent} requests to cold engines, ${heldBack} held back`);
  }
}
