/**
 * The load board: one indexer, the same for all routers, to which each reports the loads of its own requests and from
 * which it gets the sums of all others.
 */

import { errorOrValue, Result } from '../../shared/errors/errors';
import { rankByRendezvousHash } from '../../shared/util/hashing';
import { ConnectionPool } from '../../shared/transport/connection-pool';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { EngineLoad, LoadReply, LoadReport } from '../../shared/contracts/indexer';
import { EngineLoads } from './engine-loads';

/** What the board was sent on a connection. */
interface BoardSession {
  connection: object;
  /** The loads that it has, as text, by engine. */
  reported: Map<string, string>;
}

/** Sends the message 'loads'. */
function requestLoads(
  channel: PeerChannel,
  report: LoadReport,
  timeoutMs: number,
): Promise<Result<LoadReply>> {
  return channel.request('loads', report, timeoutMs) as Promise<Result<LoadReply>>;
}

/** Reports loads to the load board. */
export class LoadBoard {
  private session: BoardSession | undefined;

  constructor(
    private readonly connections: ConnectionPool,
    private readonly loads: EngineLoads,
    private readonly timeoutMs: number,
  ) {}

  /** Reports what changed since the last report on the board's connection, and takes the sums of all others; without an answer those are discarded. */
  async report(): Promise<void> {
    const channel = this.boardChannel();
    if (!channel) return this.discard();
    const full = this.session?.connection !== channel.connection;
    if (full) this.session = { connection: channel.connection, reported: new Map() };
    const session = this.session!;
    const own = this.changedLoads(session);
    const [error, reply] = errorOrValue(await requestLoads(channel, { full, own }, this.timeoutMs));
    if (this.session !== session) return;
    if (error) return this.discard();
    this.loads.applyBoard(reply.others, reply.full);
  }

  /** The connection to the first indexer in the common order to which one is up. */
  private boardChannel(): PeerChannel | undefined {
    for (const address of rankByRendezvousHash('loads', this.connections.peerAddresses())) {
      const channel = this.connections.channelTo(address);
      if (channel) return channel;
    }
    return undefined;
  }

  /** This router's loads that differ from what the board has; a load that ended is 0, 0. */
  private changedLoads(session: BoardSession): EngineLoad[] {
    const changed: EngineLoad[] = [];
    const current = new Map<string, string>();
    for (const load of this.loads.ownLoads()) {
      const text = load.join(' ');
      current.set(load[0], text);
      if (session.reported.get(load[0]) !== text) changed.push(load);
    }
    for (const id of session.reported.keys()) if (!current.has(id)) changed.push([id, 0, 0]);
    session.reported = current;
    return changed;
  }

  private discard(): void {
    this.session = undefined;
    this.loads.discardBoard();
  }
}
