/** Judges what reads of tallies show: TWICE, STALE, LOST. */

import { Say } from './answers';
import { AddCall, TallyAdd, TallyRead } from './apart-records';
import { Trouble } from './book';
import { Lookup } from './touch';

/** Judges all tallies of a day. */
export function judgeTallies(l: Lookup, say: Say): void {
  const byTally = addsByTally(l);
  for (const read of l.book.tallyReads) {
    const adds = byTally.get(read.tally) ?? [];
    judgeRead(l, read, adds, say);
  }
  judgeEnds(l, byTally, say);
}

function addsByTally(l: Lookup): Map<string, TallyAdd[]> {
  const out = new Map<string, TallyAdd[]>();
  for (const add of l.book.adds.values()) out.set(add.tally, [...(out.get(add.tally) ?? []), add]);
  return out;
}

function sumOf(adds: readonly TallyAdd[]): number {
  let sum = 0;
  for (const { actor } of adds) sum += actor;
  return sum;
}

function judgeRead(l: Lookup, read: TallyRead, adds: readonly TallyAdd[], say: Say): void {
  judgeMost(read.tally, read.total, read.endedAt, adds, say);
  const owed = sumOf(adds.filter(isOwed));
  if (read.total < owed)
    say('STALE', `${read.tally}: ${read.total} read at ${read.node}, ${owed} were acknowledged`);
  function isOwed(add: TallyAdd): boolean {
    return add.calls.some(isKnownThere) || isMerged(l, read, add);
  }
  function isKnownThere({ node, life, ackAt }: AddCall): boolean {
    return node === read.node && life === read.life && (ackAt ?? Infinity) < read.sentAt;
  }
}

/** No read shows more than all that could have counted by its end. */
function judgeMost(
  tally: string,
  total: number,
  at: number,
  adds: readonly TallyAdd[],
  say: Say,
): void {
  const most = sumOf(adds.filter(mayCount));
  if (total > most) say('TWICE', `${tally}: ${total} read, at most ${most} could have counted`);
  function mayCount({ calls }: TallyAdd): boolean {
    return calls.some(mayHaveRun);
  }
  function mayHaveRun({ outcome, sentAt }: AddCall): boolean {
    return outcome !== 'refused' && sentAt <= at;
  }
}

/** Whether an add had been acknowledged anywhere for `mergeMs` without trouble as a read was sent. */
function isMerged(l: Lookup, read: TallyRead, { calls }: TallyAdd): boolean {
  const since = read.sentAt - l.bounds.mergeMs;
  if (l.troubled(['core', 'links', read.node], since, read.endedAt)) return false;
  return calls.some(isEarlier);
  function isEarlier({ ackAt }: AddCall): boolean {
    return ackAt !== undefined && ackAt <= since;
  }
}

function judgeEnds(l: Lookup, byTally: Map<string, TallyAdd[]>, say: Say): void {
  for (const { tally, total, at } of l.book.tallyEnds) {
    const adds = byTally.get(tally) ?? [];
    if (total === undefined) {
      say('LOST', `${tally}: at the end it could not be read in time`);
      continue;
    }
    judgeMost(tally, total, at, adds, say);
    const owed = sumOf(adds.filter(isOwed));
    if (total < owed) say('LOST', `${tally}: ${total} at the end, ${owed} are owed`);
    function isOwed({ calls }: TallyAdd): boolean {
      return calls.some(isOwedCall);
    }
    function isOwedCall(call: AddCall): boolean {
      return (call.ackAt ?? Infinity) <= at - l.bounds.mergeMs && !isForgiven(l, call);
    }
  }
}

/** Whether a machine acknowledged an add during a cut and lost its disk before the cut's healing was `mergeMs` past. */
function isForgiven(l: Lookup, { node, ackAt }: AddCall): boolean {
  return l.book.troubles.some(isCutWithLoss);
  function isCutWithLoss(cut: Trouble): boolean {
    if (cut.who !== 'links' || ackAt === undefined) return false;
    if (ackAt < cut.at || ackAt > cut.until) return false;
    return l.book.troubles.some(isLoss);
    function isLoss({ kind, machine, at }: Trouble): boolean {
      const isInTime = at >= ackAt! && at <= cut.until + l.bounds.mergeMs;
      return kind === 'wipe' && machine === node && isInTime;
    }
  }
}
