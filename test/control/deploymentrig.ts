import { Controller, startController } from '../../src/control/controller';
import { serveDeployment } from '../../src/control/api/deployment-api';
import { startBackgroundTasks } from '../../src/control/singletons/background-tasks';
import { errorOrValue } from '../../src/shared/errors/errors';
import { requestJson } from '../../src/shared/util/http-json';
import { defaultSettings, Settings } from '../../src/shared/settings/settings';
import { usersPlatform } from '../../platform/adapter';
import { makeNet, SimNet } from '../../tools/sim/simwire';
import { makeWorld, World } from '../../tools/sim/simworld';
import { Proc } from '../../tools/sim/process';

/** What an operator hears. */
export interface Heard {
  status: number;
  body: Record<string, unknown>;
}

/** How a core is made, where it is not three controllers with the usual settings and no duties. */
export interface CoreWays {
  size?: number;
  told?: Partial<Settings>;
  duties?: boolean;
}

/** Three controllers in a simulated world, and an operator who speaks as the platform's do. */
export interface CoreRig {
  w: World;
  net: SimNet;
  core: Proc[];
  controllers: Map<string, Controller>;
  start: (p: Proc) => void;
  /** Runs virtual time on. */
  pass: (ms: number) => Promise<void>;
  /** Runs virtual time on until a promise is settled. */
  settled: <T>(p: Promise<T>, most?: number) => Promise<T | undefined>;
  /** Calls one controller; nothing comes where it is silent for a second. */
  call: (
    p: Proc,
    method: string,
    path: string,
    base?: number,
    body?: unknown,
  ) => Promise<Heard | undefined>;
  /** Calls on and on as operators do, from a first controller over to the others, until an answer is clear. */
  insist: (
    first: number,
    path: string,
    base: number,
    body: unknown,
    most: number,
  ) => Promise<Heard | undefined>;
}

/** The paths that operators call. */
export const PATHS = usersPlatform.operators.paths;

/** Operators go on to another controller after this long. */
export const SILENCE = 1000;
const NAMED = [1, 2, 3, 4, 5];

function settingsOf(name: string, ip: string, seeds: string[], bootstrap: boolean): Settings {
  return {
    ...defaultSettings(),
    name,
    dialect: 'platform',
    strict: false,
    suspends: false,
    zone: name,
    wire: `${ip}:7000`,
    http: `${ip}:8000`,
    seeds,
    founders: seeds,
    data: name,
    weightsBoundMs: 8000,
    bootstrap,
  };
}

/** A whole document with some routes to one service. */
export function documentOf(
  revision: number,
  prefixes: string[],
  more: object = {},
): Record<string, unknown> {
  function route(prefix: string): object {
    return {
      name: `r${prefix.replaceAll('/', '-')}`,
      hostname: 'desk.example',
      pathPrefix: prefix,
      routeType: 'safe',
      timeoutMs: 4000,
      service: 'engines',
    };
  }
  return {
    revision,
    routes: prefixes.map(route),
    services: [{ name: 'engines', healthCheckPath: '/health', maxConnections: 10 }],
    tenants: [],
    limits: {},
    ...more,
  };
}

