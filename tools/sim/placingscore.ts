/**
 * What one way of placing is worth.
 */

import { PlacementStrategy } from '../../src/data/gateway/placement-types';

/** What came of one way of placing. */
export interface PlacingResult {
  way: PlacementStrategy;
  requests: number;
  refused: number;
  /** Shares inside the aim. */
  longInAim: number;
  shortInAim: number;
  /** Ms to the first event. */
  longMean: number;
  long95: number;
  shortMean: number;
  short95: number;
  /** The share of long answers that ended in time. */
  ended: number;
  /** Tokens of shared parts that were read although an engine or the store kept them. */
  readAgain: number;
  moved: number;
  /** The share of all worth that was earned, less prices for tokens read again and moved. */
  score: number;
}

/** What counts, in the proportions of a deployment: long and short requests in time and late, 1,000 tokens read again, GB moved. */
export const WORTH = { long: 2, short: 3, late: 0.1, readAgain: 1.1, movedGb: 0.044 };

/** Ms to the first event of a long request that are aimed at. */
export const LONG_AIM = 600;

/** Ms to the first event of a short request that are aimed at. */
export const SHORT_AIM = 300;

/** The share of a list of latencies inside the aim, their mean and their 95th percentile. */
export function tally(list: number[], aim: number): { inAim: number; mean: number; p95: number } {
  const s = list.sort(up);
  let sum = 0;
  let inAim = 0;
  for (const x of s) {
    sum += Math.min(x, 6000);
    if (x <= aim) inAim++;
  }
  return { inAim: inAim / s.length, mean: sum / s.length, p95: s[Math.floor(s.length * 0.95)] };
}

function up(a: number, b: number): number {
  return a - b;
}
