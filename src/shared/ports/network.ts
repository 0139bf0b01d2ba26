/**
 * The network port: connections between our own processes, and HTTP. Addresses are `ip:port`.
 */

import { Stream } from 'most';
import { Result } from '../errors/errors';

/** A message between our own processes: a request has an `id`, its response has that as `re`, a notification has neither. The field names are sent. */
export interface Message {
  id?: number;
  re?: number;
  type?: string;
  body?: unknown;
  /** The error of a response, in its form on the wire. */
  fault?: unknown;
}

/** A connection between two of our own processes. */
export interface Connection {
  /** The peer's address. */
  peer: string;
  messages: Stream<Message>;
  /** Resolves when the connection has ended. */
  closed: Promise<void>;
  /** False where the connection has ended or its buffer is full. */
  send: (message: Message) => boolean;
  close: () => void;
}

/** An incoming HTTP request, and its response. */
export interface IncomingRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: Record<string, string | undefined>;
  peer: string;
  /** Aborted when the caller goes away before its response is complete. */
  aborted: AbortSignal;
  /**
   * Reads the body. Errors (refused): `too-large` for more than `maxBytes`, `overloaded` where there is no memory for it,
   * `timeout` where nothing of it comes for long, `bad-body` where the caller goes away.
   */
  body: (maxBytes: number) => Promise<Result<string>>;
  writeHead: (status: number, headers: Record<string, string>) => void;
  /** Resolves when there is room for the next chunk; with false once the caller is gone. */
  write: (text: string) => Promise<boolean>;
  end: (text?: string) => void;
  /** Breaks the connection off. */
  destroy: () => void;
}

/** An outgoing HTTP request. */
export interface HttpRequest {
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  signal?: AbortSignal;
  /** How long the complete response may take. */
  timeoutMs: number;
}

/** The response to an outgoing request. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string | undefined>;
  /** The next chunk of the body; undefined at its complete end. */
  nextChunk: () => Promise<Result<string | undefined>>;
  cancel: () => void;
  /** The longest text that may be read as a whole; any where it is left out. */
  maxWholeBytes?: number;
}

/** Something that listens. */
export interface Listener {
  address: string;
  close: () => Promise<void>;
}

/** The network. Addresses are `ip:port`. */
export interface Network {
  /** Listens for HTTP requests. */
  serveHttp: (
    address: string,
    onRequest: (call: IncomingRequest) => Promise<void>,
  ) => Promise<Result<Listener>>;
  /** Sends an HTTP request, and resolves with the head of its response. An error that is refused says that no byte was sent. */
  request: (request: HttpRequest) => Promise<Result<HttpResponse>>;
  /** Listens for connections of our own processes. */
  listen: (
    address: string,
    onConnection: (connection: Connection) => void,
  ) => Promise<Result<Listener>>;
  /** Connects to a process of ours. */
  connect: (address: string, timeoutMs: number) => Promise<Result<Connection>>;
}
