/**
 * Closing of accepted connections whose peer is silent.
 */

import { Ports } from '../ports/ports';
import { PeerChannel } from './peer-channel';

/** Checks of the channels in one idle timeout. */
const CHECKS_PER_TIMEOUT = 3;
/** A check that comes later than this ratio of its interval after the one before tells that this process was held up. */
const MAX_CHECK_DELAY_RATIO = 2;

/**
 * Closes channels from which nothing came for `idleTimeoutMs`; a peer that keeps its connection up sends heartbeats
 * more often. After a time in which this process was held up it closes none, as it could not have read them. Returns
 * once the process is stopped.
 */
export async function closeIdleChannels(
  ports: Ports,
  channels: ReadonlySet<PeerChannel>,
  idleTimeoutMs: number,
  isStopped: () => boolean,
): Promise<void> {
  const intervalMs = idleTimeoutMs / CHECKS_PER_TIMEOUT;
  let previousCheckAt = ports.clock.now();
  while (!isStopped()) {
    await ports.clock.sleep(intervalMs);
    const now = ports.clock.now();
    const wasHeldUp = now - previousCheckAt > intervalMs * MAX_CHECK_DELAY_RATIO;
    previousCheckAt = now;
    if (wasHeldUp) continue;
    for (const channel of channels)
      if (now - channel.lastReceivedAt() > idleTimeoutMs) channel.close();
  }
}
