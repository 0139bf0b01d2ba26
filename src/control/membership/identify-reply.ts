/**
 * The reply to the message `who`: which disk a controller has, and what it knows of the voter set.
 */

import { VersionedValue } from '../../shared/state/versions';
import { VoterSet } from '../../shared/state/voter-set';

/** How a controller identifies itself. The field names are sent. */
export interface IdentifyReply {
  disk: string;
  /** Whether the disk belongs to no cluster, and is not one that lost its data. */
  blank: boolean;
  /** Whether the controller was started with leave to bootstrap a cluster. */
  mayFound: boolean;
  voters?: VoterSet;
  /** The committed voter set with its version. */
  stands?: VersionedValue;
  /** The addresses of the voters. */
  core: string[];
}
