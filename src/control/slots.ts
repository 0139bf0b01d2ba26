import { Left, Right } from 'purify-ts';
import { bad, open, Outcome } from '../shared/errors';
import { Ports } from '../shared/ports';
import { Journal, makeJournal } from '../shared/journal';
import { Numbered } from '../shared/words';
import { frame, Unframed, unframe } from './frames';
import { makeGroup, untilWritten } from './group';

/** What a disk holds of one control key. */
export interface Cell {
  promised: { epoch: number; by: string };
  accepted?: Numbered;
  learned?: Numbered;
}

/** One line of the log: what changed of one key; `learned: true` is what was accepted. */
export interface Line {
  key: string;
  promised?: { epoch: number; by: string };
  accepted?: Numbered;
  learned?: Numbered | true;
}

/** A node's kept state: a random disk id, the founding it agreed to, and its cells; where synced data is gone, the id is a new one. */
export interface Slots {
  disk: string;
  cells: Map<string, Cell>;
  /** The keys that were learned in this life, in order. */
  learned: Journal;
  founding(): unknown;
  found(v: unknown): Promise<Outcome<void>>;
  put(l: Line): Promise<Outcome<void>>;
  settled(): Promise<Outcome<void>>;
  fit(): boolean;
  spoilt: boolean;
}

interface Whole {
  gen: number;
  disk: string;
  founding?: unknown;
  spoilt?: boolean;
  cells: [string, Cell][];
}

interface Found {
  whole: Whole;
  spoilt: boolean;
  old?: boolean;
}

/** Applies one line of the log to the cells. */
export function applyLine(cells: Map<string, Cell>, l: Line): void {
  const c = cells.get(l.key) ?? { promised: { epoch: 0, by: '' } };
  if (l.promised) c.promised = l.promised;
  if (l.accepted) c.accepted = l.accepted;
  if (l.learned) c.learned = l.learned === true ? c.accepted : l.learned;
  cells.set(l.key, c);
}

function genOf(log: Unframed): number {
  if (log.old) return 0;
  return (log.values[0] as { gen?: number } | undefined)?.gen ?? 0;
}

function applyLog(w: Whole, cells: Map<string, Cell>, log: Unframed): void {
  for (const batch of (log.old ? [log.values] : log.values.slice(1)) as (Line & {
    founding?: unknown;
  })[][]) {
    for (const l of batch) {
      if (l.founding !== undefined) w.founding = l.founding;
      else applyLine(cells, l);
    }
  }
}

/** Reads both slots and both logs: the newest whole slot, its log, and the next log where the slot after it can't be read. */
function readWhole(slots: Unframed[], logs: Unframed[]): Found | undefined {
  const wholes = slots.map(wholeOf);
  const i = (wholes[0]?.gen ?? 0) > (wholes[1]?.gen ?? 0) ? 0 : 1;
  const best = wholes[i];
  if (!best)
    return slots[0].torn ||
      slots[0].spoilt ||
      logs[0].values.length > 1 ||
      logs[1].values.length > 1
      ? { whole: { gen: 0, disk: '', cells: [] }, spoilt: true }
      : undefined;
  const log = logs[i];
  const next = logs[1 - i];
  const cells = new Map(best.cells);
  applyLog(best, cells, log);
  const old = slots[i].old === true;
  let spoilt = !old && (genOf(log) !== best.gen || log.spoilt);
  if (!wholes[1 - i] && !old) {
    const follows = genOf(next) === best.gen + 1;
    if (follows) applyLog(best, cells, next);
    spoilt ||= next.spoilt || (follows && log.torn && next.values.length > 1);
  }
  return { whole: { ...best, cells: [...cells] }, spoilt, old };
}

function wholeOf(slot: Unframed): Whole | undefined {
  return slot.values[0] as Whole | undefined;
}

