/**
 * Compression of what goes between our own processes.
 */
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { Result } from '../errors/errors';
import { tryCatch } from '../util/try-catch';

/** Speed before size: controllers have little processor time. */
const COMPRESSION_LEVEL = 1;

/** Compresses bytes. */
export function deflate(bytes: Uint8Array): Uint8Array {
  return deflateRawSync(bytes, { level: COMPRESSION_LEVEL });
}

/** Packs and compresses a value. */
export function compress(value: unknown): Uint8Array {
  return deflate(pack(value));
}

/** Reads what `compress` made; a fault where the bytes are no such thing. */
export function decompress(step: string, peer: string, bytes: Uint8Array): Result<unknown> {
  function inflate(): unknown {
    return unpack(inflateRawSync(bytes));
  }
  return tryCatch(step, peer, inflate);
}
