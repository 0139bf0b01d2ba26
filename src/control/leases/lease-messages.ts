/**
 * The messages that followers and voters send to a controller's lease registry. The field names are sent.
 */

import { AppliedEntry } from '../../shared/replication/change-message';
import { Member } from '../../shared/state/members';
import { Version } from '../../shared/state/versions';
import { bodyField } from '../../shared/transport/body-fields';

/** A follower's request for a lease: who it is, and how far it has applied each key: all of them, or what changed since its last request on this channel. */
export class LeaseRequest {
  @bodyField('object') member!: Member;
  @bodyField('list', false) has?: AppliedEntry[];
  @bodyField('list', false) changed?: AppliedEntry[];
  /** Whether the members may be sent as who joined and who left. */
  @bodyField('boolean', false) deltas?: boolean;
  /** Whether the node fetches what it lacks; otherwise the reply brings it in full. */
  @bodyField('boolean', false) fetches?: boolean;
  /** Whether the node fetches in chunks what is long. */
  @bodyField('boolean', false) pieces?: boolean;
  /** The engines that it lately could not connect to. */
  @bodyField('list', false) unreachable?: string[];
}

/** A follower's request for the newest versions of some keys, with the versions that it holds. */
export class FetchRequest {
  @bodyField('list') held!: AppliedEntry[];
  /** Whether the node fetches in chunks what is long. */
  @bodyField('boolean', false) pieces?: boolean;
}

/** A request to reply once a change is in effect; `within` is the longest wait, in ms. */
export class EffectRequest {
  @bodyField('string') key!: string;
  @bodyField('number') epoch!: number;
  @bodyField('string') by!: string;
  @bodyField('number') number!: number;
  @bodyField('number') within!: number;
}

/** The versions of keys that a follower has applied. */
export type AppliedVersions = Map<string, Version>;
