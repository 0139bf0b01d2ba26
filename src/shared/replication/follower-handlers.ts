import { Right } from 'purify-ts';
import {
  AppliedEntry,
  ChangeMessage,
  ChangeOffer,
  ChangesAnswer,
  InlineChange,
  isCurrent,
  isReached,
  readChange,
  targetOf,
} from './change-message';
import { Exchange } from '../transport/connections';
import { Handled, message } from '../transport/handlers';
import { Numbered, Voters } from '../state/words';

/** What the handlers of a follower work with. */
export interface FollowEdgeParts {
  /** Applies committed changes; earlier ones are ignored. */
  apply(changes: Numbered[]): boolean;
  /** The version of a key that is applied here. */
  held(key: string): Numbered | undefined;
  /** Where the core is, as far as is known here. */
  whereCore(): unknown;
  /** Fetches and applies what a controller offers. */
  fetchOffer(offer: ChangeOffer, from: Exchange): void;
  /** Hears where the core is. */
  coreFound(voters: Voters | undefined): void;
  /** Hears which engines leave. */
  enginesLeave(ids: string[]): void;
}

/** Applies messages that bring changes, and lists the keys that could not be read. */
export function applyMessages(
  parts: Pick<FollowEdgeParts, 'apply' | 'held'>,
  messages: readonly InlineChange[],
): ChangesAnswer {
  const lacking: AppliedEntry[] = [];
  for (const one of messages) {
    const target = targetOf(one);
    const held = parts.held(target.key);
    if (isReached(held, target)) continue;
    const change = readChange(held, one);
    if (change) parts.apply([change]);
    else lacking.push([target.key, held?.epoch ?? 0, held?.by ?? '', held?.number ?? 0]);
  }
  return { lacking };
}

/** Handlers of what the core and other followers say. */
export class FollowEdge {
  constructor(private readonly parts: FollowEdgeParts) {}

  /** Takes committed changes, whole; earlier ones are ignored. */
  @message('news')
  async news(changes: Numbered[]): Handled {
    this.parts.apply(changes);
    return Right(true);
  }

  /** Takes committed changes in whatever form they come, and tells which could not be read. */
  @message('changes')
  async changes(messages: ChangeMessage[], from: Exchange): Handled {
    const inline: InlineChange[] = [];
    for (const one of messages) {
      if (one.kind === 'offer') this.parts.fetchOffer(one, from);
      else inline.push(one);
    }
    return Right(applyMessages(this.parts, inline));
  }

  /** Hears which engines leave, where the core could not make that a change. */
  @message('leaving')
  async leaving(ids: string[]): Handled {
    this.parts.enginesLeave(ids);
    return Right(true);
  }

  /** Tells whether a change was applied here. */
  @message('has')
  async has(change: Numbered): Handled {
    return Right(isCurrent(this.parts.held(change.key), change));
  }

  /** Hears from a controller where the core is, for one that has this process among its seeds. */
  @message('here')
  async here(voters: Voters): Handled {
    this.parts.coreFound(voters);
    return Right(true);
  }

  /** Tells a newcomer where the core is. */
  @message('who')
  async askWho(): Handled {
    return Right(this.parts.whereCore());
  }
}
