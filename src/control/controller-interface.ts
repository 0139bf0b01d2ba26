import { Hello } from '../shared/transport/connections';
import { Outcome } from '../shared/errors/errors';
import { Metrics } from '../shared/observability/metrics';
import { Bounds } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { Waker } from '../shared/concurrency/waker';
import { Numbered, Place, Voter, Voters } from '../shared/state/words';
import { Changed } from './configuration/change-coordinator';
import { Leases } from './leases/lease-registry';
import { Membership } from './membership/voter-liveness';
import { Operation } from './configuration/operations';
import { Owner } from './consensus/key-owner';
import { RosterEdge } from './membership/voter-set-controller';
import { Slots } from './storage/control-store';
import { Votes } from './storage/idempotency-votes';

/** The part of the view of the voters that the rest of a controller goes by. */
type View = Pick<
  Membership,
  'live' | 'isUp' | 'isEmptied' | 'isLeaving' | 'hasMajority' | 'leaving' | 'jointForMs'
>;

/** A running controller. */
export interface Controller extends View {
  name: string;
  by: string;
  hello: Hello;
  settings: Settings;
  bounds: Bounds;
  slots: Slots;
  leases: Leases;
  votes: Votes;
  owner: Owner;
  roster: RosterEdge;
  /** Makes a waker that wakes when a peer has come or gone, or the voters have changed. */
  addWaker(): Waker;
  metrics: Metrics;
  edges: object[];
  voters(): Voters | undefined;
  chosen(key: string): boolean;
  change(op: Operation): Promise<Outcome<Changed>>;
  /** Has a key's owner commit its value anew. */
  settle(key: string): Promise<Outcome<unknown>>;
  found(without: string[]): Promise<Outcome<Voters>>;
  effect(key: string, p: Place, within: number): Promise<boolean>;
  value<T>(key: string): { place: Numbered; value: T } | undefined;
  /** What is committed of a key, never older than what was acknowledged before the call. */
  newest(key: string): Promise<Outcome<Numbered | undefined>>;
  heardLive(key: string): boolean;
  askVoter(v: Voter, type: string, body: unknown, within: number): Promise<Outcome<unknown>>;
  /** Leaves the voters; comes back when this controller may end. */
  leave(): Promise<unknown>;
  stop(): Promise<void>;
  stopped(): boolean;
}
