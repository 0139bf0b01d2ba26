/**
 * The operators' HTTP interface to evacuations: which zones are evacuated, what that leaves, and their start and end.
 */

import { errorOrValue } from '../../shared/errors/errors';
import { IncomingRequest } from '../../shared/ports/network';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Engine } from '../../shared/state/engines';
import { httpHandler, sendError, sendJson } from '../../shared/transport/http-handlers';
import { Controller } from '../controller-interface';
import { EvacuationChanges } from './evacuation-changes';
import { evacuatedZones, isZoneUnknown, placesOutside, PoolPlaces } from './evacuation-plan';
import { sendChangeResult, sendOperationError } from './operator-replies';

/** Handles the operators' requests about evacuations. */
export class EvacuationApi {
  constructor(
    private readonly controller: Controller,
    private readonly evacuations: EvacuationChanges,
  ) {}

  /** Gives the evacuated zones, and the places of each pool that are left. */
  @httpHandler('GET', '/v1/evacuations')
  list(call: IncomingRequest): Promise<void> {
    const zones = evacuatedZones(this.controller);
    sendJson(call, 200, { zones, pools: this.placesWithout(zones) });
    return Promise.resolve();
  }

  /** Gives the places of each pool that would be left if a zone were evacuated too. */
  @httpHandler('GET', '/v1/evacuations/:zone')
  preview(call: IncomingRequest, zone: string): Promise<void> {
    if (isZoneUnknown(this.controller, zone)) this.refuse(call);
    else {
      const zones = evacuatedZones(this.controller);
      const evacuated = zones.includes(zone);
      sendJson(call, 200, { zone, evacuated, pools: this.placesWithout([...zones, zone]) });
    }
    return Promise.resolve();
  }

  /** Starts the evacuation of a zone. */
  @httpHandler('PUT', '/v1/evacuations/:zone')
  start(call: IncomingRequest, zone: string): Promise<void> {
    return this.change(call, zone, true);
  }

  /** Finishes the evacuation of a zone. */
  @httpHandler('DELETE', '/v1/evacuations/:zone')
  finish(call: IncomingRequest, zone: string): Promise<void> {
    return this.change(call, zone, false);
  }

  private async change(call: IncomingRequest, zone: string, evacuated: boolean): Promise<void> {
    const { controller } = this;
    if (evacuated && isZoneUnknown(controller, zone)) return this.refuse(call);
    const changed = await this.evacuations.change(call, zone, evacuated);
    const [error, result] = errorOrValue(changed);
    if (error?.code === 'stands') return this.replyStanding(call, zone, evacuated);
    if (error) return sendOperationError(controller, call, error);
    sendChangeResult(call, CONTROL_KEYS.evacuations, result, { zone, evacuated });
  }

  /** Answers a change that was made before: by its place where it is known, and whether it is in effect by now. */
  private async replyStanding(
    call: IncomingRequest,
    zone: string,
    evacuated: boolean,
  ): Promise<void> {
    const { controller } = this;
    const key = CONTROL_KEYS.evacuations;
    const [error, committed] = errorOrValue(await controller.readLinearizable(key));
    if (error) return sendOperationError(controller, call, error);
    if (!committed) return sendJson(call, 200, { zone, evacuated, inEffect: true });
    const { retryPauseMs } = controller.timeLimits;
    const inEffect = await controller.awaitEffect(key, committed, retryPauseMs);
    sendChangeResult(call, key, { place: committed, inEffect }, { zone, evacuated });
  }

  private refuse(call: IncomingRequest): void {
    sendError(call, 400, 'refused', 'bad-zone', 'there is no such zone');
  }

  private placesWithout(zones: readonly string[]): PoolPlaces[] {
    const engines = this.controller.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value ?? [];
    return placesOutside(engines, zones);
  }
}
