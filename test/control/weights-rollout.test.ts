import { conflicts, makeRollOutDesk, OrderedEngine, RollOutDesk } from './rolloutrig';

function allAt(d: RollOutDesk, weights: number): () => boolean {
  function has(e: OrderedEngine): boolean {
    return e.leaving || e.weights >= weights;
  }
  function test(): boolean {
    return d.engines.every(has);
  }
  return test;
}

function perEngine(d: RollOutDesk, weights: number): number[] {
  function of(e: OrderedEngine): number {
    return d.orders.filter(mine).length;
    function mine(o: { engine: string; weights: number }): boolean {
      return o.engine === e.id && o.weights === weights;
    }
  }
  return d.engines.map(of);
}

function most(d: RollOutDesk): number {
  return Math.max(...d.engines.map(busyNow));
  function busyNow(): number {
    return d.engines.filter(isBusy).length;
  }
  function isBusy(e: OrderedEngine): boolean {
    return e.busy;
  }
}

async function calm(): Promise<void> {
  for (const [count, limit] of [
    [8, 2],
    [13, 3],
    [40, 11],
    [1, 1],
  ]) {
    const d = await makeRollOutDesk(count, count, limit);
    let high = 0;
    await d.name(2);
    const took = await d.until(watched, 8000);
    function watched(): boolean {
      high = Math.max(high, most(d));
      return allAt(d, 2)();
    }
    await d.at(d.w.now() + 4000);
    expect({ count, once: perEngine(d, 2).every(isOne), conflicts: conflicts(d.orders) }).toEqual({
      count,
      once: true,
      conflicts: [],
    });
    expect(took).toBeLessThan(6000);
    expect(high).toBeLessThanOrEqual(Math.max(1, Math.ceil(count * 0.4)));
  }
}

function isOne(n: number): boolean {
  return n === 1;
}

function isHolder(d: RollOutDesk): () => boolean {
  function test(): boolean {
    return d.orders.length >= 3;
  }
  return test;
}

/** Names weights, strikes the holder once it has given some orders, and waits for all; the trouble lasts `ms`. */
async function struck(
  seed: number,
  strike: (d: RollOutDesk, holder: string) => void,
  most: number,
): Promise<RollOutDesk> {
  const d = await makeRollOutDesk(seed, 13, 3);
  await d.name(2);
  await d.until(isHolder(d), 3000);
  strike(d, d.holder()!);
  const took = await d.until(allAt(d, 2), 30000);
  await d.at(d.w.now() + 6000);
  expect({ seed, conflicts: conflicts(d.orders) }).toEqual({ seed, conflicts: [] });
  expect(took).toBeLessThan(most);
  return d;
}

function holders(d: RollOutDesk): number {
  function holderOf(o: { holder: string }): string {
    return o.holder;
  }
  return new Set(d.orders.map(holderOf)).size;
}

async function killed(): Promise<void> {
  for (const seed of [1, 2, 3, 4]) expect(holders(await struck(seed, kill, 9000))).toBe(2);
  function kill(d: RollOutDesk, who: string): void {
    d.kill(who, 700 * d.orders.length);
  }
}

async function takenUpLate(): Promise<void> {
  for (const seed of [1, 2, 3, 4]) {
    const d = await makeRollOutDesk(seed, 8, 2);
    await d.at(d.w.now() + 5000);
    await d.name(2);
    const named = d.w.now();
    await d.until(begun, 3000);
    d.kill(d.holder()!, 1500);
    let high = 0;
    await d.until(watched, 12000);
    expect({ seed, conflicts: conflicts(d.orders), holders: holders(d) }).toEqual({
      seed,
      conflicts: [],
      holders: 2,
    });
    expect(high).toBeLessThanOrEqual(4);
    expect(d.w.now() - named).toBeLessThan(8000);
    function begun(): boolean {
      return d.orders.length >= 2;
    }
    function watched(): boolean {
      high = Math.max(high, most(d));
      return allAt(d, 2)();
    }
  }
}

async function frozen(): Promise<void> {
  for (const seed of [1, 2, 3, 4, 5, 6]) await struck(seed, freeze, 10000);
  function freeze(d: RollOutDesk, who: string): void {
    d.freeze(who, 400 + d.w.dice.next() * 6000);
  }
}

async function halfCut(): Promise<void> {
  for (const seed of [1, 2, 3, 4, 5, 6]) await struck(seed, cut, 12000);
  function cut(d: RollOutDesk, who: string): void {
    const other = `core-${1 + (Number(who.slice(-1)) % 3)}`;
    d.cut(seedOdd(d) ? who : other, seedOdd(d) ? other : who, 5000);
  }
  function seedOdd(d: RollOutDesk): boolean {
    return d.orders.length % 2 === 1;
  }
}

async function allKilled(): Promise<void> {
  await struck(7, kill, 12000);
  function kill(d: RollOutDesk): void {
    for (const n of ['core-1', 'core-2', 'core-3']) d.kill(n, 600);
  }
}

