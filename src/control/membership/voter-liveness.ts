import { PeerChannel } from '../../shared/transport/connections';
import { Clock } from '../../shared/ports/clock';
import { allVoters, addressOf, isQuorum, Voter, VoterSet } from '../../shared/state/voter-set';

/** What the view of the voters is made of. */
export interface VoterLivenessDependencies {
  clock: Clock;
  /** This controller's own place among the voters. */
  self: Voter;
  voters: () => VoterSet | undefined;
  /** The connection to a controller, while it is up. */
  channelTo: (at: string) => PeerChannel | undefined;
  /** Whether a disk said that it leaves, and has not come back since a time. */
  announcedLeave: (disk: string, upSince: number | undefined) => boolean;
}

/** How the voters stand, as this controller sees them. */
export interface VoterLiveness {
  isSelf: (x: Voter) => boolean;
  /** Whether a voter is up with its own disk; an emptied one at its address is not that voter. */
  isUp: (x: Voter) => boolean;
  /** Whether a voter's machine is there with another disk, so that its own is gone. */
  hasOtherDisk: (x: Voter) => boolean;
  isLeaving: (x: Voter) => boolean;
  /** The addresses of the voters that are up and stay. */
  liveAddresses: () => string[];
  hasQuorum: () => boolean;
  /** Notes that the connection to a controller has come up. */
  noteUp: (at: string) => void;
  /** Notes that this controller leaves. */
  beginLeave: () => void;
  isSelfLeaving: () => boolean;
  /** Notes the voters that were learned. */
  noteVoters: (v: VoterSet) => void;
  /** For how many ms a joint set has been known here; 0 where none stands. */
  jointForMs: () => number;
}

/** Makes the view of the voters. */
export function makeVoterLiveness(p: VoterLivenessDependencies): VoterLiveness {
  const upSince = new Map<string, number>();
  let isEnding = false;
  let jointSince: number | undefined;

  function isSelf(x: Voter): boolean {
    return x.disk === p.self.disk;
  }

  function isUp(x: Voter): boolean {
    if (isSelf(x)) return true;
    const exchange = p.channelTo(x.at);
    return exchange !== undefined && (exchange.hello?.disk ?? x.disk) === x.disk;
  }

  function isEmptied(x: Voter): boolean {
    const disk = p.channelTo(x.at)?.hello?.disk;
    return disk !== undefined && disk !== x.disk;
  }

  function isLeaving(x: Voter): boolean {
    return isSelf(x) ? isEnding : p.announcedLeave(x.disk, upSince.get(x.at));
  }

  function isHere(x: Voter): boolean {
    return isUp(x) && !isLeaving(x);
  }

  function live(): string[] {
    const v = p.voters();
    return v ? allVoters(v).filter(isHere).map(addressOf) : [];
  }

  function hasMajority(): boolean {
    const v = p.voters();
    return v !== undefined && isQuorum(v, new Set(allVoters(v).filter(isUp).map(diskOf)));
  }

  function noteUp(at: string): void {
    upSince.set(at, p.clock.now());
  }

  function beginLeave(): void {
    isEnding = true;
  }

  function leaving(): boolean {
    return isEnding;
  }

  function noteVoters(v: VoterSet): void {
    jointSince = v.next && (jointSince ?? p.clock.now());
  }

  function jointForMs(): number {
    return jointSince === undefined ? 0 : p.clock.now() - jointSince;
  }

  return {
    isSelf,
    isUp,
    hasOtherDisk: isEmptied,
    isLeaving,
    liveAddresses: live,
    hasQuorum: hasMajority,
    noteUp,
    beginLeave,
    isSelfLeaving: leaving,
    noteVoters,
    jointForMs,
  };
}

function diskOf(x: Voter): string {
  return x.disk;
}
