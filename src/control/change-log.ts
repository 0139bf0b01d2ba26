import { Clock } from '../shared/ports/clock';
import { Logger } from '../shared/ports/logger';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { VersionedValue } from '../shared/state/versions';
import { Voter, VoterSet } from '../shared/state/voter-set';
import { SingletonHolder } from './configuration/singleton-holder';

/** How much of a disk's identity is logged. */
const DISK_CHARACTERS = 8;

/** Writes a line for each change of the voters or of their owner, and of the holder of a duty. */
export function logChange(
  log: Logger,
  n: VersionedValue,
  before: VersionedValue | undefined,
): void {
  if (n.key === CONTROL_KEYS.voters) logVoters(log, n, n.value as VoterSet);
  if (n.key.startsWith(CONTROL_KEYS.duty)) logDuty(log, n, before);
}

function logVoters(
  log: Logger,
  { epoch, by, number }: VersionedValue,
  { now, next }: VoterSet,
): void {
  const becomes = next ? ` become ${next.map(textOf).join(' ')}` : '';
  const fields = { step: 'voters', peer: by, epoch, number };
  log.notice(fields, `voters ${now.map(textOf).join(' ')}${becomes}`);
}

function logDuty(log: Logger, n: VersionedValue, before: VersionedValue | undefined): void {
  const { holder, fence } = n.value as SingletonHolder;
  if (holder === (before?.value as SingletonHolder | undefined)?.holder) return;
  const fields = { step: 'duty', peer: holder, epoch: n.epoch, number: n.number, fence };
  log.notice(fields, `${holder} holds ${n.key}`);
}

/** A voter by its address and the beginning of its disk's identity, so that an emptied disk shows. */
function textOf(x: Voter): string {
  return `${x.at}/${x.disk.slice(0, DISK_CHARACTERS)}`;
}

/** Makes a function that is told whether a majority is up, and logs when that changes, and after how long. */
export function makeQuorumLog(log: Logger, clock: Clock, self: string): (isUp: boolean) => void {
  let was: boolean | undefined;
  let since = clock.now();
  function note(isUp: boolean): void {
    if (isUp === was) return;
    const tookMs = Math.round(clock.now() - since);
    log.notice({ step: 'majority', peer: self, tookMs }, isUp ? 'a majority is up' : 'no majority');
    was = isUp;
    since = clock.now();
  }
  return note;
}
