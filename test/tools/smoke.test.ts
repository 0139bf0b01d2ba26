import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { runCallers } from '../../tools/standins/callers';
import { Deployment, makeDeployment } from '../../tools/standins/deploy';
import {
  allReady,
  configure,
  Fleet,
  makeFleet,
  startAll,
  stopAll,
  until,
} from '../../tools/fleet/processes';
import { readLedgers } from '../../tools/fleet/fleet';
import { edgeNames, judge } from '../../tools/standins/ledger';

const fleets: Fleet[] = [];

/** A small deployment on loopback addresses of this process's own, so that no port has to be found and freed. */
function small(): Deployment {
  const d = makeDeployment('atlas-ordre', 20 + (process.pid % 230))!;
  return { ...d, edge: d.edge.slice(0, 2), engines: d.engines.slice(0, 2) };
}

async function servesForReal(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), 'plumhollow-'));
  const f = makeFleet(small(), folder);
  fleets.push(f);
  await startAll(f);
  const edges = f.d.edge.map(httpOf);
  function httpOf(e: { http: string }): string {
    return e.http;
  }
  async function ready(): Promise<boolean> {
    return allReady(f, edges);
  }
  expect(await until(f, 60000, ready)).toBe(true);
  const keys = await configure(f);
  const check = await f.cli(['check', join(folder, 'intents.json')]);
  expect(JSON.parse(check.out)).toEqual({ findings: [] });
  const odd = {
    ...f.d.intents,
    models: [...f.d.intents.models, { id: 'ghost' }],
    tenants: [...f.d.intents.tenants, { id: 'newcomer', sharing: 'walled' }],
    cacheStores: [{ id: 'lost', at: f.d.platform.replace('.4.1:', '.4.9:') }],
  };
  writeFileSync(join(folder, 'odd.json'), JSON.stringify(odd));
  const found = await f.cli(['check', join(folder, 'odd.json')]);
  expect(found.code).toBe(1);
  expect((JSON.parse(found.out) as { findings: { path: string }[] }).findings.map(pathOf)).toEqual([
    'models[1]',
    'models[1]',
    'tenants[8]',
    'cacheStores[0]',
  ]);
  const report = await runCallers(f.ports, {
    intents: f.d.intents,
    keys,
    edges,
    shortPerS: 15,
    longPerS: 2,
    forMs: 3000,
    retries: 3,
  });
  const v = judge(readLedgers(f), report, new Set(['tenant-1', 'tenant-2']), edgeNames(f.d.edge));
  const raced = await Promise.all([
    f.cli(['rules', 'add', 'tenant-1', 'x', 'ticket-1']),
    f.cli(['apply', join(folder, 'intents.json'), '--based-on', '0']),
  ]);
  const exits: number[] = [];
  for (const p of f.procs.values()) p.child.once('exit', note);
  function note(code: number | null): void {
    exits.push(code ?? 99);
  }
  await stopAll(f);
  expect(report.whole).toBe(report.asked);
  expect(report.asked).toBeGreaterThan(10);
  expect({ twice: v.twice, walls: v.crossedWalls, wrong: v.wrongPieces, runs: v.runs }).toEqual({
    twice: [],
    walls: [],
    wrong: [],
    runs: report.asked,
  });
  expect(raced[0].code).toBe(0);
  expect(raced[1].code).toBe(1);
  expect(exits).toEqual(exits.map(zero));
}

function pathOf(x: { path: string }): string {
  return x.path;
}

function zero(): number {
  return 0;
}

/** Nothing runs on, also after a test that failed or ran out of time. */
async function cleanUp(): Promise<void> {
  for (const f of fleets.splice(0)) {
    await stopAll(f);
    rmSync(f.folder, { recursive: true, force: true });
  }
}

afterEach(cleanUp);
test('real processes start, are configured, serve, and leave at SIGTERM', servesForReal);
