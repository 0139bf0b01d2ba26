/**
 * The server side of raw HTTP: requests are given as they came, and the server closes without losing a request.
 */

import http from 'node:http';
import net from 'node:net';
import { setImmediate as nextTurn, setTimeout as sleep } from 'node:timers/promises';
import { Result } from '../errors/errors';
import { RawHeaderList, RawIncomingRequest, RawListener, ServeLimits } from '../ports/raw-http';
import { MemoryAccount } from '../limits/memory-account';
import { BodyOptions, CallerMessage } from './caller-message';
import { ConnectionGuard } from './connection-guard';
import { abortOnClose, writeChunk } from './http-io';
import { CallerConnectionTracker } from './raw-http-connections';
import { ignore, listenOn } from './sockets';

/** The longest head of a request. */
const MAX_HEADER_BYTES = 65536;
/** Connections that wait to be accepted. */
const BACKLOG = 4096;
/** The idle time that callers are told, as a ratio of the idle limit: they give a connection up before the server does. */
const PROMISED_IDLE_RATIO = 0.8;
const MS_PER_S = 1000;
/** Turns of the event loop after which all that had arrived has been read: a connection is accepted in one, its request is read in the next, and the first may lack its reads. */
const READING_TURNS = 4;

/** What a request needs of its server. */
interface RequestContext {
  limits: () => ServeLimits;
  callers: CallerConnectionTracker;
  /** Resolves once the response has been written out. */
  written: Promise<void>;
}

/** The head of a response: whether the connection stays, and for how long it may be idle. */
class ResponseHead {
  constructor(
    private readonly req: http.IncomingMessage,
    private readonly res: http.ServerResponse,
    private readonly context: RequestContext,
  ) {}

  write(status: number, headers: RawHeaderList): void {
    const { res } = this;
    if (res.headersSent) return;
    if (this.isLast()) {
      this.context.callers.noteClosing(this.req.socket);
      res.shouldKeepAlive = false;
      res.writeHead(status, headers);
    } else {
      res.writeHead(status, [...headers, ...this.keepAliveHeaders()]);
    }
  }

  /** Whether the connection closes after this response. */
  private isLast(): boolean {
    const { limits, callers } = this.context;
    const isRefused = (this.req as CallerMessage).refusal !== undefined;
    if (isRefused) return true;
    return (limits().closing || !this.res.shouldKeepAlive) && !callers.isFollowed(this.req);
  }

  /** Tells the caller how long the connection may be idle, in whole seconds. */
  private keepAliveHeaders(): RawHeaderList {
    const { limits, callers } = this.context;
    const { idleTimeoutMs } = limits();
    const promisedS = Math.max(1, Math.floor((idleTimeoutMs * PROMISED_IDLE_RATIO) / MS_PER_S));
    const keptMs = Math.max(idleTimeoutMs, (promisedS * MS_PER_S) / PROMISED_IDLE_RATIO);
    callers.notePromisedIdle(this.req.socket, keptMs);
    return ['Connection', 'keep-alive', 'Keep-Alive', `timeout=${promisedS}`];
  }
}

function makeIncomingRequest(
  req: http.IncomingMessage,
  res: http.ServerResponse,
  context: RequestContext,
): RawIncomingRequest {
  const aborted = abortOnClose(res).signal;
  const head = new ResponseHead(req, res, context);
  res.on('error', ignore);
  req.on('error', ignore);

  function body(maxBytes: number, timeoutMs?: number): Promise<Result<Uint8Array>> {
    const options: BodyOptions = { maxBytes, timeoutMs };
    return (req as CallerMessage).readBody(options);
  }
  function write(bytes: Uint8Array): Promise<boolean> {
    return writeChunk(res, aborted, bytes);
  }
  function end(bytes?: Uint8Array): void {
    res.end(bytes);
  }
  function destroy(): void {
    if (req.httpVersion === '1.1') req.socket.destroy();
    else req.socket.resetAndDestroy();
  }
  return {
    method: req.method ?? 'GET',
    target: req.url ?? '/',
    headers: req.rawHeaders,
    headersByName: req.headers as Record<string, string | undefined>,
    peer: req.socket.remoteAddress ?? '',
    aborted,
    body,
    writeHead: head.write.bind(head),
    write,
    end,
    destroy,
    written: context.written,
  };
}

