import { computeDeployment } from '../../src/control/configuration/deployment-change';
import { applyNamedChange } from '../../src/control/configuration/named-change';
import { DeploymentValue } from '../../src/shared/state/deployment';
import { platform } from '../../platform/dialect';
import { CoreRig, documentOf, Heard, makeCore, PATHS } from './deploymentrig';

function codeOf(base: number, doc: unknown, stands?: DeploymentValue): string {
  const now = stands && { key: 'deployment', epoch: 1, by: 'a', number: 1, value: stands };
  const o = computeDeployment({ kind: 'deployment', base, doc }, now, platform);
  return o.isLeft() ? String((o.extract() as { code?: string }).code) : 'taken';
}

function changeCode(base: number, change: unknown, stands?: DeploymentValue): string {
  const now = stands && { key: 'deployment', epoch: 1, by: 'a', number: 1, value: stands };
  const o = computeDeployment({ kind: 'deployment', base, change }, now, platform);
  return o.isLeft() ? String((o.extract() as { code?: string }).code) : 'taken';
}

function taken(doc: Record<string, unknown>): DeploymentValue {
  return computeDeployment(
    { kind: 'deployment', base: 0, doc },
    undefined,
    platform,
  ).extract() as DeploymentValue;
}

function withRoute(more: object): Record<string, unknown> {
  const d = documentOf(7, ['/a/']) as { routes: object[] };
  return { ...d, routes: [{ ...d.routes[0], ...more }] };
}

function invalid(): void {
  const bad: Record<string, unknown> = {
    'no object': [],
    'no routes': { revision: 7, services: [] },
    'revision is text': { ...documentOf(7, []), revision: '7' },
    'revision not above': documentOf(5, []),
    'no such service': withRoute({ service: 'ghost' }),
    'no service at all': withRoute({ service: undefined }),
    'same place': documentOf(7, ['/a/', '/a/']),
    'same place in other letters': {
      ...documentOf(7, []),
      routes: [withRoute({}), withRoute({ name: 'other', hostname: 'DESK.example' })].map(
        firstRoute,
      ),
    },
    'no weight': withRoute({ service: undefined, backends: [{ service: 'engines', weight: 0 }] }),
    'below 0': withRoute({
      service: undefined,
      backends: [
        { service: 'engines', weight: 2 },
        { service: 'engines', weight: -1 },
      ],
    }),
    'no time': withRoute({ timeoutMs: 0 }),
    'no slash': withRoute({ pathPrefix: '/a' }),
    'odd kind': withRoute({ routeType: 'sometimes' }),
    'shared key': {
      ...documentOf(7, ['/a/']),
      tenants: [
        { name: 't1', apiKeys: ['k'] },
        { name: 't2', apiKeys: ['j', 'k'] },
      ],
    },
    'key is a number': { ...documentOf(7, ['/a/']), tenants: [{ name: 't1', apiKeys: [3] }] },
  };
  const stands = taken(documentOf(5, ['/a/']));
  for (const [name, doc] of Object.entries(bad))
    expect([name, codeOf(5, doc, stands)]).toEqual([name, 'bad-deployment']);
  expect(codeOf(5, documentOf(7, ['/a/', '/b/']), stands)).toBe('taken');
}

function firstRoute(d: Record<string, unknown>): object {
  return (d.routes as object[])[0];
}

