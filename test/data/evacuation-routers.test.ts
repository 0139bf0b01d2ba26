/** Routers of our own manner, in a simulated fleet under load, while a zone is evacuated and taken back. */

import { defaultSettings } from '../../src/shared/settings/settings';
import { runCallers } from '../../tools/standins/callers';
import { LedgerEntry } from '../../tools/standins/engineways';
import { asked, back, lose, procOf } from '../../tools/sim/simcore';
import { makeSimFleet, SimFleet, simIntents } from '../../tools/sim/simfleet';

const BOUND_MS = defaultSettings().evacuateMs;
const ENGINES = 6;
const ROUTERS = 3;
const LOAD_MS = 60000;

/** A fleet whose callers ask on and on. */
async function startLoaded(seed: number): Promise<SimFleet> {
  const fleet = makeSimFleet(seed, 'saffron-bay', ROUTERS, ENGINES, false);
  fleet.startAll();
  await fleet.w.run(4000);
  const intents = simIntents(fleet.d, 'probe-3', 0, []);
  expect((await asked(fleet, 'PUT', '/v1/intents', { basedOn: 0, intents })).status).toBe(200);
  const keys: Record<string, string> = {};
  for (const { id } of fleet.d.intents.tenants)
    keys[id] = String((await asked(fleet, 'POST', `/v1/keys/${id}`, {})).body.key);
  void runCallers(fleet.callers, {
    intents: fleet.d.intents,
    keys,
    edges: fleet.d.edge.map(httpOf),
    shortPerS: 40,
    longPerS: 1,
    forMs: LOAD_MS,
    retries: 3,
    patienceMs: 8000,
  });
  await fleet.w.run(fleet.w.now() + 5000);
  return fleet;
}

function httpOf(edge: { http: string }): string {
  return edge.http;
}

/** Requests that engines of a zone began between two times. */
function begunIn(fleet: SimFleet, zone: string, from: number, to: number): LedgerEntry[] {
  const ids = new Set<string>();
  for (const engine of fleet.d.engines) if (engine.zone === zone) ids.add(engine.id);
  function isBegun({ kind, engine, at, takenAt }: LedgerEntry): boolean {
    const reachedAt = takenAt ?? at;
    return kind === 'began' && ids.has(engine) && reachedAt > from && reachedAt <= to;
  }
  return fleet.ledger.filter(isBegun);
}

async function change(fleet: SimFleet, method: 'PUT' | 'DELETE'): Promise<number> {
  const reply = await asked(fleet, method, '/v1/evacuations/zone-b');
  expect([200, 202]).toContain(reply.status);
  return fleet.w.now();
}

async function evacuatedAndBack(): Promise<void> {
  const fleet = await startLoaded(1);
  const { w } = fleet;
  const startedAt = await change(fleet, 'PUT');
  expect(begunIn(fleet, 'zone-b', startedAt - 5000, startedAt).length).toBeGreaterThan(10);
  await w.run(startedAt + 3 * BOUND_MS);
  const finishedAt = await change(fleet, 'DELETE');
  expect(begunIn(fleet, 'zone-b', startedAt + 500, finishedAt - 1000)).toEqual([]);
  await w.run(finishedAt + BOUND_MS);
  expect(begunIn(fleet, 'zone-b', finishedAt, w.now()).length).toBeGreaterThan(10);
}

/** One router is cut off from the core while the evacuation is taken, and another starts anew in it. */
async function lateLearners(): Promise<void> {
  const fleet = await startLoaded(2);
  const { w, core, edge } = fleet;
  const router = procOf(fleet, edge[0]);
  for (const name of core) {
    w.cut(procOf(fleet, name).ip, router.ip, true);
    w.cut(router.ip, procOf(fleet, name).ip, true);
  }
  const startedAt = await change(fleet, 'PUT');
  await w.run(startedAt + BOUND_MS);
  lose(fleet, edge[1], false);
  await w.run(w.now() + 500);
  w.revive(procOf(fleet, edge[1]));
  fleet.starts.get(edge[1])!();
  await w.run(w.now() + BOUND_MS);
  w.healLinks();
  lose(fleet, core[0], false);
  await w.run(w.now() + 1000);
  back(fleet, core[0]);
  await w.run(w.now() + 2 * BOUND_MS);
  expect(begunIn(fleet, 'zone-b', startedAt + BOUND_MS, w.now())).toEqual([]);
  expect(begunIn(fleet, 'zone-a', startedAt + BOUND_MS, w.now()).length).toBeGreaterThan(20);
}

test('routers leave the engines of an evacuated zone at once, and come back', evacuatedAndBack);
test('a router that was cut off and one that starts anew go by the evacuation', lateLearners);
