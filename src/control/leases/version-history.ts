/**
 * The versions of each key that were committed here lately, and the messages made from them: differences to what other
 * nodes hold, and offers of chunks where a message is long.
 */

import {
  ChangeMessage,
  ChangeOffer,
  deltaMessage,
  InlineChange,
  offerOf,
  fullChangeMessage,
} from '../../shared/replication/change-message';
import { makeDelta, versionOf } from '../../shared/replication/delta';
import { CHUNK_BYTES, ChunkRequest } from '../../shared/replication/chunk-fetcher';
import { VersionedValue, Version } from '../../shared/state/versions';
import { OfferedBytes } from './offered-bytes';

/** Versions kept of each key; they share what did not change. */
const MAX_VERSIONS = 128;

/** The versions of one key, and the messages that bring a node to the newest of them, by the version that it holds. */
interface KeyVersions {
  list: VersionedValue[];
  newest: VersionedValue;
  messages: Map<string, InlineChange>;
}

/** The versions of each key that were committed here lately. */
export class VersionHistory {
  private readonly byKey = new Map<string, KeyVersions>();
  private readonly offers = new WeakMap<InlineChange, ChangeOffer>();
  private readonly offeredBytes = new OfferedBytes();

  /** Takes note of a version that is committed. */
  note(change: VersionedValue): void {
    this.offeredBytes.forgetMissing();
    const versions = this.byKey.get(change.key);
    if (!versions) {
      this.byKey.set(change.key, { list: [change], newest: change, messages: new Map() });
      return;
    }
    versions.list.push(change);
    if (versions.list.length > MAX_VERSIONS) versions.list.shift();
  }

  /** The message that brings a node from the version that it holds to `change`; only a node that fetches chunks is offered what is long. */
  messageFor(
    change: VersionedValue,
    followerVersion: Version | undefined,
    fetchesChunks: boolean,
  ): ChangeMessage {
    if (!this.byKey.has(change.key)) this.note(change);
    const versions = this.byKey.get(change.key)!;
    const message = inlineMessageFor(versions, change, followerVersion);
    return fetchesChunks
      ? this.offerIfLong(message)
      : withoutCompressedDelta(message, versions, change, followerVersion);
  }

  /** One chunk of an offered change; nothing where its versions are not known here any more, or gave other bytes. */
  chunk(request: ChunkRequest): Uint8Array | undefined {
    const { sum, start } = request;
    const bytes = this.offeredBytes.has(sum)
      ? this.offeredBytes.get(sum)
      : this.remakeOffered(request);
    this.offeredBytes.keep(sum, bytes);
    return bytes && new Uint8Array(bytes.subarray(start, start + CHUNK_BYTES));
  }

  private offerIfLong(message: InlineChange): ChangeMessage {
    if (message.kind === 'whole' || message.kind === 'delta') return message;
    if (message.bytes.length <= CHUNK_BYTES) return message;
    const offer = this.offers.get(message) ?? offerOf(message);
    this.offers.set(message, offer);
    this.offeredBytes.keep(offer.sum, message.bytes);
    return offer;
  }

  /** Makes the bytes of a change that another controller offered, from the versions that are known here. */
  private remakeOffered(request: ChunkRequest): Uint8Array | undefined {
    const versions = this.byKey.get(request.key);
    const change = versions && versionAt(versions, request.place);
    if (!change || (request.base && !versionAt(versions, request.base))) return undefined;
    this.offerIfLong(makeMessage(versions, change, request.base));
    return this.offeredBytes.get(request.sum);
  }
}

/** The version of a number, under the version that a node knows it by: a later owner may have committed it anew. */
function versionAt(
  versions: KeyVersions,
  followerVersion: Version | undefined,
): VersionedValue | undefined {
  if (!followerVersion) return undefined;
  const { number } = followerVersion;
  function isAt(version: VersionedValue): boolean {
    return version.number === number;
  }
  const version = versions.list.findLast(isAt);
  return version && { ...version, ...versionOf(followerVersion) };
}

function makeMessage(
  versions: KeyVersions,
  change: VersionedValue,
  followerVersion?: Version,
): InlineChange {
  const delta = makeDelta(versionAt(versions, followerVersion), change);
  return delta ? deltaMessage(delta) : fullChangeMessage(change);
}

/** The message to the newest version, made once for all nodes that hold the same version. */
function inlineMessageFor(
  versions: KeyVersions,
  change: VersionedValue,
  followerVersion?: Version,
): InlineChange {
  if (versions.newest !== change) {
    versions.newest = change;
    versions.messages.clear();
  }
  const version = versionAt(versions, followerVersion);
  const name = version ? `${version.epoch} ${version.by} ${version.number}` : '';
  const known = versions.messages.get(name);
  if (known) return known;
  const message = makeMessage(versions, change, followerVersion);
  versions.messages.set(name, message);
  return message;
}

/** The message for a node of an earlier release, which knows no compressed differences. */
function withoutCompressedDelta(
  message: InlineChange,
  versions: KeyVersions,
  change: VersionedValue,
  followerVersion: Version | undefined,
): InlineChange {
  if (message.kind !== 'compressed-delta') return message;
  const delta = makeDelta(versionAt(versions, followerVersion), change);
  return delta ? { kind: 'delta', delta } : fullChangeMessage(change);
}

/** Makes a history that is empty. */
export function makeVersionHistory(): VersionHistory {
  return new VersionHistory();
}
