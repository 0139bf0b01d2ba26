/**
 * With how many copies additions are acknowledged, for operators: a count by the number of copies, and a log line each
 * time the number that is asked for changes.
 */

import { Logger } from '../../shared/ports/logger';
import { CopyHolder, RequiredCopies } from './survivability';

/** Counts acknowledged additions by their copies. */
export class CopyCounts {
  /** By the number of copies. */
  private readonly acknowledged = new Map<number, number>();
  private lastRequired?: RequiredCopies;

  constructor(private readonly logger: Logger) {}

  /** Notes an addition that is acknowledged with the copies of its holders. */
  noteAcknowledged(holders: readonly CopyHolder[], required: RequiredCopies): void {
    const copies = holders.length;
    this.acknowledged.set(copies, (this.acknowledged.get(copies) ?? 0) + 1);
    const { lastRequired } = this;
    if (lastRequired?.copies === required.copies && lastRequired.zones === required.zones) return;
    this.lastRequired = required;
    this.logger.notice(
      { event: 'tallies.required-copies', ...required, holders: holders.map(addressOfHolder) },
      `additions to tallies are acknowledged with ${required.copies} copies in ${required.zones} zones`,
    );
  }

  /** As rows of the Prometheus text format. */
  metricRows(): string[] {
    const rows: string[] = [];
    for (const [copies, count] of this.acknowledged)
      rows.push(`plumhollow_controller_tally_acknowledged_total{copies="${copies}"} ${count}`);
    return rows;
  }
}

function addressOfHolder({ address }: CopyHolder): string {
  return address;
}
