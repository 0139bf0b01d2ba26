import { Hello, makeConnectionPool } from '../../shared/transport/connections';
import { errorOrValue } from '../../shared/errors/errors';
import { Follower } from '../../shared/replication/follower';
import { rankByRendezvousHash } from '../../shared/util/hashing';
import {
  EngineLoad,
  LoadReply,
  OverlapReply,
  OverlapRequest,
  PlacementNotice,
} from '../../shared/contracts/indexer';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Member } from '../../shared/state/members';
import { EngineLoads } from './engine-loads';

/** What a router says to indexers. */
export interface IndexerClient {
  /** Asks how much of a prompt each source keeps; nothing where no indexer answers in time. */
  queryOverlap: (q: OverlapRequest, withinMs: number) => Promise<OverlapReply | undefined>;
  /** Tells all indexers of a request that was placed, and the board of what it adds to its engine. */
  notifyPlaced: (p: PlacementNotice) => void;
  /** Brings what is known of other routers' loads up to now; waits no longer than that. */
  refreshLoads: (withinMs: number) => Promise<void>;
  stop: () => void;
}

/** Answers that may stay out, one after the other, before an indexer is left alone for a while. */
const MISSES = 3;
/** The usual pause between tells, as a share of the bound of a query. */
const PACE = 0.4;
/** How many routers share the board at the usual pace; more tell it less often, in proportion. */
const ROUTERS = 16;

/** Keeps connections to indexers; tells one of them, the same for all routers, this router's loads, and takes those of the others. */
export function reachIndexers(
  ports: Ports,
  bounds: TimeLimits,
  follower: Follower,
  hello: Hello,
  loads: EngineLoads,
  routers: () => number | undefined,
): IndexerClient {
  const helds = makeConnectionPool(ports, {
    hello,
    handlers: [],
    timeoutMs: bounds.connectTimeoutMs,
    retryPauseMs: bounds.retryPauseMs,
  });
  const misses = new Map<string, { count: number; until: number }>();
  let zones = new Map<string, string>();
  let board: { connection: object; said: Map<string, string> } | undefined;
  let stopped = false;

  function reach(): void {
    zones = new Map();
    for (const m of follower.members('indexer')) zones.set(m.at, m.zone);
    helds.setPeers(zones.keys());
  }

  function changed(list: Member[]): void {
    void list;
    reach();
  }

  /** Indexers in the order in which they are asked: those of the own zone first. */
  function inOrder(): string[] {
    const order = rankByRendezvousHash(hello.name, helds.peerAddresses());
    function byZone(a: string, b: string): number {
      return Number(zones.get(b) === hello.zone) - Number(zones.get(a) === hello.zone);
    }
    return order.sort(byZone);
  }

  async function overlap(q: OverlapRequest, withinMs: number): Promise<OverlapReply | undefined> {
    for (const at of inOrder()) {
      const ex = helds.channelTo(at);
      const m = misses.get(at);
      if (!ex || (m && m.count >= MISSES && ports.clock.now() < m.until)) continue;
      const [f, answer] = errorOrValue(await ex.request('overlap', q, withinMs));
      if (!f) {
        misses.delete(at);
        return answer as OverlapReply;
      }
      if (f.code === 'not-ready') continue;
      misses.set(at, {
        count: (m?.count ?? 0) + 1,
        until: ports.clock.now() + bounds.statusTimeoutMs,
      });
      return undefined;
    }
    return undefined;
  }

  function placed(p: PlacementNotice): void {
    for (const at of helds.peerAddresses()) helds.channelTo(at)?.notify('placed', p);
    void tell();
  }

  async function renewLoads(withinMs: number): Promise<void> {
    await Promise.race([tell(), ports.clock.sleep(withinMs)]);
  }

  /** Tells the board what changed since the last tell on this connection. */
  async function tell(): Promise<void> {
    for (const at of rankByRendezvousHash('loads', helds.peerAddresses())) {
      const ex = helds.channelTo(at);
      if (!ex) continue;
      const full = board?.connection !== ex.connection;
      if (full) board = { connection: ex.connection, said: new Map() };
      const to = board!;
      const own: EngineLoad[] = [];
      const now = new Map<string, string>();
      for (const l of loads.ownLoads()) {
        const text = l.join(' ');
        now.set(l[0], text);
        if (full || to.said.get(l[0]) !== text) own.push(l);
      }
      for (const id of to.said.keys()) if (!now.has(id)) own.push([id, 0, 0]);
      to.said = now;
      const [f, a] = errorOrValue(await ex.request('loads', { full, own }, bounds.statusTimeoutMs));
      if (board !== to) return;
      if (f) {
        board = undefined;
        loads.discardBoard();
        return;
      }
      const answer = a as LoadReply;
      loads.applyBoard(answer.others, answer.full);
      return;
    }
    board = undefined;
    loads.discardBoard();
  }

  async function tellOn(): Promise<void> {
    while (!stopped) {
      reach();
      await tell();
      await ports.clock.sleep(
        bounds.indexQueryTimeoutMs *
          PACE *
          Math.max(1, (routers() ?? 1) / ROUTERS) *
          (0.8 + 0.4 * ports.random.next()),
      );
    }
  }

  function stop(): void {
    stopped = true;
    helds.stop();
  }

  void follower.memberChanges.observe(changed);
  void tellOn();
  return { queryOverlap: overlap, notifyPlaced: placed, refreshLoads: renewLoads, stop };
}
