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

function cutOff(fleet: SimFleet, name: string): void {
  const { ip } = procOf(fleet, name);
  for (const proc of fleet.w.procs()) {
    if (proc.ip === ip) continue;
    fleet.w.cut(ip, proc.ip, true);
    fleet.w.cut(proc.ip, ip, true);
  }
}

function revisionAt(fleet: SimFleet, name: string): number {
  return fleet.controllers.get(name)!.committedValue('intents')?.place.number ?? 0;
}

/** One voter is away and another is told to end: with a third machine at hand a majority is left all the same. */
async function whileAnotherVoterIsAway(): Promise<void> {
  for (const how of ['killed', 'frozen']) {
    const fleet = started(41, 4, CORE);
    await until(fleet, 3000, all(fleet, CORE));
    fleet.told.bootstrap = false;
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    if (how === 'frozen') fleet.w.freeze(procOf(fleet, 'core-3'));
    else lose(fleet, 'core-3', false);
    fleet.lost.delete('core-4');
    fleet.starts.get('core-4')!();
    await fleet.w.run(fleet.w.now() + 400);
    await terminated(fleet, 'core-2');
    fleet.controllers.delete('core-2');
    const began = fleet.w.now();
    const majority = await until(fleet, began + 9000, all(fleet, ['core-1', 'core-4']), 10);
    expect({ how, majority: majority !== undefined }).toEqual({ how, majority: true });
    await applied(fleet, operator);
    expect({ how, newest: operator.newest() }).toEqual({ how, newest: operator.acked() });
  }
}

/** A change stands on two disks only when the third voter comes back, and one of the two is told to end. */
async function onlyOtherCopy(): Promise<void> {
  for (let seed = 51; seed <= 56; seed++) {
    const fleet = await founded(seed);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    cutOff(fleet, 'core-3');
    await fleet.w.run(fleet.w.now() + 1500);
    await applied(fleet, operator);
    fleet.w.healLinks();
    await fleet.w.run(fleet.w.now() + (seed - 51) * 20);
    await terminated(fleet, 'core-2');
    expect({ seed, core3: revisionAt(fleet, 'core-3') }).toEqual({ seed, core3: operator.acked() });
    lose(fleet, 'core-1', true);
    expect({ seed, newest: operator.newest() }).toEqual({ seed, newest: operator.acked() });
    back(fleet, 'core-2');
    back(fleet, 'core-1');
    expect(await until(fleet, fleet.w.now() + 4000, all(fleet, CORE), 10)).toBeDefined();
    await applied(fleet, operator);
  }
}

/** The others are no majority when a voter is told to end: it stays until they are. */
async function staysUntilMajority(): Promise<void> {
  const fleet = await founded(61);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  lose(fleet, 'core-3', false);
  function restart(): void {
    back(fleet, 'core-3');
  }
  fleet.w.after(1500, restart);
  const began = fleet.w.now();
  const tookMs = await terminated(fleet, 'core-2');
  expect(tookMs).toBeGreaterThan(1400);
  expect(tookMs).toBeLessThan(1500 + QUICK_MS);
  expect(fleet.controllers.get('core-1')!.hasQuorum()).toBe(true);
  await applied(fleet, operator);
  expect(fleet.w.now() - began).toBeLessThan(4000);
}

/** A voter that nobody can stand in for ends by itself before it is killed. */
async function stopsBeforeGraceIsOver(): Promise<void> {
  const fleet = await founded(62);
  lose(fleet, 'core-3', false);
  const { graceMs } = fleet.controllers.get('core-2')!.settings;
  const tookMs = await terminated(fleet, 'core-2');
  expect(tookMs).toBeGreaterThan(graceMs * 0.5);
  expect(tookMs).toBeLessThan(graceMs * 0.9);
}

/** Each voter in turn is told to end, and starts again with its disk, under changes. */
async function rollingRestart(): Promise<void> {
  const fleet = await founded(63);
  const operator = makeOperator(fleet);
  const gapMs = 2 * fleet.controllers.get('core-1')!.timeLimits.leaseMs;
  await fleet.w.run(fleet.w.now() + gapMs);
  operator.go();
  for (const name of CORE) {
    const tookMs = await terminated(fleet, name);
    expect({ n: name, tookMs, quick: tookMs < QUICK_MS }).toEqual({ n: name, tookMs, quick: true });
    await fleet.w.run(fleet.w.now() + 500);
    back(fleet, name);
    expect(await until(fleet, fleet.w.now() + 3000, all(fleet, CORE), 10)).toBeDefined();
    await fleet.w.run(fleet.w.now() + gapMs);
  }
  operator.halt();
  await fleet.w.run(fleet.w.now() + 1000);
  expect(votersOf(fleet)).toBe('1 2 3');
  expect(operator.longest()).toBeLessThan(1500);
  expect(operator.newest()).toBe(operator.acked());
}

