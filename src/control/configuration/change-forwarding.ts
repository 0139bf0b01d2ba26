/**
 * Forwards changes to the owners of their keys, and tells owners that are busy from owners that are dead.
 */

import { Left } from 'purify-ts';
import { TimeLimits } from '../../shared/settings/time-limits';
import { RequestChannel } from '../../shared/transport/peer-channel';
import { makeError, Result } from '../../shared/errors/errors';
import { requestCompressed, compressedBodyBytes } from '../../shared/transport/compressed-requests';
import { Clock } from '../../shared/ports/clock';
import { Operation } from './operations';

/** Compressed bytes of an order, some 3,500 routes, for which its owner is given as long again. */
const BYTES_PER_EXTRA_TIMEOUT = 65536;

/** An owner is asked whether it works on an order after this ratio of the time that it has. */
const PROBE_AFTER_RATIO = 0.6;

/** What forwarding needs. */
export interface ForwardingDependencies {
  clock: Clock;
  timeLimits: TimeLimits;
}

/**
 * Has an owner make a change. An order with an identity is waited for longer where its owner says that it works on it:
 * a busy owner is not a dead one, and whoever takes its place outbids what it has in progress. The error of an owner
 * that does not say so has the code `timeout`.
 */
export async function forwardChange(
  dependencies: ForwardingDependencies,
  owner: RequestChannel,
  operation: Operation,
  identity: string | undefined,
): Promise<Result<unknown>> {
  const { clock, timeLimits } = dependencies;
  const extraTimeouts = compressedBodyBytes(operation) / BYTES_PER_EXTRA_TIMEOUT;
  const timeoutMs = timeLimits.forwardTimeoutMs * (1 + extraTimeouts);
  if (identity === undefined) return requestCompressed(owner, 'change', operation, timeoutMs);
  const extendedMs = timeoutMs + timeLimits.inProgressExtensionMs;
  const reply = requestCompressed(owner, 'change', operation, extendedMs);
  return Promise.race([reply, replyIfInProgress()]);

  async function replyIfInProgress(): Promise<Result<unknown>> {
    await clock.sleep(timeoutMs * PROBE_AFTER_RATIO);
    const probeTimeoutMs = timeoutMs * (1 - PROBE_AFTER_RATIO);
    const isInProgress = await owner.request('order-under-way', { identity }, probeTimeoutMs);
    if (isInProgress.extract() === true) return reply;
    return Left(makeError('change', owner.peer, 'no sign of life', 'unknown', 'timeout'));
  }
}
