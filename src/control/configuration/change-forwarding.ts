/** Hands changes over to the owners of their keys, and tells owners that are busy from owners that are dead. */

import { Left } from 'purify-ts';
import { TimeLimits } from '../../shared/settings/time-limits';
import { PeerChannel } from '../../shared/transport/connections';
import { makeError, Result } from '../../shared/errors/errors';
import { requestCompressed, compressedBodyBytes } from '../../shared/transport/compressed-requests';
import { Clock } from '../../shared/ports/clock';
import { Operation } from './operations';

/** Compressed bytes of an order, some 3,500 routes, for which its owner is given as long again. */
const BYTES_OF_ANOTHER_TURN = 65536;

/** An owner is asked for a sign of life after this share of the time that it has. */
const PROBED_AFTER = 0.6;

/** What a hand-over needs. */
export interface ForwardingDependencies {
  clock: Clock;
  timeLimits: TimeLimits;
}

/**
 * Has an owner make a change. An order with an identity is waited for longer where its owner tells that it works on
 * it: a busy owner is not a dead one, and whoever takes its place outbids what it has under way.
 */
export async function forwardChange(
  parts: ForwardingDependencies,
  owner: PeerChannel,
  op: Operation,
  identity: string | undefined,
): Promise<Result<unknown>> {
  const { clock, timeLimits: bounds } = parts;
  const within = bounds.forwardTimeoutMs * (1 + compressedBodyBytes(op) / BYTES_OF_ANOTHER_TURN);
  if (identity === undefined) return requestCompressed(owner, 'change', op, within);
  const reply = requestCompressed(owner, 'change', op, within + bounds.inProgressExtensionMs);
  return Promise.race([reply, replyOfLiving()]);

  async function replyOfLiving(): Promise<Result<unknown>> {
    await clock.sleep(within * PROBED_AFTER);
    const asked = { identity };
    const isWorking = await owner.request('order-under-way', asked, within * (1 - PROBED_AFTER));
    if (isWorking.extract() === true) return reply;
    return Left(makeError('change', owner.peer, 'no sign of life', 'unknown', 'timeout'));
  }
}
