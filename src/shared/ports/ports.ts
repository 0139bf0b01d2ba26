import { Stream as Feed } from 'most';
import { Result } from '../errors/errors';

/** Monotonic time; wall time for logs only. */
export interface Clock {
  now(): number;
  wallTime(): string;
  sleep(ms: number): Promise<void>;
  setTimer(ms: number, ring: () => void): () => void;
}

/** Randomness. */
export interface RandomSource {
  next(): number;
  uuid(): string;
}

/** One data folder; what a call has returned for is synced. */
export interface Disk {
  read(name: string): Promise<Result<Uint8Array | undefined>>;
  write(name: string, bytes: Uint8Array): Promise<Result<void>>;
  append(name: string, bytes: Uint8Array): Promise<Result<void>>;
}

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
  send(m: Message): boolean;
  close(): void;
}

/** An HTTP request that reached us; the return is given through it. */
export interface IncomingRequest {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: Record<string, string | undefined>;
  peer: string;
  aborted: AbortSignal;
  body(most: number): Promise<Result<string>>;
  writeHead(status: number, headers: Record<string, string>): void;
  write(text: string): Promise<boolean>;
  end(text?: string): void;
  destroy(): void;
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
  nextChunk(): Promise<Result<string | undefined>>;
  cancel(): void;
}

/** Something that listens. */
export interface Listener {
  address: string;
  close(): Promise<void>;
}

/** The network. Addresses are `ip:port`. */
export interface Network {
  serveHttp(at: string, take: (call: IncomingRequest) => Promise<void>): Promise<Result<Listener>>;
  request(q: HttpRequest): Promise<Result<HttpResponse>>;
  listen(at: string, take: (s: Connection) => void): Promise<Result<Listener>>;
  connect(at: string, within: number): Promise<Result<Connection>>;
}

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
  body(most: number): Promise<Result<Uint8Array>>;
  /** The head goes out with the first piece or the end. */
  writeHead(status: number, headers: RawHeaderList): void;
  write(bytes: Uint8Array): Promise<boolean>;
  end(bytes?: Uint8Array): void;
  destroy(): void;
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
  setLimits(l: ServeLimits): void;
  /** Connections and requests that have come so far. */
  arrivalCount(): number;
  /** Comes once all that has arrived by now was read and given to its handler. */
  readArrived(): Promise<void>;
  /** Ends listening, has what has arrived and what comes within `lingerMs` answered, and comes once all answers are written out, or after `withinMs`; gives how many are not. */
  closeGracefully(lingerMs: number, withinMs: number): Promise<number>;
}

/** The answer to a raw request; pieces are pulled, undefined is a whole end. */
export interface RawHttpResponse {
  status: number;
  headers: RawHeaderList;
  headersByName: Record<string, string | undefined>;
  nextChunk(): Promise<Result<Uint8Array | undefined>>;
  cancel(): void;
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
  isReusable(): boolean;
  /** Requests that it was used for. */
  useCount(): number;
  /** A fault of sort `refused` says that no byte was written; the answer must be whole within the ms. */
  request(q: RawHttpRequest, within: number, gone: AbortSignal): Promise<Result<RawHttpResponse>>;
  /** Called each time that it is idle again. */
  onIdle(told: () => void): void;
  /** Comes when it is closed: whether bytes came that nobody asked for. */
  closed: Promise<{ surplus: boolean }>;
  close(): void;
}

/** HTTP with untouched bytes and headers, and a say over connections. */
export interface RawHttpNetwork {
  serve(
    at: string,
    limits: ServeLimits,
    take: (call: RawIncomingRequest) => Promise<void>,
  ): Promise<Result<RawListener>>;
  connect(at: string, within: number): Promise<Result<HttpConnection>>;
}

/** The log: a ring in memory, written out at `error`. */
export interface Logger {
  info(fields: object, text: string): void;
  /** A rare line that is written out at once. */
  notice(fields: object, text: string): void;
  warn(fields: object, text: string): void;
  error(fields: object, text: string): void;
}

/** All that a library may touch outside itself. */
export interface Ports {
  clock: Clock;
  random: RandomSource;
  disk: Disk;
  network: Network;
  logger: Logger;
  /** Raw HTTP, where the process serves by another manner of speaking than our own. */
  rawHttp?: RawHttpNetwork;
}
