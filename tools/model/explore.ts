/** Two explorations of a world: random schedules, shrunk where they break an invariant, and all schedules up to a bound. */
import * as fc from 'fast-check';
import { INVARIANTS, InvariantName, Milestone, Violation } from './invariants';
import { Mutation } from './mutations';
import { ModelEvent } from './scheduler';
import { firstViolations, isNotFault, makeModelWorld, MOST_STEPS } from './world';
import { WorldPlan } from './worlds';

/** What was run, as it was measured. */
export interface Tally {
  schedules: number;
  steps: number;
  /** Schedules that were cut off at the most steps. */
  cutOff: number;
  states: Set<string>;
  /** Schedules that broke an invariant whose fault is known, and went on. */
  known: Map<InvariantName, number>;
  /** In how many schedules each milestone was reached. */
  reached: Map<Milestone, number>;
  /** Per invariant: single checks, schedules with a check, and distinct states at which one was made. */
  invariants: Record<InvariantName, { checks: number; schedules: number; states: number }>;
}

/** One schedule that was run. */
export interface Trace {
  labels: string[];
  violations: Violation[];
}

/** The result of an exploration. */
export interface Exploration {
  tally: Tally;
  /** The shortest schedule that breaks an invariant, if any. */
  broken?: Trace;
  /** Schedules that were run until one broke an invariant. */
  foundAfter?: number;
  /** Whether the exhaustive search came to its end. */
  complete?: boolean;
}

/** What is explored. */
export interface Subject {
  plan: WorldPlan;
  mutation: Mutation;
  /** Invariants that are known to be broken: counted, and not a reason to end a schedule. */
  known: ReadonlySet<InvariantName>;
}

/** How far an exploration goes. */
export interface Limits {
  schedules: number;
  /** No schedule begins later than this; without it, all are run. */
  ms?: number;
  /** Exhaustively, only schedules with as many choices other than the oldest event. */
  deviations?: number;
  /** The most schedules that are run to shorten one that breaks an invariant. */
  shrinks?: number;
}

/** All invariants but one. */
export function othersThan(invariant: InvariantName): Set<InvariantName> {
  const names = new Set(Object.keys(INVARIANTS) as InvariantName[]);
  names.delete(invariant);
  return names;
}

/** Picks one of the enabled events by its index. */
type Choose = (events: ModelEvent[], step: number) => number;

const CHOICE_MOST = 1 << 16;
/** Of 64 random choices, how many go to each class that isn't progress, where it has an event. */
const SHARES = 64;
const FAULT_SHARE = 2;
const TIMER_SHARE = 1;
const RECOVERY_SHARE = 2;
const CHOICES_MOST = 400;
/** The shortening goes on for this long where nothing else is said. */
const SHRINKS_MOST = 600;

/** Makes an empty tally. */
export function makeTally(): Tally {
  const invariants = {} as Tally['invariants'];
  for (const name of Object.keys(INVARIANTS) as InvariantName[])
    invariants[name] = { checks: 0, schedules: 0, states: 0 };
  return {
    schedules: 0,
    steps: 0,
    cutOff: 0,
    states: new Set(),
    known: new Map(),
    reached: new Map(),
    invariants,
  };
}

/** Whether the search goes on past a state; it is told of each new one. */
type Visit = (events: ModelEvent[], step: number, digest: string) => boolean;

/** Runs one schedule to its end, to its first violation, or to where `visit` stops it. */
async function runSchedule(
  subject: Subject,
  choose: Choose,
  tally: Tally,
  visit?: Visit,
): Promise<Trace> {
  const world = await makeModelWorld(subject.plan, subject.mutation);
  const { checker } = world;
  const labels: string[] = [];
  const counted = new Map<InvariantName, number>();
  let stopped = false;
  let step = 0;
  for (; step < MOST_STEPS && fresh().length === 0; step++) {
    const events = world.enabled();
    if (!events.some(isNotFault)) break;
    const digest = world.digest();
    count(digest);
    if (visit && !visit(events, step, digest)) {
      stopped = true;
      break;
    }
    const event = events[choose(events, step)];
    labels.push(event.label);
    await world.run(event);
  }
  if (!stopped && fresh().length === 0) await world.close();
  count(world.digest());
  tally.schedules++;
  tally.steps += labels.length;
  if (step === MOST_STEPS) tally.cutOff++;
  for (const [name, checks] of checker.checks) {
    tally.invariants[name].checks += checks;
    tally.invariants[name].schedules++;
  }
  for (const milestone of checker.reached)
    tally.reached.set(milestone, (tally.reached.get(milestone) ?? 0) + 1);
  for (const { invariant } of firstViolations(checker.violations))
    if (subject.known.has(invariant))
      tally.known.set(invariant, (tally.known.get(invariant) ?? 0) + 1);
  return { labels, violations: firstViolations(fresh()) };

  function isFresh(v: Violation): boolean {
    return !subject.known.has(v.invariant);
  }

  function fresh(): Violation[] {
    return checker.violations.filter(isFresh);
  }

  function count(digest: string): void {
    const isNew = !tally.states.has(digest);
    tally.states.add(digest);
    for (const [name, checks] of checker.checks) {
      if (isNew && checks > (counted.get(name) ?? 0)) tally.invariants[name].states++;
      counted.set(name, checks);
    }
  }
}

