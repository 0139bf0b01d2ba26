/**
 * A configuration whose objects have their fields in another order than the one before: what the disks of its voters
 * give back after a restart, also disks that release 7dda877 wrote.
 */

import { readFileSync } from 'node:fs';
import { resolve } from 'node:path';
import { pack, unpack } from 'msgpackr';
import { ControlStore } from '../../src/control/storage/control-store';
import { decodeFrames, encodeFrame } from '../../src/control/storage/frames';
import { encodeLogEntry } from '../../src/control/storage/register-state';
import {
  deltaMessage,
  InlineChange,
  readChange,
} from '../../src/shared/replication/change-message';
import { makeDelta } from '../../src/shared/replication/delta';
import { VersionedValue } from '../../src/shared/state/versions';
import { openDisk } from '../../tools/compatibility/disk-state';
import { loadFiles } from '../../tools/compatibility/fixture-files';
import { DiskFiles } from '../../tools/sim/disk-files';
import { openStore } from './storage-fixture';

const FIXTURES = resolve(__dirname, '../../../test/fixtures/stored-7dda877');
const MESSAGES = resolve(__dirname, '../../../test/fixtures/messages-7dda877');
const CORES = [1, 2, 3];
const ROUTES = 12;

/** A configuration as operators send it. */
function configuration(revision: number, timeoutMs: number): object {
  const routes: object[] = [];
  for (let i = 0; i < ROUTES; i++)
    routes.push({
      name: `r-${i}`,
      hostname: 'desk.example',
      pathPrefix: `/desk${i}/`,
      routeType: 'safe',
      timeoutMs: i === 0 ? timeoutMs : 4000,
      targetLatencyMs: 300,
      priority: 0,
      service: 'desk',
      maxAttempts: 2,
      public: true,
    });
  const services = [
    {
      name: 'desk',
      healthCheckPath: '/health',
      maxConnections: 170,
      protocol: 'h1',
      tls: false,
    },
  ];
  const limits = {
    maxHeaderBytes: 16384,
    maxBodyBytes: 4194304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15000,
  };
  return { revision, routes, services, limits, tenants: [] };
}

/** The same value with the fields of each object in the opposite order. */
function reordered(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(reordered);
  if (typeof value !== 'object' || value === null) return value;
  return Object.fromEntries(Object.entries(value).reverse().map(reorderedField));
}

function reorderedField([name, value]: [string, unknown]): [string, unknown] {
  return [name, reordered(value)];
}

function versionAt(number: number, value: unknown): VersionedValue {
  return { key: 'deployment', epoch: 1, by: 'a', number, value };
}

const FIRST = versionAt(1, { revision: 1, doc: configuration(1, 3000) });
const SECOND = versionAt(2, { revision: 2, doc: reordered(configuration(2, 3500)) });

/** Each disk that had confirmed the change counted as a new one at the next start, and no controller could vote. */
async function survivesRestart(): Promise<void> {
  const files: DiskFiles = new Map();
  const store = await openStore(files);
  for (const change of [FIRST, SECOND]) {
    await store.put({ key: 'deployment', accepted: change });
    await store.put({ key: 'deployment', learned: true });
  }
  const again = await openStore(files, 9);
  expect({ disk: again.diskId, isCorrupt: again.isCorrupt }).toEqual({
    disk: store.diskId,
    isCorrupt: false,
  });
  expect(JSON.stringify(again.registers.get('deployment')?.learned)).toBe(JSON.stringify(SECOND));
}

/** One field that changes and one that is added in front of others, deep in a configuration. */
function storedAsReadableDeltas(): void {
  const deep = { first: 1, inner: { one: 1, two: 2 } };
  const base = versionAt(1, { revision: 1, doc: { ...configuration(1, 3000), deep } });
  for (const changed of [
    { first: 1, inner: { two: 3, one: 1 } },
    { zeroth: 0, first: 1, inner: { one: 1, two: 2 } },
  ]) {
    const next = versionAt(2, { revision: 2, doc: { ...configuration(2, 3000), deep: changed } });
    const { acceptedDelta } = encodeLogEntry({ key: 'deployment', accepted: next }, base);
    expect(acceptedDelta).toBeDefined();
    const read = readChange(base, deltaMessage(acceptedDelta!));
    expect(JSON.stringify(read)).toBe(JSON.stringify(next));
  }
}

