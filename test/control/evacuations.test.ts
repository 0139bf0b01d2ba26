import fc from 'fast-check';
import { computeNextValue } from '../../src/control/configuration/next-value';
import { controlKeyOf } from '../../src/control/configuration/operations';
import { placesOutside } from '../../src/control/api/evacuation-plan';
import { EvacuationsValue } from '../../src/shared/state/evacuations';
import { Engine } from '../../src/shared/state/engines';
import { VersionedValue } from '../../src/shared/state/versions';
import { begin, Heard, isolate, makeCore, documentOf, PATHS, SILENCE } from './deploymentrig';
import {
  beginWithFive,
  evacuatedAt,
  EvacuationVerb,
  insisted,
  insistOn,
  listEngines,
  pathOf,
  sendOrder,
  ZONES,
} from './evacuation-rig';

const ZONE_NAMES = Object.keys(ZONES);

/** Any sequence of starts and finishes leaves the zones whose last order was a start. */
function nextValues(): void {
  const order = fc.record({ zone: fc.constantFrom(...ZONE_NAMES), evacuated: fc.boolean() });
  fc.assert(fc.property(fc.array(order), leavesLastOrders));
  function leavesLastOrders(orders: { zone: string; evacuated: boolean }[]): void {
    let committed: VersionedValue | undefined;
    const expected = new Set<string>();
    for (const { zone, evacuated } of orders) {
      const basedOn = committed?.number ?? 0;
      const operation = { kind: 'evacuation', zone, evacuated, basedOn } as const;
      const next = computeNextValue(operation, committed);
      const isRepeat = expected.has(zone) === evacuated;
      expect(next.isLeft() && next.extract()).toEqual(
        isRepeat && expect.objectContaining({ code: 'stands', certainty: 'refused' }),
      );
      if (evacuated) expected.add(zone);
      else expected.delete(zone);
      if (isRepeat) continue;
      const number = (committed?.number ?? 0) + 1;
      const value = next.extract() as EvacuationsValue;
      expect(value).toEqual({ zones: [...expected].sort() });
      committed = { key: controlKeyOf(operation), epoch: 1, by: 'a', number, value };
    }
  }
}

function capacityLeft(): void {
  function engine(zone: string, more: Partial<Engine>): Engine {
    const id = `${zone}-${more.pool}`;
    return { id, at: '', zone, model: 'm', weights: '1', leaving: false, ...more };
  }
  const engines = [
    engine('zone-a', { pool: 'p', batch: 16 }),
    engine('zone-b', { pool: 'p', batch: 8 }),
    engine('zone-b', { pool: 'p', batch: 8, leaving: true }),
    engine('zone-b', { pool: 'only-b', batch: 2 }),
    engine('zone-a', {}),
  ];
  expect(placesOutside(engines, ['zone-b'])).toEqual([
    { pool: 'p', places: 24, left: 16 },
    { pool: 'only-b', places: 2, left: 0 },
    { pool: 'm', places: 1, left: 1 },
  ]);
}

/** At the release before, each of these calls got 404. */
async function startsAndFinishes(): Promise<void> {
  const rig = await begin(1);
  for (const controller of [0, 1, 2]) {
    expect(await sendOrder(rig, controller, 'Start', 'zone-a')).toBe(200);
    expect(await sendOrder(rig, controller, 'Start', 'zone-b')).toBe(200);
    await rig.pass(500);
    for (const machine of rig.core) expect(evacuatedAt(rig, machine)).toEqual(['zone-a', 'zone-b']);
    expect(await sendOrder(rig, 2 - controller, 'Finish', 'zone-a')).toBe(200);
    await rig.pass(500);
    for (const machine of rig.core) expect(evacuatedAt(rig, machine)).toEqual(['zone-b']);
  }
  expect(await sendOrder(rig, 0, 'Finish', 'zone-a')).toBe(200);
  expect(await sendOrder(rig, 1, 'Finish', 'zone%2Db')).toBe(200);
  await rig.pass(500);
  for (const machine of rig.core) expect(evacuatedAt(rig, machine)).toEqual([]);
}

async function refusals(): Promise<void> {
  const rig = makeCore(2, { told: { zones: ZONES } });
  await rig.settled(rig.insist(0, PATHS.replace, 0, documentOf(1, ['/v1/']), 9000), 10000);
  expect(await sendOrder(rig, 0, 'Start', 'zone-of-no-one')).toBe(200);
  expect(await sendOrder(rig, 0, 'Finish', 'zone-of-no-one')).toBe(200);
  await listEngines(rig, ['zone-a', 'zone-d']);
  for (const controller of [0, 1, 2]) {
    for (const zone of ['zone-of-no-one', 'toString', '', '%E0%A4%A', 'zone-a/x'])
      expect([zone, await sendOrder(rig, controller, 'Start', zone)]).toEqual([zone, 400]);
    expect(await sendOrder(rig, controller, 'Start', 'zone-c')).toBe(200);
    expect(await sendOrder(rig, controller, 'Finish', 'zone-d')).toBe(200);
  }
  const got = await rig.settled(rig.call(rig.core[0], 'GET', pathOf('Start', 'zone-a')));
  expect(got?.status).toBe(405);
}

