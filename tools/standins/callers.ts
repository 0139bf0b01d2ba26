import { PromptBlock, splitIntoBlocks } from '../../src/shared/contracts/engine';
import { errorOrValue } from '../../src/shared/errors/errors';
import { readToEnd, makeLineReader } from '../../src/shared/util/http-json';
import { parseJson } from '../../src/shared/util/try-catch';
import { Ports } from '../../src/shared/ports/ports';
import { Intents, Service } from '../../src/shared/state/intents';

/** How callers behave. */
export interface CallerWays {
  intents: Intents;
  keys: Record<string, string>;
  edges: string[];
  shortPerS: number;
  longPerS: number;
  forMs: number;
  retries: number;
  patienceMs?: number;
}

/** One request as its caller saw it. */
export interface Seen {
  tag: string;
  parts: PromptBlock[];
  sentAt: number;
  tenant: string;
  long: boolean;
  repeatable: boolean;
  attempts: { edge: string; status: number; sort: string; at: number; refused?: boolean }[];
  end: 'whole' | 'incomplete' | 'refused' | 'unknown' | 'failed';
  firstMs?: number;
  wrong: string[];
}

/** What callers report. */
export interface Report {
  asked: number;
  whole: number;
  refused: number;
  unknown: number;
  incomplete: number;
  failed: number;
  wrong: string[];
  callerRetries: number;
  firstMs: { short: { p50: number; p99: number }; long: { p50: number; p99: number } };
  seen: Seen[];
}

function range(n: number, seed: number, of: number): number[] {
  const out: number[] = [];
  for (let i = 0; i < n; i++) out.push(1 + ((seed * 7919 + i * 104729) % of));
  return out;
}

function blocks(count: number, size: number, seed: number): number[] {
  const out: number[] = [];
  for (let i = 0; i < count; i++) out.push(...range(size - 1 - (i % 7), seed * 100 + i, 50000), 0);
  return out;
}

/** The p-th value of a sorted copy. */
export function percentile(list: number[], p: number): number {
  function up(a: number, b: number): number {
    return a - b;
  }
  const s = [...list].sort(up);
  return s.length === 0
    ? 0
    : Math.round(s[Math.min(s.length - 1, Math.floor(s.length * p))] * 10) / 10;
}

