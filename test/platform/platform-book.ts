import { makeWorld } from '../../tools/sim/simworld';
import {
  Arrival,
  Book,
  ConfigDoc,
  ConfigSent,
  makeBook,
  Run,
  Try,
} from '../../tools/standins/platform/book';
import { judgeDay } from '../../tools/standins/platform/ledger';
import { BOUNDS, makeSite } from '../../tools/standins/platform/site';

/** Two edge machines. */
export const EDGE = '127.10.2.1';
/** Another one. */
export const OTHER = '127.10.2.2';

/** One request that went well, and its book; a test then spoils something. */
export interface Good {
  book: Book;
  doc: ConfigDoc;
  config: ConfigSent;
  t: Try;
  a: Arrival;
  r: Run;
}

/** A book in which one short stream, which may run once, was served whole; time is at 60 s. */
export function good(route = 'swap-tag'): Good {
  const w = makeWorld(1, false);
  const clock = w.clock(w.proc('p', '127.10.9.1'));
  const book = makeBook({ ...clock, now: late });
  function late(): number {
    return 60000;
  }
  const doc = makeSite('sbr', { edges: 3, engines: 2, scale: 1 }, 10, '/none')!.config;
  const config: ConfigSent = { doc, base: 0, at: 0, ackAt: 100, valid: true, outcome: 'acked' };
  book.configs.push(config);
  const kind = doc.routes.find(named)!;
  function named(r: { name: string }): boolean {
    return r.name === route;
  }
  const streaming = kind.routeType === 'streaming';
  const r: Run = {
    seal: 's1',
    id: 't1',
    from: EDGE,
    instance: 'i-1.1',
    service: kind.service ?? kind.backends![0].service,
    model: 'roster510',
    version: 1,
    tenant: 'tenant-1',
    beganAt: 20010,
    startedAt: 20020,
    undone: false,
    status: 200,
    after: 0,
    total: streaming ? 2 : 0,
    pieces: streaming
      ? [
          { id: 1, text: 'id: 1\ndata: s1/1\n\n' },
          { id: 2, text: 'id: 2\ndata: s1/2\n\n' },
        ]
      : [{ id: 0, text: 'done' }],
    times: [20020, 20040],
    whole: true,
    broke: false,
    endedAt: 20040,
    used: [],
    tokensIn: 100,
  };
  const body = '{"ask":"1"}';
  const target = `${kind.pathPrefix}x`;
  const a: Arrival = {
    at: 20010,
    id: 't1',
    from: EDGE,
    instance: 'i-1.1',
    service: r.service,
    method: 'POST',
    target,
    body,
    tenant: 'tenant-1',
    keyShown: false,
  };
  const t: Try = {
    id: 't1',
    request: 1,
    nth: 0,
    router: EDGE,
    life: 1,
    route,
    kind: kind.routeType,
    repeatable: kind.resumable || kind.routeType === 'safe',
    host: 'desk.example',
    method: 'POST',
    target,
    body,
    key: 'key-1-a',
    tenant: 'tenant-1',
    probe: false,
    sentAt: 20000,
    writtenAt: 20000,
    deadlineMs: 3000,
    timeoutMs: 3000,
    aimMs: 300,
    gapMs: 250,
    status: 200,
    answerId: 't1',
    seal: 's1',
    answer: textOf(r),
    times: [20025, 20045],
    end: 'whole',
    endedAt: 20045,
  };
  book.tries.set(t.id, t);
  book.arrivals.push(a);
  book.runs.push(r);
  return { book, doc, config, t, a, r };
}

/** What a run's client gets. */
export function textOf(r: Run): string {
  return r.pieces.map(text).join('');
  function text(p: { text: string }): string {
    return p.text;
  }
}

/** The rules that a book breaks. */
export function rules(g: Good): string[] {
  return Object.keys(judgeDay(g.book, BOUNDS)).sort();
}

/** Spoils a good book and tells which rules are then broken. */
export function spoilt(spoil: (g: Good) => void, route?: string): string[] {
  const g = good(route);
  spoil(g);
  return rules(g);
}

/** A configuration that was sent on top of the first. */
export function later(
  g: Good,
  more: Partial<ConfigSent>,
  change: Partial<ConfigDoc> = {},
): ConfigSent {
  const c: ConfigSent = {
    ...g.config,
    doc: { ...g.doc, revision: 5, ...change },
    base: 1,
    at: 5000,
    ackAt: 5100,
    ...more,
  };
  g.book.configs.push(c);
  return c;
}
