import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { defaultSettings } from '../../src/shared/settings/settings';
import { seededDice } from '../../tools/sim/dice';
import { begin, CoreRig, documentOf, Heard, PATHS, statusOf } from './deploymentrig';

/** The highest epoch that any disk has promised for the deployment. */
function promisedEpoch(rig: CoreRig): number {
  let most = 0;
  for (const c of rig.controllers.values())
    most = Math.max(most, c.store.registers.get(CONTROL_KEYS.deployment)?.promised.epoch ?? 0);
  return most;
}

/** An order that is sent again, one on an old base and one that is invalid change nothing, so none of them is to hand the key over. */
async function answersTakeNoEpoch(): Promise<void> {
  const rig = await begin(5);
  expect(await statusOf(rig, 0, 1, documentOf(2, ['/v2/']))).toBe(200);
  const before = promisedEpoch(rig);
  for (const controller of [0, 1, 2]) {
    expect(await statusOf(rig, controller, 1, documentOf(2, ['/v2/']))).toBe(200);
    expect(await statusOf(rig, controller, 1, documentOf(3, ['/v3/']))).toBe(412);
    expect(await statusOf(rig, controller, 2, documentOf(3, ['no-slash']))).toBe(400);
    expect(await statusOf(rig, controller, 2, documentOf(2, ['/v4/']))).toBe(400);
  }
  expect(promisedEpoch(rig)).toBe(before);
  expect(await statusOf(rig, 1, 2, documentOf(5, ['/v5/']))).toBe(200);
}

/** A synced write takes 60 to 420 ms instead of 0.5 to 3.5. */
const SLOW_DISKS = 120;
const ROUNDS = 4;
const ACK_MS = defaultSettings().ackMs;

interface Insisted {
  heard?: Heard;
  tookMs?: number;
}

/** Sends an order on and on until its answer is clear. */
function insist(rig: CoreRig, first: number, base: number, body: unknown): Insisted {
  const sent: Insisted = {};
  const began = rig.w.now();
  function told(heard: Heard | undefined): void {
    sent.heard = heard;
    sent.tookMs = rig.w.now() - began;
  }
  void rig.insist(first, PATHS.replace, base, body, 3 * ACK_MS).then(told);
  return sent;
}

function isOver(sent: Insisted): boolean {
  return sent.tookMs !== undefined;
}

/** Several operators send valid and invalid orders on the same base, on and on until they are answered. */
async function manyAtOnce(): Promise<void> {
  for (let seed = 1; seed <= 8; seed++) {
    const rig = await begin(seed);
    const dice = seededDice(seed);
    for (const p of rig.core) p.disk.slow = SLOW_DISKS;
    let base = 1;
    for (let round = 1; round <= ROUNDS; round++) {
      const bodies = [
        documentOf(base + 1, [`/a${round}/`]),
        documentOf(base + 2, [`/b${round}/`]),
        documentOf(base + 1, [`/c${round}/`, `/c${round}/`]),
        documentOf(base + 2, ['no-slash']),
        documentOf(base, [`/d${round}/`]),
      ];
      const all: Insisted[] = [];
      for (const body of bodies) all.push(insist(rig, Math.floor(dice.next() * 3), base, body));
      for (let i = 0; i < 900 && !all.every(isOver); i++) await rig.pass(20);
      for (const sent of all) {
        expect([seed, round, sent.heard?.status]).not.toEqual([seed, round, undefined]);
        expect(sent.tookMs).toBeLessThan(ACK_MS);
      }
      const taken = all.findIndex(isTaken);
      expect([0, 1]).toContain(taken);
      base += taken + 1;
    }
  }
}

function isTaken(sent: Insisted): boolean {
  return sent.heard?.status === 200;
}

test('what changes nothing is answered without a new epoch', answersTakeNoEpoch);
test('orders that are sent on and on over slow disks are answered in time', manyAtOnce);
