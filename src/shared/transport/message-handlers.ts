/**
 * Handlers of messages between our own processes, declared by decorators.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, failure, Result } from '../errors/errors';
import { BodyClass, parseBody } from './body-fields';

/** The reply of a message handler. */
export type HandlerResult = Promise<Result<unknown>>;

type HandlerMethod = (body: unknown, from: unknown) => HandlerResult;

interface HandlerDeclaration {
  methodName: string;
  /** What the body is checked against; without one it is passed on as it came. */
  bodyClass?: BodyClass<object>;
}

/** The declared handlers of each class, by its constructor and then by message type. */
const declarationsByClass = new Map<unknown, Map<string, HandlerDeclaration>>();

/** Declares a method as the handler of a message type, its body checked against a class with declared fields. */
export function messageHandler(
  type: string,
  bodyClass?: BodyClass<object>,
): (target: object, methodName: string) => void {
  function declare(target: object, methodName: string): void {
    const declarations =
      declarationsByClass.get(target.constructor) ?? new Map<string, HandlerDeclaration>();
    declarations.set(type, { methodName, bodyClass });
    declarationsByClass.set(target.constructor, declarations);
  }
  return declare;
}

/** Calls the first of the handlers that declares a message's type. Errors: `not-known`, `bad-shape`, and the handler's own. */
export async function dispatch(
  handlers: readonly object[],
  type: string,
  body: unknown,
  from: unknown,
  peer: string,
): HandlerResult {
  for (const handler of handlers) {
    const declaration = declarationsByClass.get(handler.constructor)?.get(type);
    if (!declaration) continue;
    const { methodName, bodyClass } = declaration;
    const [error, parsed] = errorOrValue(
      bodyClass ? parseBody(bodyClass, body, type, peer) : Right(body as object),
    );
    if (error) return Left(error);
    return (handler as Record<string, HandlerMethod>)[methodName](parsed, from);
  }
  return failure(type, peer, 'message not known here', 'refused', 'not-known');
}
