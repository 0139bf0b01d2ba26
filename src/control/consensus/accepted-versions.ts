/** Reads how far the disks of a majority have a key, without a write. */

import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { pollVoters } from '../../shared/transport/quorum-poll';
import { compareVersions, VersionedValue, Version } from '../../shared/state/versions';
import { Voter, VoterSet } from '../../shared/state/voter-set';
import { AcceptedVersionReply, placeOnly } from './acceptor';

/** Before every place. */
const NO_PLACE: Version = { epoch: 0, by: '', number: 0 };

/** What the disks of a majority hold, and voters that are later than those that were polled. */
export interface PolledVersions {
  accepted: Result<AcceptedVersionReply[]>;
  newerVoterSet?: VersionedValue;
}

/** Polls the voters for the place that each holds of a key; `known` are the committed voters that the asker goes by. */
export async function pollAcceptedVersions(
  voters: VoterSet | undefined,
  ask: (v: Voter, type: string, body: unknown) => Promise<Result<unknown>>,
  key: string,
  known: VersionedValue | undefined,
): Promise<PolledVersions> {
  if (!voters) return { accepted: failure('read', key, 'not founded', 'refused', 'not-founded') };
  let told: VersionedValue | undefined;

  async function askOne(v: Voter): Promise<Result<AcceptedVersionReply>> {
    const body = { key, voters: placeOnly(known) };
    const reply = (await ask(v, 'held-place', body)) as Result<AcceptedVersionReply>;
    told = errorOrValue(reply)[1]?.voters ?? told;
    return reply;
  }

  function counts(place: AcceptedVersionReply, v: Voter): boolean {
    return place.disk === v.disk && !place.voters;
  }

  const held = await pollVoters(voters, askOne, counts);
  const isLater = told !== undefined && compareVersions(told, known ?? NO_PLACE) > 0;
  return { accepted: held, newerVoterSet: isLater ? told : undefined };
}

/** Whether any disk has accepted a value that is later than one. */
export function hasNewerAccepted(
  held: readonly AcceptedVersionReply[],
  value: Version | undefined,
): boolean {
  function isLater(place: AcceptedVersionReply): boolean {
    if (place.accepted === undefined) return false;
    return value === undefined || compareVersions(place.accepted, value) > 0;
  }
  return held.some(isLater);
}
