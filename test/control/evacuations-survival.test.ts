/**
 * Acknowledged evacuations outlive what the core bears: all processes killed, all power lost, two of five disks lost, in
 * the moment of the acknowledgement. A router that starts anew knows of them once it holds its leases.
 */

import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { EvacuationsValue } from '../../src/shared/state/evacuations';
import { Follower } from '../../src/shared/replication/follower';
import { isZoneEvacuated } from '../../src/shared/replication/evacuated-zones';
import { seededDice } from '../../tools/sim/dice';
import { Proc } from '../../tools/sim/process';
import { CoreRig } from './deploymentrig';
import { beginWithFive, evacuatedAt, insisted, insistOn, sendOrder } from './evacuation-rig';
import { followAt } from './follower-rig';

const SEEDS = 6;
const DOWN_MS = 3000;
/** The time after a closing fault by which all is as before; half of the users' `recoveryS`. */
const RECOVERY_MS = 7500;

interface ClosingFault {
  name: string;
  power: boolean;
  disksLost: number;
}

const CLOSING_FAULTS: ClosingFault[] = [
  { name: 'every process is killed', power: false, disksLost: 0 },
  { name: 'all power is lost', power: true, disksLost: 0 },
  { name: 'two disks are lost as the others lose power', power: true, disksLost: 2 },
];

function shuffled(rig: CoreRig, seed: number): Proc[] {
  const dice = seededDice(seed);
  const order = new Map<Proc, number>();
  for (const machine of rig.core) order.set(machine, dice.next());
  function byOrder(a: Proc, b: Proc): number {
    return order.get(a)! - order.get(b)!;
  }
  return [...rig.core].sort(byOrder);
}

/** Has an order sent on and on, and the fault strike at the moment of its acknowledgement. */
async function strikeAtAck(
  rig: CoreRig,
  seed: number,
  { power, disksLost }: ClosingFault,
  order: { verb: 'Start' | 'Finish'; zone: string },
): Promise<void> {
  const victims = shuffled(rig, seed).slice(0, disksLost);
  let struck = false;
  function strike(heard: { status: number } | undefined): void {
    expect(heard?.status).toBe(200);
    for (const machine of rig.core) rig.w.kill(machine, power);
    for (const machine of victims) machine.files.clear();
    struck = true;
  }
  void insistOn(rig, seed % 5, order.verb, order.zone, 5000).then(strike);
  for (let i = 0; i < 5000 && !struck; i++) await rig.pass(1);
  expect(struck).toBe(true);
  await rig.pass(DOWN_MS);
  for (const machine of rig.core) restart(rig, machine);
}

function restart(rig: CoreRig, machine: Proc): void {
  rig.w.revive(machine);
  rig.start(machine);
}

function zonesOf(follower: Follower): string[] | undefined {
  return follower.value<EvacuationsValue>(CONTROL_KEYS.evacuations)?.value.zones;
}

/** Runs until a new router holds its leases, and gives what it knows then. */
async function zonesAtLease(rig: CoreRig, router: Proc): Promise<string[] | undefined> {
  const follower = followAt(rig, router);
  for (let i = 0; i < RECOVERY_MS && !follower.hasLease(); i++) await rig.pass(1);
  expect(follower.hasLease()).toBe(true);
  return zonesOf(follower);
}

async function survives(fault: ClosingFault): Promise<void> {
  for (let seed = 1; seed <= SEEDS; seed++) {
    const rig = await beginWithFive(seed);
    const isFinish = seed % 3 === 0;
    if (isFinish) await insisted(rig, seed % 5, 'Start', 'zone-b');
    await insisted(rig, seed % 5, 'Start', 'zone-a');
    const verb = isFinish ? 'Finish' : 'Start';
    await strikeAtAck(rig, seed, fault, { verb, zone: 'zone-b' });
    const expected = isFinish ? ['zone-a'] : ['zone-a', 'zone-b'];
    const known = await zonesAtLease(rig, rig.w.proc('router-1', '10.2.0.1'));
    expect([fault.name, seed, known]).toEqual([fault.name, seed, expected]);
    await rig.pass(RECOVERY_MS);
    for (const machine of rig.core)
      expect([fault.name, seed, evacuatedAt(rig, machine)]).toEqual([fault.name, seed, expected]);
  }
}

/** A controller that was away while an evacuation was taken hears of it, and routers that it serves do. */
async function learnedLate(): Promise<void> {
  for (let victim = 0; victim < 5; victim++) {
    const rig = await beginWithFive(20 + victim);
    const router = rig.w.proc('router-1', '10.2.0.1');
    const follower = followAt(rig, router);
    await rig.pass(2000);
    const away = rig.core[victim];
    rig.w.kill(away, true);
    for (const machine of rig.core) cutBoth(rig, machine, router, true);
    await insisted(rig, victim + 1, 'Start', 'zone-c');
    await rig.pass(5000);
    expect(isZoneEvacuated(follower, 'zone-c')).toBe(false);
    restart(rig, away);
    rig.w.healLinks();
    await rig.pass(2500);
    expect(follower.hasLease()).toBe(true);
    expect(isZoneEvacuated(follower, 'zone-c')).toBe(true);
    await rig.pass(2000);
    expect(evacuatedAt(rig, away)).toEqual(['zone-c']);
    expect(await sendOrder(rig, victim, 'Finish', 'zone-c')).toBe(200);
    await rig.pass(1000);
    expect(isZoneEvacuated(follower, 'zone-c')).toBe(false);
  }
}

function cutBoth(rig: CoreRig, one: Proc, other: Proc, on: boolean): void {
  rig.w.cut(one.ip, other.ip, on);
  rig.w.cut(other.ip, one.ip, on);
}

test.each(CLOSING_FAULTS)('acknowledged evacuations stand after $name', survives);
test('a controller and a router that were away hear of an evacuation', learnedLate);
