/**
 * What a router asks indexers and notifies them of: cached prefixes, placements, and loads.
 */

import { Hello } from '../../shared/transport/hello';
import { ConnectionPool, makeConnectionPool } from '../../shared/transport/connection-pool';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { Follower } from '../../shared/replication/follower';
import { rankByRendezvousHash } from '../../shared/util/hashing';
import { OverlapReply, OverlapRequest, PlacementNotice } from '../../shared/contracts/indexer';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { EngineLoads } from './engine-loads';
import { LoadBoard } from './load-board';
import { jittered } from '../../shared/concurrency/jitter';

/** Queries in a row that fail before an indexer is left out for a while. */
const MAX_CONSECUTIVE_FAILURES = 3;
/** The usual pause between reports to the load board, as a share of the time-out of a query. */
const REPORT_PAUSE_RATIO = 0.4;
/** How many routers report at the usual pause; more report less often, in proportion. */
const ROUTERS_AT_USUAL_PAUSE = 16;

/** Failed queries of one indexer. */
interface QueryFailures {
  count: number;
  /** Until when it is left out, in ms of the clock, once there are too many. */
  retryAt: number;
}

/** What an indexer client works with. */
export interface IndexerClientDependencies {
  ports: Ports;
  timeLimits: TimeLimits;
  follower: Follower;
  hello: Hello;
  loads: EngineLoads;
  /** How many routers there are, as far as it is known. */
  routerCount: () => number | undefined;
}

/** Sends the message 'overlap'. */
function requestOverlap(
  channel: PeerChannel,
  request: OverlapRequest,
  timeoutMs: number,
): Promise<Result<OverlapReply>> {
  return channel.request('overlap', request, timeoutMs) as Promise<Result<OverlapReply>>;
}

/** Keeps connections to all indexers, and reports to the load board until it is stopped. */
export class IndexerClient {
  private readonly connections: ConnectionPool;
  private readonly board: LoadBoard;
  private readonly failures = new Map<string, QueryFailures>();
  /** Zones by the address of an indexer. */
  private zones = new Map<string, string>();
  private isStopped = false;

  constructor(private readonly dependencies: IndexerClientDependencies) {
    const { ports, timeLimits, follower, hello, loads } = dependencies;
    this.connections = makeConnectionPool(ports, {
      hello,
      handlers: [],
      timeoutMs: timeLimits.connectTimeoutMs,
      retryPauseMs: timeLimits.retryPauseMs,
    });
    this.board = new LoadBoard(this.connections, loads, timeLimits.statusTimeoutMs);
    void follower.memberChanges.observe(this.updatePeers.bind(this));
    void this.reportLoop();
  }

  /** Asks the nearest indexer how much of a prompt each source has cached; nothing where none answers in time. */
  async queryOverlap(
    request: OverlapRequest,
    timeoutMs: number,
  ): Promise<OverlapReply | undefined> {
    for (const address of this.byNearest()) {
      const channel = this.connections.channelTo(address);
      const failures = this.failures.get(address);
      if (!channel || this.isLeftOut(failures)) continue;
      const [error, reply] = errorOrValue(await requestOverlap(channel, request, timeoutMs));
      if (!error) {
        this.failures.delete(address);
        return reply;
      }
      if (error.code === 'not-ready') continue;
      this.recordFailure(address, failures?.count ?? 0);
      return undefined;
    }
    return undefined;
  }

  /** Notifies all indexers of a request that was placed, and the load board of what it adds to its engine. */
  notifyPlaced(notice: PlacementNotice): void {
    for (const address of this.connections.peerAddresses())
      this.connections.channelTo(address)?.notify('placed', notice);
    void this.board.report();
  }

  /** Brings what is known of other routers' loads up to date, within `timeoutMs`. */
  async refreshLoads(timeoutMs: number): Promise<void> {
    const { clock } = this.dependencies.ports;
    await Promise.race([this.board.report(), clock.sleep(timeoutMs)]);
  }

  /** Closes the connections, and ends the reports. */
  stop(): void {
    this.isStopped = true;
    this.connections.stop();
  }

  private updatePeers(): void {
    this.zones = new Map();
    for (const { at, zone } of this.dependencies.follower.members('indexer'))
      this.zones.set(at, zone);
    this.connections.setPeers(this.zones.keys());
  }

  /** Addresses of indexers in the order in which they are asked: those of the own zone first. */
  private byNearest(): string[] {
    const { hello } = this.dependencies;
    const { zones } = this;
    function byZone(a: string, b: string): number {
      return Number(zones.get(b) === hello.zone) - Number(zones.get(a) === hello.zone);
    }
    return rankByRendezvousHash(hello.name, this.connections.peerAddresses()).sort(byZone);
  }

  private isLeftOut(failures: QueryFailures | undefined): boolean {
    return (
      failures !== undefined &&
      failures.count >= MAX_CONSECUTIVE_FAILURES &&
      this.dependencies.ports.clock.now() < failures.retryAt
    );
  }

  /** Records a failure; `countBefore` is from when the query was sent, so that queries that fail together count once. */
  private recordFailure(address: string, countBefore: number): void {
    const { ports, timeLimits } = this.dependencies;
    this.failures.set(address, {
      count: countBefore + 1,
      retryAt: ports.clock.now() + timeLimits.statusTimeoutMs,
    });
  }

  private async reportLoop(): Promise<void> {
    const { clock } = this.dependencies.ports;
    while (!this.isStopped) {
      this.updatePeers();
      await this.board.report();
      await clock.sleep(this.reportPauseMs());
    }
  }

  private reportPauseMs(): number {
    const { ports, timeLimits, routerCount } = this.dependencies;
    const crowdRatio = Math.max(1, (routerCount() ?? 1) / ROUTERS_AT_USUAL_PAUSE);
    const averageMs = timeLimits.indexQueryTimeoutMs * REPORT_PAUSE_RATIO * crowdRatio;
    return jittered(ports.random, averageMs);
  }
}
