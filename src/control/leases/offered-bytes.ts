/**
 * The bytes of offered changes by their hashes, a bounded number of them, with which hashes are known not to be had.
 */

/** Offers of which the bytes are kept, or known not to be had; the one that was asked for last stands at the end. */
const MAX_OFFERS = 32;

/** The bytes of the offers that were made or asked for last. */
export class OfferedBytes {
  private readonly byHash = new Map<string, Uint8Array | undefined>();

  /** Whether the bytes of a hash are kept, or known not to be had. */
  has(hash: string): boolean {
    return this.byHash.has(hash);
  }

  /** The bytes of a hash; nothing where they are not kept. */
  get(hash: string): Uint8Array | undefined {
    return this.byHash.get(hash);
  }

  /** Keeps the bytes of a hash, or that they are not to be had; the ones that were used longest ago are evicted. */
  keep(hash: string, bytes: Uint8Array | undefined): void {
    this.byHash.delete(hash);
    this.byHash.set(hash, bytes);
    for (const oldest of this.byHash.keys()) {
      if (this.byHash.size <= MAX_OFFERS) return;
      this.byHash.delete(oldest);
    }
  }

  /** Forgets which hashes were not to be had: the versions that they need may be known from now on. */
  forgetMissing(): void {
    for (const [hash, bytes] of this.byHash) if (bytes === undefined) this.byHash.delete(hash);
  }
}
