/**
 * What a stand-in engine keeps of prompts, and the events that tell of it.
 */

import {
  EventBatch,
  EventsReply,
  PromptBlock,
  BlockEvent,
} from '../../src/shared/contracts/engine';
import { Ports } from '../../src/shared/ports/ports';
import { EngineWays } from './engineways';

/** A part that an engine keeps, and for whom it was read. */
export interface Kept extends PromptBlock {
  salt: string;
  weights: string;
  parent: string;
  madeBy: string;
}

/** The cache of one engine; the least recently used parts go first. */
export interface EngineCache {
  find: (salt: string, weights: string, hash: string) => Kept | undefined;
  keep: (k: Kept) => void;
  /** Puts what changed into one batch of events. */
  flush: () => void;
  tokens: () => number;
  /** Tokens of a prompt that are kept, from its start. */
  overlap: (salt: string, weights: string, parts: readonly PromptBlock[]) => number;
  /** Answers a call for events, after a wait where there are none yet. */
  events: (query: URLSearchParams, gone: AbortSignal) => Promise<EventsReply>;
}

const USUAL_WAIT_MS = 1000;
const REPEATED_BATCHES = 5;

/** Makes an empty cache; where `ways.feed` says so, its events go wrong. */
export function makeEngineCache(ports: Ports, ways: EngineWays): EngineCache {
  const cache = new Map<string, Kept>();
  const batches: EventBatch[] = [];
  const waiters = new Set<() => void>();
  let held = 0;
  let epoch = ports.random.uuid();
  let seq = 0;
  let pending: BlockEvent[] = [];

  function keyOf(salt: string, weights: string, hash: string): string {
    return `${salt}|${weights}|${hash}`;
  }

  function find(salt: string, weights: string, hash: string): Kept | undefined {
    return cache.get(keyOf(salt, weights, hash));
  }

  function tell(kind: 'stored' | 'removed', k: Kept): void {
    pending.push({
      kind,
      model: ways.model,
      weights: k.weights,
      salt: k.salt,
      parent: k.parent,
      hash: k.hash,
      size: k.size,
    });
  }

  function flush(): void {
    if (pending.length === 0) return;
    seq++;
    const lost = ports.random.next() < ways.loseEvents;
    if (!lost) batches.push({ seq, events: pending });
    pending = [];
    if (batches.length > ways.keepBatches) batches.shift();
    for (const w of [...waiters]) w();
  }

  function keep(k: Kept): void {
    const key = keyOf(k.salt, k.weights, k.hash);
    const had = cache.get(key);
    if (had) {
      cache.delete(key);
      cache.set(key, had);
      return;
    }
    cache.set(key, k);
    held += k.size;
    tell('stored', k);
    while (held > ways.mostTokens) {
      const [oldKey, old] = cache.entries().next().value!;
      cache.delete(oldKey);
      held -= old.size;
      tell('removed', old);
    }
  }

  function tokens(): number {
    return held;
  }

  function overlap(salt: string, weights: string, parts: readonly PromptBlock[]): number {
    let sum = 0;
    for (const p of parts) {
      if (!cache.has(keyOf(salt, weights, p.hash))) break;
      sum += p.size;
    }
    return sum;
  }

  async function events(query: URLSearchParams, gone: AbortSignal): Promise<EventsReply> {
    const { feed } = ways;
    if (feed === 'epoch') epoch = ports.random.uuid();
    if (feed === 'epoch') ways.feed = undefined;
    const same = query.get('epoch') === epoch;
    const after = same ? Number(query.get('after') ?? 0) : 0;
    if (same && seq <= after) await more(Number(query.get('wait') ?? USUAL_WAIT_MS), gone);
    function later(b: EventBatch): boolean {
      if (feed === 'back') return b.seq <= after;
      return b.seq > (feed === 'repeats' ? after - REPEATED_BATCHES : after);
    }
    const oldest = batches[0]?.seq ?? seq + 1;
    return {
      epoch,
      lost: oldest > after + 1,
      last: feed === 'back' ? after - 2 : seq,
      batches: batches.filter(later),
    };
  }

  function more(within: number, gone: AbortSignal): Promise<void> {
    function wait(done: () => void): void {
      const off = ports.clock.setTimer(within, go);
      gone.addEventListener('abort', go, { once: true });
      function go(): void {
        off();
        gone.removeEventListener('abort', go);
        waiters.delete(go);
        done();
      }
      waiters.add(go);
    }
    return new Promise(wait);
  }

  return { find, keep, flush, tokens, overlap, events };
}
