import { Left } from 'purify-ts';
import { Exchange, noConnection } from '../../shared/transport/connections';
import { Outcome } from '../../shared/errors/errors';
import { askPacked } from '../../shared/transport/compressed-requests';
import { Voter } from '../../shared/state/words';

/** What may carry whole values or long differences. */
const LONG_ASKS = new Set(['accept', 'accept-delta', 'learn']);

/** Asks another voter over its connection; what is long goes compressed. */
export async function askOther(
  exchange: Exchange | undefined,
  voter: Voter,
  type: string,
  body: unknown,
  within: number,
): Promise<Outcome<unknown>> {
  if (!exchange) return Left(noConnection(type, voter.at));
  return LONG_ASKS.has(type)
    ? askPacked(exchange, type, body as object, within)
    : exchange.ask(type, body, within);
}
