import { Left, Right } from 'purify-ts';
import { errorOrValue, Result } from '../shared/errors/errors';
import { makeRequestListener } from '../shared/transport/http-handlers';
import { followCore } from '../shared/replication/follower';
import { makeMetrics } from '../shared/observability/metrics';
import { Ports } from '../shared/ports/ports';
import { Connection } from '../shared/ports/network';
import { timeLimitsOf } from '../shared/settings/time-limits';
import { Settings } from '../shared/settings/settings';
import { openChannel, HelloHandlers } from '../shared/transport/connections';
import { helloOf } from '../shared/transport/hello';
import { IntentsValue, Rule, Service } from '../shared/state/intents';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { Member } from '../shared/state/members';
import { VersionedValue } from '../shared/state/versions';
import { PlatformAdapter } from '../shared/platform-adapter/platform-adapter';
import { CallerApi } from './caller-api';
import { TrackedEngine, trackEngines } from './engine-tracker';
import { startGateway } from './gateway/gateway';
import { ForwardedAttempt, RouterCounts, RouterDependencies } from './router-dependencies';
import { makeEngineSelector } from './engine-selector';

/** A running router. */
export interface Router {
  parts: RouterDependencies;
  stop: () => Promise<void>;
  drain: () => Promise<void>;
}

interface NamedWeights {
  weights: string;
  older: string[];
}

/** A running router of either manner of speaking. */
export interface RunningRouter {
  stop: () => Promise<void>;
  drain: () => Promise<void>;
}

/** What a router is in the fleet's list, in this life of its process. */
function memberOf(ports: Ports, settings: Settings): Member {
  return {
    name: settings.name,
    role: 'router',
    at: settings.wire,
    http: settings.http,
    zone: settings.zone,
    life: ports.random.uuid().slice(0, 8),
  };
}

/** Starts a router that speaks by a dialect: it follows the core, and its gateway takes callers. */
export async function startDialectRouter(
  ports: Ports,
  settings: Settings,
  dialect: PlatformAdapter,
): Promise<Result<RunningRouter>> {
  const bounds = timeLimitsOf(settings);
  const hello = helloOf(settings, 'router');
  const member = memberOf(ports, settings);
  const edges: object[] = [new HelloHandlers(hello)];
  const follower = followCore(ports, bounds, hello, member, settings.seeds, edges);
  function taken(s: Connection): void {
    openChannel(ports, s, edges);
  }
  const [f, wire] = errorOrValue(await ports.network.listen(settings.wire, taken));
  if (f) return Left(f);
  const [h, gateway] = errorOrValue(await startGateway(ports, settings, follower, dialect, edges));
  if (h) return Left(h);

  async function stop(): Promise<void> {
    await gateway!.stop();
    await follower.releaseLeases();
    follower.stop();
    await wire!.close();
  }

  return Right({ stop, drain: gateway.drain.bind(gateway) });
}

