/**
 * Processes that hold a lease at the core.
 */

/** A process that holds a lease at the core. */
export interface Member {
  name: string;
  role: string;
  at: string;
  http: string;
  zone: string;
  life: string;
}

/** Identifies one run of a process: its name, and the id that it took when it started. Part of the message format. */
export function incarnationOf(member: Member): string {
  return `${member.name} ${member.life}`;
}
