import { WireBlock } from '../../src/shared/contracts/indexer';
import { makeScene, PROMPT, SALT } from '../../tools/sim/feedscene';
import { Proc } from '../../tools/sim/process';
import { KvSource } from '../../tools/standins/kvsource';

/** Ms in which what a source tells has come in. */
const GATHERED = 500;

function keepPrompt(s: KvSource, parts: WireBlock[] = PROMPT): void {
  for (const [id, size] of parts) s.keep(SALT, id, size);
}

async function hears(): Promise<void> {
  const t = await makeScene(2, 1);
  keepPrompt(t.sources.get('engine-1')!);
  keepPrompt(t.sources.get('store-1')!, PROMPT.slice(0, 2));
  await t.pass(GATHERED);
  expect(t.told()).toEqual({ 'engine-1': [1450, 0], 'store-1': [1200, 0] });
  t.sources.get('engine-1')!.keep(SALT, 'b', 128);
  t.sources.get('store-1')!.keep(SALT, 'a', 0);
  await t.pass(GATHERED);
  expect(t.told()).toEqual({ 'engine-1': [928, 0] });
  await t.pass(20000);
  for (const s of t.sources.values()) {
    expect(s.counts.short).toBe(0);
    expect(s.counts.turnedAway).toBe(0);
    expect(s.counts.lists).toBe(0);
    expect(s.counts.calls).toBeLessThan(35);
  }
}

async function gathers(): Promise<void> {
  const t = await makeScene(1, 1);
  const s = t.sources.get('engine-1')!;
  const before = s.counts.calls;
  for (let i = 0; i < 400; i++) {
    s.keep(SALT, `p${i}`, 16);
    await t.pass(5);
  }
  expect(s.counts.calls - before).toBeLessThan(40);
  await t.pass(GATHERED);
  expect(t.told(0, [['p399', 16]])).toEqual({ 'engine-1': [16, 0] });
}

async function epochChanges(): Promise<void> {
  const t = await makeScene(2, 1);
  for (const s of t.sources.values()) keepPrompt(s);
  await t.pass(GATHERED);
  t.sources.get('engine-1')!.restart();
  t.sources.get('store-1')!.restart();
  await t.pass(GATHERED);
  expect(t.told()).toEqual({ 'engine-2': [1450, 0] });
  keepPrompt(t.sources.get('store-1')!, PROMPT.slice(0, 1));
  await t.pass(GATHERED);
  expect(t.told()).toEqual({ 'engine-2': [1450, 0], 'store-1': [800, 0] });
  expect(t.indexers[0].counts.epochChanges).toBe(2);
  await t.pass(10000);
  for (const s of t.sources.values()) expect(s.counts.lists).toBe(0);
}

async function fewLostStay(): Promise<void> {
  const t = await makeScene(1, 1);
  const s = t.sources.get('engine-1')!;
  for (let i = 0; i < 200; i++) s.keep(SALT, `p${i}`, 16);
  await t.pass(GATHERED);
  s.loseNext(2);
  for (let i = 200; i < 204; i++) s.keep(SALT, `p${i}`, 16);
  await t.pass(20000);
  expect(t.indexers[0].counts.lostBatches).toBe(2);
  expect(s.counts.lists).toBe(0);
  expect(t.told(0, [['p203', 16]])).toEqual({ 'engine-1': [16, 0] });
}

async function gapIsRepaired(): Promise<void> {
  const t = await makeScene(3, 2);
  for (const s of t.sources.values()) keepPrompt(s);
  await t.pass(GATHERED);
  for (const s of t.sources.values()) {
    s.loseNext(3);
    for (const [id] of PROMPT) s.keep(SALT, id, 0);
    s.keep(SALT, 'd', 16);
  }
  await t.pass(8000);
  for (const i of [0, 1]) {
    expect(t.told(i)).toEqual({});
    expect(t.told(i, [['d', 16]])).toEqual({
      'engine-1': [16, 0],
      'engine-2': [16, 0],
      'engine-3': [16, 0],
      'store-1': [16, 0],
    });
  }
  for (const s of t.sources.values()) expect(s.counts.lists).toBe(1);
}

