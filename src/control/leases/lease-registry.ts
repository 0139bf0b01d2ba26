import { isDeepStrictEqual } from 'node:util';
import { Left, Right } from 'purify-ts';
import {
  AppliedEntry,
  appliedEntries,
  ChangeMessage,
  isCurrent,
  isAtLeast,
} from '../../shared/replication/change-message';
import { bodyField } from '../../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { failure } from '../../shared/errors/errors';
import { ChunkRequest } from '../../shared/replication/chunk-fetcher';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { PeerChannel } from '../../shared/transport/connections';
import { compareVersions, VersionedValue, Version } from '../../shared/state/versions';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Member } from '../../shared/state/members';
import { VoterSet } from '../../shared/state/voter-set';
import { FollowerLag, lagMetricRows, makeFollowerLag } from './follower-lag';
import { makeChangeSender, ChangeSender } from './change-sender';
import { ControlStore } from '../storage/control-store';
import { makeVersionHistory } from './version-history';

/** A follower's ask for a lease: who it is, and how far it has applied each key: whole, or what changed since its last ask on this stream. */
export class LeaseRequest {
  @bodyField('object') member!: Member;
  @bodyField('list', false) has?: AppliedEntry[];
  @bodyField('list', false) changed?: AppliedEntry[];
  /** Whether members may be told as who joined and who left. */
  @bodyField('boolean', false) deltas?: boolean;
  /** Whether the node fetches what it lacks; otherwise the answer brings it whole. */
  @bodyField('boolean', false) fetches?: boolean;
  /** Whether the node fetches in pieces what is long. */
  @bodyField('boolean', false) pieces?: boolean;
}

/** A node's ask for the newest versions of some keys, with the versions that it holds. */
export class FetchRequest {
  @bodyField('list') held!: AppliedEntry[];
  /** Whether the node fetches in pieces what is long. */
  @bodyField('boolean', false) pieces?: boolean;
}

class EffectRequest {
  @bodyField('string') key!: string;
  @bodyField('number') epoch!: number;
  @bodyField('string') by!: string;
  @bodyField('number') number!: number;
  @bodyField('number') within!: number;
}

interface Holder {
  member: Member;
  until: number;
  has: Map<string, Version>;
  ex: PeerChannel;
  /** The count of keys learned here that `has` covers. */
  upTo: number;
  sender: ChangeSender;
  told?: { voters: VoterSet; view: View };
}

/** The members at one time; it stands for as long as nobody joins, leaves, or could have let a lease end. */
interface View {
  list: Member[];
  until: number;
}

function covers(has: Map<string, Version>, n: Version & { key: string }): boolean {
  return isCurrent(has.get(n.key), n);
}

