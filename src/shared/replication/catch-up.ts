/**
 * Catch-up: fetching of changes that a node lacks, each key from one controller at a time, however many report that it
 * is missing.
 */

import { errorOrValue, Result } from '../errors/errors';
import { VersionedValue } from '../state/versions';
import { PeerChannel } from '../transport/peer-channel';
import {
  AppliedEntry,
  ChangeMessage,
  ChangeOffer,
  entryOf,
  InlineChange,
  isAtLeast,
  keyOfEntry,
  separateOffers,
} from './change-message';
import { ChunkFetcher, makeChunkFetcher } from './chunk-fetcher';

/** What catch-up needs of its node. */
export interface CatchUpDependencies {
  /** The applied version of a key. */
  appliedVersion: (key: string) => VersionedValue | undefined;
  /** Applies messages, and gives the keys that could not be read or stored. */
  apply: (messages: InlineChange[]) => Promise<string[]>;
  /** The channels of all controllers that are connected. */
  openChannels: () => PeerChannel[];
  /** How long a reply may take. */
  timeoutMs: number;
}

/** Fetching of changes that a node lacks. */
export interface CatchUp {
  /** Resolves once all that is missing was fetched, by this call or another; false where this controller did not give it. */
  fetch: (channel: PeerChannel, lacking: AppliedEntry[]) => Promise<boolean>;
  /** Fetches a change that a controller offers, unless its key is being fetched; true once it is applied. */
  acceptOffer: (channel: PeerChannel, offer: ChangeOffer) => Promise<boolean>;
}

/** Requests the newest versions of keys; `held` are the applied versions, which deltas are made to. */
function requestChanges(
  channel: PeerChannel,
  held: AppliedEntry[],
  timeoutMs: number,
): Promise<Result<ChangeMessage[]>> {
  const reply = channel.request('fetch-changes', { held, pieces: true }, timeoutMs);
  return reply as Promise<Result<ChangeMessage[]>>;
}

class ChangeCatchUp implements CatchUp {
  /** The fetch that is in progress for a key. */
  private readonly inProgress = new Map<string, Promise<boolean>>();
  private readonly chunks: ChunkFetcher;

  constructor(private readonly dependencies: CatchUpDependencies) {
    this.chunks = makeChunkFetcher(dependencies);
  }

  async fetch(channel: PeerChannel, lacking: AppliedEntry[]): Promise<boolean> {
    const missing = lacking.filter(this.isMissing.bind(this)).map(keyOfEntry);
    const idle = missing.filter(this.isIdle.bind(this));
    if (idle.length === 0)
      return (await Promise.all(missing.map(this.fetchInProgress.bind(this)))).every(Boolean);
    return this.track(idle, this.fetchKeys(channel, idle));
  }

  async acceptOffer(channel: PeerChannel, offer: ChangeOffer): Promise<boolean> {
    const { key } = offer;
    if (!this.isIdle(key) || isAtLeast(this.dependencies.appliedVersion(key), offer)) return false;
    return this.track([key], this.fetchOffer(channel, offer));
  }

  private isMissing([key, epoch, by, number]: AppliedEntry): boolean {
    return !isAtLeast(this.dependencies.appliedVersion(key), { epoch, by, number });
  }

  private isIdle(key: string): boolean {
    return !this.inProgress.has(key);
  }

  /** The fetch of a key that is not idle. */
  private fetchInProgress(key: string): Promise<boolean> {
    return this.inProgress.get(key)!;
  }

  /** Notes that keys are being fetched until that is done. */
  private async track(keys: readonly string[], done: Promise<boolean>): Promise<boolean> {
    const { inProgress } = this;
    for (const key of keys) inProgress.set(key, done);
    const isDone = await done;
    for (const key of keys) if (inProgress.get(key) === done) inProgress.delete(key);
    return isDone;
  }

  private async fetchOffer(channel: PeerChannel, offer: ChangeOffer): Promise<boolean> {
    const unread = await this.applyAll(channel, [offer]);
    return unread?.length === 0;
  }

  /** Fetches keys; what can't be read over the applied version is fetched complete. */
  private async fetchKeys(channel: PeerChannel, keys: string[]): Promise<boolean> {
    const unread = await this.fetchEntries(channel, keys.map(this.appliedEntry.bind(this)));
    if (!unread || unread.length === 0) return unread !== undefined;
    const unreadComplete = await this.fetchEntries(channel, unread.map(initialEntry));
    return unreadComplete?.length === 0;
  }

  private appliedEntry(key: string): AppliedEntry {
    return entryOf(key, this.dependencies.appliedVersion(key));
  }

  /** Fetches the newest versions over the applied ones; gives the keys that could not be read, or undefined where not all came. */
  private async fetchEntries(
    channel: PeerChannel,
    applied: AppliedEntry[],
  ): Promise<string[] | undefined> {
    const [error, messages] = errorOrValue(
      await requestChanges(channel, applied, this.dependencies.timeoutMs),
    );
    return error ? undefined : this.applyAll(channel, messages);
  }

  /** Applies what came at once, then each offered change once it is fetched; gives the keys that could not be read. */
  private async applyAll(
    channel: PeerChannel,
    messages: readonly ChangeMessage[],
  ): Promise<string[] | undefined> {
    const { apply } = this.dependencies;
    const { inline, offers } = separateOffers(messages);
    const unread = await apply(inline);
    for (const offer of offers) {
      const message = await this.chunks.fetch(offer, channel);
      if (!message) return undefined;
      unread.push(...(await apply([message])));
    }
    return unread;
  }
}

/** The entry by which a key is asked for complete. */
function initialEntry(key: string): AppliedEntry {
  return entryOf(key, undefined);
}

/** Makes the catch-up of a node. */
export function makeCatchUp(dependencies: CatchUpDependencies): CatchUp {
  return new ChangeCatchUp(dependencies);
}
