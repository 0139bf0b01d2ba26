/**
 * The liveness view of the voters: which are up with their own disks, which leave, and whether a quorum is up.
 */

import { PeerChannel } from '../../shared/transport/peer-channel';
import { bindMethods } from '../bind-methods';
import { Clock } from '../../shared/ports/clock';
import { allVoters, addressOf, isQuorum, Voter, VoterSet } from '../../shared/state/voter-set';

/** What the liveness view is made of. */
export interface VoterLivenessDependencies {
  clock: Clock;
  /** This controller as a voter. */
  self: Voter;
  /** The zone of this controller's machine. */
  zone: string;
  voters: () => VoterSet | undefined;
  /** The connection to a controller, while it is up. */
  channelTo: (address: string) => PeerChannel | undefined;
  /** Whether a disk announced that it leaves, and has not come back since; `upSince` is in ms of the clock port. */
  announcedLeave: (disk: string, upSince: number | undefined) => boolean;
}

/** How the voters are, as this controller sees them. */
export interface VoterLiveness {
  isSelf: (voter: Voter) => boolean;
  /** Whether a voter is up with its own disk; an emptied machine at its address is not that voter. */
  isUp: (voter: Voter) => boolean;
  /** Whether a voter's machine is there with another disk, so that its own is gone. */
  hasOtherDisk: (voter: Voter) => boolean;
  isLeaving: (voter: Voter) => boolean;
  /** The zone of a voter's machine, as it was last told by a connection; undefined before one was up. */
  zoneOf: (voter: Voter) => string | undefined;
  /** The addresses of the voters that are up and don't leave. */
  liveAddresses: () => string[];
  hasQuorum: () => boolean;
  /** Notes that the connection to a controller has come up. */
  noteUp: (address: string) => void;
  /** Notes that this controller leaves. */
  beginLeave: () => void;
  isSelfLeaving: () => boolean;
  /** Notes the voter set that was learned. */
  noteVoters: (voters: VoterSet) => void;
  /** For how many ms a joint set has been known here; 0 where none is in force. */
  jointForMs: () => number;
}

/** The liveness view of one controller; its methods are bound, since they are passed on as functions. */
export class VoterLivenessView implements VoterLiveness {
  /** By address, in ms of the clock port. */
  private readonly upSince = new Map<string, number>();
  /** By address. */
  private readonly zones = new Map<string, string>();
  private isEnding = false;
  private jointSince: number | undefined;

  constructor(private readonly dependencies: VoterLivenessDependencies) {
    bindMethods(this);
  }

  isSelf(voter: Voter): boolean {
    return voter.disk === this.dependencies.self.disk;
  }

  isUp(voter: Voter): boolean {
    if (this.isSelf(voter)) return true;
    const channel = this.dependencies.channelTo(voter.at);
    return channel !== undefined && (channel.hello?.disk ?? voter.disk) === voter.disk;
  }

  hasOtherDisk(voter: Voter): boolean {
    const disk = this.dependencies.channelTo(voter.at)?.hello?.disk;
    return disk !== undefined && disk !== voter.disk;
  }

  isLeaving(voter: Voter): boolean {
    if (this.isSelf(voter)) return this.isEnding;
    return this.dependencies.announcedLeave(voter.disk, this.upSince.get(voter.at));
  }

  zoneOf(voter: Voter): string | undefined {
    if (this.isSelf(voter)) return this.dependencies.zone;
    return this.zones.get(voter.at);
  }

  liveAddresses(): string[] {
    const voters = this.dependencies.voters();
    return voters ? allVoters(voters).filter(this.isLive.bind(this)).map(addressOf) : [];
  }

  hasQuorum(): boolean {
    const voters = this.dependencies.voters();
    if (!voters) return false;
    return isQuorum(voters, new Set(allVoters(voters).filter(this.isUp.bind(this)).map(diskOf)));
  }

  noteUp(address: string): void {
    this.upSince.set(address, this.dependencies.clock.now());
    const zone = this.dependencies.channelTo(address)?.hello?.zone;
    if (zone !== undefined) this.zones.set(address, zone);
  }

  beginLeave(): void {
    this.isEnding = true;
  }

  isSelfLeaving(): boolean {
    return this.isEnding;
  }

  noteVoters(voters: VoterSet): void {
    this.jointSince = voters.next && (this.jointSince ?? this.dependencies.clock.now());
  }

  jointForMs(): number {
    return this.jointSince === undefined ? 0 : this.dependencies.clock.now() - this.jointSince;
  }

  private isLive(voter: Voter): boolean {
    return this.isUp(voter) && !this.isLeaving(voter);
  }
}

function diskOf(voter: Voter): string {
  return voter.disk;
}
