/**
 * The client side of raw HTTP: connections that the caller keeps, with one request at a time on each.
 */

import http from 'node:http';
import net from 'node:net';
import { Left, Right } from 'purify-ts';
import { ErrorCode, systemErrorCode } from '../errors/error-codes';
import { failure, makeError, Result } from '../errors/errors';
import { HttpConnection, RawHttpRequest, RawHttpResponse } from '../ports/raw-http';
import { OutgoingRequest } from './outgoing-request';
import { PulledResponse } from './raw-http-response';
import { connectSocket, ignore, splitAddress } from './sockets';

/** How long a connection may be without traffic before the kernel probes its peer (TCP keep-alive). */
const TCP_KEEP_ALIVE_MS = 1000;

type ResponseListener = (response: Result<RawHttpResponse>) => void;

/** What an exchange tells its connection of. */
interface ExchangeEvents {
  /** An error, after which the connection is of no use; `isComplete` where it came after the complete response. */
  onError: (isComplete: boolean) => void;
}

/** One request on a connection and its response. */
class RawExchange {
  /** Why this side ended the exchange, where it did. */
  private endingCode: ErrorCode | undefined;
  private isComplete = false;
  private request!: http.ClientRequest;
  private outgoing!: OutgoingRequest;
  private timer: NodeJS.Timeout | undefined;
  private readonly onAbort = this.abort.bind(this, 'caller-gone', 'the caller went away');

  constructor(
    private readonly peer: string,
    private readonly rawRequest: RawHttpRequest,
    private readonly aborted: AbortSignal,
    private readonly events: ExchangeEvents,
    private readonly resolve: ResponseListener,
  ) {}

  /** Sends the request by an agent that holds the connection. */
  start(agent: http.Agent, timeoutMs: number): void {
    const { method, target, headers, body } = this.rawRequest;
    this.request = http.request({
      agent,
      ...splitAddress(this.peer),
      method,
      path: target,
      headers: headers as never,
      setHost: false,
    });
    const onTimeout = this.abort.bind(this, 'timeout', 'no answer in time');
    this.timer = setTimeout(onTimeout, timeoutMs);
    this.aborted.addEventListener('abort', this.onAbort, { once: true });
    this.request.on('error', this.onError.bind(this));
    this.outgoing = new OutgoingRequest(this.request, {
      onResponse: this.onResponse.bind(this),
      onFailure: this.onFailure.bind(this),
    });
    this.request.end(body);
  }

  private abort(code: ErrorCode, reason: string): void {
    this.endingCode = code;
    this.outgoing.giveUp(new Error(reason));
  }

  /** Drops the timer and listener of an exchange that has ended. */
  private release(): void {
    clearTimeout(this.timer);
    this.aborted.removeEventListener('abort', this.onAbort);
  }

  private onError(): void {
    this.release();
    this.events.onError(this.isComplete);
  }

  private onFailure(error: Error): void {
    this.onError();
    const code = this.endingCode ?? systemErrorCode(error) ?? 'broken';
    this.resolve(Left(makeError(stepOf(this.rawRequest), this.peer, error, 'unknown', code)));
  }

  private onResponse(response: http.IncomingMessage): void {
    response.on('end', this.onResponseEnd.bind(this, response));
    const pulled = new PulledResponse(response, {
      step: stepOf(this.rawRequest),
      peer: this.peer,
      method: this.rawRequest.method,
      outgoing: this.request,
      onEnd: this.release.bind(this),
      endingCode: this.endingCodeOf.bind(this),
    });
    this.resolve(Right(pulled));
  }

  private onResponseEnd(response: http.IncomingMessage): void {
    this.isComplete = response.complete;
  }

  private endingCodeOf(): ErrorCode | undefined {
    return this.endingCode;
  }
}

function stepOf({ method, target }: RawHttpRequest): string {
  return `${method} ${target}`;
}

