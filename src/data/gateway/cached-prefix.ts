/**
 * What engines and stores have of a prompt: as an indexer reported it, or as is presumed where none was asked or none
 * answered.
 */

import { PromptBlock } from '../../shared/contracts/engine';
import { OverlapReply } from '../../shared/contracts/indexer';
import { CachedPrefix, PrefixLookup, PrefixSource } from './cost-estimate';
import { LinkEndpoint } from './transfer-estimate';
import { EngineEndpoint, PoolView, StoreEndpoint } from './placement-types';

/** What is presumed of the shared tokens at an engine to which such a prompt was sent before. */
const RECENT_CACHED_RATIO = 0.9;
/** What is presumed at the first preferred replica. */
const PREFERRED_CACHED_RATIO = 0.4;
/** The same where it is to be fetched from: a miss costs little. */
const PREFERRED_FETCH_RATIO = 0.7;

const NOTHING_CACHED: CachedPrefix = { cachedTokens: 0, pendingTokens: 0 };

/** What is known of a prompt's cached prefix: by engine, and by source of a fetch. */
export interface PrefixKnowledge {
  atEngine: PrefixLookup;
  atSource: PrefixLookup;
}

/** What a presumption goes by. */
export interface PrefixEvidence {
  sharedTokens: number;
  /** Engines to which a prompt of the same affinity key was sent lately. */
  recentEngines: readonly string[];
  /** Ranks of the preferred replicas. */
  ranks: ReadonlyMap<string, number>;
  /** Whether this router has placed enough prompts to presume something worth a fetch. */
  mayFetch: boolean;
}

/** Tokens of the blocks that other prompts may share: all but the last one. */
export function sharedTokensOf(blocks: readonly PromptBlock[]): number {
  let tokens = 0;
  for (let i = 0; i < blocks.length - 1; i++) tokens += blocks[i].size;
  return tokens;
}

/** The look-up of what an indexer reported. */
export function reportedPrefixes(reply: OverlapReply): PrefixLookup {
  const prefixes = new Map<string, CachedPrefix>();
  for (const [source, cachedTokens, pendingTokens] of reply)
    prefixes.set(source, { cachedTokens, pendingTokens });
  function prefixAt(name: string): CachedPrefix {
    return prefixes.get(name) ?? NOTHING_CACHED;
  }
  return prefixAt;
}

function presumedPrefixes(evidence: PrefixEvidence, preferredRatio: number): PrefixLookup {
  const { sharedTokens, recentEngines, ranks } = evidence;
  function prefixAt(name: string): CachedPrefix {
    if (recentEngines.includes(name))
      return { cachedTokens: sharedTokens * RECENT_CACHED_RATIO, pendingTokens: 0 };
    const cachedTokens = ranks.get(name) === 0 ? sharedTokens * preferredRatio : 0;
    return { cachedTokens, pendingTokens: 0 };
  }
  return prefixAt;
}

/** What is known of a prompt's prefix: an indexer's report, or else a presumption. */
export function prefixKnowledge(
  reply: OverlapReply | undefined,
  evidence: PrefixEvidence,
): PrefixKnowledge {
  if (reply) {
    const reported = reportedPrefixes(reply);
    return { atEngine: reported, atSource: reported };
  }
  return {
    atEngine: presumedPrefixes(evidence, PREFERRED_CACHED_RATIO),
    atSource: presumedPrefixes(evidence, evidence.mayFetch ? PREFERRED_FETCH_RATIO : 0),
  };
}

/** Of the shared tokens, how many some source has computed: as an indexer reported, or all where none did. */
export function computedTokensOf(reply: OverlapReply | undefined, sharedTokens: number): number {
  if (!reply) return sharedTokens;
  let computedTokens = 0;
  for (const [, cachedTokens, pendingTokens] of reply)
    computedTokens = Math.max(computedTokens, cachedTokens + pendingTokens);
  return computedTokens;
}

/** The end of a transfer at an engine of a pool. */
export function engineLink(engine: EngineEndpoint, pool: PoolView): LinkEndpoint {
  const { id, zone, region } = engine;
  return { name: id, zone, region, linkMbps: pool.linkMbps };
}

function storeLink(store: StoreEndpoint): LinkEndpoint {
  const { name, zone, region, linkMbps } = store;
  return { name, zone, region, linkMbps };
}

/** Engines of the salt that are healthy, and stores, from which a prefix can be fetched. */
export function prefixSourcesOf(
  pool: PoolView,
  salt: string,
  healthy: ReadonlySet<string>,
  prefixAt: PrefixLookup,
): PrefixSource[] {
  const sources: PrefixSource[] = [];
  for (const engine of pool.engines) {
    const { cachedTokens } = prefixAt(engine.id);
    if (cachedTokens > 0 && engine.salt === salt && healthy.has(engine.id))
      sources.push({ endpoint: engineLink(engine, pool), address: engine.address, cachedTokens });
  }
  for (const store of pool.stores) {
    const { cachedTokens } = prefixAt(store.name);
    if (cachedTokens > 0)
      sources.push({ endpoint: storeLink(store), address: store.address, cachedTokens });
  }
  return sources;
}
