import { AppliedEntry, appliedEntries, ChangeMessage, isReached } from './change-message';
import { Exchange } from './connections';
import { open } from './errors';
import { Numbered } from './words';

/** What fetching missed changes needs of its node. */
export interface CatchUpParts {
  held(key: string): Numbered | undefined;
  /** Applies what came, and gives the keys that could not be read or kept. */
  apply(messages: ChangeMessage[]): Promise<string[]>;
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

  /** Fetches keys; what can't be read over what is held here is fetched whole. */
  async function fetchFrom(exchange: Exchange, keys: string[]): Promise<boolean> {
    const unread = await fetchEntries(exchange, keys.map(heldEntry));
    if (!unread || unread.length === 0) return unread !== undefined;
    const left = await fetchEntries(exchange, unread.map(wholeEntry));
    return left?.length === 0;
  }

  /** Fetches the newest versions over the held ones; gives the keys that could not be read, or nothing where no answer came. */
  async function fetchEntries(
    exchange: Exchange,
    held: AppliedEntry[],
  ): Promise<string[] | undefined> {
    const [fault, messages] = open(await exchange.ask('fetch-changes', { held }, parts.within));
    return fault ? undefined : parts.apply(messages as ChangeMessage[]);
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

/** Asks for a key whole. */
function wholeEntry(key: string): AppliedEntry {
  return [key, 0, '', 0];
}

function keyOf(entry: AppliedEntry): string {
  return entry[0];
}

function isTrue(fetched: boolean | undefined): boolean {
  return fetched !== false;
}
