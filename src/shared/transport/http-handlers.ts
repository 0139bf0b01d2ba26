/**
 * Handlers of HTTP requests, declared by decorators, and the documented form of errors.
 */

import { ErrorCode } from '../errors/error-codes';
import { describeError, errorOrValue } from '../errors/errors';
import { Logger } from '../ports/logger';
import { IncomingRequest } from '../ports/network';
import { parseJson } from '../util/try-catch';
import { BodyClass, parseBody } from './body-fields';

type HandlerMethod = (call: IncomingRequest, ...segments: string[]) => Promise<void>;

interface HandlerDeclaration {
  verb: string;
  path: string;
  methodName: string;
}

/** The declared handlers of each class, by its constructor. */
const declarationsByClass = new Map<unknown, HandlerDeclaration[]>();

const MS_PER_S = 1000;

/** Declares a method as the handler of an HTTP verb and path; a segment `:name` of the path matches any, and is passed to the method. */
export function httpHandler(
  verb: string,
  path: string,
): (target: object, methodName: string) => void {
  function declare(target: object, methodName: string): void {
    const declarations = declarationsByClass.get(target.constructor) ?? [];
    declarationsByClass.set(target.constructor, [...declarations, { verb, path, methodName }]);
  }
  return declare;
}

/** Sends a complete JSON response. */
export function sendJson(
  call: IncomingRequest,
  status: number,
  body: unknown,
  headers: Record<string, string> = {},
): void {
  call.writeHead(status, { 'content-type': 'application/json', ...headers });
  call.end(JSON.stringify(body) + '\n');
}

/** Sends an error in the documented form; `certainty` is its field `class`, and `retryAfterMs` becomes `Retry-After` in whole seconds. */
export function sendError(
  call: IncomingRequest,
  status: number,
  certainty: string,
  code: string,
  message: string,
  retryAfterMs?: number,
): void {
  const headers: Record<string, string> =
    retryAfterMs === undefined ? {} : { 'retry-after': retryAfterSeconds(retryAfterMs) };
  sendJson(call, status, { error: { class: certainty, code, message } }, headers);
}

function retryAfterSeconds(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / MS_PER_S)));
}

/** The status of a body that could not be read, by the error's code; 408 and 503 promise that nothing was done with it. */
const BODY_STATUS: Partial<Record<ErrorCode, number>> = {
  'too-large': 413,
  overloaded: 503,
  timeout: 408,
};
const BAD_REQUEST = 400;

/** What is wrong with a body that was parsed; undefined where nothing is. */
export type BodyCheck = (body: unknown) => string | undefined;

function acceptAny(): undefined {
  return undefined;
}

/**
 * Reads a JSON body of at most `maxBytes`; where it can't be read, or `check` finds something wrong with it, the error is
 * sent, and undefined is returned.
 */
export async function readJsonBody(
  call: IncomingRequest,
  maxBytes: number,
  check: BodyCheck = acceptAny,
): Promise<unknown> {
  const [bodyError, text] = errorOrValue(await call.body(maxBytes));
  if (bodyError) {
    const { code = 'bad-body', reason } = bodyError;
    sendError(call, BODY_STATUS[code] ?? BAD_REQUEST, 'refused', code, reason);
    return undefined;
  }
  const [parseError, body] = errorOrValue(parseJson(text, 'read body', call.peer));
  if (parseError || body === undefined || body === null) {
    sendError(call, 400, 'refused', 'bad-json', parseError ? parseError.reason : 'empty');
    return undefined;
  }
  const fault = check(body);
  if (fault === undefined) return body;
  sendError(call, 400, 'refused', 'bad-json', fault);
  return undefined;
}

/** Reads a JSON body as a class with declared fields; where it can't be read the error is sent, and undefined is returned. */
export async function readBodyAs<T extends object>(
  call: IncomingRequest,
  bodyClass: BodyClass<T>,
  maxBytes: number,
  step: string,
  check?: BodyCheck,
): Promise<T | undefined> {
  const body = await readJsonBody(call, maxBytes, check);
  if (body === undefined) return undefined;
  const [error, parsed] = errorOrValue(parseBody(bodyClass, body, step, call.peer));
  if (error) sendError(call, 400, 'refused', error.code ?? 'bad-shape', error.reason);
  return parsed;
}

/** The segments that match those of a pattern with a name; undefined where the path does not match. */
function matchPath(pattern: string, path: string): string[] | undefined {
  const expected = pattern.split('/');
  const segments = path.split('/');
  if (expected.length !== segments.length) return undefined;
  const matched: string[] = [];
  for (const [index, segment] of segments.entries()) {
    if (expected[index].startsWith(':')) matched.push(segment);
    else if (expected[index] !== segment) return undefined;
  }
  return matched;
}

/** The handler of a request, or whether its path has one for another verb. */
interface Route {
  run?: () => Promise<void>;
  isPathKnown: boolean;
}

function findRoute(handlers: readonly object[], call: IncomingRequest): Route {
  let isPathKnown = false;
  for (const handler of handlers) {
    for (const { verb, path, methodName } of declarationsByClass.get(handler.constructor) ?? []) {
      const segments = matchPath(path, call.path);
      if (!segments) continue;
      isPathKnown = true;
      if (verb !== call.method) continue;
      const methods = handler as Record<string, HandlerMethod>;
      return { run: run.bind(undefined, methods, methodName, segments), isPathKnown };
    }
  }
  function run(
    methods: Record<string, HandlerMethod>,
    methodName: string,
    segments: string[],
  ): Promise<void> {
    return methods[methodName](call, ...segments);
  }
  return { isPathKnown };
}

/** Makes the listener that passes requests to handlers; others are answered 404, or 405 where the path has a handler for another verb. */
export function makeRequestListener(
  handlers: readonly object[],
  logger: Logger,
): (call: IncomingRequest) => Promise<void> {
  async function onRequest(call: IncomingRequest): Promise<void> {
    const { run, isPathKnown } = findRoute(handlers, call);
    if (run) return run();
    const { method, path, peer } = call;
    logger.info(
      { event: 'http.request-without-handler', peer },
      describeError({ step: method, peer, reason: path, certainty: 'refused' }),
    );
    if (isPathKnown) sendError(call, 405, 'refused', 'bad-method', `${method} ${path}`);
    else sendError(call, 404, 'refused', 'not-found', `${method} ${path}`);
  }
  return onRequest;
}
