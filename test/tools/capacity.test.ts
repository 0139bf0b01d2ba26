import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { bends, fitLine, Point, reckon, spreadOf } from '../../tools/capacity/fit';
import { EMPTY } from '../../tools/capacity/hollow-fleet';
import { settled, startHollow } from '../../tools/capacity/hollow';
import { askAt, queryOf } from '../../tools/capacity/load';
import { applyIntents, changeRules, makeIntents } from '../../tools/capacity/operators';

function pointsOf(xs: number[], at: (x: number) => number): Point[] {
  const out: Point[] = [];
  for (const x of xs) out.push({ x, y: at(x) });
  return out;
}

function straight(): void {
  function at(x: number): number {
    return 3 + 0.25 * x;
  }
  const points = pointsOf([0, 1000, 20000, 300000], at);
  const l = fitLine(points);
  expect(l.at0).toBeCloseTo(3, 6);
  expect(l.slope).toBeCloseTo(0.25, 9);
  expect(l.slopeError).toBeLessThan(1e-9);
  expect(l.r2).toBeCloseTo(1, 9);
  expect(bends(points, l)).toBe(false);
  expect(reckon(l, 1e6).value).toBeCloseTo(250003, 3);
}

/** Known by hand: the points (0,0), (1,2), (2,1), (3,3) have the line 0.3 + 0.8 x, with a residual sum of 1.8. */
function byHand(): void {
  const l = fitLine([
    { x: 0, y: 0 },
    { x: 1, y: 2 },
    { x: 2, y: 1 },
    { x: 3, y: 3 },
  ]);
  expect(l.at0).toBeCloseTo(0.3, 9);
  expect(l.slope).toBeCloseTo(0.8, 9);
  expect(l.residual).toBeCloseTo(Math.sqrt(0.9), 9);
  expect(l.slopeError).toBeCloseTo(Math.sqrt(0.9 / 5), 9);
  expect(l.at0Error).toBeCloseTo(Math.sqrt(0.9 * (1 / 4 + 2.25 / 5)), 9);
  expect(l.r2).toBeCloseTo(1 - 1.8 / 5, 9);
}

function curved(): void {
  function square(x: number): number {
    return 5 + 0.01 * x * x;
  }
  const points = pointsOf([10, 50, 100, 200, 400], square);
  const l = fitLine(points);
  expect(l.bend).toBeCloseTo(0.01, 6);
  expect(bends(points, l)).toBe(true);
}

function spreads(): void {
  expect(spreadOf([3, 1, 2])).toEqual({ median: 2, least: 1, most: 3, runs: 3 });
  expect(spreadOf([4, 1])).toEqual({ median: 2.5, least: 1, most: 4, runs: 2 });
}

async function tiny(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'plumhollow-capacity-'));
  const h = await startHollow(
    { ...EMPTY, controllers: 1, indexers: 1, nodes: 3, engines: 2, holds: 40, eventsPerS: 400 },
    folder,
    20 + (process.pid % 230),
  );
  const up = await settled(h, 60000);
  const doc = makeIntents(2, 4);
  const first = await applyIntents(h, doc, 0);
  const seen = await changeRules(h, doc, 2, 100);
  const rates = await h.sample(400);
  const asked = await askAt(h, [h.indexers[0].wire], 100, 200, false, queryOf(h));
  const [ix] = await h.read('indexer');
  await h.stop();
  rmSync(folder, { recursive: true, force: true });
  expect(up).toBe(true);
  expect(first.status).toBe(200);
  expect(seen.map(statusOf)).toEqual([200, 200]);
  expect(Object.keys(rates).sort()).toEqual(['controller', 'indexer', 'nodes', 'sources']);
  expect(rates.controller[0].messages).toBeGreaterThan(0);
  expect(rates.nodes[0].bytesIn).toBeGreaterThan(0);
  expect(rates.nodes.map(liveOf)).toEqual([1, 1, 1]);
  expect(ix.more.parts).toBeGreaterThan(0);
  expect(asked.failed).toBe(0);
}

function liveOf(r: { more: Record<string, number> }): number {
  return r.more.live;
}

function statusOf(s: { status: number }): number {
  return s.status;
}

test('a line through exact points has no error', straight);
test('a line and its errors are as worked out by hand', byHand);
test('a square is told from a line', curved);
test('runs at one size have a middle and ends', spreads);
test('a tiny hollow fleet runs, is changed, is asked and is measured', tiny);
