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

function take(f: SimFleet, name: string, how: 'killed' | 'frozen' | 'power'): () => void {
  if (how === 'frozen') f.w.freeze(procOf(f, name));
  else lose(f, name, false, how === 'power');
  function giveBack(): void {
    if (how === 'frozen') f.w.wake(procOf(f, name));
    else back(f, name);
  }
  return giveBack;
}

/** A disk is lost and comes back empty, another voter is away meanwhile, and a third is told to end; all are back, and nothing acknowledged is lost. */
async function play(
  f: SimFleet,
  o: ReturnType<typeof makeOperator>,
  names: readonly string[],
  round: Round,
  how: 'killed' | 'frozen' | 'power',
  step: number,
): Promise<void> {
  lose(f, round.emptied, true);
  await f.w.run(f.w.now() + 1500);
  back(f, round.emptied);
  await f.w.run(f.w.now() + step * 10);
  const giveBack = take(f, round.away, how);
  f.w.after(AWAY_MS, giveBack);
  const tookMs = await terminated(f, round.leaver);
  const { graceMs } = f.controllers.get(round.leaver)!.settings;
  expect({ ...round, how, step, killed: tookMs >= graceMs }).toEqual({
    ...round,
    how,
    step,
    killed: false,
  });
  f.controllers.delete(round.leaver);
  await applied(f, o);
  expect(o.newest()).toBe(o.acked());
  await f.w.run(f.w.now() + 300);
  back(f, round.leaver);
  const whole = await until(f, f.w.now() + 6000, all(f, names), 10);
  expect({ ...round, how, step, whole: whole !== undefined }).toEqual({
    ...round,
    how,
    step,
    whole: true,
  });
}

async function threeVoters(): Promise<void> {
  for (const how of ['killed', 'frozen', 'power'] as const) {
    for (let step = 0; step < 4; step++) {
      const f = await founded(300 + step);
      const o = makeOperator(f);
      await applied(f, o);
      const rounds: Round[] = [
        { emptied: 'core-3', away: 'core-1', leaver: 'core-2' },
        { emptied: 'core-2', away: 'core-3', leaver: 'core-1' },
      ];
      for (const round of rounds) await play(f, o, CORE, round, how, step);
      lose(f, 'core-3', true);
      await applied(f, o);
      expect(o.newest()).toBe(o.acked());
    }
  }
}

async function fiveVoters(): Promise<void> {
  for (const how of ['killed', 'frozen', 'power'] as const) {
    for (let step = 0; step < 2; step++) {
      const f = await founded(320 + step, 5, 2);
      const o = makeOperator(f);
      await applied(f, o);
      const rounds: Round[] = [
        { emptied: 'core-5', away: 'core-1', leaver: 'core-2' },
        { emptied: 'core-2', away: 'core-3', leaver: 'core-1' },
      ];
      for (const round of rounds) await play(f, o, FIVE, round, how, step);
      for (const n of ['core-3', 'core-4']) lose(f, n, true);
      await applied(f, o);
      expect(o.newest()).toBe(o.acked());
    }
  }
}

/** The leaver is killed in the midst of its leave, and another voter loses its disk once the leaver is back. */
async function leaverKilled(): Promise<void> {
  for (let step = 0; step < 8; step++) {
    const f = await founded(340 + step);
    const o = makeOperator(f);
    await applied(f, o);
    const giveBack = take(f, 'core-3', 'power');
    f.w.after(AWAY_MS, giveBack);
    terminate(f, 'core-2');
    await f.w.run(f.w.now() + step * 200);
    lose(f, 'core-2', false);
    await f.w.run(f.w.now() + 500);
    back(f, 'core-2');
    await f.w.run(f.w.now() + AWAY_MS);
    expect(await until(f, f.w.now() + 4000, all(f, CORE), 10)).toBeDefined();
    lose(f, 'core-1', true);
    await applied(f, o);
    expect({ step, newest: o.newest() }).toEqual({ step, newest: o.acked() });
  }
}

test('three voters, twice: one leaves while another is away and a third was emptied', threeVoters);
test('five voters, twice: one leaves while another is away and a third was emptied', fiveVoters);
test('a leaver is killed in the midst of its leave', leaverKilled);
