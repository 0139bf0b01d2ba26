/**
 * Connections that are kept up to a set of peers that changes.
 */

import { Ports } from '../ports/ports';
import {
  ConnectionOptions,
  maintainConnection,
  MaintainedConnection,
} from './maintained-connection';
import { PeerChannel } from './peer-channel';

/** Connections that are kept up to a set of peers. */
export interface ConnectionPool {
  /** Connects to peers that are new in the set, and closes the connections to those that are no longer in it. */
  setPeers: (addresses: Iterable<string>) => void;
  /** The channel to a peer while its connection is up. */
  channelTo: (address: string) => PeerChannel | undefined;
  /** The addresses of the set, connected or not. */
  peerAddresses: () => string[];
  /** The channels of all connections that are up. */
  openChannels: () => PeerChannel[];
  /** Closes all connections; later sets are ignored. */
  stop: () => void;
}

/** Makes a pool without peers. */
export function makeConnectionPool(ports: Ports, options: ConnectionOptions): ConnectionPool {
  const connections = new Map<string, MaintainedConnection>();
  let isStopped = false;

  function setPeers(addresses: Iterable<string>): void {
    if (isStopped) return;
    const wanted = new Set(addresses);
    for (const [address, connection] of connections) {
      if (wanted.has(address)) continue;
      connection.stop();
      connections.delete(address);
    }
    for (const address of wanted) {
      if (connections.has(address)) continue;
      connections.set(address, maintainConnection(ports, address, options));
    }
  }

  function channelTo(address: string): PeerChannel | undefined {
    return connections.get(address)?.channel();
  }

  function peerAddresses(): string[] {
    return [...connections.keys()];
  }

  function openChannels(): PeerChannel[] {
    const open: PeerChannel[] = [];
    for (const connection of connections.values()) {
      const channel = connection.channel();
      if (channel) open.push(channel);
    }
    return open;
  }

  function stop(): void {
    isStopped = true;
    for (const connection of connections.values()) connection.stop();
  }

  return { setPeers, channelTo, peerAddresses, openChannels, stop };
}
