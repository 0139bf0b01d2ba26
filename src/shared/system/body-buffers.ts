/**
 * Buffers of bodies. V8 gives the memory of large buffers back late, so those that nobody else has seen are used again.
 * Large ones come in powers of two.
 */

/** From this size on buffers are used again. */
const MIN_REUSED_BYTES = 1 << 18;

const freeBySize = new Map<number, Buffer[]>();
let freeBytes = 0;

/** The size of the buffer that is taken for so many bytes. */
export function bufferSizeFor(bytes: number): number {
  if (bytes < MIN_REUSED_BYTES) return bytes;
  return 2 ** Math.ceil(Math.log2(bytes));
}

/** Takes a buffer of a size that `bufferSizeFor` gave; its contents are whatever they were. At most `maxFreeBytes` are kept of others. */
export function takeBuffer(size: number, maxFreeBytes: number): Buffer {
  const reused = freeBySize.get(size)?.pop();
  if (reused === undefined) {
    dropFree(maxFreeBytes);
    return Buffer.allocUnsafeSlow(size);
  }
  freeBytes -= size;
  return reused;
}

/** Gives a buffer back that nobody else has seen; it is kept where no more than `maxFreeBytes` are kept then. */
export function giveBuffer(buffer: Buffer, maxFreeBytes: number): void {
  const size = buffer.length;
  if (size < MIN_REUSED_BYTES || freeBytes + size > maxFreeBytes) return;
  const free = freeBySize.get(size) ?? [];
  free.push(buffer);
  freeBySize.set(size, free);
  freeBytes += size;
}

/** Drops buffers until at most so many bytes of them are kept. */
function dropFree(maxFreeBytes: number): void {
  for (const [size, free] of freeBySize)
    while (freeBytes > maxFreeBytes && free.pop() !== undefined) freeBytes -= size;
}
