import { isDeepStrictEqual } from 'node:util';
import { Left, Right } from 'purify-ts';
import {
  AppliedEntry,
  appliedEntries,
  ChangeMessage,
  isCurrent,
  isReached,
} from '../../shared/replication/change-message';
import { field, Handled, message } from '../../shared/transport/handlers';
import { bad } from '../../shared/errors/errors';
import { PieceAsk } from '../../shared/replication/chunk-fetcher';
import { Ports } from '../../shared/ports/ports';
import { Bounds } from '../../shared/settings/time-limits';
import { Exchange } from '../../shared/transport/connections';
import { comparePlaces, KEYS, Member, Numbered, Place, Voters } from '../../shared/state/words';
import { FollowerLag, lagRows, makeFollowerLag } from './follower-lag';
import { makeNewsSender, NewsSender } from './change-sender';
import { Slots } from '../storage/control-store';
import { makeVersionHistory } from './version-history';

/** A follower's ask for a lease: who it is, and how far it has applied each key: whole, or what changed since its last ask on this stream. */
export class LeaseAsk {
  @field('object') member!: Member;
  @field('list', false) has?: AppliedEntry[];
  @field('list', false) changed?: AppliedEntry[];
  /** Whether members may be told as who joined and who left. */
  @field('boolean', false) deltas?: boolean;
  /** Whether the node fetches what it lacks; otherwise the answer brings it whole. */
  @field('boolean', false) fetches?: boolean;
  /** Whether the node fetches in pieces what is long. */
  @field('boolean', false) pieces?: boolean;
}

/** A node's ask for the newest versions of some keys, with the versions that it holds. */
export class FetchAsk {
  @field('list') held!: AppliedEntry[];
  /** Whether the node fetches in pieces what is long. */
  @field('boolean', false) pieces?: boolean;
}

class EffectAsk {
  @field('string') key!: string;
  @field('number') epoch!: number;
  @field('string') by!: string;
  @field('number') number!: number;
  @field('number') within!: number;
}

interface Holder {
  member: Member;
  until: number;
  has: Map<string, Place>;
  ex: Exchange;
  /** The count of keys learned here that `has` covers. */
  upTo: number;
  sender: NewsSender;
  told?: { voters: Voters; view: View };
}

/** The members at one time; it stands for as long as nobody joins, leaves, or could have let a lease end. */
interface View {
  list: Member[];
  until: number;
}

function covers(has: Map<string, Place>, n: Place & { key: string }): boolean {
  return isCurrent(has.get(n.key), n);
}

/** Who holds which duty is no concern of followers, and changes often. */
function isForFollowers(key: string): boolean {
  return !key.startsWith(KEYS.duty);
}

function lifeOf(m: Member): string {
  return `${m.name} ${m.life}`;
}

function byName(a: { name: string }, b: { name: string }): number {
  return a.name < b.name ? -1 : 1;
}

/** Who joined and which lives left between two lists; one that tells something else of itself joins anew. */
function difference(
  before: readonly Member[],
  now: readonly Member[],
): { joined: Member[]; left: string[] } {
  const had = new Map<string, Member>();
  for (const m of before) had.set(lifeOf(m), m);
  const joined: Member[] = [];
  for (const m of now) {
    if (had.get(lifeOf(m)) !== m) joined.push(m);
    had.delete(lifeOf(m));
  }
  return { joined, left: [...had.keys()] };
}

/** Leases that nodes hold at this controller, and the news they are sent. */
export class Leases {
  private readonly holders = new Map<string, Holder>();
  private readonly waiters = new Set<() => void>();
  private readonly history = makeVersionHistory();
  private readonly lag: FollowerLag;
  /** Keys of which somebody waits for the effect, with how many do. */
  private readonly awaited = new Map<string, number>();
  private readonly startedAt: number;
  private view: View = { list: [], until: -Infinity };

  constructor(
    private readonly slots: Slots,
    private readonly ports: Ports,
    private readonly bounds: Bounds,
    private readonly voters: () => Voters | undefined,
  ) {
    this.startedAt = ports.clock.now();
    this.lag = makeFollowerLag(ports.clock.now);
    for (const n of this.learned()) this.note(n);
  }

  /** The nodes whose lease here has not ended. */
  members(): Member[] {
    return this.viewNow().list;
  }

  private viewNow(): View {
    const now = this.ports.clock.now();
    if (now < this.view.until) return this.view;
    const list: Member[] = [];
    let until = Infinity;
    for (const [life, h] of this.holders) {
      if (h.until > now) {
        list.push(h.member);
        until = Math.min(until, h.until);
      } else if (h.until + this.bounds.lease * 10 < now) this.holders.delete(life);
    }
    list.sort(byName);
    if (isDeepStrictEqual(list, this.view.list)) this.view.until = until;
    else this.view = { list, until };
    return this.view;
  }

