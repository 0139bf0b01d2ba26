import { Clock, Log } from '../shared/ports/ports';
import { KEYS, Numbered, Voter, Voters } from '../shared/state/words';
import { DutyValue } from './singletons/singleton-lease';

/** How much of a disk's identity is logged. */
const DISK_CHARACTERS = 8;

/** Writes a line for each change of the voters or of their owner, and of the holder of a duty. */
export function logChange(log: Log, n: Numbered, before: Numbered | undefined): void {
  if (n.key === KEYS.voters) logVoters(log, n, n.value as Voters);
  if (n.key.startsWith(KEYS.duty)) logDuty(log, n, before);
}

function logVoters(log: Log, { epoch, by, number }: Numbered, { now, next }: Voters): void {
  const becomes = next ? ` become ${next.map(textOf).join(' ')}` : '';
  const fields = { step: 'voters', peer: by, epoch, number };
  log.notice(fields, `voters ${now.map(textOf).join(' ')}${becomes}`);
}

function logDuty(log: Log, n: Numbered, before: Numbered | undefined): void {
  const { holder, fence } = n.value as DutyValue;
  if (holder === (before?.value as DutyValue | undefined)?.holder) return;
  const fields = { step: 'duty', peer: holder, epoch: n.epoch, number: n.number, fence };
  log.notice(fields, `${holder} holds ${n.key}`);
}

/** A voter by its address and the beginning of its disk's identity, so that an emptied disk shows. */
function textOf(x: Voter): string {
  return `${x.at}/${x.disk.slice(0, DISK_CHARACTERS)}`;
}

/** Makes a function that is told whether a majority is up, and logs when that changes, and after how long. */
export function makeMajorityLog(log: Log, clock: Clock, self: string): (isUp: boolean) => void {
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
