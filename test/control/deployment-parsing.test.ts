import { usersPlatform } from '../../platform/adapter';
import { RouteTable } from '../../src/data/gateway/route-table';
import { Deployment } from '../../src/shared/state/deployment';

type Item = Record<string, unknown>;

function item(name: string, more: Item = {}): Item {
  return {
    name,
    hostname: `${name[0]}.example`,
    pathPrefix: `/${name}/`,
    routeType: 'safe',
    timeoutMs: 1000,
    service: 's',
    ...more,
  };
}

const SERVICES = [{ name: 's' }, { name: 'kept', cacheStore: '10.0.0.1:1' }];

function read(
  routes: unknown[],
  tenants: unknown[] = [],
): ReturnType<typeof usersPlatform.deployment> {
  return usersPlatform.deployment({ revision: 1, routes, services: SERVICES, tenants });
}

function unchangedItems(): void {
  const [a, b, tenant] = [item('a1'), item('b1'), { name: 't', apiKeys: ['k'] }];
  const first = read([a, b], [tenant]).unsafeCoerce();
  const second = read([item('c1'), { ...a, timeoutMs: 5 }, b], [tenant]).unsafeCoerce();
  expect(second.routes[2]).toBe(first.routes[1]);
  expect(second.routes[1].timeoutMs).toBe(5);
  expect(second.tenants[0]).toBe(first.tenants[0]);
  expect(second.pools[0]).toBe(first.pools[0]);
  expect(second.stores[0]).toBe(first.stores[0]);
}

function faultyItems(): void {
  const faulty = item('a1', { timeoutMs: 'soon' });
  const good = item('b1');
  expect(read([faulty, good]).extract()).toEqual(['routes[0].timeoutMs: must be a number']);
  expect(read([good, faulty]).extract()).toEqual(['routes[1].timeoutMs: must be a number']);
  expect(read([good, 7, faulty]).extract()).toEqual([
    'routes[1]: must be an object',
    'routes[2].timeoutMs: must be a number',
  ]);
}

const NAMES = ['a1', 'a2', 'a3', 'b1', 'b2', 'c1'];

function found(table: RouteTable): unknown[] {
  const out: unknown[] = [];
  for (const n of NAMES) out.push(table.findRoute(`${n[0]}.example`, `/${n}/x`));
  return out;
}

/** The table from the one before answers as a table of its own does, whatever was added, moved, doubled or removed. */
function tablesFromBefore(): void {
  let at = 1;
  function draw(below: number): number {
    at = (at * 48271) % 2147483647;
    return at % below;
  }
  let items = [item('a1'), item('b1')];
  let table: RouteTable | undefined;
  for (let i = 0; i < 500; i++) {
    items = items.slice();
    const changes = 1 + draw(3);
    for (let n = 0; n < changes; n++) {
      const where = draw(items.length + 1);
      const fresh = item(NAMES[draw(NAMES.length)], { timeoutMs: i + 1 });
      items.splice(where, draw(3), ...(draw(4) > 0 ? [fresh] : []));
    }
    const d: Deployment = read(items).unsafeCoerce();
    table = new RouteTable(d, table);
    expect(found(table)).toEqual(found(new RouteTable(d)));
  }
}

test('items that a change leaves alone are not read again', unchangedItems);
test('an item with a fault is read again, and told by its place of now', faultyItems);
test('look-ups made from those before are the same as made anew', tablesFromBefore);
