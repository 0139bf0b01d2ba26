import { pack } from 'msgpackr';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Message } from '../../src/shared/ports/network';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Proc } from '../../tools/sim/process';
import { CoreRig, documentOf, makeCore, PATHS } from '../control/deploymentrig';

const ROUTES = 1400;
const TENANTS = 80;
const MODELS = 60;
/** Changes before and after a restart of one that stays, while another is away. */
const AWAY = 150;
const CATCH_UP = defaultSettings().catchUpMs;

function wholeAt(revision: number): Record<string, unknown> {
  const prefixes: string[] = [];
  for (let i = 0; i < ROUTES; i++) prefixes.push(`/r${i}/`);
  const tenants: object[] = [];
  for (let i = 0; i < TENANTS; i++)
    tenants.push({ name: `t${i}`, apiKeys: [`key-${i}`], priority: 1, isolated: false });
  return documentOf(revision, prefixes, { tenants });
}

/** What an operator brings about: mostly named changes, and now and then a whole document. */
interface Operator {
  revision: number;
  change: (first: number) => Promise<void>;
  name: (model: number, weights: number) => Promise<void>;
}

function operatorOf(f: CoreRig): Operator {
  const doc = wholeAt(1);
  const routes = doc.routes as { name: string; timeoutMs: number }[];
  const o: Operator = { revision: 0, change, name };

  async function change(first: number): Promise<void> {
    const revision = o.revision + 1;
    const at = (revision * 37) % ROUTES;
    routes[at] = { ...routes[at], timeoutMs: 4000 + revision };
    const isWhole = revision === 1 || revision % 20 === 0;
    const body = isWhole
      ? { ...doc, revision }
      : { revision, upsert: { routes: [routes[at]] }, remove: {} };
    const path = isWhole ? PATHS.replace : PATHS.update;
    const r = await f.settled(f.insist(first, path, o.revision, body, 9000));
    expect({ revision, status: r?.status }).toEqual({ revision, status: 200 });
    o.revision = revision;
  }

  async function name(model: number, weights: number): Promise<void> {
    const body = { model: `model-${model}`, revision: weights };
    const r = await f.settled(f.insist(0, PATHS.weights, 0, body, 9000));
    expect(r?.status).toBe(200);
  }

  return o;
}

function back(f: CoreRig, p: Proc): void {
  f.w.revive(p);
  f.controllers.delete(p.name);
  f.start(p);
}

function revisionAt(f: CoreRig, p: Proc): number {
  const v = f.controllers
    .get(p.name)
    ?.committedValue<{ revision: number }>(CONTROL_KEYS.deployment);
  return v?.value.revision ?? 0;
}

function weightsAt(f: CoreRig, p: Proc): number {
  let level = 0;
  for (let i = 0; i < MODELS; i++)
    level += Number(
      f.controllers
        .get(p.name)
        ?.committedValue<{ rank: number }>(`${CONTROL_KEYS.weights}model-${i}`)?.value.rank ?? 0,
    );
  return level;
}

/** Ms until a returned controller holds all that another does; meanwhile it owns nothing by older state. */
async function level(f: CoreRig, p: Proc, like: Proc): Promise<number> {
  const began = f.w.now();
  while (f.w.now() - began < 2 * CATCH_UP) {
    const c = f.controllers.get(p.name);
    if (c?.keyOwner.owns(CONTROL_KEYS.deployment))
      expect(revisionAt(f, p)).toBe(revisionAt(f, like));
    if (revisionAt(f, p) === revisionAt(f, like) && weightsAt(f, p) === weightsAt(f, like))
      return f.w.now() - began;
    await f.pass(5);
  }
  return Infinity;
}

async function describes(f: CoreRig, p: Proc): Promise<unknown> {
  const r = await f.settled(f.call(p, 'GET', PATHS.describe));
  return r?.status === 200 ? r.body.revision : `status ${r?.status}`;
}

async function awayForMany(): Promise<void> {
  const f = makeCore(3);
  const o = operatorOf(f);
  const [a, b, c] = f.core;
  let returned = 0;
  function weigh(_: string, m: Message): void {
    if (m.re !== undefined) returned += pack(m).length;
  }
  function rows(): string[] {
    return [];
  }
  for (let i = 0; i < 5; i++) await o.change(0);
  f.w.kill(c, true);
  for (let i = 0; i < MODELS; i++) await o.name(i, 1);
  for (let i = 0; i < AWAY; i++) await o.change(i % 2);
  f.w.kill(b, false);
  await f.pass(300);
  back(f, b);
  for (let i = 0; i < AWAY; i++) await o.change(i % 2);
  f.net.traffic = { weigh, rows };
  back(f, c);
  const first = await level(f, c, a);
  const whole = JSON.stringify(wholeAt(1)).length;
  expect(first).toBeLessThan(CATCH_UP * 0.25);
  expect(returned).toBeLessThan(whole * 4);
  f.net.traffic = undefined;
  for (const p of f.core) expect(await describes(f, p)).toBe(o.revision);
  for (let i = 0; i < 10; i++) {
    await o.change(2);
    if (i % 3 === 0) {
      f.w.kill(c, i % 2 === 0);
      await o.change(0);
      back(f, c);
      expect(await level(f, c, a)).toBeLessThan(CATCH_UP * 0.25);
    }
  }
  f.w.kill(c, true);
  for (let i = 0; i < 5; i++) await o.change(0);
  back(f, c);
  f.w.kill(a, true);
  const began = f.w.now();
  await o.change(2);
  expect(f.w.now() - began).toBeLessThan(CATCH_UP);
  for (const p of [b, c]) expect(await describes(f, p)).toBe(o.revision);
}

/** Where a returned controller and one that has all are the only ones left, neither tells nor builds on older state. */
async function leftWithOneBehind(): Promise<void> {
  for (let seed = 1; seed <= 6; seed++) {
    const f = makeCore(seed);
    const r = await f.settled(f.insist(0, PATHS.replace, 0, documentOf(1, ['/a/']), 9000));
    expect(r?.status).toBe(200);
    await f.pass(1000);
    const gone = f.core[seed % 3];
    const leaves = f.core[(seed + 1) % 3];
    f.w.kill(gone, seed % 2 === 0);
    let revision = 1;
    for (let i = 0; i < 30; i++) {
      const doc = documentOf(revision + 1, ['/a/', `/v${i}/`]);
      const x = await f.settled(f.insist(seed, PATHS.replace, revision, doc, 9000));
      expect(x?.status).toBe(200);
      revision++;
    }
    back(f, gone);
    f.w.kill(leaves, true);
    const left = f.core.filter(isLeft);
    function isLeft(p: Proc): boolean {
      return p !== leaves;
    }
    let answers = 0;
    for (let i = 0; i < 40; i++) {
      for (const p of left) {
        const told = await describes(f, p);
        if (told === revision) answers++;
        else expect(['status 503', 'status undefined']).toContain(told);
      }
      await f.pass(20);
    }
    expect(answers).toBeGreaterThan(40);
  }
}

test('a controller that missed many changes is level within a quarter of its bound', awayForMany);
test('with one left that is behind, nothing older is told', leftWithOneBehind);
