/**
 * Monotonic time that counts the time for which the machine was suspended.
 */

/** How far the coarse clock may be ahead by its coarseness alone. */
const COARSE_TOLERANCE_MS = 25;

/**
 * Monotonic time that counts suspension: where a coarse clock that goes on meanwhile has run ahead of the monotonic one,
 * its lead is added. Time never goes back. Both clocks are in ms.
 */
export function countingSuspension(monotonic: () => number, coarse: () => number): () => number {
  const initialLeadMs = coarse() - monotonic();
  let suspendedMs = 0;
  function now(): number {
    const leadMs = coarse() - monotonic() - initialLeadMs;
    if (leadMs > suspendedMs + COARSE_TOLERANCE_MS) suspendedMs = leadMs;
    return monotonic() + suspendedMs;
  }
  return now;
}
