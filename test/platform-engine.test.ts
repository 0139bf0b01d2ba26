import { open } from '../src/shared/errors';
import { askJson } from '../src/shared/lib';
import { Ports } from '../src/shared/ports';
import { makeNet } from '../tools/sim/simwire';
import { makeWorld, World } from '../tools/sim/simworld';
import { Book, makeBook } from '../tools/standins/platform/book';
import { EngineLife, startEngine } from '../tools/standins/platform/engine';
import { Ground, makeGround } from '../tools/standins/platform/ground';
import { startList } from '../tools/standins/platform/instances';
import { EngineSpec } from '../tools/standins/platform/jobs';
import { doorsOn } from '../tools/standins/platform/serve';
import { BOUNDS } from '../tools/standins/platform/site';
import { startStore } from '../tools/standins/platform/store';

/** An engine, a store and a caller in the simulated world. */
interface Bench {
  w: World;
  ground: Ground;
  book: Book;
  caller: Ports;
  spec: EngineSpec;
  start(more?: Partial<EngineSpec>): Promise<EngineLife>;
}

const AT = '127.10.3.1:8080';
const STORE = '127.10.4.2:8165';
const FEED = { lateMs: 20, lost: 0, keep: 6, maxConcurrent: 1 };

function bench(): Bench {
  const w = makeWorld(1, false);
  const net = makeNet(w);
  const there = net.ports(w.proc('engine', '127.10.3.1'));
  const caller = net.ports(w.proc('caller', '127.10.2.1'));
  const book = makeBook(there.clock);
  const ground: Ground = {
    ...makeGround(there.clock, there.dice, book, BOUNDS),
    open: doorsOn(there.wire),
  };
  const spec: EngineSpec = {
    instance: 'i-1.1',
    service: 'lm',
    at: AT,
    zone: 'a',
    revision: 'v1',
    healthPath: '/health',
    capacity: 1,
    queue: 1,
    maxConnections: 100,
    cacheTokens: 2000,
    kvTokenBytes: 163840,
    bandwidthMbps: 1100000,
    stride: 2,
    stepMs: 3,
    prefillPerMs: 10,
    workMs: 20,
    model: 'm',
    loadMs: 400,
    idleMs: 15000,
  };
  function start(more: Partial<EngineSpec> = {}): Promise<EngineLife> {
    return startEngine(ground, { ...spec, ...more }, { feed: FEED, warmupMs: 0, warmupSlow: 1 });
  }
  return { w, ground, book, caller, spec, start };
}

/** What a call came to. */
interface Got {
  status: number;
  headers: Record<string, string | undefined>;
  text: string;
  cut: boolean;
  at: number;
}

async function call(
  b: Bench,
  path: string,
  headers: Record<string, string> = {},
  method = 'POST',
  body?: string,
  at = AT,
): Promise<Got> {
  const [f, r] = open(
    await b.caller.wire.ask({
      at,
      method,
      path,
      headers,
      body: body ?? (method === 'POST' ? '{}' : undefined),
      within: 20000,
    }),
  );
  if (f) return { status: 0, headers: {}, text: '', cut: true, at: b.w.now() };
  let text = '';
  for (;;) {
    const [g, p] = open(await r.next());
    if (g) return { status: r.status, headers: r.headers, text, cut: true, at: b.w.now() };
    if (p === undefined)
      return { status: r.status, headers: r.headers, text, cut: false, at: b.w.now() };
    text += p;
  }
}

function prompt(
  id: string,
  parts: string,
  out = 5,
  more: Record<string, string> = {},
): Record<string, string> {
  let tokens = 0;
  for (const p of parts.split(',')) tokens += Number(p.split(':')[1]);
  return {
    'plumhollow-attempt-id': id,
    'plumhollow-model': 'm',
    'plumhollow-token-count': `${tokens},${out}`,
    'plumhollow-prompt-prefix': parts,
    ...more,
  };
}

