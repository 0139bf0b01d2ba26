/**
 * Listens to the cache events of one source by long polls.
 */

import { Stream } from 'most';
import { EventsReply } from '../shared/contracts/engine';
import { errorOrValue, OperationError } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { makePushStream } from '../shared/util/push-stream';
import { CacheSources, Registration } from './cache-sources';
import { jittered } from '../shared/concurrency/jitter';

/** Whether a listener has heard its source: not yet, lately, no more; or is not to listen. */
export type ListenerStatus = 'pending' | 'active' | 'paused' | 'failed';

/** A listener as the index's HTTP interface shows it. The field names are told to operators. */
export interface ListenerView {
  id: string;
  kind: string;
  at: string;
  status: ListenerStatus;
  lastError?: string;
  epoch: string;
  lastSeq: number;
  gaps: number;
  repaired: number;
}

/** How far a source has been heard; it outlives unregistering. The field names are sent between replicas. */
export interface FeedPosition {
  epoch: string;
  seq: number;
}

/** What a listener needs. */
export interface FeedListenerDependencies {
  ports: Ports;
  timeLimits: TimeLimits;
  sources: CacheSources;
  registration: Registration;
  /** Where it goes on listening. */
  from: FeedPosition;
  /** Whether the index answers; until then a listener counts as pending. */
  isReady: () => boolean;
  /** Called at each failed poll once polls have failed for long. */
  onLongFailure: () => void;
}

/** Polls have failed for long after this share of the longest poll. */
const LONG_FAILURE_RATIO = 0.3;

/** A listener of one source; it polls until it is stopped. */
export class FeedListener {
  readonly registration: Registration;
  /** What the source answered, in order. */
  readonly replies: Stream<EventsReply>;
  private readonly pushed = makePushStream<EventsReply>();
  private readonly abort = new AbortController();
  private epoch: string;
  private after: number;
  private isStopped = false;
  private isConnected = false;
  private isUnreachable = false;
  private lastError: string | undefined;
  private failedSince: number | undefined;

  constructor(private readonly dependencies: FeedListenerDependencies) {
    const { registration, from } = dependencies;
    this.registration = registration;
    this.replies = this.pushed.stream;
    this.epoch = from.epoch;
    this.after = from.seq;
    if (!registration.paused) void this.poll();
  }

  /** How the listener is, and the last error while its polls fail. */
  view(): { status: ListenerStatus; lastError?: string } {
    const { lastError } = this;
    if (this.registration.paused) return { status: 'paused' };
    if (lastError !== undefined && this.isConnected) return { status: 'failed', lastError };
    const isActive = this.isConnected && this.dependencies.isReady();
    return { status: isActive ? 'active' : 'pending', lastError };
  }

  /** Whether its last poll reached the source, or none has failed yet. */
  isReachable(): boolean {
    return !this.isUnreachable;
  }

  /** Ends polling, also a poll that is in flight. */
  stop(): void {
    this.isStopped = true;
    this.abort.abort();
    this.pushed.end();
  }

  private async poll(): Promise<void> {
    const { ports, sources, timeLimits } = this.dependencies;
    const { clock, random } = ports;
    while (!this.isStopped) {
      const [error, reply] = errorOrValue(
        await sources.pull(this.registration, this.epoch, this.after, this.abort.signal),
      );
      if (this.isStopped) return;
      if (error) {
        this.noteFailure(error);
        await clock.sleep(timeLimits.retryPauseMs * (0.5 + random.next()));
        continue;
      }
      this.noteSuccess();
      if (!this.take(reply)) continue;
      if (sources.batchingMs > 0) await clock.sleep(jittered(random, sources.batchingMs));
    }
  }

  /** Passes a reply on; false where the source has a new epoch and is polled again from its start at once. */
  private take(reply: EventsReply): boolean {
    const { sources } = this.dependencies;
    if (reply.epoch !== this.epoch) {
      const mustRestart = sources.restartsAtNewEpoch && this.after > 0;
      this.epoch = reply.epoch;
      this.after = 0;
      if (mustRestart) {
        this.pushed.push({ epoch: this.epoch, lost: false, last: 0, batches: [] });
        return false;
      }
    }
    for (const batch of reply.batches) this.after = Math.max(this.after, batch.seq);
    if (reply.batches.length === 0 || sources.restartsAtNewEpoch)
      this.after = Math.max(this.after, reply.last);
    this.pushed.push(reply);
    return true;
  }

  private noteFailure(error: OperationError): void {
    const { ports, timeLimits, onLongFailure } = this.dependencies;
    const now = ports.clock.now();
    this.lastError = `${error.step}: ${error.reason}`;
    this.failedSince ??= now;
    this.isUnreachable = error.code !== 'bad-return';
    if (now - this.failedSince > timeLimits.feedPollMs * LONG_FAILURE_RATIO) onLongFailure();
  }

  private noteSuccess(): void {
    this.isConnected = true;
    this.lastError = undefined;
    this.failedSince = undefined;
    this.isUnreachable = false;
  }
}
