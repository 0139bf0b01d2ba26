/** Streams of an engine that falls silent while the retry budget covers only some of them. */

import { heldStreams } from './held-streams';
import {
  CallerResponse,
  deployment,
  route,
  sendRequest,
  startGatewayFixture,
  startStandIn,
  streamEvents,
} from './gateway-fixture';
import { manualClock } from '../shared/manual-clock';

const STREAMS = 8;
/** With this ratio the streams earn one retry and a half. */
const RETRY_RATIO = 0.24;
const TIMEOUT_MS = 60000;
const AIM_MS = 300;
const STEP_MS = 50;
/** The silence after which an engine that is reachable is taken for lost. */
const SILENCE_MS = AIM_MS * 6;
const SETTLING_MS = 1000;

const closers: (() => void | Promise<void>)[] = [];

async function closeAll(): Promise<void> {
  for (const close of closers.splice(0)) await close();
}

/** Guards against LOST: a silent engine's streams were given up all at once, although the budget paid for one of them only; the others were cut off. */
async function keepsWhatCannotMove(): Promise<void> {
  const clock = manualClock();
  const streams = heldStreams();
  const silent = await startStandIn('e1', streams.answer);
  const rig = await startGatewayFixture({
    engines: [silent],
    deployment: deployment([
      route({ timeoutMs: TIMEOUT_MS, aimMs: AIM_MS, gapAimMs: AIM_MS, resumable: true }),
    ]),
    settings: { contactMs: 4000, retryWindowMs: 100000, retryRatio: RETRY_RATIO },
    clock,
  });
  const asked: Promise<CallerResponse>[] = [];
  for (let i = 0; i < STREAMS; i++) {
    const isHeld = streams.next();
    asked.push(
      sendRequest(rig.address, { headers: { 'Plumhollow-Deadline-Ms': String(TIMEOUT_MS) } }),
    );
    await isHeld;
  }
  const other = await startStandIn('e2', streamEvents(2));
  closers.push(rig.close, other.close);
  rig.publishEngines([silent, other]);
  await clock.advance(SILENCE_MS - STEP_MS);
  clock.holdUp(2 * STEP_MS);
  for (let ms = 0; ms < SETTLING_MS; ms += STEP_MS) await clock.advance(STEP_MS);
  streams.finish();
  const got = await Promise.all(asked);
  expect(got.filter(isCut).length).toBe(0);
  expect(rig.gateway.counts.resumed).toBe(1);
}

function isCut({ isComplete }: CallerResponse): boolean {
  return !isComplete;
}

afterEach(closeAll);

test('a silent engine keeps the streams that the retry budget cannot move', keepsWhatCannotMove);
