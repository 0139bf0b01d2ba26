import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { Ports } from '../../shared/ports/ports';
import { Settings } from '../../shared/settings/settings';
import { Engine } from '../../shared/state/engines';
import { RetryBudget } from './budget';
import { Chooser } from './choose';
import { Drain } from './drain';
import { InFlight } from './in-flight';
import { EngineConnections } from './pools';
import { RouteTable } from './routes';

/** What a router counts on the request path. */
export interface GatewayCounts {
  asked: number;
  done: number;
  refused: number;
  unknown: number;
  attempts: number;
  furtherAttempts: number;
  resumed: number;
  callersGone: number;
}

/** All that a request needs on its way. */
export interface GatewayParts {
  ports: Ports;
  settings: Settings;
  dialect: PlatformAdapter;
  chooser: Chooser;
  connections: EngineConnections;
  budget: RetryBudget;
  counts: GatewayCounts;
  /** The deployment's look-ups, once this router may serve. */
  table: () => RouteTable | undefined;
  /** Whether an engine is still listed and not leaving. */
  stands: (e: Engine) => boolean;
  draining: Drain;
  inFlight: InFlight;
  /** Ids of requests under way that may run once only. */
  runsOnce: Set<string>;
}
