/**
 * Connections between our own processes: a stream of MessagePack messages in both directions of a TCP socket.
 */

import net from 'node:net';
import { PackrStream, UnpackrStream } from 'msgpackr';
import { Result } from '../errors/errors';
import { Connection, Listener, Message } from '../ports/network';
import { makePushStream } from '../util/push-stream';
import { connectSocket, listenOn } from './sockets';

/** Connections that wait to be accepted. */
const BACKLOG = 1024;

/** Messages are plain objects, not msgpackr's records, which depend on what was sent before. */
const STREAM_OPTIONS = { useRecords: false };

class MessageConnection implements Connection {
  readonly peer: string;
  readonly closed: Promise<void>;
  private readonly encoder = new PackrStream(STREAM_OPTIONS);
  private readonly decoder = new UnpackrStream(STREAM_OPTIONS);
  private readonly received = makePushStream<Message>();
  readonly messages = this.received.stream;
  private isEnded = false;

  constructor(private readonly socket: net.Socket) {
    this.peer = `${socket.remoteAddress}:${socket.remotePort}`;
    socket.setNoDelay(true);
    this.encoder.pipe(socket);
    socket.pipe(this.decoder);
    this.closed = new Promise(this.resolveOnEnd.bind(this));
    this.decoder.on('data', this.received.push);
  }

  send(message: Message): boolean {
    return !this.isEnded && this.encoder.write(message);
  }

  close(): void {
    this.socket.destroy();
  }

  /** Ends the connection when any of its streams does. */
  private resolveOnEnd(resolve: () => void): void {
    const end = this.end.bind(this, resolve);
    for (const stream of [this.socket, this.encoder, this.decoder]) {
      stream.on('error', end);
      stream.on('close', end);
    }
    this.decoder.on('end', end);
  }

  private end(resolve: () => void): void {
    if (this.isEnded) return;
    this.isEnded = true;
    this.socket.destroy();
    this.received.end();
    resolve();
  }
}

/** The connection over a socket, as the port requires it: its functions need no `this`. */
function makeConnection(socket: net.Socket): Connection {
  const connection = new MessageConnection(socket);
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
  onConnection: (connection: Connection) => void,
): Promise<Result<Listener>> {
  const sockets = new Set<net.Socket>();
  function accept(socket: net.Socket): void {
    sockets.add(socket);
    function onClose(): void {
      sockets.delete(socket);
    }
    socket.on('close', onClose);
    onConnection(makeConnection(socket));
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
): Promise<Result<Connection>> {
  return connectSocket(
    { address, localAddress, timeoutMs, step: 'dial', timeoutReason: 'no stream in time' },
    makeConnection,
  );
}
