import { OverlapReply } from '../../src/shared/contracts/indexer';
import { PreferredReplicas } from '../../src/data/gateway/preferred-replicas';
import { TransferEstimator, LinkEndpoint } from '../../src/data/gateway/transfer-estimate';
import { InFlightLoad, EngineLoads } from '../../src/data/gateway/engine-loads';
import { ThroughputEstimator } from '../../src/data/gateway/throughput-estimate';
import { Placement } from '../../src/data/gateway/placement';
import {
  EngineEndpoint,
  PlacementRequest,
  PlacementDecision,
} from '../../src/data/gateway/placement-types';
import { OutlierEjection } from '../../src/data/gateway/outlier-ejection';
import { seededDice } from '../../tools/sim/dice';

let time = 0;

function now(): number {
  return time;
}

function even(): number {
  return 0.5;
}

function spot(i: number): EngineEndpoint {
  return { id: `e${i}`, address: `10.0.0.${i}:80`, zone: 'z', salt: 's' };
}

function pool(engines: number, batch = 4): PlacementRequest['pool'] {
  const list: EngineEndpoint[] = [];
  for (let i = 0; i < engines; i++) list.push(spot(i));
  return {
    name: 'p',
    batch,
    cacheTokens: 100000,
    tokenBytes: 100000,
    linkMbps: 1e6,
    engines: list,
    stores: [{ name: 'store', address: '10.0.1.1:80', zone: 'z', linkMbps: 1e6 }],
  };
}

function long(more: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    pool: pool(6),
    cacheScope: 's',
    blocks: [
      { hash: 'shared', size: 10000 },
      { hash: 'own', size: 2000 },
    ],
    promptTokens: 12000,
    maxOutputTokens: 20,
    latencyTargetMs: 600,
    remainingMs: 6000,
    routePriority: 1,
    tenantPriority: 0,
    isIdempotent: false,
    excluded: new Set(),
    ...more,
  };
}

function short(more: Partial<PlacementRequest> = {}): PlacementRequest {
  return long({
    blocks: [
      { hash: 'tag', size: 60 },
      { hash: 'one', size: 300 },
    ],
    promptTokens: 360,
    maxOutputTokens: 6,
    latencyTargetMs: 300,
    remainingMs: 3000,
    routePriority: 0,
    isIdempotent: true,
    ...more,
  });
}

function placement(): Placement {
  time = 0;
  return new Placement({ now, random: even, zone: 'z', baseEjectionMs: 100 });
}

function told(answer: OverlapReply): Map<string, OverlapReply> {
  return new Map([['s', answer]]);
}

function placed(
  p: Placement,
  ask: PlacementRequest,
  kept = new Map<string, OverlapReply>(),
): PlacementDecision {
  return p.place(ask, kept).unsafeCoerce();
}

function engineOf(p: PlacementDecision): string {
  return p.estimate.candidate.endpoint.name;
}

function homesAgree(): void {
  const a = new PreferredReplicas().rank('k', ['x', 'y', 'z', 'w']);
  const b = new PreferredReplicas().rank('k', ['w', 'z', 'y', 'x']);
  expect([...a].sort()).toEqual([...b].sort());
  const without = new PreferredReplicas().rank('k', ['x', 'y', 'z']);
  const order = [...a].sort(byRank).map(nameOf).filter(notW);
  expect([...without].sort(byRank).map(nameOf)).toEqual(order);
  const count = new Map<string, number>();
  for (let i = 0; i < 4000; i++) {
    const home = [...new PreferredReplicas().rank(`key ${i}`, ['x', 'y', 'z', 'w'])].sort(
      byRank,
    )[0][0];
    count.set(home, (count.get(home) ?? 0) + 1);
  }
  for (const n of count.values()) expect(Math.abs(n - 1000)).toBeLessThan(150);
  function byRank(p: [string, number], q: [string, number]): number {
    return p[1] - q[1];
  }
  function nameOf(p: [string, number]): string {
    return p[0];
  }
  function notW(n: string): boolean {
    return n !== 'w';
  }
}

