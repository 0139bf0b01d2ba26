/**
 * Replication of the control state from controllers to other nodes.
 *
 * - The follower of a node that is no controller (`follower`): it finds the controllers (`core-discovery`), renews a
 *   lease at each (`lease-renewal`, `lease-quorum`), applies what they commit (`applied-state`, `follower-handlers`),
 *   and knows the members (`member-view`) and the engines that drain (`draining-engines`).
 * - Forms of a change (`change-message`): complete, or a delta (`delta`) that is a patch (`patch`) with a digest
 *   (`digest`), or an offer.
 * - Catch-up of missed changes (`catch-up`), with chunked download of long ones (`chunk-fetcher`), and a journal of
 *   which keys changed (`key-journal`).
 */

export { CatchUp, CatchUpDependencies, makeCatchUp } from './catch-up';
export {
  AppliedEntry,
  appliedEntries,
  ChangeMessage,
  ChangeOffer,
  ChangesReply,
  CompressedChange,
  CompressedDelta,
  deltaMessage,
  fullChangeMessage,
  InlineChange,
  isAtLeast,
  isCurrent,
  offerOf,
  readChange,
  targetOf,
} from './change-message';
export { CHUNK_BYTES, ChunkRequest } from './chunk-fetcher';
export { Delta, makeDelta, readDelta, shareUnchanged, versionOf } from './delta';
export { Digest, digestOf } from './digest';
export { followCore, Follower, FollowerOptions } from './follower';
export { applyMessages } from './follower-handlers';
export { KeyJournal, makeKeyJournal } from './key-journal';
export { LeaseReply } from './lease-renewal';
export { makeMemberView, MemberUpdate } from './member-view';
