import { Command } from 'commander';
import { PromptBlock } from '../../src/shared/contracts/engine';
import { EngineLoad, OverlapReply } from '../../src/shared/contracts/indexer';
import { PlacedRequest } from '../../src/data/gateway/placed-request';
import { Placement } from '../../src/data/gateway/placement';
import {
  EngineEndpoint,
  PlacementRequest,
  PlacementStrategy,
  PlacementDecision,
  PoolView,
} from '../../src/data/gateway/placement-types';
import { RandomSource } from '../../src/shared/ports/random';
import { makeAgenda } from './agenda';
import { makePartCache, PartCache } from './partcache';
import { seededDice } from './dice';
import { PlacingWorld, USUAL } from './placingworld';
import { LONG_AIM, PlacingResult, SHORT_AIM, tally, WORTH } from './placingscore';

interface Job {
  parts: readonly PromptBlock[];
  tokensIn: number;
  out: number;
  urgency: number;
  cameAt: number;
  long: boolean;
  engine: SimEngine;
  done: number;
  given: number;
  looked: boolean;
  readyAt: number;
  firstAt?: number;
  placed: PlacementDecision;
  under: PlacedRequest;
}

interface SimEngine {
  spot: EngineEndpoint;
  pace: number;
  running: Job[];
  waiting: Job[];
  kept: PartCache;
  moveUntil: number;
  stepping: boolean;
}

const STEP_MS = 3.4;
const PER_SLOT_MS = 0.011;
const TOKENS_PER_MS = 61;
const PAIRS_MS = 3.2e-7;
const CHUNK = 1024;
const SETUP_MS = 8;

/** Tokens of one event. */
const STRIDE = 7;