function pacesLearn(): void {
  const dice = seededDice(3);
  const p = new ThroughputEstimator();
  for (let i = 0; i < 600; i++) {
    const tokens = Math.round(200 + 20000 * dice.next());
    const ahead = dice.next() < 0.3 ? Math.round(10000 * dice.next()) : 0;
    const slow = i % 3 === 0 ? 1.5 : 1;
    const stray = dice.next() < 0.05 ? 2000 : 0;
    const ms = slow * (40 + tokens * 0.05 + ahead * 0.03) * (0.9 + 0.2 * dice.next()) + stray;
    p.observeFirstEvent('p', slow > 1 ? 'slow' : 'fast', {
      firstEventMs: ms,
      prefillTokens: tokens,
      attentionPairs: (tokens * tokens) / 2,
      queuedTokens: ahead,
    });
  }
  const fast = p.estimate('p', 'fast');
  const slow = p.estimate('p', 'slow');
  const due = fast.baseMs + 10000 * fast.msPerPrefillToken + 5e7 * fast.msPerAttentionPair;
  expect(due).toBeGreaterThan(0.8 * 540);
  expect(due).toBeLessThan(1.25 * 540);
  expect(slow.msPerPrefillToken / fast.msPerPrefillToken).toBeGreaterThan(1.25);
  expect(slow.msPerPrefillToken / fast.msPerPrefillToken).toBeLessThan(1.75);
}

function linksLearn(): void {
  const l = new TransferEstimator();
  const a: LinkEndpoint = { name: 'a', zone: 'z1', region: 'r1', linkMbps: 1000 };
  const b: LinkEndpoint = { name: 'b', zone: 'z1', region: 'r1', linkMbps: 2000 };
  expect(l.transferMs(a, b, 1e6)).toBeCloseTo(8);
  expect(l.transferMs(a, { ...b, zone: 'z2' }, 1e6)).toBeCloseTo(16);
  expect(l.transferMs(a, { ...b, zone: 'z2', region: 'r2' }, 1e6)).toBeCloseTo(80);
  for (let i = 0; i < 4; i++) l.observe('a', 'b', true);
  expect(l.transferMs(a, b, 1e6)).toBeGreaterThan(8 * 8);
  for (let i = 0; i < 12; i++) l.observe('a', 'b', false);
  expect(l.transferMs(a, b, 1e6)).toBeCloseTo(8);
}

function restsGrow(): void {
  time = 0;
  const s = new OutlierEjection(now, even, 100);
  const names = ['a', 'b', 'c', 'd'];
  s.recordStart('a');
  s.recordEnd('a', 'failed', 0);
  expect(s.available(names, true)).toEqual(['b', 'c', 'd']);
  time = 101;
  expect(s.available(names, true)).toEqual(['b', 'c', 'd', 'a']);
  expect(s.available(names, false)).toEqual(['b', 'c', 'd']);
  s.recordStart('a');
  expect(s.available(names, true)).toEqual(['b', 'c', 'd']);
  s.recordEnd('a', 'failed', 101);
  time = 250;
  expect(s.available(names, true)).toEqual(['b', 'c', 'd']);
  time = 302;
  expect(s.available(names, true)).toContain('a');
  s.recordStart('a');
  s.recordEnd('a', 'answered', 302);
  expect(s.available(names, false)).toContain('a');
}

function oneCrashIsOneFault(): void {
  time = 0;
  const s = new OutlierEjection(now, even, 100);
  for (let i = 0; i < 8; i++) s.recordStart('a');
  time = 50;
  for (let i = 0; i < 8; i++) s.recordEnd('a', 'failed', 10);
  time = 151;
  expect(s.available(['a', 'b', 'c'], true)).toContain('a');
}

function fewAreAlone(): void {
  time = 0;
  const s = new OutlierEjection(now, even, 100);
  for (const n of ['a', 'b', 'c']) {
    s.recordStart(n);
    s.recordEnd(n, 'failed', time);
    time += 10;
  }
  expect(s.available(['a', 'b', 'c', 'd'], false)).toEqual(['d', 'a']);
}

