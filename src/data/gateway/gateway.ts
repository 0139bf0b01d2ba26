import { Left, Right } from 'purify-ts';
import { Deployment, DeploymentValue, PartStore, Pool } from '../../shared/state/deployment';
import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { failure, errorOrValue, Result } from '../../shared/errors/errors';
import { Follower } from '../../shared/replication/follower';
import { RawHttpNetwork, RawIncomingRequest, ServeLimits } from '../../shared/ports/raw-http';
import { Ports } from '../../shared/ports/ports';
import { Settings } from '../../shared/settings/settings';
import { makeStallMonitor } from '../../shared/observability/event-loop-stalls';
import { NamedWeights } from '../../shared/state/weights';
import { Engine } from '../../shared/state/engines';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { VersionedValue } from '../../shared/state/versions';
import { makeRetryBudget } from './retry-budget';
import { makeChooser } from './engine-chooser';
import { makeDrain } from './graceful-drain';
import { trackInFlight } from './in-flight-requests';
import { GatewayCounts, GatewayDependencies } from './gateway-dependencies';
import { keepConnections } from './engine-connections';
import { serveRequest } from './request-handling';
import { makeRouteTable, RouteTable } from './route-table';
import { makeWeightsBook, WeightsMessages } from './weights-tracker';

/** The request path of a router that speaks by a dialect. */
export interface Gateway {
  counts: GatewayCounts;
  /** Whether it takes connections. */
  ready: () => boolean;
  drain: () => Promise<void>;
  stop: () => Promise<void>;
}

/** Limits until the deployment tells them, as shares of `contactMs`. */
const FIRST_LIMITS = { header: 1, idle: 5 };
/** Older weights serve fresh requests for this share of the bound. */
const OLDER = 0.7;
/** Where their naming is only caught up on, this router was not in touch: they serve for this share of `contactMs`. */
const OUT_OF_TOUCH = 0.7;
/** How often a router that serves looks at itself, as a share of `contactMs`. */
const LOOK = 0.05;

