/** Judges what zones and cold engines are given: EVAC, FAILBACK, and ACKS of evacuations. */

import { Say } from './answers';
import { ColdSpan, EvacuationSent } from './apart-records';
import { Arrival } from './book';
import { Lookup } from './touch';

const WINDOW_MS = 1000;
const MISDIRECTED = 421;

/** Judges evacuations and cold engines of a day. */
export function judgeZones(l: Lookup, say: Say): void {
  judgeEvacuations(l, say);
  judgeCold(l, say);
  judgeAcks(l, say);
}

/** An evacuation that was acknowledged; it lasts until it is asked to be taken back. */
interface Evacuation {
  zone: string;
  from: number;
  until: number;
}

function evacuationsOf(sent: readonly EvacuationSent[]): Evacuation[] {
  const out: Evacuation[] = [];
  for (const start of sent) {
    if (start.kind !== 'start' || start.ackAt === undefined) continue;
    const finish = sent.find(endsIt);
    out.push({ zone: start.zone, from: start.ackAt, until: finish?.at ?? Infinity });
    function endsIt({ zone, kind, at }: EvacuationSent): boolean {
      return kind === 'finish' && zone === start.zone && at >= start.at;
    }
  }
  return out;
}

function judgeEvacuations(l: Lookup, say: Say): void {
  for (const { zone, from, until } of evacuationsOf(l.book.evacuations))
    for (const arrival of l.book.arrivals) {
      const isLate = arrival.at > from + l.bounds.evacuateMs && arrival.at < until;
      if (arrival.zone !== zone || arrival.turned === MISDIRECTED || !isLate) continue;
      if (!l.inTouch(senderOf(l, arrival), arrival.at)) continue;
      const lateMs = Math.round(arrival.at - from);
      say('EVAC', `${arrival.id}: reached ${zone} ${lateMs} ms after its evacuation`);
    }
}

/** The machine that sent a request on: the one that its client sent it to, where that is known. */
function senderOf(l: Lookup, { id, from }: Arrival): string {
  return l.book.tries.get(id)?.router ?? from;
}

function judgeCold(l: Lookup, say: Say): void {
  for (const span of l.book.cold) {
    const most = span.perS * l.bounds.warmupOvershoot + l.bounds.warmupSlack;
    const count = mostInASecond(arrivalsIn(l, span));
    if (count > most)
      say('FAILBACK', `${span.instance}: ${count} requests in a second, ${most} at the most`);
  }
}

/** When requests reached an engine while it was cold, the earliest first. */
function arrivalsIn(l: Lookup, span: ColdSpan): number[] {
  const times: number[] = [];
  for (const { instance, at, turned } of l.book.arrivals)
    if (instance === span.instance && at >= span.from && at < span.until && turned !== MISDIRECTED)
      times.push(at);
  return times.sort(rising);
}

function rising(a: number, b: number): number {
  return a - b;
}

function mostInASecond(times: readonly number[]): number {
  let most = 0;
  let first = 0;
  for (const [i, at] of times.entries()) {
    while (times[first] <= at - WINDOW_MS) first++;
    most = Math.max(most, i - first + 1);
  }
  return most;
}

function judgeAcks(l: Lookup, say: Say): void {
  const now = l.book.clock.now();
  for (const { zone, kind, at, ackAt } of l.book.evacuations) {
    const end = Math.min(ackAt ?? Infinity, now);
    const isLate = end - at > l.bounds.ackMs;
    if (isLate && !l.troubled(['core', 'links'], at - l.bounds.contactMs, end))
      say('ACKS', `the ${kind} of ${zone}'s evacuation had no answer within ${l.bounds.ackMs} ms`);
  }
}
