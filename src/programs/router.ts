#!/usr/bin/env node
import { Left, Right } from 'purify-ts';
import { startRouter } from '../data/router';
import { Fault, open, Outcome } from '../shared/errors';
import { Ports } from '../shared/ports';
import { Startup } from '../shared/startup';
import { runDaemon, Running } from './common';

async function start(ports: Ports, s: Startup): Promise<Outcome<Running>> {
  const [f, r] = open(await startRouter(ports, s));
  return f ? Left<Fault, Running>(f) : Right({ drain: r.drain, stop: r.stop });
}

runDaemon('plumhollow-router', 'Takes callers\' requests, places them and gives the pieces back.', ['name', 'wire', 'http', 'seeds'], start);
