import { crc32 } from 'node:zlib';
import { pack } from 'msgpackr';
import { openControlStore } from '../../src/control/storage/control-store';
import { StoredVotes, readStoredVotes } from '../../src/control/storage/vote-files';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { errorOrValue } from '../../src/shared/errors/errors';
import {
  acceptedEntry,
  DiskFiles,
  acceptedNumber,
  openStore,
  portsWithFiles,
  corruptedCopies,
} from './storage-fixture';

async function everyCut(): Promise<void> {
  const files: DiskFiles = new Map();
  const s = await openStore(files);
  const ends: { log: number; number: number }[] = [{ log: files.get('log-1')!.length, number: 0 }];
  for (let n = 1; n <= 6; n++) {
    await s.put(acceptedEntry(n));
    ends.push({ log: files.get('log-1')!.length, number: n });
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
        disk: s.diskId,
      });
    }
  }
}

async function everySpoiltByte(): Promise<void> {
  const files: DiskFiles = new Map();
  const first = await openStore(files);
  await first.put(acceptedEntry(1));
  const s = await openStore(files);
  for (let n = 2; n <= 4; n++) await s.put(acceptedEntry(n));
  let kept = 0;
  for (const x of corruptedCopies(files)) {
    const again = await openStore(x.files, 9);
    const same = again.diskId === first.diskId;
    if (same) kept++;
    expect({
      what: x.what,
      forgot: same && acceptedNumber(again) !== 4,
      spoilt: again.isCorrupt,
    }).toEqual({
      what: x.what,
      forgot: false,
      spoilt: !same,
    });
    const later = await openStore(x.files, 10);
    expect({ what: x.what, disk: later.diskId, spoilt: later.isCorrupt }).toEqual({
      what: x.what,
      disk: again.diskId,
      spoilt: again.isCorrupt,
    });
  }
  expect(kept).toBeGreaterThan(files.get('slot-0')!.length + files.get('slot-1')!.length);
}

test('a log cut at any byte, or with a hole at its end, gives what was whole before it', everyCut);

test(
  'a byte changed anywhere loses nothing, or makes it a new disk that does not vote',
  everySpoiltByte,
);

function oldFrame(v: unknown): Buffer {
  const body = pack(v);
  const head = Buffer.alloc(8);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt32BE(crc32(body), 4);
  return Buffer.concat([head, body]);
}

async function oldFolder(): Promise<void> {
  const one = { key: 'k', epoch: 1, by: 'a', number: 1, value: 1 };
  const vote = { key: 'x', run: 'r1', state: 'done' };
  const files: DiskFiles = new Map([
    ['slot-1', oldFrame({ gen: 1, disk: 'd', cells: [] })],
    [
      'slot-0',
      oldFrame({
        gen: 2,
        disk: 'd',
        cells: [['k', { promised: { epoch: 1, by: 'a' }, accepted: one }]],
      }),
    ],
    ['log-1', Buffer.alloc(0)],
    ['log-0', Buffer.concat([oldFrame(acceptedEntry(5)), oldFrame({ key: 'k', learned: true })])],
    ['votes-1', Buffer.concat([oldFrame({ gen: 4 }), oldFrame({ vote })])],
    ['votes-0', oldFrame({ gen: 3 })],
  ]);
  for (let i = 0; i < 4; i++) {
    const kept = (await readStoredVotes(portsWithFiles(files))).extract() as StoredVotes;
    const [, s] = errorOrValue(await openControlStore(portsWithFiles(files), 1 << 20, kept));
    expect({
      i,
      disk: s!.diskId,
      spoilt: s!.isCorrupt,
      number: acceptedNumber(s!),
      learned: s!.registers.get('k')?.learned?.number,
    }).toEqual({ i, disk: 'd', spoilt: false, number: 5, learned: 5 });
    const votes = new IdempotencyVotes(s!, portsWithFiles(files), nobody, 1000);
    await votes.start(kept);
    expect((await votes.listVotes({ begins: 'x' })).extract()).toMatchObject({ votes: [vote] });
  }
  function nobody(): undefined {
    return undefined;
  }
}

async function noVotes(): Promise<void> {
  const files: DiskFiles = new Map();
  const s = await openStore(files);
  await s.put(acceptedEntry(1));
  for (const disk of [s.diskId, '']) {
    const [, again] = errorOrValue(
      await openControlStore(portsWithFiles(new Map(files), 9), 1 << 20, {
        disk,
        isCorrupt: false,
      }),
    );
    expect(again!.diskId === s.diskId).toBe(disk === s.diskId);
  }
}

test('a data folder of version 0.1 is taken over whole, and stays so', oldFolder);
test('a disk whose votes files are gone counts as a new one', noVotes);
