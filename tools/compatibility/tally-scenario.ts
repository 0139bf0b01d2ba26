/**
 * The run whose messages about tallies are recorded: controllers on both sides of a cut add, and level after it.
 */

import { makeNewsRig, NewsRig } from '../sim/news/rig';
import { settled } from './probe';
import { Recorder } from './recording';

const SEED = 5;
const START_MS = 4000;
/** A cut shows at the connections after this. */
const NOTICED_MS = 2000;
const MERGE_MS = 3000;
const ADD_TIMEOUT_MS = 900;
const CUT_OFF = 'core-5';

function add(rig: NewsRig, controller: string, id: string): Promise<unknown> {
  const { tallies } = rig.controllers.get(controller)!;
  return settled(rig.world, tallies!.add('tally', id, 1, ADD_TIMEOUT_MS));
}

function setCut(rig: NewsRig, isCut: boolean): void {
  const { world } = rig;
  const cutOff = world.procs().find(isCutOff)!;
  for (const proc of world.procs().filter(isOther)) {
    world.cut(proc.ip, cutOff.ip, isCut);
    world.cut(cutOff.ip, proc.ip, isCut);
  }
}

/**
 * Adds during the cut. No machine but controllers is there to tell the cut from controllers that are down, so the one
 * that is cut off asks for one copy meanwhile.
 */
async function addDuringCut(rig: NewsRig, name: string): Promise<void> {
  const { settings } = rig.controllers.get(name)!;
  const { tolerated, toleratedZones } = settings;
  if (name === CUT_OFF) Object.assign(settings, { tolerated: 0, toleratedZones: 0 });
  await add(rig, name, `during ${name}`);
  Object.assign(settings, { tolerated, toleratedZones });
}

function isCutOff({ name }: { name: string }): boolean {
  return name === CUT_OFF;
}

function isOther({ name }: { name: string }): boolean {
  return name !== CUT_OFF;
}

/** Additions to a tally before a cut and on both sides of it, and what levels the two sides after it. */
export async function tallies(recorder: Recorder): Promise<void> {
  const rig = makeNewsRig(SEED, 0);
  rig.net.links = recorder.links(rig.net.links);
  await rig.pass(START_MS);
  for (const name of rig.controllers.keys()) await add(rig, name, `before ${name}`);
  setCut(rig, true);
  await rig.pass(NOTICED_MS);
  for (const name of rig.controllers.keys()) await addDuringCut(rig, name);
  setCut(rig, false);
  await rig.pass(MERGE_MS);
}
