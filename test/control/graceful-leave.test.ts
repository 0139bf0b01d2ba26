import { Result } from '../../src/shared/errors/errors';
import { requestJson } from '../../src/shared/util/http-json';
import {
  back,
  lose,
  makeOperator,
  procOf,
  terminate,
  terminated,
  until,
  votersOf,
} from '../../tools/sim/simcore';
import { SimFleet } from '../../tools/sim/simfleet';
import { all, applied, CORE, founded, started } from './voter-set-rig';

/** A rolling restart waits for a leaver no longer than this. */
const QUICK_MS = 700;
/** How long a process that ended is away until it starts again. */
const RESTART_MS = 1500;

function cutOff(f: SimFleet, name: string): void {
  const { ip } = procOf(f, name);
  for (const p of f.w.procs()) {
    if (p.ip === ip) continue;
    f.w.cut(ip, p.ip, true);
    f.w.cut(p.ip, ip, true);
  }
}

function revisionAt(f: SimFleet, name: string): number {
  return f.controllers.get(name)!.committedValue('intents')?.place.number ?? 0;
}

/** One voter is away and another is told to end: with a third machine at hand a majority is left all the same. */
async function besideAnAwayVoter(): Promise<void> {
  for (const how of ['killed', 'frozen']) {
    const f = started(41, 4, CORE);
    await until(f, 3000, all(f, CORE));
    f.told.bootstrap = false;
    const o = makeOperator(f);
    await applied(f, o);
    if (how === 'frozen') f.w.freeze(procOf(f, 'core-3'));
    else lose(f, 'core-3', false);
    f.lost.delete('core-4');
    f.starts.get('core-4')!();
    await f.w.run(f.w.now() + 400);
    await terminated(f, 'core-2');
    f.controllers.delete('core-2');
    const began = f.w.now();
    const majority = await until(f, began + 9000, all(f, ['core-1', 'core-4']), 10);
    expect({ how, majority: majority !== undefined }).toEqual({ how, majority: true });
    await applied(f, o);
    expect({ how, newest: o.newest() }).toEqual({ how, newest: o.acked() });
  }
}

/** A change stands on two disks only when the third voter comes back, and one of the two is told to end. */
async function onlyOtherCopy(): Promise<void> {
  for (let seed = 51; seed <= 56; seed++) {
    const f = await founded(seed);
    const o = makeOperator(f);
    await applied(f, o);
    cutOff(f, 'core-3');
    await f.w.run(f.w.now() + 1500);
    await applied(f, o);
    f.w.healLinks();
    await f.w.run(f.w.now() + (seed - 51) * 20);
    await terminated(f, 'core-2');
    expect({ seed, core3: revisionAt(f, 'core-3') }).toEqual({ seed, core3: o.acked() });
    lose(f, 'core-1', true);
    expect({ seed, newest: o.newest() }).toEqual({ seed, newest: o.acked() });
    back(f, 'core-2');
    back(f, 'core-1');
    expect(await until(f, f.w.now() + 4000, all(f, CORE), 10)).toBeDefined();
    await applied(f, o);
  }
}

/** The others are no majority when a voter is told to end: it stays until they are. */
async function staysUntilMajority(): Promise<void> {
  const f = await founded(61);
  const o = makeOperator(f);
  await applied(f, o);
  lose(f, 'core-3', false);
  function restart(): void {
    back(f, 'core-3');
  }
  f.w.after(1500, restart);
  const began = f.w.now();
  const tookMs = await terminated(f, 'core-2');
  expect(tookMs).toBeGreaterThan(1400);
  expect(tookMs).toBeLessThan(1500 + QUICK_MS);
  expect(f.controllers.get('core-1')!.hasQuorum()).toBe(true);
  await applied(f, o);
  expect(f.w.now() - began).toBeLessThan(4000);
}

/** A voter that nobody can stand in for ends by itself before it is killed. */
async function endsBeforeTheGrace(): Promise<void> {
  const f = await founded(62);
  lose(f, 'core-3', false);
  const { graceMs } = f.controllers.get('core-2')!.settings;
  const tookMs = await terminated(f, 'core-2');
  expect(tookMs).toBeGreaterThan(graceMs * 0.5);
  expect(tookMs).toBeLessThan(graceMs * 0.9);
}

