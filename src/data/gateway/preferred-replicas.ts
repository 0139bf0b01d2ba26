/**
 * Preferred replicas by rendezvous hashing: every router ranks the same names alike for a key, and a name that joins or
 * leaves moves only its own keys. The hash is cheap (FNV-1a and an integer mix), as it is taken for each request.
 */

/** Names whose hashes are kept; beyond them the cache starts afresh. */
const MAX_CACHED_HASHES = 4096;

const FNV_OFFSET_BASIS = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

interface ScoredName {
  name: string;
  score: number;
}

/** 32-bit FNV-1a over UTF-16 code units. */
function fnv1a(text: string): number {
  let hash = FNV_OFFSET_BASIS;
  for (let i = 0; i < text.length; i++) hash = Math.imul(hash ^ text.charCodeAt(i), FNV_PRIME);
  return hash >>> 0;
}

/** Mixes the hashes of a name and a key into the name's score, all bits of which depend on both. */
function mix(nameHash: number, keyHash: number): number {
  let hash = Math.imul(nameHash ^ (keyHash >>> 15), 0x2c1b3c6d) ^ keyHash;
  hash = Math.imul(hash ^ (hash >>> 12), 0x297a2d39);
  hash = Math.imul(hash ^ (hash >>> 15), 0x85ebca6b);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/** Highest score first; equal scores are ordered by name, so that all routers agree. */
function byScore(a: ScoredName, b: ScoredName): number {
  if (a.score !== b.score) return b.score - a.score;
  return a.name < b.name ? 1 : -1;
}

/** Ranks names by preference for a key, and caches the hashes of the names. */
export class PreferredReplicas {
  private readonly hashes = new Map<string, number>();

  /** Ranks by name; 0 is the preferred one. */
  rank(key: string, names: readonly string[]): Map<string, number> {
    const keyHash = fnv1a(key);
    const scored: ScoredName[] = [];
    for (const name of names) scored.push({ name, score: mix(this.hashOf(name), keyHash) });
    scored.sort(byScore);
    const ranks = new Map<string, number>();
    for (const [rank, { name }] of scored.entries()) ranks.set(name, rank);
    return ranks;
  }

  private hashOf(name: string): number {
    const cached = this.hashes.get(name);
    if (cached !== undefined) return cached;
    if (this.hashes.size >= MAX_CACHED_HASHES) this.hashes.clear();
    const hash = fnv1a(name);
    this.hashes.set(name, hash);
    return hash;
  }
}
