/** Orders names for a key by rendezvous hash, cheaply: the same at every router, and a name that comes or goes moves only its own keys. */
export interface PreferredReplicas {
  /** Ranks by name, 0 is the home. */
  rank: (key: string, names: readonly string[]) => Map<string, number>;
}

const MOST_NAMES = 4096;

function fnv(text: string): number {
  let h = 0x811c9dc5;
  for (let i = 0; i < text.length; i++) h = Math.imul(h ^ text.charCodeAt(i), 0x01000193);
  return h >>> 0;
}

function mix(a: number, b: number): number {
  let h = Math.imul(a ^ (b >>> 15), 0x2c1b3c6d) ^ b;
  h = Math.imul(h ^ (h >>> 12), 0x297a2d39);
  h = Math.imul(h ^ (h >>> 15), 0x85ebca6b);
  return (h ^ (h >>> 16)) >>> 0;
}

/** Makes the ranking; hashes of names are kept, as the same ones come again. */
export function makeHomes(): PreferredReplicas {
  const hashes = new Map<string, number>();

  function hashOf(name: string): number {
    let h = hashes.get(name);
    if (h === undefined) {
      if (hashes.size >= MOST_NAMES) hashes.clear();
      h = fnv(name);
      hashes.set(name, h);
    }
    return h;
  }

  function ranks(key: string, names: readonly string[]): Map<string, number> {
    const k = fnv(key);
    const scored: { name: string; score: number }[] = [];
    for (const name of names) scored.push({ name, score: mix(hashOf(name), k) });
    scored.sort(byScore);
    const out = new Map<string, number>();
    for (const [i, s] of scored.entries()) out.set(s.name, i);
    return out;
  }

  function byScore(a: { name: string; score: number }, b: { name: string; score: number }): number {
    if (a.score !== b.score) return b.score - a.score;
    return a.name < b.name ? 1 : -1;
  }

  return { rank: ranks };
}
