/**
 * The client side of HTTP of the network port, by Node's own.
 */

import http from 'node:http';
import net from 'node:net';
import { TextDecoder } from 'node:util';
import { Left, Right } from 'purify-ts';
import { ErrorCode, systemErrorCode } from '../errors/error-codes';
import { Certainty, makeError, Result } from '../errors/errors';
import { HttpRequest, HttpResponse } from '../ports/network';
import { OutgoingRequest } from './outgoing-request';
import { ignore, splitAddress } from './sockets';

/** Codes of errors before any byte was sent: the request had certainly no effect. */
const NOT_SENT_CODES = new Set<ErrorCode>([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ECONNTIMEOUT',
]);
/** Connections to one peer. */
const MAX_CONNECTIONS = 256;
/** How long an idle connection is kept. */
const IDLE_TIMEOUT_MS = 4000;

/** How connections are made. */
interface ClientOptions {
  agent: http.Agent;
  connectTimeoutMs: number;
  localAddress: string | undefined;
  maxWholeBytes: number;
}

type ResponseListener = (response: Result<HttpResponse>) => void;

/** One request and its response. */
class HttpExchange {
  private readonly step: string;
  /** Why this side ended the exchange, and what is certain then. */
  private ending: { certainty: Certainty; code: ErrorCode } | undefined;
  private isConnected = false;
  private outgoing!: OutgoingRequest;
  private timeout: NodeJS.Timeout | undefined;
  private connectTimeout: NodeJS.Timeout | undefined;
  private readonly onAbort = this.abort.bind(this, 'timeout');

  constructor(
    private readonly request: HttpRequest,
    private readonly options: ClientOptions,
    private readonly resolve: ResponseListener,
  ) {
    this.step = `${request.method} ${request.path}`;
  }

  /** Sends the request. */
  start(): void {
    const { signal, body, timeoutMs } = this.request;
    const clientRequest = this.makeClientRequest();
    this.timeout = setTimeout(this.onAbort, timeoutMs);
    clientRequest.on('socket', this.onSocket.bind(this));
    this.outgoing = new OutgoingRequest(clientRequest, {
      onResponse: this.onResponse.bind(this),
      onFailure: this.onFailure.bind(this),
    });
    signal?.addEventListener('abort', this.onAbort, { once: true });
    if (signal?.aborted) this.onAbort();
    clientRequest.end(body);
  }

  private makeClientRequest(): http.ClientRequest {
    const { address, method, path, body } = this.request;
    const { agent, localAddress } = this.options;
    const headers: Record<string, string | number> = { ...this.request.headers };
    if (body !== undefined) headers['content-length'] = Buffer.byteLength(body);
    return http.request({ ...splitAddress(address), method, path, headers, agent, localAddress });
  }

  private abort(code: ErrorCode): void {
    this.ending = this.ending ?? { certainty: this.isConnected ? 'unknown' : 'refused', code };
    this.outgoing.giveUp(new Error(`given up: ${code}`));
  }

  /** Drops the timers and listeners of an exchange that has ended. */
  private release(): void {
    clearTimeout(this.timeout);
    clearTimeout(this.connectTimeout);
    this.request.signal?.removeEventListener('abort', this.onAbort);
  }

  private onFailure(error: Error): void {
    this.release();
    const code = this.ending?.code ?? systemErrorCode(error) ?? 'broken';
    const isNotSent = NOT_SENT_CODES.has(code);
    const certainty = this.ending?.certainty ?? (isNotSent ? 'refused' : 'unknown');
    this.resolve(Left(makeError(this.step, this.request.address, error, certainty, code)));
  }

  private onSocket(socket: net.Socket): void {
    if (!socket.connecting) return this.onConnect();
    const decide = this.onConnectTimeout.bind(this);
    this.connectTimeout = setTimeout(setImmediate, this.options.connectTimeoutMs, decide);
    socket.once('connect', this.onConnect.bind(this));
  }

  private onConnect(): void {
    this.isConnected = true;
    clearTimeout(this.connectTimeout);
  }

  /** Runs one turn after the timer: a connection that came up while the event loop was held up counts as in time. */
  private onConnectTimeout(): void {
    if (!this.isConnected) this.abort('ECONNTIMEOUT');
  }

  private onResponse(response: http.IncomingMessage): void {
    const chunks = response[Symbol.asyncIterator]() as AsyncIterator<Buffer>;
    const decoder = new TextDecoder();
    this.resolve(
      Right({
        status: response.statusCode ?? 0,
        headers: response.headers as Record<string, string | undefined>,
        nextChunk: this.nextChunk.bind(this, chunks, decoder),
        cancel: this.cancel.bind(this, response),
        maxWholeBytes: this.options.maxWholeBytes,
      }),
    );
  }

  private async nextChunk(
    chunks: AsyncIterator<Buffer>,
    decoder: TextDecoder,
  ): Promise<Result<string | undefined>> {
    try {
      const next = await chunks.next();
      if (next.done !== true) return Right(decoder.decode(next.value, { stream: true }));
      this.release();
      return Right(undefined);
    } catch (error) {
      this.release();
      const code = this.ending?.code ?? systemErrorCode(error);
      return Left(makeError(this.step, this.request.address, error, 'unknown', code));
    }
  }

  private cancel(response: http.IncomingMessage): void {
    this.release();
    response.on('error', ignore);
    response.destroy();
  }
}

/**
 * Makes a client that keeps connections. A connection may take `connectTimeoutMs`. Errors: `ECONNTIMEOUT` (refused),
 * `timeout` where the request's time is over or it was aborted (refused before it was connected, else of unknown
 * effect), or the system's code.
 */
export function makeHttpClient(
  connectTimeoutMs: number,
  localAddress: string | undefined,
  maxWholeBytes: number,
): (request: HttpRequest) => Promise<Result<HttpResponse>> {
  const agent = new http.Agent({
    keepAlive: true,
    maxSockets: MAX_CONNECTIONS,
    timeout: IDLE_TIMEOUT_MS,
  });
  const options: ClientOptions = { agent, connectTimeoutMs, localAddress, maxWholeBytes };

  function send(request: HttpRequest): Promise<Result<HttpResponse>> {
    function run(resolve: ResponseListener): void {
      new HttpExchange(request, options, resolve).start();
    }
    return new Promise(run);
  }
  return send;
}
