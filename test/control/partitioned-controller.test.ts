import { Controller } from '../../src/control/controller';
import { Settings } from '../../src/shared/settings/settings';
import { IncomingRequest } from '../../src/shared/ports/network';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Proc } from '../../tools/sim/simworld';
import { CoreRig, documentOf, Heard, makeCore, PATHS } from './deploymentrig';

const PLATFORM = '10.9.0.2';
/** An operator goes on to another controller after this silence. */
const SECOND = 1000;
/** A cut shows at the connections after this: a silent peer is pinged and given up. */
const NOTICED = 2000;

const BOUNDS: Partial<Settings>[] = [
  { ackMs: 4000, changeBoundMs: 2000, contactMs: 3000 },
  { ackMs: 5000, changeBoundMs: 2500, contactMs: 4000 },
];

type Trouble = (f: CoreRig, cutOff: Proc, others: Proc[]) => void;

const CUTS: Record<string, Trouble> = {
  'both ways': bothWays,
  'one way out': oneWayOut,
  'one way in': oneWayIn,
  'with resets': withResets,
  'two together': twoTogether,
};

/** The sizes of the core for each cut: two of three would be a majority. */
const SIZES: [string, number[]][] = [
  ['both ways', [3, 5]],
  ['one way out', [3, 5]],
  ['one way in', [3, 5]],
  ['with resets', [3, 5]],
  ['two together', [5]],
];

function oneWayOut(f: CoreRig, p: Proc, others: Proc[]): void {
  for (const o of others) f.w.cut(p.ip, o.ip, true);
}

function oneWayIn(f: CoreRig, p: Proc, others: Proc[]): void {
  for (const o of others) f.w.cut(o.ip, p.ip, true);
}

function bothWays(f: CoreRig, p: Proc, others: Proc[]): void {
  oneWayOut(f, p, others);
  oneWayIn(f, p, others);
}

function withResets(f: CoreRig, p: Proc, others: Proc[]): void {
  bothWays(f, p, others);
  for (const o of others) f.net.reset(p, o);
}

/** One more is cut off with it: the two see each other, and no majority of five. */
function twoTogether(f: CoreRig, p: Proc, others: Proc[]): void {
  const partner = others[others.length - 1];
  const rest = others.slice(0, -1);
  bothWays(f, p, rest);
  bothWays(f, partner, rest);
}

function slowLinks(f: CoreRig, p: Proc, others: Proc[]): void {
  for (const o of others) {
    f.w.slow(p.ip, o.ip, 400);
    f.w.slow(o.ip, p.ip, 400);
  }
}

/** A call to the cut-off controller, and what it must not be answered. */
interface Probe {
  name: string;
  method: string;
  path: string;
  base?: number;
  body?: unknown;
}

interface Answer {
  name: string;
  took: number;
  heard?: Heard;
}

/** All that depends on what stands: reads, proper changes, and ones that are refused by it. */
function probesOn(stands: number, fresh: number): Probe[] {
  const named = { revision: fresh, upsert: { routes: [] }, remove: { routes: ['r-none'] } };
  return [
    { name: 'describe', method: 'GET', path: PATHS.describe },
    ask('whole', PATHS.replace, stands, documentOf(fresh, [`/w${fresh}/`])),
    ask('named', PATHS.update, stands, named),
    ask('behind', PATHS.replace, stands + 50, documentOf(stands + 60, ['/b/'])),
    ask('not above', PATHS.replace, stands, documentOf(stands, ['/n/'])),
    ask('dropped', PATHS.update, stands, {
      revision: fresh + 1,
      upsert: { routes: [{ ...(documentOf(1, ['/q/']).routes as object[])[0], service: 'none' }] },
      remove: { routes: [] },
    }),
    {
      name: 'weights',
      method: 'POST',
      path: PATHS.weights,
      body: { model: `model-${fresh}`, revision: fresh },
    },
  ];
}

