/**
 * A `most` stream that values are pushed to.
 */

import { Stream as Feed } from 'most';

/** The receiving end of a feed. */
export interface Sink<T> {
  event: (time: number, x: T) => void;
  end: (time: number, x?: T) => void;
}

/** A `most` feed that is pushed by hand; what comes before the first reader waits for it. */
export interface PushStream<T> {
  stream: Feed<T>;
  push: (x: T) => void;
  end: () => void;
}

/** Makes a feed that is pushed by hand. */
export function makePushStream<T>(): PushStream<T> {
  const sinks = new Set<Sink<T>>();
  let waiting: T[] | undefined = [];
  let over = false;
  function add(x: T): void {
    if (over) return;
    if (waiting) waiting.push(x);
    else for (const s of sinks) s.event(0, x);
  }
  function end(): void {
    over = true;
    for (const s of sinks) s.end(0, undefined);
    sinks.clear();
  }
  function run(sink: Sink<T>): { dispose: () => void } {
    sinks.add(sink);
    const held = waiting ?? [];
    waiting = undefined;
    for (const x of held) sink.event(0, x);
    if (over) sink.end(0, undefined);
    function dispose(): void {
      sinks.delete(sink);
    }
    return { dispose };
  }
  return { stream: new Feed<T>({ run }), push: add, end };
}