async function unanswered(): Promise<void> {
  const d = await makeRollOutDesk(5, 8, 2);
  d.engines[2].mute = true;
  d.engines[5].mute = true;
  await d.name(2);
  const took = await d.until(allAt(d, 2), 9000);
  await d.at(d.w.now() + 4000);
  expect(perEngine(d, 2)).toEqual([1, 1, 1, 1, 1, 1, 1, 1]);
  expect(took).toBeLessThan(7000);
}

async function lostOrder(): Promise<void> {
  const d = await makeRollOutDesk(6, 8, 2);
  const p = d.proc('engine-3');
  d.w.freeze(p);
  await d.name(2);
  await d.at(d.w.now() + 2500);
  d.w.kill(p, false);
  d.w.revive(p);
  d.engines[2].leaving = true;
  await d.until(allAt(d, 2), 9000);
  await d.at(d.w.now() + 3000);
  const n = d.orders.length;
  await d.at(d.w.now() + 3000);
  expect(d.orders.length).toBe(n);
}

async function busyWithAnother(): Promise<void> {
  const d = await makeRollOutDesk(9, 8, 2);
  d.engines[0].busy = true;
  d.engines[0].calls = 1;
  function ends(): void {
    d.engines[0].busy = false;
  }
  d.w.after(2500, ends);
  await d.name(2);
  const took = await d.until(allAt(d, 2), 12000);
  expect(took).toBeLessThan(9000);
  expect(perEngine(d, 2).slice(1)).toEqual([1, 1, 1, 1, 1, 1, 1]);
  expect(perEngine(d, 2)[0]).toBeLessThanOrEqual(4);
}

async function oneAfterAnother(): Promise<void> {
  const d = await makeRollOutDesk(11, 13, 3);
  await d.name(2);
  await d.until(isHolder(d), 3000);
  await d.name(3);
  const took = await d.until(allAt(d, 3), 9000);
  await d.at(d.w.now() + 4000);
  expect(took).toBeLessThan(7000);
  expect(conflicts(d.orders)).toEqual([]);
  expect(perEngine(d, 3).every(isOne)).toBe(true);
  expect(d.orders.length).toBeLessThan(13 + 8);
}

/** Strikes controllers and engines at random while weights roll out, and names newer ones on every other seed. */
async function swept(seed: number): Promise<void> {
  const d = await makeRollOutDesk(seed, 13, 3);
  const { dice } = d.w;
  await d.name(2);
  for (let k = 0; k < 4; k++) {
    await d.at(d.w.now() + 100 + dice.next() * 1800);
    const who =
      dice.next() < 0.6 ? (d.holder() ?? 'core-1') : `core-${1 + Math.floor(dice.next() * 3)}`;
    if (d.proc(who).alive && !d.proc(who).frozen)
      strikeOne(d, who, Math.floor(dice.next() * 5), 300 + dice.next() * 4500);
  }
  const goal = seed % 2 === 0 ? 3 : 2;
  if (goal === 3) await d.name(3);
  const took = await d.until(allAt(d, goal), 30000);
  await d.at(d.w.now() + 5000);
  expect({ seed, conflicts: conflicts(d.orders) }).toEqual({ seed, conflicts: [] });
  expect(took).toBeLessThan(13000);
}

function strikeOne(d: RollOutDesk, who: string, kind: number, ms: number): void {
  const other = `core-${1 + (Number(who.slice(-1)) % 3)}`;
  const e = d.engines[Math.floor(ms) % d.engines.length];
  if (kind === 0) d.kill(who, ms);
  if (kind === 1) d.freeze(who, ms);
  if (kind === 2 || kind === 3) d.cut(who, other, ms);
  if (kind === 3) d.cut(other, who, ms);
  if (kind === 4) e.mute = true;
  if (kind === 4) d.w.after(ms, speaks);
  function speaks(): void {
    e.mute = false;
  }
}

async function sweep(): Promise<void> {
  for (let seed = 1; seed <= 24; seed++) await swept(seed);
}

test('one holder killed: another goes on after a lease, and no fence is shared', killed);
test(
  'one holder killed as it begins: the next one loads no more than half of the engines at once, and is done in time',
  takenUpLate,
);
test('one holder frozen: it gives no order when it wakes', frozen);
test('one holder cut off in one way from another controller', halfCut);
test('all controllers killed: the roll-out goes on after a lease', allKilled);
test('an order without an answer is not given again where it was taken', unanswered);
test('an engine that leaves is ordered no more', lostOrder);
test('an engine that is busy with another order is waited for', busyWithAnother);
test(
  'weights named while others roll out: engines that have not begun skip the older ones',
  oneAfterAnother,
);
test('in calm all engines have new weights in time, some at once, each by one order', calm);
test('four troubles at random: no two holders within a lease, and all engines done in time', sweep);
