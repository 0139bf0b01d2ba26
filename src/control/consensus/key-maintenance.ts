import { Right } from 'purify-ts';
import { Exchange, Holds } from '../../shared/transport/connections';
import { open, Outcome } from '../../shared/errors/errors';
import { makeCatchUp } from '../../shared/replication/catch-up';
import {
  AppliedEntry,
  appliedEntries,
  InlineChange,
  isReached,
  readChange,
  targetOf,
} from '../../shared/replication/change-message';
import { rendezvous } from '../../shared/util/lib';
import { Bounds } from '../../shared/settings/time-limits';
import { Numbered } from '../../shared/state/words';
import { Owner } from './key-owner';
import { Slots } from '../storage/control-store';

/** Which keys a controller learned after a count of its life; without `has` where the asker counted in another life, or too long ago. */
export interface LearnedAfter {
  life: string;
  count: number;
  has?: AppliedEntry[];
}

/** What the keeper works with. */
export interface KeeperParts {
  wire: string;
  /** Keys that are owned also before they have a value. */
  always: string[];
  /** The key that an owner keeps while it has no majority. */
  keptAlone: string | undefined;
  slots: Slots;
  owner: Owner;
  bounds: Bounds;
  helds: Holds;
  live(): string[];
  hasMajority(): boolean;
  committed(): Numbered[];
  learn(m: { change: Numbered }): Promise<Outcome<unknown>>;
  /** Notes that a change was not heard as it was made. */
  forget(key: string): void;
}

/** Keeps a controller's keys up: what it missed, and which ones it owns. */
export interface Keeper {
  catchUp(): Promise<void>;
  tendKeys(): Promise<void>;
  /** Writes on a disk anew that has failed a write, so that it votes again once there is room. */
  tendDisk(): void;
}

/** Keys that are taken over at once; their writes share syncs. */
const OWN_AT_ONCE = 64;

/** Makes the keeper; each of its rounds costs by what changed, not by how many keys there are. */
export function makeKeeper(p: KeeperParts): Keeper {
  const caught = new Map<string, LearnedAfter>();
  const missed = makeCatchUp({
    held,
    apply: learnMessages,
    exchanges: p.helds.all,
    within: p.bounds.ask,
  });
  let tended = { under: '', seen: new Set<string>(), mine: new Set<string>() };

  /** Asks each other controller for what it learned since it was asked last, and the first time for all that is not here. */
  async function catchUp(): Promise<void> {
    await Promise.all(p.helds.ats().map(from));
  }

  async function from(at: string): Promise<void> {
    const ex = p.helds.up(at);
    if (!ex) return;
    const seen = caught.get(at);
    const asked = { life: seen?.life ?? '', count: seen?.count ?? 0 };
    const [fault, answer] = open(await ex.ask('learned-after', asked, p.bounds.ask));
    if (fault && fault.code !== 'not-known') return;
    const told = answer as LearnedAfter | undefined;
    const [other, entries] = open(await learnedThere(ex, told));
    if (other?.code === 'not-known') return takeWhole(ex);
    if (other || !(await missed.fetch(ex, entries as AppliedEntry[]))) return;
    if (told) caught.set(at, told);
  }

  /** How far the keys stand there that may be ahead of what is here. */
  async function learnedThere(
    ex: Exchange,
    told: LearnedAfter | undefined,
  ): Promise<Outcome<unknown>> {
    return told?.has ? Right(told.has) : ex.ask('committed-places', {}, p.bounds.ask);
  }

  /** Takes all that is missing here from a controller of an earlier version, which sends it whole. */
  async function takeWhole(ex: Exchange): Promise<void> {
    const asked = appliedEntries(p.committed());
    const [fault, changes] = open(await ex.ask('missing', asked, p.bounds.ask));
    if (!fault) await learnAll(changes as Numbered[]);
  }

  /** Learns changes under shared syncs; tells whether all are kept. */
  async function learnAll(changes: readonly Numbered[]): Promise<boolean> {
    let kept = true;
    async function one(change: Numbered): Promise<void> {
      if ((await p.learn({ change })).isRight()) p.forget(change.key);
      else kept = false;
    }
    await Promise.all(changes.map(one));
    return kept;
  }

  function held(key: string): Numbered | undefined {
    return p.slots.cells.get(key)?.learned;
  }

  /** Learns what was fetched, and gives the keys that could not be read or kept. */
  async function learnMessages(messages: InlineChange[]): Promise<string[]> {
    const changes: Numbered[] = [];
    const unread: string[] = [];
    for (const message of messages) {
      const target = targetOf(message);
      if (isReached(held(target.key), target)) continue;
      const change = readChange(held(target.key), message);
      if (change) changes.push(change);
      else unread.push(target.key);
    }
    return (await learnAll(changes)) ? unread : [...unread, ...changes.map(keyOfChange)];
  }

  /** Owns the keys that are this controller's under the voters that are up, some at once, and no others; none where no majority is up. */
  async function tendKeys(): Promise<void> {
    if (!p.hasMajority()) return disownAll();
    const up = p.live();
    const under = up.join(' ');
    if (under !== tended.under) tended = { under, seen: new Set(), mine: new Set() };
    for (const key of [...p.slots.cells.keys(), ...p.always]) {
      if (tended.seen.has(key)) continue;
      tended.seen.add(key);
      if (rendezvous(key, up)[0] === p.wire) tended.mine.add(key);
    }
    for (const key of p.owner.owned()) if (!tended.mine.has(key)) p.owner.disown(key);
    const wanted = [...tended.mine].filter(notOwned);
    for (let i = 0; i < wanted.length; i += OWN_AT_ONCE)
      await Promise.all(wanted.slice(i, i + OWN_AT_ONCE).map(p.owner.own));
  }

  function disownAll(): void {
    for (const key of p.owner.owned()) if (key !== p.keptAlone) p.owner.disown(key);
  }

  function notOwned(key: string): boolean {
    return !p.owner.owns(key);
  }

  let mending = false;

  function tendDisk(): void {
    if (mending || p.slots.fit()) return;
    mending = true;
    void p.slots.settled().then(over);
    function over(): void {
      mending = false;
    }
  }

  return { catchUp, tendKeys, tendDisk };
}

function keyOfChange(change: Numbered): string {
  return change.key;
}
