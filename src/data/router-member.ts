/**
 * What a router is in the fleet's membership.
 */

import { Ports } from '../shared/ports/ports';
import { Settings } from '../shared/settings/settings';
import { Member } from '../shared/state/members';

/** Characters of an incarnation's id. */
const INCARNATION_LENGTH = 8;

/** A router as a member, in this incarnation of its process. */
export function routerMember(ports: Ports, settings: Settings): Member {
  return {
    name: settings.name,
    role: 'router',
    at: settings.wire,
    http: settings.http,
    zone: settings.zone,
    life: ports.random.uuid().slice(0, INCARNATION_LENGTH),
  };
}
