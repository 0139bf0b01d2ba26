/**
 * Closing of accepted connections whose peer is silent.
 */

import { checkPeriodically } from '../concurrency/periodic-checks';
import { Ports } from '../ports/ports';
import { PeerChannel } from './peer-channel';

/** Checks of the channels in one idle timeout. */
const CHECKS_PER_TIMEOUT = 3;

/**
 * Closes channels from which nothing came for `idleTimeoutMs`; a peer that keeps its connection up sends heartbeats
 * more often. After a time in which this process was held up it closes none, as it could not have read them. Returns
 * once the process is stopped.
 */
export function closeIdleChannels(
  ports: Ports,
  channels: ReadonlySet<PeerChannel>,
  idleTimeoutMs: number,
  isStopped: () => boolean,
): Promise<void> {
  const intervalMs = idleTimeoutMs / CHECKS_PER_TIMEOUT;
  return checkPeriodically(ports.clock, intervalMs, isStopped, closeIdle);
  function closeIdle(now: number, wasHeldUp: boolean): void {
    if (wasHeldUp) return;
    for (const channel of channels)
      if (now - channel.lastReceivedAt() > idleTimeoutMs) channel.close();
  }
}
