/**
 * What a node has heard of engines that leave, ahead of the committed list.
 *
 * The advice only keeps work away, so it need not be agreed upon. An engine that leaves does not come back under its
 * name, and a list may have been read before the advice was given: so a list that shows such an engine as serving does
 * not end the advice. It ends with a list that shows the same or has the engine no more, or after a time.
 */
import { Engine } from '../state/engines';

/** Engines that are heard to leave. */
export interface DrainingEngines {
  markDraining: (ids: readonly string[]) => void;
  /** Takes note of a committed list. */
  noteCommittedList: (engines: readonly Engine[]) => void;
  isDraining: (id: string) => boolean;
}

/** Makes the advice; it lasts for `lastsMs` at the most. */
export function makeDrainingEngines(now: () => number, lastsMs: number): DrainingEngines {
  const until = new Map<string, number>();

  function hear(ids: readonly string[]): void {
    for (const id of ids) until.set(id, now() + lastsMs);
  }

  function listed(engines: readonly Engine[]): void {
    const serving = new Set<string>();
    for (const engine of engines) if (!engine.leaving) serving.add(engine.id);
    for (const id of until.keys()) if (!serving.has(id)) until.delete(id);
  }

  function leaves(id: string): boolean {
    return (until.get(id) ?? -Infinity) > now();
  }

  return { markDraining: hear, noteCommittedList: listed, isDraining: leaves };
}