/** Two are told to end at once: one of them goes first, and the other waits until that one is back. */
async function oneAfterTheOther(): Promise<void> {
  const fleet = await founded(64);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  const first = terminate(fleet, 'core-1');
  await fleet.w.run(fleet.w.now() + 20);
  function restart(): void {
    back(fleet, 'core-1');
  }
  fleet.w.after(RESTART_MS, restart);
  const second = await terminated(fleet, 'core-2');
  expect(first()).toBeLessThan(QUICK_MS);
  expect(second).toBeGreaterThan(RESTART_MS);
  expect(second).toBeLessThan(RESTART_MS + 2 * QUICK_MS);
  await applied(fleet, operator);
  expect(fleet.controllers.get('core-3')!.hasQuorum()).toBe(true);
}

/** All controllers are told to end, one shortly after the other: none waits for long. */
async function allAtOnce(): Promise<void> {
  const fleet = await founded(65);
  const took: (() => number | undefined)[] = [];
  for (const name of CORE) {
    took.push(terminate(fleet, name));
    await fleet.w.run(fleet.w.now() + 5);
  }
  await fleet.w.run(fleet.w.now() + QUICK_MS);
  for (const tookMs of took) expect(tookMs()).toBeLessThan(QUICK_MS);
}

/** Asks one controller over HTTP, and no other; 0 where the call is refused or cut. */
async function statusAt(
  fleet: SimFleet,
  name: string,
  method: string,
  body?: object,
): Promise<number> {
  const address = fleet.d.core[CORE.indexOf(name)].http;
  const path = '/v1/intents';
  let status: number | undefined;
  function told(result: Result<{ status: number }>): void {
    status = result.isRight() ? result.extract().status : 0;
  }
  const text = body && JSON.stringify(body);
  void requestJson(fleet.ops.network, {
    address: address,
    method,
    path,
    body: text,
    timeoutMs: 6000,
  }).then(told);
  function isBack(): boolean {
    return status !== undefined;
  }
  await until(fleet, fleet.w.now() + 7000, isBack, 1);
  return status!;
}

/** Calls that reach a leaving controller are answered, and those that it has taken are not cut by its end. */
async function answersOperators(): Promise<void> {
  const fleet = await founded(66);
  const operator = makeOperator(fleet);
  await applied(fleet, operator);
  lose(fleet, 'core-3', false);
  const took = terminate(fleet, 'core-2');
  const seen = new Set<number>();
  while (took() === undefined) {
    seen.add(await statusAt(fleet, 'core-2', 'GET'));
    const stale = { basedOn: 99, intents: fleet.d.intents };
    seen.add(await statusAt(fleet, 'core-2', 'PUT', stale));
    await fleet.w.run(fleet.w.now() + 40);
  }
  expect([...seen].sort()).toEqual([200, 409]);
}

/** A change that a controller has taken when it is told to end is acknowledged by it. */
async function answersAcceptedCalls(): Promise<void> {
  for (let step = 0; step < 12; step++) {
    const fleet = await founded(200 + step);
    const operator = makeOperator(fleet);
    await applied(fleet, operator);
    function tellToEnd(): void {
      terminate(fleet, 'core-2');
    }
    fleet.w.after(step, tellToEnd);
    const change = { basedOn: operator.acked(), intents: fleet.d.intents };
    expect({ step, status: await statusAt(fleet, 'core-2', 'PUT', change) }).toEqual({
      step,
      status: 200,
    });
  }
}

test('a voter that leaves while another is away is replaced first', whileAnotherVoterIsAway);
test('a voter that leaves does not stop as one of only two replicas', onlyOtherCopy);
test('a voter that leaves stays until the others are a quorum', staysUntilMajority);
test(
  'a voter that the others need stops by itself before its grace period is over',
  stopsBeforeGraceIsOver,
);
test('a rolling restart is not delayed, and every change survives it', rollingRestart);
test('of two voters that leave, the second waits for the first to return', oneAfterTheOther);
test('where all voters leave, none waits', allAtOnce);
test('a controller that leaves answers its operators', answersOperators);

test('a controller that leaves aborts no call that it has accepted', answersAcceptedCalls);
