import { bareCaller, BareCaller } from './bare-caller';
import { CONTACT_MS, GRACE_MS, HeldRig, startHeldRig } from './drain-fixture';
import { HeldStreams } from './held-streams';

/** The share of the grace after which a drain ends, and the one for which a router that leaves takes all that comes. */
const DRAIN = 0.93;
const LISTED = 0.3;
/** The longest time that a request has. */
const LONG_MS = 7500;
/** How long a process is held up as its signal comes. */
const HELD_UP_MS = 600;
/** How often a drain looks at itself, and a router that serves. */
const LOOK_MS = 60;
const ROUTER_LOOK_MS = 300;

let requests = 0;

function request(deadlineMs = LONG_MS): string {
  return [
    'POST /a/x HTTP/1.1',
    'Host: desk.example',
    `Plumhollow-Attempt-Id: late-${++requests}`,
    'Plumhollow-Model: m',
    `Plumhollow-Deadline-Ms: ${deadlineMs}`,
    'Authorization: Token k1',
    'Content-Length: 0\n\n',
  ].join('\n');
}

interface DrainRig extends HeldRig {
  /** A caller with a connection that an answer came on before. */
  kept: BareCaller;
  /** Tells the router to end, and comes once it has closed. */
  leave: () => Promise<void>;
  /** When its drain had ended, in ms of the clock. */
  drainedAt: () => number | undefined;
  hasClosed: () => boolean;
}

async function startDrainRig(): Promise<DrainRig> {
  const { rig, clock, streams } = await startHeldRig(LONG_MS);
  const kept = await bareCaller(rig.address);
  await begin(kept, streams);
  streams.finish();
  expect(await kept.has('data: last')).toBe(true);
  let drained: number | undefined;
  let isClosed = false;
  async function leave(): Promise<void> {
    await rig.gateway.drain();
    drained = clock.now();
    await rig.close();
    isClosed = true;
  }
  function drainedAt(): number | undefined {
    return drained;
  }
  function hasClosed(): boolean {
    return isClosed;
  }
  return { rig, clock, streams, kept, leave, drainedAt, hasClosed };
}

/** Sends a request and comes once an engine holds its answer. */
async function begin(caller: BareCaller, streams: HeldStreams): Promise<void> {
  const isHeld = streams.next();
  caller.write(request());
  await isHeld;
}

async function advanceUntilClosed(r: DrainRig): Promise<void> {
  while (!r.hasClosed()) await r.clock.advance(LOOK_MS);
}

/** A request lies unread as the drain comes to its end, as where the process was held up. */
async function arrivesUnread(quietMs: number): Promise<string> {
  const r = await startDrainRig();
  const left = r.leave();
  await r.clock.advance(quietMs);
  expect(r.drainedAt()).toBeUndefined();
  r.kept.write(request());
  r.clock.holdUp(HELD_UP_MS);
  await Promise.race([r.kept.has('data: first'), r.kept.closed]);
  r.streams.finish();
  await advanceUntilClosed(r);
  await Promise.all([left, r.kept.closed]);
  return r.kept.received().split('data: last').pop()!;
}

async function answersAtQuietEnd(): Promise<void> {
  expect(await arrivesUnread(CONTACT_MS * 0.82)).toMatch(/HTTP\/1.1 (200|503) /);
}

async function answersAtLastEnd(): Promise<void> {
  const r = await startDrainRig();
  const held = await bareCaller(r.rig.address);
  await begin(held, r.streams);
  const left = r.leave();
  await r.clock.advance(GRACE_MS * DRAIN - HELD_UP_MS / 2);
  expect(r.drainedAt()).toBeUndefined();
  r.kept.write(request());
  r.clock.holdUp(HELD_UP_MS);
  await r.kept.closed;
  await advanceUntilClosed(r);
  await left;
  const late = r.kept.received().split('data: last').pop()!;
  expect(late).toMatch(/HTTP\/1.1 503 [^]*retry-after/i);
}

/** The process was held up while its signal came; all bounds count from when the signal may have been sent. */
async function countsFromTheSignal(): Promise<void> {
  const r = await startDrainRig();
  const held = await bareCaller(r.rig.address);
  await begin(held, r.streams);
  await r.clock.advance(ROUTER_LOOK_MS);
  const sentAt = r.clock.now();
  r.clock.holdUp(HELD_UP_MS);
  const left = r.leave();
  await r.clock.advance(sentAt + GRACE_MS * LISTED + LOOK_MS - r.clock.now());
  r.kept.write(request());
  expect(await r.kept.has('503')).toBe(true);
  await advanceUntilClosed(r);
  await left;
  expect(r.drainedAt()! - sentAt).toBeLessThanOrEqual(GRACE_MS * DRAIN + 2 * LOOK_MS);
}

/** The users' record: a request that is sent 3.767 s after the SIGTERM, by what time it has and how late the signal is handled. */
const RECORD_SENT_MS = 3767;
const RECORD_CUT_MS = 6807;

async function playRecord(lateMs: number, deadlineMs: number): Promise<string> {
  const r = await startDrainRig();
  await begin(await bareCaller(r.rig.address), r.streams);
  await r.clock.advance(ROUTER_LOOK_MS);
  const sentAt = r.clock.now();
  r.clock.holdUp(lateMs);
  const left = r.leave();
  await r.clock.advance(sentAt + RECORD_SENT_MS - r.clock.now());
  r.kept.write(request(deadlineMs));
  await Promise.race([r.kept.has('503'), r.streams.next()]);
  await r.clock.advance(sentAt + RECORD_CUT_MS - r.clock.now());
  r.streams.finish();
  await advanceUntilClosed(r);
  await Promise.all([left, r.kept.closed]);
  if (r.kept.received().includes('HTTP/1.1 503')) return 'refused';
  return r.kept.received().split('data: last').length > 2 ? 'served' : 'cut';
}

/** What may last beyond the drain is refused, however late the signal was handled; what may not is taken, and has its time. */
async function recorded(): Promise<void> {
  const OWN_TIME_MS = RECORD_CUT_MS - RECORD_SENT_MS;
  expect(await playRecord(0, 6000)).toBe('refused');
  expect(await playRecord(600, 6000)).toBe('refused');
  expect(await playRecord(1400, 6000)).toBe('refused');
  expect(await playRecord(0, OWN_TIME_MS + LOOK_MS)).toBe('served');
}

/** Where nothing was held up, nothing is taken off the grace. */
async function countsFromNow(): Promise<void> {
  const r = await startDrainRig();
  await r.clock.advance(ROUTER_LOOK_MS);
  const toldAt = r.clock.now();
  const left = r.leave();
  await r.clock.advance(GRACE_MS * LISTED - LOOK_MS);
  await begin(r.kept, r.streams);
  await advanceUntilClosed(r);
  await left;
  expect(r.drainedAt()! - toldAt).toBeGreaterThanOrEqual(GRACE_MS * DRAIN);
}

test('a request that lies unread as a quiet drain ends is answered', answersAtQuietEnd);
test('a request that lies unread as the last of a drain comes is answered', answersAtLastEnd);
test('a drain that began late counts from when its signal may have been sent', countsFromTheSignal);
test('the record: by the time that a request has, and how late the signal is handled', recorded);
test('a drain that began in time has all of its grace', countsFromNow);
