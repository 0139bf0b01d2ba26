import { Right } from 'purify-ts';
import { forwardChange } from '../../src/control/configuration/change-forwarding';
import { makeDeploymentOperation } from '../../src/control/configuration/deployment-change';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { PeerChannel } from '../../src/shared/transport/peer-channel';
import { failure, Result } from '../../src/shared/errors/errors';
import { Clock } from '../../src/shared/ports/clock';
import { defaultSettings } from '../../src/shared/settings/settings';
import { drawnDocument } from '../../tools/sim/news/rig';

const OWNER = '10.1.0.2:7000';
const BOUNDS = timeLimitsOf(defaultSettings());
const MADE = { place: { epoch: 1, by: 'owner', number: 1 }, inEffect: false };

/** How an owner behaves, and what it was asked. */
interface FakeOwner {
  /** Makes the change at last. */
  make: () => void;
  /** How long it is waited for, before another takes its place: until it is probed, and for the answer to that. */
  silentMs: number;
  /** How long the change itself may take. */
  withinMs: number;
  outcome: Promise<Result<unknown>>;
}

/** Hands an order of so many routes over to an owner that does not answer by itself. */
function handed(routes: number, isAlive: boolean): FakeOwner {
  const fake: FakeOwner = { make, silentMs: 0, withinMs: 0, outcome: undefined as never };
  let answer: (reply: Result<unknown>) => void;
  function make(): void {
    answer(Right(MADE));
  }
  function onAnswer(done: (reply: Result<unknown>) => void): void {
    answer = done;
  }
  const change = new Promise<Result<unknown>>(onAnswer);
  function sleep(ms: number): Promise<void> {
    fake.silentMs += ms;
    return Promise.resolve();
  }
  async function ask(type: string, _body: unknown, within: number): Promise<Result<unknown>> {
    if (type !== 'order-under-way') {
      fake.withinMs = within;
      return change;
    }
    fake.silentMs += within;
    return isAlive ? Right(true) : failure(type, OWNER, 'no return in time', 'unknown', 'timeout');
  }
  const parts = { clock: { sleep } as unknown as Clock, timeLimits: BOUNDS };
  const owner = { peer: OWNER, request: ask } as unknown as PeerChannel;
  const order = makeDeploymentOperation(0, 'replace', drawnDocument(1, routes));
  fake.outcome = forwardChange(parts, owner, order, 'an order');
  return fake;
}

async function waitedFor(routes: number): Promise<number> {
  const fake = handed(routes, false);
  expect((await fake.outcome).extract()).toMatchObject({ code: 'timeout', certainty: 'unknown' });
  return fake.silentMs;
}

async function byItsLength(): Promise<void> {
  expect(await waitedFor(0)).toBeLessThan(BOUNDS.forwardTimeoutMs * 1.05);
  const many = await waitedFor(2800);
  expect(many).toBeGreaterThan(BOUNDS.forwardTimeoutMs * 1.5);
  expect(await waitedFor(5600)).toBeGreaterThan(many * 1.3);
}

/** One that works on the order is waited for, within a time. */
async function busyOwner(): Promise<void> {
  const fake = handed(2800, true);
  let isOver = false;
  void fake.outcome.then(over);
  function over(): void {
    isOver = true;
  }
  for (let turn = 0; turn < 20; turn++) await Promise.resolve();
  expect(isOver).toBe(false);
  fake.make();
  expect((await fake.outcome).extract()).toEqual(MADE);
  expect(fake.withinMs).toBeGreaterThan(fake.silentMs);
  expect(fake.withinMs).toBeLessThan(defaultSettings().ackMs * 0.75);
}

test('an owner is given more time for a longer order before another takes its place', byItsLength);
test('an owner that works on an order is waited for', busyOwner);
