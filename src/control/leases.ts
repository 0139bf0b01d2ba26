import { Left, Right } from 'purify-ts';
import { Delta, makeDelta } from '../shared/delta';
import { field, Handled, message } from '../shared/edge';
import { bad, open, Outcome } from '../shared/errors';
import { Ports } from '../shared/ports';
import { Bounds } from '../shared/settings';
import { Exchange } from '../shared/connections';
import { comparePlaces, KEYS, Member, Numbered, Place, Voters } from '../shared/words';
import { Slots } from './slots';

/** A follower's ask for a lease: who it is, and how far it has applied each key; left out where that is as it was in its last lease. */
export class LeaseAsk {
  @field('object') member!: Member;
  @field('list', false) has?: [string, number, string, number][];
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
  told: string;
}

function covers(has: Map<string, Place>, n: Place & { key: string }): boolean {
  const h = has.get(n.key);
  return h !== undefined && comparePlaces(h, n) >= 0;
}

function lifeOf(m: Member): string {
  return `${m.name} ${m.life}`;
}

function byName(a: { name: string }, b: { name: string }): number {
  return a.name < b.name ? -1 : 1;
}

/** Leases that nodes hold at this controller, and the news they are sent. */
export class Leases {
  private readonly holders = new Map<string, Holder>();
  private readonly waiters = new Set<() => void>();
  private readonly startedAt: number;

  constructor(private readonly slots: Slots, private readonly ports: Ports, private readonly bounds: Bounds, private readonly voters: () => Voters | undefined) {
    this.startedAt = ports.clock.now();
  }

  /** The nodes whose lease here has not ended. */
  members(): Member[] {
    const now = this.ports.clock.now();
    const out: Member[] = [];
    for (const [life, h] of this.holders) {
      if (h.until > now) out.push(h.member);
      else if (h.until + this.bounds.lease * 10 < now) this.holders.delete(life);
    }
    return out.sort(byName);
  }

  /** How far each live router has applied a key. */
  applied(key: string): { name: string; place?: Place }[] {
    const now = this.ports.clock.now();
    const out: { name: string; place?: Place }[] = [];
    for (const h of this.holders.values()) if (h.until > now && h.member.role === 'router') out.push({ name: h.member.name, place: h.has.get(key) });
    return out.sort(byName);
  }

  /** What followers are told: all but who holds which duty, which is no concern of theirs and changes often. */
  private learned(): Numbered[] {
    const out: Numbered[] = [];
    for (const c of this.slots.cells.values()) if (c.learned && !c.learned.key.startsWith(KEYS.duty)) out.push(c.learned);
    return out;
  }

  /** Grants or renews a lease, only to a node that has applied all that is known here. */
  @message('claim', LeaseAsk)
  async lease(m: LeaseAsk, ex: Exchange): Handled {
    const voters = this.voters();
    if (!voters) return bad('claim', m.member.name, 'not founded', 'refused', 'not-founded');
    const before = this.holders.get(lifeOf(m.member));
    const same = m.has === undefined;
    if (same && before?.ex !== ex) return bad('claim', m.member.name, 'no claim on this stream to go by', 'refused', 'tell-all');
    const has = same ? before!.has : new Map<string, Place>();
    for (const [key, epoch, by, number] of m.has ?? []) has.set(key, { epoch, by, number });
    const missing: Numbered[] = [];
    for (const n of this.learned()) if (!covers(has, n)) missing.push(n);
    const disk = this.slots.disk;
    if (missing.length > 0) return Right({ granted: false, disk, missing, voters, members: [] });
    const holder: Holder = { member: m.member, until: this.ports.clock.now() + this.bounds.leaseHeld, has, ex, told: '' };
    this.holders.set(lifeOf(m.member), holder);
    this.poke();
    const members = this.members();
    holder.told = JSON.stringify([voters, members]);
    return Right(same && holder.told === before!.told ? { granted: true, disk, missing } : { granted: true, disk, missing, voters, members });
  }

  /** Ends a lease at once, when a node leaves by itself. */
  @message('leave', LeaseAsk)
  async leave(m: LeaseAsk): Handled {
    this.holders.delete(lifeOf(m.member));
    this.poke();
    return Right(undefined);
  }

  /** Pushes a change that is learned here down the held connections and counts the acknowledgements; another's change is sent whole only to those who don't have it from its owner. */
  push(n: Numbered, own = true, before?: Numbered): void {
    this.poke();
    let made: { delta?: Delta } | undefined;
    function once(): Delta | undefined {
      made = made ?? { delta: makeDelta(before, n) };
      return made.delta;
    }
    for (const h of this.holders.values()) void this.pushOne(h, n, own, once);
  }

  /** Tells every follower something that is no change. */
  tell(type: string, body: unknown): void {
    for (const h of this.holders.values()) h.ex.tell(type, body);
  }

  private async pushOne(h: Holder, n: Numbered, own: boolean, deltaOf: () => Delta | undefined): Promise<void> {
    if (covers(h.has, n)) return;
    const [g, has] = open(own ? Right(false) : await h.ex.ask('has', { key: n.key, epoch: n.epoch, by: n.by, number: n.number }, this.bounds.ask));
    const held = h.has.get(n.key);
    let o: Outcome<unknown> = !g && has === true ? Right(true) : bad('push news', h.member.name, 'not there yet');
    const delta = o.isLeft() ? deltaOf() : undefined;
    if (delta && held && comparePlaces(held, delta.base) === 0) o = await h.ex.ask('news-delta', delta, this.bounds.ask);
    if (o.isLeft()) o = await h.ex.ask('news', [n], this.bounds.ask);
    const [f] = open(o);
    if (f) {
      this.ports.log.warn({ step: 'push news', peer: h.member.name }, f.why);
      return;
    }
    if (!covers(h.has, n)) h.has.set(n.key, { epoch: n.epoch, by: n.by, number: n.number });
    this.poke();
  }

  private poke(): void {
    for (const w of [...this.waiters]) w();
  }

  private inEffect(m: EffectAsk): boolean {
    const now = this.ports.clock.now();
    const learned = this.slots.cells.get(m.key)?.learned;
    if (!learned || comparePlaces(learned, m) < 0 || now < this.startedAt + this.bounds.leaseHeld) return false;
    for (const h of this.holders.values()) if (h.member.role === 'router' && h.until > now && !covers(h.has, m)) return false;
    return true;
  }

  private nextEnd(): number {
    const now = this.ports.clock.now();
    let end = now < this.startedAt + this.bounds.leaseHeld ? this.startedAt + this.bounds.leaseHeld : now + this.bounds.lease;
    for (const h of this.holders.values()) if (h.until > now) end = Math.min(end, h.until);
    return Math.max(1, end - now);
  }

  /** Comes back when every router with a live lease has the change, or its lease has ended. */
  @message('effect', EffectAsk)
  async effect(m: EffectAsk): Handled {
    const until = this.ports.clock.now() + m.within;
    while (!this.inEffect(m)) {
      if (this.ports.clock.now() >= until) return Left({ step: 'effect', peer: this.slots.disk, why: 'not all have it yet', sort: 'unknown', code: 'pending' });
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