async function heldEventsLost(): Promise<void> {
  const t = await makeScene(2, 2, { lateMs: 400 });
  for (const s of t.sources.values()) {
    keepPrompt(s);
    s.loseHeld();
  }
  await t.pass(8000);
  for (const i of [0, 1])
    expect(t.told(i)).toEqual({
      'engine-1': [1450, 0],
      'engine-2': [1450, 0],
      'store-1': [1450, 0],
    });
  for (const s of t.sources.values()) expect(s.counts.lists).toBe(1);
}

async function listsAreRare(): Promise<void> {
  const t = await makeScene(3, 2);
  const from = t.w.now();
  for (let i = 0; i < 150; i++) {
    for (const s of t.sources.values()) {
      s.loseNext(1);
      s.keep(SALT, `p${i % 7}`, 16);
      s.keep(SALT, `q${i % 5}`, 16);
    }
    await t.pass(200);
  }
  const rounds = Math.ceil((t.w.now() - from) / 10000) + 1;
  for (const s of t.sources.values()) expect(s.counts.lists).toBeLessThanOrEqual(rounds);
}

/** One replica was cut off for longer than a source keeps events; its peer heard them. */
async function peerHeard(): Promise<void> {
  const t = await makeScene(1, 2, { keepsMost: 10 });
  const s = t.sources.get('engine-1')!;
  keepPrompt(s);
  await t.pass(GATHERED);
  t.w.cut(t.procs[0].ip, '127.10.2.1', true);
  t.w.cut('127.10.2.1', t.procs[0].ip, true);
  await t.pass(2500);
  for (let i = 0; i < 60; i++) {
    s.keep(SALT, `p${i}`, 16);
    await t.pass(50);
  }
  s.keep(SALT, 'b', 0);
  t.w.cut(t.procs[0].ip, '127.10.2.1', false);
  t.w.cut('127.10.2.1', t.procs[0].ip, false);
  await t.pass(5000);
  expect(t.told(0)).toEqual({ 'engine-1': [800, 0] });
  for (let i = 0; i < 60; i += 7)
    expect(t.told(0, [[`p${i}`, 16]])).toEqual({ 'engine-1': [16, 0] });
  expect(s.counts.lists).toBe(0);
}

async function restartsFromPeer(): Promise<void> {
  const t = await makeScene(2, 2, { keepsMost: 4 });
  for (const part of [...PROMPT, ['x', 16], ['y', 16], ['z', 16]] as WireBlock[]) {
    for (const s of t.sources.values()) keepPrompt(s, [part]);
    await t.pass(GATHERED);
  }
  const before = t.told(1);
  expect(Object.keys(before)).toHaveLength(3);
  t.w.kill(t.procs[0], false);
  await t.pass(500);
  t.sources.get('engine-2')!.keep(SALT, 'a', 0);
  await t.start(0);
  await t.pass(3000);
  expect(t.indexers[0].isReady()).toBe(true);
  expect(t.told(0)).toEqual({ 'engine-1': [1450, 0], 'store-1': [1450, 0] });
  for (const s of t.sources.values()) expect(s.counts.lists).toBe(0);
}

/** All replicas restart at once: nobody knows what was told before, so the sources are listed, one after another. */
async function allRestart(): Promise<void> {
  const t = await makeScene(3, 2, { keepsMost: 2 });
  for (const part of PROMPT) {
    for (const s of t.sources.values()) keepPrompt(s, [part]);
    await t.pass(GATHERED);
  }
  for (const p of t.procs) t.w.kill(p, false);
  await t.pass(1000);
  await t.start(0);
  await t.start(1);
  await t.pass(8000);
  for (const i of [0, 1]) expect(Object.keys(t.told(i))).toHaveLength(4);
  for (const s of t.sources.values()) expect(s.counts.lists).toBe(1);
}