/** Starts a router: it follows the core, watches engines, and takes callers. */
export async function startRouter(ports: Ports, settings: Settings): Promise<Result<Router>> {
  const bounds = timeLimitsOf(settings);
  const hello = helloOf(settings, 'router');
  const member = memberOf(ports, settings);
  const edges: object[] = [new HelloHandlers(hello)];
  const counts: RouterCounts = {
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
  const metrics = makeMetrics();
  const firstTook = metrics.times(
    'plumhollow_router_first_piece_ms',
    "from a request's arrival to its first piece",
    settings.changeBoundMs,
  );
  const hashes = new Map<string, string>();
  const held = new Map<string, string[]>();
  const rules = new Map<string, string>();
  const services = new Map<string, Service>();
  const olderSince = new Map<string, number>();
  const budget = new Map<string, number>();
  const underWay = new Set<ForwardedAttempt>();
  let runs = 0;
  let leaving = false;
  const follower = followCore(ports, bounds, hello, member, settings.seeds, edges);
  const engines = trackEngines(ports, bounds, follower);
  const placer = makeEngineSelector(
    ports,
    bounds,
    follower,
    engines,
    hello,
    edges,
    settings.placeBy,
  );

  function changed(n: VersionedValue): void {
    if (n.key === CONTROL_KEYS.engines) engines.update();
    else if (n.key === CONTROL_KEYS.intents) renewIntents((n.value as IntentsValue).doc);
    else if (n.key.startsWith(CONTROL_KEYS.tenantKeys))
      renewKeys(n.value as { tenant: string; keys: { hash: string }[] });
    else if (n.key.startsWith(CONTROL_KEYS.weights)) noteOlder(n.key, n.value as NamedWeights);
    cutAttempts();
  }

  function noteOlder(key: string, v: NamedWeights): void {
    for (const w of v.older)
      if (!olderSince.has(`${key} ${w}`))
        olderSince.set(`${key} ${w}`, follower.hasLease() ? ports.clock.now() : -Infinity);
    for (const k of olderSince.keys())
      if (k.startsWith(`${key} `) && !v.older.includes(k.slice(key.length + 1)))
        olderSince.delete(k);
  }

  function cutAttempts(): void {
    for (const l of underWay) {
      const named = follower.value<NamedWeights>(CONTROL_KEYS.weights + l.model)?.value;
      const ended =
        named !== undefined &&
        named.weights !== l.weights &&
        !named.older.includes(l.weights) &&
        !named.older.includes('*');
      if (ended || saltOf(l.tenant) !== l.salt) l.cut.abort();
      else if (engines.isDraining(l.seen) && !l.watched) void cutSilent(l);
    }
  }

  /** Cuts an attempt off that a leaving engine may not have begun: it has shown no turn since the attempt was sent on. */
  async function cutSilent(l: ForwardedAttempt): Promise<void> {
    l.watched = true;
    await ports.clock.sleep(bounds.drainingEngineCutMs);
    if (underWay.has(l) && l.seen.statusAskedAt <= l.since) l.cut.abort();
  }

  function renewIntents(doc: { services: Service[]; rules: Rule[] }): void {
    services.clear();
    rules.clear();
    for (const s of doc.services) services.set(s.id, s);
    for (const r of doc.rules) rules.set(`${r.tenant} ${r.label}`, r.service);
  }

  /** Takes one tenant's keys; those of all others stay. */
  function renewKeys(v: { tenant: string; keys: { hash: string }[] }): void {
    for (const h of held.get(v.tenant) ?? []) if (hashes.get(h) === v.tenant) hashes.delete(h);
    const now: string[] = [];
    for (const x of v.keys) now.push(x.hash);
    for (const h of now) hashes.set(h, v.tenant);
    held.set(v.tenant, now);
  }

  function tenantOf(hash: string): string | undefined {
    return hashes.get(hash);
  }

  function serviceOf(
    tenant: string,
    service: string | undefined,
    label: string | undefined,
  ): Service | 'missing' | 'foreign' {
    const s = services.get(service ?? rules.get(`${tenant} ${label ?? ''}`) ?? '');
    if (!s) return 'missing';
    return s.tenant === tenant ? s : 'foreign';
  }

  function saltOf(tenant: string): string | undefined {
    return follower.value<IntentsValue>(CONTROL_KEYS.intents)?.value.salts[tenant];
  }

  function freshWeights(model: string): ReturnType<RouterDependencies['freshWeights']> {
    const key = CONTROL_KEYS.weights + model;
    const named = follower.value<NamedWeights>(key)?.value;
    const all = new Set<string>();
    for (const s of engines.ofModel(model)) if (s.status) all.add(s.status.weights);
    function any(s: TrackedEngine): string | undefined {
      return s.status?.weights;
    }
    if (!named) return { now: any, queried: [...all] };
    function only(s: TrackedEngine): string | undefined {
      return s.status?.weights === named!.weights ? named!.weights : undefined;
    }
    const ok = new Set(named.older.filter(stillOk));
    function stillOk(w: string): boolean {
      return (
        ports.clock.now() - (olderSince.get(`${key} ${w}`) ?? -Infinity) < bounds.oldWeightsRetireMs
      );
    }
    function old(s: TrackedEngine): string | undefined {
      const w = s.status?.weights;
      return w !== undefined && (ok.has(w) || ok.has('*')) ? w : undefined;
    }
    return ok.size === 0
      ? { now: only, queried: [named.weights] }
      : { now: only, old, queried: [...all] };
  }

  function shareOf(s: Service): number {
    return Math.min(s.secondTries, settings.secondTryShare);
  }

  function earn(s: Service): void {
    budget.set(s.id, Math.min(5, (budget.get(s.id) ?? 0) + shareOf(s)));
  }

  function allowSecond(s: Service): boolean {
    const b = budget.get(s.id) ?? 0;
    if (b < 1) return false;
    budget.set(s.id, b - 1);
    counts.secondTries++;
    return true;
  }

  function runId(): string {
    return `${settings.name}.${member.life}.${++runs}`;
  }

  function draining(): boolean {
    return leaving;
  }

  void follower.changes.observe(changed);
  void follower.drainingNotices.observe(cutAttempts);
  void follower.memberChanges.observe(placer.updateIndexers);
  const parts: RouterDependencies = {
    ports,
    settings,
    timeLimits: bounds,
    follower,
    engines,
    selector: placer,
    counts,
    metrics,
    observeFirstPieceMs: firstTook,
    tenantOf,
    serviceOf,
    saltOf,
    freshWeights,
    trySpendRetry: allowSecond,
    earnRetry: earn,
    runId,
    awaitingFirstPiece: underWay,
    isDraining: draining,
  };
  const api = new CallerApi(parts);
  const [f, wire] = errorOrValue(await ports.network.listen(settings.wire, taken));
  if (f) return Left(f);
  const [g, http] = errorOrValue(
    await ports.network.serveHttp(settings.http, makeRequestListener([api], ports.logger)),
  );
  if (g) return Left(g);

  const listening = [wire, http];

  function taken(s: Connection): void {
    openChannel(ports, s, edges);
  }

  async function drain(): Promise<void> {
    leaving = true;
    const until = ports.clock.now() + bounds.drainTimeoutMs;
    while (api.busy() > 0 && ports.clock.now() < until)
      await ports.clock.sleep(bounds.retryPauseMs * 0.25);
  }

  async function stop(): Promise<void> {
    leaving = true;
    await follower.releaseLeases();
    follower.stop();
    engines.stop();
    placer.stop();
    for (const l of listening) await l.close();
  }

  return Right({ parts, stop, drain });
}
