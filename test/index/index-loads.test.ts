import { ExpectedBlocks, ExpiredExpectation } from '../../src/index/expected-blocks';
import { LoadBoard } from '../../src/index/load-board';
import { computeOverlap } from '../../src/index/overlap';
import { OverlapHandlers } from '../../src/index/overlap-handlers';
import { PeerChannel } from '../../src/shared/transport/peer-channel';
import { makePrefixTrees, PrefixTrees, Rows } from '../../src/index/prefix-trees';
import { EngineLoad, WireBlock } from '../../src/shared/contracts/indexer';

const PROMPT: WireBlock[] = [
  ['a', 800],
  ['b', 400],
  ['c', 250],
];
let time = 0;

function now(): number {
  return time;
}

function none(): void {
  // does nothing on purpose
}

function keep(trees: PrefixTrees, source: string, hash: string, size: number): void {
  trees.apply(source, {
    kind: size > 0 ? 'stored' : 'removed',
    model: 'm',
    weights: '',
    salt: 's|1',
    parent: '',
    hash,
    size,
  });
}

function ask(parts: WireBlock[] = PROMPT): { model: string; salt: string; parts: WireBlock[] } {
  return { model: 'm', salt: 's|1', parts };
}

function sorted(list: EngineLoad[]): EngineLoad[] {
  return [...list].sort(byName);
}

function byName(a: EngineLoad, b: EngineLoad): number {
  return a[0] < b[0] ? -1 : 1;
}

function othersOnly(): void {
  time = 0;
  const board = new LoadBoard(now, 900);
  const [a, b] = [{}, {}];
  expect(
    board.report(a, 'r1', {
      full: true,
      own: [
        ['e1', 2, 500],
        ['e2', 1, 0],
      ],
    }),
  ).toEqual({ full: true, others: [] });
  expect(board.report(b, 'r2', { full: true, own: [['e1', 1, 100]] })).toEqual({
    full: true,
    others: [
      ['e1', 2, 500],
      ['e2', 1, 0],
    ],
  });
  expect(board.report(a, 'r1', { full: false, own: [] })).toEqual({
    full: false,
    others: [['e1', 1, 100]],
  });
  expect(board.report(a, 'r1', { full: false, own: [] })).toEqual({ full: false, others: [] });
  board.report(b, 'r2', {
    full: false,
    own: [
      ['e1', 0, 0],
      ['e3', 4, 7],
    ],
  });
  expect(sorted(board.report(a, 'r1', { full: false, own: [] }).others)).toEqual([
    ['e1', 0, 0],
    ['e3', 4, 7],
  ]);
  expect(sorted(board.totals())).toEqual([
    ['e1', 2, 500],
    ['e2', 1, 0],
    ['e3', 4, 7],
  ]);
}

function endsWithItsRouter(): void {
  time = 0;
  const board = new LoadBoard(now, 900);
  const [a, b, b2] = [{}, {}, {}];
  board.report(a, 'r1', { full: true, own: [] });
  board.report(b, 'r2', { full: true, own: [['e1', 3, 30]] });
  expect(board.report(a, 'r1', { full: false, own: [] }).others).toEqual([['e1', 3, 30]]);
  board.drop(b);
  expect(board.report(a, 'r1', { full: false, own: [] }).others).toEqual([['e1', 0, 0]]);
  board.report(b, 'r2', { full: true, own: [['e1', 3, 30]] });
  board.report(b2, 'r2', { full: true, own: [['e1', 1, 10]] });
  expect(board.totals()).toEqual([['e1', 1, 10]]);
  board.drop(b);
  expect(board.totals()).toEqual([['e1', 1, 10]]);
}

function silentDoesNotCount(): void {
  time = 0;
  const board = new LoadBoard(now, 900);
  const [a, b] = [{}, {}];
  board.report(b, 'r2', { full: true, own: [['e1', 3, 30]] });
  time = 800;
  expect(board.report(a, 'r1', { full: true, own: [] }).others).toEqual([['e1', 3, 30]]);
  time = 901;
  expect(board.report(a, 'r1', { full: false, own: [] }).others).toEqual([['e1', 0, 0]]);
  board.report(b, 'r2', { full: false, own: [['e2', 1, 1]] });
  expect(sorted(board.report(a, 'r1', { full: false, own: [] }).others)).toEqual([
    ['e1', 3, 30],
    ['e2', 1, 1],
  ]);
}

