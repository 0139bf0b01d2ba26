import { errorOrValue } from '../../src/shared/errors/errors';
import { requestJson, readToEnd, makeLineReader } from '../../src/shared/util/http-json';
import { parseJson } from '../../src/shared/util/try-catch';
import { askCore, SimFleet, simIntents } from './simfleet';

/** What operators were told, and what that lets us expect. */
export interface OpsLog {
  acks: number;
  pending: number;
  conflicts: number;
  unknown: number;
  violations: string[];
  rule: { possible: Set<string>; windows: Set<Set<string>> };
  droppedKeys: string[];
  sureKeys: Set<string>;
  liveKey: string | undefined;
  weights: { name: string; sentAt: number; ackAt?: number }[];
  walls: Map<string, number>;
  lastAcked: { revision: number; service: string };
  effectMs: number[];
  replaced: boolean;
}

/** Makes an empty log. */
export function makeOpsLog(): OpsLog {
  return {
    acks: 0,
    pending: 0,
    conflicts: 0,
    unknown: 0,
    violations: [],
    rule: { possible: new Set(['probe-3']), windows: new Set() },
    droppedKeys: [],
    sureKeys: new Set(),
    liveKey: undefined,
    weights: [{ name: 'w1', sentAt: -1e9, ackAt: -1e9 }],
    walls: new Map(),
    lastAcked: { revision: 0, service: 'probe-3' },
    effectMs: [],
    replaced: false,
  };
}

interface Reply {
  status: number;
  body: Record<string, unknown>;
  sure: boolean;
}

async function tell(
  f: SimFleet,
  log: OpsLog,
  method: string,
  path: string,
  body: unknown,
  first: number,
): Promise<Reply> {
  const sent = f.w.now();
  const r = await askCore(f, method, path, body, first);
  const body2 = 'body' in r ? r.body : {};
  const sort = (body2?.error as { class?: string } | undefined)?.class;
  const change = body2?.change as string | undefined;
  const sure = r.status !== 0 ? sort !== 'unknown' : (r as { sure: boolean }).sure;
  f.w.trace(`operator ${method} ${path} ${r.status} ${change ?? sort ?? ''}`);
  if (r.status === 200) {
    log.acks++;
    log.effectMs.push(f.w.now() - sent);
  } else if (r.status === 202) log.pending++;
  else if (r.status === 409) log.conflicts++;
  else if (!sure) log.unknown++;
  return { status: r.status, body: body2, sure };
}

/** Applies a file in which the probe's rule names a service; `basedOn` undefined reads the standing revision. */
export async function applyRule(
  f: SimFleet,
  log: OpsLog,
  service: string,
  extra: number,
  first: number,
  basedOn?: number,
  walled: readonly string[] = [...log.walls.keys()],
): Promise<number | undefined> {
  let base = basedOn;
  if (base === undefined) {
    const now = await askCore(f, 'GET', '/v1/intents', undefined, first);
    if (now.status !== 200) return undefined;
    base = Number((now as Reply).body.revision);
  }
  const { rule } = log;
  rule.possible.add(service);
  for (const win of rule.windows) win.add(service);
  const r = await tell(
    f,
    log,
    'PUT',
    '/v1/intents',
    { basedOn: base, intents: simIntents(f.d, service, extra, walled) },
    first,
  );
  if (r.status === 200 || r.status === 202) {
    const revision = Number(r.body.revision);
    if (revision !== base + 1) log.violations.push(`apply on ${base} gave revision ${revision}`);
    if (r.status === 200 && revision > log.lastAcked.revision) {
      log.lastAcked = { revision, service };
      rule.possible = new Set([service]);
    }
    return revision;
  }
  return undefined;
}

/** Two operators apply on the same revision at once: one of them at the most may be told that it stands. */
export async function race(f: SimFleet, log: OpsLog): Promise<void> {
  const now = await askCore(f, 'GET', '/v1/intents');
  if (now.status !== 200) return;
  const base = Number((now as Reply).body.revision);
  const both = await Promise.all([
    applyRule(f, log, 'probe-3', 1, 0, base),
    applyRule(f, log, 'probe-5', 2, 1, base),
  ]);
  if (both[0] !== undefined && both[1] !== undefined)
    log.violations.push(`both operators were told that they won revision ${base + 1}`);
}

/** Makes a fresh key for the prober and then withdraws the old one. */
export async function turnKey(f: SimFleet, log: OpsLog, ids: Map<string, string>): Promise<void> {
  const old = log.liveKey;
  const made = await tell(f, log, 'POST', '/v1/keys/probe', {}, 0);
  if (made.status !== 200) return;
  const key = String(made.body.key);
  ids.set(key, String(made.body.id));
  log.liveKey = key;
  log.sureKeys.add(key);
  if (!old) return;
  log.sureKeys.delete(old);
  const gone = await tell(f, log, 'DELETE', `/v1/keys/probe/${ids.get(old)}`, undefined, 1);
  if (gone.status === 200) log.droppedKeys.push(old);
}

/** Two operators each make a key for the prober at once, through different controllers: both that were told so have one that works. */
export async function raceKeys(f: SimFleet, log: OpsLog, ids: Map<string, string>): Promise<void> {
  const made = await Promise.all([
    tell(f, log, 'POST', '/v1/keys/probe', {}, 0),
    tell(f, log, 'POST', '/v1/keys/probe', {}, 1),
  ]);
  for (const m of made) {
    if (m.status !== 200) continue;
    ids.set(String(m.body.key), String(m.body.id));
    log.sureKeys.add(String(m.body.key));
    await probe(f, log, String(m.body.key), false);
  }
}

