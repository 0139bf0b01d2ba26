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

/** The versions of each key that were committed here lately, for differences to what other nodes hold. */
export interface VersionHistory {
  /** Takes note of a version that is committed. */
  note: (change: VersionedValue) => void;
  /** The message that brings a node from the version that it holds to `change`; only a node that fetches pieces is offered what is long. */
  messageFor: (change: VersionedValue, held: Version | undefined, pieces: boolean) => ChangeMessage;
  /** One piece of an offered change; nothing where its versions are not known here any more, or gave other bytes. */
  chunk: (ask: ChunkRequest) => Uint8Array | undefined;
}

/** Versions kept of each key; they share what did not change. */
const KEPT_VERSIONS = 128;

/** Offered changes of which the bytes are kept, or known not to be had; the one that was asked for last stands at the end. */
const KEPT_OFFERS = 32;

interface Versions {
  list: VersionedValue[];
  newest: VersionedValue;
  messages: Map<string, InlineChange>;
}

/** Makes a history that is empty. */
export function makeVersionHistory(): VersionHistory {
  const byKey = new Map<string, Versions>();
  const offers = new WeakMap<InlineChange, ChangeOffer>();
  /** The bytes of offers by their sum; nothing for a sum that the versions here do not give. */
  const offered = new Map<string, Uint8Array | undefined>();

  function note(change: VersionedValue): void {
    forgetUnknown();
    const versions = byKey.get(change.key);
    if (!versions) {
      byKey.set(change.key, { list: [change], newest: change, messages: new Map() });
      return;
    }
    versions.list.push(change);
    if (versions.list.length > KEPT_VERSIONS) versions.list.shift();
  }

  /** Forgets which sums could not be given: the versions that they need may be known from now on. */
  function forgetUnknown(): void {
    for (const [sum, bytes] of offered) if (bytes === undefined) offered.delete(sum);
  }

  /** The version of a number, under the place that a node knows it by: a later owner may have committed it anew. */
  function versionAt(versions: Versions, place: Version | undefined): VersionedValue | undefined {
    if (!place) return undefined;
    function isAt(version: VersionedValue): boolean {
      return version.number === place!.number;
    }
    const version = versions.list.findLast(isAt);
    return version && { ...version, ...versionOf(place) };
  }

  function makeMessage(versions: Versions, change: VersionedValue, held?: Version): InlineChange {
    const delta = makeDelta(versionAt(versions, held), change);
    return delta ? deltaMessage(delta) : fullChangeMessage(change);
  }

  function inlineFor(versions: Versions, change: VersionedValue, held?: Version): InlineChange {
    if (versions.newest !== change) {
      versions.newest = change;
      versions.messages.clear();
    }
    const version = versionAt(versions, held);
    const name = version ? `${version.epoch} ${version.by} ${version.number}` : '';
    const known = versions.messages.get(name);
    if (known) return known;
    const message = makeMessage(versions, change, held);
    versions.messages.set(name, message);
    return message;
  }

  function messageFor(
    change: VersionedValue,
    held: Version | undefined,
    pieces: boolean,
  ): ChangeMessage {
    if (!byKey.has(change.key)) note(change);
    const versions = byKey.get(change.key)!;
    const message = inlineFor(versions, change, held);
    if (!pieces) return withoutCompressedDelta(message, versions, change, held);
    return offerWhereLong(message);
  }

  /** The message for a node of an earlier release, which knows no compressed differences. */
  function withoutCompressedDelta(
    message: InlineChange,
    versions: Versions,
    change: VersionedValue,
    held: Version | undefined,
  ): InlineChange {
    if (message.kind !== 'compressed-delta') return message;
    const delta = makeDelta(versionAt(versions, held), change);
    return delta ? { kind: 'delta', delta } : fullChangeMessage(change);
  }

  function offerWhereLong(message: InlineChange): ChangeMessage {
    if (message.kind === 'whole' || message.kind === 'delta') return message;
    if (message.bytes.length <= CHUNK_BYTES) return message;
    const offer = offers.get(message) ?? offerOf(message);
    offers.set(message, offer);
    keep(offer.sum, message.bytes);
    return offer;
  }

  function keep(newest: string, bytes: Uint8Array | undefined): void {
    offered.delete(newest);
    offered.set(newest, bytes);
    for (const sum of offered.keys()) {
      if (offered.size <= KEPT_OFFERS) return;
      offered.delete(sum);
    }
  }

  /** Makes the bytes of a change that another controller offered, from the versions that are known here. */
  function makeOffered(ask: ChunkRequest): Uint8Array | undefined {
    const versions = byKey.get(ask.key);
    const change = versions && versionAt(versions, ask.place);
    if (!change || (ask.base && !versionAt(versions, ask.base))) return undefined;
    offerWhereLong(makeMessage(versions, change, ask.base));
    return offered.get(ask.sum);
  }

  function piece(ask: ChunkRequest): Uint8Array | undefined {
    const bytes = offered.has(ask.sum) ? offered.get(ask.sum) : makeOffered(ask);
    keep(ask.sum, bytes);
    return bytes && new Uint8Array(bytes.subarray(ask.start, ask.start + CHUNK_BYTES));
  }

  return { note, messageFor, chunk: piece };
}
