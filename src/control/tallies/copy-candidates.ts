/**
 * The controllers that are to hold copies of additions: all that are known, reachable or not, but those whose zone is
 * cut off and those of an earlier release. That one can't be reached does not tell that it is gone with its disk.
 */

import { Ports } from '../../shared/ports/ports';
import { PeerChannel } from '../../shared/transport/peer-channel';
import { CopyHolder, outlastsLosses, ToleratedLosses } from './survivability';

/** What the candidates follow from. */
export interface CopyCandidatesDependencies {
  ports: Ports;
  self: CopyHolder;
  losses: ToleratedLosses;
  /** The connections to other controllers that are up. */
  channels: () => PeerChannel[];
  /** The other voters, connected or not. */
  otherVoters: () => CopyHolder[];
  /** Whether there is evidence that a zone is cut off from this controller. */
  isCutOff: (zone: string) => boolean;
  /** How long a peer whose connection has ended is waited for, in ms: it may be back at once. */
  reconnectMs: number;
}

/** Tells which controllers an addition needs copies from, and whether enough of them are connected. */
export class CopyCandidates {
  /** Connections to peers of an earlier release, which knows no tallies. */
  private readonly channelsWithoutTallies = new WeakSet<PeerChannel>();
  /** Calls that wait for a change of the candidates or of their connections. */
  private readonly changeWaits = new Set<() => void>();
  /** Since when too few are connected, in ms of the clock port; undefined where enough are. */
  private shortSince?: number;

  constructor(private readonly dependencies: CopyCandidatesDependencies) {}

  /** The connections to other controllers that are not known to lack tallies. */
  peers(): PeerChannel[] {
    return this.dependencies.channels().filter(this.mayKnowTallies.bind(this));
  }

  /** Notes that the peer of a connection knows no tallies. */
  noteWithoutTallies(channel: PeerChannel): void {
    this.channelsWithoutTallies.add(channel);
    this.noteChange();
  }

  /** The controllers that are to hold copies, this one included. */
  all(): CopyHolder[] {
    const { self, channels, otherVoters, isCutOff } = this.dependencies;
    const candidates = new Map<string, CopyHolder>([[self.address, self]]);
    for (const voter of otherVoters())
      if (!isCutOff(voter.zone)) candidates.set(voter.address, voter);
    for (const channel of channels()) {
      const holder = holderOf(channel);
      if (this.mayKnowTallies(channel)) candidates.set(holder.address, holder);
      else candidates.delete(holder.address);
    }
    return [...candidates.values()];
  }

  /** Whether enough are connected now. */
  areEnoughConnected(): boolean {
    const { ports, self, losses } = this.dependencies;
    const connected = [self, ...this.peers().map(holderOf)];
    const areEnough = outlastsLosses(connected, this.all(), losses);
    this.shortSince = areEnough ? undefined : (this.shortSince ?? ports.clock.now());
    return areEnough;
  }

  /** Waits until enough are connected; false where they are not within `reconnectMs` of when they ceased to be. */
  async awaitEnough(): Promise<boolean> {
    const { clock } = this.dependencies.ports;
    while (!this.areEnoughConnected()) {
      const leftMs = this.shortSince! + this.dependencies.reconnectMs - clock.now();
      if (leftMs <= 0) return false;
      await this.awaitChange(leftMs);
    }
    return true;
  }

  /** Notes that a connection has come up or ended, or that a zone is cut off or reached again. */
  noteChange(): void {
    this.areEnoughConnected();
    for (const resolve of [...this.changeWaits]) resolve();
  }

  private awaitChange(timeoutMs: number): Promise<void> {
    const { clock } = this.dependencies.ports;
    const { changeWaits } = this;
    return new Promise(wait);
    function wait(resolve: () => void): void {
      const cancelTimer = clock.setTimer(timeoutMs, onEnd);
      changeWaits.add(onEnd);
      function onEnd(): void {
        cancelTimer();
        changeWaits.delete(onEnd);
        resolve();
      }
    }
  }

  private mayKnowTallies(channel: PeerChannel): boolean {
    return !this.channelsWithoutTallies.has(channel);
  }
}

/** The controller that a connection leads to, as a holder of copies. */
export function holderOf({ peer, hello }: PeerChannel): CopyHolder {
  return { address: peer, zone: hello?.zone ?? '' };
}
