/** Sites whose zones may be cut apart: tallies, evacuations, and engines that come back cold. */

import { Site } from './site';

const WARM_UP_S = 3;
const WARM_UP_PER_S = 12;
const TALLIES = 6;
const CALLS_PER_S = 12;

/** Has a site's zones be such that they may be cut apart. */
export function withApart(site: Site): Site {
  for (const service of site.config.services)
    if (service.engine) Object.assign(service, { warmupS: WARM_UP_S, warmupPerS: WARM_UP_PER_S });
  for (const engine of site.engines)
    if (engine.model !== undefined) engine.warmUpPerS = WARM_UP_PER_S;
  site.apart = { warmUpMs: WARM_UP_S * 1000, tallies: TALLIES, callsPerS: CALLS_PER_S };
  return site;
}
