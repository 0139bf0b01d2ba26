/** Days on a machine that is slow or busy: times are far wider, what is counted is not. */

import { Guarantees } from '../standins/platform/ground';
import { BOUNDS, makeSite, Site, SiteSize } from '../standins/platform/site';

/** Bounds to judge such days by. */
export const WIDE_BOUNDS: Guarantees = {
  ...BOUNDS,
  ackMs: 30000,
  drainMs: 20000,
  configApplyMs: 20000,
  rollbackSlackMs: 2000,
  versionMs: 60000,
  lossSlackMs: 2000,
  evacuateMs: 6000,
  mergeMs: 10000,
  leaseMs: 1000,
};

/** A site whose clients wait long; `net` is the second number of its loopback addresses. */
export function makePatientSite(
  name: string,
  size: SiteSize,
  net: number,
  folder: string,
): Site | undefined {
  const site = makeSite(name, size, net, folder);
  if (!site) return undefined;
  for (const t of site.traffic) Object.assign(t, { deadlineMs: 20000, furtherTries: 3 });
  for (const r of site.config.routes)
    Object.assign(r, { timeoutMs: 20000, targetLatencyMs: 5000, targetGapMs: 2000 });
  return site;
}

/** The time of one step of an engine whose long answers take about half of a process's grace, in ms. */
const SLOW_STEP_MS = 220;

/** Has a site's engines answer slowly all day, so that answers last longer than a process takes to leave. */
export function slowEngines(site: Site): Site {
  for (const engine of site.engines) engine.stepMs = SLOW_STEP_MS;
  return site;
}

/** How long a client that reads slowly rests after each read, in ms. */
const REST_MS = 400;

/** Has some of a site's clients read slowly. */
export function slowReaders(site: Site): Site {
  site.clientRestMs = REST_MS;
  return site;
}

/** Requests a second of the long and of the short kind that nearly fill slow engines. */
const NEARLY_FULL = { long: 7, short: 3 };

/** Has a site's engines be slow, and nearly full of long answers. */
export function withLongAnswers(site: Site): Site {
  const [long, short] = site.traffic;
  long.perS = NEARLY_FULL.long;
  short.perS = NEARLY_FULL.short;
  return slowEngines(site);
}
