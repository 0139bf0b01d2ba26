/**
 * The gateway: the request path of a router that serves a platform. It takes callers, tells whether it is ready, follows
 * the control state, and drains.
 */

import { Left, Right } from 'purify-ts';
import { DeploymentValue } from '../../shared/state/deployment';
import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { errorOrValue, failure, OperationError, Result } from '../../shared/errors/errors';
import { Follower } from '../../shared/replication/follower';
import {
  RawHttpNetwork,
  RawIncomingRequest,
  RawListener,
  ServeLimits,
} from '../../shared/ports/raw-http';
import { Ports } from '../../shared/ports/ports';
import { Settings } from '../../shared/settings/settings';
import { timeLimitsOf } from '../../shared/settings/time-limits';
import { makeStallMonitor, StallMonitor } from '../../shared/observability/event-loop-stalls';
import { NamedWeights } from '../../shared/state/weights';
import { Engine } from '../../shared/state/engines';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { EvacuationsValue } from '../../shared/state/evacuations';
import { VersionedValue } from '../../shared/state/versions';
import { ColdEngineLog } from './cold-engine-log';
import { ColdEngines } from './cold-engines';
import { EngineChooser } from './engine-chooser';
import { EngineConnections } from './engine-connections';
import { GatewayCounts, GatewayDependencies, zeroCounts } from './gateway-dependencies';
import { GracefulDrain } from './graceful-drain';
import { InFlightRequests } from './in-flight-requests';
import { OverdueRequestLog } from './overdue-requests';
import { handleRequest } from './request-handling';
import { RetryBudget } from './retry-budget';
import { ServingState } from './serving-state';
import { StartLog } from './start-log';
import { WarmUpLimit } from './warm-up-limit';
import { WeightsMessages } from './weights-messages';
import { WeightsTracker } from './weights-tracker';
import { idsOf } from './candidates';

/** Callers' time-outs until there is a deployment, as shares of `contactMs`. */
const DEFAULT_HEADER_TIMEOUT_RATIO = 1;
const DEFAULT_IDLE_TIMEOUT_RATIO = 5;
/** Older weights serve fresh requests for this share of `weightsBoundMs`. */
const OLDER_WEIGHTS_RATIO = 0.7;
/** Where their naming is only caught up on, this router was not in touch: they serve for this share of `contactMs`. */
const CAUGHT_UP_WEIGHTS_RATIO = 0.7;
/** How often a router that serves looks at itself, as a share of `contactMs`. */
const SELF_CHECK_RATIO = 0.05;

/** The sockets that a gateway listens on. */
interface Listeners {
  callers: RawListener;
  readiness: RawListener;
}

/** What a gateway works with. */
interface GatewayOptions {
  ports: Ports;
  http: RawHttpNetwork;
  settings: Settings;
  follower: Follower;
  adapter: PlatformAdapter;
}

/** The request path of a router; made by `startGateway`. */
export class Gateway {
  /** Counters since the start. */
  readonly counts: GatewayCounts = zeroCounts();
  /** Handlers of messages that the core sends to this router. */
  readonly messages: WeightsMessages;
  private readonly state: ServingState;
  private readonly startLog: StartLog;
  private readonly inFlight: InFlightRequests;
  private readonly overdueLog: OverdueRequestLog;
  private readonly stalls: StallMonitor;
  private readonly draining: GracefulDrain;
  private readonly weights: WeightsTracker;
  private readonly connections: EngineConnections;
  private readonly coldEngineLog: ColdEngineLog;
  private readonly coldEngines: ColdEngines;
  private readonly warmUpLimit: WarmUpLimit;
  private readonly chooser: EngineChooser;
  private readonly dependencies: GatewayDependencies;
  private listeners: Listeners | undefined;
  private cancelSelfCheck: (() => void) | undefined;

