/**
 * The registers of the control keys: what an acceptor must remember of each, the changes of that, and the stored form of
 * both. The field names of the stored forms stay.
 */

import { pack, unpack } from 'msgpackr';
import { applyDelta, Delta, makeDelta } from '../../shared/replication/delta';
import { compareVersions, VersionedValue } from '../../shared/state/versions';

/** What a disk holds of one control key. */
export interface RegisterState {
  /** The epoch that was promised last, and its owner. */
  promised: { epoch: number; by: string };
  /** The value that was accepted last. */
  accepted?: VersionedValue;
  /** The newest value that is known to be committed. */
  learned?: VersionedValue;
}

/** A change of one register; `learned: true` stands for what is accepted. */
export interface LogEntry {
  key: string;
  promised?: { epoch: number; by: string };
  accepted?: VersionedValue;
  learned?: VersionedValue | true;
}

/** A log entry as it is stored: a long value as the delta to what its key has learned by then. */
export interface StoredLogEntry {
  key: string;
  promised?: { epoch: number; by: string };
  accepted?: VersionedValue;
  acceptedDelta?: Delta;
  learned?: VersionedValue | true;
  learnedDelta?: Delta;
}

/** A register as a snapshot stores it: `learned: true` where that is what was accepted. */
export interface StoredRegisterState {
  promised: { epoch: number; by: string };
  accepted?: VersionedValue;
  learned?: VersionedValue | true;
}

/** Applies an entry to the registers. */
export function applyLogEntry(registers: Map<string, RegisterState>, entry: LogEntry): void {
  const register = registers.get(entry.key) ?? { promised: { epoch: 0, by: '' } };
  if (entry.promised) register.promised = entry.promised;
  if (entry.accepted) register.accepted = entry.accepted;
  if (entry.learned) register.learned = entry.learned === true ? register.accepted : entry.learned;
  registers.set(entry.key, register);
}

/** All values that are learned in some registers. */
export function learnedValues(registers: ReadonlyMap<string, RegisterState>): VersionedValue[] {
  const values: VersionedValue[] = [];
  for (const { learned } of registers.values()) if (learned) values.push(learned);
  return values;
}

/** Copies registers, so that entries applied to the copy leave these as they are. */
export function copyRegisters(
  registers: ReadonlyMap<string, RegisterState>,
): Map<string, RegisterState> {
  const copy = new Map<string, RegisterState>();
  for (const [key, register] of registers) copy.set(key, { ...register });
  return copy;
}

/**
 * The stored form of an entry for a key that has learned `base` by then; `acceptedDelta` is the delta of its accepted
 * value, where that is known already.
 */
export function encodeLogEntry(
  entry: LogEntry,
  base: VersionedValue | undefined,
  acceptedDelta?: Delta,
): StoredLogEntry {
  const stored: StoredLogEntry = { key: entry.key };
  if (entry.promised) stored.promised = entry.promised;
  if (entry.accepted) {
    const delta = acceptedDelta ?? makeReadableDelta(base, entry.accepted);
    if (delta) stored.acceptedDelta = delta;
    else stored.accepted = entry.accepted;
  }
  if (entry.learned) {
    const delta = entry.learned === true ? undefined : makeReadableDelta(base, entry.learned);
    if (delta) stored.learnedDelta = delta;
    else stored.learned = entry.learned;
  }
  return stored;
}

/** Whether a stored entry can be read only over what its key has learned before. */
export function hasDelta(stored: StoredLogEntry): boolean {
  return stored.acceptedDelta !== undefined || stored.learnedDelta !== undefined;
}

/** The delta to a change, where what the disk gives back of it leads to that change. */
function makeReadableDelta(
  base: VersionedValue | undefined,
  change: VersionedValue,
): Delta | undefined {
  const delta = makeDelta(base, change);
  if (!delta) return undefined;
  const readBack = unpack(pack(delta)) as Delta;
  return applyDelta(base, readBack).kind === 'exact' ? delta : undefined;
}

/** A log entry that was read; `isExact` unless a delta's result has another digest than it names. */
export interface DecodedLogEntry {
  entry: LogEntry;
  isExact: boolean;
}

/**
 * Reads a stored entry over the registers as all entries before it left them; undefined where the base of a delta is
 * missing. The base is known by its version, and the bytes by their checksum, so that the result of a delta is taken also
 * where its digest is another one: release 7dda877 left such entries, whose fields stand in another order.
 */
export function decodeLogEntry(
  registers: ReadonlyMap<string, RegisterState>,
  stored: StoredLogEntry,
): DecodedLogEntry | undefined {
  const { key, promised, acceptedDelta, learnedDelta } = stored;
  const base = registers.get(key)?.learned;
  const accepted = acceptedDelta && applyDelta(base, acceptedDelta);
  const learned = learnedDelta && applyDelta(base, learnedDelta);
  if (accepted?.kind === 'other-base' || learned?.kind === 'other-base') return undefined;
  const entry: LogEntry = {
    key,
    promised,
    accepted: accepted ? accepted.change : stored.accepted,
    learned: learned ? learned.change : stored.learned,
  };
  const isExact = accepted?.kind !== 'other-digest' && learned?.kind !== 'other-digest';
  return { entry, isExact };
}

/** The stored form of a register. */
export function encodeRegister(register: RegisterState): StoredRegisterState {
  const { accepted, learned } = register;
  const isSame = accepted && learned && compareVersions(accepted, learned) === 0;
  return { ...register, learned: isSame ? true : learned };
}

/** Reads a stored register. */
export function decodeRegister(stored: StoredRegisterState): RegisterState {
  return { ...stored, learned: stored.learned === true ? stored.accepted : stored.learned };
}
