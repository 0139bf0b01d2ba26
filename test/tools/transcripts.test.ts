import { errorOrValue } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { askCore, makeSimFleet, SimFleet, simIntents } from '../../tools/sim/simfleet';

interface Scene {
  f: SimFleet;
  keys: Record<string, string>;
  lines: string[];
}

const OFTEN = /"(started|at|prefillMs)":[\d.]+/g;
const LIFE = /(core-\d)\.[0-9a-f]{8}/g;

async function exchange(
  s: Scene,
  ports: Ports,
  at: string,
  method: string,
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<string> {
  const text =
    typeof body === 'string' ? body : body === undefined ? undefined : JSON.stringify(body);
  s.lines.push(`> ${method} ${path.replace(LIFE, '$1.(life)')}`);
  for (const [k, v] of Object.entries(headers))
    s.lines.push(`> ${k}: ${k === 'authorization' ? 'Bearer (key)' : v}`);
  if (text !== undefined)
    s.lines.push(`> ${text.length > 400 ? `(${text.length} characters)` : text}`);
  const [f, r] = errorOrValue(
    await ports.network.request({
      address: at,
      method,
      path,
      body: text,
      headers,
      timeoutMs: 20000,
    }),
  );
  if (f) {
    s.lines.push(`< (${f.certainty} ${f.code})`, '');
    return '';
  }
  s.lines.push(
    `< ${r.status}${r.headers['retry-after'] ? ` retry-after: ${r.headers['retry-after']}` : ''}`,
  );
  let all = '';
  for (;;) {
    const [g, piece] = errorOrValue(await r.nextChunk());
    if (g) s.lines.push(`< (broken off: ${g.code})`);
    if (g || piece === undefined) break;
    all += piece;
  }
  for (const l of all.split('\n'))
    if (l)
      s.lines.push(
        `< ${l
          .replace(OFTEN, '"$1":0')
          .replace(LIFE, '$1.(life)')
          .replace(/"key":"ph_\w+"/, '"key":"(key)"')
          .replace(/"id":"[0-9a-f]{12}"/, '"id":"(id)"')
          .replace(/"epoch":"[0-9a-f]{32}"/g, '"epoch":"(epoch)"')}`,
      );
  s.lines.push('');
  return all;
}

async function scene(seed: number, act: (s: Scene) => Promise<void>): Promise<string> {
  const f = makeSimFleet(seed, 'saffron-bay', 2, 2, false);
  const s: Scene = { f, keys: {}, lines: [] };
  let over = false;
  f.startAll();
  async function go(): Promise<void> {
    await f.ops.clock.sleep(4000);
    await act(s);
    over = true;
  }
  void go();
  await f.w.run(60000);
  expect(over).toBe(true);
  return s.lines.join('\n');
}

async function configured(s: Scene): Promise<void> {
  const r = await askCore(s.f, 'PUT', '/v1/intents', {
    basedOn: 0,
    intents: simIntents(s.f.d, 'probe-3', 0, []),
  });
  expect(r.status).toBe(200);
  for (const t of ['probe', 'tenant-1', 'tenant-2']) {
    const k = await askCore(s.f, 'POST', `/v1/keys/${t}`, {});
    s.keys[t] = String((k as { body: Record<string, unknown> }).body.key);
  }
}

function controllerAt(s: Scene): string {
  return s.f.d.core[0].http;
}

async function applying(s: Scene): Promise<void> {
  const { ops, d } = s.f;
  const at = controllerAt(s);
  const small = {
    tenants: [{ id: 'bay', sharing: 'walled' }],
    models: [{ id: 'roster' }],
    services: [{ id: 'swap', tenant: 'bay', model: 'roster', urgency: 'high', mayRepeat: true }],
    rules: [{ tenant: 'bay', label: 'short', service: 'swap' }],
    cacheStores: [{ id: 'store-1', at: d.store.at }],
  };
  await exchange(s, ops, at, 'GET', '/v1/intents');
  await exchange(s, ops, at, 'PUT', '/v1/intents', { basedOn: 0, intents: small, dryRun: true });
  const change = JSON.parse(
    await exchange(s, ops, at, 'PUT', '/v1/intents', { basedOn: 0, intents: small }),
  ) as { change: string };
  await exchange(s, ops, at, 'GET', `/v1/changes/${change.change}`);
  const faulty = {
    tenants: [
      { id: 'bay', sharing: 'walled', group: 'x' },
      { id: 'bay', sharing: 'open' },
      { id: 'two words', sharing: 'group' },
    ],
    models: [{ id: 'roster', colour: 'red' }],
    services: [{ id: 'swap', tenant: 'nobody', model: 'roster', deadlineMs: -1, secondTries: 0.5 }],
    rules: 'all',
    extra: 1,
  };
  await exchange(s, ops, at, 'PUT', '/v1/intents', { basedOn: 1, intents: faulty });
  await exchange(s, ops, at, 'PUT', '/v1/intents', {
    basedOn: 1,
    intents: {
      ...small,
      rules: [{ tenant: 'bay', label: 'short', service: 'gone' }],
      cacheStores: [],
    },
  });
  await exchange(s, ops, at, 'PUT', '/v1/intents', '{"basedOn": 1,');
  await exchange(s, ops, at, 'POST', '/v1/keys/bay', {});
  await exchange(s, ops, at, 'PUT', '/v1/weights/roster', { weights: 'w1' });
  await exchange(s, ops, at, 'DELETE', '/v1/intents');
  await exchange(s, ops, at, 'GET', '/v1/nothing');
}

async function racing(s: Scene): Promise<void> {
  await configured(s);
  const { d, ops } = s.f;
  const twin: Scene = { ...s, lines: [] };
  const one = exchange(s, ops, d.core[0].http, 'PUT', '/v1/intents', {
    basedOn: 1,
    intents: simIntents(d, 'probe-3', 1, []),
  });
  const two = exchange(twin, ops, d.core[1].http, 'PUT', '/v1/intents', {
    basedOn: 1,
    intents: simIntents(d, 'probe-5', 2, []),
  });
  await Promise.all([one, two]);
  s.lines.push('and at the same time', '', ...twin.lines);
}

function generate(
  s: Scene,
  at: string,
  body: unknown,
  headers?: Record<string, string>,
): Promise<string> {
  return exchange(s, s.f.callers, at, 'POST', '/v1/generate', body, headers);
}

async function generating(s: Scene): Promise<void> {
  await configured(s);
  const { d } = s.f;
  const at = d.edge[0].http;
  const key = { authorization: `Bearer ${s.keys.probe}` };
  const own = { authorization: `Bearer ${s.keys['tenant-1']}`, 'idempotency-key': 'swap-77' };
  const swap = { service: 'swap-1', prompt: 'Approve or refer?', maxTokens: 2 };
  await generate(s, at, { label: 'probe', prompt: 'Is this swap within the labour rules?' }, key);
  await generate(s, at, swap, own);
  await generate(s, at, swap, own);
  await generate(s, d.edge[1].http, swap, own);
}

async function refusing(s: Scene): Promise<void> {
  await configured(s);
  const { callers, d } = s.f;
  const at = d.edge[0].http;
  const key = { authorization: `Bearer ${s.keys.probe}` };
  const own = { authorization: `Bearer ${s.keys['tenant-1']}` };
  await generate(s, at, { label: 'probe', prompt: 'x' });
  await generate(s, at, { label: 'probe', prompt: 'x' }, { authorization: 'Bearer nobody' });
  await generate(s, at, '{"label":', key);
  await generate(s, at, '[1]', key);
  await generate(s, at, { label: 7, prompt: 'x' }, key);
  await generate(s, at, { label: 'probe' }, key);
  await generate(s, at, { label: 'probe', tokens: [1, -2, 'x'] }, key);
  await generate(s, at, { label: 'probe', prompt: '' }, key);
  await generate(s, at, { label: 'none', prompt: 'x' }, key);
  await generate(s, at, { service: 'swap-1', prompt: 'x' }, key);
  await generate(s, at, { service: 'swap-1', prompt: 'x' }, own);
  await generate(s, at, { label: 'probe', prompt: 'x'.repeat(1 << 22) }, key);
  await exchange(s, callers, at, 'GET', '/v1/generate');
  for (const e of s.f.engines) e.leaving = true;
  await callers.clock.sleep(2000);
  await generate(s, at, { label: 'probe', prompt: 'x' }, key);
  expect(s.f.ledger.filter(isBegun)).toEqual([]);
}

function isBegun(e: { kind: string }): boolean {
  return e.kind === 'began';
}

async function breaking(s: Scene): Promise<void> {
  await configured(s);
  const { d, w } = s.f;
  function crash(): void {
    for (const p of w.procs()) if (p.name.startsWith('engine-')) w.kill(p, false);
  }
  w.after(90, crash);
  await generate(
    s,
    d.edge[0].http,
    { service: 'swap-1', prompt: 'Approve or refer?', maxTokens: 8 },
    { authorization: `Bearer ${s.keys['tenant-1']}`, 'idempotency-key': 'swap-78' },
  );
  await generate(
    s,
    d.edge[0].http,
    { service: 'swap-1', prompt: 'Approve or refer?', maxTokens: 8 },
    { authorization: `Bearer ${s.keys['tenant-1']}`, 'idempotency-key': 'swap-78' },
  );
}

async function indexing(s: Scene): Promise<void> {
  await configured(s);
  const { ops, d, w } = s.f;
  const prompt =
    'Union agreement, part one.\n\nPart two: rest between shifts.\n\nWho may swap on Sunday?';
  await generate(
    s,
    d.edge[0].http,
    { label: 'probe', prompt },
    { authorization: `Bearer ${s.keys.probe}` },
  );
  await ops.clock.sleep(500);
  const at = d.core.map(indexHttp);
  const q = { model: 'roster', salt: 'w:probe', weights: 'w1', text: prompt };
  await exchange(s, ops, at[0], 'POST', '/query', q);
  await exchange(s, ops, at[0], 'POST', '/query', { ...q, salt: 'w:tenant-1' });
  await exchange(s, ops, at[0], 'POST', '/query', { ...q, weights: 'w2' });
  await exchange(s, ops, at[0], 'POST', '/query', { model: 'roster' });
  const p = w.procs().find(isReplica)!;
  w.kill(p, false);
  w.revive(p);
  s.f.starts.get(p.name)!();
  await ops.clock.sleep(200);
  s.lines.push('a replica was killed and has just started', '');
  await exchange(s, ops, at[2], 'GET', '/healthz');
  await ops.clock.sleep(3000);
  await exchange(s, ops, at[2], 'GET', '/healthz');
  await exchange(s, ops, at[2], 'POST', '/query', q);
  await exchange(s, ops, at[2], 'GET', '/listeners');
}

function indexHttp(c: { http: string }): string {
  return c.http.replace('.1.', '.5.').replace(':8000', ':8001');
}

function isReplica(p: { name: string }): boolean {
  return p.name === 'index-core-3';
}

async function approve(seed: number, act: (s: Scene) => Promise<void>): Promise<void> {
  expect(await scene(seed, act)).toMatchSnapshot();
}

async function hangsUp(): Promise<void> {
  async function act(s: Scene): Promise<void> {
    await configured(s);
    const { callers, d } = s.f;
    const gone = new AbortController();
    const headers = { authorization: `Bearer ${s.keys['tenant-1']}`, 'idempotency-key': 'swap-79' };
    const [, r] = errorOrValue(
      await callers.network.request({
        address: d.edge[0].http,
        method: 'POST',
        path: '/v1/generate',
        headers,
        body: JSON.stringify({ service: 'check-1', prompt: 'x' }),
        timeoutMs: 9000,
        signal: gone.signal,
      }),
    );
    await r!.nextChunk();
    gone.abort();
    await callers.clock.sleep(2000);
    expect(s.f.ledger.map(kindOf)).toEqual(['began', 'broke']);
  }
  await scene(11, act);
}

async function statuses(): Promise<void> {
  async function act(s: Scene): Promise<void> {
    await configured(s);
    const { ops, d, w } = s.f;
    async function told(): Promise<string[]> {
      const all = JSON.parse(await exchange(s, ops, indexHttp(d.core[0]), 'GET', '/listeners')) as {
        listeners: { id: string; status: string; lastError?: string }[];
      };
      return all.listeners.map(say).sort();
    }
    function say(l: { id: string; status: string; lastError?: string }): string {
      return `${l.id} ${l.status}${l.lastError ? ' with an error' : ''}`;
    }
    await ops.clock.sleep(1000);
    expect(await told()).toEqual(['engine-1 active', 'engine-2 active', 'store-1 active']);
    s.f.engines[0].leaving = true;
    w.kill(w.procs().find(isStore)!, false);
    await ops.clock.sleep(2000);
    expect(await told()).toEqual([
      'engine-1 paused',
      'engine-2 active',
      'store-1 failed with an error',
    ]);
  }
  await scene(12, act);
}

function isStore(p: { name: string }): boolean {
  return p.name === 'store-1';
}

function kindOf(e: { kind: string }): string {
  return e.kind;
}

test('listeners are active, paused while leaving, failed with an error', statuses);
test('a caller that hangs up ends its leg at the engine', hangsUp);
test.each([
  ['apply: whole, dry, faulty, in parts', applying],
  ['two operators race', racing],
  ['generate, and a repeat of what may not repeat', generating],
  ['refusals cost no engine work', refusing],
  ['an engine breaks off in the middle', breaking],
  ['index query, and a replica that starts from a peer', indexing],
])('%s', run);

async function run(_: string, act: (s: Scene) => Promise<void>): Promise<void> {
  await approve(7, act);
}
