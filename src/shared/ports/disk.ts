/**
 * The disk port: one data folder.
 */

import { Result } from '../errors/errors';

/** One data folder; what a call has returned for is synced. */
export interface Disk {
  read: (name: string) => Promise<Result<Uint8Array | undefined>>;
  write: (name: string, bytes: Uint8Array) => Promise<Result<void>>;
  append: (name: string, bytes: Uint8Array) => Promise<Result<void>>;
}
