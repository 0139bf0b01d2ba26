/** One measured value at one size. */
export interface Point {
  x: number;
  y: number;
}

/** A straight line through measured points; errors are standard errors of the fit. */
export interface Line {
  at0: number;
  at0Error: number;
  slope: number;
  slopeError: number;
  /** Standard deviation of the points around the line. */
  residual: number;
  r2: number;
  /** The square term that fits best beside the line, and its standard error: where it is well above its error, the slope grows with the size. */
  bend: number;
  bendError: number;
  points: number;
}

interface Solved {
  c: number[];
  errors: number[];
  residual: number;
  rss: number;
}

/** Solves the normal equations of `rows · c = ys` by elimination with the largest pivot. */
function leastSquares(rows: number[][], ys: number[]): Solved {
  const k = rows[0].length;
  const n = rows.length;
  const m: number[][] = [];
  for (let i = 0; i < k; i++) {
    m.push([]);
    for (let j = 0; j < k; j++) m[i].push(sumOf(n, product(i, j)));
    m[i].push(sumOf(n, withY(i)));
    for (let j = 0; j < k; j++) m[i].push(i === j ? 1 : 0);
  }
  function product(i: number, j: number): (r: number) => number {
    function at(r: number): number {
      return rows[r][i] * rows[r][j];
    }
    return at;
  }
  function withY(i: number): (r: number) => number {
    function at(r: number): number {
      return rows[r][i] * ys[r];
    }
    return at;
  }
  for (let i = 0; i < k; i++) {
    let best = i;
    for (let r = i + 1; r < k; r++) if (Math.abs(m[r][i]) > Math.abs(m[best][i])) best = r;
    [m[i], m[best]] = [m[best], m[i]];
    const pivot = m[i][i];
    for (let j = i; j < m[i].length; j++) m[i][j] /= pivot;
    for (let r = 0; r < k; r++) {
      const f = m[r][i];
      if (r !== i) for (let j = i; j < m[r].length; j++) m[r][j] -= f * m[i][j];
    }
  }
  const c = m.map(atK);
  function atK(row: number[]): number {
    return row[k];
  }
  function missed(r: number): number {
    let y = ys[r];
    for (let j = 0; j < k; j++) y -= c[j] * rows[r][j];
    return y * y;
  }
  const rss = sumOf(n, missed);
  const variance = n > k ? rss / (n - k) : 0;
  const errors: number[] = [];
  for (let i = 0; i < k; i++) errors.push(Math.sqrt(Math.max(0, variance * m[i][k + 1 + i])));
  return { c, errors, residual: Math.sqrt(variance), rss };
}

function sumOf(n: number, at: (i: number) => number): number {
  let t = 0;
  for (let i = 0; i < n; i++) t += at(i);
  return t;
}

/** Fits a line by least squares; sizes are brought to 0 to 1 first, so that large ones don't cost digits. */
export function fitLine(points: readonly Point[]): Line {
  let most = 0;
  for (const p of points) most = Math.max(most, Math.abs(p.x));
  const scale = most || 1;
  const ys = points.map(yOf);
  function flat(p: Point): number[] {
    return [1, p.x / scale];
  }
  function curved(p: Point): number[] {
    return [1, p.x / scale, (p.x / scale) ** 2];
  }
  const s = leastSquares(points.map(flat), ys);
  const sizes = new Set(points.map(xOf)).size;
  const q = sizes > 2 ? leastSquares(points.map(curved), ys) : undefined;
  const mean = sumOf(ys.length, at) / ys.length;
  function at(i: number): number {
    return ys[i];
  }
  function away(i: number): number {
    return (ys[i] - mean) ** 2;
  }
  const tss = sumOf(ys.length, away);
  return {
    at0: s.c[0],
    at0Error: s.errors[0],
    slope: s.c[1] / scale,
    slopeError: s.errors[1] / scale,
    residual: s.residual,
    r2: tss > 0 ? 1 - s.rss / tss : 1,
    bend: q ? q.c[2] / scale ** 2 : 0,
    bendError: q ? q.errors[2] / scale ** 2 : 0,
    points: points.length,
  };
}

function xOf(p: Point): number {
  return p.x;
}

function yOf(p: Point): number {
  return p.y;
}

/** Whether the points bend away from the line by more than their noise, and by more than a tenth of the largest value. */
export function bends(points: readonly Point[], l: Line): boolean {
  let x = 0;
  let y = 0;
  for (const p of points) {
    x = Math.max(x, Math.abs(p.x));
    y = Math.max(y, Math.abs(p.y));
  }
  return Math.abs(l.bend) > 3 * l.bendError && Math.abs(l.bend) * x * x > 0.1 * y;
}

/** The middle, least and most of some runs. */
export interface Spread {
  median: number;
  least: number;
  most: number;
  runs: number;
}

function byNumber(a: number, b: number): number {
  return a - b;
}

/** The spread of some runs at one size. */
export function spreadOf(ys: readonly number[]): Spread {
  const s = [...ys].sort(byNumber);
  const mid =
    s.length % 2 === 1 ? s[(s.length - 1) / 2] : (s[s.length / 2 - 1] + s[s.length / 2]) / 2;
  return { median: mid, least: s[0], most: s[s.length - 1], runs: s.length };
}

/** What a line gives at a size, with the standard error that follows from the slope's and the start's (as if apart, so on the large side). */
export function reckon(l: Line, x: number): { value: number; error: number } {
  return { value: l.at0 + l.slope * x, error: Math.hypot(l.at0Error, l.slopeError * x) };
}
