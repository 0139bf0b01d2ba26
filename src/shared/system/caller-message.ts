/**
 * The message class of our HTTP servers: it keeps the body of a request in one buffer, whatever the chunks that it comes
 * in, and holds the buffer's bytes in the memory account.
 */

import http from 'node:http';
import { Right } from 'purify-ts';
import { ErrorCode } from '../errors/error-codes';
import { failure, Result } from '../errors/errors';
import { MemoryHold } from '../limits/memory-account';
import { bufferSizeFor, giveBuffer, takeBuffer } from './body-buffers';
import { awaitReadTurn } from './read-turns';

/** What one read of a socket may bring. */
const READ_BYTES = 65536;
/** The first buffer of a body of unknown length. */
const FIRST_BUFFER_BYTES = 4096;
/** Up to this size a buffer grows at once, without asking the account first. */
const UNASKED_BYTES = 2 * READ_BYTES;
/** How much is read on and discarded after a refusal, so that its caller can read the answer: so many times the largest body, or so many bytes where that is more. */
const READ_ON_RATIO = 2;
const MIN_READ_ON_BYTES = 16 * READ_BYTES;

/** Below this size a chunk costs more than its bytes; how many of those one turn of reading may bring. */
const TINY_CHUNK_BYTES = 128;
const TINY_CHUNKS_PER_TURN = 64;

/** How a body is read. */
export interface BodyOptions {
  maxBytes: number;
  /** How long the body may take, in ms from now. */
  timeoutMs?: number;
}

/** The share of the account's room that buffers may have which wait to be used again. */
const REUSABLE_RATIO = 0.5;

const EMPTY = Buffer.alloc(0);

type BodyListener = (body: Result<Uint8Array>) => void;

const REASONS: Partial<Record<ErrorCode, string>> = {
  'bad-body': 'broke off',
  overloaded: 'no memory is left for the body',
  timeout: 'the body did not come in time',
};

/** A request that came to a server of ours. */
export class CallerMessage extends http.IncomingMessage {
  /** Why the body is not read any more; what still comes of it is discarded. */
  refusal: ErrorCode | undefined;
  /** When the body must have come, in ms of the machine's monotonic clock. */
  bodyDeadlineAt = Infinity;
  /** Whether it waits for memory or for its reader, and its socket is not read meanwhile. */
  private isWaiting = false;
  /** Whether it waits for its turn, after many tiny chunks. */
  private awaitsTurn = false;
  private tinyChunks = 0;
  private hold: MemoryHold | undefined;
  private heldBytes = 0;
  private buffer: Buffer = EMPTY;
  private size = 0;
  private maxBytes: number | undefined;
  private listener: BodyListener | undefined;
  private isBodyComplete = false;
  /** Whether its reader has the buffer. */
  private isHandedOver = false;
  private discardedBytes = 0;

  /** Has the body's memory held by the hold of its connection. */
  attach(hold: MemoryHold): void {
    this.hold = hold;
  }

  /** Whether its socket is not read on purpose. */
  isHeldBack(): boolean {
    return this.isWaiting || this.awaitsTurn;
  }

  /** Whether its handler waits for the body. */
  isReadingBody(): boolean {
    return this.listener !== undefined;
  }

  /** Reads the complete body. Errors (refused): `too-large`, `overloaded`, `timeout`, and `bad-body` where the caller goes away. */
  readBody({ maxBytes, timeoutMs }: BodyOptions): Promise<Result<Uint8Array>> {
    return new Promise(this.startReading.bind(this, maxBytes, timeoutMs));
  }

  /** Gives the body up: its memory is released, and the rest is discarded as it comes. */
  refuse(code: ErrorCode): void {
    if (this.refusal !== undefined || this.isBodyComplete) return;
    this.refusal = code;
    this.discardedBytes = 0;
    this.releaseBody();
    this.goOn();
    this.resolveBody(this.refusedBody(code));
  }

  /** Releases the memory of the body. */
  releaseBody(): void {
    this.hold?.cancel();
    this.hold?.release(this.heldBytes);
    this.heldBytes = 0;
    if (!this.isHandedOver) giveBuffer(this.buffer, this.reusableBytes());
    this.buffer = EMPTY;
    this.size = 0;
  }

  /** Releases the memory of a body that its reader has copied. */
  releaseCopied(): void {
    this.isHandedOver = false;
    this.releaseBody();
  }

  /** Takes what the parser read of the body, null at its end; false where no more is to be read now. */
  override push(chunk: Buffer | null): boolean {
    if (chunk === null) {
      this.onBodyEnd();
      return super.push(null);
    }
    if (chunk.length < TINY_CHUNK_BYTES) this.countTinyChunk();
    if (this.refusal !== undefined) this.discard(chunk.length);
    else this.append(chunk);
    return this.mayGoOn() && !this.awaitsTurn;
  }

  /** Has the socket read on, unless this body waits for memory or for its reader. */
  override _read(size: number): void {
    if (!this.isHeldBack()) super._read(size);
  }