/** Lets the simulated time pass until a promise is kept. */
async function play<T>(b: Bench, p: Promise<T>, ms = 3000): Promise<T> {
  let got: T | undefined;
  let done = false;
  function keep(x: T): void {
    got = x;
    done = true;
  }
  void p.then(keep);
  for (let t = 0; t < 20000 && !done; t += 100) await b.w.run(b.w.now() + 100);
  if (!done) throw new Error(`not kept within ${ms}`);
  return got!;
}

/** Sends one after the other, a few ms between, and waits for all. */
async function inTurn(b: Bench, sends: (() => Promise<Got>)[]): Promise<Got[]> {
  const out: Promise<Got>[] = [];
  for (const s of sends) {
    out.push(s());
    await b.w.run(b.w.now() + 8);
  }
  return play(b, Promise.all(out));
}

async function streams(): Promise<void> {
  const b = bench();
  await play(b, b.start());
  const got = await play(b, call(b, '/chat/x', prompt('t1', 'aa:100,bb:50')));
  expect([
    got.status,
    got.cut,
    got.headers['plumhollow-attempt-id'],
    got.headers['plumhollow-weight-versions'],
  ]).toEqual([200, false, 't1', '1']);
  const ids = [...got.text.matchAll(/^id: (\d+)$/gm)].map(second);
  function second(m: RegExpMatchArray): string {
    return m[1];
  }
  expect(ids).toEqual(['1', '2', '3']);
  const again = await play(
    b,
    call(b, '/chat/x', prompt('t2', 'aa:100,bb:50', 5, { 'last-event-id': '2' })),
  );
  expect(again.text).toMatch(/^id: 3\ndata: \S+\/3\n\n$/);
  expect(b.book.runs.map(read)).toEqual([0, 2]);
  function read(r: { used: unknown[] }): number {
    return r.used.length;
  }
}

async function turnsAway(): Promise<void> {
  const b = bench();
  await play(b, b.start());
  function ask(id: string, parts: string, more: Record<string, string> = {}): () => Promise<Got> {
    function send(): Promise<Got> {
      return call(b, '/x', id === '' ? { 'plumhollow-model': 'm' } : prompt(id, parts, 5, more));
    }
    return send;
  }
  const all = await inTurn(b, [
    ask('t1', 'aa:800'),
    ask('t2', 'bb:500'),
    ask('t3', 'cc:500'),
    ask('t4', 'dd:500', { 'plumhollow-request-priority': '0' }),
    ask('t5', 'ee:10', { 'plumhollow-expect-instance': 'i-9.9' }),
    ask('t6', 'ee:10', { 'plumhollow-expect-version': '2' }),
    ask('', ''),
    ask('t7', 'ff:5000'),
  ]);
  expect(all.map(statusOf)).toEqual([200, 503, 503, 200, 421, 421, 400, 503]);
  function statusOf(g: Got): number {
    return g.status;
  }
  for (const g of all)
    expect(g.headers['plumhollow-not-executed']).toBe(g.status === 200 ? undefined : '1');
  expect(all[4].headers['plumhollow-instance-id']).toBe('i-1.1');
  expect(b.book.runs.map(idOf)).toEqual(['t1', 't4']);
  function idOf(r: { id: string }): string {
    return r.id;
  }
}

async function deadlines(): Promise<void> {
  const b = bench();
  await play(b, b.start());
  function one(): Promise<Got> {
    return call(b, '/x', prompt('t1', 'aa:1000', 5, { 'plumhollow-deadline-ms': '50' }));
  }
  function two(): Promise<Got> {
    return call(b, '/x', prompt('t2', 'bb:500', 5, { 'plumhollow-deadline-ms': '20' }));
  }
  const all = await inTurn(b, [one, two]);
  expect(all.map(statusOf)).toEqual([504, 503]);
  function statusOf(g: Got): number {
    return g.status;
  }
  expect(all[0].headers['plumhollow-not-executed']).toBeUndefined();
}

