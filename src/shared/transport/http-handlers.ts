/**
 * Handlers of HTTP requests, declared by decorators, and the documented form of errors.
 */

import { errorOrValue, describeError } from '../errors/errors';
import { IncomingRequest } from '../ports/network';
import { Logger } from '../ports/logger';
import { parseJson } from '../util/try-catch';
import { Maker, parseBody } from './body-fields';

interface Handling {
  verb: string;
  path: string;
  name: string;
}

const handlingsOf = new Map<unknown, Handling[]>();

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
