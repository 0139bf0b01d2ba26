/**
 * Compression of values between our own processes: MessagePack in a raw deflate stream (RFC 1951).
 */

import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { Result } from '../errors/errors';
import { tryCatch } from '../util/try-catch';

/** Speed goes before size: controllers have little processor time. */
const COMPRESSION_LEVEL = 1;

/** Compresses bytes. */
export function deflate(bytes: Uint8Array): Uint8Array {
  return deflateRawSync(bytes, { level: COMPRESSION_LEVEL });
}

/** Encodes and compresses a value. */
export function compress(value: unknown): Uint8Array {
  return deflate(pack(value));
}

/** Reads what `compress` made; an error with `step` and `peer` where the bytes are something else. */
export function decompress(step: string, peer: string, bytes: Uint8Array): Result<unknown> {
  function inflate(): unknown {
    return unpack(inflateRawSync(bytes));
  }
  return tryCatch(step, peer, inflate);
}
