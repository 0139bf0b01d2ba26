#!/usr/bin/env node
/**
 * The indexer daemon.
 */

import { Left, Right } from 'purify-ts';
import { serveIndex } from '../index/index-api';
import { startIndexer } from '../index/indexer';
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
  const [notStarted, indexer] = errorOrValue(await startIndexer(ports, settings, adapter));
  if (notStarted) return Left<OperationError, RunningService>(notStarted);
  if (settings.http !== '') {
    const [notListening] = errorOrValue(await serveIndex(indexer, ports));
    if (notListening) return Left<OperationError, RunningService>(notListening);
  }
  return Right({ drain: nothingToDrain, stop: indexer.stop });
}

/** An indexer's state is a copy: whoever asked it asks another one. */
function nothingToDrain(): Promise<void> {
  return Promise.resolve();
}

void runDaemon({
  program: 'plumhollow-indexer',
  description:
    'Listens to engines and stores, keeps the trees of kept parts, is asked for overlaps.',
  requiredSettings: ['name', 'wire', 'seeds'],
  start,
});
