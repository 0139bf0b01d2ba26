import { Proc } from '../../tools/sim/process';
import {
  begin,
  CoreRig,
  documentOf,
  insisted,
  isolate,
  PATHS,
  post,
  SILENCE,
  statusOf,
} from './deploymentrig';

interface IsolatedOrder {
  name: string;
  base: number;
  body: unknown;
  path: string;
}

/** Orders whose verdict hangs on whether revision 1 or 2 stands. */
const ISOLATED_ORDERS: IsolatedOrder[] = [
  { name: 'valid', base: 2, body: documentOf(3, ['/v3/']), path: PATHS.replace },
  { name: 'outdated', base: 1, body: documentOf(4, ['/v4/']), path: PATHS.replace },
  { name: 'not above its base', base: 1, body: documentOf(1, ['/other/']), path: PATHS.replace },
  {
    name: 'a change of what is not there',
    base: 2,
    body: { revision: 5, remove: { routes: ['r-v2-'] } },
    path: PATHS.update,
  },
  {
    name: 'a route to a service that is not there',
    base: 1,
    body: { revision: 6, upsert: { routes: [routeTo('ghost')] } },
    path: PATHS.update,
  },
];

/** A controller that is cut off while the others take a change gives no verdict on an order. */
async function expectNoVerdict(seed: number, victim: number, order: IsolatedOrder): Promise<void> {
  const rig = await begin(seed);
  isolate(rig, rig.core[victim]);
  await insisted(rig, victim + 1, 1, 2);
  const began = rig.w.now();
  const heard = await post(rig, victim, order.path, order.base, order.body);
  expect([victim, order.name, heard?.status]).toEqual([victim, order.name, 503]);
  expect(rig.w.now() - began).toBeLessThan(SILENCE);
}

async function cutOff(): Promise<void> {
  for (let victim = 0; victim < 3; victim++)
    for (const order of ISOLATED_ORDERS) await expectNoVerdict(40 + victim, victim, order);
}

/** Asked in the moment of the cut, before its connections are known to be dead. */
async function justCutOff(): Promise<void> {
  for (let victim = 0; victim < 3; victim++)
    for (const order of ISOLATED_ORDERS) {
      const rig = await begin(50 + victim);
      isolate(rig, rig.core[victim]);
      const began = rig.w.now();
      const heard = await post(rig, victim, order.path, order.base, order.body);
      expect([victim, order.name, heard?.status]).toEqual([victim, order.name, 503]);
      expect(rig.w.now() - began).toBeLessThan(SILENCE);
    }
}

/** Answers come by then, with room for their way. */
const LATEST_ANSWER = 0.95 * SILENCE;

/** Ways in which one controller may be in trouble. */
const TROUBLES: ((rig: CoreRig, victim: Proc) => void)[] = [isolate, muffle, deafen, freeze];

/** Nothing that a controller sends reaches the others. */
function muffle(rig: CoreRig, victim: Proc): void {
  for (const other of rig.core) if (other !== victim) rig.w.cut(victim.ip, other.ip, true);
}

/** Nothing that the others send reaches a controller. */
function deafen(rig: CoreRig, victim: Proc): void {
  for (const other of rig.core) if (other !== victim) rig.w.cut(other.ip, victim.ip, true);
}

function freeze(rig: CoreRig, victim: Proc): void {
  rig.w.freeze(victim);
}

/** Whichever controller is asked in the moment of the trouble, an answer comes before operators go on, but from one that is frozen. */
async function answersInTime(): Promise<void> {
  for (const [t, trouble] of TROUBLES.entries())
    for (let victim = 0; victim < 3; victim++)
      for (let asked = 0; asked < 3; asked++) {
        if (trouble === freeze && asked === victim) continue;
        const rig = await begin(70 + victim);
        trouble(rig, rig.core[victim]);
        const began = rig.w.now();
        const status = await statusOf(rig, asked, 1, documentOf(4, ['/v4/']));
        const took = rig.w.now() - began;
        expect([t, victim, asked, status]).toEqual([
          t,
          victim,
          asked,
          asked === victim ? 503 : 200,
        ]);
        expect([t, victim, asked, took <= LATEST_ANSWER]).toEqual([t, victim, asked, true]);
      }
}

/** What was taken is confirmed, or left open by the one that is cut off. */
async function resentToCutOff(): Promise<void> {
  for (let victim = 0; victim < 3; victim++) {
    const rig = await begin(55 + victim);
    isolate(rig, rig.core[victim]);
    await insisted(rig, victim + 1, 1, 2);
    expect([200, 503]).toContain(await statusOf(rig, victim, 0, documentOf(1, ['/v1/'])));
    expect([200, 503]).toContain(await statusOf(rig, victim, 1, documentOf(2, ['/v2/'])));
    expect(await statusOf(rig, (victim + 1) % 3, 0, documentOf(1, ['/v1/']))).toBe(200);
  }
}

function routeTo(service: string): object {
  return { ...(documentOf(1, ['/x/']).routes as object[])[0], service };
}

test('a controller that is cut off refuses nothing, and says so within a second', cutOff);
test('so does one that does not know yet that it is cut off', justCutOff);
test('an answer comes before operators go on, whichever controller is in trouble', answersInTime);
test('an order that was taken is never refused, also by one that is cut off', resentToCutOff);
