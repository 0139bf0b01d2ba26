import http from 'node:http';
import {
  sendRequest,
  deployment,
  EngineCall,
  CallerResponse,
  route,
  engineHeaders,
  startGatewayFixture,
  startStandIn,
  streamEvents,
} from './gateway-fixture';

async function statusAt(at: string, path = '/api/readiness'): Promise<number> {
  return (await sendRequest(at, { method: 'GET', path, body: '' })).status;
}

async function beforeDeployment(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(1));
  const rig = await startGatewayFixture({ hasLease: false });
  expect(await statusAt(rig.readinessAddress)).toBe(503);
  const early = await sendRequest(rig.address);
  expect(early.status).toBe(503);
  expect(Number(early.headers['retry-after'])).toBeGreaterThan(0);
  rig.publish('deployment', { revision: 1, doc: deployment([route({})]) });
  rig.publishEngines([e]);
  expect(await statusAt(rig.readinessAddress)).toBe(503);
  rig.setLease(true);
  expect(await statusAt(rig.readinessAddress)).toBe(200);
  rig.setLease(false);
  expect(await statusAt(rig.readinessAddress)).toBe(200);
  expect((await sendRequest(rig.address)).status).toBe(200);
  expect(await statusAt(rig.readinessAddress, '/other')).toBe(404);
  await rig.close();
  e.close();
}

async function deniesNothingEarly(): Promise<void> {
  const rig = await startGatewayFixture({ hasLease: false, settings: { bodyMostBytes: 10 } });
  const asks = [
    { path: '/unknown/x' },
    { key: 'unknown' },
    { key: '' },
    { body: 'x'.repeat(1000) },
    { headers: { 'Plumhollow-Attempt-Id': '' } },
  ];
  async function refused(): Promise<void> {
    for (const more of asks) {
      const got = await sendRequest(rig.address, more);
      expect(got.status).toBe(503);
      expect(Number(got.headers['retry-after'])).toBeGreaterThan(0);
    }
    expect(await statusAt(rig.readinessAddress)).toBe(503);
  }
  await refused();
  rig.setLease(true);
  await refused();
  rig.publishEngines([]);
  await refused();
  rig.publish('deployment', { revision: 1, doc: undefined });
  await refused();
  rig.publish('deployment', { revision: 2, doc: deployment([route({})]) });
  expect(await statusAt(rig.readinessAddress)).toBe(200);
  expect((await sendRequest(rig.address, { path: '/unknown/x' })).status).toBe(404);
  await rig.close();
}

async function leavingEngine(): Promise<void> {
  const a = await startStandIn('e1', streamEvents(1));
  const b = await startStandIn('e2', streamEvents(1));
  const rig = await startGatewayFixture({ engines: [a, b], deployment: deployment([route({})]) });
  rig.publishEngines([{ ...a, leaving: true }, b]);
  for (let i = 0; i < 6; i++) expect((await sendRequest(rig.address)).status).toBe(200);
  expect({ a: a.calls.length, b: b.calls.length }).toEqual({ a: 0, b: 6 });
  rig.publishEngines([b]);
  for (let i = 0; i < 3; i++) expect((await sendRequest(rig.address)).status).toBe(200);
  rig.publishEngines([]);
  expect((await sendRequest(rig.address)).status).toBe(503);
  expect(a.calls.length).toBe(0);
  await rig.close();
}

async function leavesMeanwhile(): Promise<void> {
  const a = await startStandIn('e1', streamEvents(1));
  const b = await startStandIn('e2', streamEvents(1));
  let left: string | undefined;
  function onConnect(at: string): void {
    if (left !== undefined) return;
    left = at;
    rig.publishEngines([
      { ...a, leaving: a.at === at },
      { ...b, leaving: b.at === at },
    ]);
  }
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({})]),
    onConnect,
  });
  expect((await sendRequest(rig.address)).status).toBe(200);
  const [gone, stays] = a.at === left ? [a, b] : [b, a];
  expect({
    gone: gone.calls.length,
    stays: stays.calls.length,
    further: rig.gateway.counts.retries,
  }).toEqual({ gone: 0, stays: 1, further: 0 });
  await rig.close();
}

async function drains(): Promise<void> {
  let finish: () => void = nothing;
  function nothing(): void {
    // does nothing on purpose
  }
  let began: () => void;
  function wait(done: () => void): void {
    began = done;
  }
  const running = new Promise<void>(wait);
  function onPiece(): void {
    began();
  }
  function slow(c: EngineCall): void {
    c.res.writeHead(200, engineHeaders(c));
    c.res.write('id: 1\ndata: x\n\n');
    function end(): void {
      c.res.end('id: 2\ndata: y\n\n');
    }
    finish = end;
  }
  const e = await startStandIn('e1', slow);
  const rig = await startGatewayFixture({
    engines: [e],
    deployment: deployment([route({})]),
    settings: { contactMs: 100, graceMs: 5000 },
  });
  const agent = new http.Agent({ keepAlive: true });
  const first = sendRequest(rig.address, { agent, onPiece });
  await running;
  const over = rig.gateway.drain();
  expect(await statusAt(rig.readinessAddress)).toBe(503);
  finish();
  const got = await first;
  expect(got).toMatchObject({ status: 200, isComplete: true });
  expect(got.headers.connection).toBe('keep-alive');
  const late = sendRequest(rig.address, { agent });
  function whole(g: CallerResponse): void {
    expect(g).toMatchObject({ status: 200, isComplete: true });
    expect(g.headers.connection).toBe('close');
  }
  void late.then(whole);
  function waitAgain(done: () => void): void {
    function look(): void {
      if (e.calls.length < 2) return void setImmediate(look);
      done();
    }
    look();
  }
  await new Promise<void>(waitAgain);
  finish();
  await late;
  await over;
  agent.destroy();
  await rig.close();
}

