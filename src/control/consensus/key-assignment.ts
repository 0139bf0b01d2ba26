/**
 * Which keys a controller is to own: rendezvous hashing over the controllers that are up gives each key one of them.
 */

import { rankByRendezvousHash } from '../../shared/util/hashing';

/** The keys assigned to one controller; each key is hashed once for as long as the same controllers are up. */
export class KeyAssignment {
  private liveAddresses = '';
  private seenKeys = new Set<string>();
  private assignedKeys = new Set<string>();

  /** `selfAddress` is the address of this controller, as it stands among the live ones. */
  constructor(private readonly selfAddress: string) {}

  /** The keys that are this controller's, of all that were ever given under these live controllers. */
  update(liveAddresses: string[], keys: Iterable<string>): ReadonlySet<string> {
    const joined = liveAddresses.join(' ');
    if (joined !== this.liveAddresses) this.reset(joined);
    for (const key of keys) {
      if (this.seenKeys.has(key)) continue;
      this.seenKeys.add(key);
      if (rankByRendezvousHash(key, liveAddresses)[0] === this.selfAddress)
        this.assignedKeys.add(key);
    }
    return this.assignedKeys;
  }

  private reset(liveAddresses: string): void {
    this.liveAddresses = liveAddresses;
    this.seenKeys = new Set();
    this.assignedKeys = new Set();
  }
}
