/**
 * One simulated process on a machine of its own.
 */

/** One simulated process on a machine of its own. */
export interface Proc {
  name: string;
  ip: string;
  life: number;
  alive: boolean;
  powered: boolean;
  frozen: boolean;
  stood: number;
  stoodFrom?: number;
  wallOff: number;
  held: (() => void)[];
  disturbedAt?: number;
  files: Map<string, Uint8Array>;
  disk: {
    slow: number;
    full: boolean;
    /** Writes that there is still room for. */
    room: number;
    stalled: boolean;
    waiting: (() => void)[];
    inFlight: Set<() => void>;
  };
}
