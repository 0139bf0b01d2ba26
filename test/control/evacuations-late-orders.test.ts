/**
 * Orders about evacuations that are read late: a controller that was frozen, or behind a cut, makes them after the
 * operator has had the opposite acknowledged.
 */

import { CoreRig } from './deploymentrig';
import { beginWithFive, evacuatedAt, EvacuationVerb, insisted, sendOrder } from './evacuation-rig';

/** A controller that is frozen or cut off is given up by the others after this. */
const NOTICED_MS = 3000;
/** By then an order that was acknowledged is in effect at all controllers that are up. */
const SETTLED_MS = 3000;

/** The order that is sent first and read late, and the one that comes after it. */
const ORDERS: [EvacuationVerb, EvacuationVerb][] = [
  ['Start', 'Finish'],
  ['Finish', 'Start'],
];

async function expectLast(rig: CoreRig, last: EvacuationVerb, context: unknown): Promise<void> {
  await rig.pass(SETTLED_MS);
  for (const machine of rig.core)
    expect([context, machine.name, evacuatedAt(rig, machine)?.includes('zone-a')]).toEqual([
      context,
      machine.name,
      last === 'Start',
    ]);
}

/** Guards against an order of the operator that a frozen controller, or a frozen owner of the key, makes once it runs again. */
async function frozen(frozenIndex: number, asked: number): Promise<void> {
  for (const [first, second] of ORDERS) {
    const rig = await beginWithFive(60 + frozenIndex);
    const other = (frozenIndex + 1) % 5;
    if (first === 'Finish') await insisted(rig, other, 'Start', 'zone-a');
    await rig.pass(SETTLED_MS);
    const victim = rig.core[frozenIndex];
    rig.w.freeze(victim);
    await sendOrder(rig, asked, first, 'zone-a');
    await insisted(rig, other, first, 'zone-a');
    await rig.pass(NOTICED_MS);
    await insisted(rig, other, second, 'zone-a');
    rig.w.wake(victim);
    await expectLast(rig, second, [frozenIndex, asked, first, second]);
  }
}

async function askedController(): Promise<void> {
  for (let index = 0; index < 5; index++) await frozen(index, index);
}

async function owner(): Promise<void> {
  for (let index = 0; index < 5; index++) await frozen(index, (index + 2) % 5);
}

test('an order that a frozen controller was sent is not made after its opposite', askedController);
test('an order that a frozen owner was sent is not made after its opposite', owner);
