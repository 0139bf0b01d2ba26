/**
 * Renewal of a node's leases, one at each controller.
 */

import { jittered } from '../concurrency/jitter';
import { makeWaker, Waker } from '../concurrency/waker';
import { errorOrValue, OperationError, Result } from '../errors/errors';
import { Ports } from '../ports/ports';
import { TimeLimits } from '../settings/time-limits';
import { Member } from '../state/members';
import { VersionedValue } from '../state/versions';
import { VoterSet } from '../state/voter-set';
import { PeerChannel } from '../transport/peer-channel';
import { AppliedState } from './applied-state';
import { CatchUp } from './catch-up';
import { AppliedEntry } from './change-message';
import { FollowerWarmUp } from './follower-warm-up';
import { MemberUpdate } from './member-view';
import { PermitGrant } from './warm-up-permits';

/** A controller's reply to a lease request. The field names are sent. */
export interface LeaseReply extends MemberUpdate {
  granted: boolean;
  /** The id of the controller's disk. */
  disk: string;
  /** The changes that this node lacks, from a controller that sends them complete. */
  missing?: VersionedValue[];
  /** The versions of the keys that this node lacks, to be fetched. */
  lacking?: AppliedEntry[];
  voters?: VoterSet;
  /** All permits of this node at the controller; left out where they are as in its last reply, or where it has none and was told of all keys. */
  permits?: PermitGrant[];
  /** The engines that routers of their zones can't connect to; left out as `permits` are. */
  unreachable?: string[];
}

/** How a lease was requested. */
export interface LeaseRequestContext {
  /** In ms of the clock port. */
  requestedAt: number;
  /** Whether the request told of all keys, so that the reply leaves nothing out that an earlier one said. */
  toldAll: boolean;
}

/** What renewals work with. */
export interface LeaseRenewalDependencies {
  ports: Ports;
  timeLimits: TimeLimits;
  member: Member;
  state: AppliedState;
  catchUp: CatchUp;
  warmUp: Pick<FollowerWarmUp, 'unreachable'>;
  /** Applies changes that came complete; whether one was newer. */
  applyAll: (changes: VersionedValue[]) => boolean;
  /** Called with each grant, and how it was requested. */
  onGranted: (reply: LeaseReply, from: PeerChannel, context: LeaseRequestContext) => void;
  onVoterSet: (voters: VoterSet) => void;
  isStopped: () => boolean;
}

/** A lease request. The field names are sent. */
interface LeaseRequest {
  member: Member;
  /** That this node fetches what it lacks. */
  fetches: true;
  /** That it fetches long changes in chunks. */
  pieces: true;
  /** That the request tells only of changes since the last one, and so may the reply. */
  deltas?: true;
  /** The versions of all applied keys. */
  has?: AppliedEntry[];
  /** The versions of the keys that were applied since the last request. */
  changed?: AppliedEntry[];
  /** The engines that this node lately could not connect to; left out where there are none. */
  unreachable?: string[];
}

/** The pause after a renewal that was refused or failed, as a ratio of the renewal interval. */
const RETRY_PAUSE_RATIO = 0.5;
/** How long a renewal that was woken waits, as a ratio of the renewal interval: it then tells of what else is applied meanwhile. */
const WAKE_DELAY_RATIO = 0.02;
/** The average time between renewals, as a ratio of the renewal interval. */
const INTERVAL_RATIO = 1;

/** Sends a lease request. */
function requestLease(
  channel: PeerChannel,
  request: LeaseRequest,
  timeoutMs: number,
): Promise<Result<LeaseReply>> {
  return channel.request('claim', request, timeoutMs) as Promise<Result<LeaseReply>>;
}

/** The renewals of the lease at one controller, for as long as its connection lasts. */
class LeaseRenewalLoop {
  private isUp = true;
  /** The count of changes that the controller knows to be applied here; undefined where it must be told of all keys. */
  private reportedCount: number | undefined;
  /** Whether the controller can't read a request that tells only of changes. */
  private mustReportAll = false;

  constructor(
    private readonly dependencies: LeaseRenewalDependencies,
    private readonly channel: PeerChannel,
    private readonly waker: Waker,
  ) {}

  onClosed(): void {
    this.isUp = false;
    this.waker.wake();
  }

