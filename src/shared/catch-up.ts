import { AppliedEntry, appliedEntries, ChangeMessage, isReached } from './change-message';
import { Exchange } from './connections';
import { open } from './errors';
import { Numbered } from './words';

/** What fetching missed changes needs of its node. */
export interface CatchUpParts {
  held(key: string): Numbered | undefined;
  /** Applies what came; false where that failed. */
  apply(messages: ChangeMessage[]): Promise<boolean>;
  /** How long an answer may take. */
  within: number;
}

/** Makes the fetching of missed changes: each key from one controller at a time, however many tell that it is missing. */
export function makeCatchUp(
  parts: CatchUpParts,
): (exchange: Exchange, lacking: AppliedEntry[]) => Promise<boolean> {
  const fetching = new Map<string, Promise<boolean>>();

  function isMissing([key, epoch, by, number]: AppliedEntry): boolean {
    return !isReached(parts.held(key), { epoch, by, number });
  }

  function heldEntry(key: string): AppliedEntry {
    const held = parts.held(key);
    return held ? appliedEntries([held])[0] : [key, 0, '', 0];
  }

  async function fetchFrom(exchange: Exchange, keys: string[]): Promise<boolean> {
    const asked = { held: keys.map(heldEntry) };
    const [fault, messages] = open(await exchange.ask('fetch-changes', asked, parts.within));
    if (fault) return false;
    return parts.apply(messages as ChangeMessage[]);
  }

  /** Comes back when what is missing was fetched, here or by another call; false where this controller did not give it. */
  async function catchUp(exchange: Exchange, lacking: AppliedEntry[]): Promise<boolean> {
    const missing = lacking.filter(isMissing).map(keyOf);
    const keys = missing.filter(isNotUnderWay);
    const others = missing.map(underWay);
    if (keys.length === 0) return (await Promise.all(others)).every(isTrue);
    const done = fetchFrom(exchange, keys);
    for (const key of keys) fetching.set(key, done);
    const fetched = await done;
    for (const key of keys) if (fetching.get(key) === done) fetching.delete(key);
    return fetched;
  }

  function isNotUnderWay(key: string): boolean {
    return !fetching.has(key);
  }

  function underWay(key: string): Promise<boolean> | undefined {
    return fetching.get(key);
  }

  return catchUp;
}

function keyOf(entry: AppliedEntry): string {
  return entry[0];
}

function isTrue(fetched: boolean | undefined): boolean {
  return fetched !== false;
}
