import { makeDeploymentOperation } from '../../src/control/configuration/deployment-change';
import { DeploymentValue, StoredOrder } from '../../src/shared/state/deployment';
import { Clock } from '../../src/shared/ports/clock';
import { RandomSource } from '../../src/shared/ports/random';
import { seededDice } from '../../tools/sim/dice';
import { Proc } from '../../tools/sim/process';
import { begin, CoreRig, documentOf, isolate, PATHS } from './deploymentrig';

const SEEDS = 12;
const OPERATORS = 4;
const ORDERS_PER_OPERATOR = 25;
const TROUBLES = 8;

/** The share of answers that are lost on their way. */
const LOST_ANSWERS = 0.3;

/** How often an order without a clear answer is sent again before its operator gives it up. */
const TRIES = 8;

interface SentOrder {
  base: number;
  revision: number;
  sum: string;
  isValid: boolean;
  /** All answers that were given, also those that were lost. */
  statuses: number[];
}

function choose<T>(dice: RandomSource, from: T[]): T {
  return from[Math.floor(dice.next() * from.length)];
}

/** An order on top of what its operator takes for the newest, or a mistaken one. */
function drawOrder(
  dice: RandomSource,
  newest: number,
): { body: Record<string, unknown>; sent: SentOrder } {
  const mistake = dice.next();
  const base = mistake < 0.1 ? Math.floor(dice.next() * newest) : newest;
  const rise = 1 + Math.floor(dice.next() * 3);
  const revision = mistake > 0.9 ? base - Math.floor(dice.next() * 2) : newest + rise;
  const service = mistake > 0.8 && mistake < 0.85 ? 'ghost' : 'engines';
  const prefixes = dice.next() < 0.3 ? ['/same/'] : [`/p${Math.floor(dice.next() * 1000)}/`];
  const whole = documentOf(revision, prefixes);
  const routes = (whole.routes as object[]).map(toService);
  function toService(route: object): object {
    return { ...route, service };
  }
  const body = { ...whole, routes };
  const { sum } = makeDeploymentOperation(base, 'replace', body);
  const isValid = revision > base && service === 'engines';
  return { body, sent: { base, revision, sum: sum!, isValid, statuses: [] } };
}

async function sendUntilClear(
  rig: CoreRig,
  clock: Clock,
  dice: RandomSource,
  body: unknown,
  sent: SentOrder,
): Promise<number | undefined> {
  for (let i = 0; i < TRIES; i++) {
    const heard = await rig.call(choose(dice, rig.core), 'POST', PATHS.replace, sent.base, body);
    if (heard) sent.statuses.push(heard.status);
    const isLost = dice.next() < LOST_ANSWERS;
    if (heard && heard.status < 500 && !isLost) return heard.status;
    await clock.sleep(50 + dice.next() * 500);
  }
  return undefined;
}

/** The newest revision, asked of one controller after the other. */
async function readNewest(rig: CoreRig, clock: Clock, dice: RandomSource): Promise<number> {
  for (;;) {
    const heard = await rig.call(choose(dice, rig.core), 'GET', PATHS.describe);
    if (heard?.status === 200) return heard.body.revision as number;
    await clock.sleep(100);
  }
}

async function operate(
  rig: CoreRig,
  clock: Clock,
  dice: RandomSource,
  all: SentOrder[],
): Promise<void> {
  let newest = 1;
  for (let i = 0; i < ORDERS_PER_OPERATOR; i++) {
    const { body, sent } = drawOrder(dice, newest);
    all.push(sent);
    const status = await sendUntilClear(rig, clock, dice, body, sent);
    if (status === 200) newest = Math.max(newest, sent.revision);
    else newest = await readNewest(rig, clock, dice);
  }
}

async function trouble(rig: CoreRig, dice: RandomSource): Promise<void> {
  const victim = choose(dice, rig.core);
  const others = rig.core.filter(isOther);
  function isOther(p: Proc): boolean {
    return p !== victim;
  }
  const kind = Math.floor(dice.next() * 5);
  if (kind === 0) rig.w.kill(victim, dice.next() < 0.5);
  if (kind === 1) isolate(rig, victim);
  if (kind === 2) for (const other of others) rig.w.cut(victim.ip, other.ip, true);
  if (kind === 3) for (const other of others) rig.w.cut(other.ip, victim.ip, true);
  if (kind === 4) rig.w.freeze(victim);
  await rig.pass(300 + dice.next() * 2500);
  if (kind === 0) {
    rig.w.revive(victim);
    rig.start(victim);
  }
  if (kind === 4) rig.w.wake(victim);
  rig.w.healLinks();
}

/** What was taken in truth, by the newest value that any controller holds. */
function takenOrders(rig: CoreRig): StoredOrder[] {
  let newest: DeploymentValue | undefined;
  for (const controller of rig.controllers.values()) {
    const value = controller.committedValue<DeploymentValue>('deployment')?.value;
    if (value && value.revision > (newest?.revision ?? 0)) newest = value;
  }
  return newest!.taken;
}

function isRefused(status: number): boolean {
  return status >= 400 && status < 500;
}

/** Compares what operators heard with what was taken. */
function judge(seed: number, all: SentOrder[], taken: StoredOrder[]): void {
  for (const [i, order] of taken.entries())
    expect([seed, order.base]).toEqual([seed, i === 0 ? 0 : taken[i - 1].revision]);
  for (const sent of all) {
    const wasTaken = taken.some(isSame);
    function isSame(order: StoredOrder): boolean {
      return order.sum === sent.sum && order.base === sent.base;
    }
    const about = [seed, sent];
    if (wasTaken) expect([...about, sent.statuses.some(isRefused)]).toEqual([...about, false]);
    else expect([...about, sent.statuses.includes(200)]).toEqual([...about, false]);
    if (!sent.isValid) expect([...about, wasTaken]).toEqual([...about, false]);
  }
}

async function history(seed: number): Promise<number> {
  const rig = await begin(seed);
  const clock = rig.w.clock(rig.w.proc('operators', '10.9.0.2'));
  const all: SentOrder[] = [];
  let working = OPERATORS;
  function over(): void {
    working--;
  }
  for (let i = 0; i < OPERATORS; i++)
    void operate(rig, clock, seededDice(seed * 100 + i), all).then(over);
  const dice = seededDice(seed);
  for (let i = 0; i < TROUBLES; i++) {
    await trouble(rig, dice);
    await rig.pass(dice.next() * 4000);
  }
  for (let i = 0; i < 6000 && working > 0; i++) await rig.pass(50);
  expect([seed, working]).toEqual([seed, 0]);
  const taken = takenOrders(rig);
  judge(seed, all, taken);
  return taken.length;
}

async function histories(): Promise<void> {
  let taken = 0;
  for (let seed = 1; seed <= SEEDS; seed++) taken += await history(seed);

  expect(taken).toBeGreaterThan(SEEDS * 10);
}

test('what operators hear fits what was taken, in any trouble and with lost answers', histories);
