/**
 * Validates files of operators' intents: the form of each item, then what names what.
 */

import convict from 'convict';
import { Either, Left, Right } from 'purify-ts';
import { errorOrValue } from '../../shared/errors/errors';
import { tryCatch } from '../../shared/util/try-catch';
import { id, maybeId, neededAddress, share, whole } from '../../shared/settings/validators';
import { Intents } from '../../shared/state/intents';
import { checkReferences } from './intents-references';
import { isPlainObject, ownField } from '../../shared/util/plain-object';
import { IntentViolation } from './intents-violations';

export type { IntentViolation } from './intents-violations';

/** The form of the items of each list, as the library of settings takes it. */
const ITEM_SCHEMAS: Record<keyof Intents, Record<string, unknown>> = {
  tenants: {
    id: { format: id, default: null },
    sharing: { format: ['walled', 'group'], default: null },
    group: { format: maybeId, default: '' },
  },
  models: { id: { format: id, default: null } },
  services: {
    id: { format: id, default: null },
    tenant: { format: id, default: null },
    model: { format: id, default: null },
    urgency: { format: ['high', 'normal', 'low'], default: 'normal' },
    mayRepeat: { format: Boolean, default: false },
    deadlineMs: { format: whole, default: 30000 },
    maxTokens: { format: whole, default: 256 },
    secondTries: { format: share, default: 0.1 },
  },
  rules: {
    tenant: { format: id, default: null },
    label: { format: id, default: null },
    service: { format: id, default: null },
  },
  cacheStores: {
    id: { format: id, default: null },
    at: { format: neededAddress, default: null },
    zone: { format: String, default: '' },
  },
};

/** Checks a file of intents; every violation is listed by its path. */
export function validateIntents(raw: unknown): Either<IntentViolation[], Intents> {
  if (!isPlainObject(raw)) return Left([{ path: '', why: 'must be an object' }]);
  const violations: IntentViolation[] = [];
  for (const field of Object.keys(raw))
    if (!Object.hasOwn(ITEM_SCHEMAS, field))
      violations.push({ path: field, why: 'is not a known field' });
  const lists: Record<string, unknown[]> = {};
  for (const [kind, schema] of Object.entries(ITEM_SCHEMAS))
    lists[kind] = checkList(kind, schema, ownField(raw, kind) ?? [], violations);
  const intents = lists as unknown as Intents;
  if (violations.length === 0) violations.push(...checkReferences(intents));
  return violations.length > 0 ? Left(violations) : Right(intents);
}

/** The items of a list with their defaults, but for those with violations, which are added. */
function checkList(
  kind: string,
  schema: Record<string, unknown>,
  list: unknown,
  violations: IntentViolation[],
): unknown[] {
  if (!Array.isArray(list)) {
    violations.push({ path: kind, why: 'must be a list' });
    return [];
  }
  const items: unknown[] = [];
  for (const [index, raw] of list.entries()) {
    const item = checkItem(`${kind}[${index}]`, schema, raw, violations);
    if (item !== undefined) items.push(item);
  }
  return items;
}

function checkItem(
  path: string,
  schema: Record<string, unknown>,
  raw: unknown,
  violations: IntentViolation[],
): unknown {
  if (!isPlainObject(raw)) {
    violations.push({ path, why: 'must be an object' });
    return undefined;
  }
  const known: Record<string, unknown> = {};
  for (const [field, value] of Object.entries(raw))
    if (Object.hasOwn(schema, field)) known[field] = value;
    else violations.push({ path: `${path}.${field}`, why: 'is not a known field' });
  const [error, item] = errorOrValue(tryCatch('check intents', path, load));
  if (!error) return withoutEmpty(item);
  for (const line of error.reason.split('\n')) violations.push(violationOf(path, line.trim()));
  return undefined;

  function load(): object {
    const config = convict(schema as never);
    config.load(known as never);
    config.validate({ allowed: 'strict' });
    return config.getProperties() as object;
  }
}

/** A violation from a line of the library of settings, which begins with the field where it knows one. */
function violationOf(path: string, line: string): IntentViolation {
  const match = /^(\w+): (.*)$/.exec(line);
  return match ? { path: `${path}.${match[1]}`, why: match[2] } : { path, why: line };
}

/** Leaves out fields that are empty text: they stand for what is not given. */
function withoutEmpty(item: object): object {
  const fields: Record<string, unknown> = {};
  for (const [field, value] of Object.entries(item)) if (value !== '') fields[field] = value;
  return fields;
}
