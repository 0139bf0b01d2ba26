import { createHash } from 'node:crypto';
import { Either, Left, Right } from 'purify-ts';
import { Stream as Feed } from 'most';
import { OperationError, makeError, Result } from '../errors/errors';
import { HttpRequest, Network } from '../ports/ports';

/** Parses JSON. */
export function parseJson(text: string, step: string, peer: string): Result<unknown> {
  try {
    return Right(JSON.parse(text) as unknown);
  } catch (e) {
    return Left(makeError(step, peer, e, 'failed', 'bad-json'));
  }
}

/** Runs what a library may throw from. */
export function tryCatch<T>(step: string, peer: string, run: () => T): Result<T> {
  try {
    return Right(run());
  } catch (e) {
    return Left(makeError(step, peer, e));
  }
}

/** A short hash of text in hex. */
export function shortHash(text: string): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 16);
}

/** A short hash of bytes in hex. */
export function shortHashOfBytes(bytes: Uint8Array): string {
  return createHash('sha256').update(bytes).digest('hex').slice(0, 16);
}

/** A whole hash of text in hex. */
export function sha256Hex(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

/** Sorts names by rendezvous hash for a key: the first is the pick. */
export function rankByRendezvousHash(key: string, names: readonly string[]): string[] {
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
export interface PushStream<T> {
  stream: Feed<T>;
  push(x: T): void;
  end(): void;
}

/** Makes a feed that is pushed by hand. */
export function makePushStream<T>(): PushStream<T> {
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
  return { stream: new Feed<T>({ run } as never), push: add, end };
}

/** Asks over HTTP and reads a JSON return whole. */
export async function requestJson(
  wire: Network,
  q: HttpRequest,
): Promise<Result<{ status: number; body: unknown; headers: Record<string, string | undefined> }>> {
  const step = `${q.method} ${q.path}`;
  const r = await wire.request({
    ...q,
    headers: { 'content-type': 'application/json', ...q.headers },
  });
  if (r.isLeft()) return r as Either<OperationError, never>;
  const reply = r.extract() as Exclude<ReturnType<typeof r.extract>, OperationError>;
  let text = '';
  for (;;) {
    const p = await reply.nextChunk();
    if (p.isLeft()) return p as Either<OperationError, never>;
    const piece = p.extract() as string | undefined;
    if (piece === undefined) break;
    text += piece;
  }
  const parsed = text === '' ? Right(undefined) : parseJson(text, step, q.address);
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
export function makeLineReader(
  next: () => Promise<Result<string | undefined>>,
  peer: string,
): () => Promise<Result<string | undefined>> {
  let held = '';
  async function line(): Promise<Result<string | undefined>> {
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
        if (held !== '') return Left(makeError('read lines', peer, 'broken last line'));
        return Right(undefined);
      }
      held += piece;
    }
  }
  return line;
}

/** Reads an answer to its end after its last line, which frees its connection and timer; where more comes, it is cancelled. */
export async function readToEnd(
  line: () => Promise<Result<string | undefined>>,
  cancel: () => void,
): Promise<void> {
  const rest = await line();
  if (rest.isLeft() || rest.extract() !== undefined) cancel();
}
