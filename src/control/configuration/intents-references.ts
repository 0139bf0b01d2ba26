/**
 * Checks of intents across their items: ids are unique, what is named is there, and rules don't overlap.
 */

import { Intents, Rule, Tenant } from '../../shared/state/intents';
import { IntentViolation } from './intents-violations';

const KINDS_WITH_ID = ['tenants', 'models', 'services', 'cacheStores'] as const;

type KindWithId = (typeof KINDS_WITH_ID)[number];
type Ids = Record<KindWithId, Set<string>>;

/** The violations across the items of intents whose items are each well formed. */
export function checkReferences(intents: Intents): IntentViolation[] {
  const violations: IntentViolation[] = [];
  const ids = collectIds(intents, violations);
  for (const [index, tenant] of intents.tenants.entries())
    violations.push(...checkSharing(`tenants[${index}]`, tenant));
  for (const [index, service] of intents.services.entries()) {
    violations.push(...checkNamed(`services[${index}].tenant`, ids, 'tenants', service.tenant));
    violations.push(...checkNamed(`services[${index}].model`, ids, 'models', service.model));
  }
  const matches = new Set<string>();
  for (const [index, rule] of intents.rules.entries())
    violations.push(...checkRule(`rules[${index}]`, rule, intents, ids, matches));
  return violations;
}

function collectIds(intents: Intents, violations: IntentViolation[]): Ids {
  const ids: Ids = {
    tenants: new Set(),
    models: new Set(),
    services: new Set(),
    cacheStores: new Set(),
  };
  for (const kind of KINDS_WITH_ID)
    for (const [index, { id }] of intents[kind].entries()) {
      if (ids[kind].has(id))
        violations.push({ path: `${kind}[${index}].id`, why: `is given twice: ${id}` });
      ids[kind].add(id);
    }
  return ids;
}

function checkNamed(path: string, ids: Ids, kind: KindWithId, id: string): IntentViolation[] {
  return ids[kind].has(id) ? [] : [{ path, why: `names no one of ${kind}: ${id}` }];
}

function checkSharing(path: string, tenant: Tenant): IntentViolation[] {
  if (tenant.sharing === 'group' && !tenant.group)
    return [{ path: `${path}.group`, why: 'is needed where sharing is group' }];
  if (tenant.sharing === 'walled' && tenant.group)
    return [{ path: `${path}.group`, why: 'must be left out where sharing is walled' }];
  return [];
}

/** Checks a rule; `matches` holds what the rules before it match, and is added to. */
function checkRule(
  path: string,
  rule: Rule,
  intents: Intents,
  ids: Ids,
  matches: Set<string>,
): IntentViolation[] {
  const violations = [
    ...checkNamed(`${path}.tenant`, ids, 'tenants', rule.tenant),
    ...checkNamed(`${path}.service`, ids, 'services', rule.service),
  ];
  function isNamed(service: { id: string }): boolean {
    return service.id === rule.service;
  }
  const service = intents.services.find(isNamed);
  if (service && service.tenant !== rule.tenant)
    violations.push({
      path: `${path}.service`,
      why: `belongs to another tenant: ${service.tenant}`,
    });
  const match = `${rule.tenant} ${rule.label}`;
  if (matches.has(match))
    violations.push({ path, why: `matches the same as an earlier rule: ${match}` });
  matches.add(match);
  return violations;
}