/** Each voter in turn is told to end, and starts again with its disk, under changes. */
async function rollingRestart(): Promise<void> {
  const f = await founded(63);
  const o = makeOperator(f);
  const gapMs = 2 * f.controllers.get('core-1')!.timeLimits.leaseMs;
  await f.w.run(f.w.now() + gapMs);
  o.go();
  for (const n of CORE) {
    const tookMs = await terminated(f, n);
    expect({ n, tookMs, quick: tookMs < QUICK_MS }).toEqual({ n, tookMs, quick: true });
    await f.w.run(f.w.now() + 500);
    back(f, n);
    expect(await until(f, f.w.now() + 3000, all(f, CORE), 10)).toBeDefined();
    await f.w.run(f.w.now() + gapMs);
  }
  o.halt();
  await f.w.run(f.w.now() + 1000);
  expect(votersOf(f)).toBe('1 2 3');
  expect(o.longest()).toBeLessThan(1500);
  expect(o.newest()).toBe(o.acked());
}

/** Two are told to end at once: one of them goes first, and the other waits until that one is back. */
async function oneAfterTheOther(): Promise<void> {
  const f = await founded(64);
  const o = makeOperator(f);
  await applied(f, o);
  const first = terminate(f, 'core-1');
  await f.w.run(f.w.now() + 20);
  function restart(): void {
    back(f, 'core-1');
  }
  f.w.after(RESTART_MS, restart);
  const second = await terminated(f, 'core-2');
  expect(first()).toBeLessThan(QUICK_MS);
  expect(second).toBeGreaterThan(RESTART_MS);
  expect(second).toBeLessThan(RESTART_MS + 2 * QUICK_MS);
  await applied(f, o);
  expect(f.controllers.get('core-3')!.hasQuorum()).toBe(true);
}

/** All controllers are told to end, one shortly after the other: none waits for long. */
async function allAtOnce(): Promise<void> {
  const f = await founded(65);
  const took: (() => number | undefined)[] = [];
  for (const n of CORE) {
    took.push(terminate(f, n));
    await f.w.run(f.w.now() + 5);
  }
  await f.w.run(f.w.now() + QUICK_MS);
  for (const tookMs of took) expect(tookMs()).toBeLessThan(QUICK_MS);
}

/** Asks one controller over HTTP, and no other; 0 where the call is refused or cut. */
async function statusAt(f: SimFleet, name: string, method: string, body?: object): Promise<number> {
  const at = f.d.core[CORE.indexOf(name)].http;
  const path = '/v1/intents';
  let status: number | undefined;
  function told(o: Result<{ status: number }>): void {
    status = o.isRight() ? o.extract().status : 0;
  }
  const text = body && JSON.stringify(body);
  void requestJson(f.ops.network, { address: at, method, path, body: text, timeoutMs: 6000 }).then(
    told,
  );
  function isBack(): boolean {
    return status !== undefined;
  }
  await until(f, f.w.now() + 7000, isBack, 1);
  return status!;
}

/** Calls that reach a leaving controller are answered, and those that it has taken are not cut by its end. */
async function answersOperators(): Promise<void> {
  const f = await founded(66);
  const o = makeOperator(f);
  await applied(f, o);
  lose(f, 'core-3', false);
  const took = terminate(f, 'core-2');
  const seen = new Set<number>();
  while (took() === undefined) {
    seen.add(await statusAt(f, 'core-2', 'GET'));
    const stale = { basedOn: 99, intents: f.d.intents };
    seen.add(await statusAt(f, 'core-2', 'PUT', stale));
    await f.w.run(f.w.now() + 40);
  }
  expect([...seen].sort()).toEqual([200, 409]);
}

/** A change that a controller has taken when it is told to end is acknowledged by it. */
async function answersWhatItTook(): Promise<void> {
  for (let step = 0; step < 12; step++) {
    const f = await founded(200 + step);
    const o = makeOperator(f);
    await applied(f, o);
    function tellToEnd(): void {
      terminate(f, 'core-2');
    }
    f.w.after(step, tellToEnd);
    const change = { basedOn: o.acked(), intents: f.d.intents };
    expect({ step, status: await statusAt(f, 'core-2', 'PUT', change) }).toEqual({
      step,
      status: 200,
    });
  }
}

test(
  'a voter that is told to end while another is away gives its place over first',
  besideAnAwayVoter,
);
test('a voter that is told to end does not go as one of only two copies', onlyOtherCopy);
test('a voter that is told to end stays until the others are a majority', staysUntilMajority);
test('a voter that the others need ends by itself before its grace is over', endsBeforeTheGrace);
test('a rolling restart is not held up, and every change outlives it', rollingRestart);
test(
  'of two voters that are told to end, the second waits for the first to return',
  oneAfterTheOther,
);
test('where all are told to end, none waits', allAtOnce);
test('a controller that leaves answers its operators', answersOperators);

test('a controller that leaves ends no call that it has taken', answersWhatItTook);
