/**
 * Tallies as operators see them. The field names are part of the operators' interface.
 */

/** The tallies of one controller. */
export interface TalliesStatus {
  /** Whether this controller has caught up since its start, and serves. */
  isReady: boolean;
  isWritable: boolean;
  additions: number;
  /** Callers' additions beyond this are refused. */
  maxAdditions: number;
  /** Incarnations of controllers that additions are of. */
  replicas: number;
  fileBytes: number;
  /** Additions that wait for copies. */
  waiting: number;
  peers: TalliesPeerStatus[];
}

/** How far a controller is with a connected peer. */
export interface TalliesPeerStatus {
  at: string;
  /** Whether nothing of the peer's was missing here at the last comparison. */
  isLevel: boolean;
  /** How long ago that was so last, in ms; undefined where it was not yet so on this connection. */
  levelAgoMs?: number;
  /** Additions that were fetched from the peer on this connection. */
  fetched: number;
}

/** The status as rows of the Prometheus text format. */
export function tallyMetricRows(status: TalliesStatus): string[] {
  const { isReady, isWritable, additions, maxAdditions, replicas, fileBytes, waiting, peers } =
    status;
  const rows = [
    `plumhollow_controller_tallies_ready ${isReady ? 1 : 0}`,
    `plumhollow_controller_tallies_writable ${isWritable ? 1 : 0}`,
    `plumhollow_controller_tally_additions ${additions}`,
    `plumhollow_controller_tally_max_additions ${maxAdditions}`,
    `plumhollow_controller_tally_replicas ${replicas}`,
    `plumhollow_controller_tally_file_bytes ${fileBytes}`,
    `plumhollow_controller_tally_additions_waiting ${waiting}`,
  ];
  for (const { at, isLevel, levelAgoMs, fetched } of peers) {
    rows.push(`plumhollow_controller_tallies_level{peer="${at}"} ${isLevel ? 1 : 0}`);
    rows.push(`plumhollow_controller_tallies_fetched{peer="${at}"} ${fetched}`);
    if (levelAgoMs !== undefined)
      rows.push(`plumhollow_controller_tallies_level_ago_ms{peer="${at}"} ${levelAgoMs}`);
  }
  return rows;
}
