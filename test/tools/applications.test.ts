import { seededDice } from '../../tools/sim/dice';
import { makeSystemClock } from '../../src/shared/system/system-clock';
import { Applications, ApplicationWays } from '../../tools/standins/platform/applications';
import { Book, makeBook } from '../../tools/standins/platform/book';
import { makeGround } from '../../tools/standins/platform/ground';
import { makeOperator } from '../../tools/standins/platform/operator';
import { answerJson, Door, Exchange, openDoor } from '../../tools/standins/platform/serve';
import { BOUNDS, CoreNode } from '../../tools/standins/platform/site';

const ZONES = ['a', 'b', 'c'];
const FOR_MS = 400;
const PER_S = 200;

/** What a control address is asked. */
interface Asked {
  ip: string;
  method: string;
  path: string;
  body: string;
}

/** How a control address answers: with a status, and a total. */
type Answer = (ip: string) => { status: number; total?: number };

interface Rig {
  book: Book;
  asked: Asked[];
  applications: Applications;
  operator: ReturnType<typeof makeOperator>;
}

const doors = new Set<Door>();

async function closeDoors(): Promise<void> {
  for (const door of doors) await door.reset();
  doors.clear();
}

function nodeOf(zone: string, i: number): CoreNode {
  const ip = `127.89.1.${i + 1}`;
  return { name: zone, ip, zone, control: `${ip}:28989`, data: '' };
}

function lifeOf(): number {
  return 1;
}

function all(): boolean {
  return true;
}

async function startRig(answer: Answer, more: Partial<ApplicationWays> = {}): Promise<Rig> {
  const clock = makeSystemClock();
  const book = makeBook(clock);
  const ground = makeGround(clock, seededDice(1), book, BOUNDS);
  const nodes = ZONES.map(nodeOf);
  const asked: Asked[] = [];
  for (const { ip, control } of nodes) doors.add(await openDoor(control, {}, take.bind(null, ip)));
  function take(ip: string, x: Exchange): void {
    void answerTo(ip, x);
  }
  async function answerTo(ip: string, x: Exchange): Promise<void> {
    asked.push({ ip, method: x.method, path: x.path, body: (await x.body()) ?? '' });
    const { status, total } = answer(ip);
    answerJson(x, status, total === undefined ? undefined : { total });
  }
  const ways = { zones: ZONES, nodes, tallies: 2, perS: PER_S, lifeOf, reaches: all, ...more };
  const applications = new Applications(ground, ways);
  function controlOf({ control }: CoreNode): string {
    return control;
  }
  const operator = makeOperator(ground, nodes.map(controlOf));
  return { book, asked, applications, operator };
}

function succeeds(): { status: number; total: number } {
  return { status: 200, total: 0 };
}

/** Each call is made once where it succeeds, in the words of the pages; all is noted. */
async function callsOnce(): Promise<void> {
  const rig = await startRig(succeeds);
  await rig.applications.run(FOR_MS);
  await rig.applications.readEnds(1000);
  const { adds, tallyReads, tallyEnds } = rig.book;
  expect(adds.size).toBeGreaterThan(0);
  expect(tallyReads.length).toBeGreaterThan(0);
  expect(tallyEnds).toMatchObject([{ total: 0 }, { total: 0 }]);
  for (const add of adds.values()) {
    expect(add.calls).toMatchObject([{ outcome: 'acked', life: 1 }]);
    const body = JSON.stringify({ instanceId: add.instanceId, actor: add.actor });
    const path = `/api/Tallies.Update/${add.tally}`;
    expect(rig.asked).toContainEqual(expect.objectContaining({ method: 'POST', path, body }));
    expect(add.instanceId).toMatch(/^[0-9a-f]{16}$/);
  }
}

/** A call goes on at another address, with the same id, after a promise that nothing was done and after a failure. */
async function goesOnElsewhere(): Promise<void> {
  const STATUSES: Record<string, number> = { '127.89.1.1': 503, '127.89.1.2': 500 };
  function answer(ip: string): { status: number } {
    return { status: STATUSES[ip] ?? 200 };
  }
  const rig = await startRig(answer);
  await rig.applications.run(FOR_MS);
  const paths = new Set<string>();
  for (const { calls } of rig.book.adds.values()) {
    paths.add(calls.map(outcomeOf).join(' '));
    expect(calls.at(-1)).toMatchObject({ node: '127.89.1.3', outcome: 'acked' });
  }
  function outcomeOf({ outcome }: { outcome: string }): string {
    return outcome;
  }
  expect(paths).toEqual(new Set(['refused unclear acked', 'unclear acked', 'acked']));
}

/** An application whose zone is cut off calls only the addresses of its own zone. */
async function staysInItsZone(): Promise<void> {
  function reaches(from: string, to: string): boolean {
    return from === to || (from !== 'a' && to !== 'a');
  }
  function answer(ip: string): { status: number } {
    return { status: ip === '127.89.1.1' ? 500 : 200 };
  }
  const rig = await startRig(answer, { reaches });
  await rig.applications.run(FOR_MS);
  for (const { calls } of rig.book.adds.values()) {
    const nodes = new Set(calls.map(nodeCalled));
    expect(nodes.size).toBe(1);
  }
  function nodeCalled({ node }: { node: string }): string {
    return node;
  }
}

/** The operator's evacuations have no body, and are noted with their answers. */
async function evacuates(): Promise<void> {
  const rig = await startRig(succeeds);
  expect(await rig.operator.evacuate('b', 'start', 1000)).toBe(true);
  expect(await rig.operator.evacuate('b', 'finish', 1000)).toBe(true);
  expect(rig.asked).toMatchObject([
    { method: 'POST', path: '/api/Evacuations.Start/b', body: '' },
    { method: 'POST', path: '/api/Evacuations.Finish/b', body: '' },
  ]);
  expect(rig.book.evacuations).toMatchObject([
    { zone: 'b', kind: 'start' },
    { zone: 'b', kind: 'finish' },
  ]);
}

afterEach(closeDoors);

test('an application calls once where that succeeds, and all is noted', callsOnce);
test('an application goes on at another address with the same id', goesOnElsewhere);
test('an application whose zone is cut off calls only its own zone', staysInItsZone);
test('the operator evacuates a zone and takes that back', evacuates);