/** Reads one random number as a choice: mostly progress, and among the faults first a kind, then one of that kind. */
export function indexOf(events: ModelEvent[], choice: number): number {
  const share = choice % SHARES;
  const rest = Math.floor(choice / SHARES);
  const progress = indicesOf(events, 'progress');
  if (share >= SHARES - FAULT_SHARE) return ofKinds(events, indicesOf(events, 'fault'), rest);
  if (share >= SHARES - FAULT_SHARE - TIMER_SHARE)
    return among(indicesOf(events, 'timer'), rest) ?? 0;
  if (share >= SHARES - FAULT_SHARE - TIMER_SHARE - RECOVERY_SHARE)
    return among(indicesOf(events, 'recovery'), rest) ?? 0;
  return among(progress, rest) ?? 0;
}

function indicesOf(events: ModelEvent[], eventClass: ModelEvent['class']): number[] {
  const list: number[] = [];
  for (const [i, event] of events.entries()) if (event.class === eventClass) list.push(i);
  return list;
}

function among(indices: number[], choice: number): number | undefined {
  return indices[choice % indices.length];
}

function ofKinds(events: ModelEvent[], indices: number[], choice: number): number {
  const kinds = new Map<string, number[]>();
  for (const i of indices) kinds.set(events[i].kind, [...(kinds.get(events[i].kind) ?? []), i]);
  if (kinds.size === 0) return 0;
  const kind = [...kinds.values()][choice % kinds.size];
  return among(kind, Math.floor(choice / kinds.size)) ?? 0;
}

/** Runs random schedules from a seed and shrinks the first that breaks an invariant. */
export async function exploreRandomly(
  subject: Subject,
  limits: Limits,
  seed: number,
): Promise<Exploration> {
  const tally = makeTally();
  let foundAfter: number | undefined;
  let broken: Trace | undefined;
  let shrinks = 0;
  async function holds(choices: number[]): Promise<boolean> {
    if (foundAfter !== undefined && ++shrinks > (limits.shrinks ?? SHRINKS_MOST)) return true;
    // What is run while shrinking isn't counted.
    const counts = foundAfter === undefined ? tally : makeTally();
    const trace = await runChoices(subject, choices, counts);
    if (trace.violations.length === 0) return true;
    foundAfter ??= tally.schedules;
    if (!broken || trace.labels.length <= broken.labels.length) broken = trace;
    return false;
  }
  const choices = fc.array(fc.nat(CHOICE_MOST), { maxLength: CHOICES_MOST, size: 'max' });
  await fc.check(fc.asyncProperty(choices, holds), {
    numRuns: limits.schedules,
    seed,
    interruptAfterTimeLimit: limits.ms,
    endOnFailure: limits.shrinks === 0,
  });
  return { tally, foundAfter, broken };
}

/** Runs the schedule of some random choices; after them, the oldest event is next each time. */
function runChoices(subject: Subject, choices: number[], tally: Tally): Promise<Trace> {
  function choose(events: ModelEvent[], step: number): number {
    return step < choices.length ? indexOf(events, choices[step]) : 0;
  }
  return runSchedule(subject, choose, tally);
}

/** Runs the schedule of some labels; those that aren't enabled in their turn are passed over, and at the end the oldest event is next each time. */
export async function replay(subject: Subject, labels: readonly string[]): Promise<Exploration> {
  const tally = makeTally();
  let at = 0;
  function choose(events: ModelEvent[]): number {
    while (at < labels.length) {
      const label = labels[at++];
      const i = events.findIndex(isNamed);
      if (i >= 0) return i;
      function isNamed(event: ModelEvent): boolean {
        return event.label === label;
      }
    }
    return 0;
  }
  const trace = await runSchedule(subject, choose, tally);
  const isBroken = trace.violations.length > 0;
  return { tally, ...(isBroken ? { broken: trace, foundAfter: 1 } : {}) };
}

function isDeviation(choice: number): boolean {
  return choice > 0;
}

/** Runs all schedules, up to a number of them; one that comes to a state that was met with as many deviations left ends there. */
export async function exploreExhaustively(subject: Subject, limits: Limits): Promise<Exploration> {
  const tally = makeTally();
  const met = new Map<string, number>();
  const open: number[][] = [[]];
  const until = performance.now() + (limits.ms ?? Infinity);
  while (open.length > 0 && tally.schedules < limits.schedules && performance.now() < until) {
    const prefix = open.pop()!;
    const path = [...prefix];
    const left = (limits.deviations ?? Infinity) - prefix.filter(isDeviation).length;
    function choose(_events: ModelEvent[], step: number): number {
      if (step >= path.length) path.push(0);
      return path[step];
    }
    function visit(events: ModelEvent[], step: number, digest: string): boolean {
      if (step < prefix.length) return true;
      if ((met.get(digest) ?? -1) >= left) return false;
      met.set(digest, left);
      for (let i = left > 0 ? events.length - 1 : 0; i > 0; i--)
        open.push([...path.slice(0, step), i]);
      return true;
    }
    const trace = await runSchedule(subject, choose, tally, visit);
    if (trace.violations.length > 0)
      return { tally, broken: trace, foundAfter: tally.schedules, complete: false };
  }
  return { tally, complete: open.length === 0 };
}
