/**
 * Requests to the owner of a control key: the live voter that comes first for it by rendezvous hashing.
 */

import { Left } from 'purify-ts';
import {
  errorOrValue,
  isRetryableElsewhere,
  OperationError,
  Result,
} from '../../shared/errors/errors';
import { Settings } from '../../shared/settings/settings';
import { TimeLimits } from '../../shared/settings/time-limits';
import { VoterSet } from '../../shared/state/voter-set';
import { notConnected, RequestChannel } from '../../shared/transport/peer-channel';
import { rankByRendezvousHash } from '../../shared/util/hashing';
import { KeyOwner } from '../consensus/key-owner';

/** What requests to owners need. */
export interface OwnerRequestsDependencies {
  settings: Settings;
  timeLimits: TimeLimits;
  keyOwner: KeyOwner;
  voters: () => VoterSet | undefined;
  liveAddresses: () => string[];
  channelTo: (address: string) => RequestChannel | undefined;
  dispatchLocally: (type: string, body: unknown) => Promise<Result<unknown>>;
}

/** Requests of one controller to the owners of keys. */
export class OwnerRequests {
  constructor(private readonly dependencies: OwnerRequestsDependencies) {}

  /** The address of a key's owner; nothing where no voter is known to be live. */
  ownerAddress(key: string): string | undefined {
    return rankByRendezvousHash(key, this.dependencies.liveAddresses())[0];
  }

  /** The error of a step that no voter is there for. */
  noVoter(step: string): OperationError {
    const { settings, voters } = this.dependencies;
    return {
      step,
      peer: settings.name,
      reason: 'no voter is here',
      certainty: 'refused',
      code: voters() ? 'no-quorum' : 'not-founded',
    };
  }

  /** Asks a key's owner; where that one does not answer, this node takes its place. */
  async request(key: string, type: string, body: object): Promise<Result<unknown>> {
    const { settings, dispatchLocally } = this.dependencies;
    const address = this.ownerAddress(key);
    if (address === undefined) return Left(this.noVoter(type));
    if (address === settings.wire) return dispatchLocally(type, body);
    const reply = await this.send(
      address,
      type,
      body,
      this.dependencies.timeLimits.forwardTimeoutMs,
    );
    const [error] = errorOrValue(reply);
    return error && isRetryableElsewhere(error) ? dispatchLocally(type, body) : reply;
  }

  /** Has a key's owner commit its value anew; where that one does not answer, nobody takes its place. */
  async recommit(key: string): Promise<Result<unknown>> {
    const { settings, timeLimits, keyOwner } = this.dependencies;
    const address = this.ownerAddress(key);
    if (address === undefined) return Left(this.noVoter('settle'));
    if (address === settings.wire) return keyOwner.reacquire(key);
    return this.send(address, 'settle', { key }, timeLimits.requestTimeoutMs);
  }

  private async send(
    address: string,
    type: string,
    body: object,
    timeoutMs: number,
  ): Promise<Result<unknown>> {
    const channel = this.dependencies.channelTo(address);
    return channel?.request(type, body, timeoutMs) ?? Left(notConnected(type, address));
  }
}
