/**
 * A newcomer that is not level in time: attempts to settle the joint set go on where the last one ended, and do not
 * commit every key anew, which would be news to every follower and to the newcomer.
 */

import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { back, lose, makeOperator, procOf, running, until } from '../../tools/sim/simcore';
import { all, applied, CORE, founded } from './voter-set-rig';

const SLOW_DISK_FACTOR = 400;
const SLOW_MS = 3000;

async function committedAnewOnce(): Promise<void> {
  for (const seed of [1, 2, 3]) {
    const fleet = await founded(seed);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    await fleet.w.run(fleet.w.now() + 500);
    function epoch(): number {
      const epochs = running(fleet).map(epochAt);
      return Math.max(...epochs);
    }
    function epochAt(controller: ReturnType<typeof running>[number]): number {
      return controller.store.registers.get(CONTROL_KEYS.intents)?.learned?.epoch ?? 0;
    }
    lose(fleet, 'core-2', true);
    await fleet.w.run(fleet.w.now() + 300);
    back(fleet, 'core-2');
    function isJoint(): boolean {
      return running(fleet).some(hasNext);
    }
    function hasNext(controller: ReturnType<typeof running>[number]): boolean {
      return controller.voters()?.next !== undefined;
    }
    expect(await until(fleet, fleet.w.now() + 3000, isJoint, 1)).toBeDefined();
    const before = epoch();
    procOf(fleet, 'core-2').disk.slow = SLOW_DISK_FACTOR;
    await fleet.w.run(fleet.w.now() + SLOW_MS);
    procOf(fleet, 'core-2').disk.slow = 1;
    const during = epoch() - before;
    expect({ seed, during, isFew: during <= 2 }).toEqual({ seed, during, isFew: true });
    expect(await until(fleet, fleet.w.now() + 6000, all(fleet, CORE), 5)).toBeDefined();
    await applied(fleet, operator);
  }
}

test('attempts to bring a slow newcomer up to date commit each key anew once', committedAnewOnce);
