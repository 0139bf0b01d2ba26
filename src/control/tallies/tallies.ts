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
import { EMPTY_DIGEST } from './replica-additions';
import { StoredTallies } from './tally-files';
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

/** Characters of the disk id in the name of a replica. */
const DISK_ID_CHARACTERS = 8;
/** Additions that may wait for copies; more are refused. */
const MAX_WAITING = 2000;
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
  /** What this disk held at the start. */
  stored: StoredTallies;
  /** The connections that are up. */
  openChannels: () => PeerChannel[];
  /** How many controllers there are, this one included, as far as is known. */
  controllerCount: () => number;
  isStopped: () => boolean;
}

/** Tallies as operators see them. */
export interface TalliesStatus {
  /** Whether this controller has caught up since its start, and serves. */
  isReady: boolean;
  isWritable: boolean;
  additions: number;
  replicas: number;
  fileBytes: number;
  /** Additions that wait for copies. */
  waiting: number;
  peers: TalliesPeerStatus[];
}

/** How far this controller is with a connected peer. */
export interface TalliesPeerStatus {
  at: string;
  /** Whether nothing of the peer's was missing here at the last comparison. */
  isLevel: boolean;
  /** How long ago that was found, in ms. */
  levelAgoMs?: number;
  fetched: number;
}

/** The tallies of one controller. */
export class Tallies {
  private readonly set = new AdditionSet();
  private readonly log: TallyLog;
  private readonly replication: AdditionReplication;
  private readonly repair: TallyRepair;
  private readonly replica: string;
  private readonly startedAt: number;
  private lastSequence = 0;
  private hasCaughtUp = false;

  constructor(private readonly dependencies: TalliesDependencies) {
    const { ports, settings, timeLimits, diskId, runId, isStopped } = dependencies;
    const { requestTimeoutMs } = timeLimits;
    this.replica = `${diskId.slice(0, DISK_ID_CHARACTERS)}-${runId}`;
    this.startedAt = ports.clock.now();
    this.log = new TallyLog(ports, this.set, timeLimits.retryPauseMs);
    this.replication = new AdditionReplication({
      clock: ports.clock,
      self: { address: settings.wire, zone: settings.zone },
      losses: settings,
      channels: this.controllerChannels.bind(this),
      requestTimeoutMs,
      reconnectMs: timeLimits.tallyReconnectMs,
    });
    this.repair = new TallyRepair({
      ports,
      set: this.set,
      record: this.record.bind(this),
      channels: this.peers.bind(this),
      onWithoutTallies: this.replication.noteWithoutTallies.bind(this.replication),
      onCompared: this.checkCaughtUp.bind(this),
      intervalMs: timeLimits.tallyCompareMs,
      requestTimeoutMs,
      isStopped,
    });
  }

  /** Takes over what this disk holds; its first write is waited for up to the time of a request. */
  async start(): Promise<void> {
    const { ports, stored, timeLimits } = this.dependencies;
    for (const batch of stored.batches) if (areRuns(batch)) this.set.merge(batch);
    if (stored.isCorrupt)
      ports.logger.error(
        { event: 'tallies.synced-data-lost' },
        'synced additions to tallies have changed on this disk; what is missing is fetched from other controllers',
      );
    await this.log.start(stored, timeLimits.requestTimeoutMs);
  }

  /** Begins to compare with other controllers. */
  run(): void {
    const { ports, timeLimits } = this.dependencies;
    void this.repair.run();
    ports.clock.setTimer(timeLimits.tallyCatchUpMs, this.checkCaughtUp.bind(this));
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
    this.repair.wake();
  }

  /** Notes a connection that has ended. */
  noteDown(channel: PeerChannel): void {
    this.replication.noteDown(channel);
    this.repair.noteDown(channel);
    this.checkCaughtUp();
  }

  /**
   * Adds to a tally, once for each id, and returns when the addition outlasts the losses that are tolerated. Errors:
   * refused where nothing was done, else of unknown effect.
   */
  async add(tally: string, id: string, amount: number, timeoutMs: number): Promise<Result<void>> {
    const [refusal] = errorOrValue(this.checkAdding());
    if (refusal) return Left(refusal);
    const known = this.set.find(tally, id);
    if (known) return this.replication.replicate(known, this.log.flush(), timeoutMs);
    const sequence = ++this.lastSequence;
    const addition: Addition = { replica: this.replica, sequence, tally, id, amount };
    this.set.add(addition);
    const synced = this.log.append(toRuns([addition]));
    return this.replication.replicate(this.set.find(tally, id)!, synced, timeoutMs);
  }

  /** The total of a tally, never an older one in one life of this process. Error: refused, before it has caught up. */
  total(tally: string): Result<bigint> {
    return this.checkReady().map(readTotal.bind(undefined, this.set, tally));
  }

  /** Tallies as operators see them. */
  status(): TalliesStatus {
    return {
      isReady: this.isReady(),
      isWritable: this.log.isWritable(),
      additions: this.set.size(),
      replicas: this.set.replicaCount(),
      fileBytes: this.log.fileBytes(),
      waiting: this.replication.waiting(),
      peers: this.repair.peers().map(this.peerStatus.bind(this)),
    };
  }

  /** Holds additions of another controller; replies once they are synced. */
  @messageHandler('tally-add', AddMessage)
  async onAdditions({ runs }: AddMessage, from: PeerChannel): HandlerResult {
    if (!areRuns(runs)) return failure('tally-add', from.peer, 'no runs', 'refused', 'bad-shape');
    const recorded = await this.record(runs);
    return recorded.map(isHeld);
  }

  /** Gives the digests of the replicas, unless the asker has the same additions. */
  @messageHandler('tally-digests', DigestsRequest)
  giveDigests({ digest }: DigestsRequest): HandlerResult {
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

  private checkAdding(): Result<void> {
    const { settings, timeLimits } = this.dependencies;
    const ready = this.checkReady();
    if (ready.isLeft()) return ready;
    const isStalled = this.log.writingForMs() > timeLimits.tallyDiskStallMs;
    if (!this.log.isWritable() || isStalled)
      return failure('add', settings.wire, 'the disk takes no writes', 'refused', 'disk');
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

  private isReady(): boolean {
    if (!this.hasCaughtUp) this.checkCaughtUp();
    return this.hasCaughtUp;
  }

  /**
   * After a start: caught up with all that are connected, and with so many that they hold all that was acknowledged. What
   * can't be reached is not waited for over the bound, but additions that still come are.
   */
  private checkCaughtUp(): void {
    if (this.hasCaughtUp) return;
    const { settings, timeLimits, controllerCount, ports } = this.dependencies;
    const now = ports.clock.now();
    const peers = this.repair.peers();
    const levelCount = peers.filter(wasLevel).length;
    const isEnough = levelCount + 1 >= controllerCount() - settings.tolerated;
    const isOverdue = now - this.startedAt >= timeLimits.tallyCatchUpMs;
    const isFetching = peers.some(isStillFetching);
    if (!(isEnough && levelCount === peers.length) && (!isOverdue || isFetching)) return;
    this.hasCaughtUp = true;
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

  /** The connections to other controllers that are not known to lack tallies. */
  private peers(): PeerChannel[] {
    const peers: PeerChannel[] = [];
    for (const channel of this.controllerChannels())
      if (!this.replication.lacksTallies(channel)) peers.push(channel);
    return peers;
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
