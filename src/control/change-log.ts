/**
 * Log lines of what a controller learns: changes of the voter set, of singleton roles, of evacuations, and of the quorum.
 */

import { Clock } from '../shared/ports/clock';
import { Logger } from '../shared/ports/logger';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { EvacuationsValue } from '../shared/state/evacuations';
import { VersionedValue } from '../shared/state/versions';
import { Voter, VoterSet } from '../shared/state/voter-set';
import { SingletonHolder } from './configuration/singleton-holder';

/** How many characters of a disk's id are logged. */
const LOGGED_DISK_CHARACTERS = 8;

/** Logs a change of the voter set or of its owner, of the holder of a singleton role, and of the evacuated zones; other keys are passed over. */
export function logChange(
  logger: Logger,
  learned: VersionedValue,
  before: VersionedValue | undefined,
): void {
  if (learned.key === CONTROL_KEYS.voters) logVoterSet(logger, learned);
  if (learned.key.startsWith(CONTROL_KEYS.duty)) logSingletonHolder(logger, learned, before);
  if (learned.key === CONTROL_KEYS.evacuations) logEvacuations(logger, learned, before);
}

function logVoterSet(logger: Logger, { epoch, by, number, value }: VersionedValue): void {
  const { now, next } = value as VoterSet;
  const becomes = next ? ` become ${next.map(describeVoter).join(' ')}` : '';
  const fields = { event: 'voters.set-learned', peer: by, epoch, number };
  logger.notice(fields, `voters ${now.map(describeVoter).join(' ')}${becomes}`);
}

function logSingletonHolder(
  logger: Logger,
  learned: VersionedValue,
  before: VersionedValue | undefined,
): void {
  const { key, epoch, number } = learned;
  const { holder, fence } = learned.value as SingletonHolder;
  if (holder === (before?.value as SingletonHolder | undefined)?.holder) return;
  const fields = { event: 'singleton.holder-changed', peer: holder, epoch, number, fence };
  logger.notice(fields, `${holder} holds ${key}`);
}

function logEvacuations(
  logger: Logger,
  learned: VersionedValue,
  before: VersionedValue | undefined,
): void {
  const { by, epoch, number, value } = learned;
  if (number === before?.number) return;
  const { zones } = value as EvacuationsValue;
  const fields = { event: 'evacuations.changed', peer: by, epoch, number };
  const text = zones.length > 0 ? `evacuated: ${zones.join(' ')}` : 'no zone is evacuated';
  logger.notice(fields, text);
}

/** A voter by its address and the beginning of its disk's id, so that an emptied disk shows. */
function describeVoter(voter: Voter): string {
  return `${voter.at}/${voter.disk.slice(0, LOGGED_DISK_CHARACTERS)}`;
}

/** Makes a function that notes whether a quorum is up, and logs each change with the ms since the last one. */
export function makeQuorumLog(
  logger: Logger,
  clock: Clock,
  ownAddress: string,
): (hasQuorum: boolean) => void {
  let hadQuorum: boolean | undefined;
  let since = clock.now();
  function note(hasQuorum: boolean): void {
    if (hasQuorum === hadQuorum) return;
    const now = clock.now();
    const event = hasQuorum ? 'quorum.gained' : 'quorum.lost';
    const fields = { event, peer: ownAddress, tookMs: Math.round(now - since) };
    logger.notice(fields, hasQuorum ? 'a quorum of the voters is up' : 'no quorum is up');
    hadQuorum = hasQuorum;
    since = now;
  }
  return note;
}
