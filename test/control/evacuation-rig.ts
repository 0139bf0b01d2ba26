import { Controller } from '../../src/control/controller';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { EvacuationsValue } from '../../src/shared/state/evacuations';
import { Engine } from '../../src/shared/state/engines';
import { Proc } from '../../tools/sim/process';
import { CoreRig, documentOf, Heard, makeCore, PATHS, post } from './deploymentrig';

/** The zones that controllers are told of. */
export const ZONES = { 'zone-a': 'region', 'zone-b': 'region', 'zone-c': 'region' };

/** Five controllers that bear the loss of two, with a first configuration. */
export async function beginWithFive(seed: number): Promise<CoreRig> {
  const rig = makeCore(seed, { size: 5, told: { tolerated: 2, zones: ZONES } });
  const body = documentOf(1, ['/v1/']);
  const first = await rig.settled(rig.insist(0, PATHS.replace, 0, body, 9000), 10000);
  expect(first?.status).toBe(200);
  return rig;
}

/** Whether an order starts an evacuation or finishes it. */
export type EvacuationVerb = 'Start' | 'Finish';

/** The path of an operator's order. */
export function pathOf(verb: EvacuationVerb, zone: string): string {
  return `/api/Evacuations.${verb}/${zone}`;
}

/** Sends an order to one controller; gives the status of its answer. */
export async function sendOrder(
  rig: CoreRig,
  controller: number,
  verb: EvacuationVerb,
  zone: string,
): Promise<number | undefined> {
  return (await post(rig, controller, pathOf(verb, zone), undefined, undefined))?.status;
}

/** Sends an order to one controller after the other until an answer is clear. */
export function insistOn(
  rig: CoreRig,
  first: number,
  verb: EvacuationVerb,
  zone: string,
  timeoutMs: number,
): Promise<Heard | undefined> {
  return rig.insist(first, pathOf(verb, zone), 0, undefined, timeoutMs);
}

/** Has an order acknowledged, and runs virtual time on until it is. */
export async function insisted(
  rig: CoreRig,
  first: number,
  verb: EvacuationVerb,
  zone: string,
): Promise<void> {
  const heard = await rig.settled(insistOn(rig, first, verb, zone, 5000), 6000);
  expect([verb, zone, heard?.status]).toEqual([verb, zone, 200]);
}

/** The zones that a controller knows to be evacuated; nothing before it knows of any change. */
export function evacuatedAt(rig: CoreRig, machine: Proc): string[] | undefined {
  const controller = rig.controllers.get(machine.name);
  return controller?.committedValue<EvacuationsValue>(CONTROL_KEYS.evacuations)?.value.zones;
}

/** Commits a list of engines, as the task does that reads the platform's. */
export async function listEngines(rig: CoreRig, zones: readonly string[]): Promise<void> {
  const controller: Controller = rig.controllers.get(rig.core[0].name)!;
  function engineIn(zone: string, index: number): Engine {
    const id = `engine-${index + 1}`;
    return { id, at: '', zone, model: 'm', weights: '1', leaving: false, pool: 'p', batch: 4 };
  }
  const engines = zones.map(engineIn);
  const listed = await rig.settled(controller.change({ kind: 'engines', engines }));
  expect(listed?.isRight()).toBe(true);
  await rig.pass(1000);
}
