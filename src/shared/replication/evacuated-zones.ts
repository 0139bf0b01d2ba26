/**
 * The evacuated zones as a follower has heard of them.
 */

import { CONTROL_KEYS } from '../state/control-keys';
import { EvacuationsValue } from '../state/evacuations';
import { Follower } from './follower';

/** Whether a zone's engines are to get nothing more. */
export function isZoneEvacuated(follower: Pick<Follower, 'value'>, zone: string): boolean {
  const applied = follower.value<EvacuationsValue>(CONTROL_KEYS.evacuations);
  return applied?.value.zones.includes(zone) ?? false;
}
