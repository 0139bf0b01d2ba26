/**
 * Handlers of messages between our own processes, declared by decorators.
 */

import { Right } from 'purify-ts';
import { failure, errorOrValue, Result } from '../errors/errors';
import { Maker, parseBody } from './body-fields';

const messagesOf = new Map<unknown, Map<string, { name: string; shape?: Maker<object> }>>();

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
