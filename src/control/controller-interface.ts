/**
 * The interface of a running controller, as its background tasks, its HTTP interfaces and reconfigurations use it.
 */

import { Hello } from '../shared/transport/hello';
import { Result } from '../shared/errors/errors';
import { Metrics } from '../shared/observability/metrics';
import { TimeLimits } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { Waker } from '../shared/concurrency/waker';
import { VersionedValue, Version } from '../shared/state/versions';
import { VoterSet } from '../shared/state/voter-set';
import { ChangeResult } from './configuration/change-coordinator';
import { LeaseRegistry } from './leases/lease-registry';
import { VoterLiveness } from './membership/voter-liveness';
import { Operation } from './configuration/operations';
import { TimedVoterRequest } from './consensus/voter-request';
import { KeyOwner } from './consensus/key-owner';
import { MembershipRequests } from './membership/membership-requests';
import { ControlStore } from './storage/control-store';
import { IdempotencyVotes } from './storage/idempotency-votes';
import { Tallies } from './tallies/tallies';
import { WarmUpPermits } from './warm-up/warm-up-permits';

/** The part of the liveness view of the voters that the rest of a controller goes by. */
type LivenessView = Pick<
  VoterLiveness,
  | 'liveAddresses'
  | 'isUp'
  | 'hasOtherDisk'
  | 'isLeaving'
  | 'zoneOf'
  | 'hasQuorum'
  | 'isSelfLeaving'
  | 'jointForMs'
>;

/** A committed value of a control key with its version; `place` is the version. */
export interface CommittedValue<T> {
  place: VersionedValue;
  value: T;
}

/** A running controller. Its functions may be passed on by themselves: none depends on how it is called. */
export interface Controller extends LivenessView {
  /** The node's name in the settings. */
  name: string;
  /** The id under which this incarnation proposes: the name with a random suffix. */
  ownerId: string;
  hello: Hello;
  settings: Settings;
  timeLimits: TimeLimits;
  store: ControlStore;
  leases: LeaseRegistry;
  permits: WarmUpPermits;
  votes: IdempotencyVotes;
  /** The zones that are found to be cut off from this controller. */
  cutOffZones: () => string[];
  /** Where a platform's dialect is spoken: only its applications keep tallies. */
  tallies?: Tallies;
  keyOwner: KeyOwner;
  membershipRequests: MembershipRequests;
  /** Makes a waker that wakes when a peer has connected or disconnected, or the voter set has changed. */
  addWaker: () => Waker;
  metrics: Metrics;
  /** The objects that handle messages of peers; see `dispatch`. */
  handlers: object[];
  /** The voter set as learned here, or that of the bootstrap; undefined before one is known. */
  voters: () => VoterSet | undefined;
  /** Whether this node is the one that should own a key, by rendezvous hashing over the live voters. */
  isPreferredOwner: (key: string) => boolean;
  /** Has a change committed, and waits until it is in effect where the settings ask for that. */
  change: (op: Operation) => Promise<Result<ChangeResult>>;
  /** Has a key's owner commit its value again, under a new version. */
  recommit: (key: string) => Promise<Result<unknown>>;
  /** Bootstraps a blank cluster without the founders at these addresses. */
  bootstrap: (absent: readonly string[]) => Promise<Result<VoterSet>>;
  /** Whether a version is in effect at every router with a live lease, waiting at most `timeoutMs`. */
  awaitEffect: (key: string, version: Version, timeoutMs: number) => Promise<boolean>;
  /** What was learned here as committed of a key; it may be older than what a quorum holds. */
  committedValue: <T>(key: string) => CommittedValue<T> | undefined;
  /** The committed value of a key, never older than what was acknowledged before the call. */
  readLinearizable: (key: string) => Promise<Result<VersionedValue | undefined>>;
  /** Whether the newest value of a key was learned as it was committed, and not by catching up. */
  wasLearnedLive: (key: string) => boolean;
  /** Sends a request to a voter, which may be this node. */
  requestVoter: TimedVoterRequest;
  /** Leaves the voter set gracefully; resolves when this controller may stop. */
  drain: () => Promise<unknown>;
  /** Closes connections and ends the loops. */
  stop: () => Promise<void>;
  isStopped: () => boolean;
}
