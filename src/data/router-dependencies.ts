/**
 * What the handling of a request works with.
 */

import { Follower } from '../shared/replication/follower';
import { Metrics } from '../shared/observability/metrics';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { AttemptCutoff } from './attempt-cutoff';
import { EngineSelector } from './engine-selector';
import { EngineTracker } from './engine-tracker';
import { FreshWeights } from './fresh-weights';
import { OverlapClient } from './overlap-client';
import { ServiceRetryBudget } from './service-retry-budget';
import { TenantDirectory } from './tenant-directory';

/** Counters of a router since its start. Metrics are named by these fields. */
export interface RouterCounts {
  /** Requests that came, were answered, were refused before they ran, and may have run without an answer. */
  asked: number;
  done: number;
  refused: number;
  unknown: number;
  /** Attempts that were sent to engines, and retries that were paid for. */
  attempts: number;
  secondTries: number;
  /** Prompt tokens of the requests that were answered; of those, tokens that engines reused, and were expected to. */
  needed: number;
  reused: number;
  expected: number;
  /** Requests that were placed without an index. */
  unindexed: number;
  /** Tokens that engines fetched. */
  fetched: number;
}

/** All that a request needs on its way. */
export interface RouterDependencies {
  ports: Ports;
  settings: Settings;
  timeLimits: TimeLimits;
  follower: Follower;
  engines: EngineTracker;
  indexers: OverlapClient;
  selector: EngineSelector;
  tenants: TenantDirectory;
  freshWeights: FreshWeights;
  retryBudget: ServiceRetryBudget;
  cutoff: AttemptCutoff;
  counts: RouterCounts;
  metrics: Metrics;
  observeFirstPieceMs: (ms: number) => void;
  /** A new id of a run, unique in the fleet: it begins with the router's name and incarnation. */
  nextRunId: () => string;
  isDraining: () => boolean;
}

/** Counters that begin. */
export function zeroRouterCounts(): RouterCounts {
  return {
    asked: 0,
    done: 0,
    refused: 0,
    unknown: 0,
    attempts: 0,
    secondTries: 0,
    needed: 0,
    reused: 0,
    expected: 0,
    unindexed: 0,
    fetched: 0,
  };
}
