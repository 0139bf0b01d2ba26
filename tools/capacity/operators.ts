import { errorOrValue } from '../../src/shared/errors/errors';
import { requestJson } from '../../src/shared/util/http-json';
import { Intents, Rule } from '../../src/shared/state/intents';
import { Hollow, MODEL } from './hollow-fleet';

/** What one change cost its operator: ms to the return, and whether it was in effect by then. */
export interface ChangeSeen {
  ms: number;
  inEffect: boolean;
  status: number;
}

/** Makes intents of so many tenants, two services each, and so many rules. */
export function makeIntents(tenants: number, rules: number): Intents {
  const doc: Intents = {
    tenants: [],
    models: [{ id: MODEL }],
    services: [],
    rules: [],
    cacheStores: [],
  };
  for (let i = 1; i <= tenants; i++) {
    doc.tenants.push({ id: `tenant-${i}`, sharing: 'walled' });
    const base = {
      tenant: `tenant-${i}`,
      model: MODEL,
      mayRepeat: true,
      secondTries: 0.15,
      deadlineMs: 30000,
      maxTokens: 8,
    };
    doc.services.push(
      { ...base, id: `check-${i}`, urgency: 'normal' },
      { ...base, id: `swap-${i}`, urgency: 'high' },
    );
  }
  for (let i = 0; i < rules; i++) doc.rules.push(ruleOf(i, tenants));
  return doc;
}

function ruleOf(i: number, tenants: number): Rule {
  const t = (i % tenants) + 1;
  return {
    tenant: `tenant-${t}`,
    label: `label-${i}`,
    service: i % 2 === 0 ? `check-${t}` : `swap-${t}`,
  };
}

/** Applies a whole file of intents on a revision. */
export async function applyIntents(
  h: Hollow,
  doc: Intents,
  basedOn: number,
  at = 0,
): Promise<ChangeSeen> {
  const began = h.ports.clock.now();
  const [f, r] = errorOrValue(
    await requestJson(h.ports.network, {
      address: h.controllers[at % h.controllers.length].http,
      method: 'PUT',
      path: '/v1/intents',
      body: JSON.stringify({ basedOn, intents: doc }),
      timeoutMs: 60000,
    }),
  );
  return {
    ms: h.ports.clock.now() - began,
    inEffect: !f && (r.body as { inEffect?: boolean }).inEffect === true,
    status: f ? 0 : r.status,
  };
}

/** The revision that stands. */
export async function revisionOf(h: Hollow): Promise<number> {
  const [f, r] = errorOrValue(
    await requestJson(h.ports.network, {
      address: h.controllers[0].http,
      method: 'GET',
      path: '/v1/intents',
      timeoutMs: 20000,
    }),
  );
  return f ? 0 : (r.body as { revision: number }).revision;
}

/** Changes one rule, again and again at a pace, for so many times; a change that is late is not made up for. */
export async function changeRules(
  h: Hollow,
  doc: Intents,
  times: number,
  perS: number,
): Promise<ChangeSeen[]> {
  const out: ChangeSeen[] = [];
  let revision = await revisionOf(h);
  for (let i = 0; i < times; i++) {
    const began = h.ports.clock.now();
    const at = Math.floor((i * doc.rules.length) / times);
    doc.rules[at] = {
      ...doc.rules[at],
      service: doc.rules[at].service.startsWith('check')
        ? doc.rules[at].service.replace('check', 'swap')
        : doc.rules[at].service.replace('swap', 'check'),
    };
    const seen = await applyIntents(h, doc, revision, i);
    out.push(seen);
    if (seen.status === 200 || seen.status === 202) revision++;
    else revision = await revisionOf(h);
    await h.ports.clock.sleep(Math.max(0, 1000 / perS - (h.ports.clock.now() - began)));
  }
  return out;
}

/** Makes a key for each of so many tenants, some at once. */
export async function makeKeys(
  h: Hollow,
  from: number,
  to: number,
  atOnce = 64,
): Promise<{ failed: number; ms: number; keys: Record<string, string> }> {
  const began = h.ports.clock.now();
  const keys: Record<string, string> = {};
  let next = from;
  let failed = 0;
  async function work(): Promise<void> {
    while (next < to) {
      const t = ++next;
      const [f, r] = errorOrValue(
        await requestJson(h.ports.network, {
          address: h.controllers[t % h.controllers.length].http,
          method: 'POST',
          path: `/v1/keys/tenant-${t}`,
          timeoutMs: 30000,
        }),
      );
      const key = f ? undefined : (r.body as { key?: string }).key;
      if (key === undefined) failed++;
      else keys[`tenant-${t}`] = key;
    }
  }
  const all: Promise<void>[] = [];
  for (let i = 0; i < atOnce; i++) all.push(work());
  await Promise.all(all);
  return { failed, ms: h.ports.clock.now() - began, keys };
}

/** Changes the platform's list once, and waits until the nodes have it; gives ms. */
export async function changeList(h: Hollow, within: number): Promise<number> {
  const before = await changesSeen(h);
  const began = h.ports.clock.now();
  h.engines[0].leaving = !h.engines[0].leaving;
  const want = before + h.sizes.nodes + h.sizes.routers;
  async function there(): Promise<boolean> {
    return (await changesSeen(h)) >= want;
  }
  return (await h.until(within, there)) ? h.ports.clock.now() - began : NaN;
}

async function changesSeen(h: Hollow): Promise<number> {
  let n = 0;
  for (const role of ['nodes', 'routers']) for (const f of await h.read(role)) n += f.more.changes;
  return n;
}
