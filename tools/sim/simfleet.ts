import { Controller, startController } from '../../src/control/controller';
import { serveOperators } from '../../src/control/api/operator-api';
import { startBackgroundTasks } from '../../src/control/singletons/background-tasks';
import { countCalls, drainCalls } from '../../src/control/api/call-draining';
import { startRouter } from '../../src/data/router';
import { serveIndex } from '../../src/index/index-api';
import { Indexer, startIndexer } from '../../src/index/indexer';
import { requestJson } from '../../src/shared/util/http-json';
import { errorOrValue, Result } from '../../src/shared/errors/errors';
import { Ports } from '../../src/shared/ports/ports';
import { defaultSettings, Settings } from '../../src/shared/settings/settings';
import { Engine } from '../../src/shared/state/engines';
import { Intents } from '../../src/shared/state/intents';
import { Deployment, listed, makeDeployment } from '../standins/deploy';
import { StandInEngine, startEngine } from '../standins/engine';
import { EngineWays, LedgerEntry } from '../standins/engineways';
import { startPlatform } from '../standins/platform';
import { makeNet, SimNet } from './simwire';
import { makeWorld, World } from './simworld';
import { Proc } from './process';

/** An engine that the platform lists as leaving, and when the core knew. */
export interface Mark {
  engine: string;
  knownAt?: number;
  until: number;
}

/** A fleet in a simulated world, running the real libraries. */
export interface SimFleet {
  w: World;
  net: SimNet;
  d: Deployment;
  ledger: LedgerEntry[];
  engines: Engine[];
  controllers: Map<string, Controller>;
  starts: Map<string, () => void>;
  core: string[];
  edge: string[];
  ops: Ports;
  callers: Ports;
  marks: Mark[];
  standins: Map<string, StandInEngine>;
  lost: Set<string>;
  indexers: Map<string, Indexer>;
  seeds: string[];
  stops: Map<string, () => Promise<void>>;
  spare: Deployment['core'][number];
  /** What processes are told from now on at their start, beside what they are told always. */
  told: Partial<Settings>;
  startAll: () => void;
  settings: (name: string, wire: string, http: string, zone: string) => Settings;
}

/** Makes the intents of a simulated run: the deployment's, and the prober's. */
export function simIntents(
  d: Deployment,
  probeService: string,
  extraRules: number,
  walled: readonly string[],
): Intents {
  const base = d.intents;
  const services = [...base.services];
  for (const n of [3, 5])
    services.push({
      id: `probe-${n}`,
      tenant: 'probe',
      model: d.model,
      urgency: 'high',
      mayRepeat: true,
      deadlineMs: 8000,
      maxTokens: n,
      secondTries: 0.15,
    });
  const rules = [...base.rules, { tenant: 'probe', label: 'probe', service: probeService }];
  for (let i = 0; i < extraRules; i++)
    rules.push({ tenant: 'probe', label: `extra-${i}`, service: 'probe-3' });
  function wall(t: Intents['tenants'][number]): Intents['tenants'][number] {
    return walled.includes(t.id) ? { id: t.id, sharing: 'walled' } : t;
  }
  return {
    ...base,
    tenants: [...base.tenants.map(wall), { id: 'probe', sharing: 'walled' }],
    services,
    rules,
  };
}

