import {
  back,
  lose,
  makeOperator,
  procOf,
  terminate,
  terminated,
  until,
} from '../../tools/sim/simcore';
import { SimFleet } from '../../tools/sim/simfleet';
import { all, applied, CORE, founded } from './voter-set-rig';

const FIVE = [...CORE, 'core-4', 'core-5'];

/** One round of troubles: who is away, whose disk is lost, and who is told to end. */
interface Round {
  away: string;
  emptied: string;
  leaver: string;
}

/** For how long a voter is away. */
const AWAY_MS = 1500;

function take(fleet: SimFleet, name: string, how: 'killed' | 'frozen' | 'power'): () => void {
  if (how === 'frozen') fleet.w.freeze(procOf(fleet, name));
  else lose(fleet, name, false, how === 'power');
  function giveBack(): void {
    if (how === 'frozen') fleet.w.wake(procOf(fleet, name));
    else back(fleet, name);
  }
  return giveBack;
}

/** A disk is lost and comes back empty, another voter is away meanwhile, and a third is told to end; all are back, and nothing acknowledged is lost. */
async function play(
  fleet: SimFleet,
  operator: ReturnType<typeof makeOperator>,
  names: readonly string[],
  round: Round,
  how: 'killed' | 'frozen' | 'power',
  step: number,
): Promise<void> {
  lose(fleet, round.emptied, true);
  await fleet.w.run(fleet.w.now() + 1500);
  back(fleet, round.emptied);
  await fleet.w.run(fleet.w.now() + step * 10);
  const giveBack = take(fleet, round.away, how);
  fleet.w.after(AWAY_MS, giveBack);
  const tookMs = await terminated(fleet, round.leaver);
  const { graceMs } = fleet.controllers.get(round.leaver)!.settings;
  expect({ ...round, how, step, killed: tookMs >= graceMs }).toEqual({
    ...round,
    how,
    step,
    killed: false,
  });
  fleet.controllers.delete(round.leaver);
  await applied(fleet, operator);
  expect(operator.newest()).toBe(operator.acked());
  await fleet.w.run(fleet.w.now() + 300);
  back(fleet, round.leaver);
  const allBackAt = await until(fleet, fleet.w.now() + 6000, all(fleet, names), 10);
  expect({ ...round, how, step, allBack: allBackAt !== undefined }).toEqual({
    ...round,
    how,
    step,
    allBack: true,
  });
}

async function threeVoters(): Promise<void> {
  for (const how of ['killed', 'frozen', 'power'] as const) {
    for (let step = 0; step < 4; step++) {
      const fleet = await founded(300 + step);
      const operator = makeOperator(fleet);
      await applied(fleet, operator);
      const rounds: Round[] = [
        { emptied: 'core-3', away: 'core-1', leaver: 'core-2' },
        { emptied: 'core-2', away: 'core-3', leaver: 'core-1' },
      ];
      for (const round of rounds) await play(fleet, operator, CORE, round, how, step);
      lose(fleet, 'core-3', true);
      await applied(fleet, operator);
      expect(operator.newest()).toBe(operator.acked());
    }
  }
}

async function fiveVoters(): Promise<void> {
  for (const how of ['killed', 'frozen', 'power'] as const) {
    for (let step = 0; step < 2; step++) {
      const fleet = await founded(320 + step, 5, 2);
      const operator = makeOperator(fleet);
      await applied(fleet, operator);
      const rounds: Round[] = [
        { emptied: 'core-5', away: 'core-1', leaver: 'core-2' },
        { emptied: 'core-2', away: 'core-3', leaver: 'core-1' },
      ];
      for (const round of rounds) await play(fleet, operator, FIVE, round, how, step);
      for (const name of ['core-3', 'core-4']) lose(fleet, name, true);
      await applied(fleet, operator);
      expect(operator.newest()).toBe(operator.acked());
    }
  }
}

/** The leaver is killed in the midst of its leave, and another voter loses its disk once the leaver is back. */
async function leaverKilled(): Promise<void> {
  for (let step = 0; step < 8; step++) {
    const fleet = await founded(340 + step);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    const giveBack = take(fleet, 'core-3', 'power');
    fleet.w.after(AWAY_MS, giveBack);
    terminate(fleet, 'core-2');
    await fleet.w.run(fleet.w.now() + step * 200);
    lose(fleet, 'core-2', false);
    await fleet.w.run(fleet.w.now() + 500);
    back(fleet, 'core-2');
    await fleet.w.run(fleet.w.now() + AWAY_MS);
    expect(await until(fleet, fleet.w.now() + 4000, all(fleet, CORE), 10)).toBeDefined();
    lose(fleet, 'core-1', true);
    await applied(fleet, operator);
    expect({ step, newest: operator.newest() }).toEqual({ step, newest: operator.acked() });
  }
}

test('three voters, twice: one leaves while another is away and a third was emptied', threeVoters);
test('five voters, twice: one leaves while another is away and a third was emptied', fiveVoters);
test('a voter is killed while it leaves', leaverKilled);
