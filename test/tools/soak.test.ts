import { APART_TROUBLES } from '../../tools/fleet/apart-troubles';
import { TROUBLES } from '../../tools/fleet/troubles';
import { drawSoak, SoakStep, SoakWays } from '../../tools/fleet/soak';
import { seededDice } from '../../tools/sim/dice';
import { shortDay } from '../platform/platform-rig';

const WAYS: SoakWays = { seconds: 14, perSecond: 0.6, repairMs: 8000 };
const DRAWN_SEEDS = 200;

function drawnSoaks(): SoakStep[][] {
  const soaks: SoakStep[][] = [];
  for (let seed = 1; seed <= DRAWN_SEEDS; seed++)
    soaks.push(drawSoak(seededDice(seed), { ...WAYS, seconds: 40 }));
  return soaks;
}

function oneDiskAtATime(): void {
  const seen = new Set<string>();
  for (const soak of drawnSoaks()) {
    let last = -Infinity;
    for (const { at, trouble } of soak) {
      seen.add(trouble);
      if (trouble !== 'wipe-controller') continue;
      expect(at - last).toBeGreaterThan(WAYS.repairMs);
      last = at;
    }
  }
  for (const trouble of seen) expect(TROUBLES[trouble]).toBeDefined();
  expect(seen.has('wipe-controller')).toBe(true);
  expect(seen.size).toBeGreaterThan(12);
}

/** Soaks of sites whose zones may be cut apart draw their troubles too, and lose no zone while a disk is repaired. */
function zonesToo(): void {
  const seen = new Set<string>();
  for (let seed = 1; seed <= DRAWN_SEEDS; seed++) {
    let diskLostAt = -Infinity;
    for (const { at, trouble } of drawSoak(seededDice(seed), { ...WAYS, apart: true })) {
      seen.add(trouble);
      if (trouble === 'wipe-controller') diskLostAt = at;
      if (trouble === 'zone-cut' || trouble === 'zone-loss')
        expect(at - diskLostAt).toBeGreaterThan(WAYS.repairMs);
    }
  }
  for (const trouble of Object.keys(APART_TROUBLES)) expect(seen).toContain(trouble);
  for (const trouble of seen) expect(TROUBLES[trouble] ?? APART_TROUBLES[trouble]).toBeDefined();
}

function sameAgain(): void {
  expect(drawSoak(seededDice(9), WAYS)).toEqual(drawSoak(seededDice(9), WAYS));
}

async function soaked(site: string, seed: number): Promise<void> {
  const steps = drawSoak(seededDice(seed), WAYS);
  const day = await shortDay(site, WAYS.seconds, [], steps);
  const { broken, ended, allReady } = day;
  expect({ seed, broken, ended, allReady }).toEqual({
    seed,
    broken: {},
    ended: [],
    allReady: true,
  });
  expect(day.served).toBeGreaterThan(day.asked * 0.5);
}

async function shortSoaks(): Promise<void> {
  await soaked('sbr', 11);
  await soaked('aoc', 12);
}

test('soaks lose one disk at a time, and draw troubles that there are', oneDiskAtATime);
test('soaks of zones that may be cut apart draw their troubles', zonesToo);
test('a soak is the same again by its seed', sameAgain);
test('signals, restarts and changes that overlap break no rule', shortSoaks);
