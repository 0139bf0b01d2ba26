import { Right } from 'purify-ts';
import { PromptBlock, BlockEvent, splitIntoBlocks, tokenise } from '../shared/contracts/engine';
import { bodyField } from '../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../shared/transport/message-handlers';
import { BatchRing, Heard } from './listener';
import { Overlap, Rows } from './tree';

/** A query for how much of a prompt each source holds. */
export class QueryAsk {
  @bodyField('string') model!: string;
  @bodyField('string') salt!: string;
  @bodyField('string') weights!: string;
  @bodyField('list', false) parts?: PromptBlock[];
  @bodyField('list', false) tokens?: number[];
  @bodyField('string', false) text?: string;
}

class MissedAsk {
  @bodyField('string') source!: string;
  @bodyField('string') epoch!: string;
  @bodyField('number') from!: number;
  @bodyField('number') to!: number;
}

/** What an engine's return said that it had really reused. */
export class ReusedTell {
  @bodyField('string') source!: string;
  @bodyField('string') model!: string;
  @bodyField('string') salt!: string;
  @bodyField('string') weights!: string;
  @bodyField('list') parts!: PromptBlock[];
  @bodyField('number') count!: number;
}

/** The whole of what an indexer knows, for a starting replica. */
export interface Dump {
  open: boolean;
  heard: [string, Heard][];
  events: { source: string; event: BlockEvent }[];
}

/** The same in little room, as replicas give it to each other. */
export interface CompactDump {
  open: boolean;
  heard: [string, Heard][];
  /** Lost numbers by source. */
  owed: [string, number][];
  rows: Rows;
}

/** Parts of a query, however it was given. */
export function partsOf(q: QueryAsk): PromptBlock[] {
  if (q.parts) return q.parts;
  return splitIntoBlocks(q.model, q.tokens ?? tokenise(q.text ?? ''));
}

/** What indexers and routers say to an indexer. */
export class IndexEdge {
  constructor(private readonly ix: IndexParts) {}

  /** Tells how much of a prompt each source holds. */
  @messageHandler('query', QueryAsk)
  async query(q: QueryAsk): HandlerResult {
    return Right(this.ix.query(q));
  }

  /** Gives the whole of the trees. */
  @messageHandler('dump')
  async dump(): HandlerResult {
    return Right(this.ix.dump());
  }

  /** Gives the whole of the trees in little room. */
  @messageHandler('dump-rows')
  async dumpRows(): HandlerResult {
    return Right(this.ix.dumpRows());
  }

  /** Gives the batches that a peer missed. */
  @messageHandler('missed', MissedAsk)
  async missed(m: MissedAsk): HandlerResult {
    return Right(this.ix.ring(m.source).between(m.epoch, m.from, m.to));
  }

  /** Takes what an engine's return said that it had really reused. */
  @messageHandler('reused', ReusedTell)
  async reused(m: ReusedTell): HandlerResult {
    this.ix.reused(m);
    return Right(undefined);
  }
}

/** What the messages need of an indexer. */
export interface IndexParts {
  query: (q: QueryAsk) => Overlap[];
  dump: () => Dump;
  dumpRows: () => CompactDump;
  ring: (source: string) => BatchRing;
  reused: (m: ReusedTell) => void;
}
