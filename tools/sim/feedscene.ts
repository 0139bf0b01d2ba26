import { Right } from 'purify-ts';
import { usersPlatform } from '../../platform/adapter';
import { Indexer, startIndexer } from '../../src/index/indexer';
import { computeOverlap } from '../../src/index/overlap';
import { PlatformAdapter } from '../../src/shared/platform-adapter/platform-adapter';
import { errorOrValue } from '../../src/shared/errors/errors';
import { defaultSettings } from '../../src/shared/settings/settings';
import { WireBlock } from '../../src/shared/contracts/indexer';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { startCore, StandInCore } from '../standins/core';
import { KvSource, KvWays, makeKvSource } from '../standins/kvsource';
import { makeNet, SimNet } from './simwire';
import { makeWorld, World } from './simworld';
import { Proc } from './process';

/** The salt that all prompts of a scene have. */
export const SALT = 's|1';
/** A prompt of three parts. */
export const PROMPT: WireBlock[] = [
  ['a', 800],
  ['b', 400],
  ['c', 250],
];

/** Indexers of a dialect with a core and sources that stand in, in a simulated world. */
export interface Scene {
  w: World;
  net: SimNet;
  core: StandInCore;
  sources: Map<string, KvSource>;
  indexers: Indexer[];
  procs: Proc[];
  pass: (ms: number) => Promise<void>;
  /** Comes back when so much time has been passed by another. */
  sleep: (ms: number) => Promise<void>;
  list: (ids: string[]) => void;
  start: (i: number) => Promise<Indexer>;
  /** What a replica tells of the prompt, by source. */
  told: (i?: number, parts?: WireBlock[]) => Record<string, [number, number]>;
}

function engineAt(n: number): string {
  return `127.10.2.${n}:80`;
}

const dialect: PlatformAdapter = { ...usersPlatform, deployment };

function deployment(doc: unknown): ReturnType<PlatformAdapter['deployment']> {
  return Right(doc as never);
}

/** Makes a scene: so many engines and one store, so many indexers, all up. */
export async function makeScene(
  engines: number,
  indexers: number,
  ways: Partial<KvWays> = {},
  seed = 5,
): Promise<Scene> {
  const w = makeWorld(seed, false);
  const net = makeNet(w);
  const corePorts = net.ports(w.proc('core', '127.10.1.1'));
  const core = await startCore(corePorts, '127.10.1.1:7000');
  const sources = new Map<string, KvSource>();
  const all: Indexer[] = [];
  const procs: Proc[] = [];
  let upTo = 0;
  for (let n = 1; n <= engines + 1; n++) {
    const name = n > engines ? 'store-1' : `engine-${n}`;
    const ports = net.ports(w.proc(name, `127.10.2.${n}`));
    const s = makeKvSource(ports.clock, ways);
    sources.set(name, s);
    await ports.network.serveHttp(engineAt(n), s.take);
  }

  async function pass(ms: number): Promise<void> {
    await w.run((upTo += ms));
  }

  function sleep(ms: number): Promise<void> {
    function wait(done: () => void): void {
      w.after(ms, done);
    }
    return new Promise(wait);
  }

  function list(ids: string[]): void {
    const out: unknown[] = [];
    for (const id of ids)
      out.push({
        id,
        at: engineAt(Number(id.slice(7))),
        zone: 'z',
        model: 'm',
        weights: '1',
        leaving: false,
      });
    core.set(CONTROL_KEYS.engines, out);
  }

  async function start(i: number): Promise<Indexer> {
    const p = procs[i] ?? w.proc(`index-${i}`, `127.10.3.${i + 1}`);
    procs[i] = p;
    if (!p.alive) w.revive(p);
    const at = `${p.ip}:7001`;
    const settings = {
      ...defaultSettings(),
      name: p.name,
      wire: at,
      http: '',
      zone: 'z',
      seeds: [core.at],
      founders: [core.at],
      indexMostParts: 10000,
    };
    const [, ix] = errorOrValue(await startIndexer(net.ports(p), settings, dialect));
    all[i] = ix!;
    return ix!;
  }

  function told(i = 0, parts = PROMPT): Record<string, [number, number]> {
    const out: Record<string, [number, number]> = {};
    for (const [s, kept, coming] of computeOverlap(all[i].trees, all[i].expectedBlocks, {
      model: 'm',
      salt: SALT,
      parts,
    }))
      out[s] = [kept, coming];
    return out;
  }

  core.set(CONTROL_KEYS.deployment, {
    revision: 1,
    doc: { stores: [{ name: 'store-1', at: engineAt(engines + 1) }] },
  });
  const ids: string[] = [];
  for (let n = 1; n <= engines; n++) ids.push(`engine-${n}`);
  list(ids);
  for (let i = 0; i < indexers; i++) await start(i);
  await pass(2000);
  return { w, net, core, sources, indexers: all, procs, pass, sleep, list, start, told };
}