/** Sums by random tells, drops and silences are those of a plain model. */
function agreesWithPlain(): void {
  let seed = 7;
  function next(n: number): number {
    seed = (seed * 1103515245 + 12345) % 2147483648;
    return Math.floor(seed / 65536) % n;
  }
  time = 0;
  const board = new LoadBoard(now, 1e9);
  const plain = new Map<number, Map<string, [number, number]>>();
  const seen = new Map<number, Map<string, [number, number]>>();
  const links = [{}, {}, {}, {}];
  for (let i = 0; i < 1000; i++) {
    const r = next(4);
    if (next(40) === 0) {
      board.drop(links[r]);
      plain.delete(r);
      seen.delete(r);
      continue;
    }
    const full = !plain.has(r) || next(20) === 0;
    const own: EngineLoad[] = [];
    for (let k = 0; k < next(4); k++) own.push([`e${k}`, next(3), next(3) * 100]);
    const mine = full ? new Map<string, [number, number]>() : plain.get(r)!;
    for (const [e, x, y] of own) mine.set(e, [x, y]);
    plain.set(r, mine);
    const a = board.report(links[r], `r${r}`, { full, own });
    const view = a.full ? new Map<string, [number, number]>() : seen.get(r)!;
    for (const [e, x, y] of a.others) view.set(e, [x, y]);
    seen.set(r, view);
    for (const e of ['e0', 'e1', 'e2', 'e3']) {
      const sum: [number, number] = [0, 0];
      for (const [q, m] of plain) {
        if (q === r) continue;
        sum[0] += m.get(e)?.[0] ?? 0;
        sum[1] += m.get(e)?.[1] ?? 0;
      }
      expect(view.get(e) ?? [0, 0]).toEqual(sum);
    }
  }
}

function keptFromTheFront(): void {
  time = 0;
  const trees = makePrefixTrees(1000);
  const coming = new ExpectedBlocks(now, 1500, 100, none);
  for (const [h, s] of PROMPT) keep(trees, 'e1', h, s);
  keep(trees, 'e2', 'a', 800);
  keep(trees, 'e2', 'c', 250);
  keep(trees, 'e3', 'b', 400);
  keep(trees, 'e4', 'a', 800);
  keep(trees, 'e4', 'b', 128);
  keep(trees, 'e4', 'c', 250);
  expect(computeOverlap(trees, coming, ask())).toEqual([
    ['e1', 1450, 0],
    ['e2', 800, 0],
    ['e4', 928, 0],
  ]);
  expect(computeOverlap(trees, coming, { ...ask(), salt: 's|2' })).toEqual([]);
  function but(source: string): boolean {
    return source !== 'e1';
  }
  expect(computeOverlap(trees, coming, ask(), but)).toEqual([
    ['e2', 800, 0],
    ['e4', 928, 0],
  ]);
  keep(trees, 'e1', 'b', 0);
  expect(computeOverlap(trees, coming, ask())[0]).toEqual(['e1', 800, 0]);
}

function comesUntilTold(): void {
  time = 0;
  const trees = makePrefixTrees(1000);
  const out: ExpiredExpectation[] = [];
  const coming = new ExpectedBlocks(now, 1500, 100, out.push.bind(out));
  const [r1, r2] = [{}, {}];
  keep(trees, 'e1', 'a', 800);
  function keeps([h]: WireBlock): boolean {
    return h === 'a';
  }
  coming.expect(r1, { ...ask(), engine: 'e1' }, keeps);
  coming.expect(r2, { ...ask([['x', 9]]), engine: 'e2' }, keeps);
  expect(computeOverlap(trees, coming, ask())).toEqual([['e1', 800, 650]]);
  keep(trees, 'e1', 'b', 400);
  coming.arrived('m', 's|1', 'b', 'e1');
  expect(computeOverlap(trees, coming, ask())).toEqual([['e1', 1200, 250]]);
  coming.dropRouter(r2);
  expect(computeOverlap(trees, coming, ask([['x', 9]]))).toEqual([]);
  time = 1501;
  expect(computeOverlap(trees, coming, ask())).toEqual([['e1', 1200, 0]]);
  expect(out.map(hashOf)).toEqual(['c']);
  expect(coming.size()).toBe(0);
}

