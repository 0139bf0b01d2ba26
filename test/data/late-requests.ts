/** Requests that reach a router after it was told to end, on a clock that stands still until it is moved on. */

import http from 'node:http';
import { RandomSource } from '../../src/shared/ports/random';
import { Settings } from '../../src/shared/settings/settings';
import { CONTACT_MS, GRACE_MS, startHeldRig } from './drain-fixture';
import { sendRequest, CallerResponse, GatewayFixture } from './gateway-fixture';
import { ManualClock } from '../shared/manual-clock';

/** The last part of the grace, in which what was taken early may be cut off. */
const LAST_PART = 5 / 6;
/** How long after its SIGTERM a router may take what it might not finish. */
const EARLY_MS = 3000;
/** The longest time that a request has. */
const LONG_MS = 7500;
const STEP_MS = 60;

/** A request to a router that was told to end. Times are in ms. */
export interface LateRequest {
  /** When it comes, from the SIGTERM on. */
  at: number;
  deadlineMs: number;
  /** How long the engine works on it. */
  workMs: number;
}

/** What became of it. */
export interface Outcome {
  got: CallerResponse;
  /** What became of the one that was in flight when the router was told to end. */
  earlier: CallerResponse;
  /** Whether it reached an engine. */
  isPassedOn: boolean;
  /** When its answer ended, from the SIGTERM on. */
  endedAt: number;
}

/** Draws a request. */
export function drawnRequest(dice: RandomSource): LateRequest {
  const deadlineMs = 500 + Math.floor(dice.next() * 6500);
  return {
    at: Math.floor(dice.next() * GRACE_MS * 0.83),
    deadlineMs,
    workMs: Math.floor(dice.next() * deadlineMs),
  };
}

/** A rig of one engine that holds its answers until they are let go; a silent one has not begun on them before. */
interface HoldingRig {
  rig: GatewayFixture;
  clock: ManualClock;
  /** Asks, and comes once the engine holds the answer or it has ended otherwise. */
  asks: (
    more?: Parameters<typeof sendRequest>[1],
  ) => Promise<{ asked: Promise<CallerResponse>; finish?: () => void }>;
}

async function startHoldingRig({ isSilent, settings }: PlayOptions): Promise<HoldingRig> {
  const { rig, clock, streams } = await startHeldRig(LONG_MS, isSilent, settings);
  async function asks(
    more: Parameters<typeof sendRequest>[1] = {},
  ): ReturnType<HoldingRig['asks']> {
    const before = streams.held();
    const passedOn = streams.next();
    const headers = { 'Plumhollow-Deadline-Ms': String(LONG_MS), ...more.headers };
    const asked = sendRequest(rig.address, { ...more, headers });
    await Promise.race([asked, passedOn]);
    return { asked, finish: streams.ends[before] };
  }
  return { rig, clock, asks };
}

/** Asks until an engine holds the answer: connecting may take too long on a busy machine. */
async function asksUntilHeld(
  r: HoldingRig,
  more?: Parameters<typeof sendRequest>[1],
): Promise<{ asked: Promise<CallerResponse>; finish: () => void }> {
  for (;;) {
    const { asked, finish } = await r.asks(more);
    if (finish) return { asked, finish };
    await r.clock.advance(CONTACT_MS);
  }
}

/** What a play may have besides. */
export interface PlayOptions {
  /** Whether engines have not begun on what they hold. */
  isSilent?: boolean;
  settings?: Partial<Settings>;
  /** Called as the router is told to end, and once the request is under way. */
  meanwhile?: (rig: GatewayFixture) => void;
}

/** Plays one request, on a connection that was open before, to a router that leaves while another request is in flight. */
export async function playLate(request: LateRequest, options: PlayOptions = {}): Promise<Outcome> {
  const r = await startHoldingRig(options);
  const { rig, clock } = r;
  const agent = new http.Agent({ keepAlive: true });
  const first = await asksUntilHeld(r, { agent });
  const underWay = await asksUntilHeld(r);
  first.finish();
  expect((await first.asked).status).toBe(200);
  const told = clock.now();
  let isDrained = false;
  let isStopped = false;
  async function leave(): Promise<void> {
    await rig.gateway.drain();
    isDrained = true;
    await rig.close();
    isStopped = true;
  }
  const left = leave();
  options.meanwhile?.(rig);
  await clock.advance(request.at);
  expect(isDrained).toBe(false);
  const headers = { 'Plumhollow-Deadline-Ms': String(request.deadlineMs) };
  const { asked, finish } = await r.asks({ agent, headers });
  options.meanwhile?.(rig);
  for (let ms = 0; ms < request.workMs && !isDrained; ms += STEP_MS) await clock.advance(STEP_MS);
  if (!isDrained) finish?.();
  const got = await asked;
  const endedAt = clock.now() - told;
  const earlier = underWay.asked;
  while (!isStopped) await clock.advance(CONTACT_MS);
  await left;
  agent.destroy();
  return { got, earlier: await earlier, isPassedOn: finish !== undefined, endedAt };
}

/** Whether a router kept its word: the answer came whole, or it was refused unsent, or it was taken early and had most of the grace. */
export function isKept(request: LateRequest, o: Outcome): boolean {
  if (o.got.isComplete && o.got.status === 200) return true;
  if (!o.isPassedOn) return o.got.status === 503 && Number(o.got.headers['retry-after']) > 0;
  const isOver = o.endedAt - request.at >= request.deadlineMs;
  const hadMost =
    request.at <= EARLY_MS && o.endedAt >= GRACE_MS * LAST_PART && o.got.status === 200;
  return isOver || hadMost;
}
