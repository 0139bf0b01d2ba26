/** Two operators who send hundreds of changes, several at once, and send them again where no answer came. */
import { CallAnswer, RefusalReason } from '../../../src/shared/history/calls';
import { errorOrValue } from '../../../src/shared/errors/errors';
import { requestJson } from '../../../src/shared/util/http-json';
import { usersPlatform } from '../../../platform/adapter';
import { HistoryRecorder } from '../../history/record';
import { httpOf, Member, WorstCore } from './core';
import { hashOf, WorstDocument } from './documents';
import { DEPLOYMENT_KEY, drawChange, Known, MODELS, namingOf, Order } from './orders';

/** What became of an order, for the bounds of answers. */
export interface Fate {
  order: Order;
  firstSent: number;
  /** When a clear answer came, or when the operator gave up. */
  over: number;
  isClear: boolean;
}

/** Whom a storm tells of its calls. */
export interface StormListener {
  sent: () => void;
  acknowledged: () => void;
}

/** Operators at work. */
export interface Storm {
  fates: Fate[];
  /** Sends an order until it is answered. */
  insist: (client: string, order: Order, most: number) => Promise<Fate>;
  /** Reads from one member; the revision, or undefined without an answer. */
  read: (client: string, member: Member) => Promise<number | undefined>;
  /** Sends changes until a time; settles when all calls are over. */
  run: (until: number) => Promise<void>;
  known: (client: string) => Known;
}

interface Heard {
  answer: CallAnswer;
  reason?: RefusalReason;
}

/** The operators. */
export const OPERATORS = ['operator-a', 'operator-b'] as const;

const CALLS_AT_ONCE = 4;
const SILENCE_MS = 1000;
const FIRST_PAUSE_MS = 30;
const LONGEST_PAUSE_MS = 3000;
const PAUSE_GROWTH = 2;
const LOST_SHARE = 0.08;
const ABANDONED_SHARE = 0.08;
const ABANDONED_WITHIN_MS = 60;
const AGAIN_SHARE = 0.15;
const GIVES_UP_SHARE = 0.1;
const READ_SHARE = 0.1;
const NAMING_SHARE = 0.15;
const STALE_SHARE = 0.05;
const ORDER_MOST_MS = 20000;
const PHASE_MS = 7000;
const STORM_MS = 1500;
const STATUS_OK = 200;
const STATUS_NONE = 404;
const STATUS_CONFLICT = 412;
const STATUS_INVALID = 400;

const { paths, baseHeader } = { ...usersPlatform.operators, baseHeader: 'plumhollow-base-version' };

