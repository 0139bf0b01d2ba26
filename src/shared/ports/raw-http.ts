/**
 * The port of raw HTTP: with untouched bytes and headers, and control over connections.
 */

import { Result } from '../errors/errors';
import { Listener } from './network';

/** Headers as they stand on the wire: name, value, name, value. */
export type RawHeaderList = string[];

/** An incoming HTTP request, its bytes and headers untouched, and its response. */
export interface RawIncomingRequest {
  method: string;
  target: string;
  headers: RawHeaderList;
  /** Headers by name in lower case. */
  headersByName: Record<string, string | undefined>;
  peer: string;
  /** Aborted when the caller goes away before its response is complete. */
  aborted: AbortSignal;
  /**
   * Reads the body. Errors (refused): `too-large` for more than `maxBytes`, `overloaded` where there is no memory for it,
   * `timeout` where it takes longer than `timeoutMs` or nothing of it comes for long, `bad-body` where the caller goes away.
   */
  body: (maxBytes: number, timeoutMs?: number) => Promise<Result<Uint8Array>>;
  /** The head is sent with the first chunk or the end. */
  writeHead: (status: number, headers: RawHeaderList) => void;
  write: (bytes: Uint8Array) => Promise<boolean>;
  end: (bytes?: Uint8Array) => void;
  destroy: () => void;
  /** Resolves once the response has been written out, or its connection is closed. */
  written: Promise<void>;
}

/** How a raw server treats its callers' connections; it may change while it listens. */
export interface ServeLimits {
  headerTimeoutMs: number;
  idleTimeoutMs: number;
  /** Whether each response closes its connection. */
  closing: boolean;
}

/** A raw server that listens. */
export interface RawListener extends Listener {
  setLimits: (limits: ServeLimits) => void;
  /** Connections and requests that have come so far. */
  arrivalCount: () => number;
  /** Resolves once all that has arrived by now was read and given to its handler. */
  readArrived: () => Promise<void>;
  /** Ends listening, has what has arrived and what comes within `lingerMs` answered, and resolves once all responses are written out, or after `withinMs`, with how many are not. */
  closeGracefully: (lingerMs: number, withinMs: number) => Promise<number>;
}

/** The response to an outgoing raw request. Its functions need no `this`. */
export interface RawHttpResponse {
  status: number;
  headers: RawHeaderList;
  headersByName: Record<string, string | undefined>;
  /** The next chunk of the body; undefined at its complete end. */
  nextChunk: () => Promise<Result<Uint8Array | undefined>>;
  cancel: () => void;
}

/** An outgoing raw request. */
export interface RawHttpRequest {
  method: string;
  target: string;
  headers: RawHeaderList;
  body?: Uint8Array | string;
}

/** An outgoing HTTP connection that is kept, with one request at a time. Its functions need no `this`. */
export interface HttpConnection {
  address: string;
  /** Whether it is up, idle, and no byte came that belongs to no response. */
  isReusable: () => boolean;
  /** Sends a request, whose complete response may take `timeoutMs`. An error that is refused says that no byte was sent. */
  request: (
    request: RawHttpRequest,
    timeoutMs: number,
    aborted: AbortSignal,
  ) => Promise<Result<RawHttpResponse>>;
  /** Sets what is called each time that it is idle again. */
  onIdle: (listener: () => void) => void;
  /** Resolves when it is closed: whether bytes came that belong to no response. */
  closed: Promise<{ surplus: boolean }>;
  close: () => void;
}

/** HTTP with untouched bytes and headers, and control over connections. */
export interface RawHttpNetwork {
  serve: (
    address: string,
    limits: ServeLimits,
    onRequest: (call: RawIncomingRequest) => Promise<void>,
  ) => Promise<Result<RawListener>>;
  connect: (address: string, timeoutMs: number) => Promise<Result<HttpConnection>>;
}
