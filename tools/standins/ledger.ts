import { LedgerEntry } from './engineways';
import { Report, Seen } from './callers';

/** What the ledgers of engines and callers prove or disprove. */
export interface Verdict {
  runs: number;
  twice: string[];
  refusedButRan: string[];
  crossedWalls: string[];
  crossedWeights: string[];
  unfenced: string[];
  wrongPieces: string[];
  attemptsPerRequest: number;
}

/** The names of the routers by where callers reach them. */
export function edgeNames(edge: readonly { name: string; http: string }[]): Map<string, string> {
  const m = new Map<string, string>();
  for (const e of edge) m.set(e.http, e.name);
  return m;
}

/** Reads the ledgers: nothing here asks the product for its opinion. */
export function judge(
  ledger: readonly LedgerEntry[],
  report: Report,
  walled: ReadonlySet<string>,
  edges: ReadonlyMap<string, string>,
): Verdict {
  const began = new Map<string, LedgerEntry[]>();
  const v: Verdict = {
    runs: 0,
    twice: [],
    refusedButRan: [],
    crossedWalls: [],
    crossedWeights: [],
    unfenced: [],
    wrongPieces: report.wrong.slice(0, 20),
    attemptsPerRequest: 0,
  };
  for (const e of ledger) {
    if (e.kind === 'began' && e.tag) began.set(e.tag, [...(began.get(e.tag) ?? []), e]);
    if (e.kind === 'began') v.runs++;
    if (e.kind === 'fenced')
      v.unfenced.push(`${e.engine} ${JSON.stringify(e.order)} after a higher fence`);
    if (e.kind !== 'ended') continue;
    for (const m of e.reused?.madeBy ?? [])
      if (m !== e.tenant && (walled.has(m) || walled.has(e.tenant!)))
        v.crossedWalls.push(`${e.engine} ${e.request}: ${e.tenant} used a part made by ${m}`);
    for (const w of e.reused?.madeWeights ?? [])
      if (w !== e.weights)
        v.crossedWeights.push(`${e.engine} ${e.request}: ${e.weights} used a part of ${w}`);
  }
  for (const s of report.seen) judgeOne(s, began.get(s.tag) ?? [], v, edges);
  v.attemptsPerRequest = report.asked === 0 ? 0 : Math.round((v.runs / report.asked) * 1000) / 1000;
  return v;
}

function judgeOne(
  s: Seen,
  runs: LedgerEntry[],
  v: Verdict,
  edges: ReadonlyMap<string, string>,
): void {
  if (!s.repeatable && runs.length > 1)
    v.twice.push(`${s.tag}: ${runs.map(where).join(', ')}; ${JSON.stringify(s.attempts)}`);
  for (const r of runs) {
    const told = s.attempts.filter(byRouter);
    function byRouter(l: { edge: string }): boolean {
      return r.request!.startsWith(`${edges.get(l.edge)}.`);
    }
    if (told.every(wasRefused))
      v.refusedButRan.push(`${s.tag}: ${where(r)}; ${JSON.stringify(s.attempts)}`);
  }
}

function where(e: LedgerEntry): string {
  return `${e.engine} ${e.request}`;
}

function wasRefused(l: { refused?: boolean }): boolean {
  return l.refused === true;
}

/** Whether nothing forbidden was seen. */
export function isClean(v: Verdict): boolean {
  return (
    v.twice.length +
      v.refusedButRan.length +
      v.crossedWalls.length +
      v.crossedWeights.length +
      v.unfenced.length +
      v.wrongPieces.length ===
    0
  );
}
