/**
 * Permits to send to engines that warm up, as controllers grant them with the leases of routers. One permit stands for
 * one request to its engine in any window of `PERMIT_SPACING_MS`.
 */

/** An engine's id, and how many permits a router has for it at one controller. The form is sent. */
export type PermitGrant = [engine: string, count: number];

/** The window in which a permit serves for one request: a second, in which requests to an engine are bounded, and a tenth for delays between a router's decision and its packets. */
export const PERMIT_SPACING_MS = 1100;

/** A controller's permits, and until when this router may go by them. */
interface ControllerPermits {
  requestedAt: number;
  expiresAt: number;
  counts: ReadonlyMap<string, number>;
}

/** What a controller's grant of a lease says of permits. */
export interface PermitUpdate {
  /** The id of the controller's disk. */
  disk: string;
  /** When the lease was requested and when it expires, in ms of the clock. */
  requestedAt: number;
  expiresAt: number;
  /** All permits of this router at the controller; left out where they are as before. */
  permits?: readonly PermitGrant[];
  /** Whether the controller was told of all keys: then it told of all permits, and none are left out. */
  isComplete: boolean;
}

const NO_PERMITS: ReadonlyMap<string, number> = new Map();

/** The permits that a router holds at all controllers. */
export class HeldPermits {
  private readonly byDisk = new Map<string, ControllerPermits>();
  private isGivenBack = false;

  constructor(private readonly now: () => number) {}

  /** Notes a grant; one that was requested earlier than the last that is known of its controller is passed over. */
  note({ disk, requestedAt, expiresAt, permits, isComplete }: PermitUpdate): void {
    const known = this.byDisk.get(disk);
    if (this.isGivenBack || (known && known.requestedAt > requestedAt)) return;
    const before = isComplete ? NO_PERMITS : (known?.counts ?? NO_PERMITS);
    const counts = permits ? new Map(permits) : before;
    this.byDisk.set(disk, { requestedAt, expiresAt, counts });
  }

  /** How many permits for an engine may be used now. */
  count(engine: string): number {
    const now = this.now();
    let count = 0;
    for (const { expiresAt, counts } of this.byDisk.values())
      if (now < expiresAt) count += counts.get(engine) ?? 0;
    return count;
  }

  /** Gives all permits back; none are taken after that. */
  giveBack(): void {
    this.isGivenBack = true;
    this.byDisk.clear();
  }
}
