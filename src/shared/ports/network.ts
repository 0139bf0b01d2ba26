/**
 * The network port: connections between our own processes, and HTTP. Addresses are `ip:port`.
 */

import { Stream as Feed } from 'most';
import { Result } from '../errors/errors';

/** A message between our processes. */
export interface Message {
  id?: number;
  re?: number;
  type?: string;
  body?: unknown;
  fault?: unknown;
}

/** A held connection between two of our processes. */
export interface Connection {
  peer: string;
  messages: Feed<Message>;
  closed: Promise<void>;
  send: (m: Message) => boolean;
  close: () => void;
}

/** An HTTP request that reached us; the return is given through it. */
export interface IncomingRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: Record<string, string | undefined>;
  peer: string;
  aborted: AbortSignal;
  body: (most: number) => Promise<Result<string>>;
  writeHead: (status: number, headers: Record<string, string>) => void;
  write: (text: string) => Promise<boolean>;
  end: (text?: string) => void;
  destroy: () => void;
}

/** An HTTP request of ours. */
export interface HttpRequest {
  address: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  signal?: AbortSignal;
  timeoutMs: number;
}

/** The return to a request of ours; pieces are pulled, undefined is a whole end. */
export interface HttpResponse {
  status: number;
  headers: Record<string, string | undefined>;
  nextChunk: () => Promise<Result<string | undefined>>;
  cancel: () => void;
}

/** Something that listens. */
export interface Listener {
  address: string;
  close: () => Promise<void>;
}

/** The network. Addresses are `ip:port`. */
export interface Network {
  serveHttp: (
    at: string,
    take: (call: IncomingRequest) => Promise<void>,
  ) => Promise<Result<Listener>>;
  request: (q: HttpRequest) => Promise<Result<HttpResponse>>;
  listen: (at: string, take: (s: Connection) => void) => Promise<Result<Listener>>;
  connect: (at: string, within: number) => Promise<Result<Connection>>;
}
