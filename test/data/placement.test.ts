import { OverlapReply } from '../../src/shared/contracts/indexer';
import { makeHomes } from '../../src/data/gateway/homes';
import { makeLinks, Side } from '../../src/data/gateway/links';
import { Flight, makeLoads } from '../../src/data/gateway/loads';
import { makePaces } from '../../src/data/gateway/pace';
import { makePlacement } from '../../src/data/gateway/placement';
import { EngineSpot, PlaceAsk, Placed, Placement } from '../../src/data/gateway/placement-types';
import { makeStandings } from '../../src/data/gateway/standing';
import { seededDice } from '../../tools/sim/dice';

let time = 0;

function now(): number {
  return time;
}

function even(): number {
  return 0.5;
}

function spot(i: number): EngineSpot {
  return { id: `e${i}`, at: `10.0.0.${i}:80`, zone: 'z', salt: 's' };
}

function pool(engines: number, batch = 4): PlaceAsk['pool'] {
  const list: EngineSpot[] = [];
  for (let i = 0; i < engines; i++) list.push(spot(i));
  return {
    name: 'p',
    batch,
    cacheTokens: 100000,
    tokenBytes: 100000,
    linkMbps: 1e6,
    engines: list,
    stores: [{ name: 'store', at: '10.0.1.1:80', zone: 'z', linkMbps: 1e6 }],
  };
}

function long(more: Partial<PlaceAsk> = {}): PlaceAsk {
  return {
    pool: pool(6),
    wall: 's',
    parts: [
      { hash: 'shared', size: 10000 },
      { hash: 'own', size: 2000 },
    ],
    tokensIn: 12000,
    tokensOut: 20,
    aimMs: 600,
    leftMs: 6000,
    routePriority: 1,
    tenantPriority: 0,
    repeatable: false,
    avoid: new Set(),
    ...more,
  };
}

function short(more: Partial<PlaceAsk> = {}): PlaceAsk {
  return long({
    parts: [
      { hash: 'tag', size: 60 },
      { hash: 'one', size: 300 },
    ],
    tokensIn: 360,
    tokensOut: 6,
    aimMs: 300,
    leftMs: 3000,
    routePriority: 0,
    repeatable: true,
    ...more,
  });
}

function placement(): Placement {
  time = 0;
  return makePlacement({ now, spread: even, zone: 'z', pause: 100 });
}

function told(answer: OverlapReply): Map<string, OverlapReply> {
  return new Map([['s', answer]]);
}

function placed(p: Placement, ask: PlaceAsk, kept = new Map<string, OverlapReply>()): Placed {
  return p.place(ask, kept).unsafeCoerce();
}

function engineOf(p: Placed): string {
  return p.reckoned.able.side.name;
}

