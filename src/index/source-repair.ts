/**
 * Repair of what events did not tell of a source: from a peer's copy, or else by the source's own snapshot.
 */

import { Right } from 'purify-ts';
import { errorOrValue, failure } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { bodyField } from '../shared/transport/body-fields';
import { ConnectionPool } from '../shared/transport/connection-pool';
import { HandlerResult, messageHandler } from '../shared/transport/message-handlers';
import { rankByRendezvousHash } from '../shared/util/hashing';
import { CacheSources, Registration } from './cache-sources';
import { FeedPosition } from './feed-listener';
import { PrefixTrees, Rows } from './prefix-trees';

/** A source is repaired once this share of what it should have is lost. */
const MIN_LOST_RATIO = 0.25;

/** A source whose snapshot another replica requests is tried again after this many repair intervals. */
const PEER_RETRY_INTERVALS = 3;

/** A request for a copy of what a source keeps, at least as new as a position. */
class SourceContentRequest {
  @bodyField('string') source!: string;
  @bodyField('string') epoch!: string;
  @bodyField('number') seq!: number;
}

/** What one source keeps as of a sequence number, as a replica knows it without doubt. The field names are sent. */
interface SourceContent {
  seq: number;
  /** How many events the replica lacks itself. */
  owed: number;
  rows: Rows;
}

/** The repair of an indexer's sources. */
export interface SourceRepair {
  /** Events of a source were lost; undefined where nobody knows how many. */
  noteLost: (source: string, events: number | undefined) => void;
  /** A source is known again from its first event. */
  clear: (source: string) => void;
  /** How many events of a source are lost. */
  lostCount: (source: string) => number;
  /** Lost events by source. */
  lostCounts: () => [source: string, events: number][];
  /** Handlers of other replicas' requests. */
  handlers: object;
  counts: RepairCounts;
}

/** What repairs came to: snapshots that were requested, peers' copies, and blocks that a snapshot changed. */
export interface RepairCounts {
  lists: number;
  fromPeers: number;
  changed: number;
}

/** What a repair needs of its indexer. */
export interface SourceRepairDependencies {
  ports: Ports;
  timeLimits: TimeLimits;
  sources: CacheSources;
  trees: PrefixTrees;
  peers: ConnectionPool;
  /** This replica's own address, by which replicas divide sources among them. */
  selfAddress: string;
  registrationOf: (source: string) => Registration | undefined;
  positionOf: (source: string) => FeedPosition | undefined;
  /** Takes what is kept as of a sequence number in one turn, and what was heard after it. */
  adopt: (source: string, epoch: string, seq: number, takeOver: () => void) => void;
}

/** Gives a copy of a source's content to a replica that lost some of it. */
export class SourceContentHandlers {
  constructor(
    private readonly copyOf: (request: SourceContentRequest) => SourceContent | undefined,
  ) {}

  /** Refused where this replica is in doubt itself, or behind. */
  @messageHandler('whole', SourceContentRequest)
  whole(request: SourceContentRequest): HandlerResult {
    const content = this.copyOf(request);
    return Promise.resolve(
      content
        ? Right(content)
        : failure('whole', request.source, 'in doubt here, or behind', 'refused', 'in-doubt'),
    );
  }
}

/** Repairs sources one at a time, the one that lost most first, and each source seldom. */
class Repairer {
  readonly counts: RepairCounts = { lists: 0, fromPeers: 0, changed: 0 };
  private readonly lostEvents = new Map<string, number>();
  private readonly notBefore = new Map<string, number>();
  private isRunning = false;

  constructor(private readonly dependencies: SourceRepairDependencies) {}

  noteLost(source: string, events: number | undefined): void {
    const { sources, trees } = this.dependencies;
    if (!sources.snapshot) return;
    const lost = events ?? Math.max(1, trees.blockCount(source));
    this.lostEvents.set(source, this.lostCount(source) + lost);
    if (!this.isRunning) void this.run();
  }

  clear(source: string): void {
    this.lostEvents.delete(source);
  }

  lostCount(source: string): number {
    return this.lostEvents.get(source) ?? 0;
  }

  lostCounts(): [string, number][] {
    return [...this.lostEvents];
  }

  /** A copy of a source's content for another replica; undefined where it is in doubt here, or older than wanted. */
  copyOf(request: SourceContentRequest): SourceContent | undefined {
    const { source, epoch, seq } = request;
    const position = this.dependencies.positionOf(source);
    if (position?.epoch !== epoch || position.seq < seq) return undefined;
    if (this.isWorthRepair(source)) return undefined;
    const rows = this.dependencies.trees.rows(source);
    return { seq: position.seq, owed: this.lostCount(source), rows };
  }

  private now(): number {
    return this.dependencies.ports.clock.now();
  }

  /** The share of a source's events that is lost. */
  private lostRatio(source: string): number {
    const lost = this.lostCount(source);
    return lost / (lost + this.dependencies.trees.blockCount(source) + 1);
  }

  private isWorthRepair(source: string): boolean {
    return this.lostRatio(source) >= MIN_LOST_RATIO;
  }

