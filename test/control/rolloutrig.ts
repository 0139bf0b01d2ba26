import { platform } from '../../platform/dialect';
import { Controller, startController } from '../../src/control/controller';
import { runWeightsRollout } from '../../src/control/singletons/weights-rollout';
import { sendJson, readJsonBody } from '../../src/shared/transport/http-handlers';
import { errorOrValue } from '../../src/shared/errors/errors';
import { IncomingRequest } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';
import { defaultSettings, Settings } from '../../src/shared/settings/settings';
import { Engine } from '../../src/shared/state/engines';
import { makeNet, SimNet } from '../../tools/sim/simwire';
import { makeWorld, Proc, World } from '../../tools/sim/simworld';

export const LEASE = 3000;
export const THAW = 300;
export const BOUND = 8000;
const LOAD = 400;
const REPORT_AGE = 150;
const LIST_AGE = 800;

/** One order as an engine took note of it. */
export interface Noted {
  at: number;
  engine: string;
  from: string;
  holder: string;
  fence: number;
  weights: number;
  status: number;
  /** Whether its sender woke, or a link was healed, just before. */
  late: boolean;
}

/** An engine that takes orders as the platform's do. */
export interface OrderedEngine {
  id: string;
  weights: number;
  doneAt?: number;
  /** Takes orders, and answers none of them. */
  mute: boolean;
  /** Ms that its runs last when an order comes. */
  runs: number;
  busy: boolean;
  calls: number;
  fence: number;
  leaving: boolean;
}

/** Three controllers and engines in a simulated world. */
export interface RollOutDesk {
  w: World;
  net: SimNet;
  engines: OrderedEngine[];
  orders: Noted[];
  reports: { n: number };
  controllers: Map<string, Controller>;
  proc: (name: string) => Proc;
  start: (name: string) => void;
  kill: (name: string, downMs: number) => void;
  freeze: (name: string, ms: number) => void;
  cut: (a: string, b: string, ms: number) => void;
  name: (weights: number) => Promise<void>;
  holder: () => string | undefined;
  at: (ms: number) => Promise<void>;
  until: (test: () => boolean, most: number) => Promise<number>;
}