/** Who holds which duty is no concern of followers, and changes often. */
function isForFollowers(key: string): boolean {
  return !key.startsWith(CONTROL_KEYS.duty);
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
export class LeaseRegistry {
  private readonly holders = new Map<string, Holder>();
  private readonly waiters = new Set<() => void>();
  private readonly history = makeVersionHistory();
  private readonly lag: FollowerLag;
  /** Keys of which somebody waits for the effect, with how many do. */
  private readonly awaited = new Map<string, number>();
  private readonly startedAt: number;
  private view: View = { list: [], until: -Infinity };

  constructor(
    private readonly slots: ControlStore,
    private readonly ports: Ports,
    private readonly bounds: TimeLimits,
    private readonly voters: () => VoterSet | undefined,
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
      } else if (h.until + this.bounds.leaseMs * 10 < now) this.holders.delete(life);
    }
    list.sort(byName);
    if (isDeepStrictEqual(list, this.view.list)) this.view.until = until;
    else this.view = { list, until };
    return this.view;
  }

  /** How far each live router has applied a key. */
  appliedVersions(key: string): { name: string; place?: Version }[] {
    const now = this.ports.clock.now();
    const out: { name: string; place?: Version }[] = [];
    for (const h of this.holders.values())
      if (h.until > now && h.member.role === 'router')
        out.push({ name: h.member.name, place: h.has.get(key) });
    return out.sort(byName);
  }

  private note(n: VersionedValue): void {
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
    const keys = [...this.slots.registers.keys()].filter(isForFollowers);
    return lagMetricRows(keys, this.routerLagMs.bind(this));
  }

  /** Logs that a node has lacked a key for over half of the bound of changes. */
  private logLag(
    name: string,
    missing: readonly VersionedValue[],
    has: Map<string, Version>,
  ): void {
    for (const { key } of missing) {
      const lagMs = Math.round(this.lag.lagMs(key, has.get(key)));
      if (lagMs > this.bounds.lagLogThresholdMs)
        this.ports.logger.warn({ step: 'follower behind', peer: name, lagMs }, `it lacks ${key}`);
    }
  }

  /** What is learned here of some keys, or of all, and told to followers. */
  private learned(keys: Iterable<string> = this.slots.registers.keys()): VersionedValue[] {
    const out: VersionedValue[] = [];
    for (const k of keys) {
      const n = this.slots.registers.get(k)?.learned;
      if (n && isForFollowers(k)) out.push(n);
    }
    return out;
  }

  /** What a node lacks of all that is learned here, or of what was learned after a count up to which it lacks nothing. */
  private missing(has: Map<string, Version>, upTo: number | undefined): VersionedValue[] {
    const out: VersionedValue[] = [];
    for (const n of this.learned(
      upTo === undefined ? undefined : this.slots.learnedKeys.after(upTo),
    ))
      if (!covers(has, n)) out.push(n);
    return out;
  }

  /** Grants or renews a lease, only to a node that has applied all that is known here. */
  @messageHandler('claim', LeaseRequest)
  async lease(m: LeaseRequest, ex: PeerChannel): HandlerResult {
    const voters = this.voters();
    if (!voters) return failure('claim', m.member.name, 'not founded', 'refused', 'not-founded');
    const life = lifeOf(m.member);
    const before = this.holders.get(life);
    const same = m.has === undefined;
    if (same && before?.ex !== ex)
      return failure(
        'claim',
        m.member.name,
        'no claim on this stream to go by',
        'refused',
        'tell-all',
      );
    const has = same ? before!.has : new Map<string, Version>();
    for (const [key, epoch, by, number] of m.has ?? m.changed ?? [])
      has.set(key, { epoch, by, number });
    const upTo = this.slots.learnedKeys.count();
    const missing = this.missing(has, same ? before!.upTo : undefined);
    const disk = this.slots.diskId;
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
      until: now + this.bounds.leaseExpiryMs,
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
  @messageHandler('leave', LeaseRequest)
  async leave(m: LeaseRequest): HandlerResult {
    this.holders.delete(lifeOf(m.member));
    this.view.until = -Infinity;
    this.poke();
    return Right(undefined);
  }

  /** Gives the newest versions of some keys, as differences to the versions that the asker holds. */
  @messageHandler('fetch-changes', FetchRequest)
  async fetch(m: FetchRequest): HandlerResult {
    const out: ChangeMessage[] = [];
    for (const [key, epoch, by, number] of m.held) {
      const held: Version = { epoch, by, number };
      const newest = this.newest(key);
      if (newest && !isAtLeast(held, newest))
        out.push(this.history.messageFor(newest, held, m.pieces === true));
    }
    return Right(out);
  }

  /** Gives one piece of a change that this or another controller offered. */
  @messageHandler('change-piece', ChunkRequest)
  async piece(m: ChunkRequest): HandlerResult {
    const bytes = this.history.chunk(m);
    return bytes
      ? Right(bytes)
      : failure(
          'change piece',
          this.slots.diskId,
          `${m.key} is not to be had`,
          'refused',
          'not-known',
        );
  }

  private newest(key: string): VersionedValue | undefined {
    return isForFollowers(key) ? this.slots.registers.get(key)?.learned : undefined;
  }

  private senderFor(
    exchange: PeerChannel,
    ask: LeaseRequest,
    applied: Map<string, Version>,
  ): ChangeSender {
    const { history } = this;
    function messageFor(change: VersionedValue, held: Version | undefined): ChangeMessage {
      return history.messageFor(change, held, ask.pieces === true);
    }
    return makeChangeSender({
      channel: exchange,
      name: ask.member.name,
      applied,
      timeoutMs: this.bounds.requestTimeoutMs,
      logger: this.ports.logger,
      newest: this.newest.bind(this),
      messageFor,
      onApplied: this.poke.bind(this),
    });
  }

  /** Takes note of a change that is learned here; its owner sends it to the followers, the others leave that to the followers' next renewals. */
  publish(n: VersionedValue, own = true): void {
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
  notifyAll(type: string, body: unknown): void {
    for (const h of this.holders.values()) h.ex.notify(type, body);
  }

  private poke(): void {
    for (const w of [...this.waiters]) w();
  }

  private inEffect(m: EffectRequest): boolean {
    const now = this.ports.clock.now();
    const learned = this.slots.registers.get(m.key)?.learned;
    if (
      !learned ||
      compareVersions(learned, m) < 0 ||
      now < this.startedAt + this.bounds.leaseExpiryMs
    )
      return false;
    for (const h of this.holders.values())
      if (h.member.role === 'router' && h.until > now && !covers(h.has, m)) return false;
    return true;
  }

  private nextEnd(): number {
    const now = this.ports.clock.now();
    let end =
      now < this.startedAt + this.bounds.leaseExpiryMs
        ? this.startedAt + this.bounds.leaseExpiryMs
        : now + this.bounds.leaseMs;
    for (const h of this.holders.values()) if (h.until > now) end = Math.min(end, h.until);
    return Math.max(1, end - now);
  }

  /** Comes back when every router with a live lease has the change, or its lease has ended. */
  @messageHandler('effect', EffectRequest)
  async effect(m: EffectRequest): HandlerResult {
    const until = this.ports.clock.now() + m.within;
    this.awaited.set(m.key, (this.awaited.get(m.key) ?? 0) + 1);
    this.confirmAll(m.key);
    const inEffect = await this.awaitEffect(m, until);
    const others = this.awaited.get(m.key)! - 1;
    if (others > 0) this.awaited.set(m.key, others);
    else this.awaited.delete(m.key);
    return inEffect;
  }

  private async awaitEffect(m: EffectRequest, until: number): HandlerResult {
    while (!this.inEffect(m)) {
      if (this.ports.clock.now() >= until)
        return Left({
          step: 'effect',
          peer: this.slots.diskId,
          reason: 'not all have it yet',
          certainty: 'unknown',
          code: 'pending',
        });
      await this.next(Math.min(this.nextEnd(), until - this.ports.clock.now()));
    }
    return Right({ disk: this.slots.diskId });
  }

  private next(within: number): Promise<void> {
    const { waiters, ports } = this;
    function wait(done: () => void): void {
      const off = ports.clock.setTimer(Math.max(1, within), go);
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