/** Names new weights. */
export async function nameWeights(f: SimFleet, log: OpsLog, name: string): Promise<void> {
  const w: OpsLog['weights'][number] = { name, sentAt: f.w.now() };
  log.weights.push(w);
  const r = await tell(f, log, 'PUT', `/v1/weights/${f.d.model}`, { weights: name }, 2);
  if (r.status === 200 || r.status === 202) w.ackAt = f.w.now();
  for (let i = 0; w.ackAt === undefined && i < 5; i++) {
    await f.ops.clock.sleep(500);
    const now = await askCore(f, 'GET', '/v1/weights', undefined, i);
    const named = (now as Reply).body?.weights as { weights: string }[] | undefined;
    if (named?.some(same)) w.ackAt = f.w.now();
    else if (named && r.sure) return;
  }
  function same(x: { weights: string }): boolean {
    return x.weights === name;
  }
}

/** Walls a tenant off that shared before. */
export async function wallOff(f: SimFleet, log: OpsLog, tenant: string): Promise<void> {
  const walled = [...log.walls.keys(), tenant];
  const revision = await applyRule(f, log, log.lastAcked.service, 0, 0, undefined, walled);
  if (revision !== undefined && log.lastAcked.revision === revision)
    log.walls.set(tenant, f.w.now());
}

/** One probe: how many pieces the rule's service gives tells which service took it. */
export async function probe(
  f: SimFleet,
  log: OpsLog,
  key: string,
  dropped: boolean,
): Promise<'whole' | 'refused' | 'other'> {
  const { callers, w } = f;
  const edge = f.d.edge[Math.floor(w.dice.next() * f.d.edge.length)].http;
  const win = new Set(log.rule.possible);
  log.rule.windows.add(win);
  const headers = { authorization: `Bearer ${key}`, 'content-type': 'application/json' };
  const started = w.now();
  const [g, r] = errorOrValue(
    await callers.network.request({
      address: edge,
      method: 'POST',
      path: '/v1/generate',
      headers,
      body: JSON.stringify({
        label: 'probe',
        tokens: [1, 2, 3, 1 + Math.floor(w.dice.next() * 1e6)],
        maxTokens: 9,
      }),
      timeoutMs: 9000,
    }),
  );
  log.rule.windows.delete(win);
  if (g) return 'other';
  if (r.status !== 200) {
    r.cancel();
    if (r.status === 401 && !dropped && log.sureKeys.has(key))
      log.violations.push(`an acknowledged key was not known at ${started.toFixed(0)} by ${edge}`);
    return 'refused';
  }
  if (dropped)
    log.violations.push(`a withdrawn key was let in at ${started.toFixed(0)} by ${edge}`);
  const line = makeLineReader(r.nextChunk, edge);
  for (;;) {
    const [h, text] = errorOrValue(await line());
    const v =
      text === undefined
        ? undefined
        : (parseJson(text, 'probe', edge).orDefault(undefined) as
            { done?: boolean; count?: number; error?: object } | undefined);
    if (h || !v || v.error) return 'other';
    if (!v.done) continue;
    void readToEnd(line, r.cancel);
    if (!win.has(`probe-${v.count}`))
      log.violations.push(
        `probe of ${started.toFixed(0)} at ${edge} was served by probe-${v.count}, possible: ${[...win].join(' ')}`,
      );
    return 'whole';
  }
}

/** After all is healed: what was acknowledged stands, at every controller that answers. */
export async function checkKept(f: SimFleet, log: OpsLog): Promise<void> {
  for (const c of f.d.core) {
    const [g, r] = errorOrValue(
      await requestJson(f.ops.network, {
        address: c.http,
        method: 'GET',
        path: '/v1/intents',
        timeoutMs: 3000,
      }),
    );
    if (g || r.status !== 200) continue;
    const b = r.body as {
      revision: number;
      intents: { rules: { label: string; service: string }[] };
    };
    function probeRule(x: { label: string }): boolean {
      return x.label === 'probe';
    }
    const has = b.intents.rules.find(probeRule)?.service ?? 'none';
    if (b.revision < log.lastAcked.revision)
      log.violations.push(
        `${c.name} holds revision ${b.revision}, ${log.lastAcked.revision} was acknowledged`,
      );
    else if (b.revision === log.lastAcked.revision && has !== log.lastAcked.service)
      log.violations.push(
        `${c.name} holds ${has} at revision ${b.revision}, ${log.lastAcked.service} was acknowledged`,
      );
  }
}

function isDone(r: Reply): boolean {
  return r.status === 200;
}

/** A core machine is lost for good; operators start an empty one at a new address and have it vote in its place. */
export async function replaceCore(f: SimFleet, log: OpsLog): Promise<void> {
  const victim = f.d.core[Math.floor(f.w.dice.next() * f.d.core.length)];
  function named(name: string): (p: { name: string }) => boolean {
    function test(p: { name: string }): boolean {
      return p.name === name;
    }
    return test;
  }
  const p = f.w.procs().find(named(victim.name))!;
  f.lost.add(victim.name);
  f.w.kill(p, true);
  f.lost.delete('core-4');
  f.starts.get('core-4')!();
  f.w.trace(`operator loses ${victim.name} and starts core-4`);
  for (let i = 0; !log.replaced; i++) {
    await f.ops.clock.sleep(700);
    const body = { out: victim.wire, into: f.spare.wire };
    const both = await Promise.all([
      tell(f, log, 'POST', '/v1/voters', body, i),
      tell(f, log, 'POST', '/v1/voters', body, i + 1),
    ]);
    log.replaced = both.some(isDone);
  }
  if (f.w.dice.next() < 0.5) f.lost.delete(victim.name);
}
