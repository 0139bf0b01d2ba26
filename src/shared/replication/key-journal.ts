/** Which keys changed, in order, by a count that only grows. */
export interface KeyJournal {
  add: (key: string) => void;
  /** How many changes there were. */
  count: () => number;
  /** The keys that changed after a count, each once; undefined where that is too long ago. */
  after: (count: number) => string[] | undefined;
}

/** Changes that a journal keeps at the least, once there were as many. */
const KEPT = 4096;

/** Makes a journal. */
export function makeKeyJournal(): KeyJournal {
  let keys: string[] = [];
  let gone = 0;

  function add(key: string): void {
    keys.push(key);
    if (keys.length < 2 * KEPT) return;
    gone += keys.length - KEPT;
    keys = keys.slice(-KEPT);
  }

  function count(): number {
    return gone + keys.length;
  }

  function after(n: number): string[] | undefined {
    if (n < gone) return undefined;
    return n >= count() ? [] : [...new Set(keys.slice(n - gone))];
  }

  return { add, count, after };
}