/** Starts the request path: readiness, then callers; what it takes of our own messages is added to `edges`. */
export async function startGateway(
  ports: Ports,
  settings: Settings,
  follower: Follower,
  dialect: PlatformAdapter,
  edges: object[] = [],
): Promise<Result<Gateway>> {
  if (!ports.rawHttp) return failure('start gateway', settings.http, 'no raw HTTP here');
  const http: RawHttpNetwork = ports.rawHttp;
  const { clock } = ports;
  const counts: GatewayCounts = {
    received: 0,
    answered: 0,
    rejected: 0,
    unknown: 0,
    attempts: 0,
    retries: 0,
    resumed: 0,
    callersGone: 0,
  };
  let current: RouteTable | undefined;
  let leased = false;
  let listed = new Set<string>();
  let routersSeen: number | undefined;
  const began = clock.now();
  let isStartLogged = false;
  let lackLoggedAt = began;

  /** The routers that are live, where a majority's leases tell them; otherwise the most that were ever told. */
  function routers(): number | undefined {
    const n = follower.members('router').length;
    if (n > 0 && follower.hasLease()) routersSeen = n;
    else if (n > (routersSeen ?? 0)) routersSeen = n;
    return routersSeen;
  }

  function pool(name: string): Pool | undefined {
    return current?.poolOf(name);
  }

  function stores(): readonly PartStore[] {
    return current?.stores ?? [];
  }

  function table(): RouteTable | undefined {
    return serves() ? current : undefined;
  }

  function serves(): boolean {
    if (!leased && follower.hasLease()) leased = true;
    if (settings.strict && !follower.hasLease()) return false;
    return leased && current !== undefined && follower.value(CONTROL_KEYS.engines) !== undefined;
  }

  /** What this router lacks to take requests. */
  function lacking(): string[] {
    const out: string[] = [];
    if (!leased) out.push('leases');
    if (current === undefined) out.push('deployment');
    if (follower.value(CONTROL_KEYS.engines) === undefined) out.push('engines');
    return out;
  }

  /** Logs when this router first takes requests, and what it lacks as long as it does not. */
  function logStart(): void {
    if (isStartLogged) return;
    const fields = { step: 'start', peer: settings.name, tookMs: Math.round(clock.now() - began) };
    isStartLogged = serves();
    if (isStartLogged) ports.logger.notice(fields, 'takes requests');
    else if (clock.now() - lackLoggedAt > settings.contactMs) {
      lackLoggedAt = clock.now();
      ports.logger.notice(fields, `takes no requests yet: lacks ${lacking().join(', ')}`);
    }
  }

  function ready(): boolean {
    return serves() && !draining.isDraining();
  }

  function stands(e: Engine): boolean {
    return listed.has(e.id) && !follower.isDraining(e.id);
  }

  const inFlight = trackInFlight(clock, ports.logger, settings);
  const stalls = makeStallMonitor(clock, settings.contactMs * LOOK);
  const draining = makeDrain(clock, ports.logger, settings, inFlight, stalls);
  const weights = makeWeightsBook(
    clock,
    settings.weightsBoundMs * OLDER,
    settings.contactMs * OUT_OF_TOUCH,
  );
  edges.push(new WeightsMessages(weights));
  const connections = keepConnections(clock, http, settings, routers);
  const chooser = makeChooser({ ports, settings, follower, weights, pool, stores, routers });
  const budget = makeRetryBudget(clock, settings, routers);
  const parts: GatewayDependencies = {
    ports,
    settings,
    adapter: dialect,
    chooser,
    connections,
    budget,
    counts,
    routes: table,
    isEngineActive: stands,
    drain: draining,
    inFlight,
    singleRunIds: new Set(),
  };

  function limits(): ServeLimits {
    const l = current?.limits;
    return {
      headerTimeoutMs: l?.headerTimeoutMs ?? settings.contactMs * FIRST_LIMITS.header,
      idleTimeoutMs: l?.idleTimeoutMs ?? settings.contactMs * FIRST_LIMITS.idle,
      closing: draining.isDraining(),
    };
  }

  async function taken(call: RawIncomingRequest): Promise<void> {
    const request = inFlight.add();
    await serveRequest(parts, call, request).catch(broke);
    await call.written;
    inFlight.remove(request);
    function broke(e: Error): void {
      ports.logger.error({ step: 'serve request', peer: call.peer }, e.stack ?? e.message);
      call.destroy();
    }
  }

  async function asked(call: RawIncomingRequest): Promise<void> {
    const is =
      call.method === 'GET' && call.target.split('?', 1)[0] === dialect.callers.readinessPath;
    call.writeHead(is ? (ready() ? 200 : 503) : 404, ['Content-Length', '0']);
    call.end();
  }

  const [f, server] = errorOrValue(await http.serve(settings.http, limits(), taken));
  if (f) return Left(f);
  const [h, readiness] = errorOrValue(await http.serve(settings.readiness, limits(), asked));
  if (h) return Left(h);

  function changed(n: VersionedValue): void {
    if (n.key === CONTROL_KEYS.engines) renewEngines(n.value as Engine[]);
    if (n.key.startsWith(CONTROL_KEYS.weights))
      weights.recordNaming(n.value as NamedWeights, follower.hasLease());
    if (n.key === CONTROL_KEYS.deployment) renew((n.value as DeploymentValue).doc);
  }

  function renewEngines(list: Engine[]): void {
    function stays(e: Engine): boolean {
      return !e.leaving;
    }
    listed = new Set(list.filter(stays).map(idOf));
    connections.retain(new Set(list.map(idOf)));
    weights.recordEngines(list);
  }

  function idOf(e: Engine): string {
    return e.id;
  }

  function renew(doc: unknown): void {
    const d = dialect.deployment(doc);
    if (d.isLeft())
      return ports.logger.error(
        { step: 'read deployment', peer: settings.name },
        d.extract().join('; '),
      );
    current = makeRouteTable(d.extract() as Deployment, current);
    connections.setCallerIdleMs(current.limits.idleTimeoutMs);
    server!.setLimits(limits());
  }

  async function drain(): Promise<void> {
    draining.begin();
    server!.setLimits(limits());
    await draining.run(server!);
  }

  async function stop(): Promise<void> {
    draining.begin();
    off();
    chooser.stop();
    connections.stop();
    await Promise.all([draining.close(server!), readiness!.close()]);
  }

  function look(): void {
    stalls.look();
    logStart();
    routers();
    off = clock.setTimer(settings.contactMs * LOOK, look);
  }

  void follower.changes.observe(changed);
  for (const n of follower.appliedValues()) changed(n);
  let off = clock.setTimer(0, look);
  return Right({ counts, ready, drain, stop });
}
