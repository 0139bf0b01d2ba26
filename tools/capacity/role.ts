/**
 * The process of a hollow fleet: one role under a made load.
 */

import { usersPlatform } from '../../platform/adapter';
import { startController, Controller } from '../../src/control/controller';
import { serveOperators } from '../../src/control/api/operator-api';
import { serveDeployment } from '../../src/control/api/deployment-api';
import { startBackgroundTasks } from '../../src/control/singletons/background-tasks';
import { startDialectRouter } from '../../src/data/platform-router';
import { Router, startRouter } from '../../src/data/router';
import { PlatformAdapter } from '../../src/shared/platform-adapter/platform-adapter';
import { startIndexer, Indexer } from '../../src/index/indexer';
import { errorOrValue } from '../../src/shared/errors/errors';
import { followCore, Follower } from '../../src/shared/replication/follower';
import { HelloHandlers } from '../../src/shared/transport/hello-handlers';
import { PROTOCOL_VERSION } from '../../src/shared/transport/hello';
import { Ports } from '../../src/shared/ports/ports';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { makeSystemRandom } from '../../src/shared/system/system-random';
import { makeFileDisk } from '../../src/shared/system/file-disk';
import { makeLogger } from '../../src/shared/system/logger';
import { makeRawHttpNetwork } from '../../src/shared/system/raw-http';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';
import { Settings } from '../../src/shared/settings/settings';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { VersionedValue } from '../../src/shared/state/versions';
import { startMeter } from './meter';
import { startPlatformSource } from './platform';
import { SourceWays, startSource } from './sources';
import { RoleWays, RoleAsk } from './role-messages';

const ways = JSON.parse(process.argv[2]) as RoleWays;

const meter = startMeter();

function portsFor(name: string, data: string, dial: number): Ports {
  return meter.ports({
    clock: makeSystemClock(),
    random: makeSystemRandom(),
    disk: makeFileDisk(data),
    network: makeSystemNetwork(dial),
    logger: makeLogger(ways.role, name, 20),
    rawHttp: makeRawHttpNetwork(),
  });
}

function dialectOf(name: string): PlatformAdapter | undefined {
  return name === 'platform' ? usersPlatform : undefined;
}

type More = () => Record<string, number>;

function broke(why: string): never {
  process.stderr.write(`${ways.role}: ${why}\n`);
  process.exit(1);
}

async function controller(s: Settings): Promise<More> {
  const ports = portsFor(s.name, s.data, timeLimitsOf(s).connectTimeoutMs);
  const [f, c] = errorOrValue(await startController(ports, s, dialectOf(s.dialect)));
  if (f) return broke(f.reason);
  const [g] = errorOrValue(
    await (s.dialect === 'platform'
      ? serveDeployment(c, ports, usersPlatform)
      : serveOperators(c, ports)),
  );
  if (g) return broke(g.reason);
  startBackgroundTasks(c, ports, dialectOf(s.dialect));
  return controllerMore(c);
}

function controllerMore(c: Controller): More {
  function more(): Record<string, number> {
    let owned = 0;
    for (const k of c.store.registers.keys()) if (c.keyOwner.owns(k)) owned++;
    return {
      keys: c.store.registers.size,
      owned,
      members: c.leases.members().length,
      majority: c.hasQuorum() ? 1 : 0,
    };
  }
  return more;
}

async function indexer(s: Settings): Promise<More> {
  const [f, ix] = errorOrValue(
    await startIndexer(
      portsFor(s.name, s.data, timeLimitsOf(s).connectTimeoutMs),
      s,
      dialectOf(s.dialect),
    ),
  );
  if (f) return broke(f.reason);
  return indexerMore(ix);
}

function indexerMore(ix: Indexer): More {
  function more(): Record<string, number> {
    let seqs = 0;
    for (const l of ix.listenerViews()) seqs += l.lastSeq;
    return {
      parts: ix.trees.size(),
      batches: seqs,
      queries: ix.counts.queries,
      open: ix.isReady() ? 1 : 0,
      listeners: ix.listenerViews().length,
    };
  }
  return more;
}

function nodes(list: Settings[]): Promise<More> {
  const all: Follower[] = [];
  let changes = 0;
  function changed(n: VersionedValue): void {
    if (n.number > 0) changes++;
  }
  for (const s of list) {
    const ports = portsFor(s.name, s.data, timeLimitsOf(s).connectTimeoutMs);
    const hello = {
      version: PROTOCOL_VERSION,
      name: s.name,
      role: 'router',
      at: s.wire,
      zone: s.zone,
    };
    const f = followCore(ports, {
      timeLimits: timeLimitsOf(s),
      hello,
      member: { ...hello, http: s.http, life: ports.random.uuid().slice(0, 8) },
      seeds: s.seeds,
      handlers: [new HelloHandlers(hello)],
    });
    void f.changes.observe(changed);
    all.push(f);
  }
  return Promise.resolve(followersMore(all, changed_));
  function changed_(): number {
    return changes;
  }
}

function followersMore(all: Follower[], changes: () => number): More {
  function more(): Record<string, number> {
    let live = 0;
    let keys = Infinity;
    let known = Infinity;
    for (const f of all) {
      if (f.hasLease()) live++;
      keys = Math.min(keys, f.appliedValues().length);
      known = Math.min(known, f.members('').length);
    }
    return { live, keys, known, changes: changes() };
  }
  return more;
}

async function routers(list: Settings[]): Promise<More> {
  const all: Router[] = [];
  for (const s of list) {
    if (s.dialect === 'platform') {
      const [g] = errorOrValue(
        await startDialectRouter(
          portsFor(s.name, s.data, timeLimitsOf(s).connectTimeoutMs),
          s,
          usersPlatform,
        ),
      );
      if (g) return broke(g.reason);
      continue;
    }
    const [f, r] = errorOrValue(
      await startRouter(portsFor(s.name, s.data, timeLimitsOf(s).connectTimeoutMs), s),
    );
    if (f) return broke(f.reason);
    all.push(r);
  }
  function followerOf(r: Router): Follower {
    return r.dependencies.follower;
  }
  function done(): number {
    let n = 0;
    for (const r of all) n += r.dependencies.counts.done;
    return n;
  }
  return followersMore(all.map(followerOf), done);
}

async function sources(dialect: string, list: SourceWays[]): Promise<More> {
  const ports = portsFor('sources', '.', 1000);
  for (const w of list) {
    const o = await (dialect === 'platform'
      ? startPlatformSource(ports, w)
      : startSource(ports, w));
    if (o.isLeft()) return broke(JSON.stringify(o.extract()));
  }
  return none;
}

function none(): Record<string, number> {
  return {};
}

async function start(): Promise<More> {
  switch (ways.role) {
    case 'controller':
      return controller(ways.settings);
    case 'indexer':
      return indexer(ways.settings);
    case 'nodes':
      return nodes(ways.settings);
    case 'routers':
      return routers(ways.settings);
    case 'sources':
      return sources(ways.dialect, ways.sources);
  }
}

async function run(): Promise<void> {
  const more = await start();
  function asked(a: RoleAsk): void {
    if (a.gc) (globalThis as { gc?: () => void }).gc?.();
    process.send!({ n: a.n, figures: meter.read(more()) });
  }
  process.on('message', asked);
  process.send!({ n: 0 });
}

function leave(): void {
  process.exit(0);
}

process.on('disconnect', leave);
void run();
