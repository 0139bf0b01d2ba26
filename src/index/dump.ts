/**
 * What an indexer that starts takes over from another replica.
 */

import { Bounds } from '../shared/settings/time-limits';
import { Exchange, Holds } from '../shared/transport/connections';
import { open } from '../shared/errors/errors';
import { Ports } from '../shared/ports/ports';
import { CompactDump } from './messages';

/** How often it is looked whether a peer is connected, as a share of the usual pause. */
const LOOK_SHARE = 0.25;

/** The dump of the first peer that is reached and has joined itself; undefined where there is none. */
export async function dumpOfPeer(
  ports: Ports,
  bounds: Bounds,
  peers: Holds,
): Promise<CompactDump | undefined> {
  for (const p of await connectedPeers(ports, bounds, peers)) {
    const [f, d] = open(await p.ask('dump-rows', {}, bounds.ask));
    if (!f && (d as CompactDump).open) return d as CompactDump;
  }
  return undefined;
}

/** Waits for the first connection to a peer, no longer than dialling takes. */
async function connectedPeers(ports: Ports, bounds: Bounds, peers: Holds): Promise<Exchange[]> {
  const until = ports.clock.now() + bounds.dial;
  for (;;) {
    const out: Exchange[] = [];
    for (const at of peers.ats()) if (peers.up(at)) out.push(peers.up(at)!);
    if (out.length > 0 || ports.clock.now() >= until) return out;
    await ports.clock.sleep(bounds.pause * LOOK_SHARE);
  }
}
