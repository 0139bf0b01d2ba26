/** Hands changes over to the owners of their keys, and tells owners that are busy from owners that are dead. */

import { Left } from 'purify-ts';
import { Bounds } from '../../shared/settings/time-limits';
import { Exchange } from '../../shared/transport/connections';
import { makeFault, Outcome } from '../../shared/errors/errors';
import { askPacked, packedBytes } from '../../shared/transport/compressed-requests';
import { Clock } from '../../shared/ports/ports';
import { Operation } from './operations';

/** Compressed bytes of an order, some 3,500 routes, for which its owner is given as long again. */
const BYTES_OF_ANOTHER_TURN = 65536;

/** An owner is asked for a sign of life after this share of the time that it has. */
const PROBED_AFTER = 0.6;

/** What a hand-over needs. */
export interface HandOverParts {
  clock: Clock;
  bounds: Bounds;
}

/**
 * Has an owner make a change. An order with an identity is waited for longer where its owner tells that it works on
 * it: a busy owner is not a dead one, and whoever takes its place outbids what it has under way.
 */
export async function handOver(
  parts: HandOverParts,
  owner: Exchange,
  op: Operation,
  identity: string | undefined,
): Promise<Outcome<unknown>> {
  const { clock, bounds } = parts;
  const within = bounds.handOver * (1 + packedBytes(op) / BYTES_OF_ANOTHER_TURN);
  if (identity === undefined) return askPacked(owner, 'change', op, within);
  const reply = askPacked(owner, 'change', op, within + bounds.orderUnderWay);
  return Promise.race([reply, replyOfLiving()]);

  async function replyOfLiving(): Promise<Outcome<unknown>> {
    await clock.sleep(within * PROBED_AFTER);
    const asked = { identity };
    const isWorking = await owner.ask('order-under-way', asked, within * (1 - PROBED_AFTER));
    if (isWorking.extract() === true) return reply;
    return Left(makeFault('change', owner.peer, 'no sign of life', 'unknown', 'timeout'));
  }
}
