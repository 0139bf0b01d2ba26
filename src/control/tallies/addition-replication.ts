/**
 * Sends additions to the other controllers that are connected, in batches, and waits until enough copies are synced.
 */

import { errorOrValue, failure, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { requestCompressed } from '../../shared/transport/compressed-requests';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { Right } from 'purify-ts';
import { Addition, toRuns } from './addition';
import { CopyCandidates, holderOf } from './copy-candidates';
import { CopyCounts } from './copy-counts';
import { CopyHolder, outlastsLosses, requiredCopies, ToleratedLosses } from './survivability';
import { AddMessage, TALLY_MESSAGES } from './tally-messages';

/** Additions that wait for one peer; what comes beyond that is left to the repair. */
const MAX_QUEUED = 4096;
/** Additions of one message. */
const MAX_BATCH = 512;

/** What replication needs of its controller. */
export interface ReplicationDependencies {
  ports: Ports;
  self: CopyHolder;
  losses: ToleratedLosses;
  candidates: CopyCandidates;
  /** How long a peer's reply may take, in ms. */
  requestTimeoutMs: number;
}

/** What is to be sent to one peer. */
interface Outbox {
  queue: Addition[];
  isSending: boolean;
}

/** A caller that waits until enough copies of an addition are synced. */
interface CopyWait {
  addition: Addition;
  holders: Map<string, CopyHolder>;
  done: (result: Result<void>) => void;
}

/** Replicates additions to the connected controllers. */
export class AdditionReplication {
  private readonly outboxes = new Map<PeerChannel, Outbox>();
  private readonly waits = new Set<CopyWait>();
  /** With how many copies additions were acknowledged. */
  readonly copyCounts: CopyCounts;

  constructor(private readonly dependencies: ReplicationDependencies) {
    this.copyCounts = new CopyCounts(dependencies.ports.logger);
  }

  /** How many callers wait. */
  waiting(): number {
    return this.waits.size;
  }

  /** Sends what callers wait for to a peer that has just connected: it counts among those that can hold copies now. */
  noteUp(channel: PeerChannel): void {
    for (const { addition } of this.waits) this.enqueue(channel, addition);
  }

  /** Drops what was to be sent over a connection that has ended. */
  noteDown(channel: PeerChannel): void {
    this.outboxes.delete(channel);
  }

  /** Checks what waits by the candidates as they are now. */
  checkWaits(): void {
    for (const wait of [...this.waits]) this.checkWait(wait);
  }

  /**
   * Sends an addition to all connected controllers, and returns once it is synced here and enough of them hold it. Errors,
   * of unknown effect: that of the write here, or `timeout`.
   */
  replicate(
    addition: Addition,
    syncedHere: Promise<Result<void>>,
    timeoutMs: number,
  ): Promise<Result<void>> {
    for (const channel of this.dependencies.candidates.peers()) this.enqueue(channel, addition);
    return new Promise(this.waitForCopies.bind(this, addition, syncedHere, timeoutMs));
  }

  private waitForCopies(
    addition: Addition,
    syncedHere: Promise<Result<void>>,
    timeoutMs: number,
    resolve: (result: Result<void>) => void,
  ): void {
    const { ports, self } = this.dependencies;
    const { waits } = this;
    const wait: CopyWait = { addition, holders: new Map(), done };
    const cancelTimer = ports.clock.setTimer(timeoutMs, onTimeout);
    waits.add(wait);
    void syncedHere.then(this.noteSyncedHere.bind(this, wait));
    function done(result: Result<void>): void {
      waits.delete(wait);
      cancelTimer();
      resolve(result);
    }
    function onTimeout(): void {
      done(failure('add', self.address, 'too few copies in time', 'unknown', 'timeout'));
    }
  }

  private noteSyncedHere(wait: CopyWait, result: Result<void>): void {
    const [error] = errorOrValue(result);
    const { self } = this.dependencies;
    if (error) return wait.done(failure('add', self.address, error.reason, 'unknown', error.code));
    wait.holders.set(self.address, self);
    this.checkWait(wait);
  }

  /** Notes that the peer of a connection knows no tallies, so that nobody waits for its copy. */
  noteWithoutTallies(channel: PeerChannel): void {
    this.dependencies.candidates.noteWithoutTallies(channel);
    this.checkWaits();
  }

  private enqueue(channel: PeerChannel, addition: Addition): void {
    const outbox = this.outboxes.get(channel) ?? { queue: [], isSending: false };
    this.outboxes.set(channel, outbox);
    if (outbox.queue.length >= MAX_QUEUED) return;
    outbox.queue.push(addition);
    if (!outbox.isSending) void this.sendAll(channel, outbox);
  }

  private async sendAll(channel: PeerChannel, outbox: Outbox): Promise<void> {
    outbox.isSending = true;
    while (outbox.queue.length > 0 && this.outboxes.get(channel) === outbox) {
      const batch = outbox.queue.splice(0, MAX_BATCH);
      await this.sendBatch(channel, batch);
    }
    outbox.isSending = false;
  }

  private async sendBatch(channel: PeerChannel, batch: readonly Addition[]): Promise<void> {
    const message: AddMessage = { runs: toRuns(batch) };
    const { requestTimeoutMs } = this.dependencies;
    const [error] = errorOrValue(
      await requestCompressed(channel, TALLY_MESSAGES.add, message, requestTimeoutMs),
    );
    if (error?.code === 'not-known') return this.noteWithoutTallies(channel);
    if (!error) this.noteHeld(holderOf(channel), new Set(batch));
  }

  private noteHeld(holder: CopyHolder, additions: ReadonlySet<Addition>): void {
    for (const wait of [...this.waits]) {
      if (!additions.has(wait.addition)) continue;
      wait.holders.set(holder.address, holder);
      this.checkWait(wait);
    }
  }

  private checkWait(wait: CopyWait): void {
    const { self, losses } = this.dependencies;
    if (!wait.holders.has(self.address)) return;
    const holders = [...wait.holders.values()];
    const candidates = this.dependencies.candidates.all();
    if (!outlastsLosses(holders, candidates, losses)) return;
    this.copyCounts.noteAcknowledged(holders, requiredCopies(candidates, losses));
    wait.done(Right(undefined));
  }
}
