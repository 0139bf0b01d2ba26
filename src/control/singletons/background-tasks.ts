import { errorOrValue } from '../../shared/errors/errors';
import { engineStatus, sendEngineOrder } from '../../shared/contracts/engine';
import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { Ports } from '../../shared/ports/ports';
import { NamedWeights } from '../../shared/state/weights';
import { Engine } from '../../shared/state/engines';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Controller } from '../controller-interface';
import { listAllEngines, keepReportedWarmUp } from './engine-listing';
import { runWeightsRollout } from './weights-rollout';
import { requestMembership } from '../membership/join-requester';
import { maintainVoterSet } from '../membership/voter-set-controller';

/** Starts all duties of a controller. */
export function startBackgroundTasks(c: Controller, ports: Ports, dialect?: PlatformAdapter): void {
  void watchEngineList(c, ports, dialect);
  void (dialect ? runWeightsRollout(c, ports, dialect.engines) : orderWeights(c, ports));
  if (!dialect) void retireOldWeights(c, ports);
  void requestMembership(c, ports);
  void maintainVoterSet(c, ports);
}

/** Watches the platform's list while this node owns the key `engines`; the register is the fence. Routers are told at once which engines leave, whatever becomes of the list; but where a dialect is spoken, whoever sees no majority asks nothing, since another may watch by now. */
export async function watchEngineList(
  c: Controller,
  ports: Ports,
  dialect?: PlatformAdapter,
): Promise<void> {
  while (!c.isStopped()) {
    await ports.clock.sleep(c.timeLimits.platformPollMs);
    if (
      c.settings.platform === '' ||
      !c.keyOwner.owns(CONTROL_KEYS.engines) ||
      !c.isPreferredOwner(CONTROL_KEYS.engines)
    )
      continue;
    if (dialect && !c.hasQuorum()) continue;
    const [f, list] = errorOrValue(
      await listAllEngines(ports, c.settings.platform, c.timeLimits.statusTimeoutMs, dialect),
    );
    if (f) {
      ports.logger.warn({ step: f.step, peer: f.peer }, f.reason);
      continue;
    }
    const now = c.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value;
    const next = keepReportedWarmUp(now ?? [], list.sort(byId));
    if (JSON.stringify(now) === JSON.stringify(next)) continue;
    const leaving = newlyLeaving(now ?? [], next);
    if (leaving.length > 0) c.leases.notifyAll('leaving', leaving);
    const [g] = errorOrValue(await c.change({ kind: 'engines', engines: next }));
    if (g) ports.logger.warn({ step: g.step, peer: g.peer }, g.reason);
  }
}

/** The engines that leave by a list and not by the one before it. */
function newlyLeaving(before: readonly Engine[], list: readonly Engine[]): string[] {
  const known = new Set(before.filter(isLeaving).map(idOf));
  function isNew(engine: Engine): boolean {
    return isLeaving(engine) && !known.has(engine.id);
  }
  return list.filter(isNew).map(idOf);
}

function isLeaving(e: Engine): boolean {
  return e.leaving;
}

function idOf(e: Engine): string {
  return e.id;
}

function byId(a: Engine, b: Engine): number {
  return a.id < b.id ? -1 : 1;
}

/** Ends older weights once the ratio of the bound has passed since they were superseded, each by its own time. */
export async function retireOldWeights(c: Controller, ports: Ports): Promise<void> {
  const since = new Map<string, number>();
  while (!c.isStopped()) {
    await ports.clock.sleep(c.timeLimits.retryPauseMs);
    for (const key of c.store.registers.keys())
      if (key.startsWith(CONTROL_KEYS.weights)) await endOne(key);
  }

  async function endOne(key: string): Promise<void> {
    const v = c.committedValue<NamedWeights>(key)?.value;
    if (!v) return;
    const ended: string[] = [];
    for (const w of v.older) {
      const k = `${key} ${w}`;
      if (!since.has(k)) since.set(k, c.wasLearnedLive(key) ? ports.clock.now() : -Infinity);
      if (ports.clock.now() - since.get(k)! >= c.timeLimits.oldWeightsRetireMs) ended.push(w);
    }
    for (const k of since.keys())
      if (k.startsWith(`${key} `) && !v.older.includes(k.slice(key.length + 1))) since.delete(k);
    if (ended.length > 0 && c.keyOwner.owns(key))
      await c.change({ kind: 'weights-end', model: v.model, ended });
  }
}

/** Orders engines to take up the named weights: one node for each engine, under the epoch of its duty. */
export async function orderWeights(c: Controller, ports: Ports): Promise<void> {
  const held = new Map<string, { epoch: number; since: number }>();
  while (!c.isStopped()) {
    await ports.clock.sleep(c.timeLimits.platformPollMs);
    for (const e of c.committedValue<Engine[]>(CONTROL_KEYS.engines)?.value ?? []) {
      const key = CONTROL_KEYS.duty + e.id;
      const named = c.committedValue<NamedWeights>(CONTROL_KEYS.weights + e.model)?.value;
      if (!c.isPreferredOwner(key) || e.leaving) {
        held.delete(e.id);
        continue;
      }
      if (!named) continue;
      await orderOne(e, named);
    }
  }

  async function orderOne(e: Engine, named: NamedWeights): Promise<void> {
    const [f, st] = errorOrValue(
      await engineStatus(ports.network, e.at, c.timeLimits.statusTimeoutMs),
    );
    if (f || st.weights === named.weights) return;
    const asked = ports.clock.now();
    const [g, r] = errorOrValue(await c.change({ kind: 'duty', duty: e.id, holder: c.name }));
    if (g || r.place.by !== c.ownerId) return;
    const mine = held.get(e.id);
    if (mine?.epoch !== r.place.epoch) {
      held.set(e.id, { epoch: r.place.epoch, since: ports.clock.now() });
      return;
    }
    const now = ports.clock.now();
    if (
      now - mine.since < c.timeLimits.leaseExpiryMs ||
      now - asked > c.timeLimits.orderFreshnessMs
    )
      return;
    const [h] = errorOrValue(
      await sendEngineOrder(
        ports.network,
        e.at,
        { epoch: r.place.epoch, by: r.place.by, weights: named.weights },
        c.timeLimits.statusTimeoutMs,
      ),
    );
    if (h) ports.logger.warn({ step: h.step, peer: h.peer }, h.reason);
  }
}
