/** Something that happens in a simulated world at a time; of those at one time, the lower number goes first. */
export interface SimEvent {
  at: number;
  n: number;
  run: () => void;
}

/** Events in the order in which they happen. */
export interface EventHeap {
  push: (event: SimEvent) => void;
  /** Takes the first event, unless it is later than a time. */
  popUntil: (time: number) => SimEvent | undefined;
}

function isEarlier(a: SimEvent, b: SimEvent): boolean {
  return a.at < b.at || (a.at === b.at && a.n < b.n);
}

/** Makes an empty heap. */
export function makeEventHeap(): EventHeap {
  const heap: SimEvent[] = [];

  function push(event: SimEvent): void {
    let index = heap.push(event) - 1;
    while (index > 0) {
      const parent = (index - 1) >> 1;
      if (!isEarlier(heap[index], heap[parent])) break;
      [heap[index], heap[parent]] = [heap[parent], heap[index]];
      index = parent;
    }
  }

  function pop(): SimEvent {
    const top = heap[0];
    const last = heap.pop()!;
    if (heap.length === 0) return top;
    heap[0] = last;
    sink();
    return top;
  }

  /** Moves the top down to its place. */
  function sink(): void {
    let index = 0;
    for (;;) {
      const left = 2 * index + 1;
      let first = index;
      if (left < heap.length && isEarlier(heap[left], heap[first])) first = left;
      if (left + 1 < heap.length && isEarlier(heap[left + 1], heap[first])) first = left + 1;
      if (first === index) return;
      [heap[index], heap[first]] = [heap[first], heap[index]];
      index = first;
    }
  }

  function popUntil(time: number): SimEvent | undefined {
    return heap.length > 0 && heap[0].at <= time ? pop() : undefined;
  }

  return { push, popUntil };
}
