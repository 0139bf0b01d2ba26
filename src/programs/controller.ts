#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { startController } from '../control/controller';
import { serveOperators } from '../control/api/operator-api';
import { serveDeployment } from '../control/api/deployment-api';
import { startDuties } from '../control/singletons/background-tasks';
import { countCalls, endService } from '../control/api/call-draining';
import { Dialect } from '../shared/platform-adapter/platform-adapter';
import { Fault, open, Outcome } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { Settings } from '../shared/settings/settings';
import { runDaemon } from './common';
import { Running } from './running';

async function start(
  ports: Ports,
  s: Settings,
  dialect: Dialect | undefined,
): Promise<Outcome<Running>> {
  const [f, c] = open(await startController(ports, s, dialect));
  if (f) return Left<Fault, Running>(f);
  const calls = countCalls(ports.wire);
  const counted: Ports = { ...ports, wire: calls.wire };
  const [g, listening] = open(
    await (dialect ? serveDeployment(c, counted, dialect) : serveOperators(c, counted)),
  );
  if (g) return Left<Fault, Running>(g);
  startDuties(c, ports, dialect);
  async function drain(): Promise<void> {
    await c!.leave();
    await endService({ clock: ports.clock, bounds: c!.bounds, listening: listening!, calls });
  }
  return Right({ drain, stop: c.stop });
}

void runDaemon(
  'plumhollow-controller',
  'Holds leases and control keys, pushes changes, keeps duties.',
  ['name', 'wire', 'http', 'seeds'],
  start,
);