/** Plays one way of placing in a world. */
export function playPlacing(
  world: PlacingWorld,
  way: PlacementStrategy,
  seed: number,
): PlacingResult {
  const dice: RandomSource = seededDice(seed);
  const agenda = makeAgenda();
  const { at } = agenda;
  let now = 0;
  const engines: SimEngine[] = [];
  for (let i = 0; i < world.engines; i++) {
    engines.push({
      spot: { id: `e${i}`, address: `10.0.0.${i}:80`, zone: `z${i % world.zones}`, salt: '' },
      pace: i % 3 === 2 ? world.slow : 1,
      running: [],
      waiting: [],
      kept: makePartCache(),
      moveUntil: 0,
      stepping: false,
    });
  }
  const storeKept = makePartCache();
  const everRead = new Set<string>();
  const pool: PoolView = {
    name: 'p',
    batch: world.batch,
    cacheTokens: world.cacheTokens,
    tokenBytes: 163840,
    linkMbps: 1.1e6,
    engines: engines.map(spotOf),
    stores:
      world.storeTokens > 0
        ? [{ name: 's', address: '10.0.1.1:80', zone: 'z1', linkMbps: 4e5 }]
        : [],
  };
  const routers: Placement[] = [];
  for (let i = 0; i < world.routers; i++)
    routers.push(
      new Placement({
        now: clock,
        random: dice.next,
        zone: `z${i % world.zones}`,
        baseEjectionMs: 300,
        strategy: way,
      }),
    );
  const things: PromptBlock[] = [];
  for (let i = 0; i < world.things; i++)
    things.push({ hash: `t${i}`, size: Math.round(Math.min(39900, lognormal(13300, 0.7))) });
  const longs: number[] = [];
  const shorts: number[] = [];
  let refused = 0;
  let readAgain = 0;
  let moved = 0;
  let ended = 0;
  let requests = 0;

  function clock(): number {
    return now;
  }

  function spotOf(e: SimEngine): EngineEndpoint {
    return e.spot;
  }

  function lognormal(mean: number, spread: number): number {
    const u = Math.sqrt(-2 * Math.log(1 - dice.next())) * Math.cos(2 * Math.PI * dice.next());
    return mean * Math.exp(spread * u - (spread * spread) / 2);
  }

  function overlap(parts: readonly PromptBlock[]): OverlapReply {
    const out: OverlapReply = [];
    for (const e of engines) {
      const kept = e.kept.tokensOf(parts);
      let coming = 0;
      for (const j of [...e.running, ...e.waiting])
        if (j.parts[0].hash === parts[0].hash && j.done < j.tokensIn)
          coming = Math.max(coming, parts[0].size - kept);
      if (kept + coming > 0) out.push([e.spot.id, kept, coming]);
    }
    const inStore = storeKept.tokensOf(parts);
    if (inStore > 0) out.push(['s', inStore, 0]);
    return out;
  }

  function keep(e: SimEngine, p: PromptBlock): void {
    let room = world.cacheTokens;
    for (const j of e.running) room -= j.tokensIn + j.given;
    e.kept.put(p, room);
  }

  function put(p: PromptBlock): void {
    storeKept.put(p, world.storeTokens);
  }

  function arrive(): void {
    const long = dice.next() < world.longPerS / (world.longPerS + world.shortPerS);
    at(now + (-Math.log(1 - dice.next()) * 1000) / (world.longPerS + world.shortPerS), arrive);
    if (now > world.seconds * 1000) return;
    const own = Math.round(
      Math.max(16, Math.min(long ? 53200 : 1830, lognormal(long ? 3720 : 291, long ? 1.1 : 1.4))),
    );
    const shared = long
      ? things[Math.floor(world.things * dice.next() ** 1.3)]
      : { hash: `s${Math.floor(8 * dice.next())}`, size: 55 };
    const parts = [shared];
    if (!long)
      parts.push({ hash: `${shared.hash} n${Math.floor(150 * dice.next() ** 1.3)}`, size: 37 });
    let all = own;
    for (const x of parts) all += x.size;
    parts.push({ hash: `own${agenda.added()}`, size: own });
    const r = routers[Math.floor(dice.next() * routers.length)];
    const out =
      STRIDE * Math.max(1, Math.round(Math.min(long ? 68 : 26, lognormal(long ? 17 : 6.4, 1.4))));
    const ask: PlacementRequest = {
      pool,
      cacheScope: '',
      blocks: parts,
      promptTokens: all,
      maxOutputTokens: out,
      latencyTargetMs: long ? LONG_AIM : SHORT_AIM,
      remainingMs: 6000,
      routePriority: long ? 1 : 0,
      tenantPriority: 0,
      isIdempotent: !long,
      excluded: new Set(),
    };
    requests++;
    const kept = new Map<string, OverlapReply>();
    for (const salt of r.saltsToQuery(ask)) kept.set(salt, overlap(parts));
    at(now + (kept.size > 0 ? 3 : 1), go);
    function go(): void {
      const o = r.place(ask, kept);
      if (o.isLeft()) {
        refused++;
        (long ? longs : shorts).push(Infinity);
        return;
      }
      const placed = o.extract() as PlacementDecision;
      const engine = engines.find(same)!;
      function same(e: SimEngine): boolean {
        return e.spot.id === placed.estimate.candidate.endpoint.name;
      }
      const job: Job = {
        parts,
        tokensIn: ask.promptTokens,
        out,
        urgency: placed.urgency,
        cameAt: now,
        long,
        engine,
        done: 0,
        given: 0,
        looked: false,
        readyAt: now + SETUP_MS,
        placed,
        under: r.start(placed),
      };
      const fetch = placed.estimate.prefixFetch;
      let from = storeKept;
      if (fetch) {
        from = fetch.source.endpoint.name === 's' ? storeKept : engines.find(bySource)!.kept;
        const has = from.tokensOf(parts) - engine.kept.tokensOf(parts);
        if (has > 0) {
          const far = fetch.source.endpoint.zone === engine.spot.zone ? 1 : 2;
          engine.moveUntil =
            Math.max(now, engine.moveUntil) +
            (has * pool.tokenBytes * 8 * far) / (fetch.source.endpoint.linkMbps * 1000);
          job.readyAt = engine.moveUntil + SETUP_MS;
          moved += has;
          at(engine.moveUntil, gotParts);
        }
      }
      function bySource(e: SimEngine): boolean {
        return e.spot.id === fetch!.source.endpoint.name;
      }
      function gotParts(): void {
        for (const x of parts) {
          if (!from.has(x.hash)) break;
          keep(engine, x);
          if (from === storeKept) put(x);
        }
      }
      engine.waiting.push(job);
      at(job.readyAt, wake);
      function wake(): void {
        step(engine);
      }
    }
  }

  function admit(e: SimEngine): void {
    e.waiting.sort(byUrgency);
    for (const j of [...e.waiting]) {
      if (e.running.length >= world.batch) return;
      if (j.readyAt > now) continue;
      let used = 0;
      for (const x of e.running) used += x.tokensIn + x.given;
      if (e.running.length > 0 && used + j.tokensIn + j.out > world.cacheTokens) return;
      if (world.looksAt === 'admission') look(e, j);
      e.waiting.splice(e.waiting.indexOf(j), 1);
      e.running.push(j);
    }
  }

  function look(e: SimEngine, j: Job): void {
    j.looked = true;
    j.done = Math.min(j.tokensIn - 1, e.kept.tokensOf(j.parts));
    let before = 0;
    for (const p of j.parts.slice(0, -1)) {
      before += p.size;
      if (everRead.has(p.hash)) readAgain += Math.min(p.size, Math.max(0, before - j.done));
    }
  }

  function byUrgency(a: Job, b: Job): number {
    return a.urgency - b.urgency || a.cameAt - b.cameAt;
  }

  function step(e: SimEngine): void {
    if (e.stepping) return;
    admit(e);
    if (e.running.length === 0) return;
    e.stepping = true;
    let ms = STEP_MS + PER_SLOT_MS * e.running.length;
    let budget = CHUNK;
    for (const j of e.running) {
      if (j.done >= j.tokensIn || budget <= 0) continue;
      if (!j.looked) look(e, j);
      const n = Math.min(budget, j.tokensIn - j.done);
      ms += n / TOKENS_PER_MS + n * j.done * PAIRS_MS;
      j.done += n;
      budget -= n;
    }
    at(now + ms * e.pace, stepped);
    function stepped(): void {
      e.stepping = false;
      for (const j of [...e.running]) if (j.done >= j.tokensIn) give(e, j);
      step(e);
    }
  }

  function give(e: SimEngine, j: Job): void {
    j.given++;
    if (j.firstAt === undefined && j.given === STRIDE) {
      for (const [i, p] of j.parts.entries()) {
        keep(e, p);
        if (i < j.parts.length - 1) everRead.add(p.hash);
        if (j.placed.storeAddress) put(p);
      }
      j.firstAt = now;
      j.under.recordFirstEvent();
      (j.long ? longs : shorts).push(now - j.cameAt);
    }
    if (j.given < j.out) return;
    e.running.splice(e.running.indexOf(j), 1);
    if (j.long && now - j.cameAt < 6000) ended++;
    j.under.recordEnd('answered');
  }

  function board(): void {
    const all = routers.map(ownOf);
    function ownOf(r: Placement): EngineLoad[] {
      return r.loads.ownLoads();
    }
    at(now + world.lagMs * 0.5, tell);
    at(now + world.lagMs * 0.5, board);
    function tell(): void {
      for (const [i, r] of routers.entries()) {
        const sum = new Map<string, [number, number, number]>();
        for (const [k, list] of all.entries()) {
          if (k === i) continue;
          for (const [id, running, unread, held] of list) {
            const s = sum.get(id) ?? [0, 0, 0];
            sum.set(id, [s[0] + running, s[1] + unread, s[2] + held!]);
          }
        }
        const out: EngineLoad[] = [];
        for (const [id, s] of sum) out.push([id, ...s]);
        r.loads.applyBoard(out, true);
      }
    }
  }

  at(0, arrive);
  at(0, board);
  for (let x = agenda.next(); x && x.at < world.seconds * 1000 + 6000; x = agenda.next()) {
    now = x.at;
    x.run();
  }
  const l = tally(longs, LONG_AIM);
  const s = tally(shorts, SHORT_AIM);
  const owed = longs.length * WORTH.long + shorts.length * WORTH.short;
  const earned =
    longs.length * WORTH.long * (l.inAim + WORTH.late * (1 - l.inAim)) +
    shorts.length * WORTH.short * (s.inAim + WORTH.late * (1 - s.inAim));
  const score =
    (earned -
      (readAgain / 1000) * WORTH.readAgain -
      ((moved * pool.tokenBytes) / 1e9) * WORTH.movedGb) /
    owed;
  return {
    way,
    requests,
    refused,
    longInAim: l.inAim,
    shortInAim: s.inAim,
    longMean: l.mean,
    long95: l.p95,
    shortMean: s.mean,
    short95: s.p95,
    ended: ended / longs.length,
    readAgain,
    moved,
    score,
  };
}

