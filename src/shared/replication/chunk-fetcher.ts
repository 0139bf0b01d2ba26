/**
 * Fetching of long changes in pieces.
 *
 * A message that takes a link for long holds up all that is sent behind it, and a time limit on it says nothing of
 * whether it makes progress. So what is long is offered, and its receiver fetches it: a few short pieces are under way
 * at a time, from all controllers that have them, each under a time limit of its own. A controller that is gone costs
 * the pieces that it was asked for; what has been fetched is kept for as long as the same bytes are offered.
 */
import { ChangeOffer, fetchedMessage, InlineChange } from './change-message';
import { PeerChannel } from '../transport/peer-channel';
import { versionOf } from './delta';
import { bodyField } from '../transport/body-fields';
import { errorOrValue } from '../errors/errors';
import { Version } from '../state/versions';

/** Bytes of one piece: some 20 ms on a link of 7 Mbit/s. */
export const CHUNK_BYTES = 16384;

/** Pieces that a receiver has under way at a time. */
const PIECES_AT_ONCE = 2;

/** An ask for one piece of an offered change. */
export class ChunkRequest {
  @bodyField('string') key!: string;
  @bodyField('object') place!: Version;
  @bodyField('object', false) base?: Version;
  @bodyField('string') sum!: string;
  /** Where the piece begins. */
  @bodyField('number') start!: number;
}

/** What fetching pieces needs of its node. */
export interface ChunkFetcherDependencies {
  /** The controllers that can be asked now. */
  openChannels: () => PeerChannel[];
  /** How long one piece may take. */
  timeoutMs: number;
}

/** Fetches offered changes, one for each key at a time. */
export interface ChunkFetcher {
  /** The offered message once all its bytes are here; nothing where no controller gives them any more. */
  fetch: (offer: ChangeOffer, from: PeerChannel) => Promise<InlineChange | undefined>;
}

/** An offered change of which some pieces are here. */
interface Partial {
  sum: string;
  pieces: (Uint8Array | undefined)[];
}

/** Controllers that give the pieces of one offer, asked in turn. */
interface Sources {
  next: () => PeerChannel | undefined;
  /** Asks a controller no more for this offer. */
  drop: (exchange: PeerChannel) => void;
}

function makeSources(from: PeerChannel, others: readonly PeerChannel[]): Sources {
  const left = new Set([from, ...others]);
  let turn = 0;

  function next(): PeerChannel | undefined {
    return [...left][turn++ % Math.max(1, left.size)];
  }

  function drop(exchange: PeerChannel): void {
    left.delete(exchange);
  }

  return { next, drop };
}

/** Makes a fetcher. */
export function makeChunkFetcher(parts: ChunkFetcherDependencies): ChunkFetcher {
  const partials = new Map<string, Partial>();

  /** What is here of an offer already, or nothing of it yet. */
  function partialOf(offer: ChangeOffer): Partial {
    const before = partials.get(offer.key);
    if (before?.sum === offer.sum) return before;
    const count = Math.ceil(offer.size / CHUNK_BYTES);
    const pieces = Array.from<Uint8Array | undefined>({ length: count });
    const partial: Partial = { sum: offer.sum, pieces };
    partials.set(offer.key, partial);
    return partial;
  }

  async function fetchPiece(
    offer: ChangeOffer,
    index: number,
    sources: Sources,
  ): Promise<Uint8Array | undefined> {
    const { key, base, sum } = offer;
    const start = index * CHUNK_BYTES;
    const ask: ChunkRequest = { key, place: versionOf(offer), base, sum, start };
    for (let source = sources.next(); source; source = sources.next()) {
      const [fault, bytes] = errorOrValue(
        await source.request('change-piece', ask, parts.timeoutMs),
      );
      if (!fault && ArrayBuffer.isView(bytes)) return bytes as Uint8Array;
      sources.drop(source);
    }
    return undefined;
  }

  async function fetch(offer: ChangeOffer, from: PeerChannel): Promise<InlineChange | undefined> {
    const { pieces } = partialOf(offer);
    const sources = makeSources(from, parts.openChannels());
    const missing = missingOf(pieces);
    async function work(): Promise<void> {
      for (let index = missing.shift(); index !== undefined; index = missing.shift()) {
        const piece = await fetchPiece(offer, index, sources);
        if (piece === undefined) return;
        pieces[index] = piece;
      }
    }
    await Promise.all(Array.from({ length: PIECES_AT_ONCE }, work));
    if (missingOf(pieces).length > 0) return undefined;
    if (partials.get(offer.key)?.sum === offer.sum) partials.delete(offer.key);
    return fetchedMessage(offer, Buffer.concat(pieces as Uint8Array[]));
  }

  return { fetch };
}

function missingOf(pieces: readonly unknown[]): number[] {
  const missing: number[] = [];
  for (const [index, piece] of pieces.entries()) if (piece === undefined) missing.push(index);
  return missing;
}
