import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { RandomSource } from '../../src/shared/ports/random';
import { seededDice } from '../../tools/sim/dice';
import { deployment, GatewayFixture, route } from './gateway-fixture';
import { drawnRequest, isKept, playLate } from './late-requests';

const SEEDS = 80;
/** The bounds of deployments whose zones may be cut apart, in ms. */
const APART = { graceMs: 8000, contactMs: 4000, transitMs: 200 };
/** The time-outs that changes give the route, in ms. */
const TIMEOUTS_MS = [3000, 6000, 7500];

let revision = 100;

function drawnTimeout(dice: RandomSource): number {
  return TIMEOUTS_MS[Math.floor(dice.next() * TIMEOUTS_MS.length)];
}

/** Plays one request, which comes after the first change and before the second; what was broken, or nothing. */
async function plays(seed: number): Promise<string | undefined> {
  const dice = seededDice(seed);
  const request = drawnRequest(dice);
  const timeouts = [drawnTimeout(dice), drawnTimeout(dice)];
  const ownMs = Math.min(request.deadlineMs, timeouts[0]);
  function meanwhile(rig: GatewayFixture): void {
    const doc = deployment([route({ timeoutMs: timeouts.shift() })]);
    rig.setLease(dice.next() < 0.5);
    rig.publish(CONTROL_KEYS.deployment, { revision: ++revision, doc });
    void rig.gateway.drain();
  }
  const outcome = await playLate(request, { settings: APART, meanwhile });
  const isSound = isKept({ ...request, deadlineMs: ownMs }, outcome);
  return isSound ? undefined : JSON.stringify({ seed, request, ownMs, outcome });
}

/** Guards against LOST: a router that leaves gives nothing up that it took late, where it is cut off from the core, told to end twice, and its route's time-out changes. */
async function keepsItsWordApart(): Promise<void> {
  const broken: string[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const fault = await plays(seed);
    if (fault !== undefined) broken.push(fault);
  }
  expect(broken).toEqual([]);
}

test('a router that leaves while it is cut off and changes come keeps its word', keepsItsWordApart);
