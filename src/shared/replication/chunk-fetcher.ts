/**
 * Chunked download of offered changes.
 *
 * A message that takes a link for long holds up all that is sent behind it, and a timeout on it tells nothing of its
 * progress. So a long change is offered, and its receiver fetches it: a few short chunks are in flight at a time, from
 * all controllers that have them, each with a timeout of its own. Where a controller is lost, only the chunks that it
 * was asked for are lost; what has been fetched is kept for as long as the same bytes are offered.
 */

import { errorOrValue } from '../errors/errors';
import { Version } from '../state/versions';
import { bodyField } from '../transport/body-fields';
import { PeerChannel } from '../transport/peer-channel';
import { ChangeOffer, fetchedMessage, InlineChange } from './change-message';
import { versionOf } from './delta';

/** Bytes of one chunk: some 20 ms on a link of 7 Mbit/s. */
export const CHUNK_BYTES = 16384;

/** Chunks of one offer that are in flight at a time. */
const MAX_CHUNKS_IN_FLIGHT = 2;

/** A request for one chunk of an offered change. The field names are sent. */
export class ChunkRequest {
  @bodyField('string') key!: string;
  /** The version that was offered. */
  @bodyField('object') place!: Version;
  /** The base version of an offered delta. */
  @bodyField('object', false) base?: Version;
  /** The digest of all bytes. */
  @bodyField('string') sum!: string;
  /** The offset of the chunk's first byte. */
  @bodyField('number') start!: number;
}

/** What the download needs of its node. */
export interface ChunkFetcherDependencies {
  /** The channels of all controllers that are connected. */
  openChannels: () => PeerChannel[];
  /** How long one chunk may take. */
  timeoutMs: number;
}

/** Downloads offered changes, one for each key at a time. */
export interface ChunkFetcher {
  /** The offered message once all its bytes are here; undefined where no controller gives them any more. */
  fetch: (offer: ChangeOffer, from: PeerChannel) => Promise<InlineChange | undefined>;
}

/** An offered change of which some chunks are here. */
interface PartialDownload {
  sum: string;
  chunks: (Uint8Array | undefined)[];
}

/** The controllers that give the chunks of one offer, asked in turn. */
class ChunkSources {
  private readonly channels: Set<PeerChannel>;
  private turn = 0;

  constructor(from: PeerChannel, others: readonly PeerChannel[]) {
    this.channels = new Set([from, ...others]);
  }

  /** The controller whose turn it is; undefined where none is left. */
  next(): PeerChannel | undefined {
    const index = this.turn++ % Math.max(1, this.channels.size);
    return [...this.channels][index];
  }

  /** Asks a controller no more for this offer. */
  drop(channel: PeerChannel): void {
    this.channels.delete(channel);
  }
}

class OfferDownloader implements ChunkFetcher {
  /** What has been fetched of the newest offer of each key. */
  private readonly partialByKey = new Map<string, PartialDownload>();

  constructor(private readonly dependencies: ChunkFetcherDependencies) {}

  async fetch(offer: ChangeOffer, from: PeerChannel): Promise<InlineChange | undefined> {
    const { chunks } = this.partialOf(offer);
    const sources = new ChunkSources(from, this.dependencies.openChannels());
    await this.fetchMissing(offer, chunks, sources);
    if (missingIndexes(chunks).length > 0) return undefined;
    if (this.partialByKey.get(offer.key)?.sum === offer.sum) this.partialByKey.delete(offer.key);
    return fetchedMessage(offer, Buffer.concat(chunks as Uint8Array[]));
  }

  /** What is here of an offer already. */
  private partialOf(offer: ChangeOffer): PartialDownload {
    const before = this.partialByKey.get(offer.key);
    if (before?.sum === offer.sum) return before;
    const count = Math.ceil(offer.size / CHUNK_BYTES);
    const chunks = Array.from<Uint8Array | undefined>({ length: count });
    const partial: PartialDownload = { sum: offer.sum, chunks };
    this.partialByKey.set(offer.key, partial);
    return partial;
  }

  /** Fetches chunks into their places until all are here, or no controller gives them. */
  private async fetchMissing(
    offer: ChangeOffer,
    chunks: (Uint8Array | undefined)[],
    sources: ChunkSources,
  ): Promise<void> {
    const missing = missingIndexes(chunks);
    const fetchChunk = this.fetchChunk.bind(this, offer, sources);
    async function fetchInTurn(): Promise<void> {
      for (let index = missing.shift(); index !== undefined; index = missing.shift()) {
        const chunk = await fetchChunk(index);
        if (chunk === undefined) return;
        chunks[index] = chunk;
      }
    }
    await Promise.all(Array.from({ length: MAX_CHUNKS_IN_FLIGHT }, fetchInTurn));
  }

  /** Fetches one chunk from the first controller that gives it; those that do not are dropped. */
  private async fetchChunk(
    offer: ChangeOffer,
    sources: ChunkSources,
    index: number,
  ): Promise<Uint8Array | undefined> {
    const { key, base, sum } = offer;
    const start = index * CHUNK_BYTES;
    const request: ChunkRequest = { key, place: versionOf(offer), base, sum, start };
    for (let source = sources.next(); source; source = sources.next()) {
      const [error, bytes] = errorOrValue(
        await source.request('change-piece', request, this.dependencies.timeoutMs),
      );
      if (!error && ArrayBuffer.isView(bytes)) return bytes as Uint8Array;
      sources.drop(source);
    }
    return undefined;
  }
}

function missingIndexes(chunks: readonly unknown[]): number[] {
  const missing: number[] = [];
  for (const [index, chunk] of chunks.entries()) if (chunk === undefined) missing.push(index);
  return missing;
}

/** Makes the downloads of a node. */
export function makeChunkFetcher(dependencies: ChunkFetcherDependencies): ChunkFetcher {
  return new OfferDownloader(dependencies);
}
