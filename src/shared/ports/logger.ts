/**
 * The port of the log.
 */

/** The log: the newest lines are kept in memory, and written out at `error`. */
export interface Logger {
  info: (fields: object, text: string) => void;
  /** A rare line that is written out at once. */
  notice: (fields: object, text: string) => void;
  warn: (fields: object, text: string) => void;
  error: (fields: object, text: string) => void;
}
