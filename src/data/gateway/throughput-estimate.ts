/** How fast an engine is taken to be: ms to a first event = baseMs + msPerToken x own tokens read + msPerPair x pairs of tokens attended to + msPerAhead x unread tokens of others. */
export interface ThroughputEstimate {
  baseMs: number;
  msPerPrefillToken: number;
  msPerAttentionPair: number;
  msPerQueuedToken: number;
  /** Ms for which a request keeps its place. */
  slotMs: number;
  /** Ms for each token that it gives after the first event. */
  msPerOutputToken: number;
}

/** What was seen of one request: ms to its first event, the tokens and pairs that were to be read for it, and the unread tokens of others there when it was sent. */
export interface FirstEventSample {
  firstEventMs: number;
  prefillTokens: number;
  attentionPairs: number;
  queuedTokens: number;
}

/** Learns how fast engines are from what attempts show. */
export interface ThroughputEstimator {
  estimate: (pool: string, engine: string) => ThroughputEstimate;
  observeFirstEvent: (pool: string, engine: string, seen: FirstEventSample) => void;
  /** Ms for which a request kept its place. */
  observeSlot: (pool: string, ms: number) => void;
  /** Ms from a request's first event to its end, and the most tokens that it might give. */
  observeDecode: (pool: string, engine: string, ms: number, tokens: number) => void;
  /** Forgets engines that are gone. */
  retain: (engines: ReadonlySet<string>) => void;
}

/** First guesses, left after a few answers. */
const FIRST: ThroughputEstimate = {
  baseMs: 25,
  msPerPrefillToken: 0.02,
  msPerAttentionPair: 3e-7,
  msPerQueuedToken: 0.015,
  slotMs: 150,
  msPerOutputToken: 8,
};
/** The share of an error that the pool's figures take up, at first and in the long run. */
const POOL_FIRST = 0.4;
const POOL_LAST = 0.02;
/** The same for one engine's factor. */
const ENGINE_STEP = 0.06;
/** An error counts up to this share of what was reckoned: one slow answer is no slow engine. */
const MOST_ERROR = 0.5;
/** An engine's factor goes back by this share of its logarithm with each answer. */
const FADE = 0.01;
/** The share of what a request shows of the time for each token that is taken up, and how far one may differ. */
const OUT_STEP = 0.1;
const MOST_OUT = 4;
const LEAST = 0.05;
const MOST = 50;

interface PoolPace {
  /** Multiples of the first guesses. */
  base: number;
  token: number;
  pair: number;
  ahead: number;
  count: number;
  placeMs: number;
  msPerOut: number;
}

/** Makes the learner: robust steps on the parts of the time, and one factor for each engine, as engines of one pool differ in speed. */
export function makePaces(): ThroughputEstimator {
  const pools = new Map<string, PoolPace>();
  const factors = new Map<string, number>();
  const outs = new Map<string, number>();

  function poolOf(pool: string): PoolPace {
    let p = pools.get(pool);
    if (!p) {
      p = {
        base: 1,
        token: 1,
        pair: 1,
        ahead: 1,
        count: 0,
        placeMs: FIRST.slotMs,
        msPerOut: FIRST.msPerOutputToken,
      };
      pools.set(pool, p);
    }
    return p;
  }

  function of(pool: string, engine: string): ThroughputEstimate {
    const p = poolOf(pool);
    const f = factors.get(engine) ?? 1;
    return {
      baseMs: FIRST.baseMs * p.base * f,
      msPerPrefillToken: FIRST.msPerPrefillToken * p.token * f,
      msPerAttentionPair: FIRST.msPerAttentionPair * p.pair * f,
      msPerQueuedToken: FIRST.msPerQueuedToken * p.ahead * f,
      slotMs: p.placeMs,
      msPerOutputToken: outs.get(engine) ?? p.msPerOut,
    };
  }

  function within(x: number, least: number, most: number): number {
    return Math.min(most, Math.max(least, x));
  }

  function learn(pool: string, engine: string, seen: FirstEventSample): void {
    const p = poolOf(pool);
    const f = factors.get(engine) ?? 1;
    const xs = [
      FIRST.baseMs,
      FIRST.msPerPrefillToken * seen.prefillTokens,
      FIRST.msPerAttentionPair * seen.attentionPairs,
      FIRST.msPerQueuedToken * seen.queuedTokens,
    ];
    const due = xs[0] * p.base + xs[1] * p.token + xs[2] * p.pair + xs[3] * p.ahead;
    const error = within(seen.firstEventMs / f - due, -MOST_ERROR * due, MOST_ERROR * due);
    const step = Math.max(POOL_LAST, POOL_FIRST / (1 + p.count / 8));
    const norm = xs[0] * xs[0] + xs[1] * xs[1] + xs[2] * xs[2] + xs[3] * xs[3];
    p.count++;
    p.base = within(p.base + (step * error * xs[0]) / norm, LEAST, MOST);
    p.token = within(p.token + (step * error * xs[1]) / norm, LEAST, MOST);
    p.pair = within(p.pair + (step * error * xs[2]) / norm, LEAST, MOST);
    p.ahead = within(p.ahead + (step * error * xs[3]) / norm, LEAST, MOST);
    const ratio = within(seen.firstEventMs / (due * f), 1 - MOST_ERROR, 1 + MOST_ERROR);
    const log = Math.log(f) * (1 - FADE) + ENGINE_STEP * Math.log(ratio);
    factors.set(engine, within(Math.exp(log), 1 / 4, 4));
  }

  function learnPlace(pool: string, ms: number): void {
    const p = poolOf(pool);
    p.placeMs += ENGINE_STEP * within(ms - p.placeMs, -p.placeMs, p.placeMs * 2);
  }

  function learnOut(pool: string, engine: string, ms: number, tokens: number): void {
    if (tokens <= 0) return;
    const p = poolOf(pool);
    const was = outs.get(engine) ?? p.msPerOut;
    const seen = within(ms / tokens, was / MOST_OUT, was * MOST_OUT);
    outs.set(engine, was + OUT_STEP * (seen - was));
    p.msPerOut += OUT_STEP * (seen - p.msPerOut);
  }

  function keep(engines: ReadonlySet<string>): void {
    for (const id of factors.keys()) if (!engines.has(id)) factors.delete(id);
    for (const id of outs.keys()) if (!engines.has(id)) outs.delete(id);
  }

  return {
    estimate: of,
    observeFirstEvent: learn,
    observeSlot: learnPlace,
    observeDecode: learnOut,
    retain: keep,
  };
}
