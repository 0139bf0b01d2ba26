/**
 * Starts a router of our own manner: it follows the core, tracks engines, and takes callers.
 */

import { Left, Right } from 'purify-ts';
import { errorOrValue, OperationError, Result } from '../shared/errors/errors';
import { makeRequestListener } from '../shared/transport/http-handlers';
import { makeMetrics } from '../shared/observability/metrics';
import { Ports } from '../shared/ports/ports';
import { Connection, Listener } from '../shared/ports/network';
import { timeLimitsOf } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { openChannel } from '../shared/transport/peer-channel';
import { IntentsValue } from '../shared/state/intents';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { Member } from '../shared/state/members';
import { VersionedValue } from '../shared/state/versions';
import { NamedWeights } from '../shared/state/weights';
import { AttemptCutoff } from './attempt-cutoff';
import { CallerApi } from './caller-api';
import { EngineSelector } from './engine-selector';
import { trackEngines } from './engine-tracker';
import { FreshWeights } from './fresh-weights';
import { OverlapClient } from './overlap-client';
import { RunningRouter } from './platform-router';
import { RouterCounts, RouterDependencies, zeroRouterCounts } from './router-dependencies';
import { joinAsRouter, RouterIdentity } from './router-identity';
import { ServiceRetryBudget } from './service-retry-budget';
import { TenantDirectory, TenantKeys } from './tenant-directory';

/** How often a router that drains looks whether requests are in flight, as a share of `retryPauseMs`. */
const DRAIN_POLL_RATIO = 0.25;

/** A running router. */
export interface Router extends RunningRouter {
  dependencies: RouterDependencies;
}

/** Ids of runs: the router's name and incarnation, and a number that rises. */
function runIds({ name, life }: Member): () => string {
  let count = 0;
  function nextRunId(): string {
    return `${name}.${life}.${++count}`;
  }
  return nextRunId;
}

function retryBudget(settings: Settings, counts: RouterCounts): ServiceRetryBudget {
  function countRetry(): void {
    counts.secondTries++;
  }
  return new ServiceRetryBudget(settings.secondTryShare, countRetry);
}

function makeDependencies(
  ports: Ports,
  settings: Settings,
  { hello, member, follower, handlers }: RouterIdentity,
  isDraining: () => boolean,
): RouterDependencies {
  const { clock, random } = ports;
  const timeLimits = timeLimitsOf(settings);
  const counts = zeroRouterCounts();
  const metrics = makeMetrics();
  const observeFirstPieceMs = metrics.times(
    'plumhollow_router_first_piece_ms',
    "from a request's arrival to its first piece",
    settings.changeBoundMs,
  );
  const engines = trackEngines(ports, timeLimits, follower);
  const tenants = new TenantDirectory(follower);
  const { oldWeightsRetireMs, drainingEngineCutMs } = timeLimits;
  const freshWeights = new FreshWeights(clock, follower, engines, oldWeightsRetireMs);
  return {
    ports,
    settings,
    timeLimits,
    follower,
    engines,
    indexers: new OverlapClient(ports, timeLimits, hello, handlers),
    selector: new EngineSelector(random, follower, engines),
    tenants,
    freshWeights,
    retryBudget: retryBudget(settings, counts),
    cutoff: new AttemptCutoff(clock, engines, tenants, freshWeights, drainingEngineCutMs),
    counts,
    metrics,
    observeFirstPieceMs,
    nextRunId: runIds(member),
    isDraining,
  };
}

/** Has what a router serves by follow the control state. */
function followChanges(router: RouterDependencies): void {
  const { cutoff, engines, follower, freshWeights, indexers, tenants } = router;
  function applyChange({ key, value }: VersionedValue): void {
    if (key === CONTROL_KEYS.engines) engines.update();
    else if (key === CONTROL_KEYS.intents) tenants.applyIntents((value as IntentsValue).doc);
    else if (key.startsWith(CONTROL_KEYS.tenantKeys)) tenants.applyKeys(value as TenantKeys);
    else if (key.startsWith(CONTROL_KEYS.weights))
      freshWeights.recordNaming(key, value as NamedWeights);
    cutoff.cutOutdated();
  }
  void follower.changes.observe(applyChange);
  void follower.drainingNotices.observe(cutoff.cutOutdated.bind(cutoff));
  void follower.memberChanges.observe(indexers.updateIndexers.bind(indexers));
}

/** A router that listens, and how it ends. */
class ListeningRouter {
  private isLeaving = false;
  private readonly listeners: Listener[] = [];
  private readonly api: CallerApi;
  readonly dependencies: RouterDependencies;

  constructor(
    private readonly ports: Ports,
    private readonly settings: Settings,
    private readonly identity: RouterIdentity,
  ) {
    this.dependencies = makeDependencies(ports, settings, identity, this.isDraining.bind(this));
    followChanges(this.dependencies);
    this.api = new CallerApi(this.dependencies);
  }

  /** Listens for our own messages and for callers. */
  async listen(): Promise<OperationError | undefined> {
    const { network, logger } = this.ports;
    const [wireError, wire] = errorOrValue(
      await network.listen(this.settings.wire, this.accept.bind(this)),
    );
    if (wireError) return wireError;
    const [httpError, http] = errorOrValue(
      await network.serveHttp(this.settings.http, makeRequestListener([this.api], logger)),
    );
    if (httpError) return httpError;
    this.listeners.push(wire, http);
    return undefined;
  }

  /** Refuses new requests; comes once none is in flight, or after `drainTimeoutMs`. */
  async drain(): Promise<void> {
    const { clock } = this.ports;
    const { drainTimeoutMs, retryPauseMs } = this.dependencies.timeLimits;
    this.isLeaving = true;
    const deadlineAt = clock.now() + drainTimeoutMs;
    while (this.api.inFlightCount() > 0 && clock.now() < deadlineAt)
      await clock.sleep(retryPauseMs * DRAIN_POLL_RATIO);
  }

  /** Gives the leases back, and closes all sockets. */
  async stop(): Promise<void> {
    const { engines, follower, indexers } = this.dependencies;
    this.isLeaving = true;
    await follower.releaseLeases();
    follower.stop();
    engines.stop();
    indexers.stop();
    for (const listener of this.listeners) await listener.close();
  }

  private isDraining(): boolean {
    return this.isLeaving;
  }

  private accept(connection: Connection): void {
    openChannel(this.ports, connection, this.identity.handlers);
  }
}

/** Starts a router: it follows the core, tracks engines, and takes callers. Errors: a socket can't be listened on. */
export async function startRouter(ports: Ports, settings: Settings): Promise<Result<Router>> {
  const identity = joinAsRouter(ports, settings, timeLimitsOf(settings));
  const router = new ListeningRouter(ports, settings, identity);
  const error = await router.listen();
  if (error) return Left(error);
  const { dependencies } = router;
  return Right({
    dependencies,
    stop: router.stop.bind(router),
    drain: router.drain.bind(router),
  });
}
