/**
 * Tallies at one controller: additions are recorded here, synced on as many disks as the losses that are tolerated ask
 * for, and counted once by their ids. No quorum is needed, so both sides of a cut take additions and give totals.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, failure, Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { Settings } from '../../shared/settings/settings';
import { TimeLimits } from '../../shared/settings/time-limits';
import { compress } from '../../shared/transport/compression';
import { HandlerResult, messageHandler } from '../../shared/transport/message-handlers';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { Addition, AdditionRun, areRuns, toRuns } from './addition';
import { AdditionReplication } from './addition-replication';
import { AdditionSet } from './addition-set';
import { CopyCandidates } from './copy-candidates';
import { EMPTY_DIGEST } from './replica-additions';
import { CopyHolder } from './survivability';
import { readStoredTallies } from './tally-files';
import { TallyLog } from './tally-log';
import {
  AddMessage,
  DigestsReply,
  DigestsRequest,
  HeldRange,
  MissingReply,
  MissingRequest,
  RangesReply,
  RangesRequest,
} from './tally-messages';
import { PeerRepair, TallyRepair } from './tally-repair';
import { TalliesPeerStatus, TalliesStatus } from './tally-status';

/** Characters of the disk id in the name of a replica. */
const DISK_ID_CHARACTERS = 8;
/** Additions that may wait for copies; more are refused. */
const MAX_WAITING = 2000;
/** The part of the process's memory that additions may take, and what one takes. */
const MEMORY_RATIO = 0.3;
const BYTES_PER_ADDITION = 200;
const BYTES_PER_MB = 1024 * 1024;
/** Digests of ranges in one reply. */
const RANGES_PER_REPLY = 64;

/** What tallies need of their controller. */
export interface TalliesDependencies {
  ports: Ports;
  settings: Settings;
  timeLimits: TimeLimits;
  diskId: string;
  /** The id of this run of the process. */
  runId: string;
  /** The connections that are up. */
  openChannels: () => PeerChannel[];
  /** The other voters, connected or not. */
  otherVoters: () => CopyHolder[];
  /** Whether there is evidence that a zone is cut off from this controller. */
  isCutOff: (zone: string) => boolean;
  /** How many controllers there are, this one included, as far as is known. */
  controllerCount: () => number;
  isStopped: () => boolean;
}

/** The tallies of one controller. */
export class Tallies {
  private readonly set = new AdditionSet();
  private readonly log: TallyLog;
  private readonly candidates: CopyCandidates;
  private readonly replication: AdditionReplication;
  private readonly repair: TallyRepair;
  private readonly replica: string;
  private readonly startedAt: number;
  /** When comparing with others began, in ms of the clock port; undefined before the first call, message or stored addition. */
  private begunAt?: number;
  /** Callers that wait until this controller has caught up. */
  private readonly readyWaits: (() => void)[] = [];
  private lastSequence = 0;
  private hasCaughtUp = false;

  constructor(private readonly dependencies: TalliesDependencies) {
    const { ports, settings, timeLimits, diskId, runId, isStopped } = dependencies;
    const { requestTimeoutMs } = timeLimits;
    this.replica = `${diskId.slice(0, DISK_ID_CHARACTERS)}-${runId}`;
    this.startedAt = ports.clock.now();
    this.log = new TallyLog(ports, this.set, timeLimits.retryPauseMs);
    const self = { address: settings.wire, zone: settings.zone };
    this.candidates = new CopyCandidates({
      ports,
      self,
      losses: settings,
      channels: this.controllerChannels.bind(this),
      otherVoters: dependencies.otherVoters,
      isCutOff: dependencies.isCutOff,
      reconnectMs: timeLimits.tallyReconnectMs,
    });
    this.replication = new AdditionReplication({
      ports,
      self,
      losses: settings,
      candidates: this.candidates,
      requestTimeoutMs,
    });
    this.repair = new TallyRepair({
      ports,
      set: this.set,
      record: this.record.bind(this),
      channels: this.candidates.peers.bind(this.candidates),
      onWithoutTallies: this.replication.noteWithoutTallies.bind(this.replication),
      onCompared: this.checkCaughtUp.bind(this),
      intervalMs: timeLimits.tallyCompareMs,
      requestTimeoutMs,
      isStopped,
    });
  }

  /**
   * Takes over what this disk holds; its first write is waited for up to the time of a request. Error: a file that can't
   * be read.
   */
  async start(): Promise<Result<void>> {
    const { ports, timeLimits } = this.dependencies;
    const [error, stored] = errorOrValue(await readStoredTallies(ports));
    if (error) return Left(error);
    for (const batch of stored.batches) if (areRuns(batch)) this.set.merge(batch);
    if (stored.isCorrupt)
      ports.logger.error(
        { event: 'tallies.synced-data-lost' },
        'synced additions to tallies have changed on this disk; what is missing is fetched from other controllers',
      );
    await this.log.start(stored, timeLimits.requestTimeoutMs);
    return Right(undefined);
  }

