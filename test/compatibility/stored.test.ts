/**
 * Data that outlives a process, as an earlier version wrote it: the present code starts from it and has the same state.
 */

import { spawnSync } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync, statSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Controller } from '../../src/control/controller';
import { Result } from '../../src/shared/errors/errors';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { damagedForms } from '../../tools/compatibility/disk-damage';
import { cellsOf, stateOf } from '../../tools/compatibility/disk-state';
import { DiskFiles } from '../../tools/sim/disk-files';
import { DamagedState, ExpectedDisk, expectedOf } from '../../tools/compatibility/expected-disks';
import {
  fixturePath,
  HISTORIES,
  loadDisk,
  loadDump,
  loadExpected,
} from '../../tools/compatibility/fixtures';
import { servedBy, startOn } from '../../tools/compatibility/served';
import { readDump } from '../../tools/compatibility/stored-dump';
import { judgeHistory } from '../../tools/compatibility/stored-history';
import { SimFleet } from '../../tools/sim/simfleet';
import { writeOn } from '../../tools/compatibility/write-on';

const expected = loadExpected();
const DISKS = Object.keys(expected.disks);
const VOTE_MS = 100;
const FLEET = ['core-1', 'core-2', 'core-3'];

/** What the damaged forms of a disk must give, whatever was recorded. */
function checkDamaged(state: ExpectedDisk['state'], damaged: DamagedState[]): void {
  const whole = damaged.find(isHole)!;
  const before = damaged.find(isWithoutLast);
  for (const form of damaged) {
    const { what, sort, isSameDisk, spoilt, cells, votes } = form;
    const isLost = sort === 'synced data changed';
    expect({ what, isSameDisk, spoilt }).toEqual({
      what,
      isSameDisk: !isLost,
      spoilt: isLost || state.spoilt,
    });
    if (sort === 'slot unreadable')
      expect({ what, cells, votes }).toEqual({ what, cells: whole.cells, votes: whole.votes });
    if (sort === 'torn' && what.endsWith('cut by 1'))
      expect({ what, cells }).toEqual({ what, cells: before!.cells });
  }
  function isHole(form: DamagedState): boolean {
    return form.sort === 'torn' && form.what.endsWith('with a hole at its end');
  }
  function isWithoutLast(form: DamagedState): boolean {
    return form.sort === 'torn' && form.what.endsWith('without its last entry');
  }
}

async function hasSameState(name: string): Promise<void> {
  const now = await expectedOf(name, loadDisk(name));
  expect(now.state).toEqual(expected.disks[name].state);
  expect(now.damaged).toEqual(expected.disks[name].damaged);
  expect(now.writtenOn).toEqual(expected.disks[name].writtenOn);
  if (now.damaged.length > 0) checkDamaged(now.state, now.damaged);
}

async function isWrittenOn(name: string): Promise<void> {
  const files = loadDisk(name);
  const written = await writeOn(files);
  const again = await stateOf(files);
  expect(again.disk).toBe(written.disk);
  expect(again.spoilt).toBe(expected.disks[name].state.spoilt);
  expect(again.cells).toEqual(written.cells);
  expect([...again.votes].sort(byKey)).toEqual([...written.votes].sort(byKey));
  expect(again.votes).toEqual(expect.arrayContaining(expected.disks[name].state.votes));
}

function byKey(a: { key: string }, b: { key: string }): number {
  return a.key < b.key ? -1 : 1;
}

/** Starts one controller on a disk, with no other that it could reach. */
async function startAlone(files: DiskFiles): Promise<Controller> {
  const fleet = await startOn(new Map([['core-1', files]]));
  return fleet.controllers.get('core-1')!;
}

/** The learned value of each key. */
function learnedOf(cells: Record<string, unknown>): Record<string, unknown> {
  const learned: Record<string, unknown> = {};
  for (const [key, cell] of Object.entries(cells))
    learned[key] = (cell as { learned?: unknown }).learned;
  return learned;
}

async function startsAController(name: string): Promise<void> {
  const { state } = expected.disks[name];
  const controller = await startAlone(loadDisk(name));
  expect(controller.store.diskId).toBe(state.disk);
  expect(controller.store.isCorrupt).toBe(state.spoilt);
  expect(learnedOf(cellsOf(controller.store))).toEqual(learnedOf(state.cells));
  const held = (await controller.votes.listVotes({ begins: '' })).extract() as { votes: unknown };
  expect(held.votes).toEqual(state.votes);
}

async function jointSetStays(): Promise<void> {
  const controller = await startAlone(loadDisk('joint-core-1'));
  const voters = controller.voters()!;
  expect(voters.now.length).toBe(3);
  expect(voters.next?.length).toBe(3);
  expect(controller.committedValue(CONTROL_KEYS.voters)?.value).toEqual(voters);
}

