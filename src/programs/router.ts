#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { startDialectRouter, startRouter } from '../data/router';
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
  const [f, r] = errorOrValue<RunningService>(
    await (dialect ? startDialectRouter(ports, s, dialect) : startRouter(ports, s)),
  );
  return f ? Left<OperationError, RunningService>(f) : Right({ drain: r.drain, stop: r.stop });
}

void runDaemon(
  'plumhollow-router',
  "Takes callers' requests, places them and gives the pieces back.",
  ['name', 'wire', 'http', 'seeds'],
  start,
);
