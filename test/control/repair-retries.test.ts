/**
 * A newcomer that is not level in time: attempts to settle the joint set go on where the last one ended, and do not
 * commit every key anew, which would be news to every follower and to the newcomer.
 */

import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { back, lose, makeOperator, procOf, running, until } from '../../tools/sim/simcore';
import { all, applied, CORE, founded } from './voter-set-rig';

const SLOW_TIMES = 400;
const SLOW_MS = 3000;

async function carriedOnce(): Promise<void> {
  for (const seed of [1, 2, 3]) {
    const f = await founded(seed);
    const o = makeOperator(f);
    await applied(f, o);
    await f.w.run(f.w.now() + 500);
    function epoch(): number {
      const epochs = running(f).map(epochAt);
      return Math.max(...epochs);
    }
    function epochAt(c: ReturnType<typeof running>[number]): number {
      return c.store.registers.get(CONTROL_KEYS.intents)?.learned?.epoch ?? 0;
    }
    lose(f, 'core-2', true);
    await f.w.run(f.w.now() + 300);
    back(f, 'core-2');
    function isJoint(): boolean {
      return running(f).some(hasNext);
    }
    function hasNext(c: ReturnType<typeof running>[number]): boolean {
      return c.voters()?.next !== undefined;
    }
    expect(await until(f, f.w.now() + 3000, isJoint, 1)).toBeDefined();
    const before = epoch();
    procOf(f, 'core-2').disk.slow = SLOW_TIMES;
    await f.w.run(f.w.now() + SLOW_MS);
    procOf(f, 'core-2').disk.slow = 1;
    const during = epoch() - before;
    expect({ seed, during, isFew: during <= 2 }).toEqual({ seed, during, isFew: true });
    expect(await until(f, f.w.now() + 6000, all(f, CORE), 5)).toBeDefined();
    await applied(f, o);
  }
}

test('attempts to bring a slow newcomer up to date commit each key anew once', carriedOnce);
