/**
 * How the permits for an engine are shared out: among the voters by number, and among routers by rendezvous hashing,
 * those in the engine's zone first. A permit moves only where its router has gone, or a router that ranks higher has come.
 */

import { Engine } from '../../shared/state/engines';
import { incarnationOf, Member } from '../../shared/state/members';
import { sha256Hex } from '../../shared/util/hashing';

/** How many permits for each router of an engine's zone come before those for other zones: what crosses zones costs. */
const PERMITS_PER_ZONE_ROUTER = 2;
/** The part of each voter's permits that is left to routers of other zones: theirs may be the only engine of its pool. */
const OTHER_ZONES_RATIO = 0.3;
/** Voters that may grant without being counted: one that was replaced and does not know it yet. */
const UNCOUNTED_VOTERS = 1;
const HASH_HEX_DIGITS = 8;

/** The place of a voter among all voters. */
export interface VoterPlace {
  disk: string;
  /** In the order of the disks' ids. */
  index: number;
  count: number;
}

/** How many permits for one engine each voter may grant, of what all routers together may send to it in a second. */
export function quotaOf(requestsPerS: number, voterCount: number): number {
  return Math.max(0, Math.floor(requestsPerS / (voterCount + UNCOUNTED_VOTERS)));
}

/** Shares permits out; keeps the hashes of names, since they are what costs. */
export class PermitShares {
  private readonly hashes = new Map<string, number>();

  /** The permits that a voter should grant of its quota for an engine, by the incarnations of routers. */
  share(
    engine: Engine,
    routers: readonly Member[],
    quota: number,
    place: VoterPlace,
  ): Map<string, number> {
    const inZone = routers.filter(isInZone);
    const elsewhere = routers.filter(isElsewhere);
    function isInZone({ zone }: Member): boolean {
      return zone === engine.zone;
    }
    function isElsewhere({ zone }: Member): boolean {
      return zone !== engine.zone;
    }
    const zonePermits = Math.min(
      inZone.length * PERMITS_PER_ZONE_ROUTER - place.index * quota,
      quota - Math.floor(quota * OTHER_ZONES_RATIO),
    );
    const shares = new Map<string, number>();
    for (let i = 0; i < quota; i++) {
      const isForZone = i < zonePermits || elsewhere.length === 0;
      const router = this.firstOf(isForZone ? inZone : elsewhere, engine.id, place.disk, i);
      if (!router) break;
      const incarnation = incarnationOf(router);
      shares.set(incarnation, (shares.get(incarnation) ?? 0) + 1);
    }
    return shares;
  }

  /** Forgets all hashes of names but these. */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.hashes.keys()) if (!names.has(name)) this.hashes.delete(name);
  }

  /** The router that ranks first for one permit; routers rank by name, so that one keeps its permits when it starts again. */
  private firstOf(
    routers: readonly Member[],
    engine: string,
    disk: string,
    permit: number,
  ): Member | undefined {
    const permitHash = mix(this.hashOf(engine) ^ mix(this.hashOf(disk) + permit));
    let first: Member | undefined;
    let firstScore = -1;
    for (const router of routers) {
      const score = mix(permitHash ^ this.hashOf(router.name));
      if (score <= firstScore) continue;
      first = router;
      firstScore = score;
    }
    return first;
  }

  private hashOf(name: string): number {
    const known = this.hashes.get(name);
    if (known !== undefined) return known;
    const hash = parseInt(sha256Hex(name).slice(0, HASH_HEX_DIGITS), 16);
    this.hashes.set(name, hash);
    return hash;
  }
}

/** Mixes the bits of a 32-bit number: the finalizer of MurmurHash3. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
