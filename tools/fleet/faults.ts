import { rmSync } from 'node:fs';
import { requestJson } from '../../src/shared/util/http-json';
import { listed } from '../standins/deploy';
import { controlOf, type Fleet, type Proc } from './processes';

/** The faults that the runner brings about on real processes. */
export const FAULTS = [
  'kill-router',
  'kill-routers',
  'kill-controller',
  'kill-core',
  'kill-all-ours',
  'kill-indexers',
  'kill-engine',
  'freeze-router',
  'freeze-controller',
  'freeze-engine',
  'leave-engine',
  'empty-store',
  'wipe-controller',
  'new-weights',
  'drop-key',
  'cut-router',
  'cut-router-one-way',
  'cut-controller',
  'cut-core-from-edges',
  'cut-core-apart',
];

function say(text: string): void {
  process.stdout.write(`fault: ${text}\n`);
}

async function again(f: Fleet, p: Proc): Promise<void> {
  await f.start(p.name, p.role, p.args, p.data);
  say(`${p.name} is back`);
}

async function killBack(f: Fleet, names: string[], away: number): Promise<void> {
  const ps: Proc[] = [];
  for (const n of names) {
    const p = f.procs.get(n)!;
    p.child.kill('SIGKILL');
    ps.push(p);
  }
  say(`killed ${names.join(' ')}`);
  await f.ports.clock.sleep(away);
  const backs: Promise<void>[] = [];
  for (const p of ps) backs.push(again(f, p));
  await Promise.all(backs);
}

function ipOf(x: { wire: string }): string {
  return x.wire.split(':')[0];
}

/** Cuts the links from all of one side to all of the other, and back unless one way, and heals them. */
async function cut(
  f: Fleet,
  from: string[],
  to: string[],
  ms: number,
  oneWay = false,
): Promise<void> {
  const cuts: [string, string][] = [];
  for (const a of from)
    for (const b of to)
      if (a !== b) cuts.push([a, b], ...(oneWay ? [] : [[b, a] as [string, string]]));
  async function tell(body: object): Promise<void> {
    await requestJson(f.ports.network, {
      address: controlOf(f.d),
      method: 'PUT',
      path: '/api/cuts',
      body: JSON.stringify(body),
      timeoutMs: 2000,
    });
  }
  await tell({ cuts });
  say(`cut ${from.join(' ')} from ${to.join(' ')}${oneWay ? ', one way' : ''}`);
  await f.ports.clock.sleep(ms);
  await tell({ cuts: [] });
  say('healed');
}

async function freeze(f: Fleet, name: string, ms: number): Promise<void> {
  const p = f.procs.get(name)!;
  p.child.kill('SIGSTOP');
  say(`froze ${name}`);
  await f.ports.clock.sleep(ms);
  p.child.kill('SIGCONT');
  say(`woke ${name}`);
}

function ofRole(f: Fleet, ...roles: string[]): string[] {
  const out: string[] = [];
  for (const p of f.procs.values()) if (roles.includes(p.role)) out.push(p.name);
  return out;
}

/** Brings a fault about. */
export async function injectFault(f: Fleet, fault: string): Promise<void> {
  const core = f.d.core.map(ipOf);
  const edges = f.d.edge.map(ipOf);
  switch (fault) {
    case 'kill-router':
      return killBack(f, ['edge-1'], 2000);
    case 'kill-routers':
      return killBack(f, ofRole(f, 'router'), 1000);
    case 'kill-controller':
      return killBack(f, ['core-1'], 3000);
    case 'kill-core':
      return killBack(f, ofRole(f, 'controller'), 500);
    case 'kill-all-ours':
      return killBack(f, ofRole(f, 'controller', 'indexer', 'router'), 1000);
    case 'kill-indexers':
      return killBack(f, ofRole(f, 'indexer'), 1000);
    case 'kill-engine':
      return killBack(f, ['engine-1'], 3000);
    case 'freeze-router':
      return freeze(f, 'edge-1', 4000);
    case 'freeze-controller':
      return freeze(f, 'core-1', 4000);
    case 'freeze-engine':
      return freeze(f, 'engine-1', 3000);
    case 'empty-store':
      return killBack(f, ['store-1'], 1000);
    case 'cut-router':
      return cut(f, [edges[0]], core, 4000);
    case 'cut-router-one-way':
      return cut(f, [edges[0]], core, 4000, true);
    case 'cut-controller':
      return cut(f, [core[0]], [...core.slice(1), ...edges], 4000);
    case 'cut-core-from-edges':
      return cut(f, core, edges, 4000);
    case 'cut-core-apart':
      return cut(f, [core[0]], core.slice(1), 4000);
    case 'wipe-controller': {
      rmSync(f.procs.get('core-1')!.data, { recursive: true, force: true });
      return killBack(f, ['core-1'], 500);
    }
    case 'leave-engine': {
      const engines = f.d.engines.map(listed);
      engines[0].leaving = true;
      await requestJson(f.ports.network, {
        address: f.d.platform,
        method: 'PUT',
        path: '/api/engines',
        body: JSON.stringify({ engines }),
        timeoutMs: 2000,
      });
      return say('engine-1 is leaving');
    }
    case 'new-weights': {
      const r = await f.cli(['weights', 'name', f.d.model, 'w2']);
      return say(`named w2: ${r.out.replace(/\s+/g, ' ')}`);
    }
    case 'drop-key': {
      const ids = (
        JSON.parse((await f.cli(['keys', 'list'])).out) as { keys: Record<string, string[]> }
      ).keys['tenant-1'];
      const r = await f.cli(['keys', 'drop', 'tenant-1', ids[0]]);
      return say(`withdrew a key: ${r.out.replace(/\s+/g, ' ')}`);
    }
  }
}