async function keys(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(1));
  const d = deployment([route({}), route({ name: 'open', prefix: '/open/', public: true })]);
  const rig = await startGatewayFixture({ engines: [e], deployment: d });
  expect((await sendRequest(rig.address, { key: 'unknown' })).status).toBe(401);
  expect((await sendRequest(rig.address, { key: '' })).status).toBe(401);
  expect(
    (
      await sendRequest(rig.address, {
        key: '',
        path: '/open/x',
        headers: { 'Plumhollow-Tenant': 'forged' },
      })
    ).status,
  ).toBe(200);
  expect(e.calls[0].headers['plumhollow-tenant']).toBeUndefined();
  expect((await sendRequest(rig.address, { key: 'k1' })).status).toBe(200);
  expect(e.calls[1].headers).toMatchObject({
    'plumhollow-tenant': 'walled',
    'plumhollow-cache-salt': 'walled:1',
  });
  rig.publish('deployment', {
    revision: 2,
    doc: { ...d, tenants: [{ ...d.tenants[0], keys: [] }, d.tenants[1]] },
  });
  expect((await sendRequest(rig.address, { key: 'k1' })).status).toBe(401);
  await rig.close();
}

async function routes(): Promise<void> {
  const a = await startStandIn('e1', streamEvents(1));
  const b = await startStandIn('e2', streamEvents(1));
  const d = deployment([
    route({ name: 'all', prefix: '/', targets: [{ pool: 'p', weight: 1 }] }),
    route({ name: 'deep', prefix: '/a/b/', targets: [{ pool: 'q', weight: 1 }] }),
    route({
      name: 'split',
      prefix: '/split/',
      targets: [
        { pool: 'p', weight: 3 },
        { pool: 'q', weight: 1 },
        { pool: 'p', weight: 0 },
      ],
    }),
  ]);
  const rig = await startGatewayFixture({
    deployment: { ...d, pools: [...d.pools, { ...d.pools[0], name: 'q' }] },
  });
  rig.publishEngines([a, { ...b, pool: 'q' }]);
  const went: string[] = [];
  for (const path of ['/', '/a', '/a/b', '/a/b/', '/a/b/c?d=/x/', '/a/bc/d', '/z/a/b/']) {
    const before = a.calls.length;
    expect((await sendRequest(rig.address, { path })).status).toBe(200);
    went.push(a.calls.length > before ? 'p' : 'q');
  }
  expect(went).toEqual(['p', 'p', 'p', 'q', 'q', 'p', 'p']);
  expect((await sendRequest(rig.address, { path: '/a/b/', host: 'other.example' })).status).toBe(
    404,
  );
  expect((await sendRequest(rig.address, { path: '/a/b/', host: 'DESK.example:80' })).status).toBe(
    200,
  );
  const before = { a: a.calls.length, b: b.calls.length };
  for (let i = 0; i < 200; i++) await sendRequest(rig.address, { path: '/split/x' });
  const share =
    (b.calls.length - before.b) / (a.calls.length - before.a + b.calls.length - before.b);
  expect(share).toBeGreaterThan(0.1);
  expect(share).toBeLessThan(0.45);
  await rig.close();
  a.close();
  b.close();
}

async function bounds(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(1));
  const rig = await startGatewayFixture({ engines: [e], deployment: deployment([route({})]) });
  expect((await sendRequest(rig.address, { body: 'x'.repeat(200000) })).status).toBe(413);
  expect(
    (await sendRequest(rig.address, { headers: { 'Plumhollow-Attempt-Id': '' } })).status,
  ).toBe(400);
  expect(
    (await sendRequest(rig.address, { headers: { 'X-Long': 'z'.repeat(17000) } })).status,
  ).toBe(431);
  expect(e.calls.length).toBe(0);
  const big = 'y'.repeat(99000);
  expect(
    (await sendRequest(rig.address, { body: big, headers: { 'Transfer-Encoding': 'chunked' } }))
      .status,
  ).toBe(200);
  expect(e.bodies[0]).toBe(big);
  expect(e.calls[0].headers['content-length']).toBe('99000');
  await rig.close();
}

async function keepsConnections(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(1));
  const rig = await startGatewayFixture({ engines: [e], deployment: deployment([route({})]) });
  for (let i = 0; i < 10; i++) expect((await sendRequest(rig.address)).status).toBe(200);
  expect(e.connections).toBe(1);
  await rig.close();
}

test(
  'a router is ready once it has a deployment, engines and a lease, and serves on without',
  beforeDeployment,
);
test('a router without a deployment denies nothing', deniesNothingEarly);
test('an engine that leaves or is gone gets nothing more', leavingEngine);
test(
  'an engine that leaves while a request waits for its connection gets nothing',
  leavesMeanwhile,
);
test('a router that leaves serves on, closes its connections, and ends when none come', drains);
test('keys open routes to their tenants, and are never shown to engines', keys);
test('the longest prefix of the host takes a request, and weights split it', routes);
test('what callers may send is bounded', bounds);
test('connections to engines are used again', keepsConnections);
