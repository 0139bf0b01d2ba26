import { Left, Right } from 'purify-ts';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Delta } from '../../shared/replication/delta';
import { Ports } from '../../shared/ports/ports';
import { KeyJournal, makeKeyJournal } from '../../shared/replication/key-journal';
import {
  applyLogEntry,
  RegisterState,
  copyRegisters,
  hasDelta,
  LogEntry,
  decodeRegister,
  decodeLogEntry,
  StoredRegisterState,
  encodeRegister,
  StoredLogEntry,
  encodeLogEntry,
} from './register-state';
import { encodeFrame, encodeFrames, DecodedFrames, decodeFrames } from './frames';
import { makeGroupCommit, awaitFirstWrite } from './group-commit';
import { makeSyncedReader } from './synced-read';

export { applyLogEntry, RegisterState, LogEntry };

/** Differences that a log holds at the most, for each is read anew at the start. */
const MOST_DIFFERENCES = 64;

/** A node's kept state: a random disk id, the founding it agreed to, and its cells; where synced data is gone, the id is a new one. */
export interface ControlStore {
  diskId: string;
  registers: Map<string, RegisterState>;
  /** The keys that were learned in this life, in order. */
  learnedKeys: KeyJournal;
  bootstrapVoterSet: () => unknown;
  recordBootstrap: (v: unknown) => Promise<Result<void>>;
  /** Applies a line and comes back when it is synced; `delta` is its accepted value as the difference to what is learned here, where that is at hand. */
  put: (l: LogEntry, delta?: Delta) => Promise<Result<void>>;
  flush: () => Promise<Result<void>>;
  isWritable: () => boolean;
  isCorrupt: boolean;
}

interface Whole {
  gen: number;
  disk: string;
  founding?: unknown;
  spoilt?: boolean;
  cells: [string, StoredRegisterState][];
}

/** A line on its way to the log; a founding is no line of a key. */
interface Waiting {
  line?: LogEntry;
  stored: StoredLogEntry | { founding: unknown };
}

interface Found {
  whole: Whole;
  cells: Map<string, RegisterState>;
  spoilt: boolean;
  old?: boolean;
}

function genOf(log: DecodedFrames): number {
  if (log.isLegacy) return 0;
  return (log.values[0] as { gen?: number } | undefined)?.gen ?? 0;
}

/** Applies a log; false where one of its differences does not fit. */
function applyLog(w: Whole, cells: Map<string, RegisterState>, log: DecodedFrames): boolean {
  for (const batch of (log.isLegacy ? [log.values] : log.values.slice(1)) as (StoredLogEntry & {
    founding?: unknown;
  })[][]) {
    for (const l of batch) {
      if (l.founding !== undefined) {
        w.founding = l.founding;
        continue;
      }
      const line = decodeLogEntry(cells, l);
      if (!line) return false;
      applyLogEntry(cells, line);
    }
  }
  return true;
}

/** Reads both slots and both logs: the newest whole slot, its log, and the next log where the slot after it can't be read. */
function readWhole(slots: DecodedFrames[], logs: DecodedFrames[]): Found | undefined {
  const wholes = slots.map(wholeOf);
  const i = (wholes[0]?.gen ?? 0) > (wholes[1]?.gen ?? 0) ? 0 : 1;
  const best = wholes[i];
  if (!best)
    return slots[0].isTorn ||
      slots[0].isCorrupt ||
      logs[0].values.length > 1 ||
      logs[1].values.length > 1
      ? { whole: { gen: 0, disk: '', cells: [] }, cells: new Map(), spoilt: true }
      : undefined;
  const log = logs[i];
  const next = logs[1 - i];
  const cells = new Map<string, RegisterState>();
  for (const [key, c] of best.cells) cells.set(key, decodeRegister(c));
  const fits = applyLog(best, cells, log);
  const old = slots[i].isLegacy === true;
  let spoilt = !fits || (!old && (genOf(log) !== best.gen || log.isCorrupt));
  if (!wholes[1 - i] && !old) {
    const follows = genOf(next) === best.gen + 1;
    if (follows) spoilt ||= !applyLog(best, cells, next);
    spoilt ||= next.isCorrupt || (follows && log.isTorn && next.values.length > 1);
  }
  return { whole: { ...best, cells: [] }, cells, spoilt, old };
}

function wholeOf(slot: DecodedFrames): Whole | undefined {
  return slot.values[0] as Whole | undefined;
}

function storeEntry([key, c]: [string, RegisterState]): [string, StoredRegisterState] {
  return [key, encodeRegister(c)];
}

function storedOf(x: Waiting): unknown {
  return x.stored;
}

