#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { startController } from '../control/controller';
import { serveOperators } from '../control/api';
import { serveDeployment } from '../control/deployment-api';
import { startDuties } from '../control/duties';
import { countCalls, endService } from '../control/shutdown';
import { Dialect } from '../shared/dialect';
import { Fault, open, Outcome } from '../shared/errors';
import { Ports } from '../shared/ports';
import { Settings } from '../shared/settings';
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
