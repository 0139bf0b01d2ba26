import { Either, Left, Right } from 'purify-ts';
import { PromptBlock } from '../../shared/contracts/engine';
import { OverlapReply } from '../../shared/contracts/indexer';
import { Homes, makeHomes } from './homes';
import { makeLinks, Side } from './links';
import { Flight, makeLoads } from './loads';
import { makePaces } from './pace';
import { Able, KeptAt, Prompt, reckon, Reckoned, Source } from './reckon';
import { Ending, makeStandings } from './standing';

import {
  EngineSpot,
  StoreSpot,
  PlaceAsk,
  Placed,
  NoPlace,
  Underway,
  Placement,
  PlaceWays,
} from './placement-types';

/** A prompt that reads in under this share of its aim is placed without asking an index. */
const QUICK = 0.08;
/** What a prompt's home is taken to keep of its shared parts where no index answered, and an engine where one was placed before. */
const HOME_KEEPS = 0.4;
const PLACED_KEEPS = 0.9;
/** The same of a home that parts are fetched from: a miss costs little. */
const GUESSED = 0.7;
/** Prompts whose engines are remembered. */
const MOST_RECENT = 4096;
const MOST_ENGINES = 4;
/** A router that placed fewer prompts than this has no reason yet to guess that a home keeps something to fetch. */
const FEW = 4;
/** The share of a zone's engines that long prompts are rather sent to, and the shares of the aim that going to the other side must gain. */
const LONG_SIDE = 0.75;
const QUICK_SIDE = 0.1;
const LONG_ASIDE = 0.3;
/** Costs are spread by this share, so that routers do not all choose the same. */
const SPREAD = 0.02;
/** A prompt goes to a store where this share of it is shared: its own part goes along, and fills the store's link and room. */
const STORED = 0.5;
/** A request that fetched shows a slow link only by taking this many times what was reckoned. */
const SLOW = 1.5;
/** Where more than this share of the time is waiting, it shows nothing of a link. */
const MUCH = 0.3;
/** The least urgent rank that is given. */
const LAST = 8;
/** The share of a pool's places that must be taken before a request that can't make its aim is refused. */
const PRESSED = 0.9;
/** A tenant with more than this many fair shares of what is under way gives way first. */
const FAIR = 1.5;

