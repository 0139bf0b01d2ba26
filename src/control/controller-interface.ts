import { Hello } from '../shared/transport/connections';
import { Result } from '../shared/errors/errors';
import { Metrics } from '../shared/observability/metrics';
import { TimeLimits } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { Waker } from '../shared/concurrency/waker';
import { VersionedValue, Version } from '../shared/state/versions';
import { Voter, VoterSet } from '../shared/state/voter-set';
import { ChangeResult } from './configuration/change-coordinator';
import { LeaseRegistry } from './leases/lease-registry';
import { VoterLiveness } from './membership/voter-liveness';
import { Operation } from './configuration/operations';
import { KeyOwner } from './consensus/key-owner';
import { MembershipRequests } from './membership/membership-requests';
import { ControlStore } from './storage/control-store';
import { IdempotencyVotes } from './storage/idempotency-votes';

/** The part of the view of the voters that the rest of a controller goes by. */
type View = Pick<
  VoterLiveness,
  | 'liveAddresses'
  | 'isUp'
  | 'hasOtherDisk'
  | 'isLeaving'
  | 'hasQuorum'
  | 'isSelfLeaving'
  | 'jointForMs'
>;

/** A running controller. */
export interface Controller extends View {
  name: string;
  ownerId: string;
  hello: Hello;
  settings: Settings;
  timeLimits: TimeLimits;
  store: ControlStore;
  leases: LeaseRegistry;
  votes: IdempotencyVotes;
  keyOwner: KeyOwner;
  membershipRequests: MembershipRequests;
  /** Makes a waker that wakes when a peer has come or gone, or the voters have changed. */
  addWaker: () => Waker;
  metrics: Metrics;
  handlers: object[];
  voters: () => VoterSet | undefined;
  isPreferredOwner: (key: string) => boolean;
  change: (op: Operation) => Promise<Result<ChangeResult>>;
  /** Has a key's owner commit its value anew. */
  recommit: (key: string) => Promise<Result<unknown>>;
  bootstrap: (without: string[]) => Promise<Result<VoterSet>>;
  awaitEffect: (key: string, p: Version, within: number) => Promise<boolean>;
  committedValue: <T>(key: string) => { place: VersionedValue; value: T } | undefined;
  /** What is committed of a key, never older than what was acknowledged before the call. */
  readLinearizable: (key: string) => Promise<Result<VersionedValue | undefined>>;
  wasLearnedLive: (key: string) => boolean;
  requestVoter: (v: Voter, type: string, body: unknown, within: number) => Promise<Result<unknown>>;
  /** Leaves the voters; comes back when this controller may end. */
  drain: () => Promise<unknown>;
  stop: () => Promise<void>;
  isStopped: () => boolean;
}
