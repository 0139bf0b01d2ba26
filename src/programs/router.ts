#!/usr/bin/env node
/**
 * The router daemon.
 */

import { startDialectRouter } from '../data/platform-router';
import { startRouter } from '../data/router';
import { Result } from '../shared/errors/errors';
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
  return adapter ? startDialectRouter(ports, settings, adapter) : startRouter(ports, settings);
}

void runDaemon({
  program: 'plumhollow-router',
  description: "Takes callers' requests, places them and gives the pieces back.",
  requiredSettings: ['name', 'wire', 'http', 'seeds'],
  start,
});
