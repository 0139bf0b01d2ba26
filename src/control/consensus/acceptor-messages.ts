/**
 * The messages that proposers send to acceptors and learners, and their replies. The field names are sent, and so
 * they stay: `place` is a version, `voters` in a request the version of the voter set that the sender goes by, and in a
 * reply a later voter set; `seen` is the epoch that the acceptor promised last.
 */

import { Delta } from '../../shared/replication/delta';
import { bodyField } from '../../shared/transport/body-fields';
import { VersionedValue, Version } from '../../shared/state/versions';

/** Phase 1: asks for the promise to accept nothing of a lower epoch. */
export class PrepareRequest {
  @bodyField('string') key!: string;
  @bodyField('number') epoch!: number;
  @bodyField('string') by!: string;
  @bodyField('object', false) voters?: Version;
}

/** Phase 2: asks to accept a value, sent in full. */
export class AcceptRequest {
  @bodyField('object') change!: VersionedValue;
  @bodyField('object', false) voters?: Version;
}

/** Phase 2: asks to accept a value, sent as the delta to the one that the acceptor has learned. */
export class AcceptDeltaRequest {
  @bodyField('object') delta!: Delta;
  @bodyField('object', false) voters?: Version;
}

/** Tells a learner that the value which it accepted at a version is committed. */
export class LearnAcceptedRequest {
  @bodyField('object') place!: Version & { key: string };
}

/** Tells a learner which value is committed. */
export class LearnRequest {
  @bodyField('object') change!: VersionedValue;
}

/** Asks which version of a key a disk has accepted last. */
export interface AcceptedVersionRequest {
  key: string;
  voters?: Version;
}

/** An acceptor's reply to a prepare or an accept. */
export interface AcceptorReply {
  /** Whether it promised or accepted. */
  ok: boolean;
  /** The epoch that it promised last. */
  seen: { epoch: number; by: string };
  /** In a promise: the newest value that it knows to be accepted. */
  accepted?: VersionedValue;
  /** A later voter set than the sender goes by; the request is then rejected. */
  voters?: VersionedValue;
}

/** Which version of a key a disk has accepted last. */
export interface AcceptedVersionReply {
  disk: string;
  accepted?: Version;
  /** A later voter set than the sender goes by; the reply then counts for no majority. */
  voters?: VersionedValue;
}
