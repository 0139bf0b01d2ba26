/** One operator starts and finishes evacuations while controllers die, freeze and are cut off: what was acknowledged last stands. */

import { seededDice } from '../../tools/sim/dice';
import { CoreRig, isolate } from './deploymentrig';
import { beginWithFive, evacuatedAt, insistOn, ZONES } from './evacuation-rig';

const SEEDS = 20;
const ORDERS = 12;
const TROUBLES = 5;
const ACK_WITHIN_MS = 30000;
const ZONE_NAMES = Object.keys(ZONES);

/** Troubles of one controller at a time, one after the other. */
async function trouble(rig: CoreRig, seed: number): Promise<void> {
  const dice = seededDice(1000 + seed);
  const clock = rig.w.clock(rig.w.proc('troubles', '10.9.0.2'));
  for (let i = 0; i < TROUBLES; i++) {
    await clock.sleep(dice.next() * 1500);
    const victim = rig.core[Math.floor(dice.next() * rig.core.length)];
    const kind = Math.floor(dice.next() * 4);
    if (kind === 0) rig.w.kill(victim, dice.next() < 0.5);
    if (kind === 1) isolate(rig, victim);
    if (kind === 2) rig.w.freeze(victim);
    if (kind === 3)
      for (const other of rig.core) if (other !== victim) rig.w.cut(victim.ip, other.ip, true);
    await clock.sleep(300 + dice.next() * 3000);
    if (kind === 0) {
      rig.w.revive(victim);
      rig.start(victim);
    }
    if (kind === 2) rig.w.wake(victim);
    rig.w.healLinks();
  }
}

/** Sends one order after the other, each until it is acknowledged; gives the zones that are evacuated by them. */
async function operate(rig: CoreRig, seed: number): Promise<Set<string>> {
  const dice = seededDice(seed);
  const expected = new Set<string>();
  for (let i = 0; i < ORDERS; i++) {
    const zone = ZONE_NAMES[Math.floor(dice.next() * ZONE_NAMES.length)];
    const isStart = dice.next() < 0.6;
    const verb = isStart ? 'Start' : 'Finish';
    const heard = await insistOn(rig, Math.floor(dice.next() * 5), verb, zone, ACK_WITHIN_MS);
    expect([seed, i, heard?.status]).toEqual([seed, i, 200]);
    if (isStart) expected.add(zone);
    else expected.delete(zone);
  }
  return expected;
}

async function standsInTheEnd(): Promise<void> {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const rig = await beginWithFive(seed);
    const over = trouble(rig, seed);
    const expected = await rig.settled(operate(rig, seed), 20 * ACK_WITHIN_MS);
    await rig.settled(over, 60000);
    await rig.pass(6000);
    for (const machine of rig.core)
      expect([seed, evacuatedAt(rig, machine)]).toEqual([seed, [...expected!].sort()]);
  }
}

test(
  'what was acknowledged last stands, whatever happens to controllers meanwhile',
  standsInTheEnd,
);