function bases(): void {
  const first = documentOf(5, ['/a/']);
  const stands = taken(first);
  expect(codeOf(0, first, stands)).toBe('stands');
  expect(codeOf(0, documentOf(6, ['/b/']), stands)).toBe('conflict');
  expect(codeOf(4, documentOf(6, ['/b/']), stands)).toBe('conflict');
  expect(codeOf(0, documentOf(5, ['/b/']), stands)).toBe('conflict');
  const change = {
    revision: 9,
    upsert: { routes: [(documentOf(9, ['/b/']) as { routes: object[] }).routes[0]] },
    remove: { routes: ['r-a-'] },
  };
  const o = computeDeployment(
    { kind: 'deployment', base: 5, change },
    { key: 'deployment', epoch: 1, by: 'a', number: 1, value: stands },
    platform,
  );
  const next = o.extract() as DeploymentValue;
  expect(next.doc).toEqual(documentOf(9, ['/b/']));
  expect(changeCode(5, change, next)).toBe('stands');
  expect(codeOf(0, first, next)).toBe('stands');
  expect(changeCode(5, { ...change, revision: 10 }, next)).toBe('conflict');
  expect(changeCode(0, change)).toBe('bad-deployment');
}

function named(): void {
  const doc = {
    revision: 1,
    routes: [{ name: 'a', x: 1 }, { name: 'b' }, { name: 'c' }],
    services: [{ name: 's' }],
    limits: { x: 1 },
  };
  const out = applyNamedChange(doc, {
    revision: 2,
    upsert: { routes: [{ name: 'd' }, { name: 'a' }], tenants: [{ name: 't' }] },
    remove: { routes: ['b', 'none'] },
  });
  expect(out).toEqual({
    revision: 2,
    routes: [{ name: 'a' }, { name: 'c' }, { name: 'd' }],
    services: [{ name: 's' }],
    limits: { x: 1 },
    tenants: [{ name: 't' }],
  });
}

async function ask(
  f: CoreRig,
  i: number,
  path: string,
  base: number | undefined,
  body: unknown,
): Promise<Heard> {
  return (await f.settled(
    f.call(f.core[i], body === undefined ? 'GET' : 'POST', path, base, body),
  ))!;
}

async function spoken(): Promise<void> {
  const f = makeCore(11);
  const first = documentOf(3, ['/a/']);
  const begun = f.w.now();
  expect((await f.settled(f.insist(0, PATHS.replace, 0, first, 9000)))?.status).toBe(200);
  expect(f.w.now() - begun).toBeLessThan(2000);
  expect((await ask(f, 1, PATHS.replace, 0, first)).status).toBe(200);
  expect((await ask(f, 2, PATHS.replace, 0, documentOf(4, ['/b/']))).status).toBe(412);
  expect((await ask(f, 0, PATHS.replace, 3, documentOf(4, ['/b']))).status).toBe(400);
  expect(
    (await ask(f, 0, PATHS.replace, 3, JSON.stringify(documentOf(4, ['/b/'])).slice(0, -9))).status,
  ).toBe(400);
  expect((await ask(f, 0, PATHS.replace, undefined, documentOf(4, ['/b/']))).status).toBe(400);
  expect(
    (await ask(f, 1, PATHS.update, 3, { revision: 8, remove: { routes: ['r-a-'] } })).status,
  ).toBe(200);
  expect(
    (await ask(f, 2, PATHS.update, 3, { revision: 8, remove: { routes: ['r-a-'] } })).status,
  ).toBe(200);
  for (const i of [0, 1, 2])
    expect((await ask(f, i, PATHS.describe, undefined, undefined)).body).toEqual(documentOf(8, []));
  for (const [i, revision] of [
    [0, 2],
    [1, 2],
    [2, 1],
    [0, 3],
  ])
    expect((await ask(f, i, PATHS.weights, undefined, { model: 'm', revision })).status).toBe(200);
  for (const c of f.controllers.values())
    expect(c.committedValue<{ weights: string; rank: number }>('weights/m')?.value).toMatchObject({
      weights: '3',
      rank: 3,
    });
  expect((await ask(f, 0, PATHS.weights, undefined, { model: 'm' })).status).toBe(400);
  expect((await ask(f, 0, '/v1/fleet', undefined, undefined)).status).toBe(200);
}

test('an invalid document is told by what it is checked for', invalid);
test(
  'a change goes on top of the revision that stands; one that was taken already is known',
  bases,
);
test('a named change sets and drops items by name', named);
test('operators are answered by any controller, as the platform speaks', spoken);
