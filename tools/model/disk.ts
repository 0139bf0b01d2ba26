/** A simulated data folder: what is written is cached at once, and durable after its sync. */
import { Right } from 'purify-ts';
import { Result } from '../../src/shared/errors/errors';
import { Disk } from '../../src/shared/ports/disk';
import { digest } from './scheduler';

interface File {
  cached: Uint8Array;
  /** Undefined where also the name isn't durable. */
  durable?: Uint8Array;
  /** Whether its durable bytes are replaced, not only added to, by what isn't synced. */
  isRewritten: boolean;
}

/** What a power loss leaves of a file with unsynced bytes. */
export type Remainder = 'lost' | 'empty' | 'torn' | 'kept';

/** One machine's folder; it outlives the processes that write to it. */
export interface Folder {
  /** The port of one process. `schedule` runs a sync later, or at once. */
  port: (schedule: (label: string, sync: () => void) => void) => Disk;
  /** Names of files with unsynced bytes. */
  unsynced: () => string[];
  losePower: (remainders: Map<string, Remainder>) => void;
  wipe: () => void;
  wasWiped: () => boolean;
  /** A port on a copy of what is durable; it takes writes at once. */
  durableCopy: () => Disk;
  digest: () => string;
  /** Rises with each change of what is durable. */
  version: () => number;
}

const NO_BYTES = new Uint8Array(0);

function join(a: Uint8Array | undefined, b: Uint8Array): Uint8Array {
  return Buffer.concat([a ?? NO_BYTES, b]);
}

/** What a power loss leaves of one file. */
function remainderOf(file: File, remainder: Remainder): Uint8Array | undefined {
  switch (remainder) {
    case 'lost':
      return file.durable;
    case 'empty':
      return isAppended(file) ? file.durable : NO_BYTES;
    case 'torn':
      return tornOf(file);
    case 'kept':
      return file.cached;
  }
}

function isAppended(file: File): boolean {
  return file.durable !== undefined && !file.isRewritten;
}

function tornOf(file: File): Uint8Array {
  const from = isAppended(file) ? file.durable!.length : 0;
  return file.cached.subarray(0, from + ((file.cached.length - from) >> 1));
}

/** Makes an empty folder; with `syncedReads`, what is read is synced first. */
export function makeFolder(syncedReads = false): Folder {
  const files = new Map<string, File>();
  let version = 0;
  let wiped = false;
  let digested: string | undefined;

  function changed(): void {
    digested = undefined;
  }

  function read(name: string): Promise<Result<Uint8Array | undefined>> {
    const file = files.get(name);
    if (syncedReads && file && file.durable !== file.cached) {
      file.durable = file.cached;
      version++;
      changed();
    }
    return Promise.resolve(Right(file?.cached));
  }

  function port(schedule: (label: string, sync: () => void) => void): Disk {
    function save(name: string, bytes: Uint8Array, verb: string): Promise<Result<void>> {
      const before = files.get(name);
      const isUnsynced = before !== undefined && before.durable !== before.cached;
      const isRewritten = verb === 'write' || (isUnsynced && before.isRewritten);
      const file: File = { cached: bytes, durable: before?.durable, isRewritten };
      files.set(name, file);
      changed();
      function wait(done: (o: Result<void>) => void): void {
        function sync(): void {
          file.durable = file.cached;
          version++;
          changed();
          done(Right(undefined));
        }
        schedule(`syncs ${verb} ${name}`, sync);
      }
      return new Promise(wait);
    }
    function write(name: string, bytes: Uint8Array): Promise<Result<void>> {
      return save(name, Uint8Array.from(bytes), 'write');
    }
    function append(name: string, bytes: Uint8Array): Promise<Result<void>> {
      return save(name, join(files.get(name)?.cached, bytes), 'append');
    }
    return { read, write, append };
  }

  function unsynced(): string[] {
    const names: string[] = [];
    for (const [name, file] of files) if (file.durable !== file.cached) names.push(name);
    return names;
  }

  function losePower(remainders: Map<string, Remainder>): void {
    for (const name of unsynced()) {
      const left = remainderOf(files.get(name)!, remainders.get(name) ?? 'lost');
      if (left) files.set(name, { cached: left, durable: left, isRewritten: false });
      else files.delete(name);
    }
    version++;
    changed();
  }

  function wipe(): void {
    files.clear();
    wiped = true;
    version++;
    changed();
  }

  function wasWiped(): boolean {
    return wiped;
  }

  function durableCopy(): Disk {
    const copy = makeFolder();
    const bytes = new Map<string, Uint8Array>();
    for (const [name, file] of files) if (file.durable) bytes.set(name, file.durable);
    function atOnce(_label: string, sync: () => void): void {
      sync();
    }
    function readDurable(name: string): Promise<Result<Uint8Array | undefined>> {
      return Promise.resolve(Right(bytes.get(name)));
    }
    return { ...copy.port(atOnce), read: readDurable };
  }

  function digestOf(): string {
    if (digested) return digested;
    const parts: string[] = [];
    for (const [name, file] of [...files].sort())
      parts.push(`${name} ${toHex(file.cached)} ${toHex(file.durable)}`);
    digested = digest(parts.join('\n'));
    return digested;
  }

  function versionNow(): number {
    return version;
  }

  return {
    port,
    unsynced,
    losePower,
    wipe,
    wasWiped,
    durableCopy,
    digest: digestOf,
    version: versionNow,
  };
}

function toHex(bytes: Uint8Array | undefined): string {
  return bytes === undefined ? '-' : Buffer.from(bytes).toString('latin1');
}
