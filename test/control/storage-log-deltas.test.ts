/**
 * A log that holds long values as deltas.
 */

import { Right } from 'purify-ts';
import {
  RegisterState,
  openControlStore,
  ControlStore,
} from '../../src/control/storage/control-store';
import { DecodedFrames, decodeFrames, encodeFrame } from '../../src/control/storage/frames';
import { StoredLogEntry } from '../../src/control/storage/register-state';
import { RecoveredStore } from '../../src/control/storage/recovered-store';
import { recoverStore } from '../../src/control/storage/store-recovery';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { makeKeyOwner } from '../../src/control/consensus/key-owner';
import { makeDelta, versionOf } from '../../src/shared/replication/delta';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { errorOrValue, Result } from '../../src/shared/errors/errors';
import { Disk } from '../../src/shared/ports/disk';
import { Ports } from '../../src/shared/ports/ports';
import { VersionedValue } from '../../src/shared/state/versions';
import { Voter, VoterSet } from '../../src/shared/state/voter-set';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld } from '../../tools/sim/simworld';

const MAX_LOG_BYTES = 1 << 20;

type Files = Map<string, Uint8Array>;

interface WrittenFiles {
  files: Files;
  bytes: number;
  writes: number;
}

/** A disk in memory that counts what is written on it. */
function countingDisk(written: WrittenFiles): Disk {
  function read(name: string): Promise<Result<Uint8Array | undefined>> {
    return Promise.resolve(Right(written.files.get(name)));
  }
  function count(bytes: Uint8Array): void {
    written.bytes += bytes.length;
    written.writes++;
  }
  function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
    count(bytes);
    written.files.set(name, Uint8Array.from(bytes));
    return Promise.resolve(Right(undefined));
  }
  function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
    count(bytes);
    written.files.set(name, Buffer.concat([written.files.get(name) ?? new Uint8Array(0), bytes]));
    return Promise.resolve(Right(undefined));
  }
  return { read, write, append };
}

function portsWithDisk(written: WrittenFiles): Ports {
  const world = makeWorld(1, false);
  return { ...makeNet(world).ports(world.proc('node', '10.1.0.1')), disk: countingDisk(written) };
}

async function openStore(written: WrittenFiles): Promise<ControlStore> {
  return (await openControlStore(portsWithDisk(written), MAX_LOG_BYTES)).extract() as ControlStore;
}

/** A document of some hundred kilobytes, of which a change touches one route. */
function documentAt(revision: number): object {
  const routes: object[] = [];
  for (let i = 0; i < 1400; i++)
    routes.push({
      name: `route-${i}`,
      hostname: `host-${i % 40}.example`,
      pathPrefix: `/prefix-${i}/`,
      routeType: 'streaming',
      timeoutMs: 4000 + (revision % 1400 === i ? revision : 0),
      targetLatencyMs: 300,
      priority: i % 3,
      service: `service-${i % 6}`,
      maxAttempts: 2,
      public: false,
      sessionAffinity: true,
      resumable: true,
      targetGapMs: 250,
    });
  const tenants: object[] = [];
  for (let i = 0; i < 80; i++) tenants.push({ name: `tenant-${i}`, apiKeys: [`key-${i}`] });
  return { revision, routes, tenants };
}

/** One controller's register on a disk of its own, which is its only voter. */
async function makeSingleVoter(
  written: WrittenFiles,
): Promise<{ slots: ControlStore; owner: ReturnType<typeof makeKeyOwner> }> {
  const store = await openStore(written);
  function voters(): VoterSet {
    return { now: [{ disk: store.diskId, at: 'here' }] };
  }
  function ask(_: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    return dispatch([acceptor], type, body, undefined, 'here');
  }
  function nothing(): void {
    // does nothing on purpose
  }
  function learnHere(change: VersionedValue): Promise<unknown> {
    return acceptor.learn({ change });
  }
  const transport = {
    ownerId: 'a.1',
    timeoutMs: 1,
    voters,
    request: ask,
    onLearned: nothing,
    learnLocally: learnHere,
  };
  const acceptor = new Acceptor(store, transport, portsWithDisk(written));
  return { slots: store, owner: makeKeyOwner(store, transport) };
}

const CHANGES = 150;

