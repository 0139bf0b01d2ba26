/**
 * Processes that hold a lease at the core.
 */

import { RandomSource } from '../ports/random';
import { Settings } from '../settings/settings';

/** A process that holds a lease at the core. */
export interface Member {
  name: string;
  role: string;
  at: string;
  http: string;
  zone: string;
  life: string;
}

/** Characters of the id of one run of a process. */
const RUN_ID_CHARACTERS = 8;

/** Draws the id of one run of a process. */
export function drawRunId(random: RandomSource): string {
  return random.uuid().slice(0, RUN_ID_CHARACTERS);
}

/** A process as a member, by its settings. */
export function memberOf(settings: Settings, role: string, life: string): Member {
  const { name, wire, http, zone } = settings;
  return { name, role, at: wire, http, zone, life };
}

/** Identifies one run of a process: its name, and the id that it took when it started. Part of the message format. */
export function incarnationOf(member: Member): string {
  return `${member.name} ${member.life}`;
}
