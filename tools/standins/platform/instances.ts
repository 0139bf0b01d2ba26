import { EngineLife } from './engine';
import { Ground } from './ground';
import { answerJson, Door, each, Exchange } from './serve';

/** The stand-in of the platform's list of engines. */
export interface InstanceList {
  at: string;
  lives: EngineLife[];
  /** Adds an engine that has started. */
  add: (e: EngineLife) => void;
  /** Takes one off that has ended. */
  remove: (e: EngineLife) => void;
  /** Has it answer nothing but 503. */
  troubles: { down: boolean };
  close: () => Promise<void>;
}

/** How the list behaves. */
export interface ListWays {
  maxLagMs: number;
  ratePerS: number;
  page: number;
}

interface Row {
  instanceId: string;
  zone: string;
  [field: string]: unknown;
}

const TAKE_MS = 100;

/** Starts the list; it shows what was so half its lag ago. */
export async function startList(ground: Ground, at: string, ways: ListWays): Promise<InstanceList> {
  const { clock, book } = ground;
  const lives: EngineLife[] = [];
  const past: { at: number; rows: Row[] }[] = [];
  const known = new Set<string>();
  const left = new Set<string>();
  const calls: number[] = [];
  const troubles = { down: false };

  function rowOf(e: EngineLife): Row {
    const models: object[] = [];
    for (const [name, revision] of e.versions) models.push({ name, revision, adapters: [] });
    const s = e.spec;
    return {
      service: s.service,
      address: s.at,
      zone: s.zone,
      revision: s.revision,
      capacity: s.capacity,
      state: e.state === 'draining' ? 'draining' : 'ready',
      warmupLeftMs: Math.round(e.warmupLeft()),
      stage: 'prefill_decode',
      models,
      instanceId: s.instance,
    };
  }

  function snapshot(): void {
    past.push({ at: clock.now(), rows: lives.map(rowOf) });
    while (past.length > 1 && past[1].at <= clock.now() - ways.maxLagMs / 2) past.shift();
    for (const r of past[0].rows) known.add(r.instanceId);
    for (const id of known) {
      if (left.has(id)) continue;
      const row = past[0].rows.find(same);
      if (row?.state === 'ready') continue;
      left.add(id);
      book.leaving.push({ instance: id, at: clock.now() });
      function same(r: Row): boolean {
        return r.instanceId === id;
      }
    }
  }

  function take(x: Exchange): void {
    if (x.path !== '/instances' || x.method !== 'GET') return answerJson(x, 404, undefined);
    book.listCalls++;
    const now = clock.now();
    while (calls.length > 0 && calls[0] <= now - 1000) calls.shift();
    if (calls.length >= ways.ratePerS)
      return answerJson(x, 429, undefined, { 'Retry-After': '0.2' });
    calls.push(now);
    if (troubles.down) return answerJson(x, 503, undefined);
    const zone = x.query.get('zone');
    const from = Number((x.query.get('pageToken') ?? 'p-0').slice(2));
    function inZone(r: Row): boolean {
      return zone === null || r.zone === zone;
    }
    const rows = past[0].rows.filter(inZone);
    const to = from + ways.page;
    answerJson(x, 200, {
      instances: rows.slice(from, to),
      nextPageToken: to < rows.length ? `p-${to}` : null,
    });
  }

  function add(e: EngineLife): void {
    lives.push(e);
    if (past.length <= 1) {
      past.length = 0;
      snapshot();
    }
  }
  function remove(e: EngineLife): void {
    const i = lives.indexOf(e);
    if (i >= 0) lives.splice(i, 1);
  }

  snapshot();
  const stop = each(clock, TAKE_MS, snapshot);
  const door: Door = await ground.open(at, {}, take);
  async function close(): Promise<void> {
    stop();
    await door.reset();
  }
  return { at, lives, add, remove, troubles, close };
}
