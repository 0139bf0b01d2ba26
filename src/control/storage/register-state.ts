import { Delta, makeDelta, readDelta } from '../../shared/replication/delta';
import { compareVersions, VersionedValue } from '../../shared/state/versions';

/** What a disk holds of one control key. */
export interface RegisterState {
  promised: { epoch: number; by: string };
  accepted?: VersionedValue;
  learned?: VersionedValue;
}

/** One change of one key; `learned: true` is what was accepted. */
export interface LogEntry {
  key: string;
  promised?: { epoch: number; by: string };
  accepted?: VersionedValue;
  learned?: VersionedValue | true;
}

/** A line as the log stores it: a long value as its difference to what the key has learned by then. */
export interface StoredLogEntry {
  key: string;
  promised?: { epoch: number; by: string };
  accepted?: VersionedValue;
  acceptedDelta?: Delta;
  learned?: VersionedValue | true;
  learnedDelta?: Delta;
}

/** A cell as a slot stores it: `learned: true` where that is what was accepted. */
export interface StoredRegisterState {
  promised: { epoch: number; by: string };
  accepted?: VersionedValue;
  learned?: VersionedValue | true;
}

/** Applies one line to the cells. */
export function applyLogEntry(cells: Map<string, RegisterState>, l: LogEntry): void {
  const c = cells.get(l.key) ?? { promised: { epoch: 0, by: '' } };
  if (l.promised) c.promised = l.promised;
  if (l.accepted) c.accepted = l.accepted;
  if (l.learned) c.learned = l.learned === true ? c.accepted : l.learned;
  cells.set(l.key, c);
}

/** All values that are learned in some cells. */
export function learnedValues(cells: ReadonlyMap<string, RegisterState>): VersionedValue[] {
  const values: VersionedValue[] = [];
  for (const cell of cells.values()) if (cell.learned) values.push(cell.learned);
  return values;
}

/** Copies cells, so that lines applied to the copy leave these as they are. */
export function copyRegisters(
  cells: ReadonlyMap<string, RegisterState>,
): Map<string, RegisterState> {
  const copy = new Map<string, RegisterState>();
  for (const [key, c] of cells) copy.set(key, { ...c });
  return copy;
}

/** The stored form of a line for a key that has learned `base` by then; `delta` is the difference of its accepted value, where that is known already. */
export function encodeLogEntry(
  l: LogEntry,
  base: VersionedValue | undefined,
  delta?: Delta,
): StoredLogEntry {
  const stored: StoredLogEntry = { key: l.key };
  if (l.promised) stored.promised = l.promised;
  if (l.accepted) {
    const short = delta ?? makeDelta(base, l.accepted);
    if (short) stored.acceptedDelta = short;
    else stored.accepted = l.accepted;
  }
  if (l.learned) {
    const short = l.learned === true ? undefined : makeDelta(base, l.learned);
    if (short) stored.learnedDelta = short;
    else stored.learned = l.learned;
  }
  return stored;
}

/** Whether a stored line needs what its key has learned before. */
export function hasDelta(s: StoredLogEntry): boolean {
  return s.acceptedDelta !== undefined || s.learnedDelta !== undefined;
}

/** Reads a stored line over the cells as all lines before it left them; undefined where a difference does not fit. */
export function decodeLogEntry(
  cells: ReadonlyMap<string, RegisterState>,
  s: StoredLogEntry,
): LogEntry | undefined {
  const base = cells.get(s.key)?.learned;
  const accepted = s.acceptedDelta ? readDelta(base, s.acceptedDelta) : s.accepted;
  const learned = s.learnedDelta ? readDelta(base, s.learnedDelta) : s.learned;
  if ((s.acceptedDelta && !accepted) || (s.learnedDelta && !learned)) return undefined;
  return { key: s.key, promised: s.promised, accepted, learned };
}

/** The stored form of a cell. */
export function encodeRegister(c: RegisterState): StoredRegisterState {
  const same = c.accepted && c.learned && compareVersions(c.accepted, c.learned) === 0;
  return { ...c, learned: same ? true : c.learned };
}

/** Reads a stored cell. */
export function decodeRegister(s: StoredRegisterState): RegisterState {
  return { ...s, learned: s.learned === true ? s.accepted : s.learned };
}
