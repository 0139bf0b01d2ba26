import { PromptBlock } from '../../src/shared/contracts/engine';
import { HelloHandlers } from '../../src/shared/transport/hello-handlers';
import {
  maintainConnection,
  MaintainedConnection,
} from '../../src/shared/transport/maintained-connection';
import { PROTOCOL_VERSION } from '../../src/shared/transport/hello';
import { Hollow, MODEL, SALT } from './hollow-fleet';
import { CHAIN, hollowHash } from './sources';

/** What a run of asks came to. */
export interface AskSeen {
  asked: number;
  failed: number;
  msMedian: number;
  msMost: number;
}

async function connected(h: Hollow, at: string): Promise<MaintainedConnection> {
  const hello = {
    version: PROTOCOL_VERSION,
    name: 'capacity',
    role: 'runner',
    at: '',
    zone: 'zone-1',
  };
  const held = maintainConnection(h.ports, at, {
    hello,
    handlers: [new HelloHandlers(hello)],
    timeoutMs: 2000,
    retryPauseMs: 200,
  });
  function up(): Promise<boolean> {
    return Promise.resolve(held.channel() !== undefined);
  }
  await h.until(5000, up);
  return held;
}

/** Asks peers at a pace over held connections, one ask to each in turn or to all at once. */
export async function askAt(
  h: Hollow,
  ats: string[],
  perS: number,
  forMs: number,
  toAll: boolean,
  make: (n: number) => { type: string; body: unknown },
): Promise<AskSeen> {
  const helds: MaintainedConnection[] = [];
  for (const at of ats) helds.push(await connected(h, at));
  const took: number[] = [];
  let failed = 0;
  let n = 0;
  const going: Promise<void>[] = [];
  async function one(
    held: MaintainedConnection,
    ask: { type: string; body: unknown },
  ): Promise<void> {
    const began = h.ports.clock.now();
    const o = await held.channel()?.request(ask.type, ask.body, 5000);
    if (!o || o.isLeft()) failed++;
    else took.push(h.ports.clock.now() - began);
  }
  const began = h.ports.clock.now();
  while (h.ports.clock.now() - began < forMs) {
    const due = ((h.ports.clock.now() - began) / 1000) * perS;
    for (; n < due; n++) {
      const ask = make(n);
      for (const [i, held] of helds.entries())
        if (toAll || n % helds.length === i) going.push(one(held, ask));
    }
    await h.ports.clock.sleep(2);
  }
  await Promise.all(going);
  for (const held of helds) held.stop();
  took.sort(byNumber);
  return {
    asked: n,
    failed,
    msMedian: took[took.length >> 1] ?? NaN,
    msMost: took[took.length - 1] ?? NaN,
  };
}

function byNumber(a: number, b: number): number {
  return a - b;
}

/** A query for a prompt that one of the hollow engines keeps. */
export function queryOf(h: Hollow): (n: number) => { type: string; body: unknown } {
  const prompts = Math.max(1, Math.floor(h.sizes.holds / CHAIN));
  function make(n: number): { type: string; body: unknown } {
    const e = h.engines[n % h.sizes.engines];
    const parts: PromptBlock[] = [];
    for (let i = 0; i < CHAIN; i++)
      parts.push({ hash: hollowHash(e.id, 1 + ((n * 7) % prompts), i), size: 64 });
    return { type: 'query', body: { model: MODEL, salt: SALT, weights: 'w1', parts } };
  }
  return make;
}

/** A vote for a key of its own, and, every other time, what became of it. */
export function voteOf(mark: string): (n: number) => { type: string; body: unknown } {
  function make(n: number): { type: string; body: unknown } {
    const key = `${mark}${(n >> 1).toString(16).padStart(32, '0')}`.slice(-32);
    return n % 2 === 0
      ? { type: 'vote', body: { key, run: `${mark}.${n >> 1}` } }
      : { type: 'run', body: { key, run: `${mark}.${n >> 1}`, state: 'done' } };
  }
  return make;
}

/** The question for how much of a prompt each source keeps, as routers of a dialect ask it. */
export function overlapOf(h: Hollow): (n: number) => { type: string; body: unknown } {
  const ask = promptOf(h);
  function make(n: number): { type: string; body: unknown } {
    return { type: 'overlap', body: { model: MODEL, salt: SALT, parts: ask(n) } };
  }
  return make;
}

/** The word that a prompt was placed. */
export function placedOf(h: Hollow): (n: number) => { type: string; body: unknown } {
  const ask = promptOf(h);
  function make(n: number): { type: string; body: unknown } {
    return {
      type: 'placed',
      body: { model: MODEL, salt: SALT, engine: h.engines[n % h.sizes.engines].id, parts: ask(n) },
    };
  }
  return make;
}

function promptOf(h: Hollow): (n: number) => [string, number][] {
  const prompts = Math.max(1, Math.floor(h.sizes.holds / CHAIN));
  function make(n: number): [string, number][] {
    const e = h.engines[n % h.sizes.engines];
    const parts: [string, number][] = [];
    for (let i = 0; i < CHAIN; i++) parts.push([hollowHash(e.id, 1 + ((n * 7) % prompts), i), 64]);
    return parts;
  }
  return make;
}

/** A router's loads: some of so many engines have changed since its last tell. */
export function boardOf(
  engines: number,
  changed: number,
): (n: number) => { type: string; body: unknown } {
  function make(n: number): { type: string; body: unknown } {
    const own: [string, number, number][] = [];
    for (let i = 0; i < Math.min(engines, changed); i++)
      own.push([`engine-${(n * 13 + i) % engines}`, 1 + ((n + i) % 5), 100 * ((n + i) % 7)]);
    return { type: 'loads', body: { full: false, own } };
  }
  return make;
}
