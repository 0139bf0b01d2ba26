import { Controller } from '../../src/control/controller';
import { Settings } from '../../src/shared/settings/settings';
import { IncomingRequest } from '../../src/shared/ports/network';
import { CONTROL_KEYS } from '../../src/shared/state/control-keys';
import { Proc } from '../../tools/sim/process';
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

type Fault = (rig: CoreRig, cutOff: Proc, others: Proc[]) => void;

const CUTS: Record<string, Fault> = {
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

function oneWayOut(rig: CoreRig, proc: Proc, others: Proc[]): void {
  for (const other of others) rig.w.cut(proc.ip, other.ip, true);
}

function oneWayIn(rig: CoreRig, proc: Proc, others: Proc[]): void {
  for (const other of others) rig.w.cut(other.ip, proc.ip, true);
}

function bothWays(rig: CoreRig, proc: Proc, others: Proc[]): void {
  oneWayOut(rig, proc, others);
  oneWayIn(rig, proc, others);
}

function withResets(rig: CoreRig, proc: Proc, others: Proc[]): void {
  bothWays(rig, proc, others);
  for (const other of others) rig.net.reset(proc, other);
}

/** One more is cut off with it: the two see each other, and no majority of five. */
function twoTogether(rig: CoreRig, proc: Proc, others: Proc[]): void {
  const partner = others[others.length - 1];
  const rest = others.slice(0, -1);
  bothWays(rig, proc, rest);
  bothWays(rig, partner, rest);
}

function slowLinks(rig: CoreRig, proc: Proc, others: Proc[]): void {
  for (const other of others) {
    rig.w.slow(proc.ip, other.ip, 400);
    rig.w.slow(other.ip, proc.ip, 400);
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
async function probe(rig: CoreRig, proc: Proc, probes: Probe[]): Promise<Answer[]> {
  const out: Answer[] = [];
  const began = rig.w.now();
  async function one(request: Probe): Promise<void> {
    const heard = await rig.call(proc, request.method, request.path, request.base, request.body);
    out.push({ name: request.name, took: rig.w.now() - began, heard });
  }
  await rig.settled(Promise.all(probes.map(one)));
  return out;
}

function isWrong(answer: Answer): boolean {
  return answer.heard?.status !== 503 || answer.took >= SECOND;
}

function inShort(answer: Answer): string {
  return `${answer.name}: ${answer.heard?.status ?? 'silence'} after ${Math.round(answer.took)}`;
}

/** What the controller owns that is cut off: one key at least, or not the deployment. */
type Role = typeof CONTROL_KEYS.deployment | typeof CONTROL_KEYS.engines | 'no owner';
const ROLES: Role[] = [CONTROL_KEYS.deployment, CONTROL_KEYS.engines, 'no owner'];

interface Scene {
  rig: CoreRig;
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
  const rig = makeCore(seed, {
    size,
    told: { ...told, platform: `${PLATFORM}:9000` },
    duties: true,
  });
  const polls = new Map<string, number>();
  function list(call: IncomingRequest): Promise<void> {
    polls.set(call.peer, (polls.get(call.peer) ?? 0) + 1);
    call.writeHead(200, { 'content-type': 'application/json' });
    call.end(JSON.stringify({ instances: [], nextPageToken: null }));
    return Promise.resolve();
  }
  await rig.net.ports(rig.w.proc('platform', PLATFORM)).network.serveHttp(`${PLATFORM}:9000`, list);
  const first = await rig.settled(rig.insist(0, PATHS.replace, 0, documentOf(10, ['/a/']), 12000));
  expect(first?.status).toBe(200);
  await rig.pass(3000);
  function hasRole(proc: Proc): boolean {
    const { owns } = rig.controllers.get(proc.name)!.keyOwner;
    return role === 'no owner' ? !owns(CONTROL_KEYS.deployment) : owns(role);
  }
  const cutOff = rig.core.find(hasRole)!;
  function isOther(proc: Proc): boolean {
    return proc !== cutOff;
  }
  return { rig, cutOff, others: rig.core.filter(isOther), polls };
}

/** Takes a change at the other side; nobody there is kept from it by the one that is cut off. */
async function changeElsewhere(scene: Scene, base: number, revision: number): Promise<void> {
  const at = scene.rig.core.indexOf(scene.others[0]);
  for (let i = 0; i < 20; i++) {
    const sent = scene.rig.call(
      scene.rig.core[(at + (i % 2 ? scene.others.length - 1 : 0)) % scene.rig.core.length],
      'POST',
      PATHS.replace,
      base,
      documentOf(revision, ['/a/', `/v${revision}/`]),
    );
    const reply = await scene.rig.settled(sent);
    if (reply?.status === 200) return;
    await scene.rig.pass(100);
  }
  throw new Error('no change was taken at the other side');
}

function controllerOf(scene: Scene): Controller {
  return scene.rig.controllers.get(scene.cutOff.name)!;
}

async function describes(scene: Scene, proc: Proc): Promise<number | string> {
  const began = scene.rig.w.now();
  const reply = await scene.rig.settled(scene.rig.call(proc, 'GET', PATHS.describe));
  if (scene.rig.w.now() - began >= SECOND) return 'late';
  return reply?.status === 200 ? (reply.body.revision as number) : `status ${reply?.status}`;
}

async function cutForTwenty(
  name: string,
  size: number,
  told: Partial<Settings>,
  role: Role,
): Promise<string[]> {
  const faults: string[] = [];
  const scene = await begin(size * 10 + ROLES.indexOf(role), size, told, role);
  const { rig, cutOff } = scene;
  function note(what: string): void {
    faults.push(`${name} size ${size} cut off ${role} ack ${told.ackMs}: ${what}`);
  }
  CUTS[name](rig, cutOff, scene.others);
  for (const answer of await probe(rig, cutOff, probesOn(10, 11)))
    if (isWrong(answer)) note(`at once ${inShort(answer)}`);
  await changeElsewhere(scene, 10, 20);
  for (const answer of await probe(rig, cutOff, probesOn(10, 12)))
    if (isWrong(answer)) note(`soon ${inShort(answer)}`);
  await rig.pass(NOTICED);
  const polled = scene.polls.get(cutOff.ip) ?? 0;
  for (const wait of [1000, 5000, 5000]) {
    await rig.pass(wait);
    const owned = controllerOf(scene).keyOwner.ownedKeys();
    if (owned.length > 0) note(`still owns ${owned.join()}`);
    for (const answer of await probe(rig, cutOff, probesOn(10, 13)))
      if (isWrong(answer)) note(`later ${inShort(answer)}`);
  }
  const more = (scene.polls.get(cutOff.ip) ?? 0) - polled;
  if (more > 0) note(`polled the platform's list ${more} times`);
  const before = [...scene.polls.values()].reduce(sum, 0);
  await rig.pass(2000);
  if ([...scene.polls.values()].reduce(sum, 0) === before) note('nobody watches the platform');
  rig.w.healLinks();
  for (const wait of [0, 5, 20, 50, 100, 300]) {
    await rig.pass(wait);
    const reply = await describes(scene, cutOff);
    if (reply !== 20 && reply !== 'status 503') note(`healed for some ms, tells ${reply}`);
  }
  await rig.pass(told.contactMs!);
  for (const proc of rig.core) {
    const reply = await describes(scene, proc);
    if (reply !== 20) note(`in touch again, ${proc.name} tells ${reply}`);
  }
  const after = await rig.settled(rig.insist(0, PATHS.replace, 20, documentOf(30, ['/z/']), 8000));
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
async function slowLinksDelayNoReply(): Promise<void> {
  const faults: string[] = [];
  for (const size of [3, 5]) {
    for (const told of BOUNDS) {
      const scene = await begin(size, size, told, CONTROL_KEYS.deployment);
      slowLinks(scene.rig, scene.cutOff, scene.others);
      for (const answer of await probe(scene.rig, scene.cutOff, [probesOn(10, 11)[0]]))
        if (answer.took >= SECOND) faults.push(`size ${size}: ${inShort(answer)}`);
      await changeElsewhere(scene, 10, 20);
      for (let i = 0; i < 5; i++) {
        await scene.rig.pass(700);
        for (const answer of await probe(scene.rig, scene.cutOff, probesOn(10, 12))) {
          const right =
            answer.heard?.status === 503 ||
            (answer.name === 'describe' && answer.heard?.body.revision === 20) ||
            (answer.name === 'weights' && answer.heard?.status === 200) ||
            (['whole', 'named', 'behind', 'not above', 'dropped'].includes(answer.name) &&
              answer.heard?.status === 412);
          if (!right || answer.took >= SECOND) faults.push(`size ${size}: ${inShort(answer)}`);
        }
      }
    }
  }
  expect(faults).toEqual([]);
}

test(
  'a partitioned controller replies 503 within a second, owns no key and polls no engine list',
  allCuts,
);
test('over slow links no reply is stale, and none comes after a second', slowLinksDelayNoReply);