/** Drives the brief's mix against the edges and checks every piece. */
export async function runCallers(
  ports: Ports,
  w: CallerWays,
  onSeen?: (s: Seen) => void,
): Promise<Report> {
  const { clock, random: dice } = ports;
  const all: Seen[] = [];
  const going: Promise<void>[] = [];
  let serial = 0;

  function chooseTenant(): number {
    const r = dice.next();
    return r < 0.3 ? 1 : r < 0.5 ? 2 : r < 0.65 ? 6 : 1 + Math.floor(dice.next() * 8);
  }

  function promptOf(tenant: number, long: boolean): number[] {
    const shared = tenant >= 6 ? 6 : tenant;
    const variant = Math.floor(dice.next() * (long ? 2 : 3));
    const prefix = long
      ? blocks(12, 250, shared * 10 + variant)
      : blocks(2, 48, 500 + shared * 10 + variant);
    const n = ++serial;
    return [...prefix, 60000 + n, ...range(long ? 160 : 40, n, 50000), 0];
  }

  function serviceOf(tenant: number, long: boolean): Service {
    function mine(s: Service): boolean {
      return s.tenant === `tenant-${tenant}` && (s.urgency === 'high') === !long;
    }
    return w.intents.services.find(mine)!;
  }

  async function one(long: boolean): Promise<void> {
    const t = chooseTenant();
    const service = serviceOf(t, long);
    const tokens = promptOf(t, long);
    const parts = splitIntoBlocks(service.model, tokens);
    const seen: Seen = {
      tag: parts[parts.length - 1].hash,
      parts,
      sentAt: clock.now(),
      tenant: service.tenant,
      long,
      repeatable: service.mayRepeat,
      attempts: [],
      end: 'refused',
      wrong: [],
    };
    const key = dice.uuid();
    const body = JSON.stringify({
      label: long ? 'long' : 'short',
      tokens,
      maxTokens: service.maxTokens,
    });
    const started = clock.now();
    for (let attempt = 0; attempt <= w.retries; attempt++) {
      const edge = w.edges[Math.floor(dice.next() * w.edges.length)];
      const again = await once(edge, service, seen, key, body, started);
      if (again === undefined) break;
      if (attempt < w.retries) await clock.sleep(again);
    }
    all.push(seen);
    onSeen?.(seen);
  }

  async function once(
    edge: string,
    service: Service,
    seen: Seen,
    key: string,
    body: string,
    started: number,
  ): Promise<number | undefined> {
    const headers = {
      authorization: `Bearer ${w.keys[service.tenant]}`,
      'content-type': 'application/json',
      'idempotency-key': key,
    };
    const at = clock.now();
    const [f, r] = errorOrValue(
      await ports.network.request({
        address: edge,
        method: 'POST',
        path: '/v1/generate',
        headers,
        body,
        timeoutMs: w.patienceMs ?? service.deadlineMs * 1.5,
      }),
    );
    if (f) {
      seen.attempts.push({
        edge,
        status: 0,
        sort: f.certainty,
        at,
        refused: f.certainty === 'refused',
      });
      seen.end = f.certainty;
      return f.certainty === 'refused' || service.mayRepeat ? 300 : 1000;
    }
    const line = makeLineReader(r.nextChunk, edge);
    if (r.status !== 200) {
      const [, text] = errorOrValue(await line());
      const e = (
        parseJson(text ?? '', 'read', edge).orDefault({}) as {
          error?: { class?: string; code?: string };
        }
      ).error;
      r.cancel();
      const sort = (e?.class ?? 'unknown') as 'refused' | 'unknown' | 'failed';
      seen.attempts.push({
        edge,
        status: r.status,
        sort: e?.code ?? sort,
        at,
        refused: sort === 'refused',
      });
      const taken = r.status === 409 && seen.attempts.length > 1;
      seen.end = taken ? 'unknown' : sort;
      if (taken) return undefined;
      if (r.status === 503) return Number(r.headers['retry-after'] ?? 1) * 1000;
      return sort === 'unknown' ? 500 : undefined;
    }
    let n = 0;
    for (;;) {
      const [g, text] = errorOrValue(await line());
      const v =
        text === undefined
          ? undefined
          : (parseJson(text, 'read', edge).orDefault(undefined) as
              { n?: number; text?: string; done?: boolean; count?: number } | undefined);
      if (g || v === undefined || (v.n === undefined && !v.done)) {
        r.cancel();
        seen.attempts.push({ edge, status: 200, sort: 'incomplete', at });
        seen.end = 'incomplete';
        return undefined;
      }
      if (v.done) {
        void readToEnd(line, r.cancel);
        if (v.count !== n) seen.wrong.push(`count ${v.count} after ${n}`);
        if (n !== service.maxTokens) seen.wrong.push(`short: ${n} of ${service.maxTokens}`);
        seen.attempts.push({ edge, status: 200, sort: 'whole', at });
        seen.end = 'whole';
        return undefined;
      }
      if (n === 0) seen.firstMs = clock.now() - started;
      if (v.n !== n || v.text !== `${seen.tag}#${n} `)
        seen.wrong.push(`piece ${v.n} "${v.text}" where ${seen.tag}#${n} was due`);
      n++;
    }
  }

  async function arrive(perS: number, long: boolean): Promise<void> {
    const until = clock.now() + w.forMs;
    let next = clock.now();
    while (perS > 0 && clock.now() < until) {
      next += (-Math.log(1 - dice.next()) / perS) * 1000;
      await clock.sleep(Math.max(0, next - clock.now()));
      if (clock.now() < until) going.push(one(long));
    }
  }

  await Promise.all([arrive(w.shortPerS, false), arrive(w.longPerS, true)]);
  await Promise.all(going);
  return makeReport(all);
}

/** Counts what callers saw. */
export function makeReport(all: Seen[]): Report {
  const r: Report = {
    asked: all.length,
    whole: 0,
    refused: 0,
    unknown: 0,
    incomplete: 0,
    failed: 0,
    wrong: [],
    callerRetries: 0,
    firstMs: { short: { p50: 0, p99: 0 }, long: { p50: 0, p99: 0 } },
    seen: all,
  };
  const short: number[] = [];
  const long: number[] = [];
  for (const s of all) {
    r[s.end]++;
    r.callerRetries += s.attempts.length - 1;
    r.wrong.push(...s.wrong);
    if (s.firstMs !== undefined) (s.long ? long : short).push(s.firstMs);
  }
  r.firstMs.short = { p50: percentile(short, 0.5), p99: percentile(short, 0.99) };
  r.firstMs.long = { p50: percentile(long, 0.5), p99: percentile(long, 0.99) };
  return r;
}
