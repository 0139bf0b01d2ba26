import { EngineLoadSnapshot } from './engine-loads';
import { LinkEndpoint } from './transfer-estimate';
import { ThroughputEstimate } from './throughput-estimate';

/** An engine that may serve, as far as it is known. */
export interface Candidate {
  endpoint: LinkEndpoint;
  /** Where it is reached. */
  at: string;
  /** Requests that it runs at once. */
  batch: number;
  cacheTokens: number;
  load: EngineLoadSnapshot;
  throughput: ThroughputEstimate;
  /** How far it stands from the home of the prompt's first shared parts. */
  preferenceRank: number;
  /** What is added where others are meant to have it: ms, and ms for each of its own reading. */
  besideMs: number;
  besideReading: number;
}

/** What a source keeps of a prompt from its front on, in tokens, and what is coming there. */
export interface CachedPrefix {
  cachedTokens: number;
  pendingTokens: number;
}

/** A place that parts may be taken from. */
export interface PrefixSource {
  endpoint: LinkEndpoint;
  address: string;
  cachedTokens: number;
}

/** What is to be placed. */
export interface Prompt {
  tokensIn: number;
  tokensOut: number;
  /** Tokens of the parts that others may share, and how many of them some source has been known to read. */
  shared: number;
  known: number;
  tokenBytes: number;
  aimMs: number;
  leftMs: number;
  /** The zone that it is sent from. */
  zone: string;
}

/** What one engine would mean for a request. Times are ms from now. */
export interface CostEstimate {
  candidate: Candidate;
  /** To its first event. */
  firstEventMs: number;
  /** Of that, until its own prompt is begun with. */
  queueMs: number;
  /** Tokens that the engine would read. */
  prefillTokens: number;
  attentionPairs: number;
  /** Unread tokens of others that are ahead of it. */
  queuedTokens: number;
  prefixFetch?: { source: PrefixSource; tokens: number; ms: number };
  /** Tokens of shared parts that would be read although they were read before. */
  again: number;
  /** What is compared: the time, and what it costs others. */
  cost: number;
}

/** What each ms of an engine's reading costs others that wait there. */
const READING = 0.6;
/** What each ms counts that is spent on reading shared parts again: it is the dearest that an engine does. */
const AGAIN = 16;
/** What each ms of moving costs beside the time. */
const MOVING = 0.1;
/** The share of the aim that going to another zone must gain. */
const FAR = 0.05;
/** The share of the aim by which equals are kept in the order of their homes. */
const IN_ORDER = 0.02;
const RANKS = 8;
/** What parts that are coming count of kept ones. */
const COMING = 0.9;
/** A move is worth it where it saves this much of the reading. */
const SAVES = 0.1;
/** Ms that setting a move up takes beside the bytes. */
const SETUP_MS = 2;
/** The share of an engine's memory that requests at work may fill before one more is taken to wait. */
const ROOM = 0.95;

/** What an engine costs that reads prompts all the time, as a share of the aim: answers come slowly there, and the less it reads the faster. */
const READS = 0.3;
/** What the last place of an engine costs, as a share of the aim; the fuller it is, the more, as those that come are put in the place of others. */
const FULL = 0.2;
/** An answer is taken to end this many times later than it might, so that its time does not pass. */
const SLACK = 1.25;
/** Each token too many for an engine's memory is taken to be read this many times over, as requests are put back. */
const PUT_BACK = 2;

/** Pairs of tokens attended to while reading the last `unread` of `all`. */
export function pairsOf(all: number, unread: number): number {
  const kept = all - unread;
  return (all * all - kept * kept) / 2;
}

/** Ms that reading takes an engine. */
export function readMs(pace: ThroughputEstimate, unread: number, pairs: number): number {
  return unread * pace.msPerPrefillToken + pairs * pace.msPerAttentionPair;
}

function waitFor(a: Candidate, p: Prompt): number {
  const { load, throughput: pace } = a;
  let ms = load.prefillTokens * pace.msPerQueuedToken + load.overdueMs;
  const over = load.running + 1 - a.batch;
  if (over > 0) ms += (over * pace.slotMs) / a.batch;
  const need = load.memoryTokens + p.tokensIn + p.tokensOut - a.cacheTokens * ROOM;
  if (need > 0 && load.memoryTokens > 0)
    ms += pace.slotMs + Math.min(need, load.memoryTokens) * pace.msPerPrefillToken * PUT_BACK;
  return ms;
}

/** Reckons one engine, with and without each source that keeps more. */
function reckonAt(
  a: Candidate,
  p: Prompt,
  own: CachedPrefix,
  sources: readonly PrefixSource[],
  moveMs: (from: LinkEndpoint, to: LinkEndpoint, bytes: number) => number,
): CostEstimate {
  const held = Math.min(p.tokensIn, own.cachedTokens + own.pendingTokens * COMING);
  const waitMs = waitFor(a, p);
  const full = Math.min(1, a.load.running / a.batch);
  const beside =
    a.besideMs +
    READS * a.load.prefillRatio * a.load.prefillRatio * p.aimMs +
    FULL * full * full * p.aimMs +
    (a.endpoint.zone === p.zone ? 0 : FAR * p.aimMs) +
    (Math.min(a.preferenceRank, RANKS) / RANKS) * IN_ORDER * p.aimMs;
  function by(kept: number, fetch?: CostEstimate['prefixFetch']): CostEstimate {
    const unread = Math.max(0, p.tokensIn - kept);
    const pairs = pairsOf(p.tokensIn, unread);
    const again = Math.max(0, Math.min(p.shared, p.known) - kept);
    const reading = readMs(a.throughput, unread, pairs);
    const moving = fetch?.ms ?? 0;
    const firstMs = a.throughput.baseMs + waitMs + moving + reading;
    const over = Math.max(
      0,
      (firstMs + p.tokensOut * a.throughput.msPerOutputToken) * SLACK - p.leftMs,
    );
    return {
      candidate: a,
      firstEventMs: firstMs,
      queueMs: waitMs,
      prefillTokens: unread,
      attentionPairs: pairs,
      queuedTokens: a.load.prefillTokens,
      prefixFetch: fetch,
      again,
      cost:
        firstMs +
        reading * (READING + a.besideReading) +
        moving * MOVING +
        again * a.throughput.msPerPrefillToken * AGAIN +
        over +
        beside,
    };
  }
  let best = by(held);
  const plain = readMs(a.throughput, best.prefillTokens, best.attentionPairs);
  for (const s of sources) {
    const more = Math.min(p.tokensIn, s.cachedTokens) - held;
    if (more <= 0 || s.endpoint.name === a.endpoint.name) continue;
    const ms = SETUP_MS + a.load.transferMs + moveMs(s.endpoint, a.endpoint, more * p.tokenBytes);
    const r = by(held + more, { source: s, tokens: more, ms });
    if (
      r.cost <
      best.cost - SAVES * (plain - readMs(a.throughput, r.prefillTokens, r.attentionPairs))
    )
      best = r;
  }
  return best;
}

/** Reckons all engines that may serve, the best first. */
export function estimateCosts(
  p: Prompt,
  able: readonly Candidate[],
  kept: (name: string) => CachedPrefix,
  sources: readonly PrefixSource[],
  moveMs: (from: LinkEndpoint, to: LinkEndpoint, bytes: number) => number,
): CostEstimate[] {
  const out: CostEstimate[] = [];
  for (const a of able) out.push(reckonAt(a, p, kept(a.endpoint.name), sources, moveMs));
  return out.sort(byCost);
}

function byCost(a: CostEstimate, b: CostEstimate): number {
  return a.cost - b.cost;
}
