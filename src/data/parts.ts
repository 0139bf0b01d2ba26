import { Follower } from '../shared/replication/follower';
import { Metrics } from '../shared/observability/metrics';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { Service } from '../shared/state/intents';
import { Engines, Seen } from './engines';
import { Placer } from './place';

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
export interface Attempt {
  tenant: string;
  salt: string;
  model: string;
  weights: string;
  seen: Seen;
  since: number;
  watched?: boolean;
  cut: AbortController;
}

/** All that a request needs on its way. */
export interface RouterParts {
  ports: Ports;
  settings: Settings;
  bounds: TimeLimits;
  follower: Follower;
  engines: Engines;
  placer: Placer;
  counts: RouterCounts;
  metrics: Metrics;
  firstTook: (ms: number) => void;
  tenantOf: (hash: string) => string | undefined;
  serviceOf: (
    tenant: string,
    service: string | undefined,
    label: string | undefined,
  ) => Service | 'missing' | 'foreign';
  saltOf: (tenant: string) => string | undefined;
  freshWeights: (model: string) => {
    now: (s: Seen) => string | undefined;
    old?: (s: Seen) => string | undefined;
    queried: string[];
  };
  allowSecond: (service: Service) => boolean;
  earn: (service: Service) => void;
  runId: () => string;
  underWay: Set<Attempt>;
  draining: () => boolean;
}
