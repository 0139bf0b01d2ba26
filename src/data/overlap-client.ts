/**
 * Asks indexers for the prefixes that engines and stores have cached, and notifies them of what an engine reused.
 */

import { PromptBlock } from '../shared/contracts/engine';
import { errorOrValue, Result } from '../shared/errors/errors';
import { rankByRendezvousHash } from '../shared/util/hashing';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { ConnectionPool, makeConnectionPool } from '../shared/transport/connection-pool';
import { Hello } from '../shared/transport/hello';
import { PeerChannel } from '../shared/transport/peer-channel';
import { addressOf } from '../shared/state/voter-set';
import { Member } from '../shared/state/members';

/** Indexers that are asked for one prompt at the most. */
const MAX_INDEXERS_ASKED = 2;

/** What an indexer replied that a source has of a prompt from its front on; the fields are those of the reply to the message 'query'. */
export interface Overlap {
  source: string;
  /** Tokens that it has for sure, and tokens of which the indexer is in doubt. */
  tokens: number;
  doubted: number;
  /** Blocks from the prompt's front that those make up. */
  parts: number;
}

/** A prompt as indexers are asked for it: the body of the message 'query'. */
export interface OverlapQuery {
  model: string;
  salt: string;
  weights: string;
  parts: PromptBlock[];
}

function isIndexer({ role }: Member): boolean {
  return role === 'indexer';
}

/** Sends the message 'query'. */
function requestOverlaps(
  channel: PeerChannel,
  query: OverlapQuery,
  timeoutMs: number,
): Promise<Result<Overlap[]>> {
  return channel.request('query', query, timeoutMs) as Promise<Result<Overlap[]>>;
}

/** Keeps a connection to each indexer. */
export class OverlapClient {
  private readonly connections: ConnectionPool;

  constructor(
    ports: Ports,
    private readonly timeLimits: TimeLimits,
    private readonly hello: Hello,
    handlers: object[],
  ) {
    this.connections = makeConnectionPool(ports, {
      hello,
      handlers,
      timeoutMs: timeLimits.connectTimeoutMs,
      retryPauseMs: timeLimits.retryPauseMs,
    });
  }

  /** Takes the newest members of the fleet. */
  updateIndexers(members: Member[]): void {
    this.connections.setPeers(members.filter(isIndexer).map(addressOf));
  }

  /** What sources have of a prompt; nothing where no indexer replies in time. */
  async query(query: OverlapQuery): Promise<Overlap[] | undefined> {
    let asked = 0;
    const { connections, hello, timeLimits } = this;
    for (const address of rankByRendezvousHash(hello.name, connections.peerAddresses())) {
      const channel = connections.channelTo(address);
      if (!channel) continue;
      if (++asked > MAX_INDEXERS_ASKED) break;
      const [error, overlaps] = errorOrValue(
        await requestOverlaps(channel, query, timeLimits.indexQueryTimeoutMs),
      );
      if (!error) return overlaps;
    }
    return undefined;
  }

  /** Notifies all indexers how many blocks an engine reused. */
  notifyReused(body: object): void {
    for (const address of this.connections.peerAddresses())
      this.connections.channelTo(address)?.notify('reused', body);
  }

  /** Closes the connections. */
  stop(): void {
    this.connections.stop();
  }
}
