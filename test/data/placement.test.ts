import { OverlapReply } from '../../src/shared/contracts/indexer';
import { Placement } from '../../src/data/gateway/placement';
import {
  EngineEndpoint,
  PlacementRequest,
  PlacementDecision,
} from '../../src/data/gateway/placement-types';

let time = 0;

function now(): number {
  return time;
}

function even(): number {
  return 0.5;
}

function engineEndpoint(i: number): EngineEndpoint {
  return { id: `e${i}`, address: `10.0.0.${i}:80`, zone: 'z', salt: 's' };
}

function poolOf(engines: number, batch = 4): PlacementRequest['pool'] {
  const list: EngineEndpoint[] = [];
  for (let i = 0; i < engines; i++) list.push(engineEndpoint(i));
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

function longRequest(more: Partial<PlacementRequest> = {}): PlacementRequest {
  return {
    pool: poolOf(6),
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

function shortRequest(more: Partial<PlacementRequest> = {}): PlacementRequest {
  return longRequest({
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

function makePlacement(): Placement {
  time = 0;
  return new Placement({ now, random: even, zone: 'z', baseEjectionMs: 100 });
}

function reported(answer: OverlapReply): Map<string, OverlapReply> {
  return new Map([['s', answer]]);
}

function decide(
  placement: Placement,
  ask: PlacementRequest,
  kept = new Map<string, OverlapReply>(),
): PlacementDecision {
  return placement.place(ask, kept).unsafeCoerce();
}

function chosenEngine(p: PlacementDecision): string {
  return p.estimate.candidate.endpoint.name;
}

function cachedPrefixWins(): void {
  const placement = makePlacement();
  expect(placement.saltsToQuery(longRequest())).toEqual(['s']);
  expect(placement.saltsToQuery(shortRequest())).toEqual([]);
  const decision = decide(placement, longRequest(), reported([['e4', 10000, 0]]));
  expect(chosenEngine(decision)).toBe('e4');
  expect(decision.estimate.prefillTokens).toBe(2000);
}

function queueingSpreads(): void {
  const placement = makePlacement();
  const ask = longRequest({ pool: { ...poolOf(6), stores: [] } });
  const seen: string[] = [];
  for (let i = 0; i < 6; i++) {
    const decision = decide(placement, ask, reported([['e4', 10000, 0]]));
    seen.push(chosenEngine(decision));
    if (chosenEngine(decision) !== 'e4')
      expect(decision.estimate.prefixFetch?.source.endpoint.name).toBe('e4');
    placement.start(decision);
  }
  expect(seen[0]).toBe('e4');
  expect(new Set(seen).size).toBeGreaterThan(2);
}

function fetchesFromTheStore(): void {
  const placement = makePlacement();
  const decision = decide(placement, longRequest(), reported([['store', 10000, 0]]));
  expect(decision.estimate.prefixFetch).toMatchObject({ tokens: 10000 });
  expect(decision.estimate.prefixFetch!.source.address).toBe('10.0.1.1:80');
  expect(decision.storeAddress).toBeUndefined();
  placement.loads.applyBoard([['e0', 3, 60000]], true);
  for (let i = 0; i < 12; i++) placement.transfers.observe('store', 'e5', true);
  const other = decide(
    placement,
    longRequest({ excluded: new Set(['e5']) }),
    reported([
      ['store', 10000, 0],
      ['e0', 10000, 0],
    ]),
  );
  expect(chosenEngine(other)).not.toBe('e0');
  expect(other.estimate.prefixFetch?.source.endpoint.name).toBe('e0');
}

function firstReadIsStored(): void {
  const placement = makePlacement();
  expect(decide(placement, longRequest(), reported([])).storeAddress).toBe('10.0.1.1:80');
  expect(decide(placement, longRequest()).storeAddress).toBeUndefined();
  expect(
    decide(placement, longRequest(), reported([['store', 4000, 6000]])).storeAddress,
  ).toBeUndefined();
  expect(decide(placement, longRequest(), reported([['store', 4000, 5000]])).storeAddress).toBe(
    '10.0.1.1:80',
  );
  const mostlyOwn = longRequest({
    blocks: [
      { hash: 'shared', size: 10000 },
      { hash: 'own', size: 12000 },
    ],
    promptTokens: 22000,
  });
  expect(decide(placement, mostlyOwn, reported([])).storeAddress).toBeUndefined();
}

function preferredReplicaWithoutIndex(): void {
  const a = decide(makePlacement(), longRequest());
  const b = decide(makePlacement(), longRequest());
  expect(chosenEngine(a)).toBe(chosenEngine(b));
  const placement = makePlacement();
  const seen: string[] = [];
  for (let i = 0; i < 12; i++) {
    const decision = decide(placement, longRequest());
    seen.push(chosenEngine(decision));
    placement.start(decision);
  }
  expect(new Set(seen).size).toBeGreaterThan(1);
}

function shortPromptsKeepAway(): void {
  const placement = makePlacement();
  for (let i = 0; i < 5; i++) placement.loads.applyBoard([[`e${i}`, 1, 9000]], false);
  for (let i = 0; i < 4; i++) {
    const decision = decide(placement, shortRequest());
    expect(chosenEngine(decision)).toBe('e5');
    placement.start(decision);
  }
}

function longAnswersEndInTime(): void {
  const placement = makePlacement();
  for (let i = 0; i < 60; i++) {
    for (let e = 0; e < 5; e++) placement.throughput.observeDecode('p', `e${e}`, 2000, 100);
    placement.throughput.observeDecode('p', 'e5', 400, 100);
  }
  const kept = reported([['e2', 10000, 0]]);
  expect(chosenEngine(decide(placement, longRequest(), kept))).toBe('e2');
  expect(chosenEngine(decide(placement, longRequest({ maxOutputTokens: 500 }), kept))).toBe('e5');
}

function silenceCounts(): void {
  const placement = makePlacement();
  const first = decide(placement, shortRequest());
  placement.start(first);
  time = 3000;
  expect(chosenEngine(decide(placement, shortRequest()))).not.toBe(chosenEngine(first));
}

function rejectedOnlyWhenFull(): void {
  const placement = makePlacement();
  const ask = shortRequest({ pool: poolOf(2, 2), remainingMs: 400 });
  placement.loads.applyBoard(
    [
      ['e0', 2, 60000],
      ['e1', 1, 0],
    ],
    true,
  );
  expect(placement.place(ask, new Map()).isRight()).toBe(true);
  placement.loads.applyBoard(
    [
      ['e0', 2, 60000],
      ['e1', 2, 60000],
    ],
    true,
  );
  const no = placement.place(ask, new Map()).swap().unsafeCoerce();
  expect(no.reason).toBe('full');
  expect(no.retryAfterMs).toBeGreaterThan(400);
  const none = placement
    .place({ ...ask, excluded: new Set(['e0', 'e1']) }, new Map())
    .swap()
    .unsafeCoerce();
  expect(none).toMatchObject({ reason: 'no-engine', retryAfterMs: 100 });
}

function routePriorityGoesFirst(): void {
  const placement = makePlacement();
  expect(decide(placement, longRequest()).urgency).toBe(2);
  expect(decide(placement, shortRequest()).urgency).toBe(0);
  expect(decide(placement, shortRequest({ tenantPriority: 3 })).urgency).toBe(1);
  expect(decide(placement, longRequest({ routePriority: 7 })).urgency).toBe(8);
}

test('a long prompt goes where its parts are kept', cachedPrefixWins);
test('a hot prompt is spread as its waiting grows, and fetched there', queueingSpreads);
test(
  "parts are fetched from the store, and from an engine where the store's link has shown slow",
  fetchesFromTheStore,
);
test('parts that the store lacks go there once they are read', firstReadIsStored);
test(
  'without an index routers agree on the home, and spill as it fills',
  preferredReplicaWithoutIndex,
);
test('short requests keep away from engines that read long prompts', shortPromptsKeepAway);
test('a long answer goes where it ends in time', longAnswersEndInTime);
test('an engine that is silent is taken to need as much longer', silenceCounts);
test(
  'a request is refused only where all places are taken and its time would pass',
  rejectedOnlyWhenFull,
);
test("a route's rank goes before a tenant's", routePriorityGoesFirst);
