import { Left, Right } from 'purify-ts';
import { bad, open, Outcome } from '../../shared/errors/errors';
import { Delta } from '../../shared/replication/delta';
import { Ports } from '../../shared/ports/ports';
import { Journal, makeJournal } from '../../shared/replication/key-journal';
import {
  applyLine,
  Cell,
  copyCells,
  isDifference,
  Line,
  restoreCell,
  restoreLine,
  StoredCell,
  storeCell,
  StoredLine,
  storeLine,
} from './register-state';
import { frame, framesOf, Unframed, unframe } from './frames';
import { makeGroup, untilWritten } from './group-commit';
import { makeSyncedReader } from './synced-read';

export { applyLine, Cell, Line };

/** Differences that a log holds at the most, for each is read anew at the start. */
const MOST_DIFFERENCES = 64;

/** A node's kept state: a random disk id, the founding it agreed to, and its cells; where synced data is gone, the id is a new one. */
export interface Slots {
  disk: string;
  cells: Map<string, Cell>;
  /** The keys that were learned in this life, in order. */
  learned: Journal;
  founding(): unknown;
  found(v: unknown): Promise<Outcome<void>>;
  /** Applies a line and comes back when it is synced; `delta` is its accepted value as the difference to what is learned here, where that is at hand. */
  put(l: Line, delta?: Delta): Promise<Outcome<void>>;
  settled(): Promise<Outcome<void>>;
  fit(): boolean;
  spoilt: boolean;
}

interface Whole {
  gen: number;
  disk: string;
  founding?: unknown;
  spoilt?: boolean;
  cells: [string, StoredCell][];
}

/** A line on its way to the log; a founding is no line of a key. */
interface Waiting {
  line?: Line;
  stored: StoredLine | { founding: unknown };
}

interface Found {
  whole: Whole;
  cells: Map<string, Cell>;
  spoilt: boolean;
  old?: boolean;
}

function genOf(log: Unframed): number {
  if (log.old) return 0;
  return (log.values[0] as { gen?: number } | undefined)?.gen ?? 0;
}

/** Applies a log; false where one of its differences does not fit. */
function applyLog(w: Whole, cells: Map<string, Cell>, log: Unframed): boolean {
  for (const batch of (log.old ? [log.values] : log.values.slice(1)) as (StoredLine & {
    founding?: unknown;
  })[][]) {
    for (const l of batch) {
      if (l.founding !== undefined) {
        w.founding = l.founding;
        continue;
      }
      const line = restoreLine(cells, l);
      if (!line) return false;
      applyLine(cells, line);
    }
  }
  return true;
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
      ? { whole: { gen: 0, disk: '', cells: [] }, cells: new Map(), spoilt: true }
      : undefined;
  const log = logs[i];
  const next = logs[1 - i];
  const cells = new Map<string, Cell>();
  for (const [key, c] of best.cells) cells.set(key, restoreCell(c));
  const fits = applyLog(best, cells, log);
  const old = slots[i].old === true;
  let spoilt = !fits || (!old && (genOf(log) !== best.gen || log.spoilt));
  if (!wholes[1 - i] && !old) {
    const follows = genOf(next) === best.gen + 1;
    if (follows) spoilt ||= !applyLog(best, cells, next);
    spoilt ||= next.spoilt || (follows && log.torn && next.values.length > 1);
  }
  return { whole: { ...best, cells: [] }, cells, spoilt, old };
}

function wholeOf(slot: Unframed): Whole | undefined {
  return slot.values[0] as Whole | undefined;
}

function storeEntry([key, c]: [string, Cell]): [string, StoredCell] {
  return [key, storeCell(c)];
}

function storedOf(x: Waiting): unknown {
  return x.stored;
}

