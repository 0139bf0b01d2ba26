import { Left, Right } from 'purify-ts';
import { failure, OperationError, makeError, errorOrValue, Result } from '../errors/errors';
import { dispatch, HandlerResult, messageHandler } from './message-handlers';
import { Message, Connection } from '../ports/network';
import { Ports } from '../ports/ports';
import { decodeError, encodeError, WireError } from './wire-error';

/** The version of our wire messages; a peer more than one off is refused. */
export const PROTOCOL_VERSION = 1;

/** The first pause before a peer is tried again, as a share of `pause`; each further one is twice as long, up to the longest. */
export const INITIAL_BACKOFF_RATIO = 0.1;
/** The longest pause before a peer is tried again. */
export const MAX_BACKOFF_RATIO = 0.4;

/** What a process says first on a connection. */
export interface Hello {
  version: number;
  name: string;
  role: string;
  at: string;
  zone: string;
  disk?: string;
}

/** Asks and returns over one connection, both ways. */
export interface PeerChannel {
  connection: Connection;
  peer: string;
  hello?: Hello;
  closed: Promise<void>;
  /** When something last came from the peer, by the clock port. */
  lastReceivedAt: () => number;
  request: (type: string, body: unknown, within: number) => Promise<Result<unknown>>;
  notify: (type: string, body: unknown) => boolean;
  close: () => void;
}

/** Puts asks and returns on a connection; what arrives goes to the marked handlers. */
export function openChannel(
  ports: Ports,
  connection: Connection,
  edges: readonly object[],
): PeerChannel {
  const waiting = new Map<number, (o: Result<unknown>) => void>();
  let last = 0;
  let over = false;
  let heardAt = ports.clock.now();
  const ex: PeerChannel = {
    connection,
    peer: connection.peer,
    closed: connection.closed,
    lastReceivedAt: heard,
    request: ask,
    notify: tell,
    close: connection.close,
  };

  function heard(): number {
    return heardAt;
  }

  function ask(type: string, body: unknown, within: number): Promise<Result<unknown>> {
    const id = ++last;
    function wait(done: (o: Result<unknown>) => void): void {
      if (over) return done(failure(type, ex.peer, 'stream ended', 'refused', 'ended'));
      const off = ports.clock.setTimer(within, late);
      function late(): void {
        waiting.delete(id);
        done(failure(type, ex.peer, 'no return in time', 'unknown', 'timeout'));
      }
      function arrived(o: Result<unknown>): void {
        off();
        waiting.delete(id);
        done(o);
      }
      waiting.set(id, arrived);
      connection.send({ id, type, body });
    }
    return new Promise(wait);
  }

  function tell(type: string, body: unknown): boolean {
    return !over && connection.send({ type, body });
  }

  async function take(m: Message): Promise<void> {
    if (m.re !== undefined) {
      waiting.get(m.re)?.(m.fault ? Left(decodeError(m.fault as WireError)) : Right(m.body));
      return;
    }
    const [f, v] = errorOrValue(await dispatch(edges, m.type ?? '', m.body, ex, ex.peer));
    if (m.id === undefined) {
      if (f) ports.logger.warn({ step: f.step, peer: f.peer }, f.reason);
    } else {
      connection.send(f ? { re: m.id, fault: encodeError(f) } : { re: m.id, body: v });
    }
  }

  function arrived(m: Message): void {
    heardAt = ports.clock.now();
    void take(m);
  }

  function ended(): void {
    over = true;
    for (const [, done] of [...waiting])
      done(failure('ask', ex.peer, 'stream ended', 'unknown', 'ended'));
  }

  void connection.messages.observe(arrived);
  void connection.closed.then(ended);
  return ex;
}

/** Asks a peer one thing over a connection of its own. */
export async function requestOnce(
  ports: Ports,
  hello: Hello,
  edges: readonly object[],
  at: string,
  type: string,
  body: unknown,
  within: number,
): Promise<Result<unknown>> {
  const [f, connection] = errorOrValue(await ports.network.connect(at, within));
  if (f) return Left(f);
  const ex = openChannel(ports, connection, edges);
  const h = await ex.request('hello', hello, within);
  const o = h.isLeft() ? h : await ex.request(type, body, within);
  ex.close();
  return o;
}

/** A connection that is kept up to one peer. */
export interface MaintainedConnection {
  address: string;
  channel: () => PeerChannel | undefined;
  stop: () => void;
}

/** How a held connection is kept up. */
export interface ConnectionOptions {
  hello: Hello;
  handlers: readonly object[];
  timeoutMs: number;
  retryPauseMs: number;
  onUp?: (ex: PeerChannel) => void;
  onDown?: (ex: PeerChannel) => void;
  onConnectFailed?: (f: OperationError) => void;
}

/** Reads a peer's hello, or says why it is refused. */
export function checkHello(body: unknown, peer: string): Result<Hello> {
  const h = body as Hello | undefined;
  if (!h || typeof h.version !== 'number')
    return failure('hello', peer, 'no hello', 'refused', 'bad-hello');
  if (Math.abs(h.version - PROTOCOL_VERSION) > 1)
    return failure(
      'hello',
      peer,
      `wire version ${h.version} is too far from ${PROTOCOL_VERSION}`,
      'refused',
      'wire-version',
    );
  return Right(h);
}

