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

  /** Applies a batch of a gap, unless the source's content was taken over behind it meanwhile. */
  applyMissed(source: string, epoch: string, batch: EventBatch): void {
    const position = this.positionOrStart(source);
    if (position.epoch === epoch && batch.seq > position.seq) this.applyBatch(source, epoch, batch);
  }

  private async process(source: string, reply: EventsReply): Promise<void> {
    const { isRegistered, repair } = this.dependencies;
    if (!isRegistered(source)) return;
    this.enterEpoch(source, reply.epoch);
    let hasGap = false;
    for (const batch of reply.batches) {
      if (batch.seq > this.positionOrStart(source).seq + 1) {
        hasGap = true;
        await this.fillGap(source, batch.seq);
        if (!isRegistered(source)) return;
      }
      if (batch.seq <= this.positionOrStart(source).seq) continue;
      this.applyBatch(source, reply.epoch, batch);
      this.positions.set(source, { epoch: reply.epoch, seq: batch.seq });
    }
    if (reply.last > this.positionOrStart(source).seq) {
      hasGap = true;
      await this.fillGap(source, reply.last + 1);
    }
    if (reply.lost && !hasGap) repair.noteLost(source, undefined);
  }

  /** Fills the gap before a batch. A repair may take over what the source keeps meanwhile, as of a later position. */
  private async fillGap(source: string, next: number): Promise<void> {
    const { epoch, seq } = this.positionOrStart(source);
    await this.dependencies.gaps.fill(source, { epoch, seq }, next);
    const current = this.positionOrStart(source);
    if (current.epoch === epoch && current.seq < next - 1)
      this.positions.set(source, { epoch, seq: next - 1 });
  }

  /** Goes on in an epoch of a source; a new one begins empty. */
  private enterEpoch(source: string, epoch: string): void {
    const position = this.positionOrStart(source);
    if (position.epoch === epoch) return;
    if (position.epoch !== '') this.dependencies.onEpochChange();
    this.dropContent(source);
    this.positions.set(source, { epoch, seq: 0 });
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
