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