async function changesCostLittle(): Promise<void> {
  const written: WrittenFiles = { files: new Map(), bytes: 0, writes: 0 };
  const { slots, owner } = await makeSingleVoter(written);
  const whole = JSON.stringify(documentAt(1)).length;
  expect(whole).toBeGreaterThan(300_000);
  for (let revision = 1; revision <= CHANGES; revision++) {
    function make(): Result<unknown> {
      return Right(documentAt(revision));
    }
    expect(errorOrValue(await owner.change('deployment', make))[0]).toBeUndefined();
    if (revision % 10 === 0) {
      const again = await openStore({ files: new Map(written.files), bytes: 0, writes: 0 });
      expect(again.diskId).toBe(slots.diskId);
      expect(again.isCorrupt).toBe(false);
      expect(again.registers.get('deployment')).toEqual(slots.registers.get('deployment'));
    }
  }
  const held = slots.registers.get('deployment')!;
  expect(held.accepted).toBe(held.learned);
  expect(written.bytes / CHANGES).toBeLessThan(whole * 0.06);
  let kept = 0;
  for (const bytes of written.files.values()) kept += bytes.length;
  expect(kept).toBeLessThan(whole * 4);
}

/** A difference whose base the files do not hold: what was synced is gone, and the disk says so. */
async function missingBase(): Promise<void> {
  const learned = { key: 'k', epoch: 1, by: 'a', number: 1, value: documentAt(1) };
  const next = { ...learned, number: 2, value: documentAt(2) };
  for (const base of [learned, { ...learned, number: 7 }]) {
    const files = filesWithEntry(base, { key: 'k', acceptedDelta: makeDelta(learned, next) });
    const store = await openStore({ files, bytes: 0, writes: 0 });
    const fits = base === learned;
    expect({ fits, kept: store.diskId === 'd', isCorrupt: store.isCorrupt }).toEqual({
      fits,
      kept: fits,
      isCorrupt: !fits,
    });
    if (fits) expect(store.registers.get('k')?.accepted).toEqual(next);
  }
}

/** The files of a disk whose snapshot has learned `base`, and whose log then holds one entry. */
function filesWithEntry(base: VersionedValue, entry: StoredLogEntry): Files {
  const register: RegisterState = {
    promised: { epoch: 1, by: 'a' },
    accepted: base,
    learned: base,
  };
  const log = Buffer.concat([encodeFrame({ gen: 1 }), encodeFrame([entry])]);
  return new Map([
    ['slot-1', encodeFrame({ gen: 1, disk: 'd', cells: [['k', register]] })],
    ['log-1', log],
  ]);
}

function recovered(files: Files): RecoveredStore | undefined {
  const [slot0, slot1, log0, log1] = ['slot-0', 'slot-1', 'log-0', 'log-1'].map(framesOf);
  return recoverStore([slot0, slot1], [log0, log1]);
  function framesOf(name: string): DecodedFrames {
    return decodeFrames(files.get(name));
  }
}

/** Operators could not tell why a disk counted as new. */
function namesLoss(): void {
  const learned = { key: 'k', epoch: 1, by: 'a', number: 1, value: documentAt(1) };
  const next = { ...learned, number: 2, value: documentAt(2) };
  const files = filesWithEntry(
    { ...learned, number: 7 },
    { key: 'k', acceptedDelta: makeDelta(learned, next) },
  );
  expect(recovered(files)?.lost).toEqual({
    reason: 'other-base',
    key: 'k',
    version: versionOf(next),
    base: versionOf(learned),
  });
  const log = files.get('log-1')!;
  log[log.length - 1] ^= 1;
  expect(recovered(files)?.lost).toEqual({ reason: 'log-changed' });
}

/** A folder whose slots hold both values of each cell and whose log holds whole ones, as all did before. */
async function folderOfFullValues(): Promise<void> {
  function at(number: number): VersionedValue {
    return { key: 'k', epoch: 1, by: 'a', number, value: documentAt(number) };
  }
  const register: RegisterState = {
    promised: { epoch: 1, by: 'a' },
    accepted: at(2),
    learned: at(1),
  };
  const files: Files = new Map([
    ['slot-1', encodeFrame({ gen: 1, disk: 'd', cells: [['k', register]] })],
    [
      'log-1',
      Buffer.concat([
        encodeFrame({ gen: 1 }),
        encodeFrame([{ key: 'k', learned: true }]),
        encodeFrame([{ key: 'k', promised: { epoch: 1, by: 'a' }, accepted: at(3) }]),
        encodeFrame([
          { key: 'k', learned: true },
          { key: 'k', accepted: at(4) },
        ]),
      ]),
    ],
  ]);
  for (let i = 0; i < 3; i++) {
    const store = await openStore({ files, bytes: 0, writes: 0 });
    expect(store.diskId).toBe('d');
    expect(store.isCorrupt).toBe(false);
    expect(store.registers.get('k')).toEqual({ ...register, accepted: at(4), learned: at(3) });
  }
}

test(
  'changes of a long document cost the disk little, and are read again completely',
  changesCostLittle,
);
test('a delta without its base makes it a new disk', missingBase);
test('a loss is named by its reason and entry', namesLoss);
test('a data folder of full values is read as before', folderOfFullValues);
