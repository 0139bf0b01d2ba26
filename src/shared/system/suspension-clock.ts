const COARSE = 25;

/** Monotonic time that counts suspension: where a coarse clock that goes on meanwhile has run ahead, its lead is added; time never goes back. */
export function countingSuspension(monotonic: () => number, coarse: () => number): () => number {
  const began = coarse() - monotonic();
  let lead = 0;
  function now(): number {
    const ahead = coarse() - monotonic() - began;
    if (ahead > lead + COARSE) lead = ahead;
    return monotonic() + lead;
  }
  return now;
}