/** Opens the two slots and the logs between; torn tails are cut, and a disk whose synced data or votes are gone counts as a new one. A disk that takes no write `within` a time is opened all the same, unfit until it does. */
export async function openSlots(
  ports: Ports,
  mostLog: number,
  kept?: { disk: string; spoilt: boolean; old?: boolean },
  within = Infinity,
): Promise<Outcome<Slots>> {
  const files: Unframed[] = [];
  const reader = makeSyncedReader(ports.disk);
  for (const name of ['slot-0', 'slot-1', 'log-0', 'log-1']) {
    const [f, bytes] = open(await reader.read(name));
    if (f) return Left(f);
    files.push(unframe(bytes));
  }
  const read = readWhole(files.slice(0, 2), files.slice(2));
  let state: Whole = read?.whole ?? { gen: 0, disk: ports.dice.id(), cells: [] };
  const votesGone =
    kept !== undefined &&
    (kept.spoilt || (!kept.old && kept.disk !== state.disk && (read?.cells.size ?? 0) > 0));
  if (read?.spoilt || votesGone) {
    const was = state.disk;
    state = { ...state, disk: ports.dice.id(), spoilt: true };
    ports.log.error(
      { step: 'open slots', peer: 'disk' },
      `synced data of disk ${was} is gone; this node counts as a new disk ${state.disk} and does not vote until it is named in the place of the old one`,
    );
  }
  const cells = read?.cells ?? new Map<string, Cell>();
  /** What the files give: the cells without the lines that still wait for the log. */
  const written = copyCells(cells);
  const learned = makeJournal();
  let logBytes = 0;
  let differences = 0;
  let torn = true;
  let oldForm = read?.old === true;

  async function turn(): Promise<Outcome<void>> {
    const gen = state.gen + 1;
    const next: Whole = {
      gen,
      disk: state.disk,
      founding: state.founding,
      spoilt: state.spoilt,
      cells: [...written].map(storeEntry),
    };
    const [f] = open(await ports.disk.write(`log-${gen % 2}`, frame({ gen })));
    if (f) return Left(f);
    const [g] = open(await ports.disk.write(`slot-${gen % 2}`, frame(next)));
    if (g) return Left(g);
    state = { ...next, cells: [] };
    logBytes = 0;
    differences = 0;
    torn = false;
    return Right(undefined);
  }

  /** Turns to the other slot; where the one that was read is of version 0.1, to both, so that none of it is left. */
  async function turnOver(): Promise<Outcome<void>> {
    const synced = await reader.sync();
    if (synced.isLeft()) return synced;
    if (oldForm) {
      const o = await turn();
      if (o.isLeft()) return o;
      oldForm = false;
    }
    return turn();
  }

  function isLogFull(): boolean {
    return logBytes > mostLog || differences > MOST_DIFFERENCES;
  }

  /** Writes lines behind one another; those of a write that failed are in the slot that is written next. */
  async function writeBatch(batch: Waiting[]): Promise<Outcome<void>> {
    const o = await writeLines(batch);
    if (o.isLeft()) torn = true;
    for (const x of batch) if (x.line) applyLine(written, x.line);
    return o;
  }

  async function writeLines(batch: Waiting[]): Promise<Outcome<void>> {
    if (torn || isLogFull()) {
      const o = await turnOver();
      if (o.isLeft()) return o;
    }
    if (batch.length === 0) return Right(undefined);
    for (const bytes of framesOf(batch.map(storedOf))) {
      const [g] = open(await ports.disk.append(`log-${state.gen % 2}`, bytes));
      if (g) {
        ports.log.error({ step: g.step, peer: g.peer }, g.why);
        return bad('write log', 'disk', g.why, 'failed', 'disk');
      }
      logBytes += bytes.length;
    }
    for (const x of batch) if (x.line && isDifference(x.stored as StoredLine)) differences++;
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

  function put(line: Line, delta?: Delta): Promise<Outcome<void>> {
    const stored = storeLine(line, cells.get(line.key)?.learned, delta);
    applyLine(cells, line);
    if (line.learned) learned.add(line.key);
    return group.add({ line, stored });
  }

  function found(v: unknown): Promise<Outcome<void>> {
    state.founding = v;
    return group.add({ stored: { founding: v } });
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
