/**
 * What the platform's list reports of engines that warm up, made fit to be committed: a time that only counts down is
 * kept as it was first reported, and one that is longer than what can be left of that is a new report.
 */

import { Clock } from '../../shared/ports/clock';
import { Engine } from '../../shared/state/engines';

/** A report of an engine that warms up. */
interface WarmUpReport {
  warmMs: number;
  /** When the engine has warmed up by it, in ms of the clock. */
  endsAt: number;
}

/** What a new report differs by, where it would be equal to the one that is committed. */
const DISTINCT_REPORT_MS = 1;

/** The reports of one watcher of the list. */
export class WarmUpReports {
  private reports = new Map<string, WarmUpReport>();

  /** `toleranceMs` is by how much the time left may seem longer, as lists take times of their own to come; followers add it to what is reported. */
  constructor(
    private readonly clock: Clock,
    private readonly toleranceMs: number,
  ) {}

  /**
   * The list with each report as it was first made, so that the committed list does not change with each poll. An engine
   * that has turned cold again is given a time that differs from the committed one, so that followers tell the two apart.
   */
  keepFirst(committed: readonly Engine[], list: readonly Engine[]): Engine[] {
    const committedMs = new Map<string, number>();
    for (const { id, warmMs } of committed) committedMs.set(id, warmMs ?? 0);
    const reports = new Map<string, WarmUpReport>();
    const kept: Engine[] = [];
    for (const engine of list) {
      const report = this.reportOf(engine, committedMs.get(engine.id) ?? 0);
      if (report) reports.set(engine.id, report);
      kept.push(report ? { ...engine, warmMs: report.warmMs } : engine);
    }
    this.reports = reports;
    return kept;
  }

  /** The report that stands for an engine; none where it is warm. */
  private reportOf({ id, warmMs }: Engine, committedMs: number): WarmUpReport | undefined {
    if (warmMs === undefined || warmMs <= 0) return undefined;
    const endsAt = this.clock.now() + warmMs;
    const known = this.reports.get(id);
    if (known && endsAt <= known.endsAt + this.toleranceMs) return known;
    const isAsCommitted = warmMs === committedMs;
    return { warmMs: isAsCommitted ? warmMs + DISTINCT_REPORT_MS : warmMs, endsAt };
  }
}
