/**
 * Requests to the voters of other controllers.
 */

import { Left } from 'purify-ts';
import { PeerChannel, notConnected } from '../../shared/transport/peer-channel';
import { Result } from '../../shared/errors/errors';
import { requestCompressed } from '../../shared/transport/compressed-requests';
import { Voter } from '../../shared/state/voter-set';

/** The requests that may carry full values or long deltas; they are sent compressed. */
const COMPRESSED_TYPES: ReadonlySet<string> = new Set(['accept', 'accept-delta', 'learn']);

/** Sends a request to a voter, which may be this process, and waits for its reply up to `timeoutMs`. */
export type TimedVoterRequest = (
  voter: Voter,
  type: string,
  body: unknown,
  timeoutMs: number,
) => Promise<Result<unknown>>;

/** Sends a request to a voter, under a time-out of the caller's. */
export type RequestVoter = (voter: Voter, type: string, body: unknown) => Promise<Result<unknown>>;

/** Sends a request to another controller's voter over its channel, and waits for the reply up to `timeoutMs`. */
export async function requestOtherVoter(
  channel: PeerChannel | undefined,
  voter: Voter,
  type: string,
  body: unknown,
  timeoutMs: number,
): Promise<Result<unknown>> {
  if (!channel) return Left(notConnected(type, voter.at));
  return COMPRESSED_TYPES.has(type)
    ? requestCompressed(channel, type, body as object, timeoutMs)
    : channel.request(type, body, timeoutMs);
}
