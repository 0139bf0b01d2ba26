/**
 * Validation of the bodies of messages and requests by declared fields: a class lists its fields by decorators, and a
 * body is checked against it when it is read.
 */

import { Right } from 'purify-ts';
import { failure, Result } from '../errors/errors';
import { isPlainObject } from '../util/plain-object';

/** A class without constructor parameters, whose declared fields a body is checked against. */
export type BodyClass<T> = new () => T;

/** The type of a field; `list` is an array, `any` is not checked. */
type FieldType = 'string' | 'number' | 'boolean' | 'object' | 'list' | 'any';

interface FieldRule {
  type: FieldType;
  isRequired: boolean;
}

/** The declared fields of each class, by its constructor. */
const rulesByClass = new Map<unknown, Map<string, FieldRule>>();

/** Declares a field of a body. */
export function bodyField(
  type: FieldType,
  isRequired = true,
): (target: object, name: string) => void {
  function declare(target: object, name: string): void {
    const rules = rulesByClass.get(target.constructor) ?? new Map<string, FieldRule>();
    rules.set(name, { type, isRequired });
    rulesByClass.set(target.constructor, rules);
  }
  return declare;
}

function hasType(value: unknown, type: FieldType): boolean {
  if (type === 'any') return true;
  return (Array.isArray(value) ? 'list' : typeof value) === type;
}

/** What is wrong with the value of a field; undefined where nothing is. */
function findFieldError(name: string, rule: FieldRule, value: unknown): string | undefined {
  if (value === undefined || value === null)
    return rule.isRequired ? `field ${name} is missing` : undefined;
  if (!hasType(value, rule.type)) return `field ${name} must be a ${rule.type}`;
  if (rule.type === 'number' && !Number.isFinite(value)) return `field ${name} must be finite`;
  return undefined;
}

/**
 * Reads a body as an instance of a class with declared fields; others are dropped. `step` and `peer` are those of the
 * error, whose code is `bad-shape`.
 */
export function parseBody<T extends object>(
  bodyClass: BodyClass<T>,
  body: unknown,
  step: string,
  peer: string,
): Result<T> {
  if (!isPlainObject(body))
    return failure(step, peer, 'an object is wanted', 'refused', 'bad-shape');
  const parsed = new bodyClass() as Record<string, unknown>;
  const fields = body;
  for (const [name, rule] of rulesByClass.get(bodyClass) ?? []) {
    const value = fields[name];
    const reason = findFieldError(name, rule, value);
    if (reason !== undefined) return failure(step, peer, reason, 'refused', 'bad-shape');
    if (value !== undefined && value !== null) parsed[name] = value;
  }
  return Right(parsed as T);
}
