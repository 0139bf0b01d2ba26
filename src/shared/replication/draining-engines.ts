/**
 * Notices of engines that drain, ahead of the committed list.
 *
 * A notice only keeps new work away, so it needs no agreement. An engine that drains does not come back under its name,
 * and a list may have been read before the notice was given: so a list that shows such an engine as serving does not
 * end the notice. It ends with a list that shows the engine as draining or has it no more, or after a time.
 */

import { Engine } from '../state/engines';

/** Engines that are reported to drain. */
export interface DrainingEngines {
  /** Takes note of engines that drain. */
  markDraining: (ids: readonly string[]) => void;
  /** Takes note of a committed list. */
  noteCommittedList: (engines: readonly Engine[]) => void;
  /** Whether there is a notice of an engine. */
  isDraining: (id: string) => boolean;
}

/** Makes an empty set of notices, each of which is kept for `ttlMs` at the most. */
export function makeDrainingEngines(now: () => number, ttlMs: number): DrainingEngines {
  const expiresAt = new Map<string, number>();

  function markDraining(ids: readonly string[]): void {
    for (const id of ids) expiresAt.set(id, now() + ttlMs);
  }

  function noteCommittedList(engines: readonly Engine[]): void {
    const serving = new Set<string>();
    for (const engine of engines) if (!engine.leaving) serving.add(engine.id);
    for (const id of expiresAt.keys()) if (!serving.has(id)) expiresAt.delete(id);
  }

  function isDraining(id: string): boolean {
    return (expiresAt.get(id) ?? -Infinity) > now();
  }

  return { markDraining, noteCommittedList, isDraining };
}
