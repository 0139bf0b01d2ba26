import { Stream as Feed } from 'most';
import { Outcome } from './errors';

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

/** The log: a ring in memory, written out at `error`. */
export interface Log {
  info(fields: object, text: string): void;
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
}
