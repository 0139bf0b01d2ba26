import { Book, Run, Try } from './book';
import { judgeAnswers } from './answers';
import { judgeConduct } from './conduct';
import { Guarantees } from './ground';
import { judgeRuns } from './runs';
import { judgeTallies } from './tally-rules';
import { makeLookup } from './touch';
import { judgeZones } from './zone-rules';

/** What a day comes to. */
export interface DayReport {
  /** Broken rules, by name. */
  broken: Record<string, string[]>;
  /** Requests of clients, whatever tries they took, without those that only probe. */
  asked: number;
  /** Served with a whole success. */
  served: number;
  /** Served inside the aim, with no long pause. */
  inAim: number;
  /** Served with an event that came over `transitMs` after it was made. */
  slowPassed: number;
  tries: number;
  /** How tries that weren't whole successes ended. */
  other: Record<string, number>;
  runs: number;
  /** Share of prompt tokens that weren't read again. */
  reused: number;
  probes: number;
  listCalls: number;
  loads: number;
  /** Ms to the first event, at half and at nine tenths of the served. */
  firstMs: [number, number];
}

/** Judges a whole day by its book. */
export function judgeDay(book: Book, bounds: Guarantees): Record<string, string[]> {
  const broken: Record<string, string[]> = {};
  function say(rule: string, text: string): void {
    (broken[rule] ??= []).push(text);
  }
  const l = makeLookup(book, bounds);
  judgeAnswers(l, say);
  judgeRuns(l, say);
  judgeConduct(l, say);
  judgeTallies(l, say);
  judgeZones(l, say);
  return broken;
}

function isServed(t: Try): boolean {
  return t.end === 'whole' && t.status !== undefined && t.status >= 200 && t.status < 300;
}

/** Sums a day up. */
export function reportDay(book: Book, bounds: Guarantees): DayReport {
  const byRequest = new Map<number, Try[]>();
  const bySeal = new Map<string, Run>();
  for (const x of book.runs) bySeal.set(x.seal, x);
  for (const t of book.tries.values())
    if (!t.probe) byRequest.set(t.request, [...(byRequest.get(t.request) ?? []), t]);
  const r: DayReport = {
    broken: judgeDay(book, bounds),
    asked: byRequest.size,
    served: 0,
    inAim: 0,
    slowPassed: 0,
    tries: 0,
    other: {},
    runs: book.runs.length,
    reused: 0,
    probes: book.probes,
    listCalls: book.listCalls,
    loads: book.loads,
    firstMs: [0, 0],
  };
  const firsts: number[] = [];
  for (const tries of byRequest.values()) {
    r.tries += tries.length;
    for (const t of tries) {
      if (isServed(t)) continue;
      const how = `${t.end ?? 'open'} ${t.status ?? ''}`.trim();
      r.other[how] = (r.other[how] ?? 0) + 1;
    }
    const t = tries.find(isServed);
    if (!t) continue;
    r.served++;
    const first = (t.times[0] ?? t.endedAt) - tries[0].sentAt;
    firsts.push(first);
    if (first <= t.aimMs && longestGap(t) <= t.gapMs) r.inAim++;
    if (slowest(bySeal.get(t.seal ?? ''), t) > bounds.transitMs) r.slowPassed++;
  }
  let tokens = 0;
  let used = 0;
  for (const x of book.runs) {
    tokens += x.tokensIn;
    for (const u of x.used) used += u.tokens;
  }
  r.reused = tokens === 0 ? 0 : Math.round((used / tokens) * 1000) / 1000;
  firsts.sort(rising);
  r.firstMs = [
    Math.round(firsts[Math.floor(firsts.length / 2)] ?? 0),
    Math.round(firsts[Math.floor(firsts.length * 0.9)] ?? 0),
  ];
  return r;
}

function rising(a: number, b: number): number {
  return a - b;
}

function longestGap(t: Try): number {
  let most = 0;
  for (let i = 1; i < t.times.length; i++) most = Math.max(most, t.times[i] - t.times[i - 1]);
  return most;
}

/** The most ms that an event took from its engine to the client. */
function slowest(run: Run | undefined, t: Try): number {
  if (!run) return 0;
  let most = 0;
  for (let i = 0; i < Math.min(run.times.length, t.times.length); i++)
    most = Math.max(most, t.times[i] - run.times[i]);
  return most;
}
