/**
 * Reading of raw HTTP responses: chunks are pulled, and a response that ends before its end is an error.
 */

import http from 'node:http';
import { Left, Right } from 'purify-ts';
import { ErrorCode } from '../errors/error-codes';
import { makeError, Result } from '../errors/errors';
import { RawHeaderList, RawHttpResponse } from '../ports/raw-http';

/** What a response belongs to. */
export interface ResponseContext {
  /** The step and the peer of errors. */
  step: string;
  peer: string;
  method: string;
  outgoing: http.ClientRequest;
  /** Called once the response has ended, in whatever way. */
  onEnd: () => void;
  /** Why this side ended the exchange, where it did. */
  endingCode: () => ErrorCode | undefined;
}

type ChunkListener = (chunk: Result<Uint8Array | undefined>) => void;

const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

/** Whether a response tells where it ends (RFC 9112, section 6.3). */
function hasKnownLength(method: string, response: http.IncomingMessage): boolean {
  const { statusCode, headers } = response;
  return (
    headers['content-length'] !== undefined ||
    /\bchunked\b/i.test(headers['transfer-encoding'] ?? '') ||
    method === 'HEAD' ||
    statusCode === NO_CONTENT ||
    statusCode === NOT_MODIFIED
  );
}

/** A response whose chunks are pulled one by one. */
export class PulledResponse implements RawHttpResponse {
  readonly status: number;
  readonly headers: RawHeaderList;
  readonly headersByName: Record<string, string | undefined>;
  readonly nextChunk = this.pullChunk.bind(this);
  readonly cancel = this.breakOff.bind(this);
  private readonly queue: Buffer[] = [];
  private readonly hasKnownLength: boolean;
  /** How the response ended. */
  private ending: Result<undefined> | undefined;
  /** Who waits for the next chunk. */
  private listener: ChunkListener | undefined;

  constructor(
    private readonly response: http.IncomingMessage,
    private readonly context: ResponseContext,
  ) {
    this.status = response.statusCode ?? 0;
    this.headers = response.rawHeaders;
    this.headersByName = response.headers as Record<string, string | undefined>;
    this.hasKnownLength = hasKnownLength(context.method, response);
    response.on('data', this.onData.bind(this));
    response.on('end', this.onEnd.bind(this));
    response.on('error', this.onError.bind(this));
    response.on('close', this.onClose.bind(this));
  }

  private pullChunk(): Promise<Result<Uint8Array | undefined>> {
    return new Promise(this.listen.bind(this));
  }

  private breakOff(): void {
    this.context.onEnd();
    this.context.outgoing.destroy();
  }

  private listen(listener: ChunkListener): void {
    const chunk = this.queue.shift();
    if (chunk !== undefined) {
      if (this.queue.length === 0) this.response.resume();
      return listener(Right(chunk));
    }
    if (this.ending !== undefined) return listener(this.ending);
    this.listener = listener;
  }

  private onData(chunk: Buffer): void {
    const { listener } = this;
    if (listener === undefined) {
      this.queue.push(chunk);
      this.response.pause();
      return;
    }
    this.listener = undefined;
    listener(Right(chunk));
  }

  private onEnd(): void {
    const isComplete = this.response.complete && this.hasKnownLength;
    this.finish(isComplete ? Right(undefined) : this.broken('ended without its end'));
  }

  private onError(error: Error): void {
    this.finish(this.broken(error));
  }

  private onClose(): void {
    const { readableEnded, complete } = this.response;
    if (!readableEnded || !complete) this.finish(this.broken('closed'));
  }

  private broken(reason: unknown): Result<undefined> {
    const { step, peer, endingCode } = this.context;
    return Left(makeError(step, peer, reason, 'unknown', endingCode() ?? 'broken'));
  }

  private finish(ending: Result<undefined>): void {
    if (this.ending !== undefined) return;
    this.ending = ending;
    this.context.onEnd();
    if (this.queue.length === 0) this.listener?.(ending);
  }
}
