/**
 * The disk port: one data folder.
 */

import { Result } from '../errors/errors';

/** One data folder; what a call has returned for is synced. Errors: `disk`. */
export interface Disk {
  /** The content of a file; undefined where there is none. */
  read: (name: string) => Promise<Result<Uint8Array | undefined>>;
  /** Replaces a file. */
  write: (name: string, bytes: Uint8Array) => Promise<Result<void>>;
  /** Adds to the end of a file. */
  append: (name: string, bytes: Uint8Array) => Promise<Result<void>>;
}
