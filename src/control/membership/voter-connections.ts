/**
 * The connections of a controller to the voters, to those that ask to vote, and, while no voter set is known, to the
 * founders, the seeds and where a peer said that the voters are.
 */

import { Left } from 'purify-ts';
import { Result } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { Settings } from '../../shared/settings/settings';
import { TimeLimits } from '../../shared/settings/time-limits';
import { addressOf, allVoters, Voter, VoterSet } from '../../shared/state/voter-set';
import { ConnectionPool, makeConnectionPool } from '../../shared/transport/connection-pool';
import { Hello } from '../../shared/transport/hello';
import { notConnected, PeerChannel } from '../../shared/transport/peer-channel';
import { requestOtherVoter } from '../consensus/voter-request';
import { IdentifyReply } from './identify-reply';

/** What the connections to the voters need of their controller. */
export interface VoterConnectionsDependencies {
  ports: Ports;
  settings: Settings;
  timeLimits: TimeLimits;
  hello: Hello;
  handlers: readonly object[];
  voters: () => VoterSet | undefined;
  /** Controllers that ask to vote. */
  candidates: () => Voter[];
  onUp: (channel: PeerChannel) => void;
  onDown: (channel: PeerChannel) => void;
}

/** Keeps the connections of a controller to the voters up. */
export class VoterConnections {
  /** The pool of kept connections. */
  readonly pool: ConnectionPool;
  private hintedAddresses: readonly string[] = [];

  constructor(private readonly dependencies: VoterConnectionsDependencies) {
    const { ports, hello, handlers, timeLimits, onUp, onDown } = dependencies;
    this.pool = makeConnectionPool(ports, {
      hello,
      handlers,
      timeoutMs: timeLimits.connectTimeoutMs,
      retryPauseMs: timeLimits.retryPauseMs,
      onUp,
      onDown,
    });
  }

  /** The connection to an address, while it is up. */
  channelTo(address: string): PeerChannel | undefined {
    return this.pool.channelTo(address);
  }

  /** Notes where a peer said that the voters are, and connects to them while no voter set is known. */
  noteHints(addresses: readonly string[]): void {
    this.hintedAddresses = addresses;
    this.refresh();
  }

  /** Connects to the peers of the voter set that is known now, and to no others. */
  refresh(): void {
    const own = this.dependencies.settings.wire;
    function isOther(address: string): boolean {
      return address !== own;
    }
    this.pool.setPeers(this.wantedAddresses().filter(isOther));
  }

  /** Sends a request to the voter of another controller. */
  request(voter: Voter, type: string, body: unknown, timeoutMs: number): Promise<Result<unknown>> {
    return requestOtherVoter(this.channelTo(voter.at), voter, type, body, timeoutMs);
  }

  /** Asks the controller at an address for its disk and voter set (message `who`). */
  async identify(address: string): Promise<Result<IdentifyReply>> {
    const channel = this.channelTo(address);
    if (!channel) return Left(notConnected('who', address));
    const { requestTimeoutMs } = this.dependencies.timeLimits;
    return channel.request('who', {}, requestTimeoutMs) as Promise<Result<IdentifyReply>>;
  }

  private wantedAddresses(): string[] {
    const { settings, voters, candidates } = this.dependencies;
    const voterSet = voters();
    return voterSet
      ? [...allVoters(voterSet), ...candidates()].map(addressOf)
      : [...settings.founders, ...settings.seeds, ...this.hintedAddresses];
  }
}
