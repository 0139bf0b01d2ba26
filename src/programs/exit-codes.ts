/**
 * The exit codes of the programs, which scripts of operators go by.
 */

/** Done, and nothing was found. */
export const EXIT_OK = 0;

/** Findings, or a change that was refused. */
export const EXIT_FINDINGS = 1;

/** A daemon could not start, or crashed. */
export const EXIT_FAILED = 1;

/** The command or its arguments are wrong. */
export const EXIT_USAGE = 2;

/** Ends the program where commander stops the parsing of its arguments: after a help text, or with a usage error. */
export function exitOnUsageError(error: { exitCode: number }): never {
  process.exit(error.exitCode === 0 ? EXIT_OK : EXIT_USAGE);
}