function homesAgree(): void {
  const a = makeHomes().ranks('k', ['x', 'y', 'z', 'w']);
  const b = makeHomes().ranks('k', ['w', 'z', 'y', 'x']);
  expect([...a].sort()).toEqual([...b].sort());
  const without = makeHomes().ranks('k', ['x', 'y', 'z']);
  const order = [...a].sort(byRank).map(nameOf).filter(notW);
  expect([...without].sort(byRank).map(nameOf)).toEqual(order);
  const count = new Map<string, number>();
  for (let i = 0; i < 4000; i++) {
    const home = [...makeHomes().ranks(`key ${i}`, ['x', 'y', 'z', 'w'])].sort(byRank)[0][0];
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
  const p = makePaces();
  for (let i = 0; i < 600; i++) {
    const tokens = Math.round(200 + 20000 * dice.next());
    const ahead = dice.next() < 0.3 ? Math.round(10000 * dice.next()) : 0;
    const slow = i % 3 === 0 ? 1.5 : 1;
    const stray = dice.next() < 0.05 ? 2000 : 0;
    const ms = slow * (40 + tokens * 0.05 + ahead * 0.03) * (0.9 + 0.2 * dice.next()) + stray;
    p.learn('p', slow > 1 ? 'slow' : 'fast', { ms, tokens, pairs: (tokens * tokens) / 2, ahead });
  }
  const fast = p.of('p', 'fast');
  const slow = p.of('p', 'slow');
  const due = fast.baseMs + 10000 * fast.msPerToken + 5e7 * fast.msPerPair;
  expect(due).toBeGreaterThan(0.8 * 540);
  expect(due).toBeLessThan(1.25 * 540);
  expect(slow.msPerToken / fast.msPerToken).toBeGreaterThan(1.25);
  expect(slow.msPerToken / fast.msPerToken).toBeLessThan(1.75);
}

function linksLearn(): void {
  const l = makeLinks();
  const a: Side = { name: 'a', zone: 'z1', region: 'r1', mbps: 1000 };
  const b: Side = { name: 'b', zone: 'z1', region: 'r1', mbps: 2000 };
  expect(l.moveMs(a, b, 1e6)).toBeCloseTo(8);
  expect(l.moveMs(a, { ...b, zone: 'z2' }, 1e6)).toBeCloseTo(16);
  expect(l.moveMs(a, { ...b, zone: 'z2', region: 'r2' }, 1e6)).toBeCloseTo(80);
  for (let i = 0; i < 4; i++) l.learn('a', 'b', true);
  expect(l.moveMs(a, b, 1e6)).toBeGreaterThan(8 * 8);
  for (let i = 0; i < 12; i++) l.learn('a', 'b', false);
  expect(l.moveMs(a, b, 1e6)).toBeCloseTo(8);
}

function restsGrow(): void {
  time = 0;
  const s = makeStandings(now, even, 100);
  const names = ['a', 'b', 'c', 'd'];
  s.began('a');
  s.ended('a', 'failed', 0);
  expect(s.able(names, true)).toEqual(['b', 'c', 'd']);
  time = 101;
  expect(s.able(names, true)).toEqual(['b', 'c', 'd', 'a']);
  expect(s.able(names, false)).toEqual(['b', 'c', 'd']);
  s.began('a');
  expect(s.able(names, true)).toEqual(['b', 'c', 'd']);
  s.ended('a', 'failed', 101);
  time = 250;
  expect(s.able(names, true)).toEqual(['b', 'c', 'd']);
  time = 302;
  expect(s.able(names, true)).toContain('a');
  s.began('a');
  s.ended('a', 'answered', 302);
  expect(s.able(names, false)).toContain('a');
}

function oneCrashIsOneFault(): void {
  time = 0;
  const s = makeStandings(now, even, 100);
  for (let i = 0; i < 8; i++) s.began('a');
  time = 50;
  for (let i = 0; i < 8; i++) s.ended('a', 'failed', 10);
  time = 151;
  expect(s.able(['a', 'b', 'c'], true)).toContain('a');
}

function fewAreAlone(): void {
  time = 0;
  const s = makeStandings(now, even, 100);
  for (const n of ['a', 'b', 'c']) {
    s.began(n);
    s.ended(n, 'failed', time);
    time += 10;
  }
  expect(s.able(['a', 'b', 'c', 'd'], false)).toEqual(['d', 'a']);
}

function loadsAreCounted(): void {
  time = 0;
  const l = makeLoads(now);
  const f: Flight = { engine: 'a', unread: 1000, memory: 1200, sentAt: 0, dueMs: 100, moveMs: 20 };
  l.began(f);
  expect(l.of('a')).toMatchObject({
    running: 1,
    unread: 1000,
    awaiting: 1,
    memory: 1200,
    moveMs: 20,
  });
  time = 50;
  expect(l.of('a')).toMatchObject({ unread: 500, moveMs: 0 });
  l.others(
    [
      ['a', 2, 300, 900],
      ['b', 1, 0],
    ],
    true,
  );
  expect(l.of('a')).toMatchObject({ running: 3, unread: 800, memory: 2100 });
  expect(l.own()).toEqual([['a', 1, 500, 1200]]);
  time = 400;
  expect(l.of('a').silentMs).toBe(300);
  l.first(f);
  expect(l.of('a')).toMatchObject({ running: 3, unread: 300, silentMs: 0 });
  l.others([['a', 0, 0]], false);
  l.ended(f);
  expect(l.of('a').running).toBe(0);
  expect(l.of('b').running).toBe(1);
}

function keptWins(): void {
  const p = placement();
  expect(p.wantsIndex(long())).toEqual(['s']);
  expect(p.wantsIndex(short())).toEqual([]);
  const r = placed(p, long(), told([['e4', 10000, 0]]));
  expect(engineOf(r)).toBe('e4');
  expect(r.reckoned.unread).toBe(2000);
}

function waitingSpreads(): void {
  const p = placement();
  const ask = long({ pool: { ...pool(6), stores: [] } });
  const seen: string[] = [];
  for (let i = 0; i < 6; i++) {
    const r = placed(p, ask, told([['e4', 10000, 0]]));
    seen.push(engineOf(r));
    if (engineOf(r) !== 'e4') expect(r.reckoned.fetch?.source.side.name).toBe('e4');
    p.began(r);
  }
  expect(seen[0]).toBe('e4');
  expect(new Set(seen).size).toBeGreaterThan(2);
}

function fetchesFromTheStore(): void {
  const p = placement();
  const r = placed(p, long(), told([['store', 10000, 0]]));
  expect(r.reckoned.fetch).toMatchObject({ tokens: 10000 });
  expect(r.reckoned.fetch!.source.at).toBe('10.0.1.1:80');
  expect(r.storeAt).toBeUndefined();
  p.loads.others([['e0', 3, 60000]], true);
  for (let i = 0; i < 12; i++) p.links.learn('store', 'e5', true);
  const other = placed(
    p,
    long({ avoid: new Set(['e5']) }),
    told([
      ['store', 10000, 0],
      ['e0', 10000, 0],
    ]),
  );
  expect(engineOf(other)).not.toBe('e0');
  expect(other.reckoned.fetch?.source.side.name).toBe('e0');
}

function firstReadIsStored(): void {
  const p = placement();
  expect(placed(p, long(), told([])).storeAt).toBe('10.0.1.1:80');
  expect(placed(p, long()).storeAt).toBeUndefined();
  expect(placed(p, long(), told([['store', 4000, 6000]])).storeAt).toBeUndefined();
  expect(placed(p, long(), told([['store', 4000, 5000]])).storeAt).toBe('10.0.1.1:80');
  const mostlyOwn = long({
    parts: [
      { hash: 'shared', size: 10000 },
      { hash: 'own', size: 12000 },
    ],
    tokensIn: 22000,
  });
  expect(placed(p, mostlyOwn, told([])).storeAt).toBeUndefined();
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
    p.began(r);
  }
  expect(new Set(seen).size).toBeGreaterThan(1);
}

