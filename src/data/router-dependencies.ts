import { Follower } from '../shared/replication/follower';
import { Metrics } from '../shared/observability/metrics';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { Service } from '../shared/state/intents';
import { EngineTracker, TrackedEngine } from './engine-tracker';
import { EngineSelector } from './engine-selector';

/** What a router counts, for metrics. */
export interface RouterCounts {
  asked: number;
  done: number;
  refused: number;
  unknown: number;
  attempts: number;
  secondTries: number;
  needed: number;
  reused: number;
  expected: number;
  unindexed: number;
  fetched: number;
}

/** An attempt whose first piece is still to come; it is cut when what it was placed under no longer holds. */
export interface ForwardedAttempt {
  tenant: string;
  salt: string;
  model: string;
  weights: string;
  seen: TrackedEngine;
  since: number;
  watched?: boolean;
  cut: AbortController;
}

/** All that a request needs on its way. */
export interface RouterDependencies {
  ports: Ports;
  settings: Settings;
  timeLimits: TimeLimits;
  follower: Follower;
  engines: EngineTracker;
  selector: EngineSelector;
  counts: RouterCounts;
  metrics: Metrics;
  observeFirstPieceMs: (ms: number) => void;
  tenantOf: (hash: string) => string | undefined;
  serviceOf: (
    tenant: string,
    service: string | undefined,
    label: string | undefined,
  ) => Service | 'missing' | 'foreign';
  saltOf: (tenant: string) => string | undefined;
  freshWeights: (model: string) => {
    now: (s: TrackedEngine) => string | undefined;
    old?: (s: TrackedEngine) => string | undefined;
    queried: string[];
  };
  trySpendRetry: (service: Service) => boolean;
  earnRetry: (service: Service) => void;
  runId: () => string;
  awaitingFirstPiece: Set<ForwardedAttempt>;
  isDraining: () => boolean;
}
