import convict from 'convict';
import { Either, Left, Right } from 'purify-ts';
import { tryCatch } from '../../shared/util/try-catch';
import { id, maybeId, neededAddress, share, whole } from '../../shared/settings/validators';
import { Intents } from '../../shared/state/intents';

const ITEMS: Record<keyof Intents, Record<string, unknown>> = {
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

/** One fault of an intents file. */
export interface IntentViolation {
  path: string;
  why: string;
}

function checkItem(path: string, shape: object, item: unknown, faults: IntentViolation[]): unknown {
  if (typeof item !== 'object' || item === null || Array.isArray(item)) {
    faults.push({ path, why: 'must be an object' });
    return undefined;
  }
  const c = convict(shape as never);
  const known = new Set(Object.keys(shape));
  for (const k of Object.keys(item))
    if (!known.has(k)) faults.push({ path: `${path}.${k}`, why: 'is not a known field' });
  const take: Record<string, unknown> = {};
  for (const [k, v] of Object.entries(item)) if (known.has(k)) take[k] = v;
  const o = tryCatch('check intents', path, check);
  function check(): unknown {
    c.load(take as never);
    c.validate({ allowed: 'strict' });
    return c.getProperties();
  }
  if (o.isLeft()) {
    for (const line of o.extract().reason.split('\n')) {
      const m = /^(\w+): (.*)$/.exec(line.trim());
      faults.push({ path: m ? `${path}.${m[1]}` : path, why: m ? m[2] : line.trim() });
    }
    return undefined;
  }
  const out: Record<string, unknown> = {};
  for (const [k, v] of Object.entries(o.extract() as object)) if (v !== '') out[k] = v;
  return out;
}

function crossCheck(doc: Intents, faults: IntentViolation[]): void {
  const ids: Record<string, Set<string>> = {};
  for (const kind of ['tenants', 'models', 'services', 'cacheStores'] as const) {
    ids[kind] = new Set();
    for (const [i, x] of doc[kind].entries()) {
      if (ids[kind].has(x.id))
        faults.push({ path: `${kind}[${i}].id`, why: `is given twice: ${x.id}` });
      ids[kind].add(x.id);
    }
  }
  function wants(path: string, kind: string, id: string): void {
    if (!ids[kind].has(id)) faults.push({ path, why: `names no one of ${kind}: ${id}` });
  }
  for (const [i, t] of doc.tenants.entries()) {
    if (t.sharing === 'group' && !t.group)
      faults.push({ path: `tenants[${i}].group`, why: 'is needed where sharing is group' });
    if (t.sharing === 'walled' && t.group)
      faults.push({ path: `tenants[${i}].group`, why: 'must be left out where sharing is walled' });
  }
  for (const [i, s] of doc.services.entries()) {
    wants(`services[${i}].tenant`, 'tenants', s.tenant);
    wants(`services[${i}].model`, 'models', s.model);
  }
  const seen = new Set<string>();
  for (const [i, r] of doc.rules.entries()) {
    wants(`rules[${i}].tenant`, 'tenants', r.tenant);
    wants(`rules[${i}].service`, 'services', r.service);
    const s = doc.services.find(named);
    function named(x: { id: string }): boolean {
      return x.id === r.service;
    }
    if (s && s.tenant !== r.tenant)
      faults.push({ path: `rules[${i}].service`, why: `belongs to another tenant: ${s.tenant}` });
    const k = `${r.tenant} ${r.label}`;
    if (seen.has(k))
      faults.push({ path: `rules[${i}]`, why: `matches the same as an earlier rule: ${k}` });
    seen.add(k);
  }
}

/** Checks a whole intents file; every fault is listed by its path. */
export function validateIntents(raw: unknown): Either<IntentViolation[], Intents> {
  if (typeof raw !== 'object' || raw === null || Array.isArray(raw))
    return Left([{ path: '', why: 'must be an object' }]);
  const faults: IntentViolation[] = [];
  const src = raw as Record<string, unknown>;
  for (const k of Object.keys(src))
    if (!(k in ITEMS)) faults.push({ path: k, why: 'is not a known field' });
  const out: Record<string, unknown[]> = {};
  for (const [kind, shape] of Object.entries(ITEMS)) {
    const list = src[kind] ?? [];
    out[kind] = [];
    if (!Array.isArray(list)) {
      faults.push({ path: kind, why: 'must be a list' });
      continue;
    }
    for (const [i, x] of list.entries()) {
      const v = checkItem(`${kind}[${i}]`, shape, x, faults);
      if (v !== undefined) out[kind].push(v);
    }
  }
  const doc = out as unknown as Intents;
  if (faults.length === 0) crossCheck(doc, faults);
  return faults.length > 0 ? Left(faults) : Right(doc);
}
