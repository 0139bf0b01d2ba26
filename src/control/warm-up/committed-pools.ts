/**
 * The pools of the committed deployment, as this controller has learned it.
 */

import { Clock } from '../../shared/ports/clock';
import { DeploymentValue, Pool } from '../../shared/state/deployment';
import { VersionedValue } from '../../shared/state/versions';
import { DocumentParser } from '../configuration/deployment-change';

/** What the pools are read from. */
export interface CommittedPoolsDependencies {
  clock: Clock;
  /** Reads deployments; none where the controller serves intents, which have no pools. */
  parser: DocumentParser | undefined;
  committed: () => VersionedValue | undefined;
  /** The least time between two readings: a deployment may be long, and change often. */
  minIntervalMs: number;
}

/** Reads the pools anew where the deployment has changed. */
export class CommittedPools {
  private readValue: VersionedValue | undefined;
  private readAt = -Infinity;
  private lastPools: readonly Pool[] = [];

  constructor(private readonly dependencies: CommittedPoolsDependencies) {}

  /** The pools; the same list for as long as the deployment is the same. */
  pools(): readonly Pool[] {
    const { clock, parser, committed, minIntervalMs } = this.dependencies;
    const value = committed();
    const now = clock.now();
    if (!parser || !value || value === this.readValue) return this.lastPools;
    if (now - this.readAt < minIntervalMs) return this.lastPools;
    this.readValue = value;
    this.readAt = now;
    const deployment = parser.deployment((value.value as DeploymentValue).doc);
    if (deployment.isRight()) this.lastPools = deployment.unsafeCoerce().pools;
    return this.lastPools;
  }
}
