/**
 * Turns of reading: bodies in tiny chunks cost processor time far beyond their bytes, so of the connections that bring
 * such bodies one is read in each turn of the event loop, and everything else goes on between them.
 */

const queue: (() => void)[] = [];

/** Calls a function in its turn: one in each turn of the event loop, in the order in which they came. */
export function awaitReadTurn(read: () => void): void {
  queue.push(read);
  if (queue.length === 1) setImmediate(runNext);
}

function runNext(): void {
  queue.shift()?.();
  if (queue.length > 0) setImmediate(runNext);
}
