/**
 * Applies what sources answer to the prefix trees: in order for each source, with gaps filled first.
 */

import { EventBatch, EventsReply } from '../shared/contracts/engine';
import { BatchRing } from './batch-ring';
import { ExpectedBlocks } from './expected-blocks';
import { FeedPosition } from './feed-listener';
import { GapFiller } from './gap-filler';
import { PrefixTrees } from './prefix-trees';
import { SourceRepair } from './source-repair';

/** What the processor needs of its indexer. */
export interface FeedProcessorDependencies {
  trees: PrefixTrees;
  expectedBlocks: ExpectedBlocks;
  repair: SourceRepair;
  gaps: GapFiller;
  /** Batches that are retained of each source. */
  maxRetainedBatches: number;
  isRegistered: (source: string) => boolean;
  onEpochChange: () => void;
}

const NOT_HEARD: FeedPosition = { epoch: '', seq: 0 };

/** The feeds of all sources: how far each was heard, its newest batches, and its replies in order. */
export class FeedProcessor {
  private readonly positions = new Map<string, FeedPosition>();
  private readonly rings = new Map<string, BatchRing>();
  private readonly queues = new Map<string, Promise<void>>();

  constructor(private readonly dependencies: FeedProcessorDependencies) {}

  /** How far a source was heard; undefined where it never was. */
  positionOf(source: string): FeedPosition | undefined {
    return this.positions.get(source);
  }

  /** How far a source was heard; before its first event where it never was. */
  positionOrStart(source: string): FeedPosition {
    return this.positions.get(source) ?? NOT_HEARD;
  }

  /** How far all sources were heard. */
  allPositions(): [string, FeedPosition][] {
    return [...this.positions];
  }

  /** Goes on behind a position that another replica told. */
  setPosition(source: string, position: FeedPosition): void {
    this.positions.set(source, position);
  }

  /** The newest batches of a source. */
  ringOf(source: string): BatchRing {
    const ring = this.rings.get(source) ?? new BatchRing(this.dependencies.maxRetainedBatches);
    this.rings.set(source, ring);
    return ring;
  }

  /** Forgets a source that is no longer listed; how far it was heard stays, as it may be registered again. */
  forget(source: string): void {
    this.rings.delete(source);
    this.queues.delete(source);
    this.dependencies.gaps.forget(source);
  }

  /** Forgets what a source keeps. */
  dropContent(source: string): void {
    const { trees, expectedBlocks, repair } = this.dependencies;
    trees.dropSource(source);
    expectedBlocks.dropSource(source);
    repair.clear(source);
  }

  /** Processes a reply once all earlier ones of its source are processed. */
  enqueue(source: string, reply: EventsReply): void {
    const earlier = this.queues.get(source) ?? Promise.resolve();
    this.queues.set(source, earlier.then(this.process.bind(this, source, reply)));
  }

  /** Takes what a source keeps as of a position, then again what was heard behind that position. */
  adopt(source: string, epoch: string, seq: number, takeOver: () => void): void {
    takeOver();
    const position = this.positions.get(source);
    if (position?.epoch !== epoch || position.seq <= seq) {
      this.positions.set(source, { epoch, seq });
      return;
    }
    for (const batch of this.ringOf(source).between(epoch, seq + 1, position.seq))
      this.applyEvents(source, batch);
  }

  /** Applies a batch and retains it for peers. */
  applyBatch(source: string, epoch: string, batch: EventBatch): void {
    this.ringOf(source).add(epoch, batch);
    this.applyEvents(source, batch);
  }

  private async process(source: string, reply: EventsReply): Promise<void> {
    const { gaps, isRegistered, repair } = this.dependencies;
    if (!isRegistered(source)) return;
    let position = this.positionInEpoch(source, reply.epoch);
    let hasGap = false;
    for (const batch of reply.batches) {
      if (batch.seq <= position.seq) continue;
      if (batch.seq > position.seq + 1) {
        hasGap = true;
        await gaps.fill(source, position, batch.seq);
      }
      this.applyBatch(source, reply.epoch, batch);
      position = { epoch: reply.epoch, seq: batch.seq };
      this.positions.set(source, position);
    }
    if (reply.last > position.seq) {
      hasGap = true;
      await gaps.fill(source, position, reply.last + 1);
      position = { epoch: reply.epoch, seq: reply.last };
    }
    this.positions.set(source, position);
    if (reply.lost && !hasGap) repair.noteLost(source, undefined);
  }

  /** The position of a source within an epoch; a new epoch begins empty. */
  private positionInEpoch(source: string, epoch: string): FeedPosition {
    const position = this.positionOrStart(source);
    if (position.epoch === epoch) return position;
    if (position.epoch !== '') this.dependencies.onEpochChange();
    this.dropContent(source);
    const start: FeedPosition = { epoch, seq: 0 };
    this.positions.set(source, start);
    return start;
  }

  private applyEvents(source: string, batch: EventBatch): void {
    const { trees, expectedBlocks } = this.dependencies;
    for (const event of batch.events) {
      trees.apply(source, event);
      if (event.kind === 'stored')
        expectedBlocks.arrived(event.model, event.salt, event.hash, source);
    }
  }
}