function loadsAreCounted(): void {
  time = 0;
  const l = new EngineLoads(now);
  const f: InFlightLoad = {
    engine: 'a',
    prefillTokens: 1000,
    memoryTokens: 1200,
    sentAt: 0,
    expectedFirstEventMs: 100,
    transferMs: 20,
  };
  l.recordStart(f);
  expect(l.snapshot('a')).toMatchObject({
    running: 1,
    prefillTokens: 1000,
    awaitingFirstEvent: 1,
    memoryTokens: 1200,
    transferMs: 20,
  });
  time = 50;
  expect(l.snapshot('a')).toMatchObject({ prefillTokens: 500, transferMs: 0 });
  l.applyBoard(
    [
      ['a', 2, 300, 900],
      ['b', 1, 0],
    ],
    true,
  );
  expect(l.snapshot('a')).toMatchObject({ running: 3, prefillTokens: 800, memoryTokens: 2100 });
  expect(l.ownLoads()).toEqual([['a', 1, 500, 1200]]);
  time = 400;
  expect(l.snapshot('a').overdueMs).toBe(300);
  l.recordFirstEvent(f);
  expect(l.snapshot('a')).toMatchObject({ running: 3, prefillTokens: 300, overdueMs: 0 });
  l.applyBoard([['a', 0, 0]], false);
  l.recordEnd(f);
  expect(l.snapshot('a').running).toBe(0);
  expect(l.snapshot('b').running).toBe(1);
}

function keptWins(): void {
  const p = placement();
  expect(p.saltsToQuery(long())).toEqual(['s']);
  expect(p.saltsToQuery(short())).toEqual([]);
  const r = placed(p, long(), told([['e4', 10000, 0]]));
  expect(engineOf(r)).toBe('e4');
  expect(r.estimate.prefillTokens).toBe(2000);
}

function waitingSpreads(): void {
  const p = placement();
  const ask = long({ pool: { ...pool(6), stores: [] } });
  const seen: string[] = [];
  for (let i = 0; i < 6; i++) {
    const r = placed(p, ask, told([['e4', 10000, 0]]));
    seen.push(engineOf(r));
    if (engineOf(r) !== 'e4') expect(r.estimate.prefixFetch?.source.endpoint.name).toBe('e4');
    p.start(r);
  }
  expect(seen[0]).toBe('e4');
  expect(new Set(seen).size).toBeGreaterThan(2);
}

function fetchesFromTheStore(): void {
  const p = placement();
  const r = placed(p, long(), told([['store', 10000, 0]]));
  expect(r.estimate.prefixFetch).toMatchObject({ tokens: 10000 });
  expect(r.estimate.prefixFetch!.source.address).toBe('10.0.1.1:80');
  expect(r.storeAddress).toBeUndefined();
  p.loads.applyBoard([['e0', 3, 60000]], true);
  for (let i = 0; i < 12; i++) p.transfers.observe('store', 'e5', true);
  const other = placed(
    p,
    long({ excluded: new Set(['e5']) }),
    told([
      ['store', 10000, 0],
      ['e0', 10000, 0],
    ]),
  );
  expect(engineOf(other)).not.toBe('e0');
  expect(other.estimate.prefixFetch?.source.endpoint.name).toBe('e0');
}

function firstReadIsStored(): void {
  const p = placement();
  expect(placed(p, long(), told([])).storeAddress).toBe('10.0.1.1:80');
  expect(placed(p, long()).storeAddress).toBeUndefined();
  expect(placed(p, long(), told([['store', 4000, 6000]])).storeAddress).toBeUndefined();
  expect(placed(p, long(), told([['store', 4000, 5000]])).storeAddress).toBe('10.0.1.1:80');
  const mostlyOwn = long({
    blocks: [
      { hash: 'shared', size: 10000 },
      { hash: 'own', size: 12000 },
    ],
    promptTokens: 22000,
  });
  expect(placed(p, mostlyOwn, told([])).storeAddress).toBeUndefined();
}

