import { existsSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import * as vega from 'vega';
import { compile, TopLevelSpec } from 'vega-lite';
import { AXES } from './axes';
import { bends, fitLine, Line, Point, spreadOf } from './fit';
import { PLAN, PlanLine, Sizes, SIZES, Term } from './plan';

/** One run at one size, as it is kept. */
export interface Run {
  mark: string;
  axis: string;
  size: number;
  values: Record<string, number>;
}

/** Reads kept runs, a line each. */
export function readRuns(file: string): Run[] {
  if (!existsSync(file)) return [];
  return readFileSync(file, 'utf8').split('\n').filter(Boolean).map(parse);
}

function parse(line: string): Run {
  return JSON.parse(line) as Run;
}

/** The points of one value along one axis; runs of a fleet that had not settled don't count. */
export function pointsOf(runs: readonly Run[], mark: string, axis: string, value: string): Point[] {
  const out: Point[] = [];
  for (const r of runs)
    if (
      r.mark === mark &&
      r.axis === axis &&
      r.values.settled === 1 &&
      Number.isFinite(r.values[value])
    )
      out.push({ x: r.size, y: r.values[value] });
  return out;
}

/** A figure to three digits. */
export function figure(x: number): string {
  if (!Number.isFinite(x)) return '-';
  if (Math.abs(x) >= 1000) return String(Math.round(Number(x.toPrecision(3))));
  return String(Number(x.toPrecision(3)));
}

function sizesOf(points: readonly Point[]): number[] {
  const s = new Set<number>();
  for (const p of points) s.add(p.x);
  return [...s].sort(byNumber);
}

function byNumber(a: number, b: number): number {
  return a - b;
}

function rowOf(axis: string, value: string, points: Point[]): string {
  const l = fitLine(points);
  const sizes = sizesOf(points);
  function atMost(p: Point): boolean {
    return p.x === sizes[sizes.length - 1];
  }
  function yOf(p: Point): number {
    return p.y;
  }
  const s = spreadOf(points.filter(atMost).map(yOf));
  return `| ${axis} | ${value} | ${sizes.join(', ')} | ${points.length} | ${figure(l.at0)} ± ${figure(l.at0Error)} | ${figure(l.slope)} ± ${figure(l.slopeError)} | ${figure(l.residual)} | ${figure(l.r2)} | ${bends(points, l) ? (l.bend > 0 ? 'up' : 'down') : '-'} | ${figure(s.least)}, ${figure(s.median)}, ${figure(s.most)} |`;
}

/** The table of slopes of one mark. */
export function slopesTable(runs: readonly Run[], mark: string): string {
  const rows = [
    '| axis | value | sizes run | runs | at 0 | slope | residual | R² | bends | least, median, most at the largest |',
    '| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |',
  ];
  for (const a of AXES) {
    const names = new Set<string>();
    for (const r of runs)
      if (r.mark === mark && r.axis === a.name) for (const k of Object.keys(r.values)) names.add(k);
    for (const value of names) {
      const points = pointsOf(runs, mark, a.name, value);
      if (sizesOf(points).length > 1) rows.push(rowOf(a.name, value, points));
    }
  }
  return rows.join('\n');
}

function termAt(runs: readonly Run[], t: Term, s: Sizes): { value: number; error: number } {
  const points = pointsOf(runs, 'now', t.axis, t.value);
  if (sizesOf(points).length < 2) return { value: NaN, error: NaN };
  const l: Line = fitLine(points);
  const by = (t.of ? s[t.of] : 1) * (t.times ? t.times(s) : 1);
  return t.of
    ? { value: l.slope * by, error: l.slopeError * by }
    : { value: l.at0 * by, error: l.at0Error * by };
}

/** What a line comes to at a size: the sum of its products, and their errors as if apart. */
export function workOut(
  runs: readonly Run[],
  line: PlanLine,
  size: keyof typeof SIZES,
): { value: number; error: number } {
  let value = 0;
  let square = 0;
  for (const t of line.terms) {
    if (t.at && !t.at.includes(size)) continue;
    const x = termAt(runs, t, SIZES[size]);
    value += x.value;
    square += x.error * x.error;
  }
  return { value, error: Math.sqrt(square) };
}

/** The table of what each role comes to at each size. */
export function planTable(runs: readonly Run[]): string {
  const rows = ['| role | what | today | grown | planned |', '| --- | --- | --- | --- | --- |'];
  for (const p of PLAN) {
    const cells: string[] = [];
    for (const size of Object.keys(SIZES) as (keyof typeof SIZES)[]) {
      const x = workOut(runs, p, size);
      cells.push(`${figure(x.value)} ± ${figure(x.error)}`);
    }
    rows.push(`| ${p.role} | ${p.what} | ${cells.join(' | ')} |`);
  }
  return rows.join('\n');
}

/** Draws one axis: a panel for each value, its runs and its line. */
export async function plot(
  runs: readonly Run[],
  axis: string,
  of: string,
  values: readonly string[],
  file: string,
): Promise<void> {
  const dots: object[] = [];
  const lines: object[] = [];
  for (const mark of ['before', 'now']) {
    for (const value of values) {
      const points = pointsOf(runs, mark, axis, value);
      const sizes = sizesOf(points);
      if (sizes.length < 2) continue;
      const l = fitLine(points);
      for (const p of points) dots.push({ value, mark, x: p.x, y: p.y });
      for (const x of [0, sizes[sizes.length - 1]])
        lines.push({ value, mark, x, y: l.at0 + l.slope * x });
    }
  }
  if (dots.length === 0) return;
  const color = {
    field: 'mark',
    type: 'nominal',
    scale: { domain: ['before', 'now'], range: ['#c0883a', '#2a6f97'] },
    title: null,
  };
  const x = { field: 'x', type: 'quantitative', title: of };
  const y = { field: 'y', type: 'quantitative', title: null };
  const panels: object[] = [];
  for (const value of values) {
    const test = `datum.value === ${JSON.stringify(value)}`;
    panels.push({
      title: { text: value, fontSize: 11 },
      width: 220,
      height: 150,
      layer: [
        {
          data: { values: lines },
          transform: [{ filter: test }],
          mark: { type: 'line', strokeWidth: 1 },
          encoding: { x, y, color },
        },
        {
          data: { values: dots },
          transform: [{ filter: test }],
          mark: { type: 'point', size: 22, filled: true, opacity: 0.6 },
          encoding: { x, y, color },
        },
      ],
    });
  }
  const spec = {
    $schema: 'https://vega.github.io/schema/vega-lite/v5.json',
    background: 'white',
    concat: panels,
    columns: 3,
    resolve: { scale: { y: 'independent' } },
  } as unknown as TopLevelSpec;
  writeFileSync(
    file,
    await new vega.View(vega.parse(compile(spec).spec), { renderer: 'none' }).toSVG(),
  );
}

/** Values that are drawn, by axis. */
const DRAWN: Record<string, string[]> = {
  nodes: ['controller cpu ms/s', 'controller out B/s', 'change: controller B'],
  'nodes-17s': ['controller cpu ms/s', 'controller out B/s', 'controller heap MB'],
  core: ['node cpu ms/s', 'node in B/s', 'node out B/s'],
  bound: ['controller cpu ms/s', 'node cpu ms/s', 'node messages/s'],
  tenants: ['controller cpu ms/s', 'controller out B/s', 'change: node B'],
  rules: ['change: controller cpu ms', 'change: node B', 'change: controller disk B'],
  changes: ['change: controller cpu ms', 'change: controller B', 'change: median ms'],
  list: ['controller in B/s', 'change: controller B', 'change: node B'],
  votes: ['votes cpu ms/s', 'syncs/s', 'vote: cpu ms'],
  'deployment-tenants': [
    'change: controller cpu ms',
    'change: router cpu ms',
    'router heap MB',
    'change: controller disk B',
    'change: router B',
    'change: median ms',
  ],
  'deployment-routes': ['change: controller cpu ms', 'change: router cpu ms', 'router heap MB'],
  'deployment-nodes': ['change: controller cpu ms', 'change: controller B', 'change: median ms'],
  'feed-events': ['indexer cpu ms/s', 'indexer in B/s', 'indexer heap MB'],
  'feed-sources': ['indexer cpu ms/s', 'indexer in B/s', 'indexer heap MB'],
  'feed-blocks': ['indexer heap MB', 'indexer rss MB', 'start ms'],
  overlaps: ['overlaps cpu ms/s', 'placeds cpu ms/s', 'overlap: median ms'],
  board: ['tells cpu ms/s', 'tell: B', 'tell: median ms'],
  requests: ['router cpu ms/s', 'request: router cpu ms', 'request: indexer cpu ms'],
};

/** Draws all axes that were run. */
export async function plotAll(runs: readonly Run[], folder: string): Promise<void> {
  for (const a of AXES)
    if (DRAWN[a.name]) await plot(runs, a.name, a.of, DRAWN[a.name], join(folder, `${a.name}.svg`));
}
