/**
 * The forms in which clients that don't behave send requests. Each bounds what it sends.
 */

import { setTimeout as sleep } from 'node:timers/promises';
import { CrowdClient } from './client';

/** What one client of a crowd does; comes once it has sent all that it sends, or its connection has ended. */
export interface CrowdForm {
  /** Whether its clients read what they are answered. */
  reads: boolean;
  run: (client: CrowdClient) => Promise<void>;
}

const LARGE_CHUNK_BYTES = 65536;
/** The share of the limit after which a body stops just short of it. */
const STOPPED_RATIO = 0.98;
/** One-byte chunks that a client sends in a write of its own each. */
const SINGLE_WRITES = 8000;
/** A client that trickles sends one byte in each of these pauses, and gives up after so many bytes. */
const TRICKLE_MS = 50;
const TRICKLED_BYTES = 1200;
/** The length that a body far over the limit announces. */
const HUGE_BYTES = 1e9;
/** How many times the limit a client sends that goes on for ever. */
const ENDLESS_RATIO = 16;
const EXTENSION_BYTES = 15000;
const EXTENDED_CHUNKS = 200;
const PIPELINED_REQUESTS = 1500;
/** The share of the usual limit of heads that an unfinished head fills. */
const UNFINISHED_HEAD_BYTES = 15000;

const CHUNKED = ['Transfer-Encoding: chunked'];
const LARGE_CHUNK = chunkOf(Buffer.alloc(LARGE_CHUNK_BYTES, 'x'));
const TINY_CHUNK = chunkOf(Buffer.from('x'));
const TINY_CHUNKS_PER_WRITE = 10000;
const TINY_CHUNKS = Buffer.alloc(TINY_CHUNK.length * TINY_CHUNKS_PER_WRITE, TINY_CHUNK);

/** The bytes of one chunk of a body. */
export function chunkOf(bytes: Uint8Array): Buffer {
  return Buffer.concat([
    Buffer.from(`${bytes.length.toString(16)}\r\n`),
    bytes,
    Buffer.from('\r\n'),
  ]);
}

/** Sends the same bytes again and again, until the connection ends. */
async function repeat(client: CrowdClient, bytes: Uint8Array, times: number): Promise<boolean> {
  for (let sent = 0; sent < times; sent++) if (!(await client.write(bytes))) return false;
  return true;
}

async function sendLargeChunks(client: CrowdClient): Promise<boolean> {
  await client.write(client.head(CHUNKED));
  const count = Math.floor((client.target.maxBodyBytes * STOPPED_RATIO) / LARGE_CHUNK_BYTES);
  return repeat(client, LARGE_CHUNK, count);
}

/** Bodies in large chunks that stop just short of the limit. */
async function stopShort(client: CrowdClient): Promise<void> {
  await sendLargeChunks(client);
}

/** The same, and then a byte now and then. */
async function trickleOn(client: CrowdClient): Promise<void> {
  if (!(await sendLargeChunks(client))) return;
  for (let sent = 0; sent < TRICKLED_BYTES; sent++) {
    if (!(await client.write(TINY_CHUNK))) return;
    await sleep(TRICKLE_MS);
  }
}

/** Bodies in chunks of one byte, many to a packet, that stop just short of the limit. */
async function sendTinyChunks(client: CrowdClient): Promise<void> {
  await client.write(client.head(CHUNKED));
  const bytes = client.target.maxBodyBytes * STOPPED_RATIO;
  await repeat(client, TINY_CHUNKS, Math.floor(bytes / TINY_CHUNKS_PER_WRITE));
}

/** Bodies in chunks of one byte, each in a write of its own. */
async function sendSingleBytes(client: CrowdClient): Promise<void> {
  await client.write(client.head(CHUNKED));
  await repeat(client, TINY_CHUNK, SINGLE_WRITES);
}

/** Bodies that are announced as far over the limit. */
async function announceHuge(client: CrowdClient): Promise<void> {
  await client.write(client.head([`Content-Length: ${HUGE_BYTES}`]));
  const times = (client.target.maxBodyBytes * ENDLESS_RATIO) / LARGE_CHUNK_BYTES;
  await repeat(client, LARGE_CHUNK, times);
}

/** Bodies without an end. */
async function sendEndlessly(client: CrowdClient): Promise<void> {
  await client.write(client.head(CHUNKED));
  const times = (client.target.maxBodyBytes * ENDLESS_RATIO) / LARGE_CHUNK_BYTES;
  await repeat(client, LARGE_CHUNK, times);
}

