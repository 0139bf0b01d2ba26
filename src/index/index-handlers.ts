/**
 * What other indexers and routers of our own protocols ask an indexer. Field names are sent between processes.
 */

import { Right } from 'purify-ts';
import { BlockEvent, PromptBlock, splitIntoBlocks, tokenise } from '../shared/contracts/engine';
import { bodyField } from '../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../shared/transport/message-handlers';
import { BatchRing } from './batch-ring';
import { FeedPosition } from './feed-listener';
import { Overlap, Rows } from './prefix-trees';

/** A query for how much of a prompt each source has cached: the prompt as blocks, token ids or text. */
export class OverlapQuery {
  @bodyField('string') model!: string;
  @bodyField('string') salt!: string;
  @bodyField('string') weights!: string;
  @bodyField('list', false) parts?: PromptBlock[];
  @bodyField('list', false) tokens?: number[];
  @bodyField('string', false) text?: string;
}

/** A request for the batches of a source with sequence numbers `from` to `to`. */
class MissedBatchesRequest {
  @bodyField('string') source!: string;
  @bodyField('string') epoch!: string;
  @bodyField('number') from!: number;
  @bodyField('number') to!: number;
}

/** How many of a prompt's blocks an engine reused, by its own answer. */
export class ReuseReport {
  @bodyField('string') source!: string;
  @bodyField('string') model!: string;
  @bodyField('string') salt!: string;
  @bodyField('string') weights!: string;
  @bodyField('list') parts!: PromptBlock[];
  @bodyField('number') count!: number;
}

/** All that an indexer knows, as events. */
export interface Dump {
  /** Whether it answers queries itself. */
  open: boolean;
  heard: [source: string, position: FeedPosition][];
  events: { source: string; event: BlockEvent }[];
}

/** All that an indexer knows, as rows: what a starting replica takes over. */
export interface CompactDump {
  /** Whether it answers queries itself. */
  open: boolean;
  heard: [source: string, position: FeedPosition][];
  /** How many lost events each source has. */
  owed: [source: string, lostEvents: number][];
  rows: Rows;
}

/** The blocks of a query, in whichever form the prompt was given. */
export function blocksOf(query: OverlapQuery): PromptBlock[] {
  if (query.parts) return query.parts;
  return splitIntoBlocks(query.model, query.tokens ?? tokenise(query.text ?? ''));
}

/** What the handlers need of an indexer. */
export interface IndexHandlersDependencies {
  query: (query: OverlapQuery) => Overlap[];
  dump: () => Dump;
  dumpRows: () => CompactDump;
  /** The newest batches of a source. */
  ring: (source: string) => BatchRing;
  reused: (report: ReuseReport) => void;
}

/** Handlers of other indexers' messages and of routers that speak our own protocols. */
export class IndexHandlers {
  constructor(private readonly index: IndexHandlersDependencies) {}

  /** Tells how much of a prompt each source has cached. */
  @messageHandler('query', OverlapQuery)
  query(query: OverlapQuery): HandlerResult {
    return Promise.resolve(Right(this.index.query(query)));
  }

  /** Gives all that is known, as events. */
  @messageHandler('dump')
  dump(): HandlerResult {
    return Promise.resolve(Right(this.index.dump()));
  }

  /** Gives all that is known, as rows. */
  @messageHandler('dump-rows')
  dumpRows(): HandlerResult {
    return Promise.resolve(Right(this.index.dumpRows()));
  }

  /** Gives the batches that a peer missed, as far as they are retained. */
  @messageHandler('missed', MissedBatchesRequest)
  missed(request: MissedBatchesRequest): HandlerResult {
    const { source, epoch, from, to } = request;
    return Promise.resolve(Right(this.index.ring(source).between(epoch, from, to)));
  }

  /** Takes how many blocks an engine reused. */
  @messageHandler('reused', ReuseReport)
  reused(report: ReuseReport): HandlerResult {
    this.index.reused(report);
    return Promise.resolve(Right(undefined));
  }
}
