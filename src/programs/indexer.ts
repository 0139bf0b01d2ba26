#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { serveIndex } from '../index/api';
import { startIndexer } from '../index/indexer';
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
  const [f, ix] = open(await startIndexer(ports, s, dialect));
  if (f) return Left<Fault, Running>(f);
  const [g] = open(s.http === '' ? Right(undefined) : await serveIndex(ix, ports));
  return g ? Left<Fault, Running>(g) : Right({ drain: nothing, stop: ix.stop });
}

async function nothing(): Promise<void> {}

void runDaemon(
  'plumhollow-indexer',
  'Listens to engines and stores, keeps the trees of kept parts, is asked for overlaps.',
  ['name', 'wire', 'seeds'],
  start,
);
