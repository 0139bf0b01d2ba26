/**
 * Files that were cut, changed, emptied or lost, and files of version 0.1.
 */

import { openControlStore } from '../../src/control/storage/control-store';
import { StoredVotes, readStoredVotes } from '../../src/control/storage/vote-files';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { errorOrValue } from '../../src/shared/errors/errors';
import { legacyFrame } from '../../tools/compatibility/legacy-frame';
import {
  acceptedEntry,
  acceptedNumber,
  openStore,
  portsWithFiles,
  corruptedCopies,
} from './storage-fixture';
import { DiskFiles } from '../../tools/sim/disk-files';

async function everyCut(): Promise<void> {
  const files: DiskFiles = new Map();
  const store = await openStore(files);
  const ends: { log: number; number: number }[] = [{ log: files.get('log-1')!.length, number: 0 }];
  for (let number = 1; number <= 6; number++) {
    await store.put(acceptedEntry(number));
    ends.push({ log: files.get('log-1')!.length, number });
  }
  const log = files.get('log-1')!;
  for (let cut = ends[0].log; cut <= log.length; cut++) {
    const want = ends.filter(before).pop()!.number;
    function before(e: { log: number }): boolean {
      return e.log <= cut;
    }
    for (const hole of [0, 700]) {
      const torn: DiskFiles = new Map(files);
      torn.set('log-1', Buffer.concat([log.subarray(0, cut), Buffer.alloc(hole)]));
      const again = await openStore(torn, 9);
      expect({ cut, hole, number: acceptedNumber(again), disk: again.diskId }).toEqual({
        cut,
        hole,
        number: want,
        disk: store.diskId,
      });
    }
  }
}

async function everyCorruptByte(): Promise<void> {
  const files: DiskFiles = new Map();
  const first = await openStore(files);
  await first.put(acceptedEntry(1));
  const store = await openStore(files);
  for (let number = 2; number <= 4; number++) await store.put(acceptedEntry(number));
  let kept = 0;
  for (const x of corruptedCopies(files)) {
    const again = await openStore(x.files, 9);
    const same = again.diskId === first.diskId;
    if (same) kept++;
    expect({
      what: x.what,
      forgot: same && acceptedNumber(again) !== 4,
      isCorrupt: again.isCorrupt,
    }).toEqual({
      what: x.what,
      forgot: false,
      isCorrupt: !same,
    });
    const later = await openStore(x.files, 10);
    expect({ what: x.what, disk: later.diskId, isCorrupt: later.isCorrupt }).toEqual({
      what: x.what,
      disk: again.diskId,
      isCorrupt: again.isCorrupt,
    });
  }
  expect(kept).toBeGreaterThan(files.get('slot-0')!.length + files.get('slot-1')!.length);
}

test(
  'a log cut at any byte, or with a hole at its end, gives what was complete before it',
  everyCut,
);

test(
  'a byte changed anywhere loses nothing, or makes it a new disk that does not vote',
  everyCorruptByte,
);

async function legacyFolder(): Promise<void> {
  const one = { key: 'k', epoch: 1, by: 'a', number: 1, value: 1 };
  const vote = { key: 'x', run: 'r1', state: 'done' };
  const files: DiskFiles = new Map([
    ['slot-1', legacyFrame({ gen: 1, disk: 'd', cells: [] })],
    [
      'slot-0',
      legacyFrame({
        gen: 2,
        disk: 'd',
        cells: [['k', { promised: { epoch: 1, by: 'a' }, accepted: one }]],
      }),
    ],
    ['log-1', Buffer.alloc(0)],
    [
      'log-0',
      Buffer.concat([legacyFrame(acceptedEntry(5)), legacyFrame({ key: 'k', learned: true })]),
    ],
    ['votes-1', Buffer.concat([legacyFrame({ gen: 4 }), legacyFrame({ vote })])],
    ['votes-0', legacyFrame({ gen: 3 })],
  ]);
  for (let i = 0; i < 4; i++) {
    const storedVotes = (await readStoredVotes(portsWithFiles(files))).extract() as StoredVotes;
    const [, store] = errorOrValue(
      await openControlStore(portsWithFiles(files), 1 << 20, storedVotes),
    );
    expect({
      i,
      disk: store!.diskId,
      isCorrupt: store!.isCorrupt,
      number: acceptedNumber(store!),
      learned: store!.registers.get('k')?.learned?.number,
    }).toEqual({ i, disk: 'd', isCorrupt: false, number: 5, learned: 5 });
    const votes = new IdempotencyVotes(store!, portsWithFiles(files), nobody, 1000);
    await votes.start(storedVotes);
    expect((await votes.listVotes({ begins: 'x' })).extract()).toMatchObject({ votes: [vote] });
  }
  function nobody(): undefined {
    return undefined;
  }
}

async function missingVoteFiles(): Promise<void> {
  const files: DiskFiles = new Map();
  const store = await openStore(files);
  await store.put(acceptedEntry(1));
  for (const disk of [store.diskId, '']) {
    const [, again] = errorOrValue(
      await openControlStore(portsWithFiles(new Map(files), 9), 1 << 20, {
        disk,
        isCorrupt: false,
      }),
    );
    expect(again!.diskId === store.diskId).toBe(disk === store.diskId);
  }
}

test('a data folder of version 0.1 is taken over completely, and stays so', legacyFolder);
test('a disk whose votes files are gone counts as a new one', missingVoteFiles);