/** Opens the two slots and the logs between; torn tails are cut, and a disk whose synced data or votes are gone counts as a new one. A disk that takes no write `within` a time is opened all the same, unfit until it does. */
export async function openSlots(
  ports: Ports,
  mostLog: number,
  kept?: { disk: string; spoilt: boolean; old?: boolean },
  within = Infinity,
): Promise<Outcome<Slots>> {
  const files: Unframed[] = [];
  for (const name of ['slot-0', 'slot-1', 'log-0', 'log-1']) {
    const [f, bytes] = open(await ports.disk.read(name));
    if (f) return Left(f);
    files.push(unframe(bytes));
  }
  const read = readWhole(files.slice(0, 2), files.slice(2));
  let state: Whole = read?.whole ?? { gen: 0, disk: ports.dice.id(), cells: [] };
  const votesGone =
    kept !== undefined &&
    (kept.spoilt || (!kept.old && kept.disk !== state.disk && state.cells.length > 0));
  if (read?.spoilt || votesGone) {
    const was = state.disk;
    state = { ...state, disk: ports.dice.id(), spoilt: true };
    ports.log.error(
      { step: 'open slots', peer: 'disk' },
      `synced data of disk ${was} is gone; this node counts as a new disk ${state.disk} and does not vote until it is named in the place of the old one`,
    );
  }
  const cells = new Map<string, Cell>(state.cells);
  const learned = makeJournal();
  let logBytes = 0;
  let torn = true;
  let oldForm = read?.old === true;

  async function turn(): Promise<Outcome<void>> {
    const gen = state.gen + 1;
    const next: Whole = {
      gen,
      disk: state.disk,
      founding: state.founding,
      spoilt: state.spoilt,
      cells: [...cells],
    };
    const [f] = open(await ports.disk.write(`log-${gen % 2}`, frame({ gen })));
    if (f) return Left(f);
    const [g] = open(await ports.disk.write(`slot-${gen % 2}`, frame(next)));
    if (g) return Left(g);
    state = { ...next, cells: [] };
    logBytes = 0;
    torn = false;
    return Right(undefined);
  }

  /** Turns to the other slot; where the one that was read is of version 0.1, to both, so that none of it is left. */
  async function turnOver(): Promise<Outcome<void>> {
    if (oldForm) {
      const o = await turn();
      if (o.isLeft()) return o;
      oldForm = false;
    }
    return turn();
  }

  async function writeBatch(lines: unknown[]): Promise<Outcome<void>> {
    if (torn || logBytes > mostLog) {
      const o = await turnOver();
      if (o.isLeft()) {
        torn = true;
        return o;
      }
    }
    if (lines.length === 0) return Right(undefined);
    const bytes = frame(lines);
    const [g] = open(await ports.disk.append(`log-${state.gen % 2}`, bytes));
    if (g) {
      torn = true;
      ports.log.error({ step: g.step, peer: g.peer }, g.why);
      return bad('write log', 'disk', g.why, 'failed', 'disk');
    }
    logBytes += bytes.length;
    return Right(undefined);
  }

  function behind(): boolean {
    return torn;
  }

  const group = makeGroup(writeBatch, behind);
  const [unwritten] = open(await untilWritten(ports, within, 'open slots', group.settled()));
  if (unwritten) {
    ports.log.error(
      { step: 'open slots', peer: 'disk' },
      `${unwritten.why}; this node does not vote until the disk takes writes`,
    );
  }

  function put(l: Line): Promise<Outcome<void>> {
    applyLine(cells, l);
    if (l.learned) learned.add(l.key);
    return group.add(l);
  }

  function found(v: unknown): Promise<Outcome<void>> {
    state.founding = v;
    return group.add({ founding: v });
  }

  function founding(): unknown {
    return state.founding;
  }

  function fit(): boolean {
    return !torn;
  }

  return Right({
    disk: state.disk,
    cells,
    learned,
    founding,
    found,
    put,
    settled: group.settled,
    fit,
    spoilt: state.spoilt === true,
  });
}
