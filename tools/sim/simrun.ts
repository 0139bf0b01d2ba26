import { Report, runCallers, Seen } from '../standins/callers';
import { LedgerEntry } from '../standins/engineways';
import { edgeNames, judge, Verdict } from '../standins/ledger';
import { seededDice } from './dice';
import { askCore, makeSimFleet, SimFleet, simIntents } from './simfleet';
import { drawFaults, Fault, healAll, injectSim } from './simfaults';
import { ThinLinks } from './thin-links';
import { Traffic } from './traffic';
import {
  applyRule,
  checkKept,
  makeOpsLog,
  nameWeights,
  OpsLog,
  probe,
  race,
  raceKeys,
  replaceCore,
  turnKey,
  wallOff,
} from './simops';

/** How a run is made. */
export interface RunWays {
  deployment: string;
  faults: number;
  brief?: boolean;
  only?: string[];
  shortPerS?: number;
  longPerS?: number;
  replace?: boolean;
  schedule?: Fault[];
  keepLines?: boolean;
  traffic?: Traffic;
  /** Links that every message between our processes passes. */
  links?: ThinLinks;
  watch?: (f: SimFleet, seen: readonly Seen[]) => void;
}

/** What came of a run. */
export interface RunResult {
  seed: number;
  violations: string[];
  schedule: Fault[];
  hash: string;
  report: Report;
  verdict: Verdict;
  ops: OpsLog;
  lateShare: number;
  backMs: number;
  secondTryShare: number;
  reuse: number;
  lines: string[];
}

const FAULTS_FROM = 9000;
const FAULTS_TO = 30000;
const HEAL = 36000;
const LAST_LOSS = 35000;
const LATE_FROM = 44000;
const END = 52000;
const WATCH_EVERY = 100;
const LEAVING_BOUND = 3000;

/** Runs one seed and judges it by the ledgers. */
export async function runSeed(seed: number, ways: RunWays): Promise<RunResult> {
  const f = makeSimFleet(
    seed,
    ways.deployment,
    ways.brief ? 9 : 4,
    ways.brief ? 99 : 4,
    ways.keepLines === true,
  );
  const { w } = f;
  f.net.traffic = ways.traffic;
  f.net.links = ways.links;
  const ops = makeOpsLog();
  const keys: Record<string, string> = {};
  const keyIds = new Map<string, string>();
  const seen: Seen[] = [];
  let report: Report | undefined;
  const lossy = Math.floor(w.dice.next() * f.d.engines.length);
  f.d.engines[lossy].loseEvents = 0.05;
  const replaces = ways.replace ?? (seed % 4 === 0 && !ways.only);
  const lastLoss = ways.schedule === undefined && !ways.only && !replaces && seed % 4 === 2;
  const schedule =
    ways.schedule ??
    drawFaults(
      f,
      seededDice(seed + 77777),
      FAULTS_FROM,
      FAULTS_TO,
      ways.faults,
      !replaces && !lastLoss,
      ways.only,
    );
  f.startAll();
  void operate();
  for (const x of schedule) w.after(x.at, inject(x));
  w.after(HEAL, heal);
  if (ways.watch) w.after(FAULTS_FROM, watch);
  if (lastLoss) w.after(LAST_LOSS, loseOne);
  await w.run(END + 40000);

  function inject(x: Fault): () => void {
    function go(): void {
      injectSim(f, x);
    }
    return go;
  }

  function heal(): void {
    healAll(f);
  }

  function watch(): void {
    ways.watch!(f, seen);
    if (w.now() < END) w.after(WATCH_EVERY, watch);
  }

  function loseOne(): void {
    const name = f.core[seed % 3];
    f.lost.add(name);
    w.kill(w.procAt(f.d.core[seed % 3].wire.split(':')[0])!, true);
    w.trace(`${name} is lost for good`);
  }

  async function configure(): Promise<boolean> {
    const r = await askCore(f, 'PUT', '/v1/intents', {
      basedOn: 0,
      intents: simIntents(f.d, 'probe-3', 0, []),
    });
    const stands = r.status === 200 ? r : await askCore(f, 'GET', '/v1/intents');
    if (stands.status !== 200 || (stands as { body: Record<string, unknown> }).body.revision !== 1)
      return false;
    ops.lastAcked = { revision: 1, service: 'probe-3' };
    for (const t of f.d.intents.tenants) {
      const k = await askCore(f, 'POST', `/v1/keys/${t.id}`, {});
      if (k.status !== 200) return false;
      keys[t.id] = String((k as { body: Record<string, unknown> }).body.key);
    }
    return true;
  }

  async function operate(): Promise<void> {
    const { clock, random: dice } = f.ops;
    await clock.sleep(2500);
    while (!(await configure())) await clock.sleep(300);
    await turnKey(f, ops, keyIds);
    void call();
    void probes();
    let weights = 1;
    if (replaces) void replaceLater();
    while (w.now() < HEAL - 1000) {
      await clock.sleep(500 + dice.next() * 2500);
      const roll = dice.next();
      if (roll < 0.4)
        await applyRule(
          f,
          ops,
          ops.lastAcked.service === 'probe-3' ? 'probe-5' : 'probe-3',
          dice.next() < 0.1 ? 2000 : Math.floor(dice.next() * 40),
          Math.floor(dice.next() * 3),
        );
      else if (roll < 0.55) await race(f, ops);
      else if (roll < 0.75) await turnKey(f, ops, keyIds);
      else if (roll < 0.8) await raceKeys(f, ops, keyIds);
      else if (roll < 0.9 && weights < 4) await nameWeights(f, ops, `w${++weights}`);
      else if (ops.walls.size < 2) await wallOff(f, ops, `tenant-${6 + ops.walls.size}`);
    }
    await clock.sleep(END - w.now());
    await checkKept(f, ops);
  }

  async function replaceLater(): Promise<void> {
    await f.ops.clock.sleep(4000 + f.ops.random.next() * 10000);
    await replaceCore(f, ops);
  }

  async function call(): Promise<void> {
    const edges = f.d.edge.map(httpOf);
    report = await runCallers(
      f.callers,
      {
        intents: f.d.intents,
        keys,
        edges,
        shortPerS: ways.shortPerS ?? (ways.brief ? f.d.rates.shortPerS : 12),
        longPerS: ways.longPerS ?? (ways.brief ? f.d.rates.longPerS : 1.5),
        forMs: END - w.now(),
        retries: 3,
        patienceMs: 8000,
      },
      note,
    );
    function note(s: Seen): void {
      seen.push(s);
    }
  }

  async function probes(): Promise<void> {
    while (w.now() < END) {
      await f.callers.clock.sleep(120);
      const old = ops.droppedKeys[Math.floor(f.callers.random.next() * ops.droppedKeys.length)];
      if (old !== undefined && f.callers.random.next() < 0.4) void probe(f, ops, old, true);
      else if (ops.liveKey) void probe(f, ops, ops.liveKey, false);
    }
  }

  return judgeRun(f, seed, report, seen, ops, schedule);
}