/** Builds the fleet: three core machines that found it or more, some edges and engines of the deployment. */
export function makeSimFleet(
  seed: number,
  name: string,
  edges: number,
  engineCount: number,
  keepLines: boolean,
  coreCount = 3,
): SimFleet {
  const w = makeWorld(seed, keepLines);
  const net = makeNet(w);
  const full = makeDeployment(name)!;
  const core = full.core.slice();
  while (core.length < coreCount) core.push(coreMachine(core.length + 1));
  const d: Deployment = {
    ...full,
    core,
    edge: full.edge.slice(0, edges),
    engines: full.engines.slice(0, engineCount),
  };
  const ledger: LedgerEntry[] = [];
  const engines = d.engines.map(listed);
  const controllers = new Map<string, Controller>();
  const starts = new Map<string, () => void>();
  const standins = new Map<string, StandInEngine>();
  const founders = full.core.map(wireOf);
  const told: Partial<Settings> = {};

  function coreMachine(n: number): Deployment['core'][number] {
    const c = full.core[0];
    return {
      ...c,
      name: `core-${n}`,
      zone: full.core[(n - 1) % 3].zone,
      wire: c.wire.replace('.1.1:', `.1.${n}:`),
      http: c.http.replace('.1.1:', `.1.${n}:`),
    };
  }
  const seeds = [...founders];
  const stops = new Map<string, () => Promise<void>>();

  function wireOf(c: { wire: string }): string {
    return c.wire;
  }

  function settings(n: string, wire: string, http: string, zone: string): Settings {
    return {
      ...defaultSettings(),
      name: n,
      zone,
      wire,
      http,
      bind: '',
      seeds,
      founders,
      data: n,
      platform: d.platform,
      changeBoundMs: 2000,
      leavingBoundMs: 3000,
      weightsBoundMs: d.weightsBoundMs,
      secondTryShare: 0.18,
      onceKeepMs: 600000,
      indexMostParts: 100000,
      bodyMostBytes: 1 << 22,
      placeBy: 'index',
      ...told,
    };
  }

  function ipOf(at: string): string {
    return at.slice(0, at.lastIndexOf(':'));
  }

  function add(n: string, ip: string, start: (p: Proc, ports: Ports) => Promise<unknown>): void {
    const p = w.procs().find(named) ?? w.proc(n, ip);
    function named(x: Proc): boolean {
      return x.name === n;
    }
    function go(): void {
      void start(p, net.ports(p));
    }
    starts.set(n, go);
  }

  const spare = coreMachine(coreCount + 1);
  const lost = new Set<string>([spare.name]);
  const indexers = new Map<string, Indexer>();
  for (const c of [...d.core, spare]) {
    add(c.name, ipOf(c.wire), startCore);
    async function startCore(_: Proc, ports: Ports): Promise<void> {
      const [f, ctl] = errorOrValue(
        await startController(ports, settings(c.name, c.wire, c.http, c.zone)),
      );
      if (f) return w.trace(`${c.name} did not start: ${f.reason}`);
      controllers.set(c.name, ctl);
      stops.set(c.name, leaveAndStop);
      const calls = countCalls(ports.network);
      const [, listening] = errorOrValue(
        await serveOperators(ctl, { ...ports, network: calls.network }),
      );
      startBackgroundTasks(ctl, ports);
      async function leaveAndStop(): Promise<void> {
        const { clock } = ports;
        await ctl!.drain();
        await drainCalls({ clock, timeLimits: ctl!.timeLimits, listener: listening!, calls });
        await ctl!.stop();
      }
    }
    if (c === spare) continue;
    const ixIp = ipOf(c.wire).replace('.1.', '.5.');
    add(`index-${c.name}`, ixIp, startIx);
    async function startIx(_: Proc, ports: Ports): Promise<void> {
      const [f, ix] = errorOrValue(
        await startIndexer(
          ports,
          settings(`index-${c.name}`, `${ixIp}:7001`, `${ixIp}:8001`, c.zone),
        ),
      );
      if (f) return;
      stops.set(`index-${c.name}`, ix.stop);
      indexers.set(`index-${c.name}`, ix);
      await serveIndex(ix, ports);
    }
  }
  for (const e of d.edge) {
    add(e.name, ipOf(e.wire), startEdge);
    async function startEdge(_: Proc, ports: Ports): Promise<void> {
      const [f, r] = errorOrValue(
        await startRouter(ports, settings(e.name, e.wire, e.http, e.zone)),
      );
      if (!f) stops.set(e.name, leave);
      async function leave(): Promise<void> {
        await r!.drain();
        await r!.stop();
      }
    }
  }
  function note(e: LedgerEntry): void {
    ledger.push(e);
    w.trace(`${e.engine} ${e.kind} ${e.request ?? ''} ${e.weights ?? ''}`);
  }
  for (const e of [...d.engines, d.store]) {
    add(e.id, ipOf(e.at), startOne);
    async function startOne(_: Proc, ports: Ports): Promise<void> {
      const ways: EngineWays = { ...e, ledger: note };
      const [f, one] = errorOrValue(await startEngine(ports, ways));
      if (!f) standins.set(e.id, one);
    }
  }
  add('platform', ipOf(d.platform), startList);
  async function startList(_: Proc, ports: Ports): Promise<Result<unknown>> {
    return startPlatform(ports, d.platform, engines, served);
  }
  const marks: Mark[] = [];
  function served(peer: string): void {
    const p = w.procAt(peer)!;
    const { life } = p;
    const open = marks.filter(unknown);
    for (const e of engines)
      if (e.leaving && !marks.some(of(e.id))) open.push(push({ engine: e.id, until: Infinity }));
    for (const m of marks)
      if (m.until === Infinity && !engines.some(leaves(m.engine))) m.until = w.now();
    const at = w.now();
    w.after(1000, judge);
    function judge(): void {
      if (p.life !== life || !p.alive || p.frozen || (p.disturbedAt ?? -1) >= at) return;
      for (const m of open) m.knownAt ??= at;
    }
  }
  function unknown(m: Mark): boolean {
    return m.knownAt === undefined && m.until === Infinity;
  }
  function of(id: string): (m: Mark) => boolean {
    function test(m: Mark): boolean {
      return m.engine === id && m.until === Infinity;
    }
    return test;
  }
  function leaves(id: string): (e: Engine) => boolean {
    function test(e: Engine): boolean {
      return e.id === id && e.leaving;
    }
    return test;
  }
  function push(m: Mark): Mark {
    marks.push(m);
    return m;
  }

  const ops = net.ports(w.proc('ops', '127.10.9.1'));
  const callers = net.ports(w.proc('callers', '127.10.9.2'));

  function startAll(): void {
    for (const [n, go] of starts) if (!lost.has(n)) go();
  }

  return {
    w,
    net,
    d,
    ledger,
    engines,
    controllers,
    starts,
    core: d.core.map(nameOf),
    edge: d.edge.map(nameOf),
    ops,
    callers,
    startAll,
    settings,
    marks,
    standins,
    lost,
    indexers,
    spare,
    told,
    seeds,
    stops,
  };
}

function nameOf(x: { name: string }): string {
  return x.name;
}

/** Asks the controllers in turn, as the operators' command line does. */
export async function askCore(
  f: SimFleet,
  method: string,
  path: string,
  body?: unknown,
  first = 0,
  patience = 6000,
): Promise<{ status: number; body: Record<string, unknown> } | { status: 0; sure: boolean }> {
  const ats = [...f.d.core, f.spare];
  const n = ats.length;
  let sure = true;
  for (let i = 0; i < n; i++) {
    const at = ats[(first + i) % n].http;
    const [g, r] = errorOrValue(
      await requestJson(f.ops.network, {
        address: at,
        method,
        path,
        body: body === undefined ? undefined : JSON.stringify(body),
        timeoutMs: patience,
      }),
    );
    if (!g) return { status: r.status, body: r.body as Record<string, unknown> };
    if (g.certainty !== 'refused') {
      sure = false;
      if (method !== 'GET') break;
    }
  }
  return { status: 0, sure };
}
