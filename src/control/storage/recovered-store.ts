/**
 * What the files of a control store hold, as they are stored and as they are read.
 */

import { Version } from '../../shared/state/versions';
import { RegisterState, StoredRegisterState } from './register-state';

/** A snapshot as a slot stores it. */
export interface StoredSnapshot {
  /** Counts the snapshots of a disk; the log behind one begins with the same count. */
  gen: number;
  disk: string;
  /** The voter set that the node agreed to at the bootstrap. */
  founding?: unknown;
  /** Whether the disk has lost synced data once. */
  spoilt?: boolean;
  /** The id that the disk had while its data was wrongly taken for lost. */
  abandoned?: string;
  cells: [string, StoredRegisterState][];
}

/** The first frame of a log. */
export interface StoredLogHeader {
  gen: number;
}

/** A log entry that records the bootstrap. */
export interface StoredBootstrap {
  founding: unknown;
}

/** What a control store keeps beside its registers. */
export interface StoreState {
  /** The count of the newest snapshot; 0 before the first. */
  readonly generation: number;
  readonly diskId: string;
  /** The voter set that the node agreed to at the bootstrap. */
  readonly bootstrapVoterSet?: unknown;
  /** Whether the disk has lost synced data once, so that it counts as a new one. */
  readonly isCorrupt?: boolean;
  /** The id that the disk had while its data was wrongly taken for lost; what was written under it is this disk's. */
  readonly abandonedDiskId?: string;
}

/**
 * Why synced data counts as gone: no snapshot can be read, bytes of a log or of the votes have changed or are missing,
 * or an entry of a log has no base. The reasons are logged.
 */
export type DataLossReason =
  'no-snapshot' | 'log-changed' | 'next-log-changed' | 'log-gap' | 'votes-changed' | 'other-base';

/** The entry of a log that something was seen at. */
export interface LogEntryPlace {
  key?: string;
  /** The version that the entry stands for, and the one that it was made from. */
  version?: Version;
  base?: Version;
}

/** Synced data that is gone, and the entry that shows it where one does. */
export interface DataLoss extends LogEntryPlace {
  reason: DataLossReason;
}

/** What was read from a disk that has files. */
export interface RecoveredStore {
  state: StoreState;
  registers: Map<string, RegisterState>;
  /** The synced data that is gone, where some is. */
  lost?: DataLoss;
  /** Entries whose result has another digest than they name. */
  inexact: LogEntryPlace[];
  /** Whether version 0.1 wrote the snapshot. */
  isLegacy: boolean;
}
