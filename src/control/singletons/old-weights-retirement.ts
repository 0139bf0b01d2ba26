/**
 * The background task that retires older weights of models where engines are driven by our own interface: no router
 * sends to an engine with weights that are retired.
 */

import { Ports } from '../../shared/ports/ports';
import { NamedWeights } from '../../shared/state/weights';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Controller } from '../controller-interface';

/** Retires older weights once `oldWeightsRetireMs` have passed since they were superseded, each by its own time. */
export async function retireOldWeights(controller: Controller, ports: Ports): Promise<void> {
  /** Since when weights are superseded, in ms of the clock, by control key and weights. */
  const supersededAt = new Map<string, number>();
  while (!controller.isStopped()) {
    await ports.clock.sleep(controller.timeLimits.retryPauseMs);
    for (const key of controller.store.registers.keys())
      if (key.startsWith(CONTROL_KEYS.weights))
        await retireOlder(controller, ports.clock.now(), key, supersededAt);
  }
}

async function retireOlder(
  controller: Controller,
  now: number,
  key: string,
  supersededAt: Map<string, number>,
): Promise<void> {
  const named = controller.committedValue<NamedWeights>(key)?.value;
  if (!named) return;
  const firstSeenAt = controller.wasLearnedLive(key) ? now : -Infinity;
  noteSuperseded(key, named, firstSeenAt, supersededAt);
  function isOver(weights: string): boolean {
    return (
      now - supersededAt.get(timeKey(key, weights))! >= controller.timeLimits.oldWeightsRetireMs
    );
  }
  const ended = named.older.filter(isOver);
  if (ended.length > 0 && controller.keyOwner.owns(key))
    await controller.change({ kind: 'weights-end', model: named.model, ended });
}

/** Notes since when each of the older weights is superseded, and forgets those that are retired. */
function noteSuperseded(
  key: string,
  named: NamedWeights,
  firstSeenAt: number,
  supersededAt: Map<string, number>,
): void {
  const older = new Set<string>();
  for (const weights of named.older) older.add(timeKey(key, weights));
  for (const known of older) if (!supersededAt.has(known)) supersededAt.set(known, firstSeenAt);
  for (const known of supersededAt.keys())
    if (known.startsWith(timeKey(key, '')) && !older.has(known)) supersededAt.delete(known);
}

function timeKey(key: string, weights: string): string {
  return `${key} ${weights}`;
}
