import { Hello } from '../shared/connections';
import { Outcome } from '../shared/errors';
import { Metrics } from '../shared/metrics';
import { Bounds } from '../shared/bounds';
import { Settings } from '../shared/settings';
import { Waker } from '../shared/waker';
import { Numbered, Place, Voter, Voters } from '../shared/words';
import { Changed } from './changes';
import { Leases } from './leases';
import { Membership } from './membership';
import { Operation } from './operations';
import { Owner } from './register';
import { RosterEdge } from './roster';
import { Slots } from './slots';
import { Votes } from './votes';

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
