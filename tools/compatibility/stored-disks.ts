/**
 * Disks of controllers of a simulated fleet, written by the real storing code.
 */

import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { asked, back, counts, isFounded, lose, procOf, until, votersOf } from '../sim/simcore';
import { makeSimFleet, SimFleet, simIntents } from '../sim/simfleet';
import { damagedForms } from './disk-damage';
import { DiskFiles } from '../sim/disk-files';
import { writeOn } from './write-on';
import { legacyFrame } from './legacy-frame';

/** A recorded disk: the files of one controller at one moment. */
export interface RecordedDisk {
  name: string;
  files: DiskFiles;
}

/** The core machines of the fleet. */
export const CORE_NAMES = ['core-1', 'core-2', 'core-3'];
const FLEET_SEED = 61;
const LONG_SEED = 62;
const PATIENCE_MS = 20000;
const VOTES_KEPT_MS = 1500;
/** Rules of a document that is longer than what is written before it is synced. */
const LONG_RULES = 6000;

/** Makes a fleet of three controllers that has not started. */
export function makeRecordedFleet(seed: number): SimFleet {
  const fleet = makeSimFleet(seed, 'saffron-bay', 1, 2, false, 3);
  Object.assign(fleet.told, { tolerated: 1, foundBy: 'majority', onceKeepMs: VOTES_KEPT_MS });
  return fleet;
}

function check(holds: boolean, what: string): void {
  if (!holds) throw new Error(`the recording failed: ${what}`);
}

async function waitFor(fleet: SimFleet, what: string, test: () => boolean): Promise<void> {
  check((await until(fleet, fleet.w.now() + PATIENCE_MS, test, 10)) !== undefined, what);
}

/** Starts a fleet and waits until its three controllers are its voters. */
async function found(seed: number): Promise<SimFleet> {
  const fleet = makeRecordedFleet(seed);
  fleet.startAll();
  function isUp(): boolean {
    return votersOf(fleet) === '1 2 3' && isFounded(fleet);
  }
  await waitFor(fleet, 'founding', isUp);
  fleet.told.bootstrap = false;
  return fleet;
}

async function putIntents(fleet: SimFleet, extraRules: number): Promise<void> {
  const now = await asked(fleet, 'GET', '/v1/intents');
  const basedOn = Number(now.body.revision ?? 0);
  const intents = simIntents(fleet.d, 'probe-3', extraRules, []);
  const put = await asked(fleet, 'PUT', '/v1/intents', { basedOn, intents });
  check(put.status === 200 || put.status === 202, `intents: ${JSON.stringify(put)}`);
}

async function changeKeysAndWeights(fleet: SimFleet, weights: string): Promise<void> {
  const key = await asked(fleet, 'POST', '/v1/keys/probe', {});
  check(key.status === 200 || key.status === 202, `keys: ${JSON.stringify(key)}`);
  const named = await asked(fleet, 'PUT', `/v1/weights/${fleet.d.model}`, { weights });
  check(named.status === 200 || named.status === 202, `weights: ${JSON.stringify(named)}`);
}

/** Gives votes for keys of a name, and tells what became of their runs. */
async function vote(fleet: SimFleet, name: string): Promise<void> {
  const states = ['done', 'unknown', 'released', undefined] as const;
  for (const controller of fleet.controllers.values())
    for (const [index, state] of states.entries()) {
      const key = `${name}-${index}`;
      const run = `run-${index}`;
      void controller.votes.vote({ key, run });
      await fleet.w.run(fleet.w.now() + 20);
      if (state) void controller.votes.recordRunState({ key, run, state });
      await fleet.w.run(fleet.w.now() + 20);
    }
}

async function restart(fleet: SimFleet, name: string): Promise<void> {
  lose(fleet, name, false, false);
  await fleet.w.run(fleet.w.now() + 300);
  back(fleet, name);
  function isBack(): boolean {
    return counts(fleet, CORE_NAMES);
  }
  await waitFor(fleet, `${name} is back`, isBack);
}

function copyOf(fleet: SimFleet, machine: string, name: string): RecordedDisk {
  return { name, files: new Map(procOf(fleet, machine).files) };
}

