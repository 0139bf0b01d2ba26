/**
 * How long it takes to move cached prefixes between engines and stores: the bytes over the slower of the two links,
 * times the distance, times how slow either end has lately been seen to be.
 */

/** One end of a transfer. */
export interface LinkEndpoint {
  name: string;
  zone: string;
  /** Unknown where the zone is assigned to no region. */
  region?: string;
  /** Mbit/s of its link. */
  linkMbps: number;
}

/** How many times longer a transfer takes across zones, and across regions. */
const CROSS_ZONE_RATIO = 2;
const CROSS_REGION_RATIO = 10;
/** Steps of a slowdown, so chosen that it rises where more than a third of the transfers are slow. */
const SLOWER_STEP_RATIO = 2;
const FASTER_STEP_RATIO = 0.7;
const MAX_SLOWDOWN_RATIO = 32;

function distanceRatio(from: LinkEndpoint, to: LinkEndpoint): number {
  if (from.zone === to.zone) return 1;
  const isCrossRegion =
    from.region !== undefined && to.region !== undefined && from.region !== to.region;
  return isCrossRegion ? CROSS_REGION_RATIO : CROSS_ZONE_RATIO;
}

/** Estimates transfer times and learns slow links; a slow link is forgiven little by little as transfers are in time again. */
export class TransferEstimator {
  /** Factors over 1, by the name of an endpoint. */
  private readonly slowdowns = new Map<string, number>();

  /** Ms to move these bytes; infinite where a link has no bandwidth. */
  transferMs(from: LinkEndpoint, to: LinkEndpoint, bytes: number): number {
    const linkMbps = Math.min(from.linkMbps, to.linkMbps);
    if (!(linkMbps > 0)) return Infinity;
    const slowdown = Math.max(this.slowdownOf(from.name), this.slowdownOf(to.name));
    return ((bytes * 8) / (linkMbps * 1000)) * distanceRatio(from, to) * slowdown;
  }

  /** Learns from a request that fetched a prefix whether the transfer took far longer than estimated. */
  observe(from: string, to: string, wasSlow: boolean): void {
    const step = wasSlow ? SLOWER_STEP_RATIO : FASTER_STEP_RATIO;
    for (const name of [from, to]) {
      const slowdown = Math.max(1, this.slowdownOf(name) * step);
      this.slowdowns.set(name, Math.min(MAX_SLOWDOWN_RATIO, slowdown));
    }
  }

  /** Forgets all endpoints but these. */
  retain(names: ReadonlySet<string>): void {
    for (const name of this.slowdowns.keys()) if (!names.has(name)) this.slowdowns.delete(name);
  }

  private slowdownOf(name: string): number {
    return this.slowdowns.get(name) ?? 1;
  }
}