function say(r: PlacingResult): string {
  return `${r.way.padEnd(11)} long: mean ${Math.round(r.longMean)} ms, 95 % ${Math.round(r.long95)} ms, in aim ${r.longInAim.toFixed(3)}, ended ${r.ended.toFixed(3)}; short: mean ${Math.round(r.shortMean)} ms, 95 % ${Math.round(r.short95)} ms, in aim ${r.shortInAim.toFixed(3)}; read again ${r.readAgain}, moved ${r.moved}, refused ${r.refused} of ${r.requests}, score ${r.score.toFixed(3)}`;
}

function main(): void {
  const c = new Command('placing')
    .description('plays ways of placing requests against a model of engines')
    .option('--seeds <n>', 'seeds', '3')
    .option('--load <x>', 'load as a multiple of the usual', '1')
    .option('--no-store', 'without a store')
    .option('--engines <n>', 'engines', String(USUAL.engines));
  c.parse();
  const o = c.opts<{ seeds: string; load: string; store: boolean; engines: string }>();
  const world = {
    ...USUAL,
    longPerS: USUAL.longPerS * Number(o.load),
    shortPerS: USUAL.shortPerS * Number(o.load),
    storeTokens: o.store ? USUAL.storeTokens : 0,
    engines: Number(o.engines),
  };
  for (const way of ['full', 'affinity', 'least-busy'] as const)
    for (let seed = 1; seed <= Number(o.seeds); seed++)
      console.log(say(playPlacing(world, way, seed)));
}

if (require.main === module) main();
