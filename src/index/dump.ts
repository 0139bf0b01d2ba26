/**
 * What an indexer that starts takes over from another replica.
 */

import { TimeLimits } from '../shared/settings/time-limits';
import { PeerChannel, ConnectionPool } from '../shared/transport/connections';
import { errorOrValue } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { CompactDump } from './messages';

/** How often it is looked whether a peer is connected, as a share of the usual pause. */
const LOOK_SHARE = 0.25;

/** The dump of the first peer that is reached and has joined itself; undefined where there is none. */
export async function dumpOfPeer(
  ports: Ports,
  bounds: TimeLimits,
  peers: ConnectionPool,
): Promise<CompactDump | undefined> {
  for (const p of await connectedPeers(ports, bounds, peers)) {
    const [f, d] = errorOrValue(await p.request('dump-rows', {}, bounds.requestTimeoutMs));
    if (!f && (d as CompactDump).open) return d as CompactDump;
  }
  return undefined;
}

/** Waits for the first connection to a peer, no longer than dialling takes. */
async function connectedPeers(
  ports: Ports,
  bounds: TimeLimits,
  peers: ConnectionPool,
): Promise<PeerChannel[]> {
  const until = ports.clock.now() + bounds.connectTimeoutMs;
  for (;;) {
    const out: PeerChannel[] = [];
    for (const at of peers.peerAddresses()) if (peers.channelTo(at)) out.push(peers.channelTo(at)!);
    if (out.length > 0 || ports.clock.now() >= until) return out;
    await ports.clock.sleep(bounds.retryPauseMs * LOOK_SHARE);
  }
}
