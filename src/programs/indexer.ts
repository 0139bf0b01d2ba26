#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { serveIndex } from '../index/api';
import { startIndexer } from '../index/indexer';
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
  const [f, ix] = errorOrValue(await startIndexer(ports, s, dialect));
  if (f) return Left<OperationError, RunningService>(f);
  const [g] = errorOrValue(s.http === '' ? Right(undefined) : await serveIndex(ix, ports));
  return g ? Left<OperationError, RunningService>(g) : Right({ drain: nothing, stop: ix.stop });
}

async function nothing(): Promise<void> {}

void runDaemon(
  'plumhollow-indexer',
  'Listens to engines and stores, keeps the trees of kept parts, is asked for overlaps.',
  ['name', 'wire', 'seeds'],
  start,
);