/** Opens the two slots and the logs between; torn tails are cut, and a disk whose synced data or votes are gone counts as a new one. A disk that takes no write `within` a time is opened all the same, unfit until it does. */
export async function openControlStore(
  ports: Ports,
  mostLog: number,
  kept?: { disk: string; isCorrupt: boolean; isLegacy?: boolean },
  within = Infinity,
): Promise<Result<ControlStore>> {
  const files: DecodedFrames[] = [];
  const reader = makeSyncedReader(ports.disk);
  for (const name of ['slot-0', 'slot-1', 'log-0', 'log-1']) {
    const [f, bytes] = errorOrValue(await reader.read(name));
    if (f) return Left(f);
    files.push(decodeFrames(bytes));
  }
  const read = readWhole(files.slice(0, 2), files.slice(2));
  let state: Whole = read?.whole ?? { gen: 0, disk: ports.random.uuid(), cells: [] };
  const votesGone =
    kept !== undefined &&
    (kept.isCorrupt || (!kept.isLegacy && kept.disk !== state.disk && (read?.cells.size ?? 0) > 0));
  if (read?.spoilt || votesGone) {
    const was = state.disk;
    state = { ...state, disk: ports.random.uuid(), spoilt: true };
    ports.logger.error(
      { step: 'open slots', peer: 'disk' },
      `synced data of disk ${was} is gone; this node counts as a new disk ${state.disk} and does not vote until it is named in the place of the old one`,
    );
  }
  const cells = read?.cells ?? new Map<string, RegisterState>();
  /** What the files give: the cells without the lines that still wait for the log. */
  const written = copyRegisters(cells);
  const learned = makeKeyJournal();
  let logBytes = 0;
  let differences = 0;
  let torn = true;
  let oldForm = read?.old === true;

  async function turn(): Promise<Result<void>> {
    const gen = state.gen + 1;
    const next: Whole = {
      gen,
      disk: state.disk,
      founding: state.founding,
      spoilt: state.spoilt,
      cells: [...written].map(storeEntry),
    };
    const [f] = errorOrValue(await ports.disk.write(`log-${gen % 2}`, encodeFrame({ gen })));
    if (f) return Left(f);
    const [g] = errorOrValue(await ports.disk.write(`slot-${gen % 2}`, encodeFrame(next)));
    if (g) return Left(g);
    state = { ...next, cells: [] };
    logBytes = 0;
    differences = 0;
    torn = false;
    return Right(undefined);
  }

  /** Turns to the other slot; where the one that was read is of version 0.1, to both, so that none of it is left. */
  async function turnOver(): Promise<Result<void>> {
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
  async function writeBatch(batch: Waiting[]): Promise<Result<void>> {
    const o = await writeLines(batch);
    if (o.isLeft()) torn = true;
    for (const x of batch) if (x.line) applyLogEntry(written, x.line);
    return o;
  }

  async function writeLines(batch: Waiting[]): Promise<Result<void>> {
    if (torn || isLogFull()) {
      const o = await turnOver();
      if (o.isLeft()) return o;
    }
    if (batch.length === 0) return Right(undefined);
    for (const bytes of encodeFrames(batch.map(storedOf))) {
      const [g] = errorOrValue(await ports.disk.append(`log-${state.gen % 2}`, bytes));
      if (g) {
        ports.logger.error({ step: g.step, peer: g.peer }, g.reason);
        return failure('write log', 'disk', g.reason, 'failed', 'disk');
      }
      logBytes += bytes.length;
    }
    for (const x of batch) if (x.line && hasDelta(x.stored as StoredLogEntry)) differences++;
    return Right(undefined);
  }

  function behind(): boolean {
    return torn;
  }

  const group = makeGroupCommit(writeBatch, behind);
  const [unwritten] = errorOrValue(
    await awaitFirstWrite(ports, within, 'open slots', group.flush()),
  );
  if (unwritten) {
    ports.logger.error(
      { step: 'open slots', peer: 'disk' },
      `${unwritten.reason}; this node does not vote until the disk takes writes`,
    );
  }

  function put(line: LogEntry, delta?: Delta): Promise<Result<void>> {
    const stored = encodeLogEntry(line, cells.get(line.key)?.learned, delta);
    applyLogEntry(cells, line);
    if (line.learned) learned.add(line.key);
    return group.add({ line, stored });
  }

  function found(v: unknown): Promise<Result<void>> {
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
    diskId: state.disk,
    registers: cells,
    learnedKeys: learned,
    bootstrapVoterSet: founding,
    recordBootstrap: found,
    put,
    flush: group.flush,
    isWritable: fit,
    isCorrupt: state.spoilt === true,
  });
}
