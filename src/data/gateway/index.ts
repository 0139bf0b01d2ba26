/**
 * The gateway of a router that serves a platform: request admission, attempts under a retry budget, placement of each
 * attempt at an engine, forwarding with response classification, and graceful drain.
 *
 * Request path: `gateway` → `request-handling` → `admission`, `attempts` → `engine-chooser`, `forwarding` →
 * `response-classification`, `response-relay`, `silence-watch`.
 *
 * Placement: `placement` → `candidates`, `cost-estimate` (by `engine-loads`, `throughput-estimate`,
 * `transfer-estimate`, `cached-prefix`), `load-shedding`; engines that fail are left out by `outlier-ejection`, and
 * `preferred-replicas` keeps prompts that share a prefix together.
 */

export { Gateway, startGateway } from './gateway';
export { GatewayCounts } from './gateway-dependencies';
export { IndexerClient } from './indexer-client';
export { EngineLoads } from './engine-loads';
export { PlacedRequest } from './placed-request';
export { Placement } from './placement';
export {
  EngineEndpoint,
  PlacementDecision,
  PlacementRequest,
  PlacementStrategy,
  PoolView,
} from './placement-types';
export { RouteTable } from './route-table';
export { WeightsMessages } from './weights-messages';
