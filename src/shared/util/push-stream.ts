/**
 * Streams of the library `most` that values are pushed to.
 */

import { Stream } from 'most';

/** What observes a stream; the interface of `most`. */
export interface Sink<T> {
  event: (time: number, value: T) => void;
  end: (time: number, value?: T) => void;
}

/** A stream that values are pushed to; what comes before the first observer is kept for it. */
export interface PushStream<T> {
  stream: Stream<T>;
  /** Passes a value to all observers; ignored after the end. */
  push: (value: T) => void;
  end: () => void;
}

/** Makes a stream without values. */
export function makePushStream<T>(): PushStream<T> {
  const sinks = new Set<Sink<T>>();
  let unobserved: T[] | undefined = [];
  let isEnded = false;

  function push(value: T): void {
    if (isEnded) return;
    if (unobserved) unobserved.push(value);
    else for (const sink of sinks) sink.event(0, value);
  }

  function end(): void {
    isEnded = true;
    for (const sink of sinks) sink.end(0, undefined);
    sinks.clear();
  }

  function run(sink: Sink<T>): { dispose: () => void } {
    sinks.add(sink);
    const kept = unobserved ?? [];
    unobserved = undefined;
    for (const value of kept) sink.event(0, value);
    if (isEnded) sink.end(0, undefined);
    function dispose(): void {
      sinks.delete(sink);
    }
    return { dispose };
  }

  return { stream: new Stream<T>({ run }), push, end };
}
