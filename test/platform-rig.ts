import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PlayedDay, playDay } from '../tools/fleet/platform';
import { makePatientSite, WIDE_BOUNDS } from '../tools/fleet/busy-machine';
import { SoakStep } from '../tools/fleet/soak';
import { Site } from '../tools/standins/platform/site';

/** A small site; the addresses are this process's own. */
function small(name: string, folder: string): Site {
  const size = { edges: 4, engines: 3, scale: 0.12 };
  return makePatientSite(name, size, 2 + (process.pid % 250), folder)!;
}

const running = new Set<() => Promise<void>>();

/** Plays a short day on real processes; what is left of it ends with the test, also where that failed or ran out of time. */
export async function shortDay(
  name: string,
  seconds: number,
  troubles: readonly string[],
  steps: readonly SoakStep[] = [],
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
    steps,
    seed: 3,
    judged: WIDE_BOUNDS,
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
