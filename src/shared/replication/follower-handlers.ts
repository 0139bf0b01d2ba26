import { Right } from 'purify-ts';
import {
  AppliedEntry,
  ChangeMessage,
  ChangeOffer,
  ChangesReply,
  InlineChange,
  isCurrent,
  isAtLeast,
  readChange,
  targetOf,
} from './change-message';
import { PeerChannel } from '../transport/peer-channel';
import { HandlerResult, messageHandler } from '../transport/message-handlers';
import { VersionedValue } from '../state/versions';
import { VoterSet } from '../state/voter-set';

/** What the handlers of a follower work with. */
export interface FollowerHandlersDependencies {
  /** Applies committed changes; earlier ones are ignored. */
  apply: (changes: VersionedValue[]) => boolean;
  /** The version of a key that is applied here. */
  appliedVersion: (key: string) => VersionedValue | undefined;
  /** Where the core is, as far as is known here. */
  coreLocation: () => unknown;
  /** Fetches and applies what a controller offers. */
  fetchOffer: (offer: ChangeOffer, from: PeerChannel) => void;
  /** Hears where the core is. */
  onCoreFound: (voters: VoterSet | undefined) => void;
  /** Hears which engines leave. */
  onEnginesDraining: (ids: string[]) => void;
}

/** Applies messages that bring changes, and lists the keys that could not be read. */
export function applyMessages(
  parts: Pick<FollowerHandlersDependencies, 'apply' | 'appliedVersion'>,
  messages: readonly InlineChange[],
): ChangesReply {
  const lacking: AppliedEntry[] = [];
  for (const one of messages) {
    const target = targetOf(one);
    const held = parts.appliedVersion(target.key);
    if (isAtLeast(held, target)) continue;
    const change = readChange(held, one);
    if (change) parts.apply([change]);
    else lacking.push([target.key, held?.epoch ?? 0, held?.by ?? '', held?.number ?? 0]);
  }
  return { lacking };
}

/** Handlers of what the core and other followers say. */
export class FollowerHandlers {
  constructor(private readonly parts: FollowerHandlersDependencies) {}

  /** Takes committed changes, whole; earlier ones are ignored. */
  @messageHandler('news')
  async news(changes: VersionedValue[]): HandlerResult {
    this.parts.apply(changes);
    return Right(true);
  }

  /** Takes committed changes in whatever form they come, and tells which could not be read. */
  @messageHandler('changes')
  async changes(messages: ChangeMessage[], from: PeerChannel): HandlerResult {
    const inline: InlineChange[] = [];
    for (const one of messages) {
      if (one.kind === 'offer') this.parts.fetchOffer(one, from);
      else inline.push(one);
    }
    return Right(applyMessages(this.parts, inline));
  }

  /** Hears which engines leave, where the core could not make that a change. */
  @messageHandler('leaving')
  async leaving(ids: string[]): HandlerResult {
    this.parts.onEnginesDraining(ids);
    return Right(true);
  }

  /** Tells whether a change was applied here. */
  @messageHandler('has')
  async has(change: VersionedValue): HandlerResult {
    return Right(isCurrent(this.parts.appliedVersion(change.key), change));
  }

  /** Hears from a controller where the core is, for one that has this process among its seeds. */
  @messageHandler('here')
  async here(voters: VoterSet): HandlerResult {
    this.parts.onCoreFound(voters);
    return Right(true);
  }

  /** Tells a newcomer where the core is. */
  @messageHandler('who')
  async askWho(): HandlerResult {
    return Right(this.parts.coreLocation());
  }
}
