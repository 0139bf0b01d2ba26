/**
 * How the roles of the consensus protocol reach the voters, as one process of a controller sees them.
 */

import { errorOrValue, Result } from '../../shared/errors/errors';
import { VersionedValue } from '../../shared/state/versions';
import { Voter, VoterSet } from '../../shared/state/voter-set';
import { TimedVoterRequest } from './voter-request';

/** What the consensus roles of one process share: its identity, the voters, and the way to them. */
export interface VoterTransport {
  /** Names this incarnation of this node, and no other: the second part of a ballot, after its epoch. */
  ownerId: string;
  /** The time-out of one request, in ms. */
  timeoutMs: number;
  /** The voter set as it is known here; undefined before the bootstrap. */
  voters: () => VoterSet | undefined;
  /** Sends a request to a voter, which may be this process, and waits for its reply up to `timeoutMs`. */
  request: TimedVoterRequest;
  /** Called for each value that is newly learned here, with the one that it replaces. */
  onLearned: (learned: VersionedValue, previous?: VersionedValue) => void;
  /** Learns a committed value in this process. */
  learnLocally: (committed: VersionedValue) => Promise<unknown>;
}

/** A request's wire type and its body. */
export interface VoterMessage {
  type: string;
  body: object;
}

/**
 * Sends a voter the short form of a request, and the full one where the voter lacks what the short one refers to or does
 * not know its type. Without a short form the full one is sent at once.
 */
export async function requestShortOrFull(
  transport: VoterTransport,
  voter: Voter,
  short: VoterMessage | undefined,
  full: VoterMessage,
): Promise<Result<unknown>> {
  const { timeoutMs } = transport;
  if (!short) return transport.request(voter, full.type, full.body, timeoutMs);
  const reply = await transport.request(voter, short.type, short.body, timeoutMs);
  const [error] = errorOrValue(reply);
  const needsFull = error?.code === 'whole' || error?.code === 'not-known';
  return needsFull ? transport.request(voter, full.type, full.body, timeoutMs) : reply;
}
