/**
 * Fills gaps in a source's numbered batches of events from what other replicas heard.
 */

import { TimeLimits } from '../shared/settings/time-limits';
import { ConnectionPool } from '../shared/transport/connections';
import { EventBatch } from '../shared/contracts/engine';
import { errorOrValue } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { Heard } from './listener';
import { Repair } from './repair';
import { Trees } from './tree';

/** The gaps of all sources together. */
export interface GapCounts {
  gaps: number;
  repairedBatches: number;
  lostBatches: number;
}

/** The gaps of one source, and the batches that peers gave for them. */
export interface SourceGaps {
  gaps: number;
  repaired: number;
}

/** What is needed of the indexer. */
export interface GapParts {
  ports: Ports;
  bounds: TimeLimits;
  trees: Trees;
  peers: ConnectionPool;
  repair: Repair;
  counts: GapCounts;
  apply: (source: string, epoch: string, b: EventBatch) => void;
}

/** The gaps of an indexer's sources. */
export interface Gaps {
  /** Asks peers for the batches after what was heard and before `next`; what none has is lost. */
  fill: (source: string, h: Heard, next: number) => Promise<void>;
  of: (source: string) => SourceGaps;
  forget: (source: string) => void;
}

/** A gap is asked for back to this many batches. */
const MOST_MISSING = 2048;

/** Makes the gaps of an indexer. */
export function makeGaps(parts: GapParts): Gaps {
  const { ports, bounds, trees, peers, repair, counts, apply } = parts;
  const bySource = new Map<string, SourceGaps>();

  async function fill(source: string, h: Heard, next: number): Promise<void> {
    const g = of(source);
    bySource.set(source, g);
    g.gaps++;
    counts.gaps++;
    const found = await askPeers(source, h, next);
    const lost = next - 1 - h.seq - found.size;
    if (lost > 0) {
      trees.doubt(source);
      repair.lost(source, lost);
      ports.logger.warn(
        { step: 'mend gap', peer: source },
        `${lost} batches are lost after ${h.seq}`,
      );
    }
    for (const n of [...found.keys()].sort(byNumber)) apply(source, h.epoch, found.get(n)!);
    counts.repairedBatches += found.size;
    counts.lostBatches += lost;
    g.repaired += found.size;
  }

  async function askPeers(
    source: string,
    h: Heard,
    next: number,
  ): Promise<Map<number, EventBatch>> {
    const ask = { source, epoch: h.epoch, from: h.seq + 1, to: next - 1 };
    const missing = new Set<number>();
    for (let n = Math.max(h.seq + 1, next - MOST_MISSING); n < next; n++) missing.add(n);
    const found = new Map<number, EventBatch>();
    for (const at of peers.peerAddresses()) {
      if (found.size === missing.size) break;
      const ex = peers.channelTo(at);
      if (!ex) continue;
      const [f, list] = errorOrValue(await ex.request('missed', ask, bounds.indexQueryTimeoutMs));
      if (f) continue;
      for (const b of list as EventBatch[]) if (missing.has(b.seq)) found.set(b.seq, b);
    }
    return found;
  }

  function of(source: string): SourceGaps {
    return bySource.get(source) ?? { gaps: 0, repaired: 0 };
  }

  function forget(source: string): void {
    bySource.delete(source);
  }

  return { fill, of, forget };
}

function byNumber(a: number, b: number): number {
  return a - b;
}