/** Leaves a joint set of voters in its midst, with a third disk that is never reached. */
async function beginJointSet(fleet: SimFleet): Promise<void> {
  const controller = fleet.controllers.get('core-1')!;
  const stood = controller.committedValue<VoterSet>(CONTROL_KEYS.voters)!;
  const next: Voter[] = [
    ...stood.value.now.slice(0, 2),
    { disk: 'd'.repeat(32), at: fleet.spare.wire },
  ];
  void controller.change({
    kind: 'voters',
    voters: { now: stood.value.now, next },
    basedOn: stood.place.number,
  });
  function isJoint(): boolean {
    return controller.committedValue<VoterSet>(CONTROL_KEYS.voters)?.value.next !== undefined;
  }
  await waitFor(fleet, 'joint set', isJoint);
}

async function recordFleet(): Promise<RecordedDisk[]> {
  const fleet = await found(FLEET_SEED);
  await putIntents(fleet, 0);
  await putIntents(fleet, 3);
  await vote(fleet, 'first');
  await changeKeysAndWeights(fleet, 'w2');
  for (const name of [...CORE_NAMES, 'core-3']) await restart(fleet, name);
  for (const extra of [4, 1, 5]) await putIntents(fleet, extra);
  await vote(fleet, 'second');
  await fleet.w.run(fleet.w.now() + VOTES_KEPT_MS);
  await vote(fleet, 'third');
  await putIntents(fleet, 2);
  await changeKeysAndWeights(fleet, 'w3');
  await fleet.w.run(fleet.w.now() + 300);
  const disks: RecordedDisk[] = [];
  for (const name of CORE_NAMES) disks.push(copyOf(fleet, name, `fleet-${name}`));
  await beginJointSet(fleet);
  disks.push(copyOf(fleet, 'core-1', 'joint-core-1'));
  return disks;
}

async function recordLong(): Promise<RecordedDisk[]> {
  const fleet = await found(LONG_SEED);
  await putIntents(fleet, 1);
  await vote(fleet, 'first');
  await restart(fleet, 'core-1');
  await putIntents(fleet, LONG_RULES);
  await putIntents(fleet, LONG_RULES + 1);
  await fleet.w.run(fleet.w.now() + 300);
  const inLog = copyOf(fleet, 'core-1', 'long-core-1');
  await restart(fleet, 'core-1');
  await putIntents(fleet, LONG_RULES + 2);
  return [inLog, copyOf(fleet, 'core-1', 'long-slot-core-1')];
}

/** A disk whose synced data had changed, after a controller has opened it: it counts as a new one, and says so. */
async function spoiltDisk(files: DiskFiles): Promise<RecordedDisk> {
  const damaged: DiskFiles = new Map();
  for (const { sort, files: changed } of damagedForms(files))
    if (sort === 'synced data changed' && damaged.size === 0)
      for (const [name, bytes] of changed) damaged.set(name, bytes);
  await writeOn(damaged);
  return { name: 'spoilt-core-2', files: damaged };
}

/** A disk in the form of version 0.1, which the present code only reads. */
function oldDisk(): RecordedDisk {
  const accepted = { key: 'intents', epoch: 1, by: 'core-1.a', number: 1, value: { note: 'one' } };
  const later = { ...accepted, number: 2, value: { note: 'two' } };
  const promised = { epoch: 1, by: 'core-1.a' };
  const done = { key: 'first', run: 'run-1', state: 'done' };
  const files: DiskFiles = new Map([
    ['slot-1', legacyFrame({ gen: 1, disk: 'old', cells: [] })],
    ['slot-0', legacyFrame({ gen: 2, disk: 'old', cells: [['intents', { promised, accepted }]] })],
    ['log-1', new Uint8Array(0)],
    [
      'log-0',
      Buffer.concat([
        legacyFrame({ key: 'intents', promised, accepted: later }),
        legacyFrame({ key: 'intents', learned: true }),
      ]),
    ],
    ['votes-1', Buffer.concat([legacyFrame({ gen: 4 }), legacyFrame({ vote: done })])],
    ['votes-0', legacyFrame({ gen: 3 })],
  ]);
  return { name: 'version-0.1', files };
}

/** Runs the fleets and gives the disks that they leave; the same in each run. */
export async function recordDisks(): Promise<RecordedDisk[]> {
  const fleet = await recordFleet();
  const spoilt = await spoiltDisk(fleet[1].files);
  return [...fleet, spoilt, ...(await recordLong()), oldDisk()];
}
