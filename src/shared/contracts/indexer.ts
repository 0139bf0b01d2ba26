import { field } from '../transport/handlers';

/** What runs at one engine: its id, requests in flight, prompt tokens that it has not yet read, and tokens of memory that they take, where that is told. */
export type EngineLoad = [
  engineId: string,
  running: number,
  unreadTokens: number,
  heldTokens?: number,
];

/** Message 'loads', asked: a router's own loads that differ from its last tell on this connection, or all of them where `full`. A load that ended is told as 0, 0. A router that got no answer tells `full` next, as the answer that it missed is not told again. */
export interface LoadsTell {
  full: boolean;
  own: EngineLoad[];
}

/** The answer to 'loads': the sums of all other routers where they differ from the last answer on this connection, or all that aren't 0 where `full`. */
export interface LoadsAnswer {
  full: boolean;
  others: EngineLoad[];
}

/** A part of a prompt on the wire: its hash and its tokens. */
export type WirePart = [hash: string, size: number];

/** Message 'overlap', asked: how much of a prompt each source keeps. */
export interface OverlapAsk {
  model: string;
  salt: string;
  /** The prompt's parts in order, from the first. */
  parts: WirePart[];
}

/** What one source has of a prompt from its front on: tokens that it keeps, and tokens beyond those that are coming, as requests were placed there that read them. */
export type OverlapOf = [source: string, kept: number, coming: number];

/** The answer to 'overlap': only sources that have some; an engine by its id, a store by its name. */
export type OverlapAnswer = OverlapOf[];

/** Message 'placed', told: a request with these parts was sent to this engine, which will read what it lacks of them. */
export interface PlacedTell {
  model: string;
  salt: string;
  engine: string;
  parts: WirePart[];
  /** The store that the engine was told to send the parts to once it has them. */
  store?: string;
}

/** The shape of 'loads' at the edge. */
export class LoadsShape implements LoadsTell {
  @field('boolean') full!: boolean;
  @field('list') own!: EngineLoad[];
}

/** The shape of 'overlap' at the edge. */
export class OverlapShape implements OverlapAsk {
  @field('string') model!: string;
  @field('string') salt!: string;
  @field('list') parts!: WirePart[];
}

/** The shape of 'placed' at the edge. */
export class PlacedShape implements PlacedTell {
  @field('string') model!: string;
  @field('string') salt!: string;
  @field('string') engine!: string;
  @field('list') parts!: WirePart[];
  @field('string', false) store?: string;
}
