/**
 * Guards a server of ours against callers that don't behave: each connection holds its memory in the account of the
 * process, has one request under way, and is closed when its caller gets nowhere for too long.
 */

import http from 'node:http';
import net from 'node:net';
import { MemoryAccount, MemoryHold, MemoryHolder } from '../limits/memory-account';
import { CallerMessage } from './caller-message';

/** What a connection holds by itself: its socket, its parser and what our classes keep of it. */
const CONNECTION_BYTES = 16384;
/** What a request holds beside its body. */
const REQUEST_BYTES = 4096;
/** How many requests of one connection are handled at once. */
const MAX_UNDER_WAY = 4;
/** The share of the time of a head after which connections are looked at again. */
const SWEEP_RATIO = 0.1;

/** How long callers may take, in ms. */
export interface CallerTimes {
  /** For a head, and for reading on after an answer that came before the end of its request. */
  headerTimeoutMs: number;
  /** Without sending or reading anything in the middle of a request. */
  idleTimeoutMs: number;
}

/** A request, its response, and what handles it. */
interface GuardedRequest {
  message: CallerMessage;
  response: http.ServerResponse;
  handle: () => void;
}

/** One connection of a caller. */
class GuardedConnection implements MemoryHolder {
  private hold!: MemoryHold;
  /** The requests under way by their messages, with what each holds beside its body; the newest is the last. */
  private readonly underWay = new Map<CallerMessage, number>();
  /** The requests that came behind those. */
  private waiting: GuardedRequest[] = [];
  /** The message whose answer was complete before the message was, and when that was. */
  private unfinished: CallerMessage | undefined;
  private readingOnSince = 0;
  /** Whether the connection closes once that message has come to its end. */
  private isFinal = false;
  /** Whether requests were dropped: none that follows is handled. */
  private isDropped = false;
  /** Bytes read and written when it last got anywhere, and when that was. */
  private bytesRead = 0;
  private bytesTaken = 0;
  private movedAt = performance.now();

  constructor(
    readonly socket: net.Socket,
    private readonly times: () => CallerTimes,
  ) {
    socket.destroySoon = this.destroySoon.bind(this, socket.destroySoon.bind(socket));
  }

  /** Holds what it holds in an account; false where there is no place for it. */
  openHold(account: MemoryAccount): boolean {
    const hold = account.open(this, CONNECTION_BYTES);
    if (hold) this.hold = hold;
    return hold !== undefined;
  }

  closeHold(): void {
    this.hold.close();
  }

  /** Has a request handled, once few enough of those before it on this connection are under way. */
  take(request: GuardedRequest): void {
    if (this.isDropped) return;
    request.message.attach(this.hold);
    if (this.underWay.size < MAX_UNDER_WAY) return this.begin(request);
    this.waiting.push(request);
    this.hold.add(REQUEST_BYTES);
    if (this.waiting.length === 1) setImmediate(this.stopReading.bind(this));
  }

  /** Holds bytes for a request under way until its answer has been written out. */
  addForRequest(message: CallerMessage, bytes: number): void {
    const heldBytes = this.underWay.get(message);
    if (heldBytes === undefined || bytes === 0) return;
    this.underWay.set(message, heldBytes + bytes);
    this.hold.add(bytes);
  }

  /** Nothing runs for it that would be lost: it is idle, its body is not complete, others wait behind it, or its caller does not read. */
  isEvictable(): boolean {
    const message = this.newest();
    if (message === undefined || this.waiting.length > 0) return true;
    return message.isReadingBody() || this.isUnread();
  }

  /** Gives way: a body that is not complete is refused, requests that wait are dropped, anything else closes the connection. */
  evict(): void {
    const message = this.newest();
    if (this.waiting.length > 0) return this.dropWaiting();
    if (message?.isReadingBody()) return message.refuse('overloaded');
    this.socket.destroy();
    this.hold.close();
  }

  /** Looks whether its caller gets anywhere. */
  sweep(now: number): void {
    const { bytesRead, bytesTaken } = this;
    const message = this.newest();
    this.bytesRead = this.socket.bytesRead;
    this.bytesTaken = this.takenBytes();
    const hasMoved = bytesRead !== this.bytesRead || bytesTaken !== this.bytesTaken;
    if (hasMoved || message?.isHeldBack()) this.movedAt = now;
    if (bytesTaken !== this.bytesTaken) this.hold.noteProgress();
    const { headerTimeoutMs, idleTimeoutMs } = this.times();
    if (this.unfinished !== undefined) return this.sweepUnfinished(now, headerTimeoutMs);
    if (message === undefined) return;
    const isIdle = now - this.movedAt > idleTimeoutMs;
    const isLate = now > message.bodyDeadlineAt;
    if (message.isReadingBody() && (isIdle || isLate)) message.refuse('timeout');
    else if (this.isUnread() && isIdle) this.socket.destroy();
  }

