import http from 'node:http';
import net from 'node:net';

/** What is kept about the connection of one caller. */
interface CallerConnection {
  /** Requests that were read in part or whole and whose answers have not ended; each is told by its function that its answer has. */
  underWay: Set<() => void>;
  /** The request that came last, and its answer. */
  newest?: { request: http.IncomingMessage; answer: http.ServerResponse };
  /** Whether no request after the newest one is taken. */
  closing: boolean;
  /** How long it may rest, as its caller was last told. */
  promisedMs: number;
  restingSince: number;
  /** Bytes that had been read from it when it came to rest. */
  bytesAtRest: number;
}

/** Watches over the connections of a server's callers: only those at rest are ever closed for idleness or for bytes that are no request. */
export interface CallerConnectionTracker {
  /** Notes a request; comes once its answer has been written out or its connection is closed. Nothing where its connection takes no more. */
  began: (req: http.IncomingMessage, res: http.ServerResponse) => Promise<void> | undefined;
  /** Requests on all connections whose answers have not ended. */
  underWay: () => number;
  /** Comes once no request is under way, or after `withinMs`. */
  settled: (withinMs: number) => Promise<void>;
  /** Whether a later request has come on the same connection. */
  isFollowed: (req: http.IncomingMessage) => boolean;
  /** Notes the idle time that a caller was told. */
  promised: (socket: net.Socket, ms: number) => void;
  /** Notes that an answer was worded as the last of its connection. */
  closesAfter: (socket: net.Socket) => void;
}

/** Answers to what could not be read as a request, by the error's code. */
const UNREADABLE: Record<string, string> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const BAD_REQUEST = '400 Bad Request';

/** Takes over a server's idle and error handling; `idleMs` is the idle limit of now. */
export function trackCallerConnections(
  server: http.Server,
  idleMs: () => number,
): CallerConnectionTracker {
  const connections = new Map<net.Socket, CallerConnection>();
  const settling = new Set<() => void>();
  let allUnderWay = 0;
  server.on('connection', opened);
  server.on('timeout', idle);
  server.on('clientError', unreadable);

  function opened(socket: net.Socket): void {
    connections.set(socket, {
      underWay: new Set(),
      closing: false,
      promisedMs: 0,
      restingSince: performance.now(),
      bytesAtRest: 0,
    });
    socket.once('close', gone);
    function gone(): void {
      for (const end of connections.get(socket)?.underWay ?? []) end();
      connections.delete(socket);
    }
  }

  function began(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> | undefined {
    const { socket } = req;
    const c = connections.get(socket);
    if (c === undefined || c.closing) return undefined;
    const connection = c;
    connection.newest = { request: req, answer: res };
    function wait(done: () => void): void {
      connection.underWay.add(ended);
      allUnderWay++;
      res.once('close', ended);
      function ended(): void {
        if (!connection.underWay.delete(ended)) return;
        allUnderWay--;
        restFromNow(socket, connection);
        if (connection.closing && connection.underWay.size === 0) socket.destroySoon();
        if (allUnderWay === 0) for (const tell of settling) tell();
        done();
      }
    }
    return new Promise(wait);
  }

  function underWay(): number {
    return allUnderWay;
  }

  function settled(withinMs: number): Promise<void> {
    function wait(done: () => void): void {
      if (allUnderWay === 0) return done();
      const timer = setTimeout(over, withinMs);
      settling.add(over);
      function over(): void {
        clearTimeout(timer);
        settling.delete(over);
        done();
      }
    }
    return new Promise(wait);
  }

  function isFollowed(req: http.IncomingMessage): boolean {
    return connections.get(req.socket)?.newest?.request !== req;
  }

  function promised(socket: net.Socket, ms: number): void {
    const c = connections.get(socket);
    if (c !== undefined) c.promisedMs = ms;
  }

  function closesAfter(socket: net.Socket): void {
    const c = connections.get(socket);
    if (c !== undefined) c.closing = true;
  }

  /** Whether no request has begun since the connection came to rest. */
  function rests(socket: net.Socket, c: CallerConnection): boolean {
    return c.underWay.size === 0 && socket.bytesRead === c.bytesAtRest;
  }

  function restFromNow(socket: net.Socket, c: CallerConnection): void {
    c.restingSince = performance.now();
    c.bytesAtRest = socket.bytesRead;
  }

  /** Closes a connection that has rested for its time, once what had already arrived has been read. */
  function idle(socket: net.Socket): void {
    const c = connections.get(socket);
    if (c === undefined || c.underWay.size > 0) return;
    if (!rests(socket, c)) restFromNow(socket, c);
    const left = Math.max(c.promisedMs, idleMs()) - (performance.now() - c.restingSince);
    if (left > 0) return void socket.setTimeout(Math.ceil(left));
    setImmediate(closeAtRest);
    function closeAtRest(): void {
      if (rests(socket, c!)) socket.destroy();
    }
  }

  /** Answers bytes that are no request, unless a request that was read whole is still to be answered. */
  function unreadable(error: Error & { code?: string }, stream: NodeJS.WritableStream): void {
    const socket = stream as net.Socket;
    const c = connections.get(socket);
    const unanswered = c?.underWay.size ?? 0;
    if (c?.newest?.request.complete && unanswered > 0 && socket.writable) {
      c.closing = true;
      return;
    }
    const headSent = unanswered > 0 && c?.newest?.answer.headersSent;
    if (!socket.writable || unanswered > 1 || headSent) return void socket.destroy(error);
    const status = UNREADABLE[error.code ?? ''] ?? BAD_REQUEST;
    socket.end(`HTTP/1.1 ${status}\r\nConnection: close\r\n\r\n`);
    socket.destroySoon();
  }

  return { began, underWay, settled, isFollowed, promised, closesAfter };
}
