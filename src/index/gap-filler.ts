/**
 * Fills gaps in a source's numbered batches of events from what other replicas heard.
 */

import { EventBatch } from '../shared/contracts/engine';
import { errorOrValue } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { ConnectionPool } from '../shared/transport/connection-pool';
import { FeedPosition } from './feed-listener';
import { PrefixTrees } from './prefix-trees';
import { SourceRepair } from './source-repair';

/** The gaps of all sources together; the names become metrics. */
export interface GapCounts {
  gaps: number;
  repairedBatches: number;
  lostBatches: number;
}

/** The gaps of one source, and the batches that peers gave for them. */
export interface SourceGapStats {
  gaps: number;
  repaired: number;
}

/** What is needed of the indexer. */
export interface GapFillerDependencies {
  ports: Ports;
  timeLimits: TimeLimits;
  trees: PrefixTrees;
  peers: ConnectionPool;
  repair: SourceRepair;
  counts: GapCounts;
  positionOf: (source: string) => FeedPosition;
  apply: (source: string, epoch: string, batch: EventBatch) => void;
}

/** Peers are asked for no more than this many of a gap's newest batches. */
const MAX_REQUESTED_BATCHES = 2048;

/** The gaps of an indexer's sources; none at first. */
export class GapFiller {
  private readonly bySource = new Map<string, SourceGapStats>();

  constructor(private readonly dependencies: GapFillerDependencies) {}

  /** Asks peers for the batches behind a position and before `next`; those that none has are lost. */
  async fill(source: string, position: FeedPosition, next: number): Promise<void> {
    const { counts, apply } = this.dependencies;
    const stats = this.statsOf(source);
    this.bySource.set(source, stats);
    stats.gaps++;
    counts.gaps++;
    const found = await this.requestFromPeers(source, position, next);
    if (this.isPassed(source, position.epoch, next)) return;
    const lostBatches = next - 1 - position.seq - found.size;
    if (lostBatches > 0) this.noteLost(source, position, lostBatches);
    for (const number of [...found.keys()].sort(ascending))
      apply(source, position.epoch, found.get(number)!);
    counts.repairedBatches += found.size;
    counts.lostBatches += lostBatches;
    stats.repaired += found.size;
  }

  /** Whether a repair has meanwhile taken over what the source keeps, the gap included. */
  private isPassed(source: string, epoch: string, next: number): boolean {
    const current = this.dependencies.positionOf(source);
    return current.epoch !== epoch || current.seq >= next - 1;
  }

  private noteLost(source: string, position: FeedPosition, lostBatches: number): void {
    const { ports, trees, repair } = this.dependencies;
    trees.markDoubted(source);
    repair.noteLost(source, lostBatches);
    ports.logger.warn(
      { event: 'index.batches-lost', peer: source, lostBatches, afterSeq: position.seq },
      `${lostBatches} batches are lost after ${position.seq}`,
    );
  }

  private async requestFromPeers(
    source: string,
    { epoch, seq }: FeedPosition,
    next: number,
  ): Promise<Map<number, EventBatch>> {
    const { peers, timeLimits } = this.dependencies;
    const request = { source, epoch, from: seq + 1, to: next - 1 };
    const missing = new Set<number>();
    const first = Math.max(seq + 1, next - MAX_REQUESTED_BATCHES);
    for (let number = first; number < next; number++) missing.add(number);
    const found = new Map<number, EventBatch>();
    for (const address of peers.peerAddresses()) {
      if (found.size === missing.size) break;
      const channel = peers.channelTo(address);
      if (!channel) continue;
      const reply = await channel.request('missed', request, timeLimits.indexQueryTimeoutMs);
      const [error, batches] = errorOrValue(reply);
      if (error) continue;
      for (const batch of batches as EventBatch[])
        if (missing.has(batch.seq)) found.set(batch.seq, batch);
    }
    return found;
  }

  /** The gaps of one source so far. */
  statsOf(source: string): SourceGapStats {
    return this.bySource.get(source) ?? { gaps: 0, repaired: 0 };
  }

  /** Forgets a source that is listed no more. */
  forget(source: string): void {
    this.bySource.delete(source);
  }
}

function ascending(a: number, b: number): number {
  return a - b;
}
