/** Makes the operations of a register from the calls of its clients, who send a change again where they heard no answer. */
import { HistoryCall, isCompareAndSet } from './calls';
import { Operation, OperationKind } from './model';

/** An order that was acknowledged and refused. */
export interface Contradiction {
  order: string;
  lines: number[];
}

/** The operations of one register, and the orders whose answers contradict each other. */
export interface Folded {
  operations: Operation[];
  contradictions: Contradiction[];
}

function isAcknowledged(call: HistoryCall): boolean {
  return call.answer === 'ok';
}

function isChange(call: HistoryCall): boolean {
  return call.kind !== 'read';
}

function isRefused(call: HistoryCall): boolean {
  return call.answer === 'refused';
}

function lineOf(call: HistoryCall): number {
  return call.line;
}

function byEnd(a: HistoryCall, b: HistoryCall): number {
  return a.end - b.end;
}

function operationOf(call: HistoryCall, kind: OperationKind): Operation {
  const { start, end, base, revision, hash, line } = call;
  return { kind, start, end, base, revision, hash, lines: [line] };
}

function earliestStart(calls: HistoryCall[]): number {
  let start = Infinity;
  for (const call of calls) start = Math.min(start, call.start);
  return start;
}

/** One effect of all calls that sent a change: from the first start to the first acknowledgement, if there is one. */
function effectOf(calls: HistoryCall[]): Operation {
  const acknowledged = calls.filter(isAcknowledged).sort(byEnd)[0] as HistoryCall | undefined;
  const kind = isCompareAndSet(calls[0]) ? 'set' : 'raise';
  return {
    ...operationOf(acknowledged ?? calls[0], kind),
    start: earliestStart(calls),
    end: acknowledged ? acknowledged.end : Infinity,
    lines: calls.map(lineOf),
  };
}

function rejectionsOf(calls: HistoryCall[]): Operation[] {
  function isConflict(call: HistoryCall): boolean {
    return isRefused(call) && isCompareAndSet(call) && call.reason !== 'invalid';
  }
  function rejection(call: HistoryCall): Operation {
    return operationOf(call, 'reject');
  }
  return calls.filter(isConflict).map(rejection);
}

function groupByOrder(calls: HistoryCall[]): Map<string, HistoryCall[]> {
  const orders = new Map<string, HistoryCall[]>();
  for (const call of calls) {
    const group = orders.get(call.order);
    if (group) group.push(call);
    else orders.set(call.order, [call]);
  }
  return orders;
}

/** The orders that were refused, but sent without an answer as well: they may have taken effect before they were refused. */
export function doubtfulOrders(calls: HistoryCall[]): string[] {
  function isUnknown(call: HistoryCall): boolean {
    return call.answer === 'unknown';
  }
  const doubtful: string[] = [];
  for (const [order, group] of groupByOrder(calls.filter(isChange)))
    if (group.some(isUnknown) && group.some(isRefused) && !group.some(isAcknowledged))
      doubtful.push(order);
  return doubtful;
}

/** Folds the calls of one register. A change that was refused has no effect, whatever else was heard of it, unless it is excused. */
export function foldCalls(calls: HistoryCall[], excused: ReadonlySet<string> = new Set()): Folded {
  const folded: Folded = { operations: [], contradictions: [] };
  function isRead(call: HistoryCall): boolean {
    return call.kind === 'read';
  }
  for (const call of calls.filter(isRead).filter(isAcknowledged))
    folded.operations.push(operationOf(call, 'read'));
  for (const [order, group] of groupByOrder(calls.filter(isChange))) {
    const refused = group.filter(isRefused);
    const acknowledged = group.filter(isAcknowledged);
    if (refused.length > 0 && acknowledged.length > 0) {
      const lines = [...acknowledged.slice(0, 1), ...refused.slice(0, 1)].map(lineOf);
      folded.contradictions.push({ order, lines });
      folded.operations.push(effectOf(group));
    } else if (refused.length > 0 && !excused.has(order))
      folded.operations.push(...rejectionsOf(group));
    else folded.operations.push(effectOf(group));
  }
  return folded;
}
