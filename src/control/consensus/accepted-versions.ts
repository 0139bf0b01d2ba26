/** Reads how far the disks of a majority have a key, without a write. */

import { bad, open, Outcome } from '../../shared/errors/errors';
import { poll } from '../../shared/transport/quorum-poll';
import { comparePlaces, Numbered, Place, Voter, Voters } from '../../shared/state/words';
import { HeldPlace, placeOnly } from './acceptor';

/** Before every place. */
const NO_PLACE: Place = { epoch: 0, by: '', number: 0 };

/** What the disks of a majority hold, and voters that are later than those that were polled. */
export interface PolledPlaces {
  held: Outcome<HeldPlace[]>;
  laterVoters?: Numbered;
}

/** Polls the voters for the place that each holds of a key; `known` are the committed voters that the asker goes by. */
export async function pollHeldPlaces(
  voters: Voters | undefined,
  ask: (v: Voter, type: string, body: unknown) => Promise<Outcome<unknown>>,
  key: string,
  known: Numbered | undefined,
): Promise<PolledPlaces> {
  if (!voters) return { held: bad('read', key, 'not founded', 'refused', 'not-founded') };
  let told: Numbered | undefined;

  async function askOne(v: Voter): Promise<Outcome<HeldPlace>> {
    const body = { key, voters: placeOnly(known) };
    const reply = (await ask(v, 'held-place', body)) as Outcome<HeldPlace>;
    told = open(reply)[1]?.voters ?? told;
    return reply;
  }

  function counts(place: HeldPlace, v: Voter): boolean {
    return place.disk === v.disk && !place.voters;
  }

  const held = await poll(voters, askOne, counts);
  const isLater = told !== undefined && comparePlaces(told, known ?? NO_PLACE) > 0;
  return { held, laterVoters: isLater ? told : undefined };
}

/** Whether any disk has accepted a value that is later than one. */
export function isLaterHeld(held: readonly HeldPlace[], value: Place | undefined): boolean {
  function isLater(place: HeldPlace): boolean {
    if (place.accepted === undefined) return false;
    return value === undefined || comparePlaces(place.accepted, value) > 0;
  }
  return held.some(isLater);
}
