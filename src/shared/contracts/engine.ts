import { Left, Right } from 'purify-ts';
import { bad, makeFault, open, Outcome } from '../errors/errors';
import { askJson, finishReply, lineReader, parseJson, shortHash } from '../util/lib';
import { Ports, Wire } from '../ports/ports';

/** A part of a prompt: its hash takes in all before it. */
export interface Part {
  hash: string;
  size: number;
}

/** What an engine tells of one part. */
export interface PartEvent {
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
  events: PartEvent[];
}

/** The return of `GET /api/kv-events`. */
export interface EventsAnswer {
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
export interface GenerateAsk {
  request: string;
  tenant: string;
  model: string;
  weights: string;
  salt: string;
  parts: Part[];
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
  reused?: Part[];
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
export interface Generating {
  next(): Promise<Outcome<EngineLine>>;
  cancel(): void;
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
export function splitParts(model: string, tokens: readonly number[]): Part[] {
  const parts: Part[] = [];
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
  q: GenerateAsk,
  within: number,
  gone: AbortSignal,
): Promise<Outcome<Generating>> {
  const [f, r] = open(
    await ports.wire.ask({
      at,
      method: 'POST',
      path: '/api/generate',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(q),
      within,
      gone,
    }),
  );
  if (f) return Left({ ...f, step: 'generate' });
  if (r.status !== 200) {
    const [, text] = open(await r.next());
    r.cancel();
    const never = [400, 409, 429, 503].includes(r.status);
    return bad(
      'generate',
      at,
      text ?? `status ${r.status}`,
      never ? 'refused' : 'unknown',
      `status-${r.status}`,
    );
  }
  const { cancel } = r;
  const line = lineReader(r.next, at);
  async function next(): Promise<Outcome<EngineLine>> {
    const [g, text] = open(await line());
    if (g) return Left(g);
    if (text === undefined)
      return bad('read piece', at, 'ended without its last line', 'unknown', 'broken');
    const [h, v] = open(parseJson(text, 'read piece', at));
    if (h) return Left({ ...h, sort: 'unknown' });
    if ((v as EngineLine | null)?.done) void finishReply(line, cancel);
    return Right(v as EngineLine);
  }
  return Right({ next, cancel });
}

/** Pulls the cache events after a number; the far side holds the call until there are some. */
export async function pullEvents(
  wire: Wire,
  at: string,
  epoch: string,
  after: number,
  wait: number,
  gone: AbortSignal,
): Promise<Outcome<EventsAnswer>> {
  const path = `/api/kv-events?after=${after}&epoch=${encodeURIComponent(epoch)}&wait=${Math.round(wait)}`;
  const [f, r] = open(await askJson(wire, { at, method: 'GET', path, within: wait * 2, gone }));
  if (f) return Left(f);
  const b = r.body as Partial<EventsAnswer> | undefined;
  if (r.status !== 200 || typeof b?.epoch !== 'string' || !Array.isArray(b.batches))
    return Left(makeFault('pull events', at, `status ${r.status}`, 'failed', 'bad-return'));
  return Right(b as EventsAnswer);
}

/** Asks an engine how it stands. */
export async function engineStatus(
  wire: Wire,
  at: string,
  within: number,
): Promise<Outcome<EngineStatus>> {
  const [f, r] = open(await askJson(wire, { at, method: 'GET', path: '/api/status', within }));
  if (f) return Left(f);
  if (r.status !== 200) return bad('engine status', at, `status ${r.status}`);
  return Right(r.body as EngineStatus);
}

/** Gives an engine an order; it refuses one of a lower fence. */
export async function giveOrder(
  wire: Wire,
  at: string,
  order: EngineOrder,
  within: number,
): Promise<Outcome<void>> {
  const [f, r] = open(
    await askJson(wire, {
      at,
      method: 'POST',
      path: '/api/order',
      body: JSON.stringify(order),
      within,
    }),
  );
  if (f) return Left(f);
  return r.status === 200
    ? Right(undefined)
    : bad('give order', at, `status ${r.status}`, 'refused', `status-${r.status}`);
}
