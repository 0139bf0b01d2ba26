import { createHash } from 'node:crypto';
import { Either, Left, Right } from 'purify-ts';
import { Stream as Feed } from 'most';
import { Fault, makeFault, Outcome } from '../errors/errors';
import { Ask, Wire } from '../ports/ports';

/** Parses JSON. */
export function parseJson(text: string, step: string, peer: string): Outcome<unknown> {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (e) {
    return Left(makeFault(step, peer, e, 'failed', 'bad-json'));
  }
}

/** Runs what a library may throw from. */
export function guard<T>(step: string, peer: string, run: () => T): Outcome<T> {
  try {
    return Right(run());
  } catch (e) {
    return Left(makeFault(step, peer, e));
  }
}

/** A short hash of text in hex. */
export function shortHash(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 16);
}

/** A short hash of bytes in hex. */
export function hashOfBytes(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}

/** A whole hash of text in hex. */
export function wholeHash(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Sorts names by rendezvous hash for a key: the first is the pick. */
export function rendezvous(key: string, names: readonly string[]): string[] {
  const scored = names.map(score);
  function score(name: string): { name: string; s: string } {
    return { name, s: shortHash(`${key}\n${name}`) };
  }
  function byScore(a: { s: string }, b: { s: string }): number {
    return a.s < b.s ? 1 : -1;
  }
  function name(x: { name: string }): string {
    return x.name;
  }
  return scored.sort(byScore).map(name);
}

/** The receiving end of a feed. */
export interface Sink<T> {
  event(time: number, x: T): void;
  end(time: number, x?: T): void;
}

/** A `most` feed that is pushed by hand; what comes before the first reader waits for it. */
export interface HandFeed<T> {
  feed: Feed<T>;
  add(x: T): void;
  end(): void;
}

/** Makes a feed that is pushed by hand. */
export function makeFeed<T>(): HandFeed<T> {
  const sinks = new Set<Sink<T>>();
  let waiting: T[] | undefined = [];
  let over = false;
  function add(x: T): void {
    if (over) return;
    if (waiting) waiting.push(x);
    else for (const s of sinks) s.event(0, x);
  }
  function end(): void {
    over = true;
    for (const s of sinks) s.end(0, undefined);
    sinks.clear();
  }
  function run(sink: Sink<T>): { dispose(): void } {
    sinks.add(sink);
    const held = waiting ?? [];
    waiting = undefined;
    for (const x of held) sink.event(0, x);
    if (over) sink.end(0, undefined);
    function dispose(): void {
      sinks.delete(sink);
    }
    return { dispose };
  }
  return { feed: new Feed<T>({ run } as never), add, end };
}

/** Asks over HTTP and reads a JSON return whole. */
export async function askJson(
  wire: Wire,
  q: Ask,
): Promise<
  Outcome<{ status: number; body: unknown; headers: Record<string, string | undefined> }>
> {
  const step = `${q.method} ${q.path}`;
  const r = await wire.ask({ ...q, headers: { 'content-type': 'application/json', ...q.headers } });
  if (r.isLeft()) return r as Either<Fault, never>;
  const reply = r.extract() as Exclude<ReturnType<typeof r.extract>, Fault>;
  let text = '';
  for (;;) {
    const p = await reply.next();
    if (p.isLeft()) return p as Either<Fault, never>;
    const piece = p.extract() as string | undefined;
    if (piece === undefined) break;
    text += piece;
  }
  const parsed = text === '' ? Right(undefined) : parseJson(text, step, q.at);
  function whole(body: unknown): {
    status: number;
    body: unknown;
    headers: Record<string, string | undefined>;
  } {
    return { status: reply.status, body, headers: reply.headers };
  }
  return parsed.map(whole);
}

/** Cuts pulled pieces into lines; undefined is a whole end, a broken last line is a fault. */
export function lineReader(
  next: () => Promise<Outcome<string | undefined>>,
  peer: string,
): () => Promise<Outcome<string | undefined>> {
  let held = '';
  async function line(): Promise<Outcome<string | undefined>> {
    for (;;) {
      const at = held.indexOf('\n');
      if (at >= 0) {
        const one = held.slice(0, at);
        held = held.slice(at + 1);
        return Right(one);
      }
      const p = await next();
      if (p.isLeft()) return p;
      const piece = p.extract() as string | undefined;
      if (piece === undefined) {
        if (held !== '') return Left(makeFault('read lines', peer, 'broken last line'));
        return Right(undefined);
      }
      held += piece;
    }
  }
  return line;
}

/** Reads an answer to its end after its last line, which frees its connection and timer; where more comes, it is cancelled. */
export async function finishReply(
  line: () => Promise<Outcome<string | undefined>>,
  cancel: () => void,
): Promise<void> {
  const rest = await line();
  if (rest.isLeft() || rest.extract() !== undefined) cancel();
}
