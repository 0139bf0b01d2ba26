/**
 * Remote procedure calls over one connection, both ways: requests and responses are paired by ids, notifications have
 * no response.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, failure, makeError, OperationError, Result } from '../errors/errors';
import { Connection, Message } from '../ports/network';
import { Ports } from '../ports/ports';
import { Hello } from './hello';
import { dispatch } from './message-handlers';
import { decodeError, encodeError, WireError } from './wire-error';

/** Requests, responses and notifications over one connection. */
export interface PeerChannel {
  connection: Connection;
  /** The peer's address. */
  peer: string;
  /** The peer's handshake message, once it came. */
  hello?: Hello;
  /** Resolves when the connection has ended. */
  closed: Promise<void>;
  /** When something last came from the peer, in ms of the clock port. */
  lastReceivedAt: () => number;
  /**
   * Sends a request and waits for its response. Errors: that of the peer's handler; `timeout` after `timeoutMs`, or
   * `ended` where the connection ended meanwhile (both of unknown effect); `ended` (refused) where it had ended before.
   */
  request: (type: string, body: unknown, timeoutMs: number) => Promise<Result<unknown>>;
  /** Sends a notification; false where the connection has ended or its buffer is full. */
  notify: (type: string, body: unknown) => boolean;
  close: () => void;
}

/** What sends requests to a peer. */
export type RequestChannel = Pick<PeerChannel, 'request' | 'peer'>;

type ResponseListener = (response: Result<unknown>) => void;

/** A channel over one connection of the network port. */
class ConnectionChannel implements PeerChannel {
  peer: string;
  hello?: Hello;
  readonly closed: Promise<void>;
  private readonly pending = new Map<number, ResponseListener>();
  private lastId = 0;
  private isEnded = false;
  private receivedAt: number;

  constructor(
    private readonly ports: Ports,
    readonly connection: Connection,
    private readonly handlers: readonly object[],
  ) {
    this.receivedAt = ports.clock.now();
    this.peer = connection.peer;
    this.closed = connection.closed;
  }

  /** Starts to read messages. */
  open(): void {
    void this.connection.messages.observe(this.onMessage.bind(this));
    void this.connection.closed.then(this.onEnd.bind(this));
  }

  lastReceivedAt(): number {
    return this.receivedAt;
  }

  request(type: string, body: unknown, timeoutMs: number): Promise<Result<unknown>> {
    const id = ++this.lastId;
    return new Promise(this.sendRequest.bind(this, { id, type, body }, timeoutMs));
  }

  notify(type: string, body: unknown): boolean {
    return !this.isEnded && this.connection.send({ type, body });
  }

  close(): void {
    this.connection.close();
  }

  private sendRequest(
    request: Message & { id: number; type: string },
    timeoutMs: number,
    resolve: ResponseListener,
  ): void {
    const { id, type } = request;
    const { pending, peer } = this;
    if (this.isEnded) return resolve(failure(type, peer, 'stream ended', 'refused', 'ended'));
    const cancelTimer = this.ports.clock.setTimer(timeoutMs, onTimeout);
    function onTimeout(): void {
      pending.delete(id);
      resolve(failure(type, peer, 'no return in time', 'unknown', 'timeout'));
    }
    function onResponse(response: Result<unknown>): void {
      cancelTimer();
      pending.delete(id);
      resolve(response);
    }
    pending.set(id, onResponse);
    this.connection.send(request);
  }

  private onMessage(message: Message): void {
    this.receivedAt = this.ports.clock.now();
    if (message.re !== undefined) this.onResponse(message.re, message);
    else void this.handle(message);
  }

  private onResponse(id: number, { fault, body }: Message): void {
    this.pending.get(id)?.(fault ? Left(decodeError(fault as WireError)) : Right(body));
  }

  /** Has a request or notification handled, and responds to a request. */
  private async handle({ id, type, body }: Message): Promise<void> {
    const [error, reply] = errorOrValue(
      await dispatch(this.handlers, type ?? '', body, this, this.peer),
    );
    if (id !== undefined)
      this.connection.send(error ? { re: id, fault: encodeError(error) } : { re: id, body: reply });
    else if (error) this.logRefusal(error);
  }

  private logRefusal({ step, peer, reason }: OperationError): void {
    this.ports.logger.warn({ step, peer }, reason);
  }

  private onEnd(): void {
    this.isEnded = true;
    for (const listener of [...this.pending.values()])
      listener(failure('ask', this.peer, 'stream ended', 'unknown', 'ended'));
  }
}

/** Opens a channel on a connection; the first of `handlers` that declares a message's type handles it. */
export function openChannel(
  ports: Ports,
  connection: Connection,
  handlers: readonly object[],
): PeerChannel {
  const channel = new ConnectionChannel(ports, connection, handlers);
  channel.open();
  return channel;
}

/** Connects to a peer, does the handshake, sends one request, and closes the connection; each step may take `timeoutMs`. */
export async function requestOnce(
  ports: Ports,
  hello: Hello,
  handlers: readonly object[],
  address: string,
  type: string,
  body: unknown,
  timeoutMs: number,
): Promise<Result<unknown>> {
  const [error, connection] = errorOrValue(await ports.network.connect(address, timeoutMs));
  if (error) return Left(error);
  const channel = openChannel(ports, connection, handlers);
  const handshake = await channel.request('hello', hello, timeoutMs);
  const response = handshake.isLeft() ? handshake : await channel.request(type, body, timeoutMs);
  channel.close();
  return response;
}

/** The error of a step with a peer to which no connection is up. */
export function notConnected(step: string, address: string): OperationError {
  return makeError(step, address, 'no stream up', 'refused', 'no-stream');
}
