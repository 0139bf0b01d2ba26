import { ChangeMessage, wholeMessage } from '../shared/change-message';
import { makeDelta, placeOf } from '../shared/delta';
import { Numbered, Place } from '../shared/words';

/** The versions of each key that were committed here lately, for differences to what other nodes hold. */
export interface VersionHistory {
  /** Takes note of a version that is committed. */
  note(change: Numbered): void;
  /** The message that brings a node from the version that it holds to `change`. */
  messageFor(change: Numbered, held: Place | undefined): ChangeMessage;
}

/** Versions kept of each key; they share what did not change. */
const KEPT_VERSIONS = 128;

interface Versions {
  list: Numbered[];
  newest: Numbered;
  messages: Map<string, ChangeMessage>;
}

/** Makes a history that is empty. */
export function makeVersionHistory(): VersionHistory {
  const byKey = new Map<string, Versions>();

  function note(change: Numbered): void {
    const versions = byKey.get(change.key);
    if (!versions) {
      byKey.set(change.key, { list: [change], newest: change, messages: new Map() });
      return;
    }
    versions.list.push(change);
    if (versions.list.length > KEPT_VERSIONS) versions.list.shift();
  }

  /** The version that a node holds, under the place that it knows it by: a later owner may have committed it anew. */
  function heldVersion(versions: Versions, held: Place | undefined): Numbered | undefined {
    if (!held) return undefined;
    function isHeld(version: Numbered): boolean {
      return version.number === held!.number;
    }
    const version = versions.list.findLast(isHeld);
    return version && { ...version, ...placeOf(held) };
  }

  function makeMessage(versions: Versions, change: Numbered, held?: Place): ChangeMessage {
    const delta = makeDelta(heldVersion(versions, held), change);
    return delta ? { kind: 'delta', delta } : wholeMessage(change);
  }

  function messageFor(change: Numbered, held: Place | undefined): ChangeMessage {
    if (!byKey.has(change.key)) note(change);
    const versions = byKey.get(change.key)!;
    if (versions.newest !== change) {
      versions.newest = change;
      versions.messages.clear();
    }
    const version = heldVersion(versions, held);
    const name = version ? `${version.epoch} ${version.by} ${version.number}` : '';
    const known = versions.messages.get(name);
    if (known) return known;
    const message = makeMessage(versions, change, held);
    versions.messages.set(name, message);
    return message;
  }

  return { note, messageFor };
}
