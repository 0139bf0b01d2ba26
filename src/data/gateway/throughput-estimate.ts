/**
 * Throughput estimate: how fast engines read prompts (prefill) and give tokens (decode), learned from what attempts
 * show. A pool's engines share the parts of the time, found by normalized least mean squares with clipped errors; each
 * engine has one factor on them, as engines of one pool differ in speed.
 */

/**
 * How fast an engine is taken to be: ms to a first event = baseMs + msPerPrefillToken × own tokens to read +
 * msPerAttentionPair × pairs of tokens attended to + msPerQueuedToken × unread tokens of others.
 */
export interface ThroughputEstimate {
  baseMs: number;
  msPerPrefillToken: number;
  msPerAttentionPair: number;
  msPerQueuedToken: number;
  /** Ms for which a request occupies a slot of the batch. */
  slotMs: number;
  /** Ms for each token after the first event. */
  msPerOutputToken: number;
}

/** What one request showed of its engine's prefill. */
export interface FirstEventSample {
  /** Ms from sending to the first event. */
  firstEventMs: number;
  /** Tokens that were to be read for it, and pairs of tokens attended to. */
  prefillTokens: number;
  attentionPairs: number;
  /** Unread tokens of others at the engine when it was sent. */
  queuedTokens: number;
}

/** What a pool's figures start from; they are left after a few answers. */
const INITIAL: ThroughputEstimate = {
  baseMs: 25,
  msPerPrefillToken: 0.02,
  msPerAttentionPair: 3e-7,
  msPerQueuedToken: 0.015,
  slotMs: 150,
  msPerOutputToken: 8,
};
/** The share of an error that a pool's figures take up: at first, and in the long run. */
const POOL_INITIAL_STEP_RATIO = 0.4;
const POOL_MIN_STEP_RATIO = 0.02;
/** Samples over which the first step halves. */
const POOL_STEP_HALVING_SAMPLES = 8;
/** The same for one engine's factor, and for a pool's slot time. */
const ENGINE_STEP_RATIO = 0.06;
/** An error counts up to this share of the estimate: one slow answer is no slow engine. */
const MAX_ERROR_RATIO = 0.5;
/** An engine's factor decays towards 1 by this share of its logarithm with each answer. */
const ENGINE_DECAY_RATIO = 0.01;
/** The bound of an engine's factor, both ways. */
const MAX_ENGINE_FACTOR = 4;
/** The share that one sample of the time for an output token counts, and how far it may differ from the estimate. */
const DECODE_STEP_RATIO = 0.1;
const MAX_DECODE_ERROR_RATIO = 4;
/** Bounds of a pool's multiples of the initial figures. */
const MIN_POOL_FACTOR = 0.05;
const MAX_POOL_FACTOR = 50;
/** A slot's time may differ from the estimate by up to this multiple of it. */
const MAX_SLOT_ERROR_RATIO = 2;

interface PoolThroughput {
  /** Multiples of the initial figures. */
  baseFactor: number;
  prefillFactor: number;
  attentionFactor: number;
  queueFactor: number;
  sampleCount: number;
  slotMs: number;
  msPerOutputToken: number;
}

function clamp(value: number, minimum: number, maximum: number): number {
  return Math.min(maximum, Math.max(minimum, value));
}

function clampPoolFactor(value: number): number {
  return clamp(value, MIN_POOL_FACTOR, MAX_POOL_FACTOR);
}

/** What each part of the time would be by the initial figures. */
interface InitialParts {
  base: number;
  prefill: number;
  attention: number;
  queue: number;
}

function initialParts(sample: FirstEventSample): InitialParts {
  return {
    base: INITIAL.baseMs,
    prefill: INITIAL.msPerPrefillToken * sample.prefillTokens,
    attention: INITIAL.msPerAttentionPair * sample.attentionPairs,
    queue: INITIAL.msPerQueuedToken * sample.queuedTokens,
  };
}

/** Ms that a pool's figures give for a sample at an engine of factor 1. */
function expectedMs(pool: PoolThroughput, parts: InitialParts): number {
  return (
    parts.base * pool.baseFactor +
    parts.prefill * pool.prefillFactor +
    parts.attention * pool.attentionFactor +
    parts.queue * pool.queueFactor
  );
}

