import { open } from '../../shared/errors/errors';
import { engineStatus, giveOrder } from '../../shared/contracts/engine';
import { Dialect } from '../../shared/platform-adapter/platform-adapter';
import { Ports } from '../../shared/ports/ports';
import { NamedWeights } from '../../shared/state/weights';
import { Engine, KEYS } from '../../shared/state/words';
import { Controller } from '../controller';
import { listAll, settleWarm } from './engine-listing';
import { rollOut } from './weights-rollout';
import { askToJoin, followMachines } from '../membership/voter-set-controller';

/** Starts all duties of a controller. */
export function startDuties(c: Controller, ports: Ports, dialect?: Dialect): void {
  void watchPlatform(c, ports, dialect);
  void (dialect ? rollOut(c, ports, dialect.engines) : orderWeights(c, ports));
  if (!dialect) void endOldWeights(c, ports);
  void askToJoin(c, ports);
  void followMachines(c, ports);
}

/** Watches the platform's list while this node owns the key `engines`; the register is the fence. Routers are told at once which engines leave, whatever becomes of the list; but where a dialect is spoken, whoever sees no majority asks nothing, since another may watch by now. */
export async function watchPlatform(c: Controller, ports: Ports, dialect?: Dialect): Promise<void> {
  while (!c.stopped()) {
    await ports.clock.sleep(c.bounds.platform);
    if (c.settings.platform === '' || !c.owner.owns(KEYS.engines) || !c.chosen(KEYS.engines))
      continue;
    if (dialect && !c.hasMajority()) continue;
    const [f, list] = open(await listAll(ports, c.settings.platform, c.bounds.status, dialect));
    if (f) {
      ports.log.warn({ step: f.step, peer: f.peer }, f.why);
      continue;
    }
    const now = c.value<Engine[]>(KEYS.engines)?.value;
    const next = settleWarm(now ?? [], list.sort(byId));
    if (JSON.stringify(now) === JSON.stringify(next)) continue;
    const leaving = newlyLeaving(now ?? [], next);
    if (leaving.length > 0) c.leases.tell('leaving', leaving);
    const [g] = open(await c.change({ kind: 'engines', engines: next }));
    if (g) ports.log.warn({ step: g.step, peer: g.peer }, g.why);
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
export async function endOldWeights(c: Controller, ports: Ports): Promise<void> {
  const since = new Map<string, number>();
  while (!c.stopped()) {
    await ports.clock.sleep(c.bounds.pause);
    for (const key of c.slots.cells.keys()) if (key.startsWith(KEYS.weights)) await endOne(key);
  }

  async function endOne(key: string): Promise<void> {
    const v = c.value<NamedWeights>(key)?.value;
    if (!v) return;
    const ended: string[] = [];
    for (const w of v.older) {
      const k = `${key} ${w}`;
      if (!since.has(k)) since.set(k, c.heardLive(key) ? ports.clock.now() : -Infinity);
      if (ports.clock.now() - since.get(k)! >= c.bounds.weightsStop) ended.push(w);
    }
    for (const k of since.keys())
      if (k.startsWith(`${key} `) && !v.older.includes(k.slice(key.length + 1))) since.delete(k);
    if (ended.length > 0 && c.owner.owns(key))
      await c.change({ kind: 'weights-end', model: v.model, ended });
  }
}

/** Orders engines to take up the named weights: one node for each engine, under the epoch of its duty. */
export async function orderWeights(c: Controller, ports: Ports): Promise<void> {
  const held = new Map<string, { epoch: number; since: number }>();
  while (!c.stopped()) {
    await ports.clock.sleep(c.bounds.platform);
    for (const e of c.value<Engine[]>(KEYS.engines)?.value ?? []) {
      const key = KEYS.duty + e.id;
      const named = c.value<NamedWeights>(KEYS.weights + e.model)?.value;
      if (!c.chosen(key) || e.leaving) {
        held.delete(e.id);
        continue;
      }
      if (!named) continue;
      await orderOne(e, named);
    }
  }

  async function orderOne(e: Engine, named: NamedWeights): Promise<void> {
    const [f, st] = open(await engineStatus(ports.wire, e.at, c.bounds.status));
    if (f || st.weights === named.weights) return;
    const asked = ports.clock.now();
    const [g, r] = open(await c.change({ kind: 'duty', duty: e.id, holder: c.name }));
    if (g || r.place.by !== c.by) return;
    const mine = held.get(e.id);
    if (mine?.epoch !== r.place.epoch) {
      held.set(e.id, { epoch: r.place.epoch, since: ports.clock.now() });
      return;
    }
    const now = ports.clock.now();
    if (now - mine.since < c.bounds.leaseHeld || now - asked > c.bounds.orderFresh) return;
    const [h] = open(
      await giveOrder(
        ports.wire,
        e.at,
        { epoch: r.place.epoch, by: r.place.by, weights: named.weights },
        c.bounds.status,
      ),
    );
    if (h) ports.log.warn({ step: h.step, peer: h.peer }, h.why);
  }
}
