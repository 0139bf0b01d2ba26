import { Right } from 'purify-ts';
import { Part, PartEvent, splitParts, tokenise } from '../shared/contracts/engine';
import { field, Handled, message } from '../shared/transport/handlers';
import { BatchRing, Heard } from './listener';
import { Overlap, Rows } from './tree';

/** A query for how much of a prompt each source holds. */
export class QueryAsk {
  @field('string') model!: string;
  @field('string') salt!: string;
  @field('string') weights!: string;
  @field('list', false) parts?: Part[];
  @field('list', false) tokens?: number[];
  @field('string', false) text?: string;
}

class MissedAsk {
  @field('string') source!: string;
  @field('string') epoch!: string;
  @field('number') from!: number;
  @field('number') to!: number;
}

/** What an engine's return said that it had really reused. */
export class ReusedTell {
  @field('string') source!: string;
  @field('string') model!: string;
  @field('string') salt!: string;
  @field('string') weights!: string;
  @field('list') parts!: Part[];
  @field('number') count!: number;
}

/** The whole of what an indexer knows, for a starting replica. */
export interface Dump {
  open: boolean;
  heard: [string, Heard][];
  events: { source: string; event: PartEvent }[];
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
export function partsOf(q: QueryAsk): Part[] {
  if (q.parts) return q.parts;
  return splitParts(q.model, q.tokens ?? tokenise(q.text ?? ''));
}

/** What indexers and routers say to an indexer. */
export class IndexEdge {
  constructor(private readonly ix: IndexParts) {}

  /** Tells how much of a prompt each source holds. */
  @message('query', QueryAsk)
  async query(q: QueryAsk): Handled {
    return Right(this.ix.query(q));
  }

  /** Gives the whole of the trees. */
  @message('dump')
  async dump(): Handled {
    return Right(this.ix.dump());
  }

  /** Gives the whole of the trees in little room. */
  @message('dump-rows')
  async dumpRows(): Handled {
    return Right(this.ix.dumpRows());
  }

  /** Gives the batches that a peer missed. */
  @message('missed', MissedAsk)
  async missed(m: MissedAsk): Handled {
    return Right(this.ix.ring(m.source).between(m.epoch, m.from, m.to));
  }

  /** Takes what an engine's return said that it had really reused. */
  @message('reused', ReusedTell)
  async reused(m: ReusedTell): Handled {
    this.ix.reused(m);
    return Right(undefined);
  }
}

/** What the messages need of an indexer. */
export interface IndexParts {
  query(q: QueryAsk): Overlap[];
  dump(): Dump;
  dumpRows(): CompactDump;
  ring(source: string): BatchRing;
  reused(m: ReusedTell): void;
}
