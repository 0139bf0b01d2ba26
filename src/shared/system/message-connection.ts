/**
 * Connections between our own processes: a stream of MessagePack messages in both directions of a TCP socket.
 */

import net from 'node:net';
import { PackrStream, UnpackrStream } from 'msgpackr';
import { Result } from '../errors/errors';
import { MemoryAccount, MemoryHold, MemoryHolder } from '../limits/memory-account';
import { Connection, Listener, Message } from '../ports/network';
import { makePushStream } from '../util/push-stream';
import { ServerResources } from './server-resources';
import { connectSocket, listenOn } from './sockets';

/** Connections that wait to be accepted. */
const BACKLOG = 1024;

/** What a connection holds by itself. */
const CONNECTION_BYTES = 16384;
/** The longest first message of a connection that was accepted: the peer only says who it is. */
const MAX_FIRST_MESSAGE_BYTES = 65536;

/** Messages are plain objects, not msgpackr's records, which depend on what was sent before. */
const STREAM_OPTIONS = { useRecords: false };

/** What a connection may hold of a message that has not come to its end. */
interface ReceiveBounds {
  firstBytes: number;
  maxBytes: number;
  account: MemoryAccount;
}

function isMessage(value: unknown): value is Message {
  return typeof value === 'object' && value !== null;
}

class MessageConnection implements Connection, MemoryHolder {
  readonly peer: string;
  readonly closed: Promise<void>;
  private readonly encoder = new PackrStream(STREAM_OPTIONS);
  private readonly decoder = new UnpackrStream(STREAM_OPTIONS);
  private readonly received = makePushStream<Message>();
  readonly messages = this.received.stream;
  private isEnded = false;
  /** Bytes that came since the last complete message; what the account holds of them. */
  private pendingBytes = 0;
  private heldBytes = 0;
  private maxPendingBytes: number;
  private readonly hold: MemoryHold | undefined;

  constructor(
    private readonly socket: net.Socket,
    private readonly bounds: ReceiveBounds,
  ) {
    this.maxPendingBytes = bounds.firstBytes;
    this.hold = bounds.account.open(this, CONNECTION_BYTES);
    this.peer = `${socket.remoteAddress}:${socket.remotePort}`;
    socket.setNoDelay(true);
    this.encoder.pipe(socket);
    socket.on('data', this.onBytes.bind(this));
    this.decoder.on('data', this.onMessage.bind(this));
    this.closed = new Promise(this.resolveOnEnd.bind(this));
    if (this.hold === undefined) socket.destroy();
  }

  /** A peer that has not sent a complete message for a while may be given up, not one that has nothing to send. */
  isEvictable(): boolean {
    return this.pendingBytes > 0 || this.isFirst();
  }

  evict(): void {
    this.socket.destroy();
    this.hold?.close();
  }

  send(message: Message): boolean {
    return !this.isEnded && this.encoder.write(message);
  }

  close(): void {
    this.socket.destroy();
  }

  /** Whether no message has come yet on a connection that was accepted. */
  private isFirst(): boolean {
    return this.maxPendingBytes < this.bounds.maxBytes;
  }

  /** Decodes what came; a message that gets too long ends the connection, and one for which there is no memory waits. */
  private onBytes(bytes: Buffer): void {
    this.pendingBytes += bytes.length;
    this.decoder.write(bytes);
    if (this.pendingBytes > this.maxPendingBytes) return void this.socket.destroy();
    const wanted = this.pendingBytes - this.heldBytes;
    if (wanted <= 0 || this.hold === undefined) return;
    if (this.hold.reserve(wanted, this.onGranted.bind(this, wanted))) this.heldBytes += wanted;
    else this.socket.pause();
  }

  private onGranted(bytes: number): void {
    this.heldBytes += bytes;
    this.socket.resume();
  }

  /** Passes a message on; what is none ends the connection. */
  private onMessage(message: unknown): void {
    if (!isMessage(message)) return void this.socket.destroy();
    this.pendingBytes = 0;
    this.hold?.release(this.heldBytes);
    this.heldBytes = 0;
    this.maxPendingBytes = this.bounds.maxBytes;
    this.received.push(message);
  }

  /** Ends the connection when any of its streams does. */
  private resolveOnEnd(resolve: () => void): void {
    const end = this.end.bind(this, resolve);
    for (const stream of [this.socket, this.encoder, this.decoder]) {
      stream.on('error', end);
      stream.on('close', end);
    }
    this.decoder.on('end', end);
    this.socket.on('end', end);
  }

  private end(resolve: () => void): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.hold?.close();
    this.socket.destroy();
    this.received.end();
    resolve();
  }
}

/** The connection over a socket, as the port requires it: its functions need no `this`. */
function makeConnection(bounds: ReceiveBounds, socket: net.Socket): Connection {
  const connection = new MessageConnection(socket, bounds);
  const { peer, closed, messages } = connection;
  return {
    peer,
    closed,
    messages,
    send: connection.send.bind(connection),
    close: connection.close.bind(connection),
  };
}

/** Listens for connections at an address. */
export function acceptConnections(
  address: string,
  { account, maxWholeBytes }: ServerResources,
  onConnection: (connection: Connection) => void,
): Promise<Result<Listener>> {
  const sockets = new Set<net.Socket>();
  const bounds = { account, maxBytes: maxWholeBytes, firstBytes: MAX_FIRST_MESSAGE_BYTES };
  function accept(socket: net.Socket): void {
    sockets.add(socket);
    function onClose(): void {
      sockets.delete(socket);
    }
    socket.on('close', onClose);
    onConnection(makeConnection(bounds, socket));
  }
  const server = net.createServer(accept);
  function close(): Promise<void> {
    for (const socket of sockets) socket.destroy();
    function run(resolve: () => void): void {
      server.close(resolve);
    }
    return new Promise(run);
  }
  function makeListener(bound: string): Listener {
    return { address: bound, close };
  }
  return listenOn(server, address, BACKLOG, makeListener);
}

/** Connects to a process of ours. */
export function connectToProcess(
  address: string,
  timeoutMs: number,
  localAddress: string | undefined,
  { account, maxWholeBytes }: ServerResources,
): Promise<Result<Connection>> {
  const bounds = { account, maxBytes: maxWholeBytes, firstBytes: maxWholeBytes };
  return connectSocket(
    { address, localAddress, timeoutMs, step: 'dial', timeoutReason: 'no stream in time' },
    makeConnection.bind(undefined, bounds),
  );
}
