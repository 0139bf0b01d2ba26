#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { startDialectRouter } from '../data/platform-router';
import { startRouter } from '../data/router';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { OperationError, errorOrValue, Result } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { Settings } from '../shared/settings/settings';
import { runDaemon } from './common';
import { Running } from './running';

async function start(
  ports: Ports,
  s: Settings,
  dialect: PlatformAdapter | undefined,
): Promise<Result<Running>> {
  const [f, r] = errorOrValue<Running>(
    await (dialect ? startDialectRouter(ports, s, dialect) : startRouter(ports, s)),
  );
  return f ? Left<OperationError, Running>(f) : Right({ drain: r.drain, stop: r.stop });
}

void runDaemon(
  'plumhollow-router',
  "Takes callers' requests, places them and gives the pieces back.",
  ['name', 'wire', 'http', 'seeds'],
  start,
);
