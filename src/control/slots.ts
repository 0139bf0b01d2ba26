import { crc32 } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { Left, Right } from 'purify-ts';
import { bad, open, Outcome } from '../shared/errors';
import { guard } from '../shared/lib';
import { Ports } from '../shared/ports';
import { Numbered } from '../shared/words';
import { makeGroup } from './group';

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

/** A node's kept state: a random disk id, the founding it agreed to, and its cells. */
export interface Slots {
  disk: string;
  cells: Map<string, Cell>;
  founding(): unknown;
  found(v: unknown): Promise<Outcome<void>>;
  put(l: Line): Promise<Outcome<void>>;
  settled(): Promise<Outcome<void>>;
  fit(): boolean;
  cutBytes: number;
}

interface Whole {
  gen: number;
  disk: string;
  founding?: unknown;
  cells: [string, Cell][];
}

/** Frames bytes with their length and checksum. */
export function frame(v: unknown): Uint8Array {
  const body = pack(v);
  const out = Buffer.alloc(8 + body.length);
  out.writeUInt32BE(body.length, 0);
  out.writeUInt32BE(crc32(body), 4);
  out.set(body, 8);
  return out;
}

/** Reads frames up to the first torn or corrupt one; tells how many bytes were whole. */
export function unframe(bytes: Uint8Array): { values: unknown[]; whole: number } {
  const b = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
  const values: unknown[] = [];
  let at = 0;
  while (at + 8 <= b.length) {
    const len = b.readUInt32BE(at);
    if (at + 8 + len > b.length || len === 0) break;
    const body = b.subarray(at + 8, at + 8 + len);
    if (crc32(body) !== b.readUInt32BE(at + 4)) break;
    const v = guard('unpack', 'disk', read);
    function read(): unknown {
      return unpack(body);
    }
    if (v.isLeft()) break;
    values.push(v.extract());
    at += 8 + len;
  }
  return { values, whole: at };
}

/** Applies one line of the log to the cells. */
export function applyLine(cells: Map<string, Cell>, l: Line): void {
  const c = cells.get(l.key) ?? { promised: { epoch: 0, by: '' } };
  if (l.promised) c.promised = l.promised;
  if (l.accepted) c.accepted = l.accepted;
  if (l.learned) c.learned = l.learned === true ? c.accepted : l.learned;
  cells.set(l.key, c);
}

/** Opens the two slots and the log between; torn tails are cut, never guessed past. */
export async function openSlots(ports: Ports, mostLog: number): Promise<Outcome<Slots>> {
  let best: Whole | undefined;
  for (const name of ['slot-0', 'slot-1']) {
    const [f, bytes] = open(await ports.disk.read(name));
    if (f) return Left(f);
    const w = bytes && (unframe(bytes).values[0] as Whole | undefined);
    if (w && (!best || w.gen > best.gen)) best = w;
  }
  const fresh = best === undefined;
  let state: Whole = best ?? { gen: 0, disk: ports.dice.id(), cells: [] };
  const cells = new Map<string, Cell>(state.cells);
  let logBytes = 0;
  let cutBytes = 0;
  if (!fresh) {
    const [f, bytes] = open(await ports.disk.read(`log-${state.gen % 2}`));
    if (f) return Left(f);
    if (bytes) {
      const { values, whole } = unframe(bytes);
      for (const v of values) {
        const l = v as Line & { founding?: unknown };
        if (l.founding !== undefined) state.founding = l.founding;
        else applyLine(cells, l);
      }
      cutBytes = bytes.length - whole;
    }
  }
  let torn = false;

  async function turn(): Promise<Outcome<void>> {
    const gen = state.gen + 1;
    const next: Whole = { gen, disk: state.disk, founding: state.founding, cells: [...cells] };
    const [f] = open(await ports.disk.write(`log-${gen % 2}`, new Uint8Array(0)));
    if (f) return Left(f);
    const [g] = open(await ports.disk.write(`slot-${gen % 2}`, frame(next)));
    if (g) return Left(g);
    state = { ...next, cells: [] };
    logBytes = 0;
    torn = false;
    return Right(undefined);
  }

  const first = await turn();
  if (first.isLeft()) {
    torn = true;
    ports.log.error({ step: 'open slots', peer: 'disk' }, 'the disk takes no writes; this node does not vote');
  }

  async function writeBatch(lines: unknown[]): Promise<Outcome<void>> {
    if (torn || logBytes > mostLog) {
      const o = await turn();
      if (o.isLeft()) torn = true;
      return o;
    }
    const bytes = Buffer.concat(lines.map(frame));
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

  function put(l: Line): Promise<Outcome<void>> {
    applyLine(cells, l);
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

  return Right({ disk: state.disk, cells, founding, found, put, settled: group.settled, fit, cutBytes });
}