  constructor(private readonly options: GatewayOptions) {
    const { ports, http, settings, follower, adapter } = options;
    const { clock, logger } = ports;
    this.state = new ServingState(settings, follower, adapter);
    this.startLog = new StartLog(clock, logger, settings, this.state);
    this.inFlight = new InFlightRequests(clock, logger, settings);
    this.overdueLog = new OverdueRequestLog(clock, logger, settings, this.inFlight);
    this.stalls = makeStallMonitor(clock, settings.contactMs * SELF_CHECK_RATIO);
    this.draining = new GracefulDrain(clock, logger, settings, this.inFlight, this.stalls);
    this.weights = new WeightsTracker(
      clock,
      settings.weightsBoundMs * OLDER_WEIGHTS_RATIO,
      settings.contactMs * CAUGHT_UP_WEIGHTS_RATIO,
    );
    this.messages = new WeightsMessages(this.weights);
    const routerCount = this.state.routerCount.bind(this.state);
    this.connections = new EngineConnections(clock, http, settings, routerCount);
    this.coldEngineLog = new ColdEngineLog(clock, logger, settings.contactMs);
    this.coldEngines = this.makeColdEngines();
    this.warmUpLimit = this.makeWarmUpLimit();
    this.chooser = this.makeChooser(routerCount);
    this.dependencies = this.makeDependencies(new RetryBudget(clock, settings, routerCount));
  }

  /** Listens for callers and for questions of readiness, and begins to follow the control state. */
  async listen(): Promise<OperationError | undefined> {
    const { http, settings, follower } = this.options;
    const [callersError, callers] = errorOrValue(
      await http.serve(settings.http, this.serveLimits(), this.handleCall.bind(this)),
    );
    if (callersError) return callersError;
    const [readinessError, readiness] = errorOrValue(
      await http.serve(settings.readiness, this.serveLimits(), this.answerReadiness.bind(this)),
    );
    if (readinessError) return readinessError;
    this.listeners = { callers, readiness };
    void follower.changes.observe(this.applyChange.bind(this));
    void follower.warmUp.notices.observe(this.coldEngines.applyUnreachable.bind(this.coldEngines));
    for (const change of follower.appliedValues()) this.applyChange(change);
    for (const id of follower.warmUp.reported()) this.coldEngines.applyUnreachable(id);
    this.cancelSelfCheck = this.selfCheckAfter(0);
    return undefined;
  }

  /** Whether it takes connections. */
  ready(): boolean {
    return this.state.canServe() && !this.draining.isDraining();
  }

  /** Begins to drain; comes once nothing is in flight and nothing new comes, or at the end of the drain's time. */
  async drain(): Promise<void> {
    this.draining.begin();
    if (!this.listeners) return;
    const { callers } = this.listeners;
    callers.setLimits(this.serveLimits());
    await this.draining.run(callers);
  }

  /** Ends the drain, and closes all sockets. */
  async stop(): Promise<void> {
    this.draining.begin();
    this.cancelSelfCheck?.();
    this.chooser.stop();
    this.connections.stop();
    if (!this.listeners) return;
    const { callers, readiness } = this.listeners;
    await Promise.all([this.draining.close(callers), readiness.close()]);
  }

  private makeColdEngines(): ColdEngines {
    const { ports, settings, follower } = this.options;
    const { connections, state } = this;
    return new ColdEngines({
      clock: ports.clock,
      log: this.coldEngineLog,
      reportToleranceMs: timeLimitsOf(settings).statusTimeoutMs,
      pool: state.poolOf.bind(state),
      reportUnreachable: follower.warmUp.reportUnreachable.bind(follower.warmUp),
      isReachable: connections.isReachable.bind(connections),
    });
  }

  private makeWarmUpLimit(): WarmUpLimit {
    const { ports, follower } = this.options;
    const { coldEngines } = this;
    return new WarmUpLimit({
      clock: ports.clock,
      isCold: coldEngines.isCold.bind(coldEngines),
      permitCount: follower.warmUp.permitCount.bind(follower.warmUp),
    });
  }

  private makeChooser(routerCount: () => number | undefined): EngineChooser {
    const { ports, settings, follower } = this.options;
    const { state, warmUpLimit, weights } = this;
    const pool = state.poolOf.bind(state);
    const stores = state.stores.bind(state);
    const mayTake = warmUpLimit.allows.bind(warmUpLimit);
    return new EngineChooser({
      ports,
      settings,
      follower,
      weights,
      pool,
      stores,
      mayTake,
      routerCount,
    });
  }

