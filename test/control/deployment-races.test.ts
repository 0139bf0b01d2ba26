import { seededDice } from '../../tools/sim/dice';
import { Proc } from '../../tools/sim/process';
import { CoreRig, documentOf, Heard, makeCore, PATHS } from './deploymentrig';

interface SentOrder {
  base: number;
  revision: number;
  document: Record<string, unknown>;
  reply?: Heard;
  isOver: boolean;
}

/** Sends a change as an operator would and notes the reply. */
function send(
  rig: CoreRig,
  base: number,
  revision: number,
  first: number,
  timeoutMs: number,
): SentOrder {
  const document = documentOf(revision, [`/v${revision}/`]);
  const order: SentOrder = { base, revision, document, isOver: false };
  function noteReply(reply: Heard | undefined): void {
    order.reply = reply;
    order.isOver = true;
  }
  void rig.insist(first, PATHS.replace, base, document, timeoutMs).then(noteReply);
  return order;
}

function isAcknowledged(order: SentOrder): boolean {
  return order.reply?.status === 200;
}

function isOver(order: SentOrder): boolean {
  return order.isOver;
}

function revisionOf(order: SentOrder): number {
  return order.revision;
}

async function finish(rig: CoreRig, orders: SentOrder[]): Promise<void> {
  for (let i = 0; i < 2000 && !orders.every(isOver); i++) await rig.pass(20);
  expect(orders.every(isOver)).toBe(true);
}

/** The revisions that all controllers give back, asked again and again as an operator would. */
async function describedRevisions(rig: CoreRig): Promise<number[]> {
  const revisions: number[] = [];
  for (const [index, controller] of rig.core.entries()) {
    for (let i = 0; i < 40 && revisions.length < index + 1; i++) {
      const reply = await rig.settled(rig.call(controller, 'GET', PATHS.describe));
      if (reply?.status === 200) revisions.push(reply.body.revision as number);
      else await rig.pass(100);
    }
  }
  return revisions;
}

/** Whatever became of each change: no base has two that were acknowledged, and what is committed is the newest acknowledged or one whose result was left open. */
async function judge(rig: CoreRig, orders: SentOrder[]): Promise<void> {
  const byBase = new Map<number, number[]>();
  for (const { base, revision } of orders.filter(isAcknowledged))
    byBase.set(base, [...(byBase.get(base) ?? []), revision]);
  for (const [base, revisions] of byBase) expect([base, revisions.length]).toEqual([base, 1]);
  const newest = Math.max(0, ...orders.filter(isAcknowledged).map(revisionOf));
  const described = await describedRevisions(rig);
  expect(described.length).toBe(3);
  for (const revision of described) {
    expect(revision).toBeGreaterThanOrEqual(newest);
    const order = orders.find(isOfRevision);
    function isOfRevision(candidate: SentOrder): boolean {
      return candidate.revision === revision;
    }
    expect([revision, order?.reply?.status ?? 200]).toEqual([revision, 200]);
  }
}

function restart(rig: CoreRig, controller: Proc, isWiped: boolean): void {
  if (isWiped) controller.files.clear();
  rig.w.revive(controller);
  rig.start(controller);
}

async function begin(seed: number): Promise<{ rig: CoreRig; first: SentOrder }> {
  const rig = makeCore(seed);
  const first = send(rig, 0, 1, 0, 12000);
  await finish(rig, [first]);
  expect(first.reply?.status).toBe(200);
  return { rig, first };
}

const FAULTS = ['kill', 'cut-out', 'cut-in', 'freeze'] as const;

/** Has a fault strike a controller; gives how it ends. */
function strike(rig: CoreRig, victim: Proc, dice: () => number): () => void {
  const others = rig.core.filter(isOther);
  const fault = FAULTS[Math.floor(dice() * FAULTS.length)];
  if (fault === 'kill') rig.w.kill(victim, dice() < 0.5);
  if (fault === 'cut-out') for (const other of others) rig.w.cut(victim.ip, other.ip, true);
  if (fault === 'cut-in') for (const other of others) rig.w.cut(other.ip, victim.ip, true);
  if (fault === 'freeze') rig.w.freeze(victim);
  return end;

  function isOther(controller: Proc): boolean {
    return controller !== victim;
  }
  function end(): void {
    if (fault === 'kill') restart(rig, victim, false);
    if (fault === 'freeze') rig.w.wake(victim);
    rig.w.healLinks();
  }
}

/** Sends four pairs of changes, each pair on one base, with a fault for each. */
async function race(seed: number): Promise<void> {
  const { next } = seededDice(seed);
  const { rig, first } = await begin(seed);
  const orders = [first];
  let base = 1;
  for (let round = 0; round < 4; round++) {
    const pair = [
      send(rig, base, 10 * round + 11, Math.floor(next() * 3), 6000),
      send(rig, base, 10 * round + 12, Math.floor(next() * 3), 6000),
    ];
    orders.push(...pair);
    await rig.pass(next() * 30);
    const end = strike(rig, rig.core[Math.floor(next() * 3)], next);
    await rig.pass(200 + next() * 3000);
    end();
    await finish(rig, pair);
    base = (await describedRevisions(rig))[0];
  }
  await judge(rig, orders);
}

async function racers(): Promise<void> {
  for (let seed = 1; seed <= 12; seed++) await race(seed);
}

async function powerAfterAck(): Promise<void> {
  for (let seed = 1; seed <= 10; seed++) {
    const { rig, first } = await begin(seed);
    const next = send(rig, 1, 2, seed, 8000);
    for (let i = 0; i < 4000 && !next.isOver; i++) await rig.pass(1);
    expect(next.reply?.status).toBe(200);
    for (const controller of rig.core) rig.w.kill(controller, true);
    await rig.pass(800);
    for (const controller of rig.core) restart(rig, controller, false);
    await judge(rig, [first, next]);
    const after = send(rig, 2, 3, 0, 8000);
    await finish(rig, [after]);
    expect(after.reply?.status).toBe(200);
  }
}

async function wipeAfterAck(): Promise<void> {
  for (let seed = 1; seed <= 9; seed++) {
    const { rig, first } = await begin(seed);
    const next = send(rig, 1, 2, seed, 8000);
    for (let i = 0; i < 4000 && !next.isOver; i++) await rig.pass(1);
    expect(next.reply?.status).toBe(200);
    const lost = rig.core[seed % 3];
    for (const controller of rig.core) rig.w.kill(controller, true);
    await rig.pass(800);
    for (const controller of rig.core) restart(rig, controller, controller === lost);
    expect((await describedRevisions(rig)).slice(0, 2).every(isTwo)).toBe(true);
    await judge(rig, [first, next]);
  }
  function isTwo(revision: number): boolean {
    return revision === 2;
  }
}

async function quick(): Promise<void> {
  const { rig, first } = await begin(5);
  for (const lost of rig.core) {
    rig.w.kill(lost, true);
    await rig.pass(3000);
    const beganAt = rig.w.now();
    const next = send(rig, first.revision, first.revision + 1, rig.core.indexOf(lost) + 1, 9000);
    await finish(rig, [next]);
    expect(next.reply?.status).toBe(200);
    expect(rig.w.now() - beganAt).toBeLessThan(2000);
    first.revision++;
    restart(rig, lost, false);
    await rig.pass(3000);
  }
}

test(
  'of two changes on one base one wins, whatever is killed, cut off or frozen meanwhile',
  racers,
);
test('what was acknowledged stands after all lost power at once', powerAfterAck);
test('what was acknowledged stands after one disk is lost and all lost power', wipeAfterAck);
test('with a core machine dark, a change is taken within two seconds', quick);
