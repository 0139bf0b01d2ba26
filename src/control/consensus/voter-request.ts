import { Left } from 'purify-ts';
import { PeerChannel, notConnected } from '../../shared/transport/connections';
import { Result } from '../../shared/errors/errors';
import { requestCompressed } from '../../shared/transport/compressed-requests';
import { Voter } from '../../shared/state/voter-set';

/** What may carry whole values or long differences. */
const COMPRESSED_TYPES = new Set(['accept', 'accept-delta', 'learn']);

/** Asks another voter over its connection; what is long goes compressed. */
export async function requestOtherVoter(
  exchange: PeerChannel | undefined,
  voter: Voter,
  type: string,
  body: unknown,
  within: number,
): Promise<Result<unknown>> {
  if (!exchange) return Left(notConnected(type, voter.at));
  return COMPRESSED_TYPES.has(type)
    ? requestCompressed(exchange, type, body as object, within)
    : exchange.request(type, body, within);
}
