import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { Ports } from '../../shared/ports/ports';
import { Settings } from '../../shared/settings/settings';
import { Engine } from '../../shared/state/engines';
import { RetryBudget } from './retry-budget';
import { EngineChooser } from './engine-chooser';
import { GracefulDrain } from './graceful-drain';
import { InFlightRequests } from './in-flight-requests';
import { EngineConnections } from './engine-connections';
import { RouteTable } from './route-table';

/** What a router counts on the request path. */
export interface GatewayCounts {
  received: number;
  answered: number;
  rejected: number;
  unknown: number;
  attempts: number;
  retries: number;
  resumed: number;
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
  counts: GatewayCounts;
  /** The deployment's look-ups, once this router may serve. */
  routes: () => RouteTable | undefined;
  /** Whether an engine is still listed and not leaving. */
  isEngineActive: (e: Engine) => boolean;
  drain: GracefulDrain;
  inFlight: InFlightRequests;
  /** Ids of requests under way that may run once only. */
  singleRunIds: Set<string>;
}
