/**
 * A journal of which keys changed, in order, by a count of changes that only grows.
 */

/** Which keys changed, in order. */
export interface KeyJournal {
  /** Notes a change of a key. */
  add: (key: string) => void;
  /** How many changes there have been. */
  count: () => number;
  /** The keys that changed after a count, each once; undefined where the journal has dropped some of them. */
  after: (count: number) => string[] | undefined;
}

/** The newest changes that a journal always keeps. */
const MIN_KEPT_CHANGES = 4096;
/** Changes at which a journal is cut down to those. */
const MAX_KEPT_CHANGES = 2 * MIN_KEPT_CHANGES;

/** Makes an empty journal. */
export function makeKeyJournal(): KeyJournal {
  let keys: string[] = [];
  let droppedCount = 0;

  function add(key: string): void {
    keys.push(key);
    if (keys.length < MAX_KEPT_CHANGES) return;
    droppedCount += keys.length - MIN_KEPT_CHANGES;
    keys = keys.slice(-MIN_KEPT_CHANGES);
  }

  function count(): number {
    return droppedCount + keys.length;
  }

  function after(from: number): string[] | undefined {
    if (from < droppedCount) return undefined;
    return from >= count() ? [] : [...new Set(keys.slice(from - droppedCount))];
  }

  return { add, count, after };
}
