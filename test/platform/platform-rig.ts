import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { PlayedDay, playDay } from '../../tools/fleet/platform';
import { makePatientSite, WIDE_BOUNDS } from '../../tools/fleet/busy-machine';
import { SoakStep } from '../../tools/fleet/soak';
import { Site } from '../../tools/standins/platform/site';

/** A small site; the addresses are this process's own. */
function small(name: string, folder: string, edges: number): Site {
  const size = { edges, engines: 3, scale: 0.12 };
  return makePatientSite(name, size, 2 + (process.pid % 250), folder)!;
}

/** What a short day may have besides. */
export interface DayMore {
  edges?: number;
  /** Changes the site before it starts. */
  alter?: (site: Site) => Site;
}

function unaltered(site: Site): Site {
  return site;
}

const running = new Set<() => Promise<void>>();

/** Plays a short day on real processes; what is left of it ends with the test, also where that failed or ran out of time. */
export async function shortDay(
  name: string,
  seconds: number,
  troubles: readonly string[],
  steps: readonly SoakStep[] = [],
  more: DayMore = {},
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
    site: (more.alter ?? unaltered)(small(name, folder, more.edges ?? 4)),
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
