import { NoLossReason, VotersStatus } from '../../src/control/membership/voter-status';
import { asked, back, lose, makeOperator, procOf, running, until } from '../../tools/sim/simcore';
import { SimFleet } from '../../tools/sim/simfleet';
import { all, applied, CORE, founded } from './voter-set-rig';

async function readStatus(fleet: SimFleet): Promise<VotersStatus> {
  return (await asked(fleet, 'GET', '/v1/fleet')).body.standing as VotersStatus;
}

function reasonsOf(status: VotersStatus): NoLossReason[] {
  function reason(entry: { reason: NoLossReason }): NoLossReason {
    return entry.reason;
  }
  return status.reasons.map(reason);
}

function behindOf(status: VotersStatus): (number | undefined)[] {
  function behind(entry: { behind?: number }): number | undefined {
    return entry.behind;
  }
  return status.voters.map(behind);
}

async function toleratesLoss(): Promise<void> {
  const fleet = await founded(400);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  await fleet.w.run(fleet.w.now() + 1000);
  const status = await readStatus(fleet);
  expect({ bears: status.bearsLoss, reasons: reasonsOf(status), behind: behindOf(status) }).toEqual(
    {
      bears: true,
      reasons: [],
      behind: [0, 0, 0],
    },
  );
  expect(status.joint).toBeUndefined();
  for (const { epoch } of status.voters) expect(epoch).toBeGreaterThan(0);
}

async function awayVoter(): Promise<void> {
  const fleet = await founded(401);
  lose(fleet, 'core-3', false);
  await fleet.w.run(fleet.w.now() + 1000);
  const status = await readStatus(fleet);
  expect({ bears: status.bearsLoss, reasons: reasonsOf(status) }).toEqual({
    bears: false,
    reasons: ['voter-away'],
  });
  expect(status.voters[2].behind).toBeUndefined();
}

/** A voter whose disk stalls has nothing synced of what is learned since; a voter that lags counts how far. */
async function jointSet(): Promise<void> {
  const fleet = await founded(402);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  lose(fleet, 'core-3', true);
  await fleet.w.run(fleet.w.now() + 2500);
  procOf(fleet, 'core-3').disk.slow = 60;
  back(fleet, 'core-3');
  function begun(): boolean {
    return running(fleet).some(isJoint);
  }
  function isJoint(controller: { voters: () => { next?: unknown } | undefined }): boolean {
    return controller.voters()?.next !== undefined;
  }
  expect(await until(fleet, fleet.w.now() + 4000, begun, 1)).toBeDefined();
  await fleet.w.run(fleet.w.now() + 20);
  const status = await readStatus(fleet);
  expect({ bears: status.bearsLoss, joint: status.joint?.next.length }).toEqual({
    bears: false,
    joint: 3,
  });
  expect(status.joint!.sinceMs).toBeGreaterThan(0);
  expect(reasonsOf(status)).toContain('joint-set');
  expect(await until(fleet, fleet.w.now() + 5000, all(fleet, CORE), 10)).toBeDefined();
  procOf(fleet, 'core-3').disk.slow = 1;
  await fleet.w.run(fleet.w.now() + 2000);
  expect((await readStatus(fleet)).bearsLoss).toBe(true);
}

/** Changes that a frozen voter missed are counted at the controller that asks it once it wakes. */
async function countsWhatIsMissed(): Promise<void> {
  const fleet = await founded(403);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  const [first, , third] = CORE;
  const { store: slots } = fleet.controllers.get(third)!;
  const before = slots.registers.get('intents')!.learned!;
  await applied(fleet, operator);
  await applied(fleet, operator);
  await fleet.w.run(fleet.w.now() + 500);
  slots.registers.get('intents')!.learned = before;
  const status = await readStatus(fleet);
  expect(status.voters[2].behind).toBe(2);
  expect(status.bearsLoss).toBe(false);
  expect(reasonsOf(status)).toEqual(['voter-behind']);
  expect(fleet.controllers.get(first)!.hasQuorum()).toBe(true);
}

test('a set whose voters are here and whole bears a loss', toleratesLoss);
test('a set with a voter away bears no loss, and says so', awayVoter);
test('a joint set is told with its age, and bears no loss', jointSet);
test('a voter that lags is told with how many changes', countsWhatIsMissed);
