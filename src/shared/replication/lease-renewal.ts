/**
 * Renewal of a node's leases, one at each controller.
 */
import { AppliedEntry, appliedEntries } from './change-message';
import { CatchUp } from './catch-up';
import { TimeLimits } from '../settings/time-limits';
import { PeerChannel } from '../transport/peer-channel';
import { errorOrValue } from '../errors/errors';
import { KeyJournal } from './key-journal';
import { MemberUpdate } from './member-view';
import { Ports } from '../ports/ports';
import { makeWaker, Waker } from '../concurrency/waker';
import { Member } from '../state/members';
import { VersionedValue } from '../state/versions';
import { VoterSet } from '../state/voter-set';

/** A controller's answer to an ask for a lease. */
export interface LeaseReply extends MemberUpdate {
  granted: boolean;
  disk: string;
  /** What is missing here, from a controller that sends it whole. */
  missing?: VersionedValue[];
  /** How far the keys stand that are missing here, to be fetched. */
  lacking?: AppliedEntry[];
  voters?: VoterSet;
}

/** What renewals work with. */
export interface LeaseRenewalDependencies {
  ports: Ports;
  bounds: TimeLimits;
  member: Member;
  /** What is applied here, by key. */
  state: ReadonlyMap<string, VersionedValue>;
  /** Which keys were applied, in order. */
  applied: KeyJournal;
  catchUp: CatchUp;
  /** Applies changes that came whole. */
  applyAll: (changes: VersionedValue[]) => boolean;
  /** Notes a lease that was asked for at a time. */
  onGranted: (answer: LeaseReply, from: PeerChannel, askedAt: number) => void;
  onVoterSet: (voters: VoterSet) => void;
  isStopped: () => boolean;
}

/** The renewals of one node. */
export interface LeaseRenewals {
  /** Renews the lease at a controller for as long as its connection lasts. */
  renew: (exchange: PeerChannel) => Promise<void>;
  /** Has every controller hear soon how far this node is. */
  wake: () => void;
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
export function makeLeaseRenewals(parts: LeaseRenewalDependencies): LeaseRenewals {
  const { ports, bounds, member, state, applied } = parts;
  const wakers = new Set<Waker>();

  /** How far the keys have been applied that changed after a count; undefined where that is too long ago. */
  function changedAfter(count: number): AppliedEntry[] | undefined {
    const out: VersionedValue[] = [];
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
  async function takeMissing(exchange: PeerChannel, answer: LeaseReply): Promise<boolean> {
    return answer.lacking
      ? parts.catchUp.fetch(exchange, answer.lacking)
      : parts.applyAll(answer.missing ?? []);
  }

  async function renew(exchange: PeerChannel): Promise<void> {
    const waker = makeWaker(ports.clock);
    wakers.add(waker);
    let isUp = true;
    let told: number | undefined;
    let isWhole = false;
    void exchange.closed.then(down);
    function down(): void {
      isUp = false;
      wakers.delete(waker);
      waker.wake();
    }
    function rest(share: number): Promise<void> {
      return waker.wait(bounds.leaseRenewalMs * share, bounds.leaseRenewalMs * WOKEN);
    }
    while (isUp && !parts.isStopped()) {
      const askedAt = ports.clock.now();
      const count = applied.count();
      const changed = told === undefined || isWhole ? undefined : changedAfter(told);
      const [fault, reply] = errorOrValue(
        await exchange.request('claim', askOf(changed), bounds.requestTimeoutMs),
      );
      told = undefined;
      if (fault) {
        if (fault.code === 'bad-shape') isWhole = true;
        if (fault.code === 'tell-all' || fault.code === 'bad-shape') continue;
        if (fault.code === 'not-founded') await ports.clock.sleep(bounds.retryPauseMs);
        else await rest(RETRY);
        continue;
      }
      const answer = reply as LeaseReply;
      if (answer.voters) parts.onVoterSet(answer.voters);
      if (!answer.granted) {
        if (!(await takeMissing(exchange, answer))) await rest(RETRY);
        else if (changed) told = count;
        continue;
      }
      told = count;
      parts.onGranted(answer, exchange, askedAt);
      await rest(JITTER.least + JITTER.more * ports.random.next());
    }
  }

  function wake(): void {
    for (const waker of wakers) waker.wake();
  }

  return { renew, wake };
}
