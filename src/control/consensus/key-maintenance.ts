import { Right } from 'purify-ts';
import { PeerChannel, ConnectionPool } from '../../shared/transport/connections';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { makeCatchUp } from '../../shared/replication/catch-up';
import {
  AppliedEntry,
  appliedEntries,
  InlineChange,
  isAtLeast,
  readChange,
  targetOf,
} from '../../shared/replication/change-message';
import { rankByRendezvousHash } from '../../shared/util/hashing';
import { TimeLimits } from '../../shared/settings/time-limits';
import { VersionedValue } from '../../shared/state/versions';
import { KeyOwner } from './key-owner';
import { ControlStore } from '../storage/control-store';

/** Which keys a controller learned after a count of its life; without `has` where the asker counted in another life, or too long ago. */
export interface LearnedSince {
  life: string;
  count: number;
  has?: AppliedEntry[];
}

/** What the keeper works with. */
export interface KeyMaintenanceDependencies {
  selfAddress: string;
  /** Keys that are owned also before they have a value. */
  alwaysOwnedKeys: string[];
  /** The key that an owner keeps while it has no majority. */
  keyKeptWithoutQuorum: string | undefined;
  store: ControlStore;
  keyOwner: KeyOwner;
  timeLimits: TimeLimits;
  connections: ConnectionPool;
  liveAddresses: () => string[];
  hasQuorum: () => boolean;
  committedValues: () => VersionedValue[];
  learn: (m: { change: VersionedValue }) => Promise<Result<unknown>>;
  /** Notes that a change was not heard as it was made. */
  onCaughtUp: (key: string) => void;
}

/** Keeps a controller's keys up: what it missed, and which ones it owns. */
export interface KeyMaintenance {
  catchUp: () => Promise<void>;
  acquireAssignedKeys: () => Promise<void>;
  /** Writes on a disk anew that has failed a write, so that it votes again once there is room. */
  retryFailedDisk: () => void;
}

/** Keys that are taken over at once; their writes share syncs. */
const MAX_KEYS_ACQUIRED_AT_ONCE = 64;

/** Makes the keeper; each of its rounds costs by what changed, not by how many keys there are. */
export function makeKeyMaintenance(p: KeyMaintenanceDependencies): KeyMaintenance {
  const caught = new Map<string, LearnedSince>();
  const missed = makeCatchUp({
    appliedVersion: held,
    apply: learnMessages,
    openChannels: p.connections.openChannels,
    timeoutMs: p.timeLimits.requestTimeoutMs,
  });
  let tended = { under: '', seen: new Set<string>(), mine: new Set<string>() };

  /** Asks each other controller for what it learned since it was asked last, and the first time for all that is not here. */
  async function catchUp(): Promise<void> {
    await Promise.all(p.connections.peerAddresses().map(from));
  }

  async function from(at: string): Promise<void> {
    const ex = p.connections.channelTo(at);
    if (!ex) return;
    const seen = caught.get(at);
    const asked = { life: seen?.life ?? '', count: seen?.count ?? 0 };
    const [fault, answer] = errorOrValue(
      await ex.request('learned-after', asked, p.timeLimits.requestTimeoutMs),
    );
    if (fault && fault.code !== 'not-known') return;
    const told = answer as LearnedSince | undefined;
    const [other, entries] = errorOrValue(await learnedThere(ex, told));
    if (other?.code === 'not-known') return takeWhole(ex);
    if (other || !(await missed.fetch(ex, entries as AppliedEntry[]))) return;
    if (told) caught.set(at, told);
  }

  /** How far the keys stand there that may be ahead of what is here. */
  async function learnedThere(
    ex: PeerChannel,
    told: LearnedSince | undefined,
  ): Promise<Result<unknown>> {
    return told?.has
      ? Right(told.has)
      : ex.request('committed-places', {}, p.timeLimits.requestTimeoutMs);
  }

  /** Takes all that is missing here from a controller of an earlier version, which sends it whole. */
  async function takeWhole(ex: PeerChannel): Promise<void> {
    const asked = appliedEntries(p.committedValues());
    const [fault, changes] = errorOrValue(
      await ex.request('missing', asked, p.timeLimits.requestTimeoutMs),
    );
    if (!fault) await learnAll(changes as VersionedValue[]);
  }

  /** Learns changes under shared syncs; tells whether all are kept. */
  async function learnAll(changes: readonly VersionedValue[]): Promise<boolean> {
    let kept = true;
    async function one(change: VersionedValue): Promise<void> {
      if ((await p.learn({ change })).isRight()) p.onCaughtUp(change.key);
      else kept = false;
    }
    await Promise.all(changes.map(one));
    return kept;
  }

  function held(key: string): VersionedValue | undefined {
    return p.store.registers.get(key)?.learned;
  }

  /** Learns what was fetched, and gives the keys that could not be read or kept. */
  async function learnMessages(messages: InlineChange[]): Promise<string[]> {
    const changes: VersionedValue[] = [];
    const unread: string[] = [];
    for (const message of messages) {
      const target = targetOf(message);
      if (isAtLeast(held(target.key), target)) continue;
      const change = readChange(held(target.key), message);
      if (change) changes.push(change);
      else unread.push(target.key);
    }
    return (await learnAll(changes)) ? unread : [...unread, ...changes.map(keyOfChange)];
  }

  /** Owns the keys that are this controller's under the voters that are up, some at once, and no others; none where no majority is up. */
  async function tendKeys(): Promise<void> {
    if (!p.hasQuorum()) return disownAll();
    const up = p.liveAddresses();
    const under = up.join(' ');
    if (under !== tended.under) tended = { under, seen: new Set(), mine: new Set() };
    for (const key of [...p.store.registers.keys(), ...p.alwaysOwnedKeys]) {
      if (tended.seen.has(key)) continue;
      tended.seen.add(key);
      if (rankByRendezvousHash(key, up)[0] === p.selfAddress) tended.mine.add(key);
    }
    for (const key of p.keyOwner.ownedKeys()) if (!tended.mine.has(key)) p.keyOwner.release(key);
    const wanted = [...tended.mine].filter(notOwned);
    for (let i = 0; i < wanted.length; i += MAX_KEYS_ACQUIRED_AT_ONCE)
      await Promise.all(wanted.slice(i, i + MAX_KEYS_ACQUIRED_AT_ONCE).map(p.keyOwner.acquire));
  }

  function disownAll(): void {
    for (const key of p.keyOwner.ownedKeys())
      if (key !== p.keyKeptWithoutQuorum) p.keyOwner.release(key);
  }

  function notOwned(key: string): boolean {
    return !p.keyOwner.owns(key);
  }

  let mending = false;

  function tendDisk(): void {
    if (mending || p.store.isWritable()) return;
    mending = true;
    void p.store.flush().then(over);
    function over(): void {
      mending = false;
    }
  }

  return { catchUp, acquireAssignedKeys: tendKeys, retryFailedDisk: tendDisk };
}

function keyOfChange(change: VersionedValue): string {
  return change.key;
}
