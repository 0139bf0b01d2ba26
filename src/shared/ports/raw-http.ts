/**
 * The port of HTTP with untouched bytes and headers, and a say over connections.
 */

import { Result } from '../errors/errors';
import { Listener } from './network';

/** Headers as they stand on the wire: name, value, name, value. */
export type RawHeaderList = string[];

/** An HTTP request that reached us, its bytes and headers untouched. */
export interface RawIncomingRequest {
  method: string;
  target: string;
  headers: RawHeaderList;
  /** Headers by name in lower case. */
  headersByName: Record<string, string | undefined>;
  peer: string;
  /** Aborted when the caller goes away before its answer is whole. */
  aborted: AbortSignal;
  body: (most: number) => Promise<Result<Uint8Array>>;
  /** The head goes out with the first piece or the end. */
  writeHead: (status: number, headers: RawHeaderList) => void;
  write: (bytes: Uint8Array) => Promise<boolean>;
  end: (bytes?: Uint8Array) => void;
  destroy: () => void;
  /** Comes once the answer has been written out, or its connection is closed. */
  written: Promise<void>;
}

/** How a raw server treats its callers' connections; it may change while it listens. */
export interface ServeLimits {
  headerTimeoutMs: number;
  idleTimeoutMs: number;
  /** Whether each answer closes its connection. */
  closing: boolean;
}

/** A raw server that listens. */
export interface RawListener extends Listener {
  setLimits: (l: ServeLimits) => void;
  /** Connections and requests that have come so far. */
  arrivalCount: () => number;
  /** Comes once all that has arrived by now was read and given to its handler. */
  readArrived: () => Promise<void>;
  /** Ends listening, has what has arrived and what comes within `lingerMs` answered, and comes once all answers are written out, or after `withinMs`; gives how many are not. */
  closeGracefully: (lingerMs: number, withinMs: number) => Promise<number>;
}

/** The answer to a raw request; pieces are pulled, undefined is a whole end. */
export interface RawHttpResponse {
  status: number;
  headers: RawHeaderList;
  headersByName: Record<string, string | undefined>;
  nextChunk: () => Promise<Result<Uint8Array | undefined>>;
  cancel: () => void;
}

/** A raw request of ours. */
export interface RawHttpRequest {
  method: string;
  target: string;
  headers: RawHeaderList;
  body?: Uint8Array | string;
}

/** A kept HTTP connection of ours: one request at a time. */
export interface HttpConnection {
  address: string;
  /** Whether it is up, idle, and no byte came that nobody asked for. */
  isReusable: () => boolean;
  /** Requests that it was used for. */
  useCount: () => number;
  /** A fault of sort `refused` says that no byte was written; the answer must be whole within the ms. */
  request: (
    q: RawHttpRequest,
    within: number,
    gone: AbortSignal,
  ) => Promise<Result<RawHttpResponse>>;
  /** Called each time that it is idle again. */
  onIdle: (told: () => void) => void;
  /** Comes when it is closed: whether bytes came that nobody asked for. */
  closed: Promise<{ surplus: boolean }>;
  close: () => void;
}

/** HTTP with untouched bytes and headers, and a say over connections. */
export interface RawHttpNetwork {
  serve: (
    at: string,
    limits: ServeLimits,
    take: (call: RawIncomingRequest) => Promise<void>,
  ) => Promise<Result<RawListener>>;
  connect: (at: string, within: number) => Promise<Result<HttpConnection>>;
}