async function keepsParts(): Promise<void> {
  const b = bench();
  await play(b, b.start({ capacity: 4 }));
  const store = await play(b, startStore(b.ground, STORE, 'a', 100000, FEED));
  await play(
    b,
    call(
      b,
      '/x',
      prompt('t1', 'aa:100,bb:50', 5, {
        'plumhollow-cache-salt': 's1',
        'plumhollow-cache-target': STORE,
        'plumhollow-tenant': 'one',
      }),
    ),
  );
  const list = await play(
    b,
    askJson(b.caller.wire, { at: AT, method: 'GET', path: '/api/kv-list', within: 1000 }),
  );
  expect((open(list)[1]!.body as { held: unknown }).held).toEqual([
    ['s1', 'aa', 100, 'm'],
    ['s1', 'bb', 50, 'm'],
  ]);
  expect(store.keeper().list().held).toEqual([
    ['s1', 'aa', 100, 'm'],
    ['s1', 'bb', 50, 'm'],
  ]);
  const from = b.w.now();
  const held = await play(
    b,
    Promise.all([
      call(b, '/api/kv-events?since=2', { 'wait-ms': '900' }, 'GET'),
      call(b, '/api/kv-events?since=2', { 'wait-ms': '900' }, 'GET'),
      call(b, '/x', prompt('t2', 'aa:100,cc:7', 5, { 'plumhollow-cache-salt': 's2' })),
    ]),
  );
  expect([held[0].status, held[1].status].sort()).toEqual([200, 429]);
  const told = JSON.parse(held[0].status === 200 ? held[0].text : held[1].text) as {
    events: unknown[];
    nextPageToken: number;
  };
  expect(told.events).toEqual([
    [3, '+', 's2', 'aa', 100, 'm'],
    [4, '+', 's2', 'cc', 7, 'm'],
  ]);
  expect(held[0].at - from).toBeLessThan(900);
  for (let i = 0; i < 4; i++) await play(b, call(b, '/x', prompt(`u${i}`, `ee${i}:600`, 5)));
  const late = JSON.parse((await play(b, call(b, '/api/kv-events?since=2', {}, 'GET'))).text) as {
    lost: boolean;
    events: unknown[][];
  };
  expect(late.lost).toBe(true);
  const gone = late.events.filter(leaves);
  function leaves(e: unknown[]): boolean {
    return e[1] === '-';
  }
  expect(gone.length).toBeGreaterThan(0);
}

async function fetches(): Promise<void> {
  const b = bench();
  const e = await play(b, b.start());
  const store = await play(b, startStore(b.ground, STORE, 'a', 100000, FEED));
  store
    .keeper()
    .put({ salt: 's', id: 'aa', model: 'm', tokens: 500, size: 500, version: 1, tenant: 'one' });
  await play(
    b,
    call(
      b,
      '/x',
      prompt('t1', 'aa:500,bb:10', 5, {
        'plumhollow-cache-salt': 's',
        'plumhollow-cache-source': STORE,
        'plumhollow-tenant': 'two',
      }),
    ),
  );
  expect(b.book.runs[0].used).toEqual([{ id: 'aa', tokens: 500, version: 1, tenant: 'one' }]);
  expect(e.keeper.match('m', 's', [{ id: 'aa', tokens: 500 }])).toMatchObject([
    { version: 1, tenant: 'one' },
  ]);
  await store.down();
  const t = b.w.now();
  const got = await play(
    b,
    call(b, '/x', prompt('t2', 'cc:100', 5, { 'plumhollow-cache-source': STORE })),
  );
  expect(got.status).toBe(200);
  expect(got.at - t).toBeGreaterThan(150);
}

