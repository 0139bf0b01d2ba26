import { Left, Right } from 'purify-ts';
import { bad, Fault, makeFault, open, Outcome } from '../errors/errors';
import { dispatch, Handled, message } from './handlers';
import { Message, Ports, Connection } from '../ports/ports';

/** The version of our wire messages; a peer more than one off is refused. */
export const WIRE_VERSION = 1;

/** The first pause before a peer is tried again, as a share of `pause`; each further one is twice as long, up to the longest. */
export const FIRST_PAUSE = 0.1;
/** The longest pause before a peer is tried again. */
export const LONGEST_PAUSE = 0.4;

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
export interface Exchange {
  connection: Connection;
  peer: string;
  hello?: Hello;
  done: Promise<void>;
  /** When something last came from the peer, by the clock port. */
  heard(): number;
  ask(type: string, body: unknown, within: number): Promise<Outcome<unknown>>;
  tell(type: string, body: unknown): boolean;
  close(): void;
}

/** Puts asks and returns on a connection; what arrives goes to the marked handlers. */
export function converse(ports: Ports, connection: Connection, edges: readonly object[]): Exchange {
  const waiting = new Map<number, (o: Outcome<unknown>) => void>();
  let last = 0;
  let over = false;
  let heardAt = ports.clock.now();
  const ex: Exchange = {
    connection,
    peer: connection.peer,
    done: connection.done,
    heard,
    ask,
    tell,
    close: connection.close,
  };

  function heard(): number {
    return heardAt;
  }

  function ask(type: string, body: unknown, within: number): Promise<Outcome<unknown>> {
    const id = ++last;
    function wait(done: (o: Outcome<unknown>) => void): void {
      if (over) return done(bad(type, ex.peer, 'stream ended', 'refused', 'ended'));
      const off = ports.clock.timer(within, late);
      function late(): void {
        waiting.delete(id);
        done(bad(type, ex.peer, 'no return in time', 'unknown', 'timeout'));
      }
      function arrived(o: Outcome<unknown>): void {
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
      waiting.get(m.re)?.(m.fault ? Left(m.fault as Fault) : Right(m.body));
      return;
    }
    const [f, v] = open(await dispatch(edges, m.type ?? '', m.body, ex, ex.peer));
    if (m.id === undefined) {
      if (f) ports.log.warn({ step: f.step, peer: f.peer }, f.why);
    } else {
      connection.send(f ? { re: m.id, fault: f } : { re: m.id, body: v });
    }
  }

  function arrived(m: Message): void {
    heardAt = ports.clock.now();
    void take(m);
  }

  function ended(): void {
    over = true;
    for (const [, done] of [...waiting])
      done(bad('ask', ex.peer, 'stream ended', 'unknown', 'ended'));
  }

  void connection.feed.observe(arrived);
  void connection.done.then(ended);
  return ex;
}

/** Asks a peer one thing over a connection of its own. */
export async function askOnce(
  ports: Ports,
  hello: Hello,
  edges: readonly object[],
  at: string,
  type: string,
  body: unknown,
  within: number,
): Promise<Outcome<unknown>> {
  const [f, connection] = open(await ports.wire.dial(at, within));
  if (f) return Left(f);
  const ex = converse(ports, connection, edges);
  const h = await ex.ask('hello', hello, within);
  const o = h.isLeft() ? h : await ex.ask(type, body, within);
  ex.close();
  return o;
}

/** A connection that is kept up to one peer. */
export interface Held {
  at: string;
  up(): Exchange | undefined;
  stop(): void;
}

/** How a held connection is kept up. */
export interface HoldWays {
  hello: Hello;
  edges: readonly object[];
  within: number;
  pause: number;
  onUp?: (ex: Exchange) => void;
  onDown?: (ex: Exchange) => void;
  onRefused?: (f: Fault) => void;
}

/** Reads a peer's hello, or says why it is refused. */
export function checkHello(body: unknown, peer: string): Outcome<Hello> {
  const h = body as Hello | undefined;
  if (!h || typeof h.version !== 'number')
    return bad('hello', peer, 'no hello', 'refused', 'bad-hello');
  if (Math.abs(h.version - WIRE_VERSION) > 1)
    return bad(
      'hello',
      peer,
      `wire version ${h.version} is too far from ${WIRE_VERSION}`,
      'refused',
      'wire-version',
    );
  return Right(h);
}

/** Keeps a connection up to a peer, one task for each. */
export function hold(ports: Ports, at: string, ways: HoldWays): Held {
  let ex: Exchange | undefined;
  let stopped = false;

  async function keep(): Promise<void> {
    let pause = ways.pause * FIRST_PAUSE;
    while (!stopped) {
      const [f, connection] = open(await ports.wire.dial(at, ways.within));
      if (f) {
        ways.onRefused?.(f);
      } else if (stopped) {
        connection.close();
      } else {
        const began = ports.clock.now();
        await live(connection);
        if (ports.clock.now() - began > ways.pause) pause = ways.pause * FIRST_PAUSE;
      }
      if (!stopped) await ports.clock.sleep(pause * (0.5 + ports.dice.next()));
      pause = Math.min(pause * 2, ways.pause * LONGEST_PAUSE);
    }
  }

  async function live(connection: Connection): Promise<void> {
    const one = converse(ports, connection, ways.edges);
    one.peer = at;
    const [f, h] = open(await one.ask('hello', ways.hello, ways.within));
    if (f) {
      ports.log.warn({ step: f.step, peer: at }, f.why);
      one.close();
      return;
    }
    one.hello = h as Hello;
    ex = one;
    ways.onUp?.(one);
    void beat(one);
    await one.done;
    ex = undefined;
    ways.onDown?.(one);
  }

  /** Pings a peer that has been silent; one that does not return it has no connection any more, whatever its machine's TCP says. */
  async function beat(one: Exchange): Promise<void> {
    while (!stopped && ex === one) {
      const silence = ways.pause * 2 * (0.8 + 0.4 * ports.dice.next());
      const left = one.heard() + silence - ports.clock.now();
      if (left > 0) {
        await ports.clock.sleep(left);
        continue;
      }
      const [f] = open(await one.ask('ping', {}, ways.within * 1.25));
      if (f) one.close();
    }
  }

  function up(): Exchange | undefined {
    return ex;
  }

  function stop(): void {
    stopped = true;
    ex?.close();
  }

  void keep();
  return { at, up, stop };
}

/** Connections that are kept up to all peers of a set that changes. */
export interface Holds {
  want(ats: Iterable<string>): void;
  up(at: string): Exchange | undefined;
  ats(): string[];
  /** The connections that are up. */
  all(): Exchange[];
  stop(): void;
}

/** Keeps connections up to the wanted peers, and to no others. */
export function holdAll(ports: Ports, ways: HoldWays): Holds {
  const helds = new Map<string, Held>();
  let stopped = false;

  function want(ats: Iterable<string>): void {
    if (stopped) return;
    const wanted = new Set(ats);
    for (const [at, h] of helds) {
      if (wanted.has(at)) continue;
      h.stop();
      helds.delete(at);
    }
    for (const at of wanted) if (!helds.has(at)) helds.set(at, hold(ports, at, ways));
  }

  function up(at: string): Exchange | undefined {
    return helds.get(at)?.up();
  }

  function ats(): string[] {
    return [...helds.keys()];
  }

  function all(): Exchange[] {
    const out: Exchange[] = [];
    for (const h of helds.values()) {
      const ex = h.up();
      if (ex) out.push(ex);
    }
    return out;
  }

  function stop(): void {
    stopped = true;
    for (const h of helds.values()) h.stop();
  }

  return { want, up, ats, all, stop };
}

/** Closes taken connections that have been silent, as a peer that holds one never is; it ends with the process. */
export async function closeSilent(
  ports: Ports,
  taken: ReadonlySet<Exchange>,
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
    for (const ex of taken) if (now - ex.heard() > silence) ex.close();
  }
}

/** A fault for a peer that has no connection up. */
export function noConnection(step: string, at: string): Fault {
  return makeFault(step, at, 'no stream up', 'refused', 'no-stream');
}

/** Takes a peer's hello and gives our own. */
export class HelloEdge {
  constructor(private readonly own: Hello) {}

  /** Checks the wire version first of all. */
  @message('hello')
  async hello(body: unknown, ex: Exchange): Handled {
    const [f, h] = open(checkHello(body, ex.peer));
    if (f) return Left(f);
    ex.hello = h;
    return Right(this.own);
  }

  /** Shows that this process still takes turns. */
  @message('ping')
  async ping(): Handled {
    return Right(true);
  }
}
