/**
 * The worlds in which ways of placing are played.
 */

/** What is played: a pool, its routers, and the requests that come. */
export interface PlacingWorld {
  engines: number;
  routers: number;
  zones: number;
  seconds: number;
  longPerS: number;
  shortPerS: number;
  things: number;
  batch: number;
  cacheTokens: number;
  /** Ms by which what indexers and the load board tell is late. */
  lagMs: number;
  /** Every third engine is slower by this. */
  slow: number;
  /** Tokens that the store holds; none where there is no store. */
  storeTokens: number;
  /** When an engine looks for what it keeps of a prompt. */
  looksAt: 'admission' | 'reading';
}

/** The usual world: one small fleet. */
export const USUAL: PlacingWorld = {
  engines: 13,
  routers: 9,
  zones: 3,
  seconds: 40,
  longPerS: 19,
  shortPerS: 165,
  things: 200,
  batch: 12,
  cacheTokens: 140000,
  lagMs: 120,
  slow: 1.3,
  storeTokens: 1900000,
  looksAt: 'reading',
};
