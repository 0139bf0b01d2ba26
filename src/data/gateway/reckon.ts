import { Load } from './loads';
import { Side } from './links';
import { Pace } from './pace';

/** An engine that may serve, as far as it is known. */
export interface Able {
  side: Side;
  /** Where it is reached. */
  at: string;
  /** Requests that it runs at once. */
  batch: number;
  cacheTokens: number;
  load: Load;
  pace: Pace;
  /** How far it stands from the home of the prompt's first shared parts. */
  rank: number;
  /** What is added where others are meant to have it: ms, and ms for each of its own reading. */
  besideMs: number;
  besideReading: number;
}

/** What a source keeps of a prompt from its front on, in tokens, and what is coming there. */
export interface KeptAt {
  kept: number;
  coming: number;
}

/** A place that parts may be taken from. */
export interface Source {
  side: Side;
  at: string;
  kept: number;
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
export interface Reckoned {
  able: Able;
  /** To its first event. */
  firstMs: number;
  /** Of that, until its own prompt is begun with. */
  waitMs: number;
  /** Tokens that the engine would read. */
  unread: number;
  pairs: number;
  /** Unread tokens of others that are ahead of it. */
  ahead: number;
  fetch?: { source: Source; tokens: number; ms: number };
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
export function readMs(pace: Pace, unread: number, pairs: number): number {
  return unread * pace.msPerToken + pairs * pace.msPerPair;
}

function waitFor(a: Able, p: Prompt): number {
  const { load, pace } = a;
  let ms = load.unread * pace.msPerAhead + load.silentMs;
  const over = load.running + 1 - a.batch;
  if (over > 0) ms += (over * pace.placeMs) / a.batch;
  const need = load.memory + p.tokensIn + p.tokensOut - a.cacheTokens * ROOM;
  if (need > 0 && load.memory > 0)
    ms += pace.placeMs + Math.min(need, load.memory) * pace.msPerToken * PUT_BACK;
  return ms;
}

/** Reckons one engine, with and without each source that keeps more. */
function reckonAt(
  a: Able,
  p: Prompt,
  own: KeptAt,
  sources: readonly Source[],
  moveMs: (from: Side, to: Side, bytes: number) => number,
): Reckoned {
  const held = Math.min(p.tokensIn, own.kept + own.coming * COMING);
  const waitMs = waitFor(a, p);
  const full = Math.min(1, a.load.running / a.batch);
  const beside =
    a.besideMs +
    READS * a.load.reading * a.load.reading * p.aimMs +
    FULL * full * full * p.aimMs +
    (a.side.zone === p.zone ? 0 : FAR * p.aimMs) +
    (Math.min(a.rank, RANKS) / RANKS) * IN_ORDER * p.aimMs;
  function by(kept: number, fetch?: Reckoned['fetch']): Reckoned {
    const unread = Math.max(0, p.tokensIn - kept);
    const pairs = pairsOf(p.tokensIn, unread);
    const again = Math.max(0, Math.min(p.shared, p.known) - kept);
    const reading = readMs(a.pace, unread, pairs);
    const moving = fetch?.ms ?? 0;
    const firstMs = a.pace.baseMs + waitMs + moving + reading;
    const over = Math.max(0, (firstMs + p.tokensOut * a.pace.msPerOut) * SLACK - p.leftMs);
    return {
      able: a,
      firstMs,
      waitMs,
      unread,
      pairs,
      ahead: a.load.unread,
      fetch,
      again,
      cost:
        firstMs +
        reading * (READING + a.besideReading) +
        moving * MOVING +
        again * a.pace.msPerToken * AGAIN +
        over +
        beside,
    };
  }
  let best = by(held);
  const plain = readMs(a.pace, best.unread, best.pairs);
  for (const s of sources) {
    const more = Math.min(p.tokensIn, s.kept) - held;
    if (more <= 0 || s.side.name === a.side.name) continue;
    const ms = SETUP_MS + a.load.moveMs + moveMs(s.side, a.side, more * p.tokenBytes);
    const r = by(held + more, { source: s, tokens: more, ms });
    if (r.cost < best.cost - SAVES * (plain - readMs(a.pace, r.unread, r.pairs))) best = r;
  }
  return best;
}

/** Reckons all engines that may serve, the best first. */
export function reckon(
  p: Prompt,
  able: readonly Able[],
  kept: (name: string) => KeptAt,
  sources: readonly Source[],
  moveMs: (from: Side, to: Side, bytes: number) => number,
): Reckoned[] {
  const out: Reckoned[] = [];
  for (const a of able) out.push(reckonAt(a, p, kept(a.side.name), sources, moveMs));
  return out.sort(byCost);
}

function byCost(a: Reckoned, b: Reckoned): number {
  return a.cost - b.cost;
}