function ask(name: string, path: string, base: number, body: unknown): Probe {
  return { name, method: 'POST', path, base, body };
}

/** Sends all probes at once to one controller. */
async function probe(f: CoreRig, p: Proc, probes: Probe[]): Promise<Answer[]> {
  const out: Answer[] = [];
  const began = f.w.now();
  async function one(x: Probe): Promise<void> {
    const heard = await f.call(p, x.method, x.path, x.base, x.body);
    out.push({ name: x.name, took: f.w.now() - began, heard });
  }
  await f.settled(Promise.all(probes.map(one)));
  return out;
}

function isWrong(a: Answer): boolean {
  return a.heard?.status !== 503 || a.took >= SECOND;
}

function inShort(a: Answer): string {
  return `${a.name}: ${a.heard?.status ?? 'silence'} after ${Math.round(a.took)}`;
}

/** What the controller owns that is cut off: one key at least, or not the deployment. */
type Role = typeof CONTROL_KEYS.deployment | typeof CONTROL_KEYS.engines | 'no owner';
const ROLES: Role[] = [CONTROL_KEYS.deployment, CONTROL_KEYS.engines, 'no owner'];

interface Scene {
  f: CoreRig;
  cutOff: Proc;
  others: Proc[];
  polls: Map<string, number>;
}

/** A core with one configuration, and a platform that counts who asks for its list. */
async function begin(
  seed: number,
  size: number,
  told: Partial<Settings>,
  role: Role,
): Promise<Scene> {
  const f = makeCore(seed, {
    size,
    told: { ...told, platform: `${PLATFORM}:9000` },
    duties: true,
  });
  const polls = new Map<string, number>();
  async function list(call: IncomingRequest): Promise<void> {
    polls.set(call.peer, (polls.get(call.peer) ?? 0) + 1);
    call.writeHead(200, { 'content-type': 'application/json' });
    call.end(JSON.stringify({ instances: [], nextPageToken: null }));
  }
  await f.net.ports(f.w.proc('platform', PLATFORM)).network.serveHttp(`${PLATFORM}:9000`, list);
  const first = await f.settled(f.insist(0, PATHS.replace, 0, documentOf(10, ['/a/']), 12000));
  expect(first?.status).toBe(200);
  await f.pass(3000);
  function hasRole(p: Proc): boolean {
    const { owns } = f.controllers.get(p.name)!.keyOwner;
    return role === 'no owner' ? !owns(CONTROL_KEYS.deployment) : owns(role);
  }
  const cutOff = f.core.filter(hasRole)[0];
  function isOther(p: Proc): boolean {
    return p !== cutOff;
  }
  return { f, cutOff, others: f.core.filter(isOther), polls };
}

/** Takes a change at the other side; nobody there is kept from it by the one that is cut off. */
async function changeElsewhere(s: Scene, base: number, revision: number): Promise<void> {
  const at = s.f.core.indexOf(s.others[0]);
  for (let i = 0; i < 20; i++) {
    const o = s.f.call(
      s.f.core[(at + (i % 2 ? s.others.length - 1 : 0)) % s.f.core.length],
      'POST',
      PATHS.replace,
      base,
      documentOf(revision, ['/a/', `/v${revision}/`]),
    );
    const r = await s.f.settled(o);
    if (r?.status === 200) return;
    await s.f.pass(100);
  }
  throw new Error('no change was taken at the other side');
}

function controllerOf(s: Scene): Controller {
  return s.f.controllers.get(s.cutOff.name)!;
}

async function describes(s: Scene, p: Proc): Promise<number | string> {
  const began = s.f.w.now();
  const r = await s.f.settled(s.f.call(p, 'GET', PATHS.describe));
  if (s.f.w.now() - began >= SECOND) return 'late';
  return r?.status === 200 ? (r.body.revision as number) : `status ${r?.status}`;
}

