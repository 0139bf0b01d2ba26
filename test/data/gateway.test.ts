import {
  sendRequest,
  deployment,
  EngineCall,
  resetConnection,
  route,
  engineHeaders,
  startGatewayFixture,
  startStandIn,
  streamEvents,
  rejectRequest,
} from './gateway-fixture';

const THREE = 'id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n';

async function calm(): Promise<void> {
  const e = await startStandIn('e1', streamEvents(3));
  const rig = await startGatewayFixture({ engines: [e], deployment: deployment([route({})]) });
  const body = 'prompt \xff\x00 bytes';
  const got = await sendRequest(rig.address, {
    path: '/a/x?y=%20z',
    key: 'k2',
    headers: {
      'X-Own': 'kept',
      'Plumhollow-Tenant': 'forged',
      'Plumhollow-Cache-Salt': 'forged',
      Connection: 'X-Hop',
      'X-Hop': 'dropped',
    },
    body,
  });
  expect(got).toMatchObject({ status: 200, body: THREE, isComplete: true });
  expect(got.headers).toMatchObject({
    'plumhollow-attempt-id': got.id,
    'plumhollow-response-seal': 's.1',
  });
  const [q] = e.calls;
  expect({ method: q.method, url: q.url, body: e.bodies[0] }).toEqual({
    method: 'POST',
    url: '/a/x?y=%20z',
    body: Buffer.from(body).toString('latin1'),
  });
  expect(q.headers).toMatchObject({
    host: 'desk.example',
    'x-own': 'kept',
    'plumhollow-attempt-id': got.id,
    'plumhollow-tenant': 'open',
    'plumhollow-expect-instance': 'e1',
    'plumhollow-expect-version': '1',
    'plumhollow-cache-salt': ':1',
  });
  expect(q.headers['x-hop']).toBeUndefined();
  expect(q.headers.authorization).toBeUndefined();
  expect(Number(q.headers['plumhollow-deadline-ms'])).toBeLessThanOrEqual(2000);
  await rig.close();
}

async function secondEngine(): Promise<void> {
  const a = await startStandIn('e1', rejectRequest);
  const b = await startStandIn('e2', streamEvents(3), 'zone-b');
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({})]),
    settings: { retryWindowMs: 1, retrySlack: 100 },
  });
  for (let i = 0; i < 6; i++) {
    const got = await sendRequest(rig.address);
    expect(got).toMatchObject({ status: 200, body: THREE, isComplete: true });
  }
  expect(b.calls.length).toBe(6);
  expect(a.calls.length).toBeGreaterThan(0);
  await rig.close();
}

async function resetOnce(): Promise<void> {
  const a = await startStandIn('e1', resetConnection);
  const b = await startStandIn('e2', resetConnection);
  const rig = await startGatewayFixture({
    engines: [a, b],
    deployment: deployment([route({ maxAttempts: 3 })]),
    settings: { retryWindowMs: 1, retrySlack: 100 },
  });
  const got = await sendRequest(rig.address);
  expect(got.status).toBe(502);
  expect(a.calls.length + b.calls.length).toBe(1);
  await rig.close();
}

function foreign(c: EngineCall): void {
  c.res.writeHead(200, engineHeaders(c, { 'Plumhollow-Attempt-Id': 'of another' }));
  c.res.end('another answer');
}

async function foreignAnswer(): Promise<void> {
  const e = await startStandIn('e1', foreign);
  const rig = await startGatewayFixture({ engines: [e], deployment: deployment([route({})]) });
  const got = await sendRequest(rig.address);
  expect(got.status).toBe(502);
  expect(got.body).not.toContain('another');
  await rig.close();
}

test('a request reaches its engine unchanged, and its answer comes back unchanged', calm);
test('a request that an engine turns away goes to a second one', secondEngine);
test('what may have run is not sent again, and is no refusal', resetOnce);
test('an answer that belongs to another request is never passed on', foreignAnswer);