async function endedGo(): Promise<void> {
  const t = await makeScene(2, 1);
  for (const s of t.sources.values()) keepPrompt(s);
  await t.pass(GATHERED);
  t.list(['engine-2']);
  await t.pass(GATHERED);
  expect(Object.keys(t.told()).sort()).toEqual(['engine-2', 'store-1']);
  t.list(['engine-1', 'engine-2']);
  await t.pass(3000);
  expect(Object.keys(t.told()).sort()).toEqual(['engine-1', 'engine-2', 'store-1']);
  expect(t.sources.get('engine-1')!.counts.lists).toBe(1);
}

async function storeIsDark(): Promise<void> {
  const t = await makeScene(1, 1);
  for (const s of t.sources.values()) keepPrompt(s);
  await t.pass(GATHERED);
  const store = t.w.procs().find(isStore)!;
  function isStore(p: Proc): boolean {
    return p.name === 'store-1';
  }
  t.w.kill(store, true);
  await t.pass(4000);
  expect(t.indexers[0].listenerViews().map(statusOf)).toEqual(['active', 'failed']);
  expect(t.indexers[0].isReachable('store-1')).toBe(false);
  expect(t.indexers[0].isReachable('engine-1')).toBe(true);
  t.w.revive(store);
}

function statusOf(l: { status: string }): string {
  return l.status;
}

async function lateButWhole(): Promise<void> {
  const t = await makeScene(1, 1, { lateMs: 900 });
  keepPrompt(t.sources.get('engine-1')!);
  await t.pass(500);
  expect(t.told()).toEqual({});
  await t.pass(700);
  expect(t.told()).toEqual({ 'engine-1': [1450, 0] });
}

/** Notes stand in for events that were lost: what was placed while numbers are missing is taken for kept. */
async function notesStandIn(): Promise<void> {
  const t = await makeScene(1, 1);
  const s = t.sources.get('engine-1')!;
  for (let i = 0; i < 100; i++) s.keep(SALT, `p${i}`, 16);
  await t.pass(GATHERED);
  s.loseNext(3);
  function keeps(): boolean {
    return false;
  }
  t.indexers[0].expectedBlocks.expect(
    {},
    { model: 'm', salt: SALT, engine: 'engine-1', parts: PROMPT },
    keeps,
  );
  keepPrompt(s);
  s.keep(SALT, 'p0', 16);
  await t.pass(GATHERED);
  expect(t.told()).toEqual({ 'engine-1': [0, 1450] });
  await t.pass(2000);
  expect(t.told()).toEqual({ 'engine-1': [1450, 0] });
  expect(s.counts.lists).toBe(0);
}

async function bounded(): Promise<void> {
  const t = await makeScene(2, 1);
  for (let i = 0; i < 15000; i++) t.sources.get('engine-1')!.keep(SALT, `p${i}`, 16);
  await t.pass(3000);
  expect(t.indexers[0].trees.size()).toBeLessThanOrEqual(10000);
}

describe('an indexer on a dialect', all);
function all(): void {
  test('hears what engines and stores keep, in part too, by long calls', hears);
  test('events gather between calls', gathers);
  test('a source that starts anew is empty, and is told of at once', epochChanges);
  test('late events are taken when they come', lateButWhole);
  test('a few lost events cost no list', fewLostStay);
  test('a gap that matters is repaired, by one list for all replicas', gapIsRepaired);
  test('events that a source lost before telling them are found', heldEventsLost);
  test('a source is listed seldom, whatever it loses', listsAreRare);
  test('what a peer heard is taken from it', peerHeard);
  test("a replica that starts takes a peer's dump and drains", restartsFromPeer);
  test('where all replicas start, each source is listed once', allRestart);
  test('parts of ended engines go, and one that is listed again is heard anew', endedGo);
  test('a store that is dark fails', storeIsDark);
  test('notes of what was placed stand in for lost events', notesStandIn);
  test('memory is bounded', bounded);
}
