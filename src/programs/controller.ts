#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { startController } from '../control/controller';
import { serveOperators } from '../control/api';
import { startDuties } from '../control/duties';
import { Fault, open, Outcome } from '../shared/errors';
import { Ports } from '../shared/ports';
import { Settings } from '../shared/settings';
import { runDaemon, Running } from './common';

async function start(ports: Ports, s: Settings): Promise<Outcome<Running>> {
  const [f, c] = open(await startController(ports, s));
  if (f) return Left<Fault, Running>(f);
  const [g] = open(await serveOperators(c, ports));
  if (g) return Left<Fault, Running>(g);
  startDuties(c, ports);
  return Right({ drain: nothing, stop: c.stop });
}

async function nothing(): Promise<void> {}

runDaemon('plumhollow-controller', 'Holds claims and control keys, pushes changes, keeps duties.', ['name', 'wire', 'http', 'seeds'], start);
