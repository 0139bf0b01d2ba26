/**
 * Operators' changes of evacuations. An operator goes on to another controller after some silence, and may have the
 * opposite acknowledged there; so a call that is read late must not be made.
 */

import { Left } from 'purify-ts';
import { errorOrValue, failure, Result } from '../../shared/errors/errors';
import { makeStallMonitor, StallMonitor } from '../../shared/observability/event-loop-stalls';
import { IncomingRequest } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { ChangeResult } from '../configuration/change-coordinator';
import { Controller } from '../controller-interface';

/** How often the event loop is looked at, as a ratio of the retry pause. */
const LOOK_INTERVAL_RATIO = 0.5;

/** Makes changes of evacuations for as long as their callers wait for them. */
export class EvacuationChanges {
  private readonly stalls: StallMonitor;

  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
  ) {
    this.stalls = makeStallMonitor(ports.clock, this.lookIntervalMs());
    this.lookLater();
  }

  /**
   * Starts or finishes the evacuation of a zone, on top of the newest committed change. Errors: `late` for a call that
   * may have come before this process stood still, `caller-gone`, `unsettled` where another change came first, and those
   * of changes.
   */
  async change(
    call: IncomingRequest,
    zone: string,
    evacuated: boolean,
  ): Promise<Result<ChangeResult>> {
    if (this.mayBeLate())
      return failure('evacuate', zone, 'this process stood still', 'refused', 'late');
    const reading = this.controller.readLinearizable(CONTROL_KEYS.evacuations);
    const [error, committed] = errorOrValue(await reading);
    if (error) return Left(error);
    if (call.aborted.aborted)
      return failure('evacuate', zone, 'the caller is gone', 'refused', 'caller-gone');
    const basedOn = committed?.number ?? 0;
    const result = await this.controller.change({ kind: 'evacuation', zone, evacuated, basedOn });
    const [changeError] = errorOrValue(result);
    return changeError?.code === 'conflict' ? Left({ ...changeError, code: 'unsettled' }) : result;
  }

  private mayBeLate(): boolean {
    return this.stalls.earliest() < this.ports.clock.now();
  }

  private look(): void {
    this.stalls.look();
    if (!this.controller.isStopped()) this.lookLater();
  }

  private lookLater(): void {
    this.ports.clock.setTimer(this.lookIntervalMs(), this.look.bind(this));
  }

  private lookIntervalMs(): number {
    return this.controller.timeLimits.retryPauseMs * LOOK_INTERVAL_RATIO;
  }
}