  async run(): Promise<void> {
    const { ports, state, timeLimits, isStopped } = this.dependencies;
    while (this.isUp && !isStopped()) {
      const requestedAt = ports.clock.now();
      const changeCount = state.changeCount();
      const changed = this.changedEntries();
      const [error, reply] = errorOrValue(
        await requestLease(this.channel, this.makeRequest(changed), timeLimits.requestTimeoutMs),
      );
      this.reportedCount = undefined;
      if (error) {
        await this.afterError(error);
        continue;
      }
      if (reply.voters) this.dependencies.onVoterSet(reply.voters);
      const context = { requestedAt, toldAll: changed === undefined };
      if (reply.granted) await this.afterGrant(reply, context, changeCount);
      else await this.afterRefusal(reply, changed === undefined ? undefined : changeCount);
    }
  }

  /** The versions that the controller has not been told of; undefined where it must be told of all. */
  private changedEntries(): AppliedEntry[] | undefined {
    if (this.reportedCount === undefined || this.mustReportAll) return undefined;
    return this.dependencies.state.entriesAfter(this.reportedCount);
  }

  private makeRequest(changed: AppliedEntry[] | undefined): LeaseRequest {
    const { member, state, warmUp } = this.dependencies;
    const request: LeaseRequest = { member, fetches: true, pieces: true };
    const unreachable = warmUp.unreachable();
    if (unreachable.length > 0) request.unreachable = unreachable;
    if (changed === undefined) return { ...request, has: state.entries() };
    return { ...request, deltas: true, ...(changed.length > 0 ? { changed } : {}) };
  }

  /** Waits before the next request, except where the controller only wants to be told of all keys. */
  private async afterError({ code }: OperationError): Promise<void> {
    const { ports, timeLimits } = this.dependencies;
    if (code === 'bad-shape') this.mustReportAll = true;
    if (code === 'tell-all' || code === 'bad-shape') return;
    if (code === 'not-founded') await ports.clock.sleep(timeLimits.retryPauseMs);
    else await this.pause(RETRY_PAUSE_RATIO);
  }

  private async afterGrant(
    reply: LeaseReply,
    context: LeaseRequestContext,
    changeCount: number,
  ): Promise<void> {
    const { ports, onGranted } = this.dependencies;
    this.reportedCount = changeCount;
    onGranted(reply, this.channel, context);
    await this.pause(jittered(ports.random, INTERVAL_RATIO));
  }

  /** Fetches what is missing here; `changeCount` is what the request reported, where it told only of changes. */
  private async afterRefusal(reply: LeaseReply, changeCount: number | undefined): Promise<void> {
    if (await this.applyMissing(reply)) this.reportedCount = changeCount;
    else await this.pause(RETRY_PAUSE_RATIO);
  }

  /** Applies what the controller reported as missing here; false where nothing came of it. */
  private async applyMissing({ lacking, missing }: LeaseReply): Promise<boolean> {
    const { catchUp, applyAll } = this.dependencies;
    return lacking ? catchUp.fetch(this.channel, lacking) : applyAll(missing ?? []);
  }

  /** Waits for a ratio of the renewal interval, or until soon after it is woken. */
  private pause(ratio: number): Promise<void> {
    const { leaseRenewalMs } = this.dependencies.timeLimits;
    return this.waker.wait(leaseRenewalMs * ratio, leaseRenewalMs * WAKE_DELAY_RATIO);
  }
}

/** The renewals of one node at all controllers. */
export class LeaseRenewals {
  private readonly wakers = new Set<Waker>();

  constructor(private readonly dependencies: LeaseRenewalDependencies) {}

  /** Renews the lease at a controller for as long as its connection lasts. */
  async renew(channel: PeerChannel): Promise<void> {
    const { wakers } = this;
    const waker = makeWaker(this.dependencies.ports.clock);
    const loop = new LeaseRenewalLoop(this.dependencies, channel, waker);
    wakers.add(waker);
    void channel.closed.then(onClosed);
    function onClosed(): void {
      wakers.delete(waker);
      loop.onClosed();
    }
    await loop.run();
  }

  /** Has every controller hear soon which versions are applied here. */
  wake(): void {
    for (const waker of this.wakers) waker.wake();
  }
}
