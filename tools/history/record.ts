/** Records operators' calls as a history. */
import { formatHistory, HistoryCall } from '../../src/shared/history/calls';

const MICROSECONDS = 1000;

/** A call as it is told to the recorder. */
export type RecordedCall = Omit<HistoryCall, 'line'>;

/** Keeps calls in the order in which they ended. */
export interface HistoryRecorder {
  record: (call: RecordedCall) => void;
  calls: () => HistoryCall[];
  text: () => string;
}

/** Times to the microsecond; rounding keeps their order. */
function rounded(ms: number): number {
  return Math.round(ms * MICROSECONDS) / MICROSECONDS;
}

/** Makes a recorder. */
export function makeHistoryRecorder(): HistoryRecorder {
  const kept: HistoryCall[] = [];
  function record(call: RecordedCall): void {
    const { start, end } = call;
    kept.push({ ...call, start: rounded(start), end: rounded(end), line: kept.length + 1 });
  }
  function calls(): HistoryCall[] {
    return kept;
  }
  function text(): string {
    return formatHistory(kept);
  }
  return { record, calls, text };
}
