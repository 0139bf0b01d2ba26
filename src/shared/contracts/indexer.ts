import { bodyField } from '../transport/body-fields';

/** What runs at one engine: its id, requests in flight, prompt tokens that it has not yet read, and tokens of memory that they take, where that is told. */
export type EngineLoad = [
  engineId: string,
  running: number,
  unreadTokens: number,
  heldTokens?: number,
];

/** Message 'loads', asked: a router's own loads that differ from its last tell on this connection, or all of them where `full`. A load that ended is told as 0, 0. A router that got no answer tells `full` next, as the answer that it missed is not told again. */
export interface LoadReport {
  full: boolean;
  own: EngineLoad[];
}

/** The answer to 'loads': the sums of all other routers where they differ from the last answer on this connection, or all that aren't 0 where `full`. */
export interface LoadReply {
  full: boolean;
  others: EngineLoad[];
}

/** A part of a prompt on the wire: its hash and its tokens. */
export type WireBlock = [hash: string, size: number];

/** Message 'overlap', asked: how much of a prompt each source keeps. */
export interface OverlapRequest {
  model: string;
  salt: string;
  /** The prompt's parts in order, from the first. */
  parts: WireBlock[];
}

/** What one source has of a prompt from its front on: tokens that it keeps, and tokens beyond those that are coming, as requests were placed there that read them. */
export type OverlapOf = [source: string, kept: number, coming: number];

/** The answer to 'overlap': only sources that have some; an engine by its id, a store by its name. */
export type OverlapReply = OverlapOf[];

/** Message 'placed', told: a request with these parts was sent to this engine, which will read what it lacks of them. */
export interface PlacementNotice {
  model: string;
  salt: string;
  engine: string;
  parts: WireBlock[];
  /** The store that the engine was told to send the parts to once it has them. */
  store?: string;
}

/** The shape of 'loads' at the edge. */
export class LoadReportBody implements LoadReport {
  @bodyField('boolean') full!: boolean;
  @bodyField('list') own!: EngineLoad[];
}

/** The shape of 'overlap' at the edge. */
export class OverlapRequestBody implements OverlapRequest {
  @bodyField('string') model!: string;
  @bodyField('string') salt!: string;
  @bodyField('list') parts!: WireBlock[];
}

/** The shape of 'placed' at the edge. */
export class PlacementNoticeBody implements PlacementNotice {
  @bodyField('string') model!: string;
  @bodyField('string') salt!: string;
  @bodyField('string') engine!: string;
  @bodyField('list') parts!: WireBlock[];
  @bodyField('string', false) store?: string;
}
