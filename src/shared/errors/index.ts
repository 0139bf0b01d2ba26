/**
 * Errors as values (`errors`), and the closed set of their codes (`error-codes`).
 */

export * from './error-codes';
export * from './errors';