/** An evacuated zone whose engines have all gone from the list may be taken back. */
async function finishesAnEmptyZone(): Promise<void> {
  const rig = await begin(3);
  await listEngines(rig, ['zone-a', 'zone-b']);
  expect(await sendOrder(rig, 0, 'Start', 'zone-b')).toBe(200);
  await listEngines(rig, ['zone-a']);
  for (const controller of [0, 1, 2])
    expect(await sendOrder(rig, controller, 'Finish', 'zone-b')).toBe(200);
}

/** Two operators send at once, each again and again as if it had had no answer. */
async function races(): Promise<void> {
  for (let seed = 10; seed < 22; seed++) {
    const rig = await begin(seed);
    const replies: Promise<Heard | undefined>[] = [];
    for (let i = 0; i < 9; i++) {
      const verb: EvacuationVerb = i % 3 === 2 ? 'Finish' : 'Start';
      const zone = i % 3 === 0 ? 'zone-a' : 'zone-b';
      replies.push(rig.settled(insistOn(rig, i % 3, verb, zone, 5000)));
    }
    for (const reply of await Promise.all(replies)) expect(reply?.status).toBe(200);
    await rig.pass(1000);
    const [first, second, third] = rig.core.map(zonesAt);
    expect(first).toContain('zone-a');
    expect([second, third]).toEqual([first, first]);
    function zonesAt(machine: (typeof rig.core)[number]): string[] | undefined {
      return evacuatedAt(rig, machine);
    }
  }
}

/** The operator reaches one side of a cut: the smaller one acknowledges nothing, and is heard on the larger. */
async function cutOff(): Promise<void> {
  for (const minority of [[0], [1, 4], [2, 3]]) {
    const rig = await beginWithFive(30 + minority[0]);
    cutApart(rig, minority);
    const began = rig.w.now();
    expect(await sendOrder(rig, minority[0], 'Start', 'zone-a')).toBe(503);
    expect(rig.w.now() - began).toBeLessThan(SILENCE);
    await insisted(rig, minority[0], 'Start', 'zone-b');
    await rig.pass(11000);
    expect(await sendOrder(rig, minority[0], 'Finish', 'zone-b')).toBe(503);
    rig.w.healLinks();
    await rig.pass(4000);
    for (const machine of rig.core) expect(evacuatedAt(rig, machine)).toContain('zone-b');
    for (const verb of ['Start', 'Finish'] as const)
      await insisted(rig, minority[0], verb, 'zone-a');
  }
}

function cutApart(rig: Awaited<ReturnType<typeof begin>>, minority: readonly number[]): void {
  for (const [one, from] of rig.core.entries())
    for (const [other, to] of rig.core.entries())
      if (minority.includes(one) !== minority.includes(other)) rig.w.cut(from.ip, to.ip, true);
}

/** The owner of the key acknowledges to nobody and is gone: the order that is sent again elsewhere succeeds. */
async function ownerGone(): Promise<void> {
  for (let victim = 0; victim < 3; victim++) {
    const rig = await begin(40 + victim);
    await insisted(rig, victim, 'Start', 'zone-a');
    isolate(rig, rig.core[victim]);
    await insisted(rig, victim, 'Start', 'zone-a');
    await insisted(rig, victim, 'Finish', 'zone-a');
    await insisted(rig, victim + 1, 'Finish', 'zone-a');
    rig.w.healLinks();
    await rig.pass(4000);
    for (const machine of rig.core) expect(evacuatedAt(rig, machine)).toEqual([]);
  }
}

/** What operators of our own interface are told. */
async function ownInterface(): Promise<void> {
  const rig = await begin(50);
  await listEngines(rig, ['zone-a', 'zone-a', 'zone-b']);
  async function ask(method: string, path: string): Promise<Heard | undefined> {
    return rig.settled(rig.call(rig.core[1], method, path));
  }
  const preview = await ask('GET', '/v1/evacuations/zone-b');
  const pools = [{ pool: 'p', places: 12, left: 8 }];
  expect(preview).toMatchObject({ status: 200, body: { evacuated: false, pools } });
  expect((await ask('GET', '/v1/evacuations/nowhere'))?.status).toBe(400);
  expect((await ask('PUT', '/v1/evacuations/nowhere'))?.status).toBe(400);
  for (let i = 0; i < 2; i++) {
    const started = await ask('PUT', '/v1/evacuations/zone-b');
    expect([200, 202]).toContain(started?.status);
    expect(started?.body).toMatchObject({ zone: 'zone-b', evacuated: true, revision: 1 });
  }
  await rig.pass(500);
  expect((await ask('GET', '/v1/evacuations'))?.body).toEqual({ zones: ['zone-b'], pools });
  expect((await ask('GET', '/v1/fleet'))?.body).toMatchObject({ evacuated: ['zone-b'] });
  const finished = await ask('DELETE', '/v1/evacuations/zone-b');
  expect(finished?.body).toMatchObject({ zone: 'zone-b', evacuated: false, revision: 2 });
}

test('any sequence of orders leaves the zones whose last order was a start', nextValues);
test('the places that are left are those of other zones, by pool', capacityLeft);
test('evacuations are started, finished and repeated at any controller', startsAndFinishes);
test('a zone that nobody knows gets 400, and only once the engines are known', refusals);
test('an evacuated zone without engines may be taken back', finishesAnEmptyZone);
test('orders that race are all acknowledged, and controllers agree on their outcome', races);
test('the smaller side of a cut acknowledges no evacuation', cutOff);
test('an evacuation is acknowledged again after its owner was cut off', ownerGone);
test('operators of our own interface see what is left, and start and finish', ownInterface);
