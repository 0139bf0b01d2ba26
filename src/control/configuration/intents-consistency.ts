import { requestJson } from '../../shared/util/http-json';
import { Network } from '../../shared/ports/network';
import { Engine } from '../../shared/state/engines';
import { Intents } from '../../shared/state/intents';
import { Member } from '../../shared/state/members';
import { NamedWeights } from '../../shared/state/weights';

/** Where a file of intents and the fleet as it is don't fit. */
export interface Finding {
  path: string;
  why: string;
}

interface FleetView {
  members: Member[];
  engines: Engine[];
}

/** Compares intents with the fleet as it is. */
export async function compareIntentsWithFleet(
  wire: Network,
  doc: Intents,
  fleet: FleetView,
  keys: { keys: Record<string, string[]> },
  weights: { weights: NamedWeights[] },
  within: number,
): Promise<Finding[]> {
  const out: Finding[] = [];
  const used = new Set<string>();
  for (const s of doc.services) used.add(s.model);
  for (const [i, m] of doc.models.entries()) {
    const engines = fleet.engines.filter(serves);
    function serves(e: Engine): boolean {
      return e.model === m.id && !e.leaving;
    }
    if (engines.length === 0) out.push({ path: `models[${i}]`, why: `no engine serves ${m.id}` });
    if (!used.has(m.id)) out.push({ path: `models[${i}]`, why: `no service uses ${m.id}` });
    const named = weights.weights.find(ofModel);
    function ofModel(w: NamedWeights): boolean {
      return w.model === m.id;
    }
    function has(e: Engine): boolean {
      return e.weights === named!.weights;
    }
    if (named && engines.length > 0 && !engines.some(has))
      out.push({ path: `models[${i}]`, why: `no engine has the named weights ${named.weights}` });
  }
  const ruled = new Set<string>();
  for (const r of doc.rules) ruled.add(r.service);
  for (const [i, t] of doc.tenants.entries()) {
    if ((keys.keys[t.id] ?? []).length === 0)
      out.push({ path: `tenants[${i}]`, why: `${t.id} has no key` });
  }
  for (const [i, r] of doc.rules.entries()) {
    if ((keys.keys[r.tenant] ?? []).length === 0)
      out.push({ path: `rules[${i}]`, why: `can't match: ${r.tenant} has no key` });
  }
  for (const [i, s] of doc.cacheStores.entries()) {
    const o = await requestJson(wire, {
      address: s.at,
      method: 'GET',
      path: '/api/kv-events?after=0&epoch=&wait=1',
      timeoutMs: within,
    });
    if (o.isLeft())
      out.push({ path: `cacheStores[${i}]`, why: `${s.id} does not answer at ${s.at}` });
  }
  function isRole(role: string): (m: Member) => boolean {
    function test(m: Member): boolean {
      return m.role === role;
    }
    return test;
  }
  for (const role of ['router', 'indexer'])
    if (!fleet.members.some(isRole(role)))
      out.push({ path: '(fleet)', why: `no ${role} holds a claim` });
  return out;
}
