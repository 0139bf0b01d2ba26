/**
 * The messages between our processes are those that were recorded at an earlier commit: each is read and written alike,
 * its handler is given all its fields, and the present code sends the same.
 */

import { execFile } from 'node:child_process';
import { mkdtempSync, readdirSync, readFileSync, rmSync } from 'node:fs';
import net from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { Right } from 'purify-ts';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { LeaseRegistry } from '../../src/control/leases/lease-registry';
import { PeerHandlers } from '../../src/control/peer-handlers';
import { ReadHandlers } from '../../src/control/consensus/linearizable-read';
import { ReplicaHandlers } from '../../src/control/consensus/replica-sync';
import { MembershipRequests } from '../../src/control/membership/membership-requests';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { Tallies } from '../../src/control/tallies/tallies';
import { WeightsMessages } from '../../src/data/gateway/weights-messages';
import { IndexHandlers } from '../../src/index/index-handlers';
import { OverlapHandlers } from '../../src/index/overlap-handlers';
import { SourceContentHandlers } from '../../src/index/source-repair';
import { HelloHandlers } from '../../src/shared/transport/hello-handlers';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { FollowerHandlers } from '../../src/shared/replication/follower-handlers';
import { CompressedRequestHandlers } from '../../src/shared/transport/compressed-requests';
import { Message } from '../../src/shared/ports/network';
import { makeSystemNetwork } from '../../src/shared/system/tcp-network';
import { RecordedExchange, RecordedType, unpackMessage } from '../../tools/compatibility/recording';
import { readRecording } from '../../tools/compatibility/stored-recording';

const ROOT = join(__dirname, '..', '..', '..');
const SOURCES = join(ROOT, 'src');
const RECORDER = join(__dirname, '..', '..', 'tools', 'compatibility', 'record-wire.js');
/** Each type of message is in the recording of the time at which it came. */
const RECORDINGS = ['wire-0e33e2c', 'wire-d3bc73a'];
const RECORDED = RECORDINGS.flatMap(recordedAt).sort(byType);
/** Recorded for its answer: no process knows it. */
const UNKNOWN = 'no-such-type';
/** All classes whose methods take messages. */
const EDGES: readonly { prototype: object }[] = [
  HelloHandlers,
  CompressedRequestHandlers,
  FollowerHandlers,
  Acceptor,
  PeerHandlers,
  LeaseRegistry,
  ReadHandlers,
  ReplicaHandlers,
  MembershipRequests,
  IdempotencyVotes,
  Tallies,
  WeightsMessages,
  IndexHandlers,
  OverlapHandlers,
  SourceContentHandlers,
];
/** Compressed bytes, and their hashes and sizes, may differ between machines. */
const COMPRESSED = /: bytes$|\.sum: /;

function recordedAt(folder: string): RecordedType[] {
  return readRecording(join(ROOT, 'test', 'fixtures', folder));
}

function byType(first: RecordedType, second: RecordedType): number {
  return first.type < second.type ? -1 : 1;
}

function isKnown(one: RecordedType): boolean {
  return one.type !== UNKNOWN;
}

function typeOf(one: RecordedType): string {
  return one.type;
}