/** Makes the operators of a day. */
export function makeStorm(
  core: WorstCore,
  recorder: HistoryRecorder,
  listener: StormListener,
): Storm {
  const { world, net, operator } = core;
  const { dice } = world;
  const ports = net.ports(operator);
  const fates: Fate[] = [];
  const knowns = new Map<string, Known>();
  const highestNamed = new Map<string, number>();
  let orders = 0;

  function known(client: string): Known {
    return knowns.get(client) ?? { revision: 0 };
  }

  function anyMember(): Member {
    const members = core.members();
    return members[Math.floor(dice.next() * members.length)];
  }

  function heardOf(status: number): Heard {
    if (status === STATUS_OK) return { answer: 'ok' };
    if (status === STATUS_CONFLICT) return { answer: 'refused', reason: 'conflict' };
    if (status === STATUS_INVALID) return { answer: 'refused', reason: 'invalid' };
    return { answer: 'unknown' };
  }

  /** One call; its answer may be lost on its way, or not be waited for. */
  async function send(order: Order, member: Member): Promise<Heard> {
    const isAbandoned = dice.next() < ABANDONED_SHARE;
    const isLost = dice.next() < LOST_SHARE;
    listener.sent();
    const [fault, reply] = errorOrValue(
      await requestJson(ports.network, {
        address: httpOf(member),
        method: 'POST',
        path: order.path,
        headers: order.kind === 'name' ? {} : { [baseHeader]: String(order.base) },
        body: JSON.stringify(order.body),
        timeoutMs: isAbandoned ? dice.next() * ABANDONED_WITHIN_MS : SILENCE_MS,
      }),
    );
    if (fault || isLost) return { answer: 'unknown' };
    const heard = heardOf(reply.status);
    if (heard.answer === 'ok') listener.acknowledged();
    return heard;
  }

  async function attempt(client: string, order: Order, member: Member): Promise<Heard> {
    const start = world.now();
    const heard = await send(order, member);
    const { key, kind, base, revision, hash } = order;
    recorder.record({
      key,
      kind,
      client,
      order: order.name,
      start,
      end: world.now(),
      base,
      revision,
      hash,
      ...heard,
    });
    return heard;
  }

  function learn(client: string, order: Order): void {
    if (order.key !== DEPLOYMENT_KEY || order.revision <= known(client).revision) return;
    knowns.set(client, { revision: order.revision, document: order.document });
  }

  async function insist(client: string, order: Order, most: number): Promise<Fate> {
    const fate = { order, firstSent: world.now(), over: Infinity, isClear: false };
    const givesUp = most === ORDER_MOST_MS && dice.next() < GIVES_UP_SHARE;
    const until = fate.firstSent + (givesUp ? SILENCE_MS : most);
    let pause = FIRST_PAUSE_MS;
    while (!fate.isClear && world.now() < until) {
      const heard = await attempt(client, order, anyMember());
      fate.isClear = heard.answer !== 'unknown';
      if (heard.answer === 'ok') learn(client, order);
      if (fate.isClear) break;
      await ports.clock.sleep(pause * (0.5 + dice.next()));
      pause = Math.min(LONGEST_PAUSE_MS, pause * PAUSE_GROWTH);
    }
    fate.over = world.now();
    if (!givesUp) fates.push(fate);
    return fate;
  }

  async function read(client: string, member: Member): Promise<number | undefined> {
    const start = world.now();
    const [fault, reply] = errorOrValue(
      await requestJson(ports.network, {
        address: httpOf(member),
        method: 'GET',
        path: paths.describe,
        timeoutMs: SILENCE_MS,
      }),
    );
    if (fault || (reply.status !== STATUS_OK && reply.status !== STATUS_NONE)) return undefined;
    const document = reply.status === STATUS_OK ? (reply.body as WorstDocument) : undefined;
    const revision = document?.revision ?? 0;
    recorder.record({
      key: DEPLOYMENT_KEY,
      kind: 'read',
      client,
      order: `read ${++orders}`,
      start,
      end: world.now(),
      answer: 'ok',
      base: 0,
      revision,
      hash: document && hashOf(document),
    });
    if (revision >= known(client).revision) knowns.set(client, { revision, document });
    return revision;
  }

  function drawNaming(name: string): Order {
    const model = MODELS[Math.floor(dice.next() * MODELS.length)];
    const revision = (highestNamed.get(model) ?? 0) + 1 + Math.floor(dice.next() * 2);
    highestNamed.set(model, revision);
    return namingOf(name, model, revision);
  }

  function drawOrder(client: string): Order {
    const name = `${client} ${++orders}`;
    if (dice.next() < NAMING_SHARE) return drawNaming(name);
    const now = known(client);
    const isStale = dice.next() < STALE_SHARE;
    return drawChange(name, isStale ? { revision: Math.max(0, now.revision - 1) } : now, dice);
  }

  async function turn(client: string): Promise<void> {
    if (dice.next() < READ_SHARE) {
      await read(client, anyMember());
      return;
    }
    const order = drawOrder(client);
    const fate = await insist(client, order, ORDER_MOST_MS);
    const isKnown = known(client).revision >= order.revision;
    if (fate.isClear && dice.next() < AGAIN_SHARE) await attempt(client, order, anyMember());
    if (order.key === DEPLOYMENT_KEY && !isKnown) await read(client, anyMember());
  }

  function isStorming(): boolean {
    return world.now() % PHASE_MS < STORM_MS;
  }

  async function work(client: string, until: number): Promise<void> {
    while (world.now() < until) {
      await turn(client);
      await ports.clock.sleep(dice.next() * (isStorming() ? 80 : 2500));
    }
  }

  async function run(until: number): Promise<void> {
    const workers: Promise<void>[] = [];
    for (const client of OPERATORS)
      for (let i = 0; i < CALLS_AT_ONCE; i++) workers.push(work(client, until));
    await Promise.all(workers);
  }

  return { fates, insist, read, run, known };
}
