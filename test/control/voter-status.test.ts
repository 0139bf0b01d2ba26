import { NoLossReason, VotersStatus } from '../../src/control/membership/voter-status';
import { asked, back, lose, makeOperator, procOf, running, until } from '../../tools/sim/simcore';
import { SimFleet } from '../../tools/sim/simfleet';
import { all, applied, CORE, founded } from './voter-set-rig';

async function standing(f: SimFleet): Promise<VotersStatus> {
  return (await asked(f, 'GET', '/v1/fleet')).body.standing as VotersStatus;
}

function reasonsOf(s: VotersStatus): NoLossReason[] {
  function reason(x: { reason: NoLossReason }): NoLossReason {
    return x.reason;
  }
  return s.reasons.map(reason);
}

function behindOf(s: VotersStatus): (number | undefined)[] {
  function behind(x: { behind?: number }): number | undefined {
    return x.behind;
  }
  return s.voters.map(behind);
}

async function bearsALoss(): Promise<void> {
  const f = await founded(400);
  const o = makeOperator(f);
  await applied(f, o);
  await f.w.run(f.w.now() + 1000);
  const s = await standing(f);
  expect({ bears: s.bearsLoss, reasons: reasonsOf(s), behind: behindOf(s) }).toEqual({
    bears: true,
    reasons: [],
    behind: [0, 0, 0],
  });
  expect(s.joint).toBeUndefined();
  for (const { epoch } of s.voters) expect(epoch).toBeGreaterThan(0);
}

async function awayVoter(): Promise<void> {
  const f = await founded(401);
  lose(f, 'core-3', false);
  await f.w.run(f.w.now() + 1000);
  const s = await standing(f);
  expect({ bears: s.bearsLoss, reasons: reasonsOf(s) }).toEqual({
    bears: false,
    reasons: ['voter-away'],
  });
  expect(s.voters[2].behind).toBeUndefined();
}

/** A voter whose disk stalls has nothing synced of what is learned since; a voter that lags counts how far. */
async function jointSet(): Promise<void> {
  const f = await founded(402);
  const o = makeOperator(f);
  await applied(f, o);
  lose(f, 'core-3', true);
  await f.w.run(f.w.now() + 2500);
  procOf(f, 'core-3').disk.slow = 60;
  back(f, 'core-3');
  function begun(): boolean {
    return running(f).some(isJoint);
  }
  function isJoint(c: { voters: () => { next?: unknown } | undefined }): boolean {
    return c.voters()?.next !== undefined;
  }
  expect(await until(f, f.w.now() + 4000, begun, 1)).toBeDefined();
  await f.w.run(f.w.now() + 20);
  const s = await standing(f);
  expect({ bears: s.bearsLoss, joint: s.joint?.next.length }).toEqual({ bears: false, joint: 3 });
  expect(s.joint!.sinceMs).toBeGreaterThan(0);
  expect(reasonsOf(s)).toContain('joint-set');
  expect(await until(f, f.w.now() + 5000, all(f, CORE), 10)).toBeDefined();
  procOf(f, 'core-3').disk.slow = 1;
  await f.w.run(f.w.now() + 2000);
  expect((await standing(f)).bearsLoss).toBe(true);
}

/** Changes that a frozen voter missed are counted at the controller that asks it once it wakes. */
async function countsWhatIsMissed(): Promise<void> {
  const f = await founded(403);
  const o = makeOperator(f);
  await applied(f, o);
  const [first, , third] = CORE;
  const { store: slots } = f.controllers.get(third)!;
  const before = slots.registers.get('intents')!.learned!;
  await applied(f, o);
  await applied(f, o);
  await f.w.run(f.w.now() + 500);
  slots.registers.get('intents')!.learned = before;
  const s = await standing(f);
  expect(s.voters[2].behind).toBe(2);
  expect(s.bearsLoss).toBe(false);
  expect(reasonsOf(s)).toEqual(['voter-behind']);
  expect(f.controllers.get(first)!.hasQuorum()).toBe(true);
}

test('a set whose voters are here and whole bears a loss', bearsALoss);
test('a set with a voter away bears no loss, and says so', awayVoter);
test('a joint set is told with its age, and bears no loss', jointSet);
test('a voter that lags is told with how many changes', countsWhatIsMissed);