  private startReading(
    maxBytes: number,
    timeoutMs: number | undefined,
    listener: BodyListener,
  ): void {
    this.maxBytes = maxBytes;
    this.listener = listener;
    if (timeoutMs !== undefined) this.bodyDeadlineAt = performance.now() + timeoutMs;
    if (this.isBodyComplete) return this.resolveComplete();
    if (this.destroyed) return this.resolveBody(this.refusedBody('bad-body'));
    this.once('close', this.onClose.bind(this));
    const length = this.announcedBytes();
    if (Math.max(length, this.size) > maxBytes) return this.refuse('too-large');
    if (length > UNASKED_BYTES) this.growTo(length);
    if (!this.isWaiting) this.goOn();
  }

  private countTinyChunk(): void {
    this.tinyChunks++;
    if (this.tinyChunks < TINY_CHUNKS_PER_TURN || this.awaitsTurn) return;
    this.awaitsTurn = true;
    awaitReadTurn(this.onTurn.bind(this));
  }

  private onTurn(): void {
    this.awaitsTurn = false;
    this.tinyChunks = 0;
    if (!this.isWaiting) this.goOn();
  }

  private announcedBytes(): number {
    return Number(this.headers['content-length'] ?? 0);
  }

  private append(chunk: Buffer): void {
    const needed = this.size + chunk.length;
    if (this.maxBytes !== undefined && needed > this.maxBytes) return this.refuse('too-large');
    if (needed > this.buffer.length) this.enlarge(Math.max(needed, this.nextLength()));
    chunk.copy(this.buffer, this.size);
    this.size = needed;
  }

  /** The length of the next larger buffer. */
  private nextLength(): number {
    const length = this.announcedBytes();
    if (length > 0 && length <= UNASKED_BYTES) return length;
    return Math.max(FIRST_BUFFER_BYTES, 2 * this.buffer.length);
  }

  /** Whether more may be read: there is room for one more read, or the account gives it. */
  private mayGoOn(): boolean {
    if (this.refusal !== undefined) return true;
    if (this.isWaiting) return false;
    if (this.maxBytes === undefined) return this.waitForReader();
    const wanted = Math.min(this.size + READ_BYTES, this.maxBytes);
    if (wanted <= Math.max(this.buffer.length, UNASKED_BYTES)) return true;
    return this.growTo(Math.min(2 * this.buffer.length, this.maxBytes));
  }

  /** Before the body is asked for, no more of it is kept than one read brings. */
  private waitForReader(): boolean {
    this.isWaiting = this.size >= READ_BYTES;
    return !this.isWaiting;
  }

  /** Grows the buffer, once the account has the memory; false while it has not. */
  private growTo(neededBytes: number): boolean {
    const length = bufferSizeFor(neededBytes);
    const bytes = length - this.heldBytes;
    this.isWaiting =
      bytes > 0 && this.hold?.reserve(bytes, this.onGranted.bind(this, length, bytes)) === false;
    if (this.isWaiting) return false;
    this.heldBytes += Math.max(0, bytes);
    this.replaceBuffer(length);
    return true;
  }

  private onGranted(length: number, bytes: number): void {
    this.heldBytes += bytes;
    this.replaceBuffer(length);
    this.goOn();
  }

  /** Grows the buffer at once. */
  private enlarge(neededBytes: number): void {
    const length = bufferSizeFor(neededBytes);
    const bytes = Math.max(0, length - this.heldBytes);
    this.hold?.add(bytes);
    this.heldBytes += bytes;
    this.replaceBuffer(length);
  }

  private replaceBuffer(length: number): void {
    if (length <= this.buffer.length) return;
    const larger = takeBuffer(length, this.reusableBytes());
    this.buffer.copy(larger, 0, 0, this.size);
    giveBuffer(this.buffer, this.reusableBytes());
    this.buffer = larger;
  }

  /** How many bytes of buffers may be kept to be used again. */
  private reusableBytes(): number {
    return (this.hold?.roomBytes() ?? 0) * REUSABLE_RATIO;
  }

  /** Has the socket read again. */
  private goOn(): void {
    this.isWaiting = false;
    if (this.awaitsTurn || this.isBodyComplete || this.socket.destroyed) return;
    this.socket.resume();
  }

  /** Counts what comes after a refusal; a caller that sends without an end is cut off. */
  private discard(bytes: number): void {
    this.discardedBytes += bytes;
    const mostBytes = Math.max(READ_ON_RATIO * (this.maxBytes ?? 0), MIN_READ_ON_BYTES);
    if (this.discardedBytes > mostBytes) this.socket.destroy();
  }

  private onBodyEnd(): void {
    this.isBodyComplete = true;
    if (this.listener !== undefined) this.resolveComplete();
  }

  private resolveComplete(): void {
    const isTooLarge = this.size > (this.maxBytes ?? Infinity);
    if (isTooLarge) this.resolveBody(this.refusedBody('too-large'));
    else {
      this.isHandedOver = true;
      this.resolveBody(Right(this.buffer.subarray(0, this.size)));
    }
  }

  private onClose(): void {
    this.resolveBody(this.refusedBody('bad-body'));
  }

  private resolveBody(body: Result<Uint8Array>): void {
    const { listener } = this;
    this.listener = undefined;
    listener?.(body);
  }

  private refusedBody(code: ErrorCode): Result<Uint8Array> {
    const reason = REASONS[code] ?? `over ${this.maxBytes} bytes`;
    return failure('read body', this.socket.remoteAddress ?? '', reason, 'refused', code);
  }
}
