import {
  computeDeployment,
  DeploymentOperation,
} from '../../src/control/configuration/deployment-change';
import { applyNamedChange } from '../../src/control/configuration/named-change';
import { errorOrValue } from '../../src/shared/errors/errors';
import { DeploymentValue } from '../../src/shared/state/deployment';
import { VersionedValue } from '../../src/shared/state/versions';
import { usersPlatform } from '../../platform/adapter';
import { CoreRig, documentOf, Heard, makeCore, PATHS } from './deploymentrig';

function committed(value: DeploymentValue | undefined): VersionedValue | undefined {
  return value && { key: 'deployment', epoch: 1, by: 'a', number: 1, value };
}

/** The code of the error of an order, or that it is accepted. */
function verdictOn(order: Omit<DeploymentOperation, 'kind'>, before?: DeploymentValue): string {
  const operation: DeploymentOperation = { kind: 'deployment', ...order };
  const [error] = errorOrValue(computeDeployment(operation, committed(before), usersPlatform));
  return error ? String(error.code) : 'accepted';
}

function codeOf(base: number, doc: unknown, before?: DeploymentValue): string {
  return verdictOn({ base, doc }, before);
}

function changeCode(base: number, change: unknown, before?: DeploymentValue): string {
  return verdictOn({ base, change }, before);
}

function accepted(doc: Record<string, unknown>): DeploymentValue {
  return computeDeployment(
    { kind: 'deployment', base: 0, doc },
    undefined,
    usersPlatform,
  ).extract() as DeploymentValue;
}

function withRoute(more: object): Record<string, unknown> {
  const document = documentOf(7, ['/a/']) as { routes: object[] };
  return { ...document, routes: [{ ...document.routes[0], ...more }] };
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
  const before = accepted(documentOf(5, ['/a/']));
  for (const [name, doc] of Object.entries(bad))
    expect([name, codeOf(5, doc, before)]).toEqual([name, 'bad-deployment']);
  expect(codeOf(5, documentOf(7, ['/a/', '/b/']), before)).toBe('accepted');
}

function firstRoute(document: Record<string, unknown>): object {
  return (document.routes as object[])[0];
}

function bases(): void {
  const first = documentOf(5, ['/a/']);
  const before = accepted(first);
  expect(codeOf(0, first, before)).toBe('stands');
  expect(codeOf(0, documentOf(6, ['/b/']), before)).toBe('conflict');
  expect(codeOf(4, documentOf(6, ['/b/']), before)).toBe('conflict');
  expect(codeOf(0, documentOf(5, ['/b/']), before)).toBe('conflict');
  const change = {
    revision: 9,
    upsert: { routes: [(documentOf(9, ['/b/']) as { routes: object[] }).routes[0]] },
    remove: { routes: ['r-a-'] },
  };
  const result = computeDeployment(
    { kind: 'deployment', base: 5, change },
    committed(before),
    usersPlatform,
  );
  const next = result.extract() as DeploymentValue;
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
  const changed = applyNamedChange(doc, {
    revision: 2,
    upsert: { routes: [{ name: 'd' }, { name: 'a' }], tenants: [{ name: 't' }] },
    remove: { routes: ['b', 'none'] },
  });
  expect(changed).toEqual({
    revision: 2,
    routes: [{ name: 'a' }, { name: 'c' }, { name: 'd' }],
    services: [{ name: 's' }],
    limits: { x: 1 },
    tenants: [{ name: 't' }],
  });
}

async function ask(
  rig: CoreRig,
  controller: number,
  path: string,
  base: number | undefined,
  body: unknown,
): Promise<Heard> {
  return (await rig.settled(
    rig.call(rig.core[controller], body === undefined ? 'GET' : 'POST', path, base, body),
  ))!;
}

async function spoken(): Promise<void> {
  const rig = makeCore(11);
  const first = documentOf(3, ['/a/']);
  const beganAt = rig.w.now();
  expect((await rig.settled(rig.insist(0, PATHS.replace, 0, first, 9000)))?.status).toBe(200);
  expect(rig.w.now() - beganAt).toBeLessThan(2000);
  expect((await ask(rig, 1, PATHS.replace, 0, first)).status).toBe(200);
  expect((await ask(rig, 2, PATHS.replace, 0, documentOf(4, ['/b/']))).status).toBe(412);
  expect((await ask(rig, 0, PATHS.replace, 3, documentOf(4, ['/b']))).status).toBe(400);
  expect(
    (await ask(rig, 0, PATHS.replace, 3, JSON.stringify(documentOf(4, ['/b/'])).slice(0, -9)))
      .status,
  ).toBe(400);
  expect((await ask(rig, 0, PATHS.replace, undefined, documentOf(4, ['/b/']))).status).toBe(400);
  expect(
    (await ask(rig, 1, PATHS.update, 3, { revision: 8, remove: { routes: ['r-a-'] } })).status,
  ).toBe(200);
  expect(
    (await ask(rig, 2, PATHS.update, 3, { revision: 8, remove: { routes: ['r-a-'] } })).status,
  ).toBe(200);
  for (const controller of [0, 1, 2])
    expect((await ask(rig, controller, PATHS.describe, undefined, undefined)).body).toEqual(
      documentOf(8, []),
    );
  for (const [controller, revision] of [
    [0, 2],
    [1, 2],
    [2, 1],
    [0, 3],
  ])
    expect(
      (await ask(rig, controller, PATHS.weights, undefined, { model: 'm', revision })).status,
    ).toBe(200);
  for (const controller of rig.controllers.values())
    expect(
      controller.committedValue<{ weights: string; rank: number }>('weights/m')?.value,
    ).toMatchObject({
      weights: '3',
      rank: 3,
    });
  expect((await ask(rig, 0, PATHS.weights, undefined, { model: 'm' })).status).toBe(400);
  expect((await ask(rig, 0, '/v1/fleet', undefined, undefined)).status).toBe(200);
}

test('an invalid document is told by what it is checked for', invalid);
test(
  'a change goes on top of the committed revision; one that was accepted already is known',
  bases,
);
test('a named change sets and drops items by name', named);
test('operators are answered by any controller, as the platform speaks', spoken);