function httpOf(x: { http: string }): string {
  return x.http;
}

function judgeRun(
  f: SimFleet,
  seed: number,
  report: Report | undefined,
  seen: Seen[],
  ops: OpsLog,
  schedule: Fault[],
): RunResult {
  const violations = [...ops.violations];
  const walled = new Set<string>();
  for (const t of f.d.intents.tenants) if (t.sharing === 'walled') walled.add(t.id);
  const r = report ?? {
    asked: 0,
    whole: 0,
    refused: 0,
    unknown: 0,
    incomplete: 0,
    failed: 0,
    wrong: [],
    callerRetries: 0,
    firstMs: { short: { p50: 0, p99: 0 }, long: { p50: 0, p99: 0 } },
    seen,
  };
  if (!report)
    violations.push('callers never finished: the fleet was not configured or a caller hangs');
  const v = judge(f.ledger, r, walled, edgeNames(f.d.edge));
  for (const [k, list] of Object.entries(v))
    if (Array.isArray(list)) for (const x of list) violations.push(`${k}: ${x}`);
  violations.push(...lateWork(f, ops));
  const late = { asked: 0, whole: 0 };
  let firstBack = Infinity;
  for (const s of r.seen) {
    const at = s.attempts[0]?.at ?? 0;
    if (s.end === 'whole' && at > HEAL) firstBack = Math.min(firstBack, at);
    if (at < LATE_FROM) continue;
    late.asked++;
    if (s.end === 'whole') late.whole++;
  }
  const lateShare = late.asked === 0 ? 0 : late.whole / late.asked;
  if (lateShare < 0.95)
    violations.push(`after all is healed only ${late.whole} of ${late.asked} are served`);
  if (!f.lost.has('core-4') && !ops.replaced)
    violations.push('the lost core machine was never replaced');
  const second = secondTries(f);
  if (second.share > 0.2)
    violations.push(`second tries of ${second.of} are ${second.share.toFixed(3)}`);
  return {
    seed,
    violations,
    schedule,
    hash: f.w.traceHash(),
    report: r,
    verdict: v,
    ops,
    lateShare,
    backMs: firstBack - HEAL,
    secondTryShare: second.share,
    reuse: reuseOf(f, r.seen),
    lines: f.w.lines,
  };
}

