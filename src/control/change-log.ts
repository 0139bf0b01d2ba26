import { Log } from '../shared/ports';
import { KEYS, Numbered, Voter, Voters } from '../shared/words';
import { DutyValue } from './term';

/** Writes a line for each change of the voters or of their owner, and of the holder of a duty. */
export function logChange(log: Log, n: Numbered, before: Numbered | undefined): void {
  if (n.key === KEYS.voters) logVoters(log, n, n.value as Voters);
  if (n.key.startsWith(KEYS.duty)) logDuty(log, n, before);
}

function logVoters(log: Log, { epoch, by, number }: Numbered, { now, next }: Voters): void {
  const becomes = next ? ` become ${next.map(atOf).join(' ')}` : '';
  const fields = { step: 'voters', peer: by, epoch, number };
  log.notice(fields, `voters ${now.map(atOf).join(' ')}${becomes}`);
}

function logDuty(log: Log, n: Numbered, before: Numbered | undefined): void {
  const { holder, fence } = n.value as DutyValue;
  if (holder === (before?.value as DutyValue | undefined)?.holder) return;
  const fields = { step: 'duty', peer: holder, epoch: n.epoch, number: n.number, fence };
  log.notice(fields, `${holder} holds ${n.key}`);
}

function atOf(x: Voter): string {
  return x.at;
}