  private makeDependencies(budget: RetryBudget): GatewayDependencies {
    const { ports, settings, adapter } = this.options;
    const { state, chooser, connections, counts, inFlight, coldEngines, warmUpLimit } = this;
    return {
      ports,
      settings,
      adapter,
      chooser,
      connections,
      budget,
      coldEngines,
      warmUpLimit,
      counts,
      routes: state.routes.bind(state),
      isEngineActive: state.isEngineActive.bind(state),
      drain: this.draining,
      inFlight,
      singleRunIds: new Set(),
    };
  }

  private serveLimits(): ServeLimits {
    const { contactMs } = this.options.settings;
    const limits = this.state.newestTable()?.limits;
    return {
      headerTimeoutMs: limits?.headerTimeoutMs ?? contactMs * DEFAULT_HEADER_TIMEOUT_RATIO,
      idleTimeoutMs: limits?.idleTimeoutMs ?? contactMs * DEFAULT_IDLE_TIMEOUT_RATIO,
      closing: this.draining.isDraining(),
    };
  }

  private async handleCall(call: RawIncomingRequest): Promise<void> {
    const { logger } = this.options.ports;
    const request = this.inFlight.add();
    function failed(error: Error): void {
      const fields = { event: 'request.handler-failed', peer: call.peer };
      logger.error(fields, error.stack ?? error.message);
      call.destroy();
    }
    await handleRequest(this.dependencies, call, request).catch(failed);
    await call.written;
    this.inFlight.remove(request);
  }

  private answerReadiness(call: RawIncomingRequest): Promise<void> {
    const { readinessPath } = this.options.adapter.callers;
    const isAsked = call.method === 'GET' && call.target.split('?', 1)[0] === readinessPath;
    const status = isAsked ? this.readinessStatus() : 404;
    call.writeHead(status, ['Content-Length', '0']);
    call.end();
    return Promise.resolve();
  }

  private readinessStatus(): number {
    return this.ready() ? 200 : 503;
  }

  private applyChange({ key, value }: VersionedValue): void {
    if (key === CONTROL_KEYS.engines) this.applyEngines(value as Engine[]);
    if (key.startsWith(CONTROL_KEYS.weights))
      this.weights.recordNaming(value as NamedWeights, this.options.follower.hasLease());
    if (key === CONTROL_KEYS.evacuations)
      this.coldEngines.applyEvacuations((value as EvacuationsValue).zones);
    if (key === CONTROL_KEYS.deployment) this.applyDeployment((value as DeploymentValue).doc);
  }

  private applyEngines(engines: Engine[]): void {
    this.state.applyEngines(engines);
    const ids = new Set(idsOf(engines));
    this.connections.retain(ids);
    this.warmUpLimit.retain(ids);
    this.coldEngines.applyEngines(engines);
    this.weights.recordEngines(engines);
  }

  private applyDeployment(document: unknown): void {
    const { ports, settings } = this.options;
    const [faults, table] = errorOrValue(this.state.applyDeployment(document));
    if (faults) {
      const fields = { event: 'deployment.unreadable', peer: settings.name };
      return ports.logger.error(fields, faults.join('; '));
    }
    this.connections.setCallerIdleMs(table.limits.idleTimeoutMs);
    this.listeners?.callers.setLimits(this.serveLimits());
  }

  private selfCheckAfter(ms: number): () => void {
    return this.options.ports.clock.setTimer(ms, this.selfCheck.bind(this));
  }

  private selfCheck(): void {
    this.stalls.look();
    this.startLog.update();
    this.overdueLog.update();
    this.coldEngineLog.noteCounts(this.warmUpLimit.counts);
    this.state.routerCount();
    this.cancelSelfCheck = this.selfCheckAfter(this.options.settings.contactMs * SELF_CHECK_RATIO);
  }
}

/** Starts the request path. Handlers of our own messages are added to `handlers`. Errors: no raw HTTP here, or a socket can't be listened on. */
export async function startGateway(
  ports: Ports,
  settings: Settings,
  follower: Follower,
  adapter: PlatformAdapter,
  handlers: object[] = [],
): Promise<Result<Gateway>> {
  const http = ports.rawHttp;
  if (!http) return failure('start gateway', settings.http, 'no raw HTTP here');
  const gateway = new Gateway({ ports, http, settings, follower, adapter });
  handlers.push(gateway.messages);
  const error = await gateway.listen();
  return error ? Left(error) : Right(gateway);
}