  /** How far each live router has applied a key. */
  applied(key: string): { name: string; place?: Place }[] {
    const now = this.ports.clock.now();
    const out: { name: string; place?: Place }[] = [];
    for (const h of this.holders.values())
      if (h.until > now && h.member.role === 'router')
        out.push({ name: h.member.name, place: h.has.get(key) });
    return out.sort(byName);
  }

  private note(n: Numbered): void {
    this.history.note(n);
    this.lag.note(n);
  }

  /** For how long, at the most, a live router has lacked a later version of a key than it holds, in ms. */
  routerLagMs(key: string): number {
    const now = this.ports.clock.now();
    let most = 0;
    for (const h of this.holders.values())
      if (h.until > now && h.member.role === 'router')
        most = Math.max(most, this.lag.lagMs(key, h.has.get(key)));
    return most;
  }

  /** The lags of routers, as figures for collectors. */
  lagRows(): string[] {
    const keys = [...this.slots.cells.keys()].filter(isForFollowers);
    return lagRows(keys, this.routerLagMs.bind(this));
  }

  /** Logs that a node has lacked a key for over half of the bound of changes. */
  private logLag(name: string, missing: readonly Numbered[], has: Map<string, Place>): void {
    for (const { key } of missing) {
      const lagMs = Math.round(this.lag.lagMs(key, has.get(key)));
      if (lagMs > this.bounds.lagLogged)
        this.ports.log.warn({ step: 'follower behind', peer: name, lagMs }, `it lacks ${key}`);
    }
  }

  /** What is learned here of some keys, or of all, and told to followers. */
  private learned(keys: Iterable<string> = this.slots.cells.keys()): Numbered[] {
    const out: Numbered[] = [];
    for (const k of keys) {
      const n = this.slots.cells.get(k)?.learned;
      if (n && isForFollowers(k)) out.push(n);
    }
    return out;
  }

  /** What a node lacks of all that is learned here, or of what was learned after a count up to which it lacks nothing. */
  private missing(has: Map<string, Place>, upTo: number | undefined): Numbered[] {
    const out: Numbered[] = [];
    for (const n of this.learned(upTo === undefined ? undefined : this.slots.learned.after(upTo)))
      if (!covers(has, n)) out.push(n);
    return out;
  }

  /** Grants or renews a lease, only to a node that has applied all that is known here. */
  @message('claim', LeaseAsk)
  async lease(m: LeaseAsk, ex: Exchange): Handled {
    const voters = this.voters();
    if (!voters) return bad('claim', m.member.name, 'not founded', 'refused', 'not-founded');
    const life = lifeOf(m.member);
    const before = this.holders.get(life);
    const same = m.has === undefined;
    if (same && before?.ex !== ex)
      return bad('claim', m.member.name, 'no claim on this stream to go by', 'refused', 'tell-all');
    const has = same ? before!.has : new Map<string, Place>();
    for (const [key, epoch, by, number] of m.has ?? m.changed ?? [])
      has.set(key, { epoch, by, number });
    const upTo = this.slots.learned.count();
    const missing = this.missing(has, same ? before!.upTo : undefined);
    const disk = this.slots.disk;
    this.logLag(m.member.name, missing, has);
    if (missing.length > 0 && m.fetches) {
      const lacking = appliedEntries(missing);
      return Right({ granted: false, disk, lacking, voters, members: [] });
    }
    if (missing.length > 0) return Right({ granted: false, disk, missing, voters, members: [] });
    const now = this.ports.clock.now();
    const member = before && isDeepStrictEqual(before.member, m.member) ? before.member : m.member;
    if (!before || before.until <= now || before.member !== member) this.view.until = -Infinity;
    const holder: Holder = {
      member,
      until: now + this.bounds.leaseHeld,
      has,
      ex,
      upTo,
      sender: same ? before!.sender : this.senderFor(ex, m, has),
    };
    this.holders.set(life, holder);
    this.poke();
    const view = this.viewNow();
    holder.told = { voters, view };
    const told = same ? before!.told : undefined;
    if (!told || told.voters !== voters || !(m.deltas || told.view === view))
      return Right({ granted: true, disk, missing, voters, members: view.list });
    return Right(
      told.view === view
        ? { granted: true, disk, missing }
        : { granted: true, disk, missing, ...difference(told.view.list, view.list) },
    );
  }