/** The types that handlers are marked with in the sources. */
function typesInSources(): string[] {
  const types = new Set<string>();
  for (const file of readdirSync(SOURCES, { recursive: true, encoding: 'utf8' })) {
    if (!file.endsWith('.ts')) continue;
    const text = readFileSync(join(SOURCES, file), 'utf8');
    const named = [...text.matchAll(/@messageHandler\(\s*'([^']+)'/g)];
    expect({ file, marks: named.length }).toEqual({
      file,
      marks: text.split('@messageHandler(').length - 1,
    });
    for (const [, type] of named) types.add(type);
  }
  return [...types].sort();
}

function everyTypeIsRecorded(): void {
  expect(RECORDED.filter(isKnown).map(typeOf).sort()).toEqual(typesInSources());
  for (const one of RECORDED) expect([one.type, one.exchanges.length]).not.toEqual([one.type, 0]);
}

function bytesOf(base64: string): Buffer {
  return Buffer.from(base64, 'base64');
}

/** All messages that were recorded, in base64. */
function allMessages(): string[] {
  const all: string[] = [];
  for (const { exchanges } of RECORDED)
    for (const { request, answer } of exchanges) all.push(request, ...(answer ? [answer] : []));
  return all;
}

/** Sends bytes to our own connection, which sends each message that it reads; gives the bytes that came back. */
async function echoed(messages: readonly Buffer[]): Promise<Buffer[]> {
  const server = net.createServer(taken);
  const back: Buffer[] = [];
  let finish: () => void = nothing;
  function nothing(): void {
    // does nothing on purpose
  }
  function wait(done: () => void): void {
    finish = done;
  }
  const over = new Promise<void>(wait);
  function taken(socket: net.Socket): void {
    let got = Buffer.alloc(0);
    sendNext();
    socket.on('data', data);
    function sendNext(): void {
      socket.write(messages[back.length]);
    }
    function data(bytes: Buffer): void {
      got = Buffer.concat([got, bytes]);
      if (got.length < messages[back.length].length) return;
      back.push(got);
      got = Buffer.alloc(0);
      if (back.length < messages.length) sendNext();
      else finish();
    }
  }
  function listen(done: () => void): void {
    server.listen(0, '127.0.0.1', done);
  }
  await new Promise<void>(listen);
  const { port } = server.address() as net.AddressInfo;
  const dialled = await makeSystemNetwork(1000).connect(`127.0.0.1:${port}`, 1000);
  const connection = dialled.unsafeCoerce();
  function sendBack(message: Message): void {
    connection.send(message);
  }
  void connection.messages.observe(sendBack);
  await over;
  connection.close();
  server.close();
  return back;
}

async function sameBytesBack(): Promise<void> {
  const messages = allMessages().map(bytesOf);
  const back = await echoed(messages);
  for (const [i, bytes] of messages.entries())
    expect(back[i].toString('base64')).toBe(bytes.toString('base64'));
}

/** Gives a message to the method of a class that takes it, in whose place what it was given is noted. */
async function given(edge: { prototype: object }, type: string, body: unknown): Promise<unknown> {
  function get(target: object, name: string): unknown {
    return name === 'constructor' ? Reflect.get(target, name) : note;
  }
  function note(taken: unknown): Promise<unknown> {
    return Promise.resolve(Right({ taken }));
  }
  const stand = new Proxy(Object.create(edge.prototype) as object, { get });
  const outcome = await dispatch([stand], type, body, undefined, 'peer');
  return outcome.extract();
}

function isDefined([, value]: [string, unknown]): boolean {
  return value !== undefined && value !== null;
}

/** The fields of a body that have a value. */
function fieldsOf(body: unknown): unknown {
  if (typeof body !== 'object' || body === null || Array.isArray(body)) return body;
  return Object.fromEntries(Object.entries(body).filter(isDefined));
}

/** Whether a process refused the request for its form. */
function isRefusedForm({ fault }: RecordedExchange): boolean {
  return fault === 'bad-shape';
}

async function handlersGetAllFields(): Promise<void> {
  for (const { type, exchanges } of RECORDED.filter(isKnown)) {
    let takers = 0;
    for (const edge of EDGES) {
      const answers: unknown[] = [];
      const expected: unknown[] = [];
      for (const one of exchanges) {
        const { body } = unpackMessage(bytesOf(one.request));
        const answer = (await given(edge, type, body)) as { taken?: unknown; code?: string };
        const wanted = isRefusedForm(one) ? { code: 'bad-shape' } : { taken: fieldsOf(body) };
        answers.push(isRefusedForm(one) ? { code: answer.code } : readBack(answer));
        expected.push(wanted);
      }
      if (answers.some(isNotKnown)) continue;
      takers++;
      expect({ type, answers }).toEqual({ type, answers: expected });
    }
    expect({ type, isTaken: takers > 0 }).toEqual({ type, isTaken: true });
  }
}

function readBack(answer: { taken?: unknown; code?: string }): unknown {
  return 'taken' in answer ? { taken: fieldsOf(answer.taken) } : answer;
}

function isNotKnown(answer: unknown): boolean {
  return (answer as { code?: string }).code === 'not-known';
}

/** Records the scenarios anew, in a process of its own, as the recorder is run by hand. */
async function record(): Promise<RecordedType[]> {
  const folder = mkdtempSync(join(tmpdir(), 'wire-'));
  await promisify(execFile)(process.execPath, [RECORDER, folder]);
  const types = readRecording(folder);
  rmSync(folder, { recursive: true });
  return types;
}

let recording: Promise<RecordedType[]> | undefined;

/** What the present code sends in the scenarios that were recorded. */
function recordedNow(): Promise<RecordedType[]> {
  recording ??= record();
  return recording;
}

function fieldsOfType(one: RecordedType): object {
  const { type, requestFields, answerFields, faults } = one;
  return { type, requestFields, answerFields, faults };
}

async function sameFieldsSent(): Promise<void> {
  expect((await recordedNow()).map(fieldsOfType)).toEqual(RECORDED.map(fieldsOfType));
}

function isCompressed(path: string): boolean {
  return COMPRESSED.test(path);
}

/** Whether a type's bytes are the same on every machine. */
function isPlain(one: RecordedType): boolean {
  return ![...one.requestFields, ...one.answerFields].some(isCompressed);
}

function exchangesOf({ type, exchanges }: RecordedType): object {
  return { type, exchanges };
}

async function sameBytesSent(): Promise<void> {
  const now = (await recordedNow()).filter(isPlain).map(exchangesOf);
  const before = RECORDED.filter(isPlain).map(exchangesOf);
  expect(before.length).toBeGreaterThan(RECORDED.length / 2);
  expect(now).toEqual(before);
}

describe('messages recorded at 0e33e2c, and types that came later at d3bc73a', all);
function all(): void {
  test('are of every type that the sources handle', everyTypeIsRecorded);
  test('are read and written with the same bytes', sameBytesBack);
  test('come to their handlers with all their fields', handlersGetAllFields);
  test('have the fields that the present code sends and answers', sameFieldsSent);
  test('have the bytes that the present code sends and answers', sameBytesSent);
}