  /** Begins to compare with other controllers where this disk holds additions; else the first call or message does. */
  run(): void {
    if (this.set.size() > 0) this.begin();
  }

  /** Ends what runs in the background. */
  stop(): void {
    this.log.stop();
    this.repair.wake();
  }

  /** Notes a connection that has come up. */
  noteUp(channel: PeerChannel): void {
    if (!isController(channel)) return;
    this.replication.noteUp(channel);
    this.candidates.noteChange();
    this.repair.wake();
  }

  /** Notes a connection that has ended. */
  noteDown(channel: PeerChannel): void {
    if (isController(channel)) this.replication.noteDown(channel);
    this.repair.noteDown(channel);
    this.candidates.noteChange();
    this.checkCaughtUp();
  }

  /** Notes that a zone is found cut off, or is reached again. */
  noteZoneCutChange(): void {
    this.candidates.noteChange();
    this.replication.checkWaits();
  }

  /**
   * Adds to a tally, once for each id, and returns when the addition outlasts the losses that are tolerated. Errors:
   * refused where nothing was done, else of unknown effect.
   */
  async add(tally: string, id: string, amount: number, timeoutMs: number): Promise<Result<void>> {
    await this.waitAtBeginning();
    const areEnoughConnected =
      this.candidates.areEnoughConnected() || (await this.candidates.awaitEnough());
    const known = this.set.find(tally, id);
    const [refusal] = errorOrValue(this.checkAdding(known !== undefined, areEnoughConnected));
    if (refusal) return Left(refusal);
    if (known) return this.replication.replicate(known, this.log.flush(), timeoutMs);
    const sequence = ++this.lastSequence;
    const addition: Addition = { replica: this.replica, sequence, tally, id, amount };
    this.set.add(addition);
    const synced = this.log.append(toRuns([addition]));
    return this.replication.replicate(this.set.find(tally, id)!, synced, timeoutMs);
  }

  /** The total of a tally, never an older one in one life of this process. Error: refused, before it has caught up. */
  async total(tally: string): Promise<Result<bigint>> {
    await this.waitAtBeginning();
    return this.checkReady().map(readTotal.bind(undefined, this.set, tally));
  }

  /** Tallies as operators see them. */
  status(): TalliesStatus {
    return {
      isReady: this.isReady(),
      isWritable: this.log.isWritable(),
      additions: this.set.size(),
      maxAdditions: Math.floor(maxAdditions(this.dependencies.settings)),
      replicas: this.set.replicaCount(),
      fileBytes: this.log.fileBytes(),
      waiting: this.replication.waiting(),
      peers: this.repair.peers().map(this.peerStatus.bind(this)),
    };
  }

  /** With how many copies additions were acknowledged, as metric rows. */
  copyRows(): string[] {
    return this.replication.copyCounts.metricRows();
  }

  /** Holds additions of another controller; replies once they are synced. */
  @messageHandler('tally-add', AddMessage)
  async onAdditions({ runs }: AddMessage, from: PeerChannel): HandlerResult {
    this.begin();
    if (!areRuns(runs)) return failure('tally-add', from.peer, 'no runs', 'refused', 'bad-shape');
    const recorded = await this.record(runs);
    return recorded.map(isHeld);
  }

  /** Gives the digests of the replicas, unless the asker has the same additions. */
  @messageHandler('tally-digests', DigestsRequest)
  giveDigests({ digest }: DigestsRequest): HandlerResult {
    this.begin();
    const own = this.set.digest();
    const reply: DigestsReply = {
      digest: own,
      replicas: digest === own ? [] : this.set.replicaDigests(),
    };
    return Promise.resolve(Right(reply));
  }

  /** Gives the digests of the last ranges of a replica, or of the last ones before a range. */
  @messageHandler('tally-ranges', RangesRequest)
  giveRanges({ replica, end = Infinity }: RangesRequest): HandlerResult {
    const additions = this.set.ofReplica(replica);
    const ranges = additions?.newestRanges(end, RANGES_PER_REPLY) ?? [];
    const earlier = additions?.digestBefore(ranges.at(-1)?.index ?? 0) ?? EMPTY_DIGEST;
    const reply: RangesReply = { ranges, earlier };
    return Promise.resolve(Right(reply));
  }

  /** Gives the additions of some ranges that the asker lacks. */
  @messageHandler('tally-missing', MissingRequest)
  giveMissing({ replica, ranges }: MissingRequest): HandlerResult {
    const additions = this.set.ofReplica(replica);
    const missing: Addition[] = [];
    for (const { index, bitmap } of ranges.slice(0, RANGES_PER_REPLY).filter(isHeldRange))
      missing.push(...(additions?.missingFrom(index, bitmap) ?? []));
    const reply: MissingReply = { runs: compress(toRuns(missing)) };
    return Promise.resolve(Right(reply));
  }

  /** Adds what is missing here, and returns once all of it is synced, also what was known before. */
  private record(runs: readonly AdditionRun[]): Promise<Result<void>> {
    const added = this.set.merge(runs);
    return added.length > 0 ? this.log.append(added) : this.log.flush();
  }

