import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PlayedDay, playDay } from '../tools/fleet/platform';
import { Guarantees } from '../tools/standins/platform/ground';
import { BOUNDS, makeSite, Site } from '../tools/standins/platform/site';

/** Bounds for a machine that is slow or busy: times are far wider, what is counted is not. */
const WIDE: Guarantees = {
  ...BOUNDS,
  ackMs: 30000,
  drainMs: 20000,
  configApplyMs: 20000,
  rollbackSlackMs: 2000,
  versionMs: 60000,
  lossSlackMs: 2000,
  leaseMs: 1000,
};

/** A small site whose clients wait long; the addresses are this process's own. */
function small(name: string, folder: string): Site {
  const site = makeSite(
    name,
    { edges: 4, engines: 3, scale: 0.12 },
    2 + (process.pid % 250),
    folder,
  )!;
  for (const t of site.traffic) Object.assign(t, { deadlineMs: 20000, furtherTries: 3 });
  for (const r of site.config.routes)
    Object.assign(r, { timeoutMs: 20000, targetLatencyMs: 5000, targetGapMs: 2000 });
  return site;
}

const running = new Set<() => Promise<void>>();

/** Plays a short day on real processes; what is left of it ends with the test, also where that failed or ran out of time. */
export async function shortDay(
  name: string,
  seconds: number,
  troubles: readonly string[],
): Promise<PlayedDay> {
  const folder = mkdtempSync(join(tmpdir(), 'plumhollow-day-'));
  function begun(end: () => Promise<void>): void {
    running.add(over);
    async function over(): Promise<void> {
      await end();
      rmSync(folder, { recursive: true, force: true });
    }
  }
  return playDay({
    site: small(name, folder),
    folder,
    seconds,
    troubles,
    seed: 3,
    judged: WIDE,
    begun,
  });
}

async function cleanUp(): Promise<void> {
  for (const over of running) {
    running.delete(over);
    await over();
  }
}

afterEach(cleanUp);
