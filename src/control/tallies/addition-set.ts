/**
 * The grow-only set of additions that one controller knows, and the totals that it gives. Sets of several controllers
 * merge by union, in any order and any number of times.
 */

import { shortHash } from '../../shared/util/hashing';
import { Addition, AdditionRun, additionsOf, toRuns } from './addition';
import { EMPTY_DIGEST, ReplicaAdditions } from './replica-additions';

/** The digest of one replica's additions. */
export interface ReplicaDigest {
  replica: string;
  digest: string;
}

/** One tally: its total, and the addition that counts for each id. */
interface Tally {
  name: string;
  /** Exact also where it is over the safe integers. */
  total: bigint;
  counted: Map<string, Addition>;
}

/** A grow-only set of additions. */
export class AdditionSet {
  private readonly tallies = new Map<string, Tally>();
  /** By replica, in the order in which they last changed, the newest last. */
  private readonly replicas = new Map<string, ReplicaAdditions>();
  private cachedDigest?: string;
  private count = 0;

  /** The total of a tally; 0 for a name without additions. */
  total(tally: string): bigint {
    return this.tallies.get(tally)?.total ?? 0n;
  }

  /** The addition that counts for an id. */
  find(tally: string, id: string): Addition | undefined {
    return this.tallies.get(tally)?.counted.get(id);
  }

  /** How many additions there are, with those that don't count because another has their id. */
  size(): number {
    return this.count;
  }

  /** How many replicas the additions are of. */
  replicaCount(): number {
    return this.replicas.size;
  }

  /** Adds an addition; false where it is known. */
  add(addition: Addition): boolean {
    const { replica } = addition;
    const additions = this.replicas.get(replica) ?? new ReplicaAdditions(replica);
    const tally = this.tallyOf(addition.tally);
    const kept: Addition = { ...addition, replica: additions.replica, tally: tally.name };
    if (!additions.add(kept)) return false;
    this.replicas.delete(replica);
    this.replicas.set(additions.replica, additions);
    this.cachedDigest = undefined;
    this.count++;
    countOnce(tally, kept);
    return true;
  }

  /** Adds what is missing here, and gives it. */
  merge(runs: readonly AdditionRun[]): AdditionRun[] {
    const added: Addition[] = [];
    for (const addition of additionsOf(runs)) if (this.add(addition)) added.push(addition);
    return toRuns(added);
  }

  /** The additions of a replica; undefined where none is known. */
  ofReplica(replica: string): ReplicaAdditions | undefined {
    return this.replicas.get(replica);
  }

  /** The digest of the whole set: the same wherever the same additions are known. */
  digest(): string {
    this.cachedDigest ??= digestOf(this.replicaDigests());
    return this.cachedDigest;
  }

  /** The digests of all replicas, the one that changed last first. */
  replicaDigests(): ReplicaDigest[] {
    const digests: ReplicaDigest[] = [];
    for (const [replica, additions] of this.replicas)
      digests.push({ replica, digest: additions.digest() });
    return digests.reverse();
  }

  /** All additions, replica by replica. */
  *all(): Generator<Addition> {
    for (const additions of this.replicas.values()) yield* additions.all();
  }

  private tallyOf(name: string): Tally {
    const known = this.tallies.get(name);
    if (known) return known;
    const tally: Tally = { name, total: 0n, counted: new Map() };
    this.tallies.set(name, tally);
    return tally;
  }
}

/** Counts an addition for its id. Of several the largest amount counts, so that no total falls and all sets agree. */
function countOnce(tally: Tally, addition: Addition): void {
  const { id, amount } = addition;
  const before = tally.counted.get(id);
  if (before && before.amount >= amount) return;
  tally.total += BigInt(amount) - BigInt(before?.amount ?? 0);
  tally.counted.set(id, addition);
}

function digestOf(digests: readonly ReplicaDigest[]): string {
  if (digests.length === 0) return EMPTY_DIGEST;
  return shortHash(digests.map(asLine).sort().join('\n'));
}

function asLine({ replica, digest }: ReplicaDigest): string {
  return `${replica} ${digest}`;
}
