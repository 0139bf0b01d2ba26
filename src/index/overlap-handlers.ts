/**
 * What routers of the users' platform ask an indexer: overlaps, placements and loads.
 */

import { Right } from 'purify-ts';
import {
  LoadReport,
  LoadReportBody,
  OverlapRequest,
  OverlapRequestBody,
  PlacementNotice,
  PlacementNoticeBody,
  WireBlock,
} from '../shared/contracts/indexer';
import { failure } from '../shared/errors/errors';
import { HandlerResult, messageHandler } from '../shared/transport/message-handlers';
import { PeerChannel } from '../shared/transport/peer-channel';
import { ExpectedBlocks } from './expected-blocks';
import { LoadBoard } from './load-board';
import { computeOverlap } from './overlap';
import { PrefixTrees } from './prefix-trees';

/** Handlers of routers' messages. */
export class OverlapHandlers {
  private readonly watchedChannels = new WeakSet<object>();

  constructor(
    private readonly trees: PrefixTrees,
    private readonly expectedBlocks: ExpectedBlocks,
    private readonly loads: LoadBoard,
    private readonly isReachable: (source: string) => boolean,
    private readonly isReady: () => boolean,
  ) {}

  /** Tells how much of a prompt each source has cached; refused until the indexer has caught up. */
  @messageHandler('overlap', OverlapRequestBody)
  overlap(request: OverlapRequest): HandlerResult {
    if (!this.isReady())
      return Promise.resolve(
        failure('overlap', '', 'the gate is not open yet', 'refused', 'not-ready'),
      );
    return Promise.resolve(
      Right(computeOverlap(this.trees, this.expectedBlocks, request, this.isReachable)),
    );
  }

  /** Takes a router's notice of a request that it placed. */
  @messageHandler('placed', PlacementNoticeBody)
  placed(notice: PlacementNotice, channel: PeerChannel): HandlerResult {
    this.trees.learnPrompt(notice.model, notice.salt, notice.parts);
    this.expectBlocks(channel, notice);
    if (notice.store !== undefined) this.expectBlocks(channel, { ...notice, engine: notice.store });
    this.watch(channel);
    return Promise.resolve(Right(undefined));
  }

  /** Takes a router's loads and tells those of the others. */
  @messageHandler('loads', LoadReportBody)
  load(report: LoadReport, channel: PeerChannel): HandlerResult {
    this.watch(channel);
    const router = channel.hello?.name ?? channel.peer;
    return Promise.resolve(Right(this.loads.report(channel, router, report)));
  }

  private expectBlocks(channel: PeerChannel, notice: PlacementNotice): void {
    const { trees } = this;
    function isCached([hash, size]: WireBlock): boolean {
      for (const holder of trees.holders(notice.model, notice.salt, hash) ?? [])
        if (holder.source === notice.engine) return holder.kept >= size;
      return false;
    }
    this.expectedBlocks.expect(channel, notice, isCached);
  }

  /** Forgets what a router told once its channel is closed. */
  private watch(channel: PeerChannel): void {
    if (this.watchedChannels.has(channel)) return;
    this.watchedChannels.add(channel);
    void channel.closed.then(this.forget.bind(this, channel));
  }

  private forget(channel: PeerChannel): void {
    this.expectedBlocks.dropRouter(channel);
    this.loads.drop(channel);
  }
}
