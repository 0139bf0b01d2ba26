/** How slow moves of kept parts are, by source, learned from requests that fetched. */
export interface TransferEstimator {
  /** Ms to move so many bytes between two places over the slower of two links. */
  transferMs: (from: LinkEndpoint, to: LinkEndpoint, bytes: number) => number;
  /** What a request that fetched showed: whether the move took far longer than reckoned. */
  observe: (from: string, to: string, slower: boolean) => void;
  retain: (names: ReadonlySet<string>) => void;
}

/** One end of a move. */
export interface LinkEndpoint {
  name: string;
  zone: string;
  region?: string;
  linkMbps: number;
}

const BETWEEN_ZONES = 2;
const BETWEEN_REGIONS = 10;
/** A name's slowness rises where more than a third of its moves are slow. */
const UP = 2;
const DOWN = 0.7;
const MOST_SLOW = 32;

/** Makes the learner: a link that was slow counts as slow until moves show otherwise, and is forgiven little by little. */
export function makeLinks(): TransferEstimator {
  const slow = new Map<string, number>();

  function slowOf(name: string): number {
    return slow.get(name) ?? 1;
  }

  function moveMs(from: LinkEndpoint, to: LinkEndpoint, bytes: number): number {
    const mbps = Math.min(from.linkMbps, to.linkMbps);
    if (!(mbps > 0)) return Infinity;
    const far =
      from.zone === to.zone
        ? 1
        : from.region !== undefined && to.region !== undefined && from.region !== to.region
          ? BETWEEN_REGIONS
          : BETWEEN_ZONES;
    return ((bytes * 8) / (mbps * 1000)) * far * Math.max(slowOf(from.name), slowOf(to.name));
  }

  function learn(from: string, to: string, slower: boolean): void {
    for (const name of [from, to])
      slow.set(name, Math.min(MOST_SLOW, Math.max(1, slowOf(name) * (slower ? UP : DOWN))));
  }

  function keep(names: ReadonlySet<string>): void {
    for (const n of slow.keys()) if (!names.has(n)) slow.delete(n);
  }

  return { transferMs: moveMs, observe: learn, retain: keep };
}
