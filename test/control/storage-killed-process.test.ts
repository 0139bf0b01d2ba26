/**
 * A process that is killed between a write and its sync, and a loss of power in a later life: what the later life
 * read was never synced, and is gone then.
 */

import { openControlStore, ControlStore } from '../../src/control/storage/control-store';
import { StoredVotes, readStoredVotes } from '../../src/control/storage/vote-files';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { errorOrValue } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { Folder, makeFolder, Remainder } from '../../tools/model/disk';
import { acceptedEntry, acceptedNumber, portsWithFiles } from './storage-fixture';

const REMAINDERS: Remainder[] = ['lost', 'empty', 'torn', 'kept'];
const MAX_SYNCS = 12;
const KEEP_MS = 1000;

/** Ports of one life on a folder; from the sync with this number on, none comes back. */
function portsOf(folder: Folder, life: number, syncs: number): Ports {
  let left = syncs;
  function schedule(_label: string, sync: () => void): void {
    if (left-- > 0) sync();
  }
  return { ...portsWithFiles(new Map(), life), disk: folder.port(schedule) };
}

/** Starts a life as a controller does; undefined where it did not come that far. */
async function start(
  folder: Folder,
  life: number,
  syncs: number,
): Promise<ControlStore | undefined> {
  const ports = portsOf(folder, life, syncs);
  function nobody(): undefined {
    return undefined;
  }
  async function run(): Promise<ControlStore> {
    const storedVotes = (await readStoredVotes(ports)).extract() as StoredVotes;
    const [, store] = errorOrValue(await openControlStore(ports, 1 << 20, storedVotes));
    await new IdempotencyVotes(store!, ports, nobody, KEEP_MS).start(storedVotes);
    await store!.put(acceptedEntry(life));
    return store!;
  }
  return Promise.race([run(), runMicrotasks()]);
}

/** Lets all run that can, and gives nothing. */
async function runMicrotasks(): Promise<undefined> {
  function turn(go: () => void): void {
    setImmediate(go);
  }
  for (let i = 0; i < 20; i++) await new Promise<void>(turn);
  return undefined;
}

async function killedInAnyWrite(): Promise<void> {
  for (let syncs = 0; syncs < MAX_SYNCS; syncs++) {
    for (const remainder of REMAINDERS) {
      const folder = makeFolder();
      let disk = '';
      for (let life = 1; life <= 4; life++) disk = (await start(folder, life, Infinity))!.diskId;
      await start(folder, 5, syncs);
      await start(folder, 6, Infinity);
      const names = folder.unsynced();
      folder.losePower(new Map(names.map(withRemainder)));
      function withRemainder(name: string): [string, Remainder] {
        return [name, remainder];
      }
      const again = await start(folder, 7, Infinity);
      const what = { syncs, remainder, names };
      expect({
        ...what,
        disk: again!.diskId,
        isCorrupt: again!.isCorrupt,
        number: acceptedNumber(again!),
      }).toEqual({
        ...what,
        disk,
        isCorrupt: false,
        number: 7,
      });
    }
  }
}

test(
  'a process killed in any write, then a life, then a loss of power: the disk is the voter that it was',
  killedInAnyWrite,
);