function fleetDisks(): Map<string, DiskFiles> {
  const disks = new Map<string, DiskFiles>();
  for (const machine of FLEET) disks.set(machine, loadDisk(`fleet-${machine}`));
  return disks;
}

async function isServed(): Promise<void> {
  expect(await servedBy(fleetDisks())).toEqual(expected.served);
}

async function isServedFromTorn(): Promise<void> {
  const disks = fleetDisks();
  for (const form of damagedForms(disks.get('core-1')!)) {
    const isTried = form.sort === 'slot unreadable' || /cut by 1$|last 40$/.test(form.what);
    if (!isTried) continue;
    const answers = await servedBy(new Map(disks).set('core-1', form.files));
    expect({ what: form.what, answers }).toEqual({ what: form.what, answers: expected.served });
  }
}

/** Asks the only controller of a fleet for its vote, and runs virtual time on until it answers. */
async function voteAt(fleet: SimFleet): Promise<Result<unknown>> {
  const { votes } = fleet.controllers.get('core-1')!;
  const answers: Result<unknown>[] = [];
  function answered(answer: Result<unknown>): void {
    answers.push(answer);
  }
  void votes.vote({ key: 'other', run: 'run-1' }).then(answered);
  await fleet.w.run(fleet.w.now() + VOTE_MS);
  expect(answers.length).toBe(1);
  return answers[0];
}

async function doesNotVote(): Promise<void> {
  const forms = damagedForms(loadDisk('fleet-core-1'));
  let tried = 0;
  for (const { sort, what, files } of forms) {
    if (sort !== 'synced data changed') continue;
    tried++;
    const fleet = await startOn(new Map([['core-1', files]]));
    const { store: slots } = fleet.controllers.get('core-1')!;
    expect({ what, spoilt: slots.isCorrupt }).toEqual({ what, spoilt: true });
    expect(slots.diskId).not.toBe(expected.disks['fleet-core-1'].state.disk);
    expect((await voteAt(fleet)).extract()).toMatchObject({
      certainty: 'refused',
      code: 'no-voter',
    });
  }
  expect(tried).toBeGreaterThan(2);
  const whole = await startOn(new Map([['core-1', loadDisk('fleet-core-1')]]));
  expect((await voteAt(whole)).isRight()).toBe(true);
}

/** The files below a folder by their paths, in order. */
function filesBelow(folder: string): string[] {
  return (readdirSync(folder, { recursive: true }) as string[]).filter(isFile).sort();
  function isFile(path: string): boolean {
    return statSync(join(folder, path)).isFile();
  }
}

/** Records anew in a process of its own: values that came over a connection are of another realm within a test. */
function isRecordedTheSame(): void {
  const folder = mkdtempSync(join(tmpdir(), 'stored-'));
  try {
    const recorder = join(__dirname, '../../tools/compatibility/record-stored.js');
    const run = spawnSync(process.execPath, [recorder, folder], { encoding: 'utf8' });
    expect({ status: run.status, stderr: run.stderr }).toEqual({ status: 0, stderr: '' });
    expect(filesBelow(folder)).toEqual(filesBelow(fixturePath()));
    for (const file of filesBelow(folder)) {
      const isSame = readFileSync(join(folder, file)).equals(readFileSync(fixturePath(file)));
      expect({ file, isSame }).toEqual({ file, isSame: true });
    }
  } finally {
    rmSync(folder, { recursive: true });
  }
}

function historyIsJudgedTheSame(): void {
  expect(Object.keys(expected.histories).length).toBeGreaterThan(2);
  for (const [name, verdict] of Object.entries(expected.histories))
    expect({ name, ...judgeHistory(fixturePath(HISTORIES, name)) }).toEqual({ name, ...verdict });
}

async function dumpIsRead(): Promise<void> {
  expect(await readDump(loadDump())).toEqual(expected.dump);
}

test.each(DISKS)('%s has the same state, also torn, cut or changed, and written on', hasSameState);
test.each(DISKS)('%s can be opened anew after it was written on', isWrittenOn);
test.each(DISKS)('a controller that starts on %s has the same values and votes', startsAController);
test('a joint set of voters is still under way', jointSetStays);
test('controllers that start on the disks of a fleet serve the same values', isServed);
test('they serve the same where one disk is torn or its newest slot unreadable', isServedFromTorn);
test('a controller whose synced data changed is a new disk and does not vote', doesNotVote);
test('the same runs write the same bytes and are judged the same', isRecordedTheSame);
test('a recorded history has the same verdict', historyIsJudgedTheSame);
test('a replica takes over the dump of an indexer', dumpIsRead);
