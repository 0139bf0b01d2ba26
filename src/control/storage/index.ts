/**
 * What a controller's disk remembers. The control store keeps the registers of the consensus: two snapshots that are
 * written in turn, each with a write-ahead log. The idempotency votes are a log of their own, in three files that are
 * written in turn. Both write frames with checksums, by which a write that never completed is told from data that
 * changed, and share syncs by group commit.
 */

export { openControlStore } from './control-store';
export type { ControlStore } from './control-store';
export { decodeFrames } from './frames';
export type { DecodedFrames } from './frames';
export { IdempotencyVotes } from './idempotency-votes';
export { applyLogEntry, learnedValues } from './register-state';
export type { LogEntry, RegisterState } from './register-state';
export { readStoredVotes } from './vote-files';
export type { RunState, StoredVotes, Vote } from './vote-files';
