#!/usr/bin/env node
/**
 * The controller daemon.
 */

import { Left, Right } from 'purify-ts';
import { drainCalls, countCalls } from '../control/api/call-draining';
import { serveDeployment } from '../control/api/deployment-api';
import { serveOperators } from '../control/api/operator-api';
import { startController } from '../control/controller';
import { startBackgroundTasks } from '../control/singletons/background-tasks';
import { errorOrValue, OperationError, Result } from '../shared/errors/errors';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { Ports } from '../shared/ports/ports';
import { Settings } from '../shared/settings/settings';
import { runDaemon } from './daemon';
import { RunningService } from './running-service';

async function start(
  ports: Ports,
  settings: Settings,
  adapter: PlatformAdapter | undefined,
): Promise<Result<RunningService>> {
  const [notStarted, controller] = errorOrValue(await startController(ports, settings, adapter));
  if (notStarted) return Left<OperationError, RunningService>(notStarted);
  const calls = countCalls(ports.network);
  const countedPorts: Ports = { ...ports, network: calls.network };
  const [notListening, listener] = errorOrValue(
    await (adapter
      ? serveDeployment(controller, countedPorts, adapter)
      : serveOperators(controller, countedPorts)),
  );
  if (notListening) return Left<OperationError, RunningService>(notListening);
  startBackgroundTasks(controller, ports, adapter);
  return Right({ drain, stop: controller.stop });

  async function drain(): Promise<void> {
    const { timeLimits } = controller!;
    await controller!.drain();
    await drainCalls({ clock: ports.clock, timeLimits, listener: listener!, calls });
  }
}

void runDaemon({
  program: 'plumhollow-controller',
  description: 'Holds leases and control keys, pushes changes, keeps duties.',
  requiredSettings: ['name', 'wire', 'http', 'seeds'],
  start,
});
