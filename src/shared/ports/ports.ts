import { Stream as Feed } from 'most';
import { Outcome } from '../errors/errors';

/** Monotonic time; wall time for logs only. */
export interface Clock {
  now(): number;
  wall(): string;
  sleep(ms: number): Promise<void>;
  timer(ms: number, ring: () => void): () => void;
}

/** Randomness. */
export interface Dice {
  next(): number;
  id(): string;
}

/** One data folder; what a call has returned for is synced. */
export interface Disk {
  read(name: string): Promise<Outcome<Uint8Array | undefined>>;
  write(name: string, bytes: Uint8Array): Promise<Outcome<void>>;
  append(name: string, bytes: Uint8Array): Promise<Outcome<void>>;
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
  feed: Feed<Message>;
  done: Promise<void>;
  send(m: Message): boolean;
  close(): void;
}

/** An HTTP request that reached us; the return is given through it. */
export interface Call {
  method: string;
  path: string;
  query: URLSearchParams;
  headers: Record<string, string | undefined>;
  peer: string;
  gone: AbortSignal;
  body(most: number): Promise<Outcome<string>>;
  head(status: number, headers: Record<string, string>): void;
  piece(text: string): Promise<boolean>;
  end(text?: string): void;
  breakOff(): void;
}

/** An HTTP request of ours. */
export interface Ask {
  at: string;
  method: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  gone?: AbortSignal;
  within: number;
}

/** The return to a request of ours; pieces are pulled, undefined is a whole end. */
export interface Reply {
  status: number;
  headers: Record<string, string | undefined>;
  next(): Promise<Outcome<string | undefined>>;
  cancel(): void;
}

/** Something that listens. */
export interface Listening {
  at: string;
  close(): Promise<void>;
}

/** The network. Addresses are `ip:port`. */
export interface Wire {
  serve(at: string, take: (call: Call) => Promise<void>): Promise<Outcome<Listening>>;
  ask(q: Ask): Promise<Outcome<Reply>>;
  accept(at: string, take: (s: Connection) => void): Promise<Outcome<Listening>>;
  dial(at: string, within: number): Promise<Outcome<Connection>>;
}

/** Headers as they stand on the wire: name, value, name, value. */
export type HeaderList = string[];

/** An HTTP request that reached us, its bytes and headers untouched. */
export interface RawCall {
  method: string;
  target: string;
  headers: HeaderList;
  /** Headers by name in lower case. */
  fields: Record<string, string | undefined>;
  peer: string;
  /** Aborted when the caller goes away before its answer is whole. */
  gone: AbortSignal;
  body(most: number): Promise<Outcome<Uint8Array>>;
  /** The head goes out with the first piece or the end. */
  head(status: number, headers: HeaderList): void;
  piece(bytes: Uint8Array): Promise<boolean>;
  end(bytes?: Uint8Array): void;
  breakOff(): void;
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
export interface RawListening extends Listening {
  limit(l: ServeLimits): void;
  /** Connections and requests that have come so far. */
  arrivals(): number;
  /** Comes once all that has arrived by now was read and given to its handler. */
  readArrived(): Promise<void>;
  /** Ends listening, has what has arrived and what comes within `lingerMs` answered, and comes once all answers are written out, or after `withinMs`; gives how many are not. */
  settle(lingerMs: number, withinMs: number): Promise<number>;
}

/** The answer to a raw request; pieces are pulled, undefined is a whole end. */
export interface RawReply {
  status: number;
  headers: HeaderList;
  fields: Record<string, string | undefined>;
  next(): Promise<Outcome<Uint8Array | undefined>>;
  cancel(): void;
}

/** A raw request of ours. */
export interface RawAsk {
  method: string;
  target: string;
  headers: HeaderList;
  body?: Uint8Array | string;
}

/** A kept HTTP connection of ours: one request at a time. */
export interface HttpConnection {
  at: string;
  /** Whether it is up, idle, and no byte came that nobody asked for. */
  fit(): boolean;
  /** Requests that it was used for. */
  uses(): number;
  /** A fault of sort `refused` says that no byte was written; the answer must be whole within the ms. */
  ask(q: RawAsk, within: number, gone: AbortSignal): Promise<Outcome<RawReply>>;
  /** Called each time that it is idle again. */
  onIdle(told: () => void): void;
  /** Comes when it is closed: whether bytes came that nobody asked for. */
  done: Promise<{ surplus: boolean }>;
  close(): void;
}

/** HTTP with untouched bytes and headers, and a say over connections. */
export interface HttpWire {
  serve(
    at: string,
    limits: ServeLimits,
    take: (call: RawCall) => Promise<void>,
  ): Promise<Outcome<RawListening>>;
  connect(at: string, within: number): Promise<Outcome<HttpConnection>>;
}

/** The log: a ring in memory, written out at `error`. */
export interface Log {
  info(fields: object, text: string): void;
  /** A rare line that is written out at once. */
  notice(fields: object, text: string): void;
  warn(fields: object, text: string): void;
  error(fields: object, text: string): void;
}

/** All that a library may touch outside itself. */
export interface Ports {
  clock: Clock;
  dice: Dice;
  disk: Disk;
  wire: Wire;
  log: Log;
  /** Raw HTTP, where the process serves by another manner of speaking than our own. */
  http?: HttpWire;
}
