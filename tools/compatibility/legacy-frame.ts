/**
 * The frames of version 0.1, which the present code only reads.
 */

import { crc32 } from 'node:zlib';
import { pack } from 'msgpackr';

const HEAD_BYTES = 8;
const CHECKSUM_AT = 4;

/** A value in a frame as version 0.1 wrote it. */
export function legacyFrame(value: unknown): Uint8Array {
  const body = pack(value);
  const head = Buffer.alloc(HEAD_BYTES);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt32BE(crc32(body), CHECKSUM_AT);
  return Buffer.concat([head, body]);
}
