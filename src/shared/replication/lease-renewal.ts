/**
 * Renewal of a node's leases, one at each controller.
 */
import { AppliedEntry, appliedEntries } from './change-message';
import { CatchUp } from './catch-up';
import { Bounds } from '../settings/time-limits';
import { Exchange } from '../transport/connections';
import { open } from '../errors/errors';
import { Journal } from './key-journal';
import { MembersTold } from './member-view';
import { Ports } from '../ports/ports';
import { makeWaker, Waker } from '../concurrency/waker';
import { Member, Numbered, Voters } from '../state/words';

/** A controller's answer to an ask for a lease. */
export interface LeaseAnswer extends MembersTold {
  granted: boolean;
  disk: string;
  /** What is missing here, from a controller that sends it whole. */
  missing?: Numbered[];
  /** How far the keys stand that are missing here, to be fetched. */
  lacking?: AppliedEntry[];
  voters?: Voters;
}

/** What renewals work with. */
export interface RenewalParts {
  ports: Ports;
  bounds: Bounds;
  member: Member;
  /** What is applied here, by key. */
  state: ReadonlyMap<string, Numbered>;
  /** Which keys were applied, in order. */
  applied: Journal;
  catchUp: CatchUp;
  /** Applies changes that came whole. */
  take(changes: Numbered[]): boolean;
  /** Notes a lease that was asked for at a time. */
  grant(answer: LeaseAnswer, from: Exchange, askedAt: number): void;
  votersTold(voters: Voters): void;
  stopped(): boolean;
}

/** The renewals of one node. */
export interface Renewals {
  /** Renews the lease at a controller for as long as its connection lasts. */
  renew(exchange: Exchange): Promise<void>;
  /** Has every controller hear soon how far this node is. */
  wake(): void;
}

/** An ask for a lease, as it goes out. */
interface Ask {
  member: Member;
  fetches: true;
  pieces: true;
  deltas?: true;
  has?: AppliedEntry[];
  changed?: AppliedEntry[];
}

/** Until when a refused or failed renewal rests, as a share of the time between renewals. */
const RETRY = 0.5;
/** How long a renewal that was woken waits, as a share of the time between renewals: what else is applied meanwhile goes with it. */
const WOKEN = 0.02;
/** Renewals are this far apart, as a share of their time, at the least and at the most. */
const JITTER = { least: 0.8, more: 0.4 };

/** Makes the renewals. */
export function makeRenewals(parts: RenewalParts): Renewals {
  const { ports, bounds, member, state, applied } = parts;
  const wakers = new Set<Waker>();

  /** How far the keys have been applied that changed after a count; undefined where that is too long ago. */
  function changedAfter(count: number): AppliedEntry[] | undefined {
    const out: Numbered[] = [];
    const keys = applied.after(count);
    for (const key of keys ?? []) out.push(state.get(key)!);
    return keys && appliedEntries(out);
  }

  function askOf(changed: AppliedEntry[] | undefined): Ask {
    const ask: Ask = { member, fetches: true, pieces: true };
    if (changed === undefined) return { ...ask, has: appliedEntries(state.values()) };
    return { ...ask, deltas: true, ...(changed.length > 0 ? { changed } : {}) };
  }

  /** Takes what a controller told as missing; false where nothing came of it. */
  async function takeMissing(exchange: Exchange, answer: LeaseAnswer): Promise<boolean> {
    return answer.lacking
      ? parts.catchUp.fetch(exchange, answer.lacking)
      : parts.take(answer.missing ?? []);
  }

  async function renew(exchange: Exchange): Promise<void> {
    const waker = makeWaker(ports.clock);
    wakers.add(waker);
    let isUp = true;
    let told: number | undefined;
    let isWhole = false;
    void exchange.done.then(down);
    function down(): void {
      isUp = false;
      wakers.delete(waker);
      waker.wake();
    }
    function rest(share: number): Promise<void> {
      return waker.wait(bounds.renew * share, bounds.renew * WOKEN);
    }
    while (isUp && !parts.stopped()) {
      const askedAt = ports.clock.now();
      const count = applied.count();
      const changed = told === undefined || isWhole ? undefined : changedAfter(told);
      const [fault, reply] = open(await exchange.ask('claim', askOf(changed), bounds.ask));
      told = undefined;
      if (fault) {
        if (fault.code === 'bad-shape') isWhole = true;
        if (fault.code === 'tell-all' || fault.code === 'bad-shape') continue;
        if (fault.code === 'not-founded') await ports.clock.sleep(bounds.pause);
        else await rest(RETRY);
        continue;
      }
      const answer = reply as LeaseAnswer;
      if (answer.voters) parts.votersTold(answer.voters);
      if (!answer.granted) {
        if (!(await takeMissing(exchange, answer))) await rest(RETRY);
        else if (changed) told = count;
        continue;
      }
      told = count;
      parts.grant(answer, exchange, askedAt);
      await rest(JITTER.least + JITTER.more * ports.dice.next());
    }
  }

  function wake(): void {
    for (const waker of wakers) waker.wake();
  }

  return { renew, wake };
}
