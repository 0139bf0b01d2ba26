/**
 * The command line's exit codes, which scripts of operators go by.
 */

/** Done, and nothing was found. */
export const EXIT_OK = 0;

/** Findings, or a change that was refused. */
export const EXIT_FINDINGS = 1;

/** The command or its arguments are wrong. */
export const EXIT_USAGE = 2;
