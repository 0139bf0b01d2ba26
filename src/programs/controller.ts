#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { startController } from '../control/controller';
import { serveOperators } from '../control/api/operator-api';
import { serveDeployment } from '../control/api/deployment-api';
import { startBackgroundTasks } from '../control/singletons/background-tasks';
import { countCalls, drainCalls } from '../control/api/call-draining';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { OperationError, errorOrValue, Result } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { Settings } from '../shared/settings/settings';
import { runDaemon } from './daemon';
import { RunningService } from './running-service';

async function start(
  ports: Ports,
  s: Settings,
  dialect: PlatformAdapter | undefined,
): Promise<Result<RunningService>> {
  const [f, c] = errorOrValue(await startController(ports, s, dialect));
  if (f) return Left<OperationError, RunningService>(f);
  const calls = countCalls(ports.network);
  const counted: Ports = { ...ports, network: calls.network };
  const [g, listening] = errorOrValue(
    await (dialect ? serveDeployment(c, counted, dialect) : serveOperators(c, counted)),
  );
  if (g) return Left<OperationError, RunningService>(g);
  startBackgroundTasks(c, ports, dialect);
  async function drain(): Promise<void> {
    await c!.drain();
    await drainCalls({
      clock: ports.clock,
      timeLimits: c!.timeLimits,
      listener: listening!,
      calls,
    });
  }
  return Right({ drain, stop: c.stop });
}

void runDaemon(
  'plumhollow-controller',
  'Holds leases and control keys, pushes changes, keeps duties.',
  ['name', 'wire', 'http', 'seeds'],
  start,
);
