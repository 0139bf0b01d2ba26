import { errorOrValue } from '../../src/shared/errors/errors';
import { requestJson } from '../../src/shared/util/http-json';
import { startList } from '../../tools/standins/platform/instances';
import { startStore } from '../../tools/standins/platform/store';
import { AT, bench, call, FEED, Got, inTurn, play, prompt, STORE } from './platform-bench';

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
    requestJson(b.caller.network, {
      address: AT,
      method: 'GET',
      path: '/api/kv-list',
      timeoutMs: 1000,
    }),
  );
  expect((errorOrValue(list)[1]!.body as { held: unknown }).held).toEqual([
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
    return errorOrValue(
      await play(
        b,
        requestJson(b.caller.network, {
          address: '127.10.3.1:8161',
          method: 'GET',
          path: `/instances${token}`,
          timeoutMs: 1000,
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