  /** Ends a lease at once, when a node leaves by itself. */
  @message('leave', LeaseAsk)
  async leave(m: LeaseAsk): Handled {
    this.holders.delete(lifeOf(m.member));
    this.view.until = -Infinity;
    this.poke();
    return Right(undefined);
  }

  /** Gives the newest versions of some keys, as differences to the versions that the asker holds. */
  @message('fetch-changes', FetchAsk)
  async fetch(m: FetchAsk): Handled {
    const out: ChangeMessage[] = [];
    for (const [key, epoch, by, number] of m.held) {
      const held: Place = { epoch, by, number };
      const newest = this.newest(key);
      if (newest && !isReached(held, newest))
        out.push(this.history.messageFor(newest, held, m.pieces === true));
    }
    return Right(out);
  }

  /** Gives one piece of a change that this or another controller offered. */
  @message('change-piece', PieceAsk)
  async piece(m: PieceAsk): Handled {
    const bytes = this.history.piece(m);
    return bytes
      ? Right(bytes)
      : bad('change piece', this.slots.disk, `${m.key} is not to be had`, 'refused', 'not-known');
  }

  private newest(key: string): Numbered | undefined {
    return isForFollowers(key) ? this.slots.cells.get(key)?.learned : undefined;
  }

  private senderFor(exchange: Exchange, ask: LeaseAsk, applied: Map<string, Place>): NewsSender {
    const { history } = this;
    function messageFor(change: Numbered, held: Place | undefined): ChangeMessage {
      return history.messageFor(change, held, ask.pieces === true);
    }
    return makeNewsSender({
      exchange,
      name: ask.member.name,
      applied,
      within: this.bounds.ask,
      log: this.ports.log,
      newest: this.newest.bind(this),
      messageFor,
      onApplied: this.poke.bind(this),
    });
  }

  /** Takes note of a change that is learned here; its owner sends it to the followers, the others leave that to the followers' next renewals. */
  push(n: Numbered, own = true): void {
    this.poke();
    this.note(n);
    if (own) for (const h of this.holders.values()) h.sender.send(n.key);
    else if (this.awaited.has(n.key)) this.confirmAll(n.key);
  }

  /** Asks the followers that are not known to have a key's newest version whether they have it, and sends it where not. */
  private confirmAll(key: string): void {
    for (const h of this.holders.values()) h.sender.confirm(key);
  }

  /** Tells every follower something that is no change. */
  tell(type: string, body: unknown): void {
    for (const h of this.holders.values()) h.ex.tell(type, body);
  }

  private poke(): void {
    for (const w of [...this.waiters]) w();
  }

  private inEffect(m: EffectAsk): boolean {
    const now = this.ports.clock.now();
    const learned = this.slots.cells.get(m.key)?.learned;
    if (!learned || comparePlaces(learned, m) < 0 || now < this.startedAt + this.bounds.leaseHeld)
      return false;
    for (const h of this.holders.values())
      if (h.member.role === 'router' && h.until > now && !covers(h.has, m)) return false;
    return true;
  }

  private nextEnd(): number {
    const now = this.ports.clock.now();
    let end =
      now < this.startedAt + this.bounds.leaseHeld
        ? this.startedAt + this.bounds.leaseHeld
        : now + this.bounds.lease;
    for (const h of this.holders.values()) if (h.until > now) end = Math.min(end, h.until);
    return Math.max(1, end - now);
  }

  /** Comes back when every router with a live lease has the change, or its lease has ended. */
  @message('effect', EffectAsk)
  async effect(m: EffectAsk): Handled {
    const until = this.ports.clock.now() + m.within;
    this.awaited.set(m.key, (this.awaited.get(m.key) ?? 0) + 1);
    this.confirmAll(m.key);
    const inEffect = await this.awaitEffect(m, until);
    const others = this.awaited.get(m.key)! - 1;
    if (others > 0) this.awaited.set(m.key, others);
    else this.awaited.delete(m.key);
    return inEffect;
  }

  private async awaitEffect(m: EffectAsk, until: number): Handled {
    while (!this.inEffect(m)) {
      if (this.ports.clock.now() >= until)
        return Left({
          step: 'effect',
          peer: this.slots.disk,
          why: 'not all have it yet',
          sort: 'unknown',
          code: 'pending',
        });
      await this.next(Math.min(this.nextEnd(), until - this.ports.clock.now()));
    }
    return Right({ disk: this.slots.disk });
  }

  private next(within: number): Promise<void> {
    const { waiters, ports } = this;
    function wait(done: () => void): void {
      const off = ports.clock.timer(Math.max(1, within), go);
      function go(): void {
        off();
        waiters.delete(go);
        done();
      }
      waiters.add(go);
    }
    return new Promise(wait);
  }
}
