import { Right } from 'purify-ts';
import { failure, errorOrValue, Result, describeError } from '../errors/errors';
import { IncomingRequest, Logger } from '../ports/ports';
import { parseJson } from '../util/lib';

type Maker<T> = new () => T;
type FieldSort = 'string' | 'number' | 'boolean' | 'object' | 'list' | 'any';
interface FieldRule {
  sort: FieldSort;
  need: boolean;
}
interface Handling {
  verb: string;
  path: string;
  name: string;
}

const fieldsOf = new Map<unknown, Map<string, FieldRule>>();
const handlingsOf = new Map<unknown, Handling[]>();
const messagesOf = new Map<unknown, Map<string, { name: string; shape?: Maker<object> }>>();

/** Marks a checked field of something that crosses an edge. */
export function bodyField(sort: FieldSort, need = true): (target: object, name: string) => void {
  function mark(target: object, name: string): void {
    const m = fieldsOf.get(target.constructor) ?? new Map<string, FieldRule>();
    m.set(name, { sort, need });
    fieldsOf.set(target.constructor, m);
  }
  return mark;
}

/** Marks a method as the handler of an HTTP verb and path; `:x` parts match one segment. */
export function httpHandler(verb: string, path: string): (target: object, name: string) => void {
  function mark(target: object, name: string): void {
    handlingsOf.set(target.constructor, [
      ...(handlingsOf.get(target.constructor) ?? []),
      { verb, path, name },
    ]);
  }
  return mark;
}

/** Marks a method as the handler of a wire message, its body checked against a shape. */
export function messageHandler(
  type: string,
  shape?: Maker<object>,
): (target: object, name: string) => void {
  function mark(target: object, name: string): void {
    const m =
      messagesOf.get(target.constructor) ??
      new Map<string, { name: string; shape?: Maker<object> }>();
    m.set(type, { name, shape });
    messagesOf.set(target.constructor, m);
  }
  return mark;
}

function sortOf(v: unknown): FieldSort {
  if (Array.isArray(v)) return 'list';
  return typeof v as FieldSort;
}

/** Checks a body against a marked shape; unknown fields are dropped. */
export function parseBody<T extends object>(
  shape: Maker<T>,
  body: unknown,
  step: string,
  peer: string,
): Result<T> {
  if (typeof body !== 'object' || body === null || Array.isArray(body))
    return failure(step, peer, 'an object is wanted', 'refused', 'bad-shape');
  const out = new shape() as Record<string, unknown>;
  const src = body as Record<string, unknown>;
  for (const [name, rule] of fieldsOf.get(shape) ?? []) {
    const v = src[name];
    if (v === undefined || v === null) {
      if (rule.need) return failure(step, peer, `field ${name} is missing`, 'refused', 'bad-shape');
      continue;
    }
    if (rule.sort !== 'any' && sortOf(v) !== rule.sort)
      return failure(step, peer, `field ${name} must be a ${rule.sort}`, 'refused', 'bad-shape');
    if (rule.sort === 'number' && !Number.isFinite(v))
      return failure(step, peer, `field ${name} must be finite`, 'refused', 'bad-shape');
    out[name] = v;
  }
  return Right(out as T);
}

/** What a message handler gives back. */
export type HandlerResult = Promise<Result<unknown>>;

/** Hands a wire message to the first of the objects that handles its type. */
export async function dispatch(
  edges: readonly object[],
  type: string,
  body: unknown,
  from: unknown,
  peer: string,
): HandlerResult {
  for (const e of edges) {
    const h = messagesOf.get(e.constructor)?.get(type);
    if (!h) continue;
    const [f, v] = errorOrValue(
      h.shape ? parseBody(h.shape, body, type, peer) : Right(body as object),
    );
    if (f) return failure(f.step, f.peer, f.reason, f.certainty, f.code);
    return (e as unknown as Record<string, (b: unknown, x: unknown) => HandlerResult>)[h.name](
      v,
      from,
    );
  }
  return failure(type, peer, 'message not known here', 'refused', 'not-known');
}

/** Sends a JSON return whole. */
export function sendJson(
  call: IncomingRequest,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  call.writeHead(status, { 'content-type': 'application/json', ...headers });
  call.end(JSON.stringify(body) + '\n');
}

/** Sends the one documented shape of an error. */
export function sendError(
  call: IncomingRequest,
  status: number,
  sort: string,
  code: string,
  why: string,
  retryAfter?: number,
): void {
  const again: Record<string, string> =
    retryAfter === undefined
      ? {}
      : { 'retry-after': String(Math.max(1, Math.ceil(retryAfter / 1000))) };
  sendJson(call, status, { error: { class: sort, code, message: why } }, again);
}

/** Reads and checks a JSON body; on a fault the return is given and undefined comes back. */
export async function readJsonBody(
  call: IncomingRequest,
  most: number,
): Promise<unknown | undefined> {
  const [f, text] = errorOrValue(await call.body(most));
  if (f) {
    sendError(call, f.code === 'too-large' ? 413 : 400, 'refused', f.code ?? 'bad-body', f.reason);
    return undefined;
  }
  const [g, v] = errorOrValue(parseJson(text, 'read body', call.peer));
  if (g || v === undefined || v === null) {
    sendError(call, 400, 'refused', 'bad-json', g ? g.reason : 'empty');
    return undefined;
  }
  return v;
}

/** Reads a JSON body and checks it against a marked shape; on a fault the return is given and undefined comes back. */
export async function readBodyAs<T extends object>(
  call: IncomingRequest,
  shape: Maker<T>,
  most: number,
  step: string,
): Promise<T | undefined> {
  const body = await readJsonBody(call, most);
  if (body === undefined) return undefined;
  const [f, v] = errorOrValue(parseBody(shape, body, step, call.peer));
  if (f) sendError(call, 400, 'refused', f.code ?? 'bad-shape', f.reason);
  return v;
}

function matches(pattern: string, path: string): string[] | undefined {
  const a = pattern.split('/');
  const b = path.split('/');
  if (a.length !== b.length) return undefined;
  const found: string[] = [];
  for (let i = 0; i < a.length; i++) {
    if (a[i].startsWith(':')) found.push(b[i]);
    else if (a[i] !== b[i]) return undefined;
  }
  return found;
}

/** Makes the taker of HTTP requests for objects with marked handlers. */
export function makeRequestListener(
  edges: readonly object[],
  log: Logger,
): (call: IncomingRequest) => Promise<void> {
  async function take(call: IncomingRequest): Promise<void> {
    let known = false;
    for (const e of edges) {
      for (const h of handlingsOf.get(e.constructor) ?? []) {
        const found = matches(h.path, call.path);
        if (!found) continue;
        known = true;
        if (h.verb !== call.method) continue;
        await (
          e as unknown as Record<string, (c: IncomingRequest, ...x: string[]) => Promise<void>>
        )[h.name](call, ...found);
        return;
      }
    }
    log.info(
      { step: 'take call', peer: call.peer },
      describeError({
        step: call.method,
        peer: call.peer,
        reason: call.path,
        certainty: 'refused',
      }),
    );
    sendError(
      call,
      known ? 405 : 404,
      'refused',
      known ? 'bad-method' : 'not-found',
      `${call.method} ${call.path}`,
    );
  }
  return take;
}
