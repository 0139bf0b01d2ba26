import { seededDice } from '../../tools/sim/dice';
import {
  begin,
  described,
  documentOf,
  Heard,
  insisted,
  isolate,
  PATHS,
  statusOf,
} from './deploymentrig';

/** Ten changes a second, for longer than any caller's pause between two tries takes here. */
const CHANGES_BETWEEN = 60;

async function resentLate(): Promise<void> {
  const rig = await begin(21);
  for (let revision = 2; revision <= CHANGES_BETWEEN; revision++) {
    expect(
      await statusOf(rig, revision % 3, revision - 1, documentOf(revision, [`/v${revision}/`])),
    ).toBe(200);
    await rig.pass(80);
  }
  for (const i of [0, 1, 2]) {
    expect(await statusOf(rig, i, 0, documentOf(1, ['/v1/']))).toBe(200);
    expect(await statusOf(rig, i, 7, documentOf(8, ['/v8/']))).toBe(200);
  }
}

/** Orders that were never taken, and invalid on their base or on what stands. */
async function invalidOrders(): Promise<void> {
  const rig = await begin(22);
  await insisted(rig, 1, 1, 5);
  await insisted(rig, 2, 5, 9);
  const stands = documentOf(9, ['/v9/']);
  const sameVersion = documentOf(9, ['/other/']);
  const oldVersion = documentOf(5, ['/other/']);
  const wanted: [string, number, number, unknown][] = [
    ['what stands, on itself', 400, 9, stands],
    ['what stands, on an older base', 412, 1, stands],
    ['the revision that stands', 400, 9, sameVersion],
    ['the revision that stands, on an older base', 412, 5, sameVersion],
    ['an older revision', 400, 9, oldVersion],
    ['an older revision, on its own base', 412, 5, oldVersion],
    ['an older revision, on the first base', 412, 1, oldVersion],
  ];
  for (let round = 0; round < 2; round++)
    for (const [name, status, base, body] of wanted)
      for (const i of [0, 1, 2])
        expect([name, await statusOf(rig, i, base, body)]).toEqual([name, status]);
  expect(await statusOf(rig, 0, 5, stands)).toBe(200);
  expect((await rig.settled(rig.call(rig.core[1], 'GET', PATHS.describe)))?.body).toEqual(stands);
}

/** Two operators send different bodies under one number; the controller that one of them asks is cut off or killed meanwhile. */
async function oneNumber(): Promise<void> {
  for (let seed = 1; seed <= 20; seed++) {
    const dice = seededDice(seed);
    const rig = await begin(60 + seed);
    const bodies = [documentOf(7, ['/left/']), documentOf(7, ['/right/'])];
    const first = Math.floor(dice.next() * 3);
    const over: (Heard | undefined)[] = [];
    for (const [i, body] of bodies.entries()) {
      void rig.insist(first + i, PATHS.replace, 1, body, 15000).then(told);
      function told(heard: Heard | undefined): void {
        over[i] = heard;
      }
    }
    await rig.pass(dice.next() * 25);
    const victim = rig.core[(first + Math.floor(dice.next() * 2)) % 3];
    const killed = dice.next() < 0.5;
    if (killed) rig.w.kill(victim, true);
    else isolate(rig, victim);
    await rig.pass(500 + dice.next() * 2500);
    if (killed) {
      rig.w.revive(victim);
      rig.start(victim);
    }
    rig.w.healLinks();
    for (let i = 0; i < 1000 && !(over[0] && over[1]); i++) await rig.pass(20);
    const statuses = [over[0]?.status, over[1]?.status];
    expect([seed, ...statuses.toSorted()]).toEqual([seed, 200, 412]);
    const winner = bodies[statuses.indexOf(200)];
    const loser = bodies[statuses.indexOf(412)];
    for (const i of [0, 1, 2]) {
      expect([seed, await described(rig, i)]).toEqual([seed, winner]);
      expect([seed, await statusOf(rig, i, 1, loser)]).toEqual([seed, 412]);
      expect([seed, await statusOf(rig, i, 1, winner)]).toEqual([seed, 200]);
    }
  }
}

test('an order that was taken is confirmed again after 60 more changes', resentLate);
test('an order that is not above what stands is refused, also when sent again', invalidOrders);
test('of two orders under one number exactly one is confirmed', oneNumber);
