/**
 * The operators' intents: tenants, services and rules of a fleet that is driven by our own interface.
 */

import { ownField, setOwnField } from '../util/plain-object';

/** A tenant: walled off, or in a named sharing group. */
export interface Tenant {
  id: string;
  sharing: 'walled' | 'group';
  group?: string;
}

/** What a desk needs of a service. */
export interface Service {
  id: string;
  tenant: string;
  model: string;
  urgency: 'high' | 'normal' | 'low';
  mayRepeat: boolean;
  deadlineMs: number;
  maxTokens: number;
  secondTries: number;
}

/** How a request that names no service finds one. */
export interface Rule {
  tenant: string;
  label: string;
  service: string;
}

/** A store of kept parts. */
export interface CacheStore {
  id: string;
  at: string;
  zone: string;
}

/** The whole of the operators' intents. */
export interface Intents {
  tenants: Tenant[];
  models: { id: string }[];
  services: Service[];
  rules: Rule[];
  cacheStores: CacheStore[];
}

/** The committed value of the intents: the file, and what the system set from it. */
export interface IntentsValue {
  doc: Intents;
  salts: Record<string, string>;
  groups: Record<string, number>;
}

function saltOf({ id, sharing, group }: Tenant, groups: Record<string, number>): string {
  return sharing === 'walled' ? `w:${id}` : `g:${group}:${ownField(groups, group!) ?? 0}`;
}

/** Sets salts from the file and what stood before; a group's salt changes when a member leaves it. */
export function deriveSalts(doc: Intents, before: IntentsValue | undefined): IntentsValue {
  const groups: Record<string, number> = { ...before?.groups };
  const salts: Record<string, string> = {};
  for (const old of before?.doc.tenants ?? []) {
    if (old.sharing !== 'group') continue;
    const now = doc.tenants.find(same);
    function same(t: Tenant): boolean {
      return t.id === old.id;
    }
    if (now?.sharing !== 'group' || now.group !== old.group)
      setOwnField(groups, old.group!, (ownField(groups, old.group!) ?? 0) + 1);
  }
  for (const tenant of doc.tenants) setOwnField(salts, tenant.id, saltOf(tenant, groups));
  return { doc, salts, groups };
}
