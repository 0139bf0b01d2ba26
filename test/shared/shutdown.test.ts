import { makeShutdown } from '../../src/programs/shutdown';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { defaultSettings } from '../../src/shared/settings/settings';

/** A running program whose drain ends when a test says so, and what became of it. */
function program(): {
  shutdown: ReturnType<typeof makeShutdown>;
  finish: () => void;
  did: string[];
} {
  const did: string[] = [];
  let finish = nothing;
  function nothing(): void {
    // does nothing on purpose
  }
  function wait(done: () => void): void {
    finish = done;
  }
  const drained = new Promise<void>(wait);
  function drain(): Promise<void> {
    did.push('drain');
    return drained;
  }
  function stop(): Promise<void> {
    did.push('stop');
    return Promise.resolve();
  }
  function exit(code: number): void {
    did.push(`exit ${code}`);
  }
  return { shutdown: makeShutdown({ drain, stop }, exit), finish, did };
}

function settled(): Promise<void> {
  function wait(done: () => void): void {
    setImmediate(done);
  }
  return new Promise(wait);
}

async function again(): Promise<void> {
  const running = program();
  for (let i = 0; i < 3; i++) running.shutdown('SIGTERM');
  await settled();
  expect(running.did).toEqual(['drain']);
  running.finish();
  await settled();
  expect(running.did).toEqual(['drain', 'stop', 'exit 0']);
}

async function impatient(): Promise<void> {
  for (const first of ['SIGTERM', 'SIGINT'] as const) {
    const running = program();
    running.shutdown(first);
    running.shutdown('SIGINT');
    await settled();
    expect(running.did).toEqual(['drain', 'exit 1']);
  }
}

function withinGrace(): void {
  for (const weightsBoundMs of [1000, 8000, 60000])
    for (const graceMs of [1000, 8000, 20000]) {
      const bounds = timeLimitsOf({ ...defaultSettings(), weightsBoundMs, graceMs });
      expect(bounds.drainTimeoutMs).toBeLessThan(graceMs);
      expect(bounds.leaveTimeoutMs + bounds.callDrainTimeoutMs).toBeLessThan(graceMs);
    }
}

test('a repeated SIGTERM aborts nothing', again);
test('a repeated SIGINT ends a program at once', impatient);
test('programs drain within the grace period, whatever the time limits', withinGrace);
