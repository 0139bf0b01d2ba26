import {
  AppliedEntry,
  appliedEntries,
  ChangeMessage,
  ChangeOffer,
  InlineChange,
  isAtLeast,
} from './change-message';
import { PeerChannel } from '../transport/peer-channel';
import { errorOrValue } from '../errors/errors';
import { makeChunkFetcher } from './chunk-fetcher';
import { VersionedValue } from '../state/versions';

/** What fetching missed changes needs of its node. */
export interface CatchUpDependencies {
  appliedVersion: (key: string) => VersionedValue | undefined;
  /** Applies what came, and gives the keys that could not be read or kept. */
  apply: (messages: InlineChange[]) => Promise<string[]>;
  /** The controllers that can be asked now. */
  openChannels: () => PeerChannel[];
  /** How long an answer may take. */
  timeoutMs: number;
}

/** Fetches missed changes: each key from one controller at a time, however many tell that it is missing. */
export interface CatchUp {
  /** Comes back when what is missing was fetched, here or by another call; false where this controller did not give it. */
  fetch: (exchange: PeerChannel, lacking: AppliedEntry[]) => Promise<boolean>;
  /** Fetches a change that a controller offers, unless its key is being fetched; true once it is applied. */
  acceptOffer: (exchange: PeerChannel, offer: ChangeOffer) => Promise<boolean>;
}

/** Makes the fetching of missed changes. */
export function makeCatchUp(parts: CatchUpDependencies): CatchUp {
  const fetching = new Map<string, Promise<boolean>>();
  const pieces = makeChunkFetcher(parts);

  function isMissing([key, epoch, by, number]: AppliedEntry): boolean {
    return !isAtLeast(parts.appliedVersion(key), { epoch, by, number });
  }

  function heldEntry(key: string): AppliedEntry {
    const held = parts.appliedVersion(key);
    return held ? appliedEntries([held])[0] : [key, 0, '', 0];
  }

  /** Fetches keys; what can't be read over what is held here is fetched whole. */
  async function fetchFrom(exchange: PeerChannel, keys: string[]): Promise<boolean> {
    const unread = await fetchEntries(exchange, keys.map(heldEntry));
    if (!unread || unread.length === 0) return unread !== undefined;
    const left = await fetchEntries(exchange, unread.map(wholeEntry));
    return left?.length === 0;
  }

  /** Fetches the newest versions over the held ones; gives the keys that could not be read, or nothing where not all came. */
  async function fetchEntries(
    exchange: PeerChannel,
    held: AppliedEntry[],
  ): Promise<string[] | undefined> {
    const ask = { held, pieces: true };
    const [fault, messages] = errorOrValue(
      await exchange.request('fetch-changes', ask, parts.timeoutMs),
    );
    return fault ? undefined : applyAll(exchange, messages as ChangeMessage[]);
  }

  /** Applies what came at once, then each offered change as it is here. */
  async function applyAll(
    exchange: PeerChannel,
    messages: readonly ChangeMessage[],
  ): Promise<string[] | undefined> {
    const inline: InlineChange[] = [];
    const offers: ChangeOffer[] = [];
    for (const message of messages) {
      if (message.kind === 'offer') offers.push(message);
      else inline.push(message);
    }
    const unread = await parts.apply(inline);
    for (const offer of offers) {
      const message = await pieces.fetch(offer, exchange);
      if (!message) return undefined;
      unread.push(...(await parts.apply([message])));
    }
    return unread;
  }

  /** Notes that keys are being fetched until that is done. */
  async function noteFetching(keys: readonly string[], done: Promise<boolean>): Promise<boolean> {
    for (const key of keys) fetching.set(key, done);
    const fetched = await done;
    for (const key of keys) if (fetching.get(key) === done) fetching.delete(key);
    return fetched;
  }

  async function fetch(exchange: PeerChannel, lacking: AppliedEntry[]): Promise<boolean> {
    const missing = lacking.filter(isMissing).map(keyOf);
    const keys = missing.filter(isNotUnderWay);
    const others = missing.map(underWay);
    if (keys.length === 0) return (await Promise.all(others)).every(isTrue);
    return noteFetching(keys, fetchFrom(exchange, keys));
  }

  async function accept(exchange: PeerChannel, offer: ChangeOffer): Promise<boolean> {
    if (!isNotUnderWay(offer.key) || isAtLeast(parts.appliedVersion(offer.key), offer))
      return false;
    return noteFetching([offer.key], acceptOffer(exchange, offer));
  }

  async function acceptOffer(exchange: PeerChannel, offer: ChangeOffer): Promise<boolean> {
    const unread = await applyAll(exchange, [offer]);
    return unread?.length === 0;
  }

  function isNotUnderWay(key: string): boolean {
    return !fetching.has(key);
  }

  function underWay(key: string): Promise<boolean> | undefined {
    return fetching.get(key);
  }

  return { fetch, acceptOffer: accept };
}

/** Asks for a key whole. */
function wholeEntry(key: string): AppliedEntry {
  return [key, 0, '', 0];
}

function keyOf(entry: AppliedEntry): string {
  return entry[0];
}

function isTrue(fetched: boolean | undefined): boolean {
  return fetched !== false;
}
