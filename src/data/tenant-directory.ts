/**
 * Tenants, their keys and services, as the control state has them.
 */

import { Follower } from '../shared/replication/follower';
import { Intents, IntentsValue, Service } from '../shared/state/intents';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { ownField } from '../shared/util/plain-object';

/** The committed value of one tenant's keys. */
export interface TenantKeys {
  tenant: string;
  keys: { hash: string }[];
}

/** Looks up tenants by their keys, and services by name or rule. */
export class TenantDirectory {
  private readonly tenantByHash = new Map<string, string>();
  private readonly hashesByTenant = new Map<string, string[]>();
  private readonly services = new Map<string, Service>();
  /** Services by tenant and label. */
  private readonly rules = new Map<string, string>();

  constructor(private readonly follower: Follower) {}

  /** Takes the operators' newest intents. */
  applyIntents({ services, rules }: Pick<Intents, 'services' | 'rules'>): void {
    this.services.clear();
    this.rules.clear();
    for (const service of services) this.services.set(service.id, service);
    for (const { tenant, label, service } of rules) this.rules.set(`${tenant} ${label}`, service);
  }

  /** Takes one tenant's keys; those of all others stay. */
  applyKeys({ tenant, keys }: TenantKeys): void {
    for (const hash of this.hashesByTenant.get(tenant) ?? [])
      if (this.tenantByHash.get(hash) === tenant) this.tenantByHash.delete(hash);
    const hashes: string[] = [];
    for (const { hash } of keys) hashes.push(hash);
    for (const hash of hashes) this.tenantByHash.set(hash, tenant);
    this.hashesByTenant.set(tenant, hashes);
  }

  /** The tenant of a key, by the key's hash. */
  tenantOf(hash: string): string | undefined {
    return this.tenantByHash.get(hash);
  }

  /** The service of that name, or that the tenant's rule for a label names; `foreign` is another tenant's. */
  serviceOf(
    tenant: string,
    name: string | undefined,
    label: string | undefined,
  ): Service | 'missing' | 'foreign' {
    const id = name ?? this.rules.get(`${tenant} ${label ?? ''}`) ?? '';
    const service = this.services.get(id);
    if (!service) return 'missing';
    return service.tenant === tenant ? service : 'foreign';
  }

  /** The salt under which engines cache a tenant's blocks. */
  saltOf(tenant: string): string | undefined {
    const salts = this.follower.value<IntentsValue>(CONTROL_KEYS.intents)?.value.salts;
    return salts && ownField(salts, tenant);
  }
}
