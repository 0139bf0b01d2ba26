/**
 * What an evacuation would leave: which zones there are, and the share of each pool's places outside a zone.
 */

import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Engine } from '../../shared/state/engines';
import { EvacuationsValue } from '../../shared/state/evacuations';
import { Controller } from '../controller-interface';

/** Requests at once of an engine whose batch is not told. */
const UNKNOWN_BATCH = 1;

/** The places of a pool: all of them, and those that are left to requests. The field names are sent to operators. */
export interface PoolPlaces {
  pool: string;
  places: number;
  left: number;
}

/** The evacuated zones as this controller has learned them. */
export function evacuatedZones(controller: Controller): string[] {
  return controller.committedValue<EvacuationsValue>(CONTROL_KEYS.evacuations)?.value.zones ?? [];
}

/**
 * Whether a zone is certainly none of this cluster: neither the settings nor the engines name it, and it is not
 * evacuated. Before the engines are listed no zone is certain to be unknown.
 */
export function isZoneUnknown(controller: Controller, zone: string): boolean {
  const engines = controller.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value;
  if (!engines) return false;
  function isThere(engine: Engine): boolean {
    return engine.zone === zone;
  }
  const isNamed = Object.hasOwn(controller.settings.zones, zone);
  return !isNamed && !engines.some(isThere) && !evacuatedZones(controller).includes(zone);
}

/** The places of each pool while some zones are evacuated; engines that leave have none. */
export function placesOutside(
  engines: readonly Engine[],
  evacuated: readonly string[],
): PoolPlaces[] {
  const byPool = new Map<string, PoolPlaces>();
  for (const { pool: listed, model, batch = UNKNOWN_BATCH, leaving, zone } of engines) {
    if (leaving) continue;
    const pool = listed ?? model;
    const before = byPool.get(pool) ?? { pool, places: 0, left: 0 };
    const left = evacuated.includes(zone) ? 0 : batch;
    byPool.set(pool, { pool, places: before.places + batch, left: before.left + left });
  }
  return [...byPool.values()];
}
