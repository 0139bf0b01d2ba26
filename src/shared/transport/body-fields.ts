/**
 * Declared fields of a message's or request's body, checked when it is read.
 */

import { Right } from 'purify-ts';
import { failure, Result } from '../errors/errors';

/** The class of a body, whose declared fields are checked. */
export type Maker<T> = new () => T;

type FieldSort = 'string' | 'number' | 'boolean' | 'object' | 'list' | 'any';

interface FieldRule {
  sort: FieldSort;
  need: boolean;
}

const fieldsOf = new Map<unknown, Map<string, FieldRule>>();

/** Marks a checked field of something that crosses an edge. */
export function bodyField(sort: FieldSort, need = true): (target: object, name: string) => void {
  function mark(target: object, name: string): void {
    const m = fieldsOf.get(target.constructor) ?? new Map<string, FieldRule>();
    m.set(name, { sort, need });
    fieldsOf.set(target.constructor, m);
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
