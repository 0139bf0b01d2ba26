import { crc32 } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { errorOrValue } from '../../shared/errors/errors';
import { tryCatch } from '../../shared/util/try-catch';

const HEADER_BYTES = 12;
const LEGACY_HEADER_BYTES = 8;

/**
 * The most that is written before it is synced, in bytes. A longer write reaches the file in several calls, which
 * a loss of power keeps or drops one by one; what is left then can not be told from synced bytes that changed.
 */
export const MAX_UNSYNCED_BYTES = 256 * 1024;

/** A part of a packed value that is too long for one frame; the last one completes it. */
interface ValueChunk {
  part: Uint8Array;
  isLast: boolean;
}

/** Frames a value in one or more frames, to be written in order, each synced before the next. */
export function encodeFrames(v: unknown): Uint8Array[] {
  const body = pack(v);
  if (body.length <= MAX_UNSYNCED_BYTES) return [frameBody(body)];
  const frames: Uint8Array[] = [];
  for (let at = 0; at < body.length; at += MAX_UNSYNCED_BYTES) {
    const end = Math.min(at + MAX_UNSYNCED_BYTES, body.length);
    const part: ValueChunk = { part: body.subarray(at, end), isLast: end === body.length };
    frames.push(encodeFrame(part));
  }
  return frames;
}

/** Frames a value: its length, its checksum, a checksum of these two, and the packed value. */
export function encodeFrame(v: unknown): Uint8Array {
  return frameBody(pack(v));
}

function frameBody(body: Uint8Array): Uint8Array {
  const out = Buffer.alloc(HEADER_BYTES + body.length);
  out.writeUInt32BE(body.length, 0);
  out.writeUInt32BE(crc32(body), 4);
  out.writeUInt32BE(crc32(out.subarray(0, 8)), 8);
  out.set(body, HEADER_BYTES);
  return out;
}

/** What a file of frames holds; `torn` where its end was never whole, `spoilt` where whole bytes have changed since, `old` where version 0.1 wrote it. */
export interface DecodedFrames {
  values: unknown[];
  isLegacy?: boolean;
  isTorn: boolean;
  isCorrupt: boolean;
}

function isChunk(v: unknown): v is ValueChunk {
  return typeof v === 'object' && v !== null && 'part' in v && 'isLast' in v;
}

/** Joins the parts of long values; one that was never completed is torn at the end, and spoilt before it. */
function joinChunks(read: DecodedFrames): DecodedFrames {
  const values: unknown[] = [];
  let parts: Uint8Array[] = [];
  for (const v of read.values) {
    if (!isChunk(v) && parts.length > 0) return { values, isTorn: false, isCorrupt: true };
    if (!isChunk(v)) values.push(v);
    else parts.push(v.part);
    if (!isChunk(v) || !v.isLast) continue;
    values.push(unpack(Buffer.concat(parts)));
    parts = [];
  }
  return { ...read, values, isTorn: read.isTorn || (parts.length > 0 && !read.isCorrupt) };
}

/** Reads the values of a file up to the first that is not whole: missing or zero bytes at the end are torn, all else is spoilt. */
export function decodeFrames(bytes: Uint8Array | undefined): DecodedFrames {
  return joinChunks(readFrames(bytes));
}

function readFrames(bytes: Uint8Array | undefined): DecodedFrames {
  const b = bytes ? Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length) : Buffer.alloc(0);
  const values: unknown[] = [];
  const old = readLegacyFrames(b);
  if (old.length > 0) return { values: old, isLegacy: true, isTorn: false, isCorrupt: false };
  let at = 0;
  while (at < b.length) {
    const headed = at + HEADER_BYTES <= b.length;
    const end = headed ? at + HEADER_BYTES + b.readUInt32BE(at) : Infinity;
    const sound = headed && crc32(b.subarray(at, at + 8)) === b.readUInt32BE(at + 8);
    if (!headed || (sound && end > b.length)) return { values, isTorn: true, isCorrupt: false };
    const body = b.subarray(at + HEADER_BYTES, end);
    const [f, v] = errorOrValue(tryCatch('unpack', 'disk', read));
    function read(): unknown {
      return sound && crc32(body) === b.readUInt32BE(at + 4) ? unpack(body) : undefined;
    }
    if (f || v === undefined) {
      const torn = isZero(b.subarray(Math.max(at, b.length - 8)));
      return { values, isTorn: torn, isCorrupt: !torn };
    }
    values.push(v);
    at = end;
  }
  return { values, isTorn: false, isCorrupt: false };
}

/** Reads the frames of version 0.1: a length, a checksum, and one line each. */
function readLegacyFrames(b: Buffer): unknown[] {
  const values: unknown[] = [];
  for (let at = 0; at + LEGACY_HEADER_BYTES <= b.length;) {
    const end = at + LEGACY_HEADER_BYTES + b.readUInt32BE(at);
    const body = b.subarray(at + LEGACY_HEADER_BYTES, end);
    if (end > b.length || body.length === 0 || crc32(body) !== b.readUInt32BE(at + 4)) break;
    values.push(unpack(body));
    at = end;
  }
  return values;
}

function isZero(b: Uint8Array): boolean {
  for (const x of b) if (x !== 0) return false;
  return true;
}