async function cutForTwenty(
  name: string,
  size: number,
  told: Partial<Settings>,
  role: Role,
): Promise<string[]> {
  const faults: string[] = [];
  const s = await begin(size * 10 + ROLES.indexOf(role), size, told, role);
  const { f, cutOff } = s;
  function note(what: string): void {
    faults.push(`${name} size ${size} cut off ${role} ack ${told.ackMs}: ${what}`);
  }
  CUTS[name](f, cutOff, s.others);
  for (const a of await probe(f, cutOff, probesOn(10, 11)))
    if (isWrong(a)) note(`at once ${inShort(a)}`);
  await changeElsewhere(s, 10, 20);
  for (const a of await probe(f, cutOff, probesOn(10, 12)))
    if (isWrong(a)) note(`soon ${inShort(a)}`);
  await f.pass(NOTICED);
  const polled = s.polls.get(cutOff.ip) ?? 0;
  for (const wait of [1000, 5000, 5000]) {
    await f.pass(wait);
    const owned = controllerOf(s).keyOwner.ownedKeys();
    if (owned.length > 0) note(`still owns ${owned.join()}`);
    for (const a of await probe(f, cutOff, probesOn(10, 13)))
      if (isWrong(a)) note(`later ${inShort(a)}`);
  }
  const more = (s.polls.get(cutOff.ip) ?? 0) - polled;
  if (more > 0) note(`polled the platform's list ${more} times`);
  const before = [...s.polls.values()].reduce(sum, 0);
  await f.pass(2000);
  if ([...s.polls.values()].reduce(sum, 0) === before) note('nobody watches the platform');
  f.w.healLinks();
  for (const wait of [0, 5, 20, 50, 100, 300]) {
    await f.pass(wait);
    const r = await describes(s, cutOff);
    if (r !== 20 && r !== 'status 503') note(`healed for some ms, tells ${r}`);
  }
  await f.pass(told.contactMs!);
  for (const p of f.core) {
    const r = await describes(s, p);
    if (r !== 20) note(`in touch again, ${p.name} tells ${r}`);
  }
  const after = await f.settled(f.insist(0, PATHS.replace, 20, documentOf(30, ['/z/']), 8000));
  if (after?.status !== 200) note('takes no change after the heal');
  return faults;
}

function sum(a: number, b: number): number {
  return a + b;
}

async function allCuts(): Promise<void> {
  const faults: string[] = [];
  for (const [name, sizes] of SIZES)
    for (const size of sizes)
      for (const told of BOUNDS)
        for (const role of ROLES) faults.push(...(await cutForTwenty(name, size, told, role)));
  expect(faults).toEqual([]);
}

/** Over slow links answers may come, but only ones that are right, and within the second. */
async function slow(): Promise<void> {
  const faults: string[] = [];
  for (const size of [3, 5]) {
    for (const told of BOUNDS) {
      const s = await begin(size, size, told, CONTROL_KEYS.deployment);
      slowLinks(s.f, s.cutOff, s.others);
      for (const a of await probe(s.f, s.cutOff, [probesOn(10, 11)[0]]))
        if (a.took >= SECOND) faults.push(`size ${size}: ${inShort(a)}`);
      await changeElsewhere(s, 10, 20);
      for (let i = 0; i < 5; i++) {
        await s.f.pass(700);
        for (const a of await probe(s.f, s.cutOff, probesOn(10, 12))) {
          const right =
            a.heard?.status === 503 ||
            (a.name === 'describe' && a.heard?.body.revision === 20) ||
            (a.name === 'weights' && a.heard?.status === 200) ||
            (['whole', 'named', 'behind', 'not above', 'dropped'].includes(a.name) &&
              a.heard?.status === 412);
          if (!right || a.took >= SECOND) faults.push(`size ${size}: ${inShort(a)}`);
        }
      }
    }
  }
  expect(faults).toEqual([]);
}

test(
  'a controller that is cut off answers 503 within a second, owns nothing and watches no list',
  allCuts,
);
test('over slow links no answer is old, and none comes after a second', slow);
