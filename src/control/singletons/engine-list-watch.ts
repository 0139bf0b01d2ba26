/**
 * The background task that watches the platform's list of engines, and commits what changed in it.
 */

import { errorOrValue, OperationError, Result } from '../../shared/errors/errors';
import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { Ports } from '../../shared/ports/ports';
import { Engine } from '../../shared/state/engines';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Controller } from '../controller-interface';
import { listAllEngines } from './engine-listing';
import { WarmUpReports } from './warm-up-reports';

/**
 * Watches the platform's list while this node owns the key `engines`; that key's register is the fence. Routers are
 * notified at once of the engines that leave, whether or not the list can be committed. But where the platform has an
 * adapter, a node without a quorum asks nothing, since another may watch by now.
 */
export async function watchEngineList(
  controller: Controller,
  ports: Ports,
  adapter?: PlatformAdapter,
): Promise<void> {
  const { platformPollMs, statusTimeoutMs } = controller.timeLimits;
  const warmUps = new WarmUpReports(ports.clock, statusTimeoutMs);
  while (!controller.isStopped()) {
    await ports.clock.sleep(platformPollMs);
    if (!isWatcher(controller) || (adapter && !controller.hasQuorum())) continue;
    const [error, listed] = errorOrValue(await listEngines(controller, ports, adapter));
    if (error) {
      logError(ports, error);
      continue;
    }
    const committed = controller.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value;
    const engines = warmUps.keepFirst(committed ?? [], listed.sort(compareIds));
    if (JSON.stringify(committed) === JSON.stringify(engines)) continue;
    const leaving = newlyLeaving(committed ?? [], engines);
    if (leaving.length > 0) controller.leases.notifyAll('leaving', leaving);
    const [changeError] = errorOrValue(await controller.change({ kind: 'engines', engines }));
    if (changeError) logError(ports, changeError);
  }
}

function isWatcher({ settings, keyOwner, isPreferredOwner }: Controller): boolean {
  if (settings.platform === '') return false;
  return keyOwner.owns(CONTROL_KEYS.engines) && isPreferredOwner(CONTROL_KEYS.engines);
}

function listEngines(
  { settings, timeLimits }: Controller,
  ports: Ports,
  adapter: PlatformAdapter | undefined,
): Promise<Result<Engine[]>> {
  return listAllEngines(ports, settings.platform, timeLimits.statusTimeoutMs, adapter);
}

function logError(ports: Ports, error: OperationError): void {
  ports.logger.warn(
    { event: 'engines.list-failed', step: error.step, peer: error.peer },
    error.reason,
  );
}

/** The engines that leave by a list and not by the one before it. */
function newlyLeaving(before: readonly Engine[], engines: readonly Engine[]): string[] {
  const known = new Set(before.filter(isLeaving).map(idOf));
  function isNew(engine: Engine): boolean {
    return isLeaving(engine) && !known.has(engine.id);
  }
  return engines.filter(isNew).map(idOf);
}

function isLeaving(engine: Engine): boolean {
  return engine.leaving;
}

function idOf(engine: Engine): string {
  return engine.id;
}

function compareIds(a: Engine, b: Engine): number {
  return a.id < b.id ? -1 : 1;
}