class RawHttpServer {
  readonly server: http.Server;
  private readonly callers: CallerConnectionTracker;
  private readonly guard: ConnectionGuard;
  private arrived = 0;

  constructor(
    private limits: ServeLimits,
    account: MemoryAccount,
    private readonly onRequest: (call: RawIncomingRequest) => Promise<void>,
  ) {
    this.server = http.createServer(
      {
        IncomingMessage: CallerMessage,
        maxHeaderSize: MAX_HEADER_BYTES,
        keepAlive: true,
        noDelay: true,
        requestTimeout: 0,
        connectionsCheckingInterval: limits.headerTimeoutMs,
      },
      this.receive.bind(this),
    );
    this.server.on('connection', this.onConnection.bind(this));
    this.callers = new CallerConnectionTracker(this.server, this.idleTimeoutMs.bind(this));
    this.guard = new ConnectionGuard(this.server, account, this.currentLimits.bind(this));
    this.setLimits(limits);
  }

  setLimits(limits: ServeLimits): void {
    this.limits = limits;
    this.server.headersTimeout = limits.headerTimeoutMs;
    this.server.keepAliveTimeout = limits.idleTimeoutMs;
  }

  arrivalCount(): number {
    return this.arrived;
  }

  async readArrived(): Promise<void> {
    for (let turn = 0; turn < READING_TURNS; turn++) await nextTurn();
  }

  async closeGracefully(lingerMs: number, withinMs: number): Promise<number> {
    const { callers } = this;
    const end = performance.now() + withinMs;
    this.setLimits({ ...this.limits, closing: true });
    await this.readArrived();
    this.stopListening();
    await sleep(lingerMs);
    await this.readArrived();
    while (callers.requestsInProgress() > 0 && performance.now() < end) {
      await callers.waitUntilIdle(end - performance.now());
      await this.readArrived();
    }
    return callers.requestsInProgress();
  }

  close(): Promise<void> {
    const { server } = this;
    function run(resolve: () => void): void {
      server.close(resolve);
      server.closeAllConnections();
    }
    return new Promise(run);
  }

  /** The listener at an address; its functions need no `this`. */
  listenerAt(address: string): RawListener {
    this.server.on('error', ignore);
    return {
      address,
      close: this.close.bind(this),
      setLimits: this.setLimits.bind(this),
      arrivalCount: this.arrivalCount.bind(this),
      readArrived: this.readArrived.bind(this),
      closeGracefully: this.closeGracefully.bind(this),
    };
  }

  private receive(req: http.IncomingMessage, res: http.ServerResponse): void {
    const { callers } = this;
    const written = callers.track(req, res);
    if (written === undefined) return;
    this.arrived++;
    const limits = this.currentLimits.bind(this);
    const call = makeIncomingRequest(req, res, { limits, callers, written });
    this.guard.take(req, res, this.handle.bind(this, call));
  }

  private handle(call: RawIncomingRequest): void {
    void this.onRequest(call);
  }

  private onConnection(): void {
    this.arrived++;
  }

  private currentLimits(): ServeLimits {
    return this.limits;
  }

  private idleTimeoutMs(): number {
    return this.limits.idleTimeoutMs;
  }

  /** Ends listening; connections stay, where `http.Server.close` would close those that it takes for idle. */
  private stopListening(): void {
    net.Server.prototype.close.call(this.server);
  }
}

/** Listens for callers at an address; their requests are given as they came. */
export function serve(
  address: string,
  limits: ServeLimits,
  account: MemoryAccount,
  onRequest: (call: RawIncomingRequest) => Promise<void>,
): Promise<Result<RawListener>> {
  const server = new RawHttpServer(limits, account, onRequest);
  return listenOn(server.server, address, BACKLOG, server.listenerAt.bind(server));
}
