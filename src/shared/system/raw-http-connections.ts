/**
 * The connections of a raw HTTP server's callers: which requests are in progress on them, and when they are closed.
 */

import http from 'node:http';
import net from 'node:net';

/** What is known of the connection of one caller. */
interface CallerConnection {
  /** The requests that were read in part or whole and whose responses have not ended, each by the function that ends it. */
  inProgress: Set<() => void>;
  /** The request that came last, and its response. */
  newest?: { request: http.IncomingMessage; response: http.ServerResponse };
  /** Whether no request after the newest one is accepted. */
  isClosing: boolean;
  /** How long it may be idle, as its caller was last told. */
  promisedIdleMs: number;
  /** When it became idle, in ms of the machine's monotonic clock. */
  idleSince: number;
  /** The bytes that had been read from it by then. */
  bytesReadAtIdle: number;
}

/** HTTP status lines for what could not be read as a request, by the error's code. */
const STATUS_BY_CODE: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';

function newConnection(): CallerConnection {
  return {
    inProgress: new Set(),
    isClosing: false,
    promisedIdleMs: 0,
    idleSince: performance.now(),
    bytesReadAtIdle: 0,
  };
}

/** Whether no request has begun since the connection became idle. */
function isIdle(socket: net.Socket, connection: CallerConnection): boolean {
  return connection.inProgress.size === 0 && socket.bytesRead === connection.bytesReadAtIdle;
}

function markIdle(socket: net.Socket, connection: CallerConnection): void {
  connection.idleSince = performance.now();
  connection.bytesReadAtIdle = socket.bytesRead;
}

/** Keeps track of the connections of a server's callers: only idle ones are ever closed for idleness or for bytes that are no request. */
export class CallerConnectionTracker {
  private readonly connections = new Map<net.Socket, CallerConnection>();
  /** Called when no request is in progress any more. */
  private readonly idleListeners = new Set<() => void>();
  private inProgressCount = 0;

  /** Takes over a server's handling of idle connections and of errors; `idleMs` is the current idle limit. */
  constructor(
    server: http.Server,
    private readonly idleMs: () => number,
  ) {
    server.on('connection', this.onConnection.bind(this));
    server.on('timeout', this.onTimeout.bind(this));
    server.on('clientError', this.onClientError.bind(this));
  }

  /** Notes a request; resolves once its response has been written out or its connection is closed. Undefined where its connection accepts no more. */
  track(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> | undefined {
    const { socket } = req;
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.isClosing) return undefined;
    connection.newest = { request: req, response: res };
    return new Promise(this.resolveOnEnd.bind(this, socket, connection, res));
  }

  /** How many requests are in progress on all connections. */
  requestsInProgress(): number {
    return this.inProgressCount;
  }

  /** Resolves once no request is in progress, or after `timeoutMs`. */
  waitUntilIdle(timeoutMs: number): Promise<void> {
    const listeners = this.idleListeners;
    const hasNone = this.inProgressCount === 0;
    function run(resolve: () => void): void {
      if (hasNone) return resolve();
      const timer = setTimeout(onIdleOrTimeout, timeoutMs);
      listeners.add(onIdleOrTimeout);
      function onIdleOrTimeout(): void {
        clearTimeout(timer);
        listeners.delete(onIdleOrTimeout);
        resolve();
      }
    }
    return new Promise(run);
  }

  /** Whether a later request has come on the same connection. */
  isFollowed(req: http.IncomingMessage): boolean {
    return this.connections.get(req.socket)?.newest?.request !== req;
  }

  /** Notes the idle time that a caller was told. */
  notePromisedIdle(socket: net.Socket, idleMs: number): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) connection.promisedIdleMs = idleMs;
  }

  /** Notes that a caller was told that its connection closes after the response. */
  noteClosing(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) connection.isClosing = true;
  }

  private onConnection(socket: net.Socket): void {
    this.connections.set(socket, newConnection());
    socket.once('close', this.onClose.bind(this, socket));
  }

  private onClose(socket: net.Socket): void {
    for (const end of this.connections.get(socket)?.inProgress ?? []) end();
    this.connections.delete(socket);
  }

  private resolveOnEnd(
    socket: net.Socket,
    connection: CallerConnection,
    res: http.ServerResponse,
    resolve: () => void,
  ): void {
    const onRequestEnd = this.onRequestEnd.bind(this, socket, connection);
    connection.inProgress.add(end);
    this.inProgressCount++;
    res.once('close', end);
    function end(): void {
      if (!connection.inProgress.delete(end)) return;
      onRequestEnd();
      resolve();
    }
  }

  private onRequestEnd(socket: net.Socket, connection: CallerConnection): void {
    this.inProgressCount--;
    markIdle(socket, connection);
    if (connection.isClosing && connection.inProgress.size === 0) socket.destroySoon();
    if (this.inProgressCount === 0) for (const listener of this.idleListeners) listener();
  }

  /** Closes a connection that has been idle for its time, once what had already arrived has been read. */
  private onTimeout(socket: net.Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.inProgress.size > 0) return;
    if (!isIdle(socket, connection)) markIdle(socket, connection);
    const limitMs = Math.max(connection.promisedIdleMs, this.idleMs());
    const remainingMs = limitMs - (performance.now() - connection.idleSince);
    if (remainingMs > 0) return void socket.setTimeout(Math.ceil(remainingMs));
    setImmediate(closeIfIdle, socket, connection);
  }

  /** Answers bytes that are no request, unless a request that was read completely is still to be answered. */
  private onClientError(error: Error & { code?: string }, stream: NodeJS.WritableStream): void {
    const socket = stream as net.Socket;
    const connection = this.connections.get(socket);
    const unanswered = connection?.inProgress.size ?? 0;
    if (connection?.newest?.request.complete && unanswered > 0 && socket.writable) {
      connection.isClosing = true;
      return;
    }
    const isHeadSent = unanswered > 0 && connection?.newest?.response.headersSent;
    if (!socket.writable || unanswered > 1 || isHeadSent) return void socket.destroy(error);
    const status = STATUS_BY_CODE[error.code ?? ''] ?? BAD_REQUEST;
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    socket.destroySoon();
  }
}

function closeIfIdle(socket: net.Socket, connection: CallerConnection): void {
  if (isIdle(socket, connection)) socket.destroy();
}
