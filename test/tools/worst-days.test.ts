import { Right } from 'purify-ts';
import { Controller } from '../../src/control/controller';
import { applyLogEntry, LogEntry } from '../../src/control/storage/control-store';
import { checkHistory } from '../../src/shared/history/verdict';
import { parseHistory, HistoryCall } from '../../src/shared/history/calls';
import { playWorstDay, scheduleOf, WorstDay, WorstWays } from '../../tools/sim/worst/day';
import { WORST_FAULTS, WorstFault, WorstFaultKind } from '../../tools/sim/worst/faults';

const FEWEST_ACKNOWLEDGED = 100;
const UNWRITTEN_LINES = 10;

async function keepsRules(seed: number, ways: WorstWays = {}): Promise<WorstDay> {
  const day = await playWorstDay(seed, ways);
  expect({ seed, violations: day.violations }).toEqual({ seed, violations: [] });
  expect(day.acknowledged).toBeGreaterThan(FEWEST_ACKNOWLEDGED);
  return day;
}

async function randomDays(from: number): Promise<void> {
  for (let seed = from; seed < from + 3; seed++) await keepsRules(seed);
}

function firstDays(): Promise<void> {
  return randomDays(1);
}

function laterDays(): Promise<void> {
  return randomDays(4);
}

async function sameAgain(): Promise<void> {
  const [first, second] = [await playWorstDay(8), await playWorstDay(8)];
  expect(second.history).toBe(first.history);
  expect(second.faults).toEqual(first.faults);
  const parsed = parseHistory(first.history);
  expect(checkHistory(parsed.extract() as HistoryCall[]).calls).toBe(first.calls);
}

function drawsAll(): void {
  const drawn = new Set<WorstFaultKind>();
  for (let seed = 1; seed <= 40; seed++)
    for (const fault of scheduleOf(seed)) drawn.add(fault.kind);
  expect([...drawn].sort()).toEqual([...WORST_FAULTS].sort());
}

/** Reads give what this controller has heard of, without asking the others. */
function readsOwnMemory(controller: Controller): void {
  function newest(key: string): ReturnType<Controller['readLinearizable']> {
    return Promise.resolve(Right(controller.committedValue(key)?.place));
  }
  controller.readLinearizable = newest;
}

/** Acknowledges a change before it is made. */
function acknowledgesAtOnce(controller: Controller): void {
  const { change } = controller;
  function changeLater(operation: Parameters<typeof change>[0]): ReturnType<typeof change> {
    void change(operation);
    return Promise.resolve(
      Right({ place: { epoch: 0, by: '', number: 0 }, inEffect: false, value: undefined }),
    );
  }
  controller.change = changeLater;
}

/** Tells that a disk holds what is written only with the lines that follow. */
function writesLate(controller: Controller): void {
  const { store: slots } = controller;
  const { put } = slots;
  const unwritten: LogEntry[] = [];
  function putLater(line: LogEntry): ReturnType<typeof put> {
    applyLogEntry(slots.registers, line);
    unwritten.push(line);
    if (unwritten.length > UNWRITTEN_LINES) void put(unwritten.shift()!);
    return Promise.resolve(Right(undefined));
  }
  slots.put = putLater;
}

function powerLoss(at: number): WorstFault {
  return { at, kind: 'power-all', target: 0, trigger: 'acknowledged', delay: 1, ms: 2000 };
}

async function spoiltCore(
  spoil: (controller: Controller) => void,
  schedule?: WorstFault[],
): Promise<number> {
  let caught = 0;
  for (let seed = 1; seed <= 2; seed++)
    if ((await playWorstDay(seed, { spoil, schedule })).violations.length > 0) caught++;
  return caught;
}

/** One member can't reach the others, and the operators still reach it. */
function cutOff(at: number): WorstFault {
  return { at, kind: 'cut', target: 1, trigger: 'time', delay: 0, ms: 4000 };
}

async function catchesStaleReads(): Promise<void> {
  const schedule = [8000, 15000, 22000].map(cutOff);
  expect(await spoiltCore(readsOwnMemory, schedule)).toBe(2);
}

async function catchesEarlyAnswers(): Promise<void> {
  expect(await spoiltCore(acknowledgesAtOnce)).toBe(2);
}

async function catchesLateWrites(): Promise<void> {
  const schedule = [8000, 15000, 22000].map(powerLoss);
  expect(await spoiltCore(writesLate, schedule)).toBe(2);
}

/** A disk that was emptied is full at its start, so that its files of votes are written late; then the day closes. */
async function emptiedAndFull(): Promise<void> {
  await keepsRules(5310);
}

test('an emptied disk that was full at its start stays the voter that it was', emptiedAndFull);
test('worst days keep the rules', firstDays);
test('more worst days keep the rules', laterDays);
test('a day is the same again by its seed, and its history can be read', sameAgain);
test('schedules draw every fault', drawsAll);
test('reads from memory alone are caught', catchesStaleReads);
test('answers before the change is made are caught', catchesEarlyAnswers);
test('answers before the disk has written are caught', catchesLateWrites);
