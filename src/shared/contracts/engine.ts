import { Left, Right } from 'purify-ts';
import { failure, makeError, errorOrValue, Result } from '../errors/errors';
import { requestJson, readToEnd, makeLineReader } from '../util/http-json';
import { parseJson } from '../util/try-catch';
import { shortHash } from '../util/hashing';
import { Ports } from '../ports/ports';
import { Network } from '../ports/network';

/** A part of a prompt: its hash takes in all before it. */
export interface PromptBlock {
  hash: string;
  size: number;
}

/** What an engine tells of one part. */
export interface BlockEvent {
  kind: 'stored' | 'removed' | 'cleared';
  model: string;
  weights: string;
  salt: string;
  parent: string;
  hash: string;
  size: number;
}

/** A numbered batch of part events. */
export interface EventBatch {
  seq: number;
  events: BlockEvent[];
}

/** The return of `GET /api/kv-events`. */
export interface EventsReply {
  epoch: string;
  lost: boolean;
  last: number;
  batches: EventBatch[];
}

/** The return of `GET /api/status`. */
export interface EngineStatus {
  id: string;
  model: string;
  weights: string;
  running: number;
  waiting: number;
  batch: number;
  queue: number;
  unreadTokens: number;
  leaving: boolean;
}

/** What an engine is asked to generate. */
export interface GenerateRequest {
  request: string;
  tenant: string;
  model: string;
  weights: string;
  salt: string;
  parts: PromptBlock[];
  maxTokens: number;
  urgent: boolean;
  repeatable: boolean;
  fetch?: { at: string; hashes: string[] };
}

/** One numbered piece, or the last line; each names the request it is of. */
export interface EngineLine {
  request?: string;
  n?: number;
  text?: string;
  done?: boolean;
  count?: number;
  reused?: PromptBlock[];
  read?: number;
  prefillMs?: number;
  fetched?: { tokens: number; ms: number };
}

/** An order to an engine, under the fence of the duty that gives it. */
export interface EngineOrder {
  epoch: number;
  by: string;
  weights: string;
}

/** The pieces of one generate call. */
export interface GenerationStream {
  next: () => Promise<Result<EngineLine>>;
  cancel: () => void;
}

const MOST_PART = 256;

/** The documented tokeniser: words and marks to 31-bit numbers, a blank line to 0. */
export function tokenise(text: string): number[] {
  const out: number[] = [];
  for (const w of text.match(/\n\s*\n|[\p{L}\p{N}_]+|[^\s\p{L}\p{N}_]/gu) ?? [])
    out.push(w.startsWith('\n') ? 0 : parseInt(shortHash(w).slice(0, 8), 16) & 0x7fffffff || 1);
  return out;
}

/** Splits tokens to parts: a part ends after a 0 or at 256 tokens. */
export function splitIntoBlocks(model: string, tokens: readonly number[]): PromptBlock[] {
  const parts: PromptBlock[] = [];
  let parent = model;
  let held: number[] = [];
  for (let i = 0; i < tokens.length; i++) {
    held.push(tokens[i]);
    if (tokens[i] !== 0 && held.length < MOST_PART && i < tokens.length - 1) continue;
    parent = shortHash(`${parent}|${held.join(',')}`);
    parts.push({ hash: parent, size: held.length });
    held = [];
  }
  return parts;
}

/** Starts generating; a left side of sort `refused` never ran. */
export async function generate(
  ports: Ports,
  at: string,
  q: GenerateRequest,
  within: number,
  gone: AbortSignal,
): Promise<Result<GenerationStream>> {
  const [f, r] = errorOrValue(
    await ports.network.request({
      address: at,
      method: 'POST',
      path: '/api/generate',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(q),
      timeoutMs: within,
      signal: gone,
    }),
  );
  if (f) return Left({ ...f, step: 'generate' });
  if (r.status !== 200) {
    const [, text] = errorOrValue(await r.nextChunk());
    r.cancel();
    const never = [400, 409, 429, 503].includes(r.status);
    return failure(
      'generate',
      at,
      text ?? `status ${r.status}`,
      never ? 'refused' : 'unknown',
      `status-${r.status}`,
    );
  }
  const { cancel } = r;
  const line = makeLineReader(r.nextChunk, at);
  async function next(): Promise<Result<EngineLine>> {
    const [g, text] = errorOrValue(await line());
    if (g) return Left(g);
    if (text === undefined)
      return failure('read piece', at, 'ended without its last line', 'unknown', 'broken');
    const [h, v] = errorOrValue(parseJson(text, 'read piece', at));
    if (h) return Left({ ...h, certainty: 'unknown' });
    if ((v as EngineLine | null)?.done) void readToEnd(line, cancel);
    return Right(v as EngineLine);
  }
  return Right({ next, cancel });
}

/** Pulls the cache events after a number; the far side holds the call until there are some. */
export async function pullEvents(
  wire: Network,
  at: string,
  epoch: string,
  after: number,
  wait: number,
  gone: AbortSignal,
): Promise<Result<EventsReply>> {
  const path = `/api/kv-events?after=${after}&epoch=${encodeURIComponent(epoch)}&wait=${Math.round(wait)}`;
  const [f, r] = errorOrValue(
    await requestJson(wire, {
      address: at,
      method: 'GET',
      path,
      timeoutMs: wait * 2,
      signal: gone,
    }),
  );
  if (f) return Left(f);
  const b = r.body as Partial<EventsReply> | undefined;
  if (r.status !== 200 || typeof b?.epoch !== 'string' || !Array.isArray(b.batches))
    return Left(makeError('pull events', at, `status ${r.status}`, 'failed', 'bad-return'));
  return Right(b as EventsReply);
}

/** Asks an engine how it stands. */
export async function engineStatus(
  wire: Network,
  at: string,
  within: number,
): Promise<Result<EngineStatus>> {
  const [f, r] = errorOrValue(
    await requestJson(wire, { address: at, method: 'GET', path: '/api/status', timeoutMs: within }),
  );
  if (f) return Left(f);
  if (r.status !== 200) return failure('engine status', at, `status ${r.status}`);
  return Right(r.body as EngineStatus);
}

/** Gives an engine an order; it refuses one of a lower fence. */
export async function sendEngineOrder(
  wire: Network,
  at: string,
  order: EngineOrder,
  within: number,
): Promise<Result<void>> {
  const [f, r] = errorOrValue(
    await requestJson(wire, {
      address: at,
      method: 'POST',
      path: '/api/order',
      body: JSON.stringify(order),
      timeoutMs: within,
    }),
  );
  if (f) return Left(f);
  return r.status === 200
    ? Right(undefined)
    : failure('give order', at, `status ${r.status}`, 'refused', `status-${r.status}`);
}
