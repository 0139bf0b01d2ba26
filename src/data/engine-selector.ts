import { PromptBlock } from '../shared/contracts/engine';
import { errorOrValue } from '../shared/errors/errors';
import { Follower } from '../shared/replication/follower';
import { rankByRendezvousHash } from '../shared/util/hashing';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Hello, makeConnectionPool } from '../shared/transport/connections';
import { addressOf } from '../shared/state/voter-set';
import { CacheStore, IntentsValue } from '../shared/state/intents';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { Member } from '../shared/state/members';
import { EngineTracker, TrackedEngine } from './engine-tracker';

/** How much a doubted token counts of a sure one. */
const DOUBTED = 0.5;
/** Tokens that a request waiting beyond the batch is taken to hold an engine up by. */
const BEHIND_TOKENS = 300;
/** The share of an engine's queue that requests which are not urgent may fill. */
const PATIENT_QUEUE = 0.5;
/** The share of a prompt that its home by affinity is taken to have to read. */
const HOME_READS = 0.3;
/** Costs are spread by this share, so that routers do not all pick the same. */
const SPREAD = 0.02;
/** Ms that each rank below the home costs where an index knows, which keeps equals together. */
const RANK_MS = 0.5;
/** Affinity looks at a prompt's parts up to this one, and never at the last. */
const PREFIX_PART = 7;

/** What an index said that a source holds. */
export interface Overlap {
  source: string;
  tokens: number;
  doubted: number;
  parts: number;
}

/** What is to be placed. */
export interface ChoiceRequest {
  model: string;
  salt: string;
  parts: PromptBlock[];
  urgent: boolean;
  weights: (s: TrackedEngine) => string | undefined;
  excluded: Set<string>;
}

/** Where a request goes, and what is fetched for it. */
export interface EngineChoice {
  tracked: TrackedEngine;
  weights: string;
  expectedBlocks: number;
  isCertain: boolean;
  fetch?: { from: string; at: string; hashes: string[]; tokens: number };
  isIndexed: boolean;
}

/** Asks indexers and works out placements. */
export interface EngineSelector {
  queryOverlaps: (
    model: string,
    salt: string,
    weights: string,
    parts: PromptBlock[],
  ) => Promise<Overlap[] | undefined>;
  choose: (w: ChoiceRequest, by: Map<string, Overlap[] | undefined>) => EngineChoice | undefined;
  notifyReused: (body: object) => void;
  updateIndexers: (members: Member[]) => void;
  stop: () => void;
}