/** Moves a pool's factors by a share of an error, each in proportion to its part of the time. */
function adjustPool(pool: PoolThroughput, parts: InitialParts, errorMs: number): void {
  const { base, prefill, attention, queue } = parts;
  const step = Math.max(
    POOL_MIN_STEP_RATIO,
    POOL_INITIAL_STEP_RATIO / (1 + pool.sampleCount / POOL_STEP_HALVING_SAMPLES),
  );
  const norm = base * base + prefill * prefill + attention * attention + queue * queue;
  pool.sampleCount++;
  pool.baseFactor = clampPoolFactor(pool.baseFactor + (step * errorMs * base) / norm);
  pool.prefillFactor = clampPoolFactor(pool.prefillFactor + (step * errorMs * prefill) / norm);
  pool.attentionFactor = clampPoolFactor(
    pool.attentionFactor + (step * errorMs * attention) / norm,
  );
  pool.queueFactor = clampPoolFactor(pool.queueFactor + (step * errorMs * queue) / norm);
}

/** The new factor of an engine that took `ratio` times what was expected. */
function adjustEngineFactor(factor: number, ratio: number): number {
  const log = Math.log(factor) * (1 - ENGINE_DECAY_RATIO) + ENGINE_STEP_RATIO * Math.log(ratio);
  return clamp(Math.exp(log), 1 / MAX_ENGINE_FACTOR, MAX_ENGINE_FACTOR);
}

/** Learns the throughput of engines, by pool and engine. */
export class ThroughputEstimator {
  private readonly pools = new Map<string, PoolThroughput>();
  private readonly engineFactors = new Map<string, number>();
  /** Ms for each output token, by engine. */
  private readonly decodeMs = new Map<string, number>();

  /** What is taken of an engine; of one that nothing is known of, its pool's figures. */
  estimate(pool: string, engine: string): ThroughputEstimate {
    const learned = this.poolOf(pool);
    const factor = this.engineFactors.get(engine) ?? 1;
    return {
      baseMs: INITIAL.baseMs * learned.baseFactor * factor,
      msPerPrefillToken: INITIAL.msPerPrefillToken * learned.prefillFactor * factor,
      msPerAttentionPair: INITIAL.msPerAttentionPair * learned.attentionFactor * factor,
      msPerQueuedToken: INITIAL.msPerQueuedToken * learned.queueFactor * factor,
      slotMs: learned.slotMs,
      msPerOutputToken: this.decodeMs.get(engine) ?? learned.msPerOutputToken,
    };
  }

  /** Learns from a first event. */
  observeFirstEvent(pool: string, engine: string, sample: FirstEventSample): void {
    const learned = this.poolOf(pool);
    const factor = this.engineFactors.get(engine) ?? 1;
    const parts = initialParts(sample);
    const expected = expectedMs(learned, parts);
    const maxErrorMs = MAX_ERROR_RATIO * expected;
    const errorMs = clamp(sample.firstEventMs / factor - expected, -maxErrorMs, maxErrorMs);
    adjustPool(learned, parts, errorMs);
    const ratio = clamp(
      sample.firstEventMs / (expected * factor),
      1 - MAX_ERROR_RATIO,
      1 + MAX_ERROR_RATIO,
    );
    this.engineFactors.set(engine, adjustEngineFactor(factor, ratio));
  }

  /** Learns for how many ms a request occupied its slot. */
  observeSlot(pool: string, ms: number): void {
    const learned = this.poolOf(pool);
    const { slotMs } = learned;
    learned.slotMs +=
      ENGINE_STEP_RATIO * clamp(ms - slotMs, -slotMs, slotMs * MAX_SLOT_ERROR_RATIO);
  }

  /** Learns from the ms between a request's first event and its end, in which it gave up to `tokens`. */
  observeDecode(pool: string, engine: string, ms: number, tokens: number): void {
    if (tokens <= 0) return;
    const learned = this.poolOf(pool);
    const before = this.decodeMs.get(engine) ?? learned.msPerOutputToken;
    const seen = clamp(
      ms / tokens,
      before / MAX_DECODE_ERROR_RATIO,
      before * MAX_DECODE_ERROR_RATIO,
    );
    this.decodeMs.set(engine, before + DECODE_STEP_RATIO * (seen - before));
    learned.msPerOutputToken += DECODE_STEP_RATIO * (seen - learned.msPerOutputToken);
  }

  /** Forgets all engines but these. */
  retain(engines: ReadonlySet<string>): void {
    for (const id of this.engineFactors.keys()) if (!engines.has(id)) this.engineFactors.delete(id);
    for (const id of this.decodeMs.keys()) if (!engines.has(id)) this.decodeMs.delete(id);
  }

  private poolOf(name: string): PoolThroughput {
    const known = this.pools.get(name);
    if (known) return known;
    const initial: PoolThroughput = {
      baseFactor: 1,
      prefillFactor: 1,
      attentionFactor: 1,
      queueFactor: 1,
      sampleCount: 0,
      slotMs: INITIAL.slotMs,
      msPerOutputToken: INITIAL.msPerOutputToken,
    };
    this.pools.set(name, initial);
    return initial;
  }
}