async function orders(): Promise<void> {
  const b = bench();
  await play(b, b.start({ capacity: 2 }));
  b.ground.named.set('m', [2, 3]);
  function order(more: object): Promise<Got> {
    return call(
      b,
      '/api/order',
      {},
      'POST',
      JSON.stringify({
        operation: 'revision',
        model: 'm',
        revision: 2,
        method: 'queue',
        holder: 'node-1',
        fenceToken: 5,
        ...more,
      }),
    );
  }
  const bad = await play(
    b,
    Promise.all([
      order({ revision: 9 }),
      order({ holder: undefined }),
      order({ expectedCount: 4 }),
    ]),
  );
  expect(bad.map(statusOf)).toEqual([400, 400, 409]);
  function statusOf(g: Got): number {
    return g.status;
  }
  const running = call(b, '/x', prompt('t1', 'aa:10', 60));
  await b.w.run(b.w.now() + 50);
  function first(): Promise<Got> {
    return order({});
  }
  function between(): Promise<Got> {
    return call(b, '/x', prompt('t2', 'bb:10'));
  }
  function other(): Promise<Got> {
    return order({ revision: 3 });
  }
  const during = await inTurn(b, [first, between, other]);
  expect(during.map(statusOf)).toEqual([202, 503, 409]);
  const whole = await play(b, running);
  expect([whole.status, whole.cut]).toEqual([200, false]);
  expect(whole.text).not.toContain('plumhollow-weight-versions');
  await b.w.run(b.w.now() + 600);
  const after = await play(
    b,
    Promise.all([order({}), order({ fenceToken: 4 }), call(b, '/x', prompt('t3', 'aa:10'))]),
  );
  expect(after.map(statusOf)).toEqual([200, 412, 200]);
  expect(b.book.runs.at(-1)).toMatchObject({ version: 2, used: [] });
  const through = call(b, '/x', prompt('t4', 'dd:10', 400));
  await b.w.run(b.w.now() + 50);
  const kept = await play(b, order({ revision: 3, method: 'retain', fenceToken: 6 }));
  expect(kept.status).toBe(202);
  expect((await play(b, through)).text).toMatch(/^plumhollow-weight-versions: 3\nid: \d+$/m);
}

async function lists(): Promise<void> {
  const b = bench();
  const list = await play(
    b,
    startList(b.ground, '127.10.3.1:8161', { maxLagMs: 800, ratePerS: 3, page: 2 }),
  );
  for (let i = 0; i < 3; i++)
    list.add(await play(b, b.start({ instance: `i-${i}.1`, at: `127.10.3.1:80${i}0` })));
  await b.w.run(b.w.now() + 1000);
  async function page(token: string): Promise<{
    status: number;
    body: { instances: { instanceId: string; state: string }[]; nextPageToken: string | null };
  }> {
    return open(
      await play(
        b,
        askJson(b.caller.wire, {
          at: '127.10.3.1:8161',
          method: 'GET',
          path: `/instances${token}`,
          within: 1000,
        }),
      ),
    )[1] as never;
  }
  const first = await page('');
  expect(first.body.instances.map(idOf)).toEqual(['i-0.1', 'i-1.1']);
  function idOf(r: { instanceId: string }): string {
    return r.instanceId;
  }
  expect((await page(`?pageToken=${first.body.nextPageToken}`)).body).toMatchObject({
    instances: [{ instanceId: 'i-2.1' }],
    nextPageToken: null,
  });
  list.lives[0].drain();
  const soon = await page('');
  expect(soon.body.instances[0].state).toBe('ready');
  expect((await page('')).status).toBe(429);
  await b.w.run(b.w.now() + 2000);
  expect((await page('')).body.instances[0].state).toBe('draining');
  expect(b.book.leaving).toMatchObject([{ instance: 'i-0.1' }]);
}

test('a stand-in engine streams events with ids, and goes on at the last one', streams);
test("it turns away what it can't run, and lets the urgent go first", turnsAway);
test('it stops at the deadline', deadlines);
test('it keeps parts and tells of their coming and going', keepsParts);
test('it takes parts from elsewhere', fetches);
test('it takes orders', orders);
test('the list has pages, a lag and a rate', lists);
