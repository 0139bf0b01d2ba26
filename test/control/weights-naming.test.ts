import { computeNextValue } from '../../src/control/configuration/next-value';
import { NamedWeights } from '../../src/shared/state/weights';
import { VersionedValue } from '../../src/shared/state/versions';
import { seededDice } from '../../tools/sim/dice';
import { begin, CoreRig, insisted, isolate, PATHS, post, SILENCE } from './deploymentrig';

const MODEL = 'm';

function standing(value: NamedWeights | undefined): VersionedValue | undefined {
  return value && { key: `weights/${MODEL}`, epoch: 1, by: 'a', number: 1, value };
}

function name(value: NamedWeights | undefined, weights: string, rank?: number): NamedWeights {
  const op = { kind: 'weights', model: MODEL, weights, rank } as const;
  return computeNextValue(op, standing(value)).extract() as NamedWeights;
}

function codeOf(value: NamedWeights, rank: number): string | undefined {
  const op = { kind: 'weights', model: MODEL, weights: String(rank), rank } as const;
  const outcome = computeNextValue(op, standing(value));
  return outcome.isLeft() ? outcome.extract().code : undefined;
}

function rankRises(): void {
  const value = name(name(undefined, '2', 2), '5', 5);
  expect(value).toMatchObject({ weights: '5', rank: 5, older: ['*', '2'] });
  for (const rank of [1, 2, 3, 5]) expect([rank, codeOf(value, rank)]).toEqual([rank, 'stands']);
  expect(codeOf(value, 6)).toBeUndefined();
}

/** Our own interface names weights without a rank. */
function rankStays(): void {
  const unranked = name(undefined, '5');
  const ranked = name(unranked, '5', 5);
  expect(ranked).toMatchObject({ weights: '5', rank: 5 });
  expect(codeOf(ranked, 3)).toBe('stands');
  const replaced = name(ranked, 'other');
  expect(replaced).toMatchObject({ weights: 'other', rank: 5 });
  expect(codeOf(replaced, 3)).toBe('stands');
  expect(name(replaced, '6', 6)).toMatchObject({ weights: '6', rank: 6 });
}

function namedAt(rig: CoreRig, controller: number): NamedWeights | undefined {
  return rig.controllers
    .get(rig.core[controller].name)
    ?.committedValue<NamedWeights>(`weights/${MODEL}`)?.value;
}

async function send(
  rig: CoreRig,
  controller: number,
  revision: number,
): Promise<number | undefined> {
  const heard = await post(rig, controller, PATHS.weights, undefined, { model: MODEL, revision });
  return heard?.status;
}

/** Sends one naming until it is confirmed, as operators do. */
async function insist(rig: CoreRig, first: number, revision: number): Promise<number | undefined> {
  const body = { model: MODEL, revision };
  return (await rig.insist(first, PATHS.weights, 0, body, 15000))?.status;
}

async function raced(): Promise<void> {
  for (let seed = 1; seed <= 10; seed++) {
    const dice = seededDice(seed);
    const rig = await begin(seed);
    const first = Math.floor(dice.next() * 3);
    const both = [insist(rig, first, 3), insist(rig, first + 1, 5)];
    await rig.pass(dice.next() * 25);
    isolate(rig, rig.core[Math.floor(dice.next() * 3)]);
    await rig.pass(dice.next() * 2000);
    rig.w.healLinks();
    expect([seed, await rig.settled(Promise.all(both))]).toEqual([seed, [200, 200]]);
    await rig.pass(2000);
    for (const i of [0, 1, 2])
      expect([seed, namedAt(rig, i)]).toMatchObject([seed, { weights: '5', rank: 5 }]);
  }
}

/** What a cut-off controller holds confirms nothing, though it was committed once. */
async function cutOff(): Promise<void> {
  for (let victim = 0; victim < 3; victim++)
    for (const revision of [2, 4]) {
      const rig = await begin(30 + victim);
      expect(await send(rig, 0, 4)).toBe(200);
      isolate(rig, rig.core[victim]);
      await insisted(rig, victim + 1, 1, 2);
      const began = rig.w.now();
      expect([victim, revision, await send(rig, victim, revision)]).toEqual([
        victim,
        revision,
        503,
      ]);
      expect(rig.w.now() - began).toBeLessThan(SILENCE);
      expect(await send(rig, (victim + 1) % 3, revision)).toBe(200);
    }
}

test('a naming that is not above what is named is known as superseded', rankRises);
test('a rank is never lost, nor lowered by a naming without one', rankStays);
test('of two namings at once both are confirmed, and the higher one stands', raced);
test('a controller that is cut off confirms no naming', cutOff);
