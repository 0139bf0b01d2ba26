/** Judges a recorded history, each register by itself: linearizability is local (Herlihy and Wing 1990). */
import { HistoryCall } from './calls';
import { linearize } from './linearize';
import { EMPTY_REGISTER, Operation } from './model';
import { doubtfulOrders, foldCalls } from './orders';
import { shrinkViolation } from './shrink';

/** What was found at one register. */
export interface Finding {
  key: string;
  sort: 'not linearizable' | 'acknowledged and refused' | 'in effect and refused' | 'undecided';
  /** The lines of the calls that can't all be so. */
  lines: number[];
  /** The lines of open calls beside them, which can't explain them either. */
  openLines: number[];
}

/** What became of a check. */
export interface Verdict {
  calls: number;
  keys: number;
  findings: Finding[];
}

function rising(a: number, b: number): number {
  return a - b;
}

function linesOf(operations: Operation[]): number[] {
  const lines: number[] = [];
  for (const operation of operations) lines.push(...operation.lines);
  return lines.sort(rising);
}

function findingOf(key: string, operations: Operation[]): Finding {
  function isCompleted(operation: Operation): boolean {
    return operation.end !== Infinity;
  }
  function isOpen(operation: Operation): boolean {
    return operation.end === Infinity;
  }
  return {
    key,
    sort: 'not linearizable',
    lines: linesOf(operations.filter(isCompleted)),
    openLines: linesOf(operations.filter(isOpen)),
  };
}

function isLinearizable(calls: HistoryCall[], excused: ReadonlySet<string>): boolean {
  return linearize(foldCalls(calls, excused).operations, EMPTY_REGISTER) === 'linearizable';
}

/** The orders that explain a violation: they took effect from a call without an answer, and were refused when they were sent again. None where that does not explain it. */
function refusedInEffect(calls: HistoryCall[]): string[] {
  const excused = new Set(doubtfulOrders(calls));
  if (!isLinearizable(calls, excused)) return [];
  for (const order of [...excused]) {
    excused.delete(order);
    if (!isLinearizable(calls, excused)) excused.add(order);
  }
  return [...excused];
}

function explain(key: string, calls: HistoryCall[], operations: Operation[]): Finding[] {
  const findings: Finding[] = [];
  for (const order of refusedInEffect(calls)) {
    const lines: number[] = [];
    for (const call of calls) if (call.order === order) lines.push(call.line);
    findings.push({ key, sort: 'in effect and refused', lines, openLines: [] });
  }
  return findings.length > 0 ? findings : [findingOf(key, shrinkViolation(operations))];
}

function checkKey(key: string, calls: HistoryCall[]): Finding[] {
  const { operations, contradictions } = foldCalls(calls);
  const findings: Finding[] = [];
  for (const { lines } of contradictions)
    findings.push({ key, sort: 'acknowledged and refused', lines, openLines: [] });
  const result = linearize(operations, EMPTY_REGISTER);
  if (result === 'undecided') findings.push({ key, sort: result, lines: [], openLines: [] });
  if (result === 'violation') findings.push(...explain(key, calls, operations));
  return findings;
}

/** Checks a history; without findings it is linearizable. */
export function checkHistory(calls: HistoryCall[]): Verdict {
  const byKey = new Map<string, HistoryCall[]>();
  for (const call of calls) {
    const list = byKey.get(call.key);
    if (list) list.push(call);
    else byKey.set(call.key, [call]);
  }
  const findings: Finding[] = [];
  for (const [key, list] of byKey) findings.push(...checkKey(key, list));
  return { calls: calls.length, keys: byKey.size, findings };
}

function sayCall(call: HistoryCall): string {
  const content =
    call.kind === 'read' || call.kind === 'name'
      ? `revision ${call.revision}`
      : `${call.base} -> ${call.revision}`;
  const hash = call.hash === undefined ? '' : ` hash ${call.hash}`;
  const reason = call.reason === undefined ? '' : ` (${call.reason})`;
  const times = `${call.start}..${call.end === Infinity ? '' : call.end} ms`;
  return `  line ${call.line}: ${call.client} ${call.kind} ${content}${hash}: ${call.answer}${reason}, ${times}`;
}

function sayFinding(finding: Finding, calls: Map<number, HistoryCall>): string[] {
  const lines = [`${finding.key}: ${finding.sort}`];
  for (const line of finding.lines) lines.push(sayCall(calls.get(line)!));
  if (finding.openLines.length > 0)
    lines.push(`  and open calls on lines ${finding.openLines.join(', ')}`);
  return lines;
}

/** Says a verdict for people to read. */
export function sayVerdict(verdict: Verdict, calls: HistoryCall[]): string {
  const byLine = new Map<number, HistoryCall>();
  for (const call of calls) byLine.set(call.line, call);
  const counted = `${verdict.calls} calls at ${verdict.keys} keys`;
  if (verdict.findings.length === 0) return `linearizable: ${counted}`;
  const lines = [`${verdict.findings.length} findings: ${counted}`];
  for (const finding of verdict.findings) lines.push(...sayFinding(finding, byLine));
  return lines.join('\n');
}