function shortsKeepAway(): void {
  const p = placement();
  for (let i = 0; i < 5; i++) p.loads.others([[`e${i}`, 1, 9000]], false);
  for (let i = 0; i < 4; i++) {
    const r = placed(p, short());
    expect(engineOf(r)).toBe('e5');
    p.began(r);
  }
}

function longAnswersEndInTime(): void {
  const p = placement();
  for (let i = 0; i < 60; i++) {
    for (let e = 0; e < 5; e++) p.paces.learnOut('p', `e${e}`, 2000, 100);
    p.paces.learnOut('p', 'e5', 400, 100);
  }
  const kept = told([['e2', 10000, 0]]);
  expect(engineOf(placed(p, long(), kept))).toBe('e2');
  expect(engineOf(placed(p, long({ tokensOut: 500 }), kept))).toBe('e5');
}

function silenceCounts(): void {
  const p = placement();
  const first = placed(p, short());
  p.began(first);
  time = 3000;
  expect(engineOf(placed(p, short()))).not.toBe(engineOf(first));
}

function refusedOnlyWhenFull(): void {
  const p = placement();
  const ask = short({ pool: pool(2, 2), leftMs: 400 });
  p.loads.others(
    [
      ['e0', 2, 60000],
      ['e1', 1, 0],
    ],
    true,
  );
  expect(p.place(ask, new Map()).isRight()).toBe(true);
  p.loads.others(
    [
      ['e0', 2, 60000],
      ['e1', 2, 60000],
    ],
    true,
  );
  const no = p.place(ask, new Map()).swap().unsafeCoerce();
  expect(no.why).toBe('full');
  expect(no.retryAfterMs).toBeGreaterThan(400);
  const none = p
    .place({ ...ask, avoid: new Set(['e0', 'e1']) }, new Map())
    .swap()
    .unsafeCoerce();
  expect(none).toMatchObject({ why: 'no-engine', retryAfterMs: 100 });
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