/** Makes the placement. */
export function makePlacement(ways: PlaceWays): Placement {
  const homes: Homes = makeHomes();
  const paces = makePaces();
  const links = makeLinks();
  const loads = makeLoads(ways.now);
  const standings = makeStandings(ways.now, ways.spread, ways.pause);
  const recent = new Map<string, string[]>();
  const tenants = new Map<string, number>();
  const way = ways.way ?? 'full';

  function sharedOf(parts: readonly PromptBlock[]): number {
    let t = 0;
    for (let i = 0; i < parts.length - 1; i++) t += parts[i].size;
    return t;
  }

  function wantsIndex(ask: PlaceAsk): string[] {
    if (way !== 'full' || ask.parts.length === 0) return [];
    if (isQuick(ask)) return [];
    const salts = new Set<string>();
    for (const e of ask.pool.engines) salts.add(e.salt);
    return [...salts];
  }

  function isQuick(ask: PlaceAsk): boolean {
    return ask.tokensIn * paces.of(ask.pool.name, '').msPerToken <= QUICK * ask.aimMs;
  }

  function homeOf(ask: PlaceAsk): string {
    return `${ask.wall} ${ask.parts[Math.max(0, ask.parts.length - 2)]?.hash ?? ''}`;
  }

  function sideOf(e: EngineSpot | StoreSpot, name: string, mbps: number): Side {
    return { name, zone: e.zone, region: e.region, mbps };
  }

  /** How far each engine stands from the home of its zone: a prompt has one home in each, so that it need not cross zones. */
  function ranksOf(ask: PlaceAsk, home: string): Map<string, number> {
    const all = homes.ranks(home, ask.pool.engines.map(idOf));
    const order = [...ask.pool.engines].sort(byRank);
    const count = new Map<string, number>();
    const out = new Map<string, number>();
    for (const e of order) {
      const n = count.get(e.zone) ?? 0;
      count.set(e.zone, n + 1);
      out.set(e.id, n);
    }
    return out;
    function byRank(a: EngineSpot, b: EngineSpot): number {
      return all.get(a.id)! - all.get(b.id)!;
    }
  }

  /** Engines that long prompts are rather sent to: most of each zone's, in an order that all routers share. */
  function forLong(ask: PlaceAsk): Set<string> {
    const ranks = ranksOf(ask, ask.pool.name);
    const count = new Map<string, number>();
    for (const e of ask.pool.engines) count.set(e.zone, (count.get(e.zone) ?? 0) + 1);
    const out = new Set<string>();
    for (const e of ask.pool.engines)
      if (
        ranks.get(e.id)! <
        Math.min(count.get(e.zone)! - 1, Math.round(count.get(e.zone)! * LONG_SIDE))
      )
        out.add(e.id);
    return out;
  }

  function guess(
    ask: PlaceAsk,
    home: string,
    ranks: Map<string, number>,
  ): { here: (name: string) => KeptAt; there: (name: string) => KeptAt } {
    const shared = sharedOf(ask.parts);
    const placed = recent.get(home) ?? [];
    function by(home: number): (name: string) => KeptAt {
      function keptAt(name: string): KeptAt {
        if (placed.includes(name)) return { kept: shared * PLACED_KEEPS, coming: 0 };
        return { kept: ranks.get(name) === 0 ? shared * home : 0, coming: 0 };
      }
      return keptAt;
    }
    return { here: by(HOME_KEEPS), there: by(recent.size < FEW ? 0 : GUESSED) };
  }

  function told(kept: OverlapReply): (name: string) => KeptAt {
    const m = new Map<string, KeptAt>();
    for (const [source, k, coming] of kept) m.set(source, { kept: k, coming });
    function keptAt(name: string): KeptAt {
      return m.get(name) ?? { kept: 0, coming: 0 };
    }
    return keptAt;
  }

  function sourcesOf(ask: PlaceAsk, salt: string, keptAt: (name: string) => KeptAt): Source[] {
    const out: Source[] = [];
    const up = new Set(standings.able(ask.pool.engines.map(idOf), false));
    for (const e of ask.pool.engines) {
      const { kept } = keptAt(e.id);
      if (kept > 0 && e.salt === salt && up.has(e.id))
        out.push({ side: sideOf(e, e.id, ask.pool.linkMbps), at: e.at, kept });
    }
    for (const s of ask.pool.stores) {
      const { kept } = keptAt(s.name);
      if (kept > 0) out.push({ side: sideOf(s, s.name, s.linkMbps), at: s.at, kept });
    }
    return out;
  }

  function idOf(e: EngineSpot): string {
    return e.id;
  }

  function cost(r: Reckoned): number {
    if (way === 'affinity') return r.able.rank;
    if (way === 'least-busy')
      return r.able.load.running + r.able.load.unread / Math.max(1, r.able.cacheTokens);
    return r.cost * (1 + SPREAD * ways.spread());
  }

  function place(ask: PlaceAsk, kept: ReadonlyMap<string, OverlapReply>): Either<NoPlace, Placed> {
    const names: string[] = [];
    for (const e of ask.pool.engines) if (!ask.avoid.has(e.id)) names.push(e.id);
    const fit = new Set(standings.able(names, ask.repeatable));
    if (fit.size === 0)
      return Left({
        why: 'no-engine',
        retryAfterMs: Math.max(ways.pause, standings.nextIn(names)),
      });
    const home = homeOf(ask);
    const ranks = ranksOf(ask, home);
    const quick = isQuick(ask);
    const side = forLong(ask);
    const bySalt = new Map<string, Able[]>();
    const all: Able[] = [];
    for (const e of ask.pool.engines) {
      if (!fit.has(e.id)) continue;
      const a: Able = {
        side: sideOf(e, e.id, ask.pool.linkMbps),
        at: e.at,
        batch: Math.max(1, e.batch ?? ask.pool.batch),
        cacheTokens: ask.pool.cacheTokens,
        load: loads.of(e.id),
        pace: paces.of(ask.pool.name, e.id),
        rank: ranks.get(e.id)!,
        besideMs: quick && side.has(e.id) ? ask.aimMs * QUICK_SIDE : 0,
        besideReading: !quick && !side.has(e.id) ? LONG_ASIDE : 0,
      };
      all.push(a);
      bySalt.set(e.salt, [...(bySalt.get(e.salt) ?? []), a]);
    }
    let best: { r: Reckoned; cost: number } | undefined;
    for (const [salt, able] of bySalt) {
      const answer = way === 'full' ? kept.get(salt) : undefined;
      const by = answer ? told(answer) : undefined;
      const { here, there } = by ? { here: by, there: by } : guess(ask, home, ranks);
      const sources = way === 'full' ? sourcesOf(ask, salt, there) : [];
      for (const r of reckon(promptOf(ask, answer), able, here, sources, links.moveMs)) {
        const c = cost(r);
        if (!best || c < best.cost) best = { r, cost: c };
      }
    }
    const no = refusal(ask, all, best!.r);
    if (no) return Left(no);
    const salt = ask.pool.engines.find(isBest)!.salt;
    return Right({
      ask,
      reckoned: best!.r,
      urgency: urgencyOf(ask),
      storeAt: storeFor(ask, home, kept.get(salt)),
      home,
    });
    function isBest(e: EngineSpot): boolean {
      return e.id === best!.r.able.side.name;
    }
  }

  /** The prompt, with how much of what it shares was read before: as an index told, or all where none did. */
  function promptOf(ask: PlaceAsk, answer: OverlapReply | undefined): Prompt {
    const shared = sharedOf(ask.parts);
    let known = answer ? 0 : shared;
    for (const [, k, coming] of answer ?? []) known = Math.max(known, k + coming);
    return {
      tokensIn: ask.tokensIn,
      tokensOut: ask.tokensOut,
      shared,
      known,
      tokenBytes: ask.pool.tokenBytes,
      aimMs: ask.aimMs,
      leftMs: ask.leftMs,
      zone: ways.zone,
    };
  }

  /** The store that lacks something of what the prompt shares: the same one for a part at every router. */
  function storeFor(
    ask: PlaceAsk,
    home: string,
    answer: OverlapReply | undefined,
  ): string | undefined {
    if (!answer || ask.pool.stores.length === 0) return undefined;
    const ranks = homes.ranks(home, ask.pool.stores.map(nameOf));
    const shared = sharedOf(ask.parts);
    if (shared < ask.tokensIn * STORED) return undefined;
    for (const s of ask.pool.stores) {
      if (ranks.get(s.name) !== 0) continue;
      const { kept, coming } = told(answer)(s.name);
      return kept + coming < shared ? s.at : undefined;
    }
    return undefined;
  }

  function nameOf(s: StoreSpot): string {
    return s.name;
  }

  /** A request is refused only where places are taken, and its time would pass in waiting for one. */
  function refusal(ask: PlaceAsk, able: readonly Able[], r: Reckoned): NoPlace | undefined {
    let running = 0;
    let places = 0;
    for (const a of able) {
      running += Math.min(a.batch, a.load.running);
      places += a.batch;
    }
    if (running < places * PRESSED || r.able.load.running < r.able.batch) return undefined;
    const own = r.firstMs - r.waitMs;
    if (own < ask.leftMs && r.firstMs >= ask.leftMs) return { why: 'full', retryAfterMs: r.waitMs };
    if (own >= ask.aimMs || r.firstMs < ask.aimMs) return undefined;
    return r.waitMs > ask.aimMs * (overShare(ask.tenant) ? 1 : 2)
      ? { why: 'too-late', retryAfterMs: r.waitMs }
      : undefined;
  }

  function overShare(tenant: string | undefined): boolean {
    let all = 0;
    for (const n of tenants.values()) all += n;
    return (tenants.get(tenant ?? '') ?? 0) * tenants.size > all * FAIR;
  }

  function urgencyOf(ask: PlaceAsk): number {
    return Math.min(LAST, ask.routePriority * 2 + Math.min(1, ask.tenantPriority));
  }

  function remember(home: string, engine: string): void {
    const was = recent.get(home) ?? [];
    recent.delete(home);
    recent.set(home, [engine, ...was.filter(other)].slice(0, MOST_ENGINES));
    if (recent.size > MOST_RECENT) recent.delete(recent.keys().next().value!);
    function other(id: string): boolean {
      return id !== engine;
    }
  }

  function began(p: Placed): Underway {
    const { ask, reckoned: r } = p;
    const engine = r.able.side.name;
    const tenant = ask.tenant ?? '';
    const f: Flight = {
      engine,
      unread: r.unread,
      memory: ask.tokensIn + ask.tokensOut,
      sentAt: ways.now(),
      dueMs: r.firstMs,
      moveMs: r.fetch?.ms ?? 0,
    };
    loads.began(f);
    standings.began(engine);
    tenants.set(tenant, (tenants.get(tenant) ?? 0) + 1);
    remember(p.home, engine);
    let over = false;

    function first(): void {
      if (f.firstAt !== undefined) return;
      loads.first(f);
      const ms = f.firstAt! - f.sentAt;
      if (r.fetch && r.waitMs > r.firstMs * MUCH) return;
      if (r.fetch)
        links.learn(r.fetch.source.side.name, engine, ms > r.firstMs * SLOW + r.fetch.ms);
      else
        paces.learn(ask.pool.name, engine, {
          ms,
          tokens: r.unread,
          pairs: r.pairs,
          ahead: r.ahead,
        });
    }

    function ended(how: Ending): void {
      if (over) return;
      over = true;
      loads.ended(f);
      standings.ended(engine, how, f.sentAt);
      const left = (tenants.get(tenant) ?? 1) - 1;
      if (left > 0) tenants.set(tenant, left);
      else tenants.delete(tenant);
      if (how === 'answered') paces.learnPlace(ask.pool.name, ways.now() - f.sentAt);
      if (how !== 'turned-away' && f.firstAt !== undefined)
        paces.learnOut(ask.pool.name, engine, ways.now() - f.firstAt, ask.tokensOut);
    }

    return { first, ended };
  }

  function keep(names: ReadonlySet<string>): void {
    paces.keep(names);
    links.keep(names);
    standings.keep(names);
    loads.keep(names);
  }

  return { wantsIndex, place, began, loads, paces, links, standings, keep };
}