function homeWithoutIndex(): void {
  const a = placed(placement(), long());
  const b = placed(placement(), long());
  expect(engineOf(a)).toBe(engineOf(b));
  const p = placement();
  const seen: string[] = [];
  for (let i = 0; i < 12; i++) {
    const r = placed(p, long());
    seen.push(engineOf(r));
    p.start(r);
  }
  expect(new Set(seen).size).toBeGreaterThan(1);
}

function shortsKeepAway(): void {
  const p = placement();
  for (let i = 0; i < 5; i++) p.loads.applyBoard([[`e${i}`, 1, 9000]], false);
  for (let i = 0; i < 4; i++) {
    const r = placed(p, short());
    expect(engineOf(r)).toBe('e5');
    p.start(r);
  }
}

function longAnswersEndInTime(): void {
  const p = placement();
  for (let i = 0; i < 60; i++) {
    for (let e = 0; e < 5; e++) p.throughput.observeDecode('p', `e${e}`, 2000, 100);
    p.throughput.observeDecode('p', 'e5', 400, 100);
  }
  const kept = told([['e2', 10000, 0]]);
  expect(engineOf(placed(p, long(), kept))).toBe('e2');
  expect(engineOf(placed(p, long({ maxOutputTokens: 500 }), kept))).toBe('e5');
}

function silenceCounts(): void {
  const p = placement();
  const first = placed(p, short());
  p.start(first);
  time = 3000;
  expect(engineOf(placed(p, short()))).not.toBe(engineOf(first));
}

function refusedOnlyWhenFull(): void {
  const p = placement();
  const ask = short({ pool: pool(2, 2), remainingMs: 400 });
  p.loads.applyBoard(
    [
      ['e0', 2, 60000],
      ['e1', 1, 0],
    ],
    true,
  );
  expect(p.place(ask, new Map()).isRight()).toBe(true);
  p.loads.applyBoard(
    [
      ['e0', 2, 60000],
      ['e1', 2, 60000],
    ],
    true,
  );
  const no = p.place(ask, new Map()).swap().unsafeCoerce();
  expect(no.reason).toBe('full');
  expect(no.retryAfterMs).toBeGreaterThan(400);
  const none = p
    .place({ ...ask, excluded: new Set(['e0', 'e1']) }, new Map())
    .swap()
    .unsafeCoerce();
  expect(none).toMatchObject({ reason: 'no-engine', retryAfterMs: 100 });
}

function ranksGoFirst(): void {
  const p = placement();
  expect(placed(p, long()).urgency).toBe(2);
  expect(placed(p, short()).urgency).toBe(0);
  expect(placed(p, short({ tenantPriority: 3 })).urgency).toBe(1);
  expect(placed(p, long({ routePriority: 7 })).urgency).toBe(8);
}

test('homes are the same everywhere, even, and move only with the name that goes', homesAgree);
test('the pace of engines is learned in spite of strays', pacesLearn);
test('moves take longer over zones, and slow links are found and forgiven', linksLearn);
test(
  'an engine that fails is left alone for longer each time, and tried by one that may repeat',
  restsGrow,
);
test('all that fails with one crash is one fault', oneCrashIsOneFault);
test('no more than half of a pool is left alone', fewAreAlone);
test('requests in flight are counted, with those of other routers', loadsAreCounted);
test('a long prompt goes where its parts are kept', keptWins);
test('a hot prompt is spread as its waiting grows, and fetched there', waitingSpreads);
test(
  "parts are fetched from the store, and from an engine where the store's link has shown slow",
  fetchesFromTheStore,
);
test('parts that the store lacks go there once they are read', firstReadIsStored);
test('without an index routers agree on the home, and spill as it fills', homeWithoutIndex);
test('short requests keep away from engines that read long prompts', shortsKeepAway);
test('a long answer goes where it ends in time', longAnswersEndInTime);
test('an engine that is silent is taken to need as much longer', silenceCounts);
test(
  'a request is refused only where all places are taken and its time would pass',
  refusedOnlyWhenFull,
);
test("a route's rank goes before a tenant's", ranksGoFirst);
