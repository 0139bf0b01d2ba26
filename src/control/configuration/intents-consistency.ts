/**
 * Compares a file of intents with the fleet as it is: what is named but not served, served but not used, or can't work.
 */

import { requestJson } from '../../shared/util/http-json';
import { Network } from '../../shared/ports/network';
import { Engine } from '../../shared/state/engines';
import { CacheStore, Intents } from '../../shared/state/intents';
import { Member } from '../../shared/state/members';
import { NamedWeights } from '../../shared/state/weights';
import { ownField } from '../../shared/util/plain-object';

/** Roles of which a fleet needs at least one member. */
const NEEDED_ROLES = ['router', 'indexer'];

/** Where a file of intents and the fleet as it is do not fit. */
export interface Finding {
  path: string;
  why: string;
}

interface FleetView {
  members: Member[];
  engines: Engine[];
}

/** Compares intents with the fleet as it is; each cache store has `timeoutMs` to answer. */
export async function compareIntentsWithFleet(
  network: Network,
  intents: Intents,
  fleet: FleetView,
  keys: { keys: Record<string, string[]> },
  weights: { weights: NamedWeights[] },
  timeoutMs: number,
): Promise<Finding[]> {
  return [
    ...compareModels(intents, fleet.engines, weights.weights),
    ...compareKeys(intents, keys.keys),
    ...(await probeCacheStores(network, intents.cacheStores, timeoutMs)),
    ...compareRoles(fleet.members),
  ];
}

function compareModels(
  intents: Intents,
  engines: readonly Engine[],
  weights: readonly NamedWeights[],
): Finding[] {
  const findings: Finding[] = [];
  const used = new Set<string>();
  for (const service of intents.services) used.add(service.model);
  for (const [index, { id }] of intents.models.entries()) {
    const path = `models[${index}]`;
    const serving = engines.filter(isServing);
    const named = weights.find(isOfModel);
    if (serving.length === 0) findings.push({ path, why: `no engine serves ${id}` });
    if (!used.has(id)) findings.push({ path, why: `no service uses ${id}` });
    if (named && serving.length > 0 && !serving.some(hasNamed))
      findings.push({ path, why: `no engine has the named weights ${named.weights}` });

    function isServing(engine: Engine): boolean {
      return engine.model === id && !engine.leaving;
    }
    function isOfModel(candidate: NamedWeights): boolean {
      return candidate.model === id;
    }
    function hasNamed(engine: Engine): boolean {
      return engine.weights === named!.weights;
    }
  }
  return findings;
}

function compareKeys(intents: Intents, keys: Record<string, string[]>): Finding[] {
  const findings: Finding[] = [];
  function hasKey(tenant: string): boolean {
    return (ownField(keys, tenant) ?? []).length > 0;
  }
  for (const [index, { id }] of intents.tenants.entries())
    if (!hasKey(id)) findings.push({ path: `tenants[${index}]`, why: `${id} has no key` });
  for (const [index, { tenant }] of intents.rules.entries())
    if (!hasKey(tenant))
      findings.push({ path: `rules[${index}]`, why: `can't match: ${tenant} has no key` });
  return findings;
}

async function probeCacheStores(
  network: Network,
  stores: readonly CacheStore[],
  timeoutMs: number,
): Promise<Finding[]> {
  const findings: Finding[] = [];
  for (const [index, { id, at }] of stores.entries()) {
    const path = '/api/kv-events?after=0&epoch=&wait=1';
    const response = await requestJson(network, { address: at, method: 'GET', path, timeoutMs });
    if (response.isLeft())
      findings.push({ path: `cacheStores[${index}]`, why: `${id} does not answer at ${at}` });
  }
  return findings;
}

function compareRoles(members: readonly Member[]): Finding[] {
  const present = new Set<string>();
  for (const member of members) present.add(member.role);
  const findings: Finding[] = [];
  for (const role of NEEDED_ROLES)
    if (!present.has(role)) findings.push({ path: '(fleet)', why: `no ${role} holds a claim` });
  return findings;
}
