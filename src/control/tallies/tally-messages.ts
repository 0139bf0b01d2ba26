/**
 * The messages between controllers about tallies. The types and field names are sent.
 */

import { bodyField } from '../../shared/transport/body-fields';
import { AdditionRun } from './addition';
import { RangeDigest } from './replica-additions';
import { ReplicaDigest } from './addition-set';

/** The types of the messages. */
export const TALLY_MESSAGES = {
  add: 'tally-add',
  digests: 'tally-digests',
  ranges: 'tally-ranges',
  missing: 'tally-missing',
} as const;

/** Additions to hold; the reply comes once they are synced. */
export class AddMessage {
  @bodyField('list') runs!: AdditionRun[];
}

/** Asks for the digests of the replicas, unless the whole sets have the same digest. */
export class DigestsRequest {
  @bodyField('string') digest!: string;
}

/** The digest of the whole set, and those of the replicas where it is another than the asker's. */
export interface DigestsReply {
  digest: string;
  /** The one that changed last first. */
  replicas: ReplicaDigest[];
}

/** Asks for the digests of a replica's last ranges below an index, or of its last ones. */
export class RangesRequest {
  @bodyField('string') replica!: string;
  @bodyField('number', false) end?: number;
}

/** The digests of ranges, newest first, and one of all ranges before them. */
export interface RangesReply {
  ranges: RangeDigest[];
  earlier: string;
}

/** A range, and a bit for each of its additions that the asker has. */
export interface HeldRange {
  index: number;
  bitmap: Uint8Array;
}

/** Asks for the additions of ranges that the asker lacks. */
export class MissingRequest {
  @bodyField('string') replica!: string;
  @bodyField('list') ranges!: HeldRange[];
}

/** Runs of additions, compressed. */
export interface MissingReply {
  runs: Uint8Array;
}