/** A connection; an agent of its own keeps it between requests. */
class KeptConnection {
  readonly closed: Promise<{ surplus: boolean }>;
  private readonly agent = new http.Agent({ keepAlive: true, maxSockets: 1, maxFreeSockets: 1 });
  private isBusy = false;
  /** Whether bytes came that belong to no response. */
  private hasSurplus = false;
  private idleListener: () => void = ignore;

  constructor(
    readonly address: string,
    private readonly socket: net.Socket,
  ) {
    this.takeOverSocket();
    socket.setNoDelay(true);
    socket.setKeepAlive(true, TCP_KEEP_ALIVE_MS);
    socket.on('data', this.onData.bind(this));
    socket.on('error', ignore);
    this.closed = new Promise(this.resolveOnClose.bind(this));
  }

  /** The connection for its user; its functions need no `this`. */
  toHttpConnection(): HttpConnection {
    return {
      address: this.address,
      isReusable: this.isReusable.bind(this),
      request: this.request.bind(this),
      onIdle: this.onIdle.bind(this),
      closed: this.closed,
      close: this.close.bind(this),
    };
  }

  isReusable(): boolean {
    const { destroyed, writable, readableEnded } = this.socket;
    return !this.isBusy && !this.hasSurplus && !destroyed && writable && !readableEnded;
  }

  onIdle(listener: () => void): void {
    this.idleListener = listener;
  }

  close(): void {
    this.socket.destroy();
  }

  request(
    request: RawHttpRequest,
    timeoutMs: number,
    aborted: AbortSignal,
  ): Promise<Result<RawHttpResponse>> {
    return new Promise(this.send.bind(this, request, timeoutMs, aborted));
  }

  private send(
    request: RawHttpRequest,
    timeoutMs: number,
    aborted: AbortSignal,
    resolve: ResponseListener,
  ): void {
    const { address } = this;
    const step = stepOf(request);
    if (!this.isReusable())
      return resolve(failure(step, address, 'the connection is not fit', 'refused', 'not-fit'));
    if (aborted.aborted)
      return resolve(failure(step, address, 'the caller went away', 'refused', 'caller-gone'));
    this.isBusy = true;
    const events = { onError: this.onExchangeError.bind(this) };
    new RawExchange(address, request, aborted, events, resolve).start(this.agent, timeoutMs);
  }

  /** Has the agent use this socket for all requests, and never close it itself. */
  private takeOverSocket(): void {
    const { agent, socket } = this;
    const release = this.release.bind(this);
    function createConnection(): net.Socket {
      return socket;
    }
    function keepSocketAlive(): boolean {
      process.nextTick(release);
      return true;
    }
    agent.createConnection = createConnection;
    (agent as { keepSocketAlive?: unknown }).keepSocketAlive = keepSocketAlive;
  }

  private release(): void {
    this.isBusy = false;
    if (this.isReusable()) this.idleListener();
  }

  private onData(): void {
    if (this.isBusy) return;
    this.hasSurplus = true;
    this.socket.destroy();
  }

  private onExchangeError(isComplete: boolean): void {
    if (isComplete) this.hasSurplus = true;
    this.socket.destroy();
  }

  private resolveOnClose(resolve: (closed: { surplus: boolean }) => void): void {
    this.socket.once('close', this.onClose.bind(this, resolve));
  }

  private onClose(resolve: (closed: { surplus: boolean }) => void): void {
    resolve({ surplus: this.hasSurplus });
  }
}

/** Connects to a server. Errors (refused): `timeout`, or the system's code. */
export function connect(
  address: string,
  timeoutMs: number,
  localAddress: string | undefined,
): Promise<Result<HttpConnection>> {
  function makeConnection(socket: net.Socket): HttpConnection {
    return new KeptConnection(address, socket).toHttpConnection();
  }
  const step = 'connect';
  const timeoutReason = 'no connection in time';
  return connectSocket({ address, localAddress, timeoutMs, step, timeoutReason }, makeConnection);
}
