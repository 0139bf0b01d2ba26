/**
 * Frames of a file that is only appended to: packed values with checksums, by which a write that never completed (a torn
 * end, which a loss of power leaves) is told from synced bytes that changed since (corruption).
 *
 * A frame is the body's length, the body's CRC-32 and the CRC-32 of these two, each 4 bytes in big endian, then the body
 * in MessagePack. Version 0.1 had no checksum of the header.
 */

import { crc32 } from 'node:zlib';
import { pack, unpack } from 'msgpackr';
import { tryCatch } from '../../shared/util/try-catch';

const HEADER_BYTES = 12;
/** The part of a header that its own checksum covers. */
const CHECKED_HEADER_BYTES = 8;
const LEGACY_HEADER_BYTES = 8;
/** A file that ends in so many zero bytes was extended by a write that never completed. */
const TORN_TAIL_BYTES = 8;

/**
 * The most that is written before it is synced, in bytes. A longer write reaches the file in several calls, which
 * a loss of power keeps or drops one by one; what is left then can not be told from synced bytes that changed.
 */
const MAX_UNSYNCED_BYTES = 256 * 1024;

/** A chunk of a packed value that is too long for one frame; the last one completes it. The field names are stored. */
interface ValueChunk {
  part: Uint8Array;
  isLast: boolean;
}

/** What a file of frames holds. */
export interface DecodedFrames {
  values: unknown[];
  /** Whether version 0.1 wrote it. */
  isLegacy?: boolean;
  /** Whether its end was never written in full. */
  isTorn: boolean;
  /** Whether bytes have changed that were written in full. */
  isCorrupt: boolean;
}

/** Encodes a value as one or more frames, to be written in order, each synced before the next. */
export function encodeFrames(value: unknown): Uint8Array[] {
  const body = pack(value);
  if (body.length <= MAX_UNSYNCED_BYTES) return [frameBody(body)];
  const frames: Uint8Array[] = [];
  for (let start = 0; start < body.length; start += MAX_UNSYNCED_BYTES) {
    const end = Math.min(start + MAX_UNSYNCED_BYTES, body.length);
    const chunk: ValueChunk = { part: body.subarray(start, end), isLast: end === body.length };
    frames.push(encodeFrame(chunk));
  }
  return frames;
}

/** Encodes a value as one frame, however long it is. */
export function encodeFrame(value: unknown): Uint8Array {
  return frameBody(pack(value));
}

function frameBody(body: Uint8Array): Uint8Array {
  const frame = Buffer.alloc(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  frame.writeUInt32BE(crc32(body), 4);
  frame.writeUInt32BE(crc32(frame.subarray(0, CHECKED_HEADER_BYTES)), CHECKED_HEADER_BYTES);
  frame.set(body, HEADER_BYTES);
  return frame;
}

/** Decodes a file up to the first value that is not complete; a file that is absent holds none. */
export function decodeFrames(bytes: Uint8Array | undefined): DecodedFrames {
  return joinChunks(readFrames(toBuffer(bytes)));
}

function toBuffer(bytes: Uint8Array | undefined): Buffer {
  return bytes ? Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length) : Buffer.alloc(0);
}

function isChunk(value: unknown): value is ValueChunk {
  return typeof value === 'object' && value !== null && 'part' in value && 'isLast' in value;
}

/** Joins the chunks of long values; one that was never completed is torn at the end of a file, and corrupt before it. */
function joinChunks(file: DecodedFrames): DecodedFrames {
  const values: unknown[] = [];
  let chunks: Uint8Array[] = [];
  for (const value of file.values) {
    if (!isChunk(value)) {
      if (chunks.length > 0) return { values, isTorn: false, isCorrupt: true };
      values.push(value);
      continue;
    }
    chunks.push(value.part);
    if (!value.isLast) continue;
    values.push(unpack(Buffer.concat(chunks)));
    chunks = [];
  }
  return { ...file, values, isTorn: file.isTorn || (chunks.length > 0 && !file.isCorrupt) };
}

function readFrames(file: Buffer): DecodedFrames {
  const legacyValues = readLegacyFrames(file);
  if (legacyValues.length > 0)
    return { values: legacyValues, isLegacy: true, isTorn: false, isCorrupt: false };
  const values: unknown[] = [];
  let offset = 0;
  while (offset < file.length) {
    const frame = readFrame(file, offset);
    if (frame.kind !== 'value')
      return { values, isTorn: frame.kind === 'torn', isCorrupt: frame.kind === 'corrupt' };
    values.push(frame.value);
    offset = frame.end;
  }
  return { values, isTorn: false, isCorrupt: false };
}

/** What stands at an offset of a file: a value and where the next frame begins, or the file's end in one of two states. */
type FrameAt = { kind: 'value'; value: unknown; end: number } | { kind: 'torn' | 'corrupt' };

function readFrame(file: Buffer, offset: number): FrameAt {
  const bodyStart = offset + HEADER_BYTES;
  if (bodyStart > file.length) return { kind: 'torn' };
  const end = bodyStart + file.readUInt32BE(offset);
  const checkedHeader = file.subarray(offset, offset + CHECKED_HEADER_BYTES);
  const isHeaderIntact = crc32(checkedHeader) === file.readUInt32BE(offset + CHECKED_HEADER_BYTES);
  if (isHeaderIntact && end > file.length) return { kind: 'torn' };
  const value = isHeaderIntact
    ? unpackChecked(file.subarray(bodyStart, end), file.readUInt32BE(offset + 4))
    : undefined;
  if (value !== undefined) return { kind: 'value', value, end };
  const tail = file.subarray(Math.max(offset, file.length - TORN_TAIL_BYTES));
  return { kind: isZero(tail) ? 'torn' : 'corrupt' };
}

/** Unpacks a body; undefined where its checksum differs, or it can't be read. */
function unpackChecked(body: Buffer, checksum: number): unknown {
  function unpackBody(): unknown {
    return unpack(body);
  }
  if (crc32(body) !== checksum) return undefined;
  return tryCatch('unpack', 'disk', unpackBody).orDefault(undefined);
}

/** Reads the frames of version 0.1 up to the first that is not complete: a length, a checksum, and one value each. */
function readLegacyFrames(file: Buffer): unknown[] {
  const values: unknown[] = [];
  let offset = 0;
  while (offset + LEGACY_HEADER_BYTES <= file.length) {
    const bodyStart = offset + LEGACY_HEADER_BYTES;
    const end = bodyStart + file.readUInt32BE(offset);
    const body = file.subarray(bodyStart, end);
    const isComplete = end <= file.length && body.length > 0;
    if (!isComplete || crc32(body) !== file.readUInt32BE(offset + 4)) break;
    values.push(unpack(body));
    offset = end;
  }
  return values;
}

function isZero(bytes: Uint8Array): boolean {
  for (const byte of bytes) if (byte !== 0) return false;
  return true;
}
