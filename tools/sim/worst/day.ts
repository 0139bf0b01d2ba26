/** A worst day: storms of operators' changes over a core in trouble, and what is judged of it. */
import { errorOrValue } from '../../../src/shared/errors/errors';
import { checkHistory, sayVerdict } from '../../../src/shared/history/verdict';
import { CONTROL_KEYS } from '../../../src/shared/state/control-keys';
import { NamedWeights } from '../../../src/shared/state/weights';
import { HistoryRecorder, makeHistoryRecorder } from '../../history/record';
import { seededDice } from '../dice';
import { CoreWays, makeWorstCore, Member, WorstCore } from './core';
import { drawWorstFaults, Injector, injectWorstFaults, WorstFault } from './faults';
import { drawChange, MODELS, weightsKeyOf } from './orders';
import { Fate, makeStorm, OPERATORS, Storm } from './storm';

/** How a day is made. */
export interface WorstWays extends CoreWays {
  /** The faults; drawn by the seed where left out. */
  schedule?: WorstFault[];
  /** How many faults are drawn; by the seed where left out. */
  faultCount?: number;
}

/** What became of a day. */
export interface WorstDay {
  seed: number;
  size: number;
  violations: string[];
  schedule: WorstFault[];
  /** Faults that were brought about, by kind. */
  faults: Record<string, number>;
  calls: number;
  acknowledged: number;
  refused: number;
  unknown: number;
  /** The longest that an order waited for a clear answer in calm times, in ms. */
  longestCalmMs: number;
  history: string;
  lines: string[];
}

const DAY_MS = 40000;
const STEP_MS = 20;
const START_MOST_MS = 15000;
const SETTLE_MOST_MS = 25000;
const READ_BACK_MOST_MS = 15000;
const FEWEST_FAULTS = 6;
const MOST_FAULTS = 24;
const LARGE_SHARE = 0.3;
/** How often the closing fault waits for the change's acknowledgement. */
const CLOSES_ACKNOWLEDGED_SHARE = 0.5;
/** The longest from there, or from the change's sending, to the closing fault. */
const CLOSING_MOST_MS = 400;
/** For how long the machines are dark. */
const DARK_MS = [300, 1300] as const;
/** How far apart they come back at the most. */
const BACK_APART_MS = 200;

interface Scene {
  core: WorstCore;
  storm: Storm;
  recorder: HistoryRecorder;
  violations: string[];
}

/** Runs virtual time on until a condition holds; false past the bound. */
async function runUntil(core: WorstCore, most: number, holds: () => boolean): Promise<boolean> {
  const until = core.world.now() + most;
  while (!holds()) {
    if (core.world.now() >= until) return false;
    await core.world.run(core.world.now() + STEP_MS);
  }
  return true;
}

/** Runs virtual time on until a promise is settled; undefined past the bound. */
async function settled<T>(
  core: WorstCore,
  most: number,
  promise: Promise<T>,
): Promise<T | undefined> {
  let result: { value: T } | undefined;
  function keep(value: T): void {
    result = { value };
  }
  function isSettled(): boolean {
    return result !== undefined;
  }
  void promise.then(keep);
  await runUntil(core, most, isSettled);
  return result?.value;
}

function allVote(core: WorstCore): boolean {
  return core.members().every(core.votes);
}

async function startDay(scene: Scene): Promise<boolean> {
  const { core, storm, violations } = scene;
  const first = drawChange('first', { revision: 0 }, { ...core.world.dice, next: half });
  function half(): number {
    return 0.5;
  }
  const fate = await settled(core, START_MOST_MS, storm.insist(OPERATORS[0], first, START_MOST_MS));
  function isReady(): boolean {
    return allVote(core);
  }
  const isUp = await runUntil(core, START_MOST_MS, isReady);
  if (!fate?.isClear || !isUp) violations.push('the core did not start');
  core.settings.bootstrap = false;
  return violations.length === 0;
}

async function readBack(scene: Scene, member: Member): Promise<void> {
  const { core, storm, violations } = scene;
  const until = core.world.now() + READ_BACK_MOST_MS;
  let revision: number | undefined;
  while (revision === undefined && core.world.now() < until) {
    revision = await settled(core, READ_BACK_MOST_MS, storm.read('reader', member));
    if (revision === undefined) await core.world.run(core.world.now() + 100);
  }
  if (revision === undefined) violations.push(`${member.proc.name} gives nothing back`);
}

async function readNames(scene: Scene, member: Member): Promise<void> {
  const { core, recorder, violations } = scene;
  for (const model of MODELS) {
    const start = core.world.now();
    if (!member.controller) return;
    const outcome = await settled(
      core,
      READ_BACK_MOST_MS,
      member.controller.readLinearizable(CONTROL_KEYS.weights + model),
    );
    const [fault, numbered] = outcome ? errorOrValue(outcome) : [undefined, undefined];
    if (!outcome || fault) violations.push(`${member.proc.name} gives no weights back`);
    else
      recorder.record({
        key: weightsKeyOf(model),
        kind: 'read',
        client: 'reader',
        order: `${member.proc.name} ${model}`,
        start,
        end: core.world.now(),
        answer: 'ok',
        base: 0,
        revision: (numbered?.value as NamedWeights | undefined)?.rank ?? 0,
      });
  }
}

/** The members in an order drawn by the seed. */
function shuffled(core: WorstCore): Member[] {
  const drawn = new Map<Member, number>();
  for (const member of core.members()) drawn.set(member, core.world.dice.next());
  function byDraw(a: Member, b: Member): number {
    return drawn.get(a)! - drawn.get(b)!;
  }
  return core.members().sort(byDraw);
}