/** Makes the world and starts the controllers. */
export function makeCore(seed: number, ways: CoreWays = {}): CoreRig {
  const w = makeWorld(seed, true);
  const net = makeNet(w);
  const core = NAMED.slice(0, ways.size ?? 3).map(coreProc);
  const operator = w.proc('operator', '10.9.0.1');
  const seeds = core.map(wireOf);
  const controllers = new Map<string, Controller>();
  const started = new Set<string>();

  function coreProc(i: number): Proc {
    return w.proc(`core-${i}`, `10.1.0.${i}`);
  }

  function wireOf(p: Proc): string {
    return `${p.ip}:7000`;
  }

  function start(p: Proc): void {
    void run();
    async function run(): Promise<void> {
      const ports = net.ports(p);
      const [f, c] = errorOrValue(
        await startController(
          ports,
          { ...settingsOf(p.name, p.ip, seeds, !started.has(p.name)), ...ways.told },
          usersPlatform,
        ),
      );
      started.add(p.name);
      if (f) return w.trace(`${p.name} did not start: ${f.reason}`);
      controllers.set(p.name, c);
      await serveDeployment(c, ports, usersPlatform);
      if (ways.duties) startBackgroundTasks(c, ports, usersPlatform);
    }
  }

  async function pass(ms: number): Promise<void> {
    await w.run(w.now() + ms);
  }

  async function settled<T>(p: Promise<T>, most = 30000): Promise<T | undefined> {
    const until = w.now() + most;
    let got: { v: T } | undefined;
    function told(v: T): void {
      got = { v };
    }
    void p.then(told);
    while (!got && w.now() < until) await w.run(w.now() + 5);
    return got?.v;
  }

  async function call(
    p: Proc,
    method: string,
    path: string,
    base?: number,
    body?: unknown,
  ): Promise<Heard | undefined> {
    const headers: Record<string, string> =
      base === undefined ? {} : { 'plumhollow-base-version': String(base) };
    const at = `${p.ip}:8000`;
    const text = typeof body === 'string' ? body : JSON.stringify(body);
    const [f, r] = errorOrValue(
      await requestJson(net.ports(operator).network, {
        address: at,
        method,
        path,
        headers,
        body: body === undefined ? undefined : text,
        timeoutMs: SILENCE,
      }),
    );
    return f ? undefined : { status: r.status, body: (r.body ?? {}) as Record<string, unknown> };
  }

  async function insist(
    first: number,
    path: string,
    base: number,
    body: unknown,
    most: number,
  ): Promise<Heard | undefined> {
    const clock = w.clock(operator);
    const until = w.now() + most;
    for (let i = first; w.now() < until; i++) {
      const r = await call(core[i % core.length], 'POST', path, base, body);
      if (r && r.status < 500) return r;
      await clock.sleep(100);
    }
    return undefined;
  }

  for (const p of core) start(p);
  return { w, net, core, controllers, start, pass, settled, call, insist };
}

/** Sends one order to one controller. */
export async function post(
  rig: CoreRig,
  controller: number,
  path: string,
  base: number | undefined,
  body: unknown,
): Promise<Heard | undefined> {
  return rig.settled(rig.call(rig.core[controller], 'POST', path, base, body), 3 * SILENCE);
}

/** Sends one order to one controller, for the status of its answer. */
export async function statusOf(
  rig: CoreRig,
  controller: number,
  base: number,
  body: unknown,
  path = PATHS.replace,
): Promise<number | undefined> {
  return (await post(rig, controller, path, base, body))?.status;
}

/** Makes the world and has the first configuration, of revision 1, taken. */
export async function begin(seed: number): Promise<CoreRig> {
  const rig = makeCore(seed);
  const first = await rig.settled(
    rig.insist(0, PATHS.replace, 0, documentOf(1, ['/v1/']), 9000),
    10000,
  );
  expect(first?.status).toBe(200);
  return rig;
}

/** Has a configuration taken, from a first controller over to the others. */
export async function insisted(
  rig: CoreRig,
  first: number,
  base: number,
  revision: number,
): Promise<void> {
  const heard = await rig.settled(
    rig.insist(first, PATHS.replace, base, documentOf(revision, [`/v${revision}/`]), 9000),
    10000,
  );
  expect([revision, heard?.status]).toEqual([revision, 200]);
}

/** Cuts a controller off from the others; operators still reach it. */
export function isolate(rig: CoreRig, victim: Proc): void {
  for (const other of rig.core) if (other !== victim) rig.w.cut(victim.ip, other.ip, true);
  for (const other of rig.core) if (other !== victim) rig.w.cut(other.ip, victim.ip, true);
}

/** What a controller gives as the newest configuration, asked until it answers. */
export async function described(rig: CoreRig, controller: number): Promise<unknown> {
  for (let i = 0; i < 40; i++) {
    const heard = await rig.settled(rig.call(rig.core[controller], 'GET', PATHS.describe));
    if (heard?.status === 200) return heard.body;
    await rig.pass(100);
  }
  return undefined;
}
