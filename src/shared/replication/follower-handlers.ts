/**
 * A follower's handlers of messages from controllers and from other followers.
 */

import { Right } from 'purify-ts';
import { VersionedValue } from '../state/versions';
import { VoterSet } from '../state/voter-set';
import { HandlerResult, messageHandler } from '../transport/message-handlers';
import { PeerChannel } from '../transport/peer-channel';
import {
  AppliedEntry,
  ChangeMessage,
  ChangeOffer,
  ChangesReply,
  entryOf,
  InlineChange,
  isAtLeast,
  isCurrent,
  readChange,
  separateOffers,
  targetOf,
} from './change-message';

/** What the handlers of a follower work with. */
export interface FollowerHandlersDependencies {
  /** Applies committed changes; those that are not newer than what is applied are ignored. */
  apply: (changes: VersionedValue[]) => boolean;
  /** The applied version of a key. */
  appliedVersion: (key: string) => VersionedValue | undefined;
  /** Where the controllers are, as far as this node knows. */
  coreLocation: () => unknown;
  /** Fetches and applies what a controller offers. */
  fetchOffer: (offer: ChangeOffer, from: PeerChannel) => void;
  /** Called with the voter set that a controller reports. */
  onCoreFound: (voters: VoterSet | undefined) => void;
  /** Called with the ids of engines that are reported to drain. */
  onEnginesDraining: (ids: string[]) => void;
}

/** Applies messages, and lists the keys that could not be read. */
export function applyMessages(
  dependencies: Pick<FollowerHandlersDependencies, 'apply' | 'appliedVersion'>,
  messages: readonly InlineChange[],
): ChangesReply {
  const lacking: AppliedEntry[] = [];
  for (const message of messages) {
    const target = targetOf(message);
    const applied = dependencies.appliedVersion(target.key);
    if (isAtLeast(applied, target)) continue;
    const change = readChange(applied, message);
    if (change) dependencies.apply([change]);
    else lacking.push(entryOf(target.key, applied));
  }
  return { lacking };
}

/** Handlers of messages from controllers and from other followers. */
export class FollowerHandlers {
  constructor(private readonly dependencies: FollowerHandlersDependencies) {}

  /** Applies committed changes that come complete. */
  @messageHandler('news')
  news(changes: VersionedValue[]): HandlerResult {
    this.dependencies.apply(changes);
    return Promise.resolve(Right(true));
  }

  /** Applies committed changes in whatever form they come, and replies which could not be read. */
  @messageHandler('changes')
  changes(messages: ChangeMessage[], from: PeerChannel): HandlerResult {
    const { inline, offers } = separateOffers(messages);
    for (const offer of offers) this.dependencies.fetchOffer(offer, from);
    return Promise.resolve(Right(applyMessages(this.dependencies, inline)));
  }

  /** Takes note of engines that drain, where the controllers could not commit that as a change. */
  @messageHandler('leaving')
  leaving(ids: string[]): HandlerResult {
    this.dependencies.onEnginesDraining(ids);
    return Promise.resolve(Right(true));
  }

  /** Replies whether a change is applied here. */
  @messageHandler('has')
  has(change: VersionedValue): HandlerResult {
    return Promise.resolve(Right(isCurrent(this.dependencies.appliedVersion(change.key), change)));
  }

  /** Takes the voter set from a controller that has this process among its seeds. */
  @messageHandler('here')
  here(voters: VoterSet): HandlerResult {
    this.dependencies.onCoreFound(voters);
    return Promise.resolve(Right(true));
  }

  /** Replies to a new node where the controllers are. */
  @messageHandler('who')
  askWho(): HandlerResult {
    return Promise.resolve(Right(this.dependencies.coreLocation()));
  }
}