/**
 * Right after a change was sent or acknowledged, as many members as may be lost lose their disks, and all
 * others their power. By then every member that was lost before has had `catchUpMs`.
 */
async function closeDay(scene: Scene): Promise<void> {
  const { core, storm } = scene;
  const { world, settings } = core;
  await world.run(world.now() + settings.catchUpMs);
  const change = drawChange('closing', storm.known('reader'), world.dice);
  const sent = storm.insist('reader', change, settings.ackMs);
  if (world.dice.next() < CLOSES_ACKNOWLEDGED_SHARE) await settled(core, settings.ackMs, sent);
  await world.run(world.now() + world.dice.next() * CLOSING_MOST_MS);
  const order = shuffled(core);
  for (const [index, member] of order.entries())
    core.lose(member, { power: true, wipe: index < core.tolerated });
  core.disturb(world.now());
  await world.run(world.now() + DARK_MS[0] + world.dice.next() * (DARK_MS[1] - DARK_MS[0]));
  for (const member of order) {
    core.back(member);
    await world.run(world.now() + world.dice.next() * BACK_APART_MS);
  }
  core.disturb(world.now());
}

async function endDay(scene: Scene, injector: Injector): Promise<void> {
  const { core, storm, violations } = scene;
  injector.endAll();
  for (const member of core.members()) core.back(member);
  await closeDay(scene);
  function isBack(): boolean {
    return allVote(core);
  }
  if (!(await runUntil(core, SETTLE_MOST_MS, isBack)))
    violations.push('not all controllers vote after the day');
  for (const member of core.members()) await readBack(scene, member);
  for (const member of core.members()) await readNames(scene, member);
  const last = drawChange('last', storm.known('reader'), core.world.dice);
  const { ackMs } = core.settings;
  const fate = await settled(core, ackMs * 2, storm.insist('reader', last, ackMs));
  if (!fate?.isClear) violations.push('a change after the day was not answered');
}

/** Whether nothing was done to the core from a while before a time until another. */
function isCalm(core: WorstCore, from: number, to: number): boolean {
  const since = from - core.settings.contactMs;
  for (const disturbance of core.disturbances)
    if (disturbance.from <= to && disturbance.to >= since) return false;
  return true;
}

function judgeFates(scene: Scene): number {
  const { core, storm, violations } = scene;
  const { ackMs } = core.settings;
  let longest = 0;
  function isBound(fate: Fate): boolean {
    return isCalm(core, fate.firstSent, Math.min(fate.over, fate.firstSent + ackMs));
  }
  for (const fate of storm.fates.filter(isBound)) {
    const took = fate.over - fate.firstSent;
    longest = Math.max(longest, took);
    if (took > ackMs || !fate.isClear)
      violations.push(
        `${fate.order.name} was not answered within the bound in calm times: ${Math.round(took)} ms from ${Math.round(fate.firstSent)}`,
      );
  }
  return longest;
}

function countAnswers(recorder: HistoryRecorder, answer: string): number {
  let count = 0;
  for (const call of recorder.calls()) if (call.answer === answer && call.kind !== 'read') count++;
  return count;
}

/** The faults that a seed draws. */
export function scheduleOf(seed: number, faultCount?: number): WorstFault[] {
  const dice = seededDice(seed * 7919 + 1);
  const drawn = FEWEST_FAULTS + Math.floor(dice.next() * (MOST_FAULTS - FEWEST_FAULTS));
  const count = faultCount ?? drawn;
  return drawWorstFaults(dice, { from: 3000, to: DAY_MS - 4000 }, count);
}

/** Plays and judges a day. */
export async function playWorstDay(seed: number, ways: WorstWays = {}): Promise<WorstDay> {
  const size = seededDice(seed * 104729).next() < LARGE_SHARE ? 5 : 3;
  const core = makeWorstCore(seed, size, ways);
  const recorder = makeHistoryRecorder();
  const schedule = ways.schedule ?? scheduleOf(seed, ways.faultCount);
  let injector: Injector | undefined;
  function sent(): void {
    injector?.sent();
  }
  function acknowledged(): void {
    injector?.acknowledged();
  }
  const storm = makeStorm(core, recorder, { sent, acknowledged });
  const scene: Scene = { core, storm, recorder, violations: [] };
  const { violations } = scene;
  if (await startDay(scene)) {
    injector = injectWorstFaults(core, schedule);
    const over = storm.run(DAY_MS);
    await core.world.run(DAY_MS - 2000);
    injector.endAll();
    await settled(core, SETTLE_MOST_MS * 2, over);
    await endDay(scene, injector);
  }
  const longestCalmMs = judgeFates(scene);
  const verdict = checkHistory(recorder.calls());
  if (verdict.findings.length > 0) violations.push(sayVerdict(verdict, recorder.calls()));
  return {
    seed,
    size,
    violations,
    schedule,
    faults: injector?.counts ?? {},
    calls: recorder.calls().length,
    acknowledged: countAnswers(recorder, 'ok'),
    refused: countAnswers(recorder, 'refused'),
    unknown: countAnswers(recorder, 'unknown'),
    longestCalmMs,
    history: recorder.text(),
    lines: core.world.lines,
  };
}

/** Leaves out what a failing day does not need, one fault at a time. */
export async function shrinkWorstDay(day: WorstDay): Promise<WorstDay> {
  let best = day;
  for (let index = 0; index < best.schedule.length;) {
    const schedule = [...best.schedule.slice(0, index), ...best.schedule.slice(index + 1)];
    const less = await playWorstDay(day.seed, { schedule });
    if (less.violations.length > 0) best = less;
    else index++;
  }
  return best;
}