/** Makes the placer; it keeps a connection up to each indexer. */
export function makeEngineSelector(
  ports: Ports,
  bounds: TimeLimits,
  follower: Follower,
  engines: EngineTracker,
  hello: Hello,
  edges: object[],
  way: 'index' | 'affinity',
): EngineSelector {
  const helds = makeConnectionPool(ports, {
    hello,
    handlers: edges,
    timeoutMs: bounds.connectTimeoutMs,
    retryPauseMs: bounds.retryPauseMs,
  });

  function reach(members: Member[]): void {
    helds.setPeers(members.filter(isIndexer).map(addressOf));
  }

  function isIndexer(m: Member): boolean {
    return m.role === 'indexer';
  }

  async function overlaps(
    model: string,
    salt: string,
    weights: string,
    parts: PromptBlock[],
  ): Promise<Overlap[] | undefined> {
    if (way === 'affinity') return undefined;
    let tries = 0;
    for (const at of rankByRendezvousHash(hello.name, helds.peerAddresses())) {
      const ex = helds.channelTo(at);
      if (!ex) continue;
      if (++tries > 2) break;
      const [f, r] = errorOrValue(
        await ex.request('query', { model, salt, weights, parts }, bounds.indexQueryTimeoutMs),
      );
      if (!f) return r as Overlap[];
    }
    return undefined;
  }

  function room(s: TrackedEngine, urgent: boolean): boolean {
    const st = s.status!;
    const busy = st.running + st.waiting + s.sentSinceStatus;
    return busy < (urgent ? st.batch + st.queue : st.batch + st.queue * PATIENT_QUEUE);
  }

  function total(parts: readonly PromptBlock[], from = 0): number {
    let t = 0;
    for (let i = from; i < parts.length; i++) t += parts[i].size;
    return t;
  }

  function waitOf(s: TrackedEngine): number {
    const st = s.status!;
    const behind = (st.unreadTokens + s.sentTokensSinceStatus) * s.msPerPrefillToken;
    const over = Math.max(0, st.running + st.waiting + s.sentSinceStatus + 1 - st.batch);
    return behind + over * s.msPerPrefillToken * BEHIND_TOKENS;
  }

  function stores(): CacheStore[] {
    return follower.value<IntentsValue>(CONTROL_KEYS.intents)?.value.doc.cacheStores ?? [];
  }

  function sourceAddress(source: string): string | undefined {
    const e = engines.get(source);
    if (e) return engines.isUsable(e) ? e.engine.at : undefined;
    function named(s: CacheStore): boolean {
      return s.id === source;
    }
    return stores().find(named)?.at;
  }

  function choose(
    w: ChoiceRequest,
    by: Map<string, Overlap[] | undefined>,
  ): EngineChoice | undefined {
    const all = total(w.parts);
    let best: { cost: number; p: EngineChoice } | undefined;
    const prefix =
      w.parts.length > 1
        ? w.parts[Math.min(w.parts.length - 2, PREFIX_PART)].hash
        : (w.parts[0]?.hash ?? '');
    const able: { s: TrackedEngine; weights: string }[] = [];
    for (const s of engines.ofModel(w.model)) {
      const weights = w.weights(s);
      if (
        weights !== undefined &&
        !w.excluded.has(s.engine.id) &&
        engines.isUsable(s) &&
        room(s, w.urgent)
      )
        able.push({ s, weights });
    }
    const ranks = rankByRendezvousHash(`${w.salt} ${prefix}`, able.map(idOf));
    for (const { s, weights } of able) {
      const known = by.get(weights);
      const cand = known ? byIndex(s, weights, known) : byAffinity(s, weights);
      const cost = cand.cost * (1 + SPREAD * ports.random.next());
      if (!best || cost < best.cost) best = { cost, p: cand.p };
    }
    return best?.p;

    function idOf(a: { s: TrackedEngine }): string {
      return a.s.engine.id;
    }

    function byAffinity(s: TrackedEngine, weights: string): { cost: number; p: EngineChoice } {
      const rank = ranks.indexOf(s.engine.id);
      const likely = rank === 0 ? HOME_READS : 1;
      return {
        cost: waitOf(s) + all * s.msPerPrefillToken * likely + rank,
        p: { tracked: s, weights, expectedBlocks: 0, isCertain: false, isIndexed: false },
      };
    }

    function byIndex(
      s: TrackedEngine,
      weights: string,
      known: Overlap[],
    ): { cost: number; p: EngineChoice } {
      let own: Overlap = { source: s.engine.id, tokens: 0, doubted: 0, parts: 0 };
      for (const o of known) if (o.source === s.engine.id) own = o;
      const held = own.tokens + own.doubted * DOUBTED;
      let cost =
        waitOf(s) + (all - held) * s.msPerPrefillToken + ranks.indexOf(s.engine.id) * RANK_MS;
      const p: EngineChoice = {
        tracked: s,
        weights,
        expectedBlocks: own.parts,
        isCertain: own.doubted === 0,
        isIndexed: true,
      };
      for (const o of known) {
        if (o.source === s.engine.id || o.parts <= own.parts) continue;
        const at = sourceAddress(o.source);
        if (!at) continue;
        const more = total(w.parts.slice(0, o.parts), own.parts);
        const link = engines.transferMsPerToken(o.source, s.engine.id);
        const sure = o.tokens / Math.max(1, o.tokens + o.doubted);
        const fetched =
          waitOf(s) +
          more * link +
          (all - held - more * sure) * s.msPerPrefillToken +
          ranks.indexOf(s.engine.id) * RANK_MS;
        if (fetched >= cost) continue;
        cost = fetched;
        p.fetch = {
          from: o.source,
          at,
          hashes: w.parts.slice(own.parts, o.parts).map(hashOf),
          tokens: more,
        };
      }
      return { cost, p };
    }
  }

  function hashOf(p: PromptBlock): string {
    return p.hash;
  }

  function tellReused(body: object): void {
    for (const at of helds.peerAddresses()) helds.channelTo(at)?.notify('reused', body);
  }

  return {
    queryOverlaps: overlaps,
    choose,
    notifyReused: tellReused,
    updateIndexers: reach,
    stop: helds.stop,
  };
}