/** Bodies of an announced length just under the limit, but for their last byte. */
async function withholdLastByte(client: CrowdClient): Promise<void> {
  const length = client.target.maxBodyBytes;
  await client.write(client.head([`Content-Length: ${length}`]));
  const whole = Math.floor((length - 1) / LARGE_CHUNK_BYTES);
  const bytes = Buffer.alloc(LARGE_CHUNK_BYTES, 'x');
  if (!(await repeat(client, bytes, whole))) return;
  await client.write(bytes.subarray(0, length - 1 - whole * LARGE_CHUNK_BYTES));
}

/** Chunks of one byte with long extensions. */
async function extendChunks(client: CrowdClient): Promise<void> {
  await client.write(client.head(CHUNKED));
  const chunk = Buffer.from(`1;${'e'.repeat(EXTENSION_BYTES)}\r\nx\r\n`);
  await repeat(client, chunk, EXTENDED_CHUNKS);
}

/** A short body, and trailers without an end. */
async function sendTrailers(client: CrowdClient): Promise<void> {
  await client.write(client.head(CHUNKED));
  await client.write('1\r\nx\r\n0\r\n');
  const trailers = Buffer.from('X-Trailer: value\r\n'.repeat(1000));
  await repeat(client, trailers, (client.target.maxBodyBytes * ENDLESS_RATIO) / trailers.length);
}

/** A head that stops just short of its end. */
async function stopInHead(client: CrowdClient): Promise<void> {
  const head = client.openHead();
  await client.write(head + headerLines(UNFINISHED_HEAD_BYTES - head.length));
}

/** A head without an end. */
async function sendHeadEndlessly(client: CrowdClient): Promise<void> {
  await client.write(client.openHead());
  const lines = Buffer.from(headerLines(LARGE_CHUNK_BYTES));
  await repeat(client, lines, client.target.maxBodyBytes / LARGE_CHUNK_BYTES);
}

function headerLines(bytes: number): string {
  const line = 'X-Header: value\r\n';
  return line.repeat(Math.max(0, Math.floor(bytes / line.length)));
}

/** Many small requests on one connection, whose answers nobody reads. */
async function pipeline(client: CrowdClient): Promise<void> {
  let heads = '';
  for (let sent = 0; sent < PIPELINED_REQUESTS; sent++) heads += client.head(['Content-Length: 0']);
  await client.write(heads);
}

/** One request whose answer nobody reads. */
async function leaveUnread(client: CrowdClient): Promise<void> {
  await client.write(client.head(['Content-Length: 0']));
}

function stayIdle(): Promise<void> {
  return Promise.resolve();
}

/** A MessagePack binary that announces its 4 GB, and is sent as far as a client that goes on for ever sends. */
async function announceMessage(client: CrowdClient): Promise<void> {
  await client.write(Buffer.from([0xc6, 0xff, 0xff, 0xff, 0xff]));
  const bytes = Buffer.alloc(LARGE_CHUNK_BYTES, 'x');
  await repeat(client, bytes, (client.target.maxBodyBytes * ENDLESS_RATIO) / LARGE_CHUNK_BYTES);
}

/** Complete messages of one byte each, as many as there is room for in the largest body. */
async function sendTinyMessages(client: CrowdClient): Promise<void> {
  const messages = Buffer.alloc(LARGE_CHUNK_BYTES, 1);
  await repeat(client, messages, client.target.maxBodyBytes / LARGE_CHUNK_BYTES);
}

function readingForm(run: CrowdForm['run']): CrowdForm {
  return { reads: true, run };
}

function unreadForm(run: CrowdForm['run']): CrowdForm {
  return { reads: false, run };
}

/** All forms, by name. */
export const CROWD_FORMS = {
  'large chunks that stop short': readingForm(stopShort),
  'large chunks that trickle on': readingForm(trickleOn),
  'chunks of one byte, many to a packet': readingForm(sendTinyChunks),
  'chunks of one byte, one a write': readingForm(sendSingleBytes),
  'announced far over the limit': readingForm(announceHuge),
  'without an end': readingForm(sendEndlessly),
  'announced, but for the last byte': readingForm(withholdLastByte),
  'long chunk extensions': readingForm(extendChunks),
  'endless trailers': readingForm(sendTrailers),
  'heads that stop': readingForm(stopInHead),
  'endless heads': readingForm(sendHeadEndlessly),
  'pipelined requests, unread': unreadForm(pipeline),
  'unread answers': unreadForm(leaveUnread),
  'connections that send nothing': readingForm(stayIdle),
  'a message announced as 4 GB': readingForm(announceMessage),
  'messages of one byte': readingForm(sendTinyMessages),
};

/** The name of a form. */
export type CrowdFormName = keyof typeof CROWD_FORMS;