/** Disks that release 7dda877 left when its processes were killed after such a change. */
async function recordedDisksAreRead(): Promise<void> {
  const diskIds = new Set<string>();
  for (const core of CORES) {
    const { slots: store } = await openDisk(loadFiles(`${FIXTURES}/reordered-core-${core}`));
    expect(store.isCorrupt).toBe(false);
    diskIds.add(store.diskId);
    const { learned } = store.registers.get('deployment')!;
    expect(learned?.value).toMatchObject({ revision: 2, doc: configuration(2, 3500) });
  }
  expect(diskIds).toEqual(votersOf(await openedVoters()));
}

/** The disk id and the configuration of a disk that was opened. */
function identityOf(store: ControlStore): object {
  const { diskId, isCorrupt, registers } = store;
  return { diskId, isCorrupt, learned: registers.get('deployment')?.learned };
}

/** Disks that release 7dda877 had taken for lost at its own restart: they kept their new ids, and nothing voted. */
async function misjudgedDisksAreRestored(): Promise<void> {
  for (const core of CORES) {
    const original = await openDisk(loadFiles(`${FIXTURES}/reordered-core-${core}`));
    const expected = identityOf(original.slots);
    const files = loadFiles(`${FIXTURES}/restarted-core-${core}`);
    for (let start = 0; start < 3; start++) {
      const { slots: store, kept } = await openDisk(files);
      expect(identityOf(store)).toEqual(expected);
      expect(store.isOwnDiskId(kept.disk)).toBe(true);
    }
  }
}

/** What was written, or may have been, after a disk had counted as new stays. */
async function usedDisksStayNew(): Promise<void> {
  const restarted = loadFiles(`${FIXTURES}/restarted-core-1`);
  const used = new Map(restarted);
  const entry = encodeFrame([{ key: 'deployment', promised: { epoch: 9, by: 'b' } }]);
  used.set('log-0', Buffer.concat([restarted.get('log-0')!, entry]));
  const changed = new Map(restarted);
  const log = Buffer.from(restarted.get('log-1')!);
  log[log.length - 1] ^= 1;
  changed.set('log-1', log);
  const newest = decodeFrames(restarted.get('slot-0')).values[0] as { disk: string };
  for (const files of [used, changed]) {
    const { slots: store } = await openDisk(files);
    expect(store.isCorrupt).toBe(true);
    expect(store.diskId).toBe(newest.disk);
  }
}

async function openedVoters(): Promise<VersionedValue | undefined> {
  const { slots: store } = await openDisk(loadFiles(`${FIXTURES}/reordered-core-1`));
  return store.registers.get('voters')?.learned;
}

function votersOf(voters: VersionedValue | undefined): Set<string> {
  const disks = new Set<string>();
  for (const { disk } of (voters?.value as { now: { disk: string }[] }).now) disks.add(disk);
  return disks;
}

/** A message of release 7dda877. */
function recordedMessage(name: string): InlineChange {
  return unpack(readFileSync(`${MESSAGES}/${name}`)) as InlineChange;
}

/** What release 7dda877 sends of such a change is refused, so that the complete value is asked for; all else is read. */
function recordedMessagesAreRead(): void {
  const sameOrder = versionAt(2, { revision: 2, doc: configuration(2, 3500) });
  expect(readChange(FIRST, recordedMessage('delta-same-order'))).toEqual(sameOrder);
  expect(readChange(FIRST, recordedMessage('delta-reordered'))).toBeUndefined();
}

/** What is sent and stored of a change in the usual order is what release 7dda877 reads. */
function usualMessagesAreTheSame(): void {
  const sameOrder = versionAt(2, { revision: 2, doc: configuration(2, 3500) });
  const delta = makeDelta(FIRST, sameOrder)!;
  const bytes = readFileSync(`${MESSAGES}/delta-same-order`);
  expect(Buffer.compare(pack(deltaMessage(delta)), bytes)).toBe(0);
}

test('a configuration with its fields in another order survives a restart', survivesRestart);
test(
  'fields that change their order are stored as deltas that lead to them',
  storedAsReadableDeltas,
);
test('disks of release 7dda877 with such a change keep it and their ids', recordedDisksAreRead);
test('disks that release 7dda877 took for lost are themselves again', misjudgedDisksAreRestored);
test('disks that were used since, or have really changed, stay new ones', usedDisksStayNew);
test('deltas of release 7dda877 are read where they are exact', recordedMessagesAreRead);
test('deltas of the usual order are those of release 7dda877', usualMessagesAreTheSame);