  private needsRepair(source: string): boolean {
    return this.dependencies.registrationOf(source) !== undefined && this.isWorthRepair(source);
  }

  private hasWork(): boolean {
    for (const source of this.lostEvents.keys()) if (this.needsRepair(source)) return true;
    return false;
  }

  /** The source that lost the largest share, of those that may be repaired now. */
  private nextSource(): string | undefined {
    let worst: string | undefined;
    for (const source of this.lostEvents.keys()) {
      if (!this.needsRepair(source)) continue;
      if ((this.notBefore.get(source) ?? 0) > this.now()) continue;
      if (worst === undefined || this.lostRatio(source) > this.lostRatio(worst)) worst = source;
    }
    return worst;
  }

  private async run(): Promise<void> {
    const { ports, timeLimits } = this.dependencies;
    this.isRunning = true;
    while (this.hasWork()) {
      await ports.clock.sleep(timeLimits.repairIntervalMs * (0.5 + ports.random.next()));
      const source = this.nextSource();
      if (source !== undefined) await this.repair(source);
    }
    this.isRunning = false;
  }

  private async repair(source: string): Promise<void> {
    const { repairIntervalMs, sourceRepairCooldownMs } = this.dependencies.timeLimits;
    const lostBefore = this.lostCount(source);
    const stillLost = (await this.copyFromPeer(source)) ?? (await this.takeSnapshot(source));
    if (stillLost === undefined) {
      if (!this.isOwnSource(source))
        this.notBefore.set(source, this.now() + repairIntervalMs * PEER_RETRY_INTERVALS);
      return;
    }
    this.notBefore.set(source, this.now() + sourceRepairCooldownMs);
    const lost = this.lostCount(source) - lostBefore + stillLost;
    if (lost > 0) this.lostEvents.set(source, lost);
    else this.lostEvents.delete(source);
  }

  /** Takes a peer's copy over; how many events the peer lacks itself, or undefined where no peer has a copy. */
  private async copyFromPeer(source: string): Promise<number | undefined> {
    const { peers, positionOf, timeLimits } = this.dependencies;
    const position = positionOf(source);
    if (!position) return undefined;
    const request = { source, epoch: position.epoch, seq: position.seq };
    for (const address of peers.peerAddresses()) {
      const channel = peers.channelTo(address);
      if (!channel) continue;
      const reply = await channel.request('whole', request, timeLimits.requestTimeoutMs);
      const [error, content] = errorOrValue(reply);
      if (error || positionOf(source)?.epoch !== position.epoch) continue;
      this.adoptCopy(source, position.epoch, content as SourceContent);
      return (content as SourceContent).owed;
    }
    return undefined;
  }

  private adoptCopy(source: string, epoch: string, { seq, rows }: SourceContent): void {
    const { adopt, trees } = this.dependencies;
    adopt(source, epoch, seq, takeOver);
    this.counts.fromPeers++;

    function takeOver(): void {
      trees.dropSource(source);
      trees.loadRows(rows, always);
    }
  }

  /** Takes a source's own snapshot over; 0 lost events are left, or undefined where there is none, or another replica requests it. */
  private async takeSnapshot(source: string): Promise<number | undefined> {
    const { adopt, ports, positionOf, registrationOf, sources, timeLimits, trees } =
      this.dependencies;
    const { counts } = this;
    const registration = registrationOf(source);
    if (!registration || !sources.snapshot || !this.isOwnSource(source)) return undefined;
    this.notBefore.set(source, this.now() + timeLimits.sourceRepairCooldownMs);
    counts.lists++;
    const [error, snapshot] = errorOrValue(await sources.snapshot(registration));
    if (error) {
      ports.logger.warn(
        { event: 'index.snapshot-failed', step: error.step, peer: source },
        error.reason,
      );
      return undefined;
    }
    if (positionOf(source)?.epoch !== snapshot.epoch) return undefined;
    adopt(source, snapshot.epoch, snapshot.seq, takeOver);
    return 0;

    function takeOver(): void {
      counts.changed += trees.replace(source, snapshot!.held);
    }
  }

  /** Replicas divide the sources among them, so that each snapshot is requested once. */
  private isOwnSource(source: string): boolean {
    const { peers, selfAddress } = this.dependencies;
    const connected = [selfAddress];
    for (const address of peers.peerAddresses())
      if (peers.channelTo(address)) connected.push(address);
    return rankByRendezvousHash(source, connected)[0] === selfAddress;
  }
}

function always(): boolean {
  return true;
}

/** Makes the repair of an indexer's sources; nothing is lost yet. */
export function makeSourceRepair(dependencies: SourceRepairDependencies): SourceRepair {
  const repairer = new Repairer(dependencies);
  return {
    noteLost: repairer.noteLost.bind(repairer),
    clear: repairer.clear.bind(repairer),
    lostCount: repairer.lostCount.bind(repairer),
    lostCounts: repairer.lostCounts.bind(repairer),
    handlers: new SourceContentHandlers(repairer.copyOf.bind(repairer)),
    counts: repairer.counts,
  };
}