/** Builds the desk; engines load slower while more than `limit` of them do. */
export async function makeRollOutDesk(
  seed: number,
  count: number,
  limit: number,
  method: (p: { list: Engine[] }) => void = nothing,
): Promise<RollOutDesk> {
  const w = makeWorld(seed, false);
  const net = makeNet(w);
  const cores = ['core-1', 'core-2', 'core-3'];
  const orders: Noted[] = [];
  const reports = { n: 0 };
  const engines: OrderedEngine[] = [];
  const controllers = new Map<string, Controller>();
  const procs = new Map<string, Proc>();
  const calm = { at: -Infinity };
  const listing: { at: number; list: Engine[] }[] = [];
  const desk: RollOutDesk = {
    w,
    net,
    engines,
    orders,
    reports,
    controllers,
    proc,
    start,
    kill,
    freeze,
    cut,
    name,
    holder,
    at,
    until,
  };

  function proc(n: string): Proc {
    return procs.get(n)!;
  }

  function wireOf(n: string): string {
    return `127.20.1.${n.slice(-1)}:7000`;
  }

  function settings(n: string): Settings {
    return {
      ...defaultSettings(),
      name: n,
      zone: 'z',
      wire: wireOf(n),
      http: wireOf(n).replace('7000', '8000'),
      seeds: cores.map(wireOf),
      founders: cores.map(wireOf),
      weightsBoundMs: BOUND,
      leaseMs: LEASE,
    };
  }

  function start(n: string): void {
    void go();
    async function go(): Promise<void> {
      const ports = net.ports(proc(n));
      const [f, c] = errorOrValue(await startController(ports, settings(n)));
      if (f) return;
      controllers.set(n, c);
      void runWeightsRollout(c, ports, platform.engines);
    }
  }

  function kill(n: string, downMs: number): void {
    w.kill(proc(n), false);
    controllers.delete(n);
    w.after(downMs, back);
    function back(): void {
      w.revive(proc(n));
      start(n);
    }
  }

  function freeze(n: string, ms: number): void {
    w.freeze(proc(n));
    w.after(ms, wake);
    function wake(): void {
      if (!proc(n).frozen) return;
      w.wake(proc(n));
      calm.at = w.now();
    }
  }

  function cut(a: string, b: string, ms: number): void {
    w.cut(proc(a).ip, proc(b).ip, true);
    w.after(ms, heal);
    function heal(): void {
      w.cut(proc(a).ip, proc(b).ip, false);
      calm.at = w.now();
    }
  }

  function serve(e: OrderedEngine, ports: Ports, at: string): void {
    let shown = { at: 0, weights: e.weights, busy: false, calls: 0 };
    let next = shown;
    function look(): void {
      shown = next;
      next = { at: w.now(), weights: e.weights, busy: e.busy, calls: e.calls };
      w.after(REPORT_AGE / 2, look);
    }
    look();
    void ports.network.serveHttp(at, take);
    async function take(call: IncomingRequest): Promise<void> {
      if (call.path === '/api/report') {
        reports.n++;
        return sendJson(call, 200, {
          models: [{ name: 'm', revision: shown.weights }],
          busy: shown.busy,
          callCount: shown.calls,
        });
      }
      const b = (await readJsonBody(call, 1e4)) as {
        model: string;
        revision: number;
        holder: string;
        fenceToken: number;
        expectedCount?: number;
      };
      const status = judge(b);
      orders.push({
        at: w.now(),
        engine: e.id,
        from: call.peer,
        holder: b.holder,
        fence: b.fenceToken,
        weights: b.revision,
        status,
        late: w.now() - calm.at < THAW,
      });
      if (!e.mute) sendJson(call, status, {});
    }
    function judge(b: { revision: number; fenceToken: number; expectedCount?: number }): number {
      if (b.fenceToken < e.fence) return 412;
      e.fence = b.fenceToken;
      if (e.busy || (b.expectedCount !== undefined && b.expectedCount !== e.calls)) return 409;
      if (e.weights === b.revision) return 200;
      e.busy = true;
      e.calls++;
      w.after(e.runs, load);
      return 202;
      function load(): void {
        const many = engines.filter(isBusy).length;
        w.after(LOAD * Math.max(1, many / limit), done);
      }
      function done(): void {
        e.busy = false;
        e.weights = b.revision;
        e.doneAt = w.now();
      }
    }
  }

  function isBusy(e: OrderedEngine): boolean {
    return e.busy;
  }

  function atOf(i: number): string {
    return `127.20.2.${i}:8000`;
  }

  function listed(e: OrderedEngine, i: number): Engine {
    return {
      id: e.id,
      at: atOf(i + 1),
      zone: 'z',
      model: 'm',
      weights: String(e.weights),
      leaving: e.leaving,
      models: [{ name: 'm', weights: String(e.weights) }],
    };
  }

  /** The platform's list reaches the core as it was some time ago. */
  function tellList(): void {
    listing.push({ at: w.now(), list: engines.map(listed) });
    while (listing.length > 1 && listing[1].at <= w.now() - LIST_AGE) listing.shift();
    method(listing[0]);
    const c = [...controllers.values()].find(fit);
    const key = JSON.stringify(listing[0].list);
    if (c && JSON.stringify(c.committedValue('engines')?.value) !== key)
      void c.change({ kind: 'engines', engines: listing[0].list });
    w.after(LIST_AGE / 2, tellList);
    function fit(x: Controller): boolean {
      return !proc(x.name).frozen && x.hasQuorum();
    }
  }

  /** Names weights as an operator does: again and again, at any controller, until one says that they are named. */
  async function name(weights: number): Promise<void> {
    let done = false;
    void again();
    await until(isDone, 60000);
    async function again(): Promise<void> {
      const fit = [...controllers.values()].filter(awake);
      const c = fit[Math.floor(w.dice.next() * fit.length)];
      if (c) void c.change({ kind: 'weights', model: 'm', weights: String(weights) }).then(told);
      if (!done) w.after(500, again);
    }
    function awake(x: Controller): boolean {
      return !proc(x.name).frozen && proc(x.name).alive;
    }
    function told(o: { isRight: () => boolean }): void {
      done ||= o.isRight();
    }
    function isDone(): boolean {
      return done;
    }
  }

  function holder(): string | undefined {
    return orders.at(-1)?.holder.split('.')[0];
  }

  let upTo = 0;
  async function at(ms: number): Promise<void> {
    upTo = Math.max(upTo, ms);
    await w.run(upTo);
  }

  async function until(test: () => boolean, most: number): Promise<number> {
    const from = w.now();
    while (!test() && w.now() - from < most) await at(w.now() + 20);
    return w.now() - from;
  }

  for (const n of cores) {
    procs.set(n, w.proc(n, wireOf(n).split(':')[0]));
    start(n);
  }
  for (let i = 1; i <= count; i++) {
    const p = w.proc(`engine-${i}`, atOf(i).split(':')[0]);
    procs.set(p.name, p);
    const e: OrderedEngine = {
      id: `i-${i}`,
      weights: 1,
      mute: false,
      runs: 200 + w.dice.next() * 500,
      busy: false,
      calls: 0,
      fence: 0,
      leaving: false,
    };
    engines.push(e);
    serve(e, net.ports(p), atOf(i));
  }
  tellList();
  await at(6000);
  return desk;
}

function nothing(): void {}

/** What breaks the rule that one holder at a time gives orders. */
export function conflicts(orders: readonly Noted[]): string[] {
  const out: string[] = [];
  const owners = new Map<number, string>();
  for (const o of orders) {
    const owner = owners.get(o.fence) ?? o.holder;
    if (owner !== o.holder)
      out.push(`${o.at}: fence ${o.fence} of ${owner} is used by ${o.holder}`);
    owners.set(o.fence, owner);
  }
  const last = new Map<string, Noted>();
  for (const o of orders) {
    if (o.late) continue;
    const l = last.get(o.engine);
    if (l && o.fence < l.fence)
      out.push(`${o.at}: fence ${o.fence} after ${l.fence} at ${o.engine}`);
    if (l && l.holder !== o.holder && o.at - l.at < LEASE)
      out.push(`${o.at}: ${o.holder} ${o.at - l.at} ms after ${l.holder} at ${o.engine}`);
    last.set(o.engine, o);
  }
  const holders = new Map<string, number>();
  for (const o of orders) {
    if (o.late) continue;
    for (const [h, at] of holders)
      if (h !== o.holder && o.at - at < LEASE)
        out.push(`${o.at}: ${o.holder} ${o.at - at} ms after ${h}`);
    holders.set(o.holder, o.at);
  }
  return out;
}