/** Keeps a connection up to a peer, one task for each. */
export function maintainConnection(
  ports: Ports,
  at: string,
  ways: ConnectionOptions,
): MaintainedConnection {
  let ex: PeerChannel | undefined;
  let stopped = false;

  async function keep(): Promise<void> {
    let pause = ways.retryPauseMs * INITIAL_BACKOFF_RATIO;
    while (!stopped) {
      const [f, connection] = errorOrValue(await ports.network.connect(at, ways.timeoutMs));
      if (f) {
        ways.onConnectFailed?.(f);
      } else if (stopped) {
        connection.close();
      } else {
        const began = ports.clock.now();
        await live(connection);
        if (ports.clock.now() - began > ways.retryPauseMs)
          pause = ways.retryPauseMs * INITIAL_BACKOFF_RATIO;
      }
      if (!stopped) await ports.clock.sleep(pause * (0.5 + ports.random.next()));
      pause = Math.min(pause * 2, ways.retryPauseMs * MAX_BACKOFF_RATIO);
    }
  }

  async function live(connection: Connection): Promise<void> {
    const one = openChannel(ports, connection, ways.handlers);
    one.peer = at;
    const [f, h] = errorOrValue(await one.request('hello', ways.hello, ways.timeoutMs));
    if (f) {
      ports.logger.warn({ step: f.step, peer: at }, f.reason);
      one.close();
      return;
    }
    one.hello = h as Hello;
    ex = one;
    ways.onUp?.(one);
    void beat(one);
    await one.closed;
    ex = undefined;
    ways.onDown?.(one);
  }

  /** Pings a peer that has been silent; one that does not return it has no connection any more, whatever its machine's TCP says. */
  async function beat(one: PeerChannel): Promise<void> {
    while (!stopped && ex === one) {
      const silence = ways.retryPauseMs * 2 * (0.8 + 0.4 * ports.random.next());
      const left = one.lastReceivedAt() + silence - ports.clock.now();
      if (left > 0) {
        await ports.clock.sleep(left);
        continue;
      }
      const [f] = errorOrValue(await one.request('ping', {}, ways.timeoutMs * 1.25));
      if (f) one.close();
    }
  }

  function up(): PeerChannel | undefined {
    return ex;
  }

  function stop(): void {
    stopped = true;
    ex?.close();
  }

  void keep();
  return { address: at, channel: up, stop };
}

/** Connections that are kept up to all peers of a set that changes. */
export interface ConnectionPool {
  setPeers: (ats: Iterable<string>) => void;
  channelTo: (at: string) => PeerChannel | undefined;
  peerAddresses: () => string[];
  /** The connections that are up. */
  openChannels: () => PeerChannel[];
  stop: () => void;
}

/** Keeps connections up to the wanted peers, and to no others. */
export function makeConnectionPool(ports: Ports, ways: ConnectionOptions): ConnectionPool {
  const helds = new Map<string, MaintainedConnection>();
  let stopped = false;

  function want(ats: Iterable<string>): void {
    if (stopped) return;
    const wanted = new Set(ats);
    for (const [at, h] of helds) {
      if (wanted.has(at)) continue;
      h.stop();
      helds.delete(at);
    }
    for (const at of wanted) if (!helds.has(at)) helds.set(at, maintainConnection(ports, at, ways));
  }

  function up(at: string): PeerChannel | undefined {
    return helds.get(at)?.channel();
  }

  function ats(): string[] {
    return [...helds.keys()];
  }

  function all(): PeerChannel[] {
    const out: PeerChannel[] = [];
    for (const h of helds.values()) {
      const ex = h.channel();
      if (ex) out.push(ex);
    }
    return out;
  }

  function stop(): void {
    stopped = true;
    for (const h of helds.values()) h.stop();
  }

  return { setPeers: want, channelTo: up, peerAddresses: ats, openChannels: all, stop };
}

/** Closes taken connections that have been silent, as a peer that holds one never is; it ends with the process. */
export async function closeIdleChannels(
  ports: Ports,
  taken: ReadonlySet<PeerChannel>,
  silence: number,
  stopped: () => boolean,
): Promise<void> {
  const pace = silence / 3;
  let before = ports.clock.now();
  while (!stopped()) {
    await ports.clock.sleep(pace);
    const now = ports.clock.now();
    const late = now - before > pace * 2;
    before = now;
    if (late) continue;
    for (const ex of taken) if (now - ex.lastReceivedAt() > silence) ex.close();
  }
}

/** A fault for a peer that has no connection up. */
export function notConnected(step: string, at: string): OperationError {
  return makeError(step, at, 'no stream up', 'refused', 'no-stream');
}

/** Takes a peer's hello and gives our own. */
export class HelloHandlers {
  constructor(private readonly own: Hello) {}

  /** Checks the wire version first of all. */
  @messageHandler('hello')
  async hello(body: unknown, ex: PeerChannel): HandlerResult {
    const [f, h] = errorOrValue(checkHello(body, ex.peer));
    if (f) return Left(f);
    ex.hello = h;
    return Right(this.own);
  }

  /** Shows that this process still takes turns. */
  @messageHandler('ping')
  async ping(): HandlerResult {
    return Right(true);
  }
}
