/** Something that happens at a time. */
export interface Due {
  at: number;
  run: () => void;
}

/** What happens, in the order of time; what falls together in the order in which it was added. */
export interface Agenda {
  at: (time: number, run: () => void) => void;
  next: () => Due | undefined;
  /** How many were ever added. */
  added: () => number;
}

interface Entry extends Due {
  n: number;
}

/** Makes an agenda as a heap. */
export function makeAgenda(): Agenda {
  const heap: Entry[] = [];
  let count = 0;

  function before(a: Entry, b: Entry): boolean {
    return a.at < b.at || (a.at === b.at && a.n < b.n);
  }

  function at(time: number, run: () => void): void {
    const x: Entry = { at: time, n: count++, run };
    let i = heap.length;
    heap.push(x);
    while (i > 0) {
      const up = (i - 1) >> 1;
      if (before(heap[up], x)) break;
      heap[i] = heap[up];
      i = up;
    }
    heap[i] = x;
  }

  function next(): Due | undefined {
    const top = heap[0];
    const last = heap.pop();
    if (!last || heap.length === 0) return top;
    let i = 0;
    for (;;) {
      let kid = 2 * i + 1;
      if (kid >= heap.length) break;
      if (kid + 1 < heap.length && before(heap[kid + 1], heap[kid])) kid++;
      if (before(last, heap[kid])) break;
      heap[i] = heap[kid];
      i = kid;
    }
    heap[i] = last;
    return top;
  }

  function added(): number {
    return count;
  }

  return { at, next, added };
}
