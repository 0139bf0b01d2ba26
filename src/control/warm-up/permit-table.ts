/**
 * The permits that this controller has granted, by engine and by the incarnations of routers, and until when each of
 * them may still be used.
 */

import { Clock } from '../../shared/ports/clock';
import { PermitGrant } from '../../shared/replication/warm-up-permits';

/** A number of permits that a router may use until a time, in ms of the clock. */
interface Commitment {
  count: number;
  until: number;
}

/** What a router should be granted of one engine, and how many permits for it there are here. */
export interface WantedPermits {
  engine: string;
  count: number;
  quota: number;
}

/** How long permits stay committed, in ms. */
export interface CommitmentTimes {
  /** From their grant, where they are not renewed. */
  afterGrantMs: number;
  /** From when their router is known not to use them any more. */
  afterReleaseMs: number;
}

/** The commitments to one router for one engine; the last is what it was granted last. */
type Commitments = Commitment[];

/** The most permits that a router may use at once by any of its commitments that last. */
function mostCommitted(commitments: Commitments, now: number): number {
  let most = 0;
  for (const { count, until } of commitments) if (until > now) most = Math.max(most, count);
  return most;
}

/** Grants permits so that, for each engine, no more than its quota may be used at any time. */
export class PermitTable {
  /** By engine, then by incarnation. */
  private readonly engines = new Map<string, Map<string, Commitments>>();
  /** The engines for which a router has commitments, by incarnation. */
  private readonly enginesOf = new Map<string, Set<string>>();
  private permitsGranted = 0;

  constructor(
    private readonly clock: Clock,
    private readonly times: CommitmentTimes,
  ) {}

  /**
   * Grants a router what it should have, as far as there is quota left, and nothing else. `knowsLast` tells that it has
   * applied the last grant, so that it uses no more than that.
   */
  grant(incarnation: string, wanted: readonly WantedPermits[], knowsLast: boolean): PermitGrant[] {
    if (knowsLast) this.endSuperseded(incarnation);
    this.supersedeAll(incarnation);
    const granted: PermitGrant[] = [];
    for (const { engine, count, quota } of wanted) {
      const given = Math.min(count, quota - this.committedToOthers(engine, incarnation));
      if (given <= 0) continue;
      this.commit(engine, incarnation, given);
      granted.push([engine, given]);
    }
    return granted;
  }

  /** Notes that a router has given its permits back. */
  release(incarnation: string): void {
    this.supersedeAll(incarnation);
    this.endSuperseded(incarnation);
  }

  /** Permits that were granted since the start, where the router did not have them already. */
  grantedCount(): number {
    return this.permitsGranted;
  }

  /** How many permits for an engine may be in use now. */
  committed(engine: string): number {
    return this.committedToOthers(engine, undefined);
  }

  /** Forgets what may not be in use any more. */
  forgetEnded(): void {
    for (const engine of [...this.engines.keys()]) this.committedToOthers(engine, undefined);
  }

  /** Marks what was granted last as superseded, by a last commitment of nothing. */
  private supersedeAll(incarnation: string): void {
    const now = this.clock.now();
    for (const engine of this.enginesOf.get(incarnation) ?? []) {
      const commitments = this.engines.get(engine)?.get(incarnation);
      if (commitments?.at(-1)?.count !== 0) commitments?.push({ count: 0, until: now });
    }
  }

  /** Has all but the last grant end soon. */
  private endSuperseded(incarnation: string): void {
    const until = this.clock.now() + this.times.afterReleaseMs;
    for (const engine of this.enginesOf.get(incarnation) ?? []) {
      const commitments = this.engines.get(engine)?.get(incarnation) ?? [];
      for (const commitment of commitments.slice(0, -1))
        commitment.until = Math.min(commitment.until, until);
    }
  }

  private committedToOthers(engine: string, incarnation: string | undefined): number {
    const now = this.clock.now();
    let total = 0;
    for (const [holder, commitments] of this.engines.get(engine) ?? []) {
      const most = mostCommitted(commitments, now);
      if (most === 0) this.forget(engine, holder);
      else if (holder !== incarnation) total += most;
    }
    return total;
  }

  /** Commits permits anew; commitments to more of them last until their own time. */
  private commit(engine: string, incarnation: string, count: number): void {
    const now = this.clock.now();
    const holders = this.engines.get(engine) ?? new Map<string, Commitments>();
    this.engines.set(engine, holders);
    const before = holders.get(incarnation) ?? [];
    this.permitsGranted += Math.max(0, count - mostCommitted(before, now));
    function isLarger(commitment: Commitment): boolean {
      return commitment.until > now && commitment.count > count;
    }
    const until = now + this.times.afterGrantMs;
    holders.set(incarnation, [...before.filter(isLarger), { count, until }]);
    const held = this.enginesOf.get(incarnation) ?? new Set<string>();
    this.enginesOf.set(incarnation, held.add(engine));
  }

  private forget(engine: string, incarnation: string): void {
    const holders = this.engines.get(engine);
    holders?.delete(incarnation);
    if (holders?.size === 0) this.engines.delete(engine);
    const held = this.enginesOf.get(incarnation);
    held?.delete(engine);
    if (held?.size === 0) this.enginesOf.delete(incarnation);
  }
}