/** Tokens that engines reused, of those they were asked to read. */
function reuseOf(f: SimFleet, seen: readonly Seen[]): number {
  const size = new Map<string, number>();
  for (const s of seen) size.set(s.tag, s.parts.reduce(addSize, 0));
  const asked = new Map<string, number>();
  let needed = 0;
  let reused = 0;
  for (const e of f.ledger) {
    if (e.kind === 'began') asked.set(e.request!, size.get(e.tag!) ?? 0);
    if (e.kind !== 'ended') continue;
    needed += asked.get(e.request!) ?? 0;
    if (asked.get(e.request!)) reused += e.reused!.tokens;
  }
  return needed === 0 ? 0 : reused / needed;
}

function addSize(t: number, p: { size: number }): number {
  return t + p.size;
}

/** Attempts beyond the first that routers sent, of the service with the largest share. */
function secondTries(f: SimFleet): { share: number; of: string } {
  const by = new Map<string, { attempts: number; runs: Set<string> }>();
  for (const x of f.net.sent) {
    const m = /^\{"request":"([^"]+)","tenant":"([^"]+)"/.exec(x.body)!;
    const service = m[2] + x.body.slice(-1);
    const b = by.get(service) ?? { attempts: 0, runs: new Set<string>() };
    b.attempts++;
    b.runs.add(m[1]);
    by.set(service, b);
  }
  const most = { share: 0, of: '' };
  for (const [of, b] of by) {
    const share = (b.attempts - b.runs.size) / b.runs.size;
    if (b.runs.size >= 20 && share > most.share) Object.assign(most, { share, of });
  }
  return most;
}

/** Whether an engine held an attempt before it was known to leave, and its router gave the attempt up in time: a frozen engine may begin it before it looks at the close. */
function takenBefore(f: SimFleet, e: LedgerEntry, knownAt: number): boolean {
  if (e.takenAt! >= knownAt) return false;
  const { at } = f.d.engines.find(isIt)!;
  const x = f.net.sent.find(isSent);
  return x?.givenUpAt !== undefined && x.givenUpAt <= knownAt + LEAVING_BOUND;
  function isIt(x: { id: string }): boolean {
    return x.id === e.engine;
  }
  function isSent(x: { at: string; body: string }): boolean {
    return x.at === at && x.body.startsWith(`{"request":"${e.request}"`);
  }
}

/** Work that engines began although they were known to leave, or under weights that were no longer to serve, or across a new wall. */
function lateWork(f: SimFleet, ops: OpsLog): string[] {
  const out: string[] = [];
  const marks = f.marks;
  for (const e of f.ledger) {
    if (e.kind !== 'began') continue;
    for (const m of marks)
      if (
        m.engine === e.engine &&
        m.knownAt !== undefined &&
        e.at > m.knownAt + LEAVING_BOUND &&
        e.at < m.until &&
        !takenBefore(f, e, m.knownAt)
      )
        out.push(
          `leaving: ${e.engine} got ${e.request} ${(e.at - m.knownAt).toFixed(0)} ms after it was known to leave`,
        );
    const allowed = new Set<string>();
    let last = 0;
    for (const [i, w] of ops.weights.entries())
      if (w.ackAt !== undefined && Math.max(w.sentAt, w.ackAt - 2500) + f.d.weightsBoundMs < e.at)
        last = i;
    for (const w of ops.weights.slice(last)) allowed.add(w.name);
    if (!allowed.has(e.weights!))
      out.push(
        `weights: ${e.engine} began ${e.request} under ${e.weights} at ${e.at.toFixed(0)}, allowed are ${[...allowed].join(' ')}`,
      );
  }
  const began = new Map<string, number>();
  for (const e of f.ledger) if (e.kind === 'began') began.set(`${e.engine} ${e.request}`, e.at);
  for (const e of f.ledger) {
    if (e.kind !== 'ended') continue;
    const at = began.get(`${e.engine} ${e.request}`) ?? 0;
    for (const m of e.reused?.madeBy ?? []) {
      if (m === e.tenant) continue;
      for (const t of [m, e.tenant!])
        if ((ops.walls.get(t) ?? Infinity) < at)
          out.push(
            `walls: ${e.engine} ${e.request}: ${e.tenant} used a part made by ${m}, walled at ${ops.walls.get(t)!.toFixed(0)}, began at ${at.toFixed(0)}`,
          );
    }
  }
  return out;
}