  private newest(): CallerMessage | undefined {
    return [...this.underWay.keys()].at(-1);
  }

  private begin(request: GuardedRequest): void {
    const { message, response, handle } = request;
    this.underWay.set(message, 0);
    this.addForRequest(message, REQUEST_BYTES);
    response.once('close', this.onAnswered.bind(this, message));
    handle();
  }

  private onAnswered(message: CallerMessage): void {
    message.releaseBody();
    this.hold.release(this.underWay.get(message) ?? 0);
    this.underWay.delete(message);
    if (this.socket.destroyed) return;
    if (this.isDropped && this.underWay.size === 0) return void this.socket.destroySoon();
    if (!message.complete) this.readOn(message);
    const next = this.waiting.shift();
    if (next === undefined) return;
    this.hold.release(REQUEST_BYTES);
    if (this.waiting.length === 0) this.socket.resume();
    this.begin(next);
  }

  /** Reads the rest of a request that has been answered, and discards it; no longer than a head may take. */
  private readOn(message: CallerMessage): void {
    this.unfinished = message;
    this.readingOnSince = performance.now();
  }

  private sweepUnfinished(now: number, headerTimeoutMs: number): void {
    if (this.unfinished?.complete) {
      this.unfinished = undefined;
      if (this.isFinal) this.socket.destroy();
    } else if (now - this.readingOnSince > headerTimeoutMs) this.socket.destroy();
  }

  /** Closes the connection once its answer is written; where the request has not come to its end, it is read on first, since a close with unread bytes would reset the connection, and lose the answer. */
  private destroySoon(destroySoonNow: () => void): void {
    const message = this.newest() ?? this.unfinished;
    if (message === undefined || message.complete) return destroySoonNow();
    this.isFinal = true;
    this.socket.end();
  }

  private stopReading(): void {
    if (this.waiting.length > 0) this.socket.pause();
  }

  /** Drops the requests that wait: none of them has run. The connection closes after the answers to those under way. */
  private dropWaiting(): void {
    this.hold.release(REQUEST_BYTES * this.waiting.length);
    this.waiting = [];
    this.isDropped = true;
  }

  /** Whether an answer waits of which its caller has taken nothing since the connection was last looked at. */
  private isUnread(): boolean {
    return this.socket.writableLength > 0 && this.takenBytes() === this.bytesTaken;
  }

  /** Bytes of answers that the system has taken. */
  private takenBytes(): number {
    return this.socket.bytesWritten - this.socket.writableLength;
  }
}

/** Guards the connections of one server. */
export class ConnectionGuard {
  private readonly connections = new Map<net.Socket, GuardedConnection>();
  private timer: NodeJS.Timeout | undefined;

  /** `times` tells how long callers may take now. */
  constructor(
    server: http.Server,
    private readonly account: MemoryAccount,
    private readonly times: () => CallerTimes,
  ) {
    server.prependListener('connection', this.onConnection.bind(this));
    server.on('listening', this.start.bind(this));
    server.on('close', this.stop.bind(this));
  }

  /** Has a request handled in the turn of its connection. */
  take(message: http.IncomingMessage, response: http.ServerResponse, handle: () => void): void {
    const guarded = this.connections.get(message.socket);
    guarded?.take({ message: message as CallerMessage, response, handle });
  }

  /** Holds bytes for a request until its answer has been written out. */
  addForRequest(message: http.IncomingMessage, bytes: number): void {
    this.connections.get(message.socket)?.addForRequest(message as CallerMessage, bytes);
  }

  private onConnection(socket: net.Socket): void {
    const guarded = new GuardedConnection(socket, this.times);
    if (!guarded.openHold(this.account)) return void socket.destroy();
    this.connections.set(socket, guarded);
    socket.once('close', this.onClose.bind(this, socket, guarded));
  }

  private onClose(socket: net.Socket, guarded: GuardedConnection): void {
    guarded.closeHold();
    this.connections.delete(socket);
  }

  private start(): void {
    this.timer = setInterval(this.sweep.bind(this), this.times().headerTimeoutMs * SWEEP_RATIO);
    this.timer.unref();
  }

  private stop(): void {
    clearInterval(this.timer);
  }

  private sweep(): void {
    const now = performance.now();
    for (const connection of this.connections.values()) connection.sweep(now);
  }
}
