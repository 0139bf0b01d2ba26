import { Left, Right } from 'purify-ts';
import { makeChangeSender, ChangeSender } from '../../src/control/leases/change-sender';
import { makeVersionHistory } from '../../src/control/leases/version-history';
import { AppliedEntry, ChangeMessage, targetOf } from '../../src/shared/replication/change-message';
import { PeerChannel } from '../../src/shared/transport/peer-channel';
import { makeError, Result } from '../../src/shared/errors/errors';
import { Logger } from '../../src/shared/ports/logger';
import { VersionedValue, Version } from '../../src/shared/state/versions';

/** One follower whose answers are given by hand. */
interface Follower {
  sender: ChangeSender;
  applied: Map<string, Version>;
  /** What was sent, oldest first. */
  sent: { type: string; body: unknown }[];
  learn: (number: number) => void;
  /** Answers the oldest message that waits for its answer. */
  answer: (outcome: Result<unknown>) => Promise<void>;
}

const KEY = 'deployment';

function versionOf(number: number): VersionedValue {
  const items = Array.from({ length: 100 }, itemOf);
  function itemOf(_: unknown, i: number): object {
    return { name: `route-${i}`, service: i === number % 100 ? `service-${number}` : 'engines' };
  }
  return { key: KEY, epoch: 1, by: 'core', number, value: items };
}

function makeFollower(): Follower {
  const history = makeVersionHistory();
  const applied = new Map<string, Version>();
  const sent: Follower['sent'] = [];
  const waiting: ((outcome: Result<unknown>) => void)[] = [];
  let newest: VersionedValue | undefined;
  function ask(type: string, body: unknown): Promise<Result<unknown>> {
    sent.push({ type, body });
    function wait(done: (outcome: Result<unknown>) => void): void {
      waiting.push(done);
    }
    return new Promise(wait);
  }
  function nothing(): void {
    // does nothing on purpose
  }
  function newestOf(): VersionedValue | undefined {
    return newest;
  }
  function messageFor(change: VersionedValue, held: Version | undefined): ChangeMessage {
    return history.messageFor(change, held, true);
  }
  const sender = makeChangeSender({
    channel: { request: ask } as unknown as PeerChannel,
    name: 'edge-1',
    timeoutMs: 1000,
    logger: { warn: nothing } as unknown as Logger,
    applied,
    newest: newestOf,
    messageFor,
    onApplied: nothing,
  });
  function learn(number: number): void {
    newest = versionOf(number);
    history.note(newest);
    sender.send(KEY);
  }
  async function answer(outcome: Result<unknown>): Promise<void> {
    waiting.shift()!(outcome);
    for (let i = 0; i < 20; i++) await Promise.resolve();
  }
  return { sender, applied, sent, learn, answer };
}

function read(...lacking: AppliedEntry[]): Result<unknown> {
  return Right({ lacking });
}

function messageOf(follower: Follower, i: number): ChangeMessage {
  return (follower.sent[i].body as ChangeMessage[])[0];
}

/** While a message is under way, later versions wait by their key, and go as one difference. */
async function oneAtATime(): Promise<void> {
  const follower = makeFollower();
  follower.learn(1);
  for (let number = 2; number <= 40; number++) follower.learn(number);
  expect(follower.sent).toHaveLength(1);
  await follower.answer(read());
  expect(follower.sent).toHaveLength(2);
  expect(messageOf(follower, 1).kind).toBe('delta');
  expect(targetOf(messageOf(follower, 1)).number).toBe(40);
  await follower.answer(read());
  expect(follower.sent).toHaveLength(2);
  expect(follower.applied.get(KEY)?.number).toBe(40);
}

/** A follower that moved on by another controller is sent the difference to what it holds. */
async function fromWhatIsHeld(): Promise<void> {
  const follower = makeFollower();
  for (let number = 1; number <= 5; number++) follower.learn(number);
  await follower.answer(read([KEY, 1, 'core', 4]));
  const message = messageOf(follower, 1);
  expect(message).toMatchObject({ kind: 'delta', delta: { number: 5, base: { number: 4 } } });
}

/** Where no answer comes, nothing more is sent until the next change: renewals tell what is missing. */
async function silentIsLeft(): Promise<void> {
  const follower = makeFollower();
  follower.learn(1);
  follower.learn(2);
  await follower.answer(Left(makeError('changes', 'edge-1', 'no return in time')));
  expect(follower.sent).toHaveLength(1);
  follower.learn(3);
  expect(follower.sent).toHaveLength(2);
}

/** A follower is asked before it is sent what another controller may have brought. */
async function asksFirst(): Promise<void> {
  const follower = makeFollower();
  follower.learn(1);
  await follower.answer(read());
  follower.learn(2);
  await follower.answer(Left(makeError('changes', 'edge-1', 'no return in time')));
  follower.sender.confirm(KEY);
  expect(follower.sent[2]).toMatchObject({ type: 'has', body: { key: KEY, number: 2 } });
  await follower.answer(Right(true));
  expect(follower.sent).toHaveLength(3);
  expect(follower.applied.get(KEY)?.number).toBe(2);
}

test('one message is under way; what changes meanwhile goes as one difference', oneAtATime);
test('a difference starts from what the follower tells that it holds', fromWhatIsHeld);
test('a follower that does not answer is left to its next renewal', silentIsLeft);
test('a follower that has a change already is not sent it', asksFirst);
