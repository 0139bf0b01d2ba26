/**
 * What the handling of a request works with.
 */

import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { Ports } from '../../shared/ports/ports';
import { Settings } from '../../shared/settings/settings';
import { Engine } from '../../shared/state/engines';
import { EngineChooser } from './engine-chooser';
import { EngineConnections } from './engine-connections';
import { GracefulDrain } from './graceful-drain';
import { InFlightRequests } from './in-flight-requests';
import { RetryBudget } from './retry-budget';
import { ColdEngines } from './cold-engines';
import { RouteTable } from './route-table';
import { WarmUpLimit } from './warm-up-limit';

/** Counters of the request path since its start. */
export interface GatewayCounts {
  /** Requests that came. */
  received: number;
  /** Requests that were answered by an engine. */
  answered: number;
  /** Requests that were rejected and have not run. */
  rejected: number;
  /** Requests that were given up and may have run. */
  unknown: number;
  /** Attempts that were sent to engines; of those, retries, and attempts that resumed an answer. */
  attempts: number;
  retries: number;
  resumed: number;
  /** Requests whose callers went away. */
  callersGone: number;
}

/** All that a request needs on its way. */
export interface GatewayDependencies {
  ports: Ports;
  settings: Settings;
  adapter: PlatformAdapter;
  chooser: EngineChooser;
  connections: EngineConnections;
  budget: RetryBudget;
  coldEngines: ColdEngines;
  warmUpLimit: WarmUpLimit;
  counts: GatewayCounts;
  /** The deployment's look-ups, once this router may serve. */
  routes: () => RouteTable | undefined;
  /** Whether an engine is still listed, not draining, and in no evacuated zone. */
  isEngineActive: (engine: Engine) => boolean;
  drain: GracefulDrain;
  inFlight: InFlightRequests;
  /** Ids of requests under way that may run only once. */
  singleRunIds: Set<string>;
}

/** Counters that begin. */
export function zeroCounts(): GatewayCounts {
  return {
    received: 0,
    answered: 0,
    rejected: 0,
    unknown: 0,
    attempts: 0,
    retries: 0,
    resumed: 0,
    callersGone: 0,
  };
}
