/**
 * What an indexer that starts takes over from another replica.
 */

import { errorOrValue } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { ConnectionPool } from '../shared/transport/connection-pool';
import { PeerChannel } from '../shared/transport/peer-channel';
import { CompactDump } from './index-handlers';

/** How often it is checked whether a peer is connected, as a share of the usual pause. */
const CHECK_RATIO = 0.25;

/** The dump of the first peer that answers and is ready itself; undefined where there is none. */
export async function requestPeerDump(
  ports: Ports,
  timeLimits: TimeLimits,
  peers: ConnectionPool,
): Promise<CompactDump | undefined> {
  for (const peer of await waitForPeers(ports, timeLimits, peers)) {
    const reply = await peer.request('dump-rows', {}, timeLimits.requestTimeoutMs);
    const [error, dump] = errorOrValue(reply);
    if (!error && (dump as CompactDump).open) return dump as CompactDump;
  }
  return undefined;
}

function channelsOf(peers: ConnectionPool): PeerChannel[] {
  const channels: PeerChannel[] = [];
  for (const address of peers.peerAddresses()) {
    const channel = peers.channelTo(address);
    if (channel) channels.push(channel);
  }
  return channels;
}

/** Waits for the first connection to a peer, no longer than connecting may take. */
async function waitForPeers(
  { clock }: Ports,
  timeLimits: TimeLimits,
  peers: ConnectionPool,
): Promise<PeerChannel[]> {
  const deadline = clock.now() + timeLimits.connectTimeoutMs;
  for (;;) {
    const channels = channelsOf(peers);
    if (channels.length > 0 || clock.now() >= deadline) return channels;
    await clock.sleep(timeLimits.retryPauseMs * CHECK_RATIO);
  }
}