  /** Whether an addition can be taken now; one that is known needs no more memory. */
  private checkAdding(isKnown: boolean, areEnoughConnected: boolean): Result<void> {
    const { settings, timeLimits } = this.dependencies;
    const ready = this.checkReady();
    if (ready.isLeft()) return ready;
    if (!areEnoughConnected)
      return failure('add', settings.wire, 'too few controllers connected', 'refused', 'no-quorum');
    const isStalled = this.log.writingForMs() > timeLimits.tallyDiskStallMs;
    if (!this.log.isWritable() || isStalled)
      return failure('add', settings.wire, 'the disk takes no writes', 'refused', 'disk');
    if (!isKnown && this.set.size() >= maxAdditions(settings))
      return failure('add', settings.wire, 'no memory for more additions', 'refused', 'pending');
    if (this.replication.waiting() >= MAX_WAITING)
      return failure('add', settings.wire, 'too many additions wait', 'refused', 'pending');
    return Right(undefined);
  }

  private checkReady(): Result<void> {
    const { wire } = this.dependencies.settings;
    return this.isReady()
      ? Right(undefined)
      : failure('tallies', wire, 'not caught up since the start', 'refused', 'unsettled');
  }

  /** Begins to compare with other controllers: not before somebody keeps tallies. */
  private begin(): void {
    if (this.begunAt !== undefined) return;
    const { ports, timeLimits } = this.dependencies;
    this.begunAt = ports.clock.now();
    void this.repair.run();
    ports.clock.setTimer(timeLimits.tallyCatchUpMs, this.checkCaughtUp.bind(this));
  }

  /** Lets the calls that came first wait for a moment until this controller has caught up. */
  private waitAtBeginning(): Promise<void> {
    this.begin();
    const { ports, timeLimits } = this.dependencies;
    const { readyWaits } = this;
    const leftMs = this.begunAt! + timeLimits.tallyFirstWaitMs - ports.clock.now();
    if (this.isReady() || leftMs <= 0) return Promise.resolve();
    function wait(resolve: () => void): void {
      readyWaits.push(resolve);
      ports.clock.setTimer(leftMs, resolve);
    }
    return new Promise(wait);
  }

  private isReady(): boolean {
    if (!this.hasCaughtUp) this.checkCaughtUp();
    return this.hasCaughtUp;
  }

  /**
   * After a start: caught up with all controllers, since what was acknowledged may be left on one disk only. One that
   * can't be reached is not waited for over the bound, but additions that still come are.
   */
  private checkCaughtUp(): void {
    const { begunAt } = this;
    if (this.hasCaughtUp || begunAt === undefined) return;
    const { timeLimits, controllerCount, ports } = this.dependencies;
    const now = ports.clock.now();
    const peers = this.repair.peers();
    const levelCount = peers.filter(wasLevel).length;
    const isEnough = levelCount + 1 >= controllerCount();
    const isOverdue =
      now - this.startedAt >= timeLimits.tallyCatchUpMs &&
      (levelCount === peers.length || now - begunAt >= timeLimits.tallyFirstWaitMs);
    const isFetching = peers.some(isStillFetching);
    if (!(isEnough && levelCount === peers.length) && (!isOverdue || isFetching)) return;
    this.hasCaughtUp = true;
    for (const resolve of this.readyWaits.splice(0)) resolve();
    ports.logger.notice(
      { event: 'tallies.ready', level: levelCount, connected: peers.length },
      `tallies are served, level with ${levelCount} of ${controllerCount() - 1} other controllers`,
    );
    function isStillFetching({ levelAt, fetchedAt }: PeerRepair): boolean {
      const isRecent = fetchedAt !== undefined && now - fetchedAt < timeLimits.tallyCatchUpMs;
      return levelAt === undefined && isRecent;
    }
  }

  /** The connections to other controllers. */
  private controllerChannels(): PeerChannel[] {
    return this.dependencies.openChannels().filter(isController);
  }

  private peerStatus({ peer, isLevel, levelAt, fetched }: PeerRepair): TalliesPeerStatus {
    const now = this.dependencies.ports.clock.now();
    return {
      at: peer,
      isLevel,
      fetched,
      ...(levelAt === undefined ? {} : { levelAgoMs: Math.round(now - levelAt) }),
    };
  }
}

/** How many additions are taken from callers at the most; those of other controllers are always held. */
function maxAdditions({ memoryMb }: Settings): number {
  return (memoryMb * BYTES_PER_MB * MEMORY_RATIO) / BYTES_PER_ADDITION;
}

function isHeldRange(range: Partial<HeldRange> | undefined): range is HeldRange {
  return Number.isSafeInteger(range?.index) && range?.bitmap instanceof Uint8Array;
}

function isController({ hello }: PeerChannel): boolean {
  return hello?.role === 'controller';
}

function wasLevel({ levelAt }: PeerRepair): boolean {
  return levelAt !== undefined;
}

function readTotal(set: AdditionSet, tally: string): bigint {
  return set.total(tally);
}

/** The reply to additions that are synced here. */
function isHeld(): boolean {
  return true;
}