/** What goes on to a store is coming there too, so that it is sent once; before its gate opens an indexer says nothing of overlaps. */
async function comesToStores(): Promise<void> {
  time = 0;
  const trees = makePrefixTrees(1000);
  const coming = new ExpectedBlocks(now, 1500, 100, none);
  let open = false;
  function ready(): boolean {
    return open;
  }
  function reached(): boolean {
    return true;
  }
  function never(): void {
    // does nothing on purpose
  }
  const router = { closed: new Promise<void>(never), peer: 'r1' } as unknown as PeerChannel;
  const edge = new OverlapHandlers(trees, coming, new LoadBoard(now, 900), reached, ready);
  keep(trees, 'store', 'a', 800);
  await edge.placed({ ...ask(), engine: 'e1', store: 'store' }, router);
  expect((await edge.overlap(ask())).extract()).toMatchObject({
    certainty: 'refused',
    code: 'not-ready',
  });
  open = true;
  expect((await edge.overlap(ask())).extract()).toEqual([
    ['store', 800, 650],
    ['e1', 0, 1450],
  ]);
}

function hashOf(u: ExpiredExpectation): string {
  return u.hash;
}

function notesAreBounded(): void {
  time = 0;
  const coming = new ExpectedBlocks(now, 1500, 100, none);
  function never(): boolean {
    return false;
  }
  for (let i = 0; i < 500; i++) coming.expect({}, { ...ask([[`p${i}`, 1]]), engine: 'e1' }, never);
  expect(coming.size()).toBe(100);
  expect(coming.sourcesExpecting('m', 's|1', 'p0')).toBeUndefined();
  expect([...coming.sourcesExpecting('m', 's|1', 'p499')!.keys()]).toEqual(['e1']);
  coming.dropSource('e1');
  expect(coming.size()).toBe(0);
}

/** A prompt's parts go last part first once its order is known from a query. */
function evictsFromTheEnd(): void {
  const trees = makePrefixTrees(3);
  const coming = new ExpectedBlocks(now, 1500, 100, none);
  for (const [h, s] of PROMPT) keep(trees, 'e1', h, s);
  computeOverlap(trees, coming, ask());
  keep(trees, 'e1', 'new', 10);
  expect(computeOverlap(trees, coming, ask())).toEqual([['e1', 1200, 0]]);
  expect(trees.size()).toBe(3);
}

function rowsCarryAll(): void {
  const trees = makePrefixTrees(1000);
  const coming = new ExpectedBlocks(now, 1500, 100, none);
  for (const [h, s] of PROMPT) keep(trees, 'e1', h, s);
  keep(trees, 'e2', 'a', 800);
  keep(trees, 'gone', 'a', 800);
  computeOverlap(trees, coming, ask());
  const other = makePrefixTrees(1000);
  function wanted(s: string): boolean {
    return s !== 'gone';
  }
  other.loadRows(JSON.parse(JSON.stringify(trees.rows())) as Rows, wanted);
  expect(computeOverlap(other, coming, ask())).toEqual([
    ['e1', 1450, 0],
    ['e2', 800, 0],
  ]);
  expect(other.dump('e1').map(parentOf)).toEqual(trees.dump('e1').map(parentOf));
}

function parentOf(d: { event: { parent: string } }): string {
  return d.event.parent;
}

describe('the board of loads', all);
function all(): void {
  test('tells each router what the others have, only where that differs', othersOnly);
  test(
    "a router's loads end with its connection, and a new connection takes its place",
    endsWithItsRouter,
  );
  test('a silent router does not count until it speaks', silentDoesNotCount);
  test('sums agree with a plain model', agreesWithPlain);
}

describe('overlap with parts that are kept in part or coming', overlaps);
function overlaps(): void {
  test('counts from the front, up to the first part that is not whole', keptFromTheFront);
  test('a placed part comes until it is told of, its router goes or time passes', comesUntilTold);
  test('what is sent on to a store is coming there, and a closed gate says so', comesToStores);
  test('notes are bounded', notesAreBounded);
  test('the end of a prompt gives way first', evictsFromTheEnd);
  test('compact rows carry the trees', rowsCarryAll);
}
