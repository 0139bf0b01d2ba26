import { AddCall, EvacuationSent, TallyAdd } from '../../tools/standins/platform/apart-records';
import { BOUNDS } from '../../tools/standins/platform/site';
import { EDGE, Good, OTHER, spoilt } from './platform-book';

/** Two machines that answer for tallies, and the service's cold bound. */
const CORE = '127.10.1.1';
const FAR = '127.10.1.2';
const PER_S = 27;
const COLD_MOST = PER_S * BOUNDS.warmupOvershoot + BOUNDS.warmupSlack;

function call(more: Partial<AddCall> = {}): AddCall {
  return { node: CORE, life: 1, sentAt: 10000, outcome: 'acked', ackAt: 10050, ...more };
}

function add(g: Good, actor: number, ...calls: AddCall[]): void {
  const instanceId = `id-${g.book.adds.size}`;
  const whole: TallyAdd = { tally: 't1', instanceId, actor, calls };
  g.book.adds.set(instanceId, whole);
}

function read(g: Good, total: number, sentAt: number, node = CORE, life = 1): void {
  g.book.tallyReads.push({ tally: 't1', node, life, sentAt, endedAt: sentAt + 5, total });
}

function cut(g: Good, at: number, until: number): void {
  g.book.troubles.push({ kind: 'zone-cut', who: 'links', at, until, planned: false });
}

function wipe(g: Good, at: number, machine: string): void {
  g.book.troubles.push({ kind: 'wipe', who: 'core', machine, at, until: at, planned: false });
}

/** A tally of 4 that was acknowledged at 10.05 s, and what a read at a time shows. */
function reads(total: number, at: number, more: Partial<AddCall> = {}): string[] {
  function spoil(g: Good): void {
    add(g, 4, call(more));
    read(g, total, at);
  }
  return spoilt(spoil);
}

function twice(): void {
  const REFUSED: Partial<AddCall> = { outcome: 'refused', ackAt: undefined };
  const UNCLEAR: Partial<AddCall> = { outcome: 'unclear', ackAt: undefined };
  expect(reads(4, 10100)).toEqual([]);
  expect(reads(8, 10100)).toEqual(['TWICE']);
  expect(reads(4, 10100, REFUSED)).toEqual(['TWICE']);
  expect(reads(4, 10100, UNCLEAR)).toEqual([]);
  expect(reads(4, 9000)).toEqual(['TWICE']);
}

/** An id that came at two machines counts once. */
function countsOnce(): void {
  function both(total: number): (g: Good) => void {
    function spoil(g: Good): void {
      add(g, 4, call({ outcome: 'unclear', ackAt: undefined }), call({ node: FAR }));
      read(g, total, 10100);
    }
    return spoil;
  }
  expect(spoilt(both(4))).toEqual([]);
  expect(spoilt(both(8))).toEqual(['TWICE']);
}

function staleThere(): void {
  expect(reads(0, 10100)).toEqual(['STALE']);
  expect(reads(0, 10100, { life: 0 })).toEqual([]);
  expect(reads(0, 10100, { node: FAR })).toEqual([]);
  expect(reads(0, 10020)).toEqual([]);
}

function staleEverywhere(): void {
  const FROM_FAR = { node: FAR };
  function during(g: Good): void {
    add(g, 4, call(FROM_FAR));
    read(g, 0, 14000);
    cut(g, 9000, 12000);
  }
  function longAfter(g: Good): void {
    add(g, 4, call(FROM_FAR));
    read(g, 0, 15100);
    cut(g, 9000, 12000);
  }
  expect(reads(0, 13000, FROM_FAR)).toEqual([]);
  expect(reads(0, 13100, FROM_FAR)).toEqual(['STALE']);
  expect(spoilt(during)).toEqual([]);
  expect(spoilt(longAfter)).toEqual(['STALE']);
}

/** What the end of the day shows of a tally of 4. */
function ends(total: number | undefined, at: number, more: (g: Good) => void = nothing): string[] {
  function spoil(g: Good): void {
    add(g, 4, call());
    g.book.tallyEnds.push({ tally: 't1', at, total });
    more(g);
  }
  return spoilt(spoil);
}

function nothing(): void {
  // does nothing on purpose
}

function lost(): void {
  expect(ends(4, 50000)).toEqual([]);
  expect(ends(0, 50000)).toEqual(['LOST']);
  expect(ends(0, 13000)).toEqual([]);
  expect(ends(undefined, 50000)).toEqual(['LOST']);
  expect(ends(8, 50000)).toEqual(['TWICE']);
}

/** An add that a machine acknowledged during a cut is not owed where that machine's disk was lost in time. */
function forgiven(): void {
  function lossAt(at: number, machine: string): (g: Good) => void {
    function spoil(g: Good): void {
      cut(g, 9000, 12000);
      wipe(g, at, machine);
    }
    return spoil;
  }
  expect(ends(0, 50000, lossAt(11000, CORE))).toEqual([]);
  expect(ends(0, 50000, lossAt(14900, CORE))).toEqual([]);
  expect(ends(0, 50000, lossAt(15100, CORE))).toEqual(['LOST']);
  expect(ends(0, 50000, lossAt(11000, FAR))).toEqual(['LOST']);
  function withoutCut(g: Good): void {
    wipe(g, 11000, CORE);
  }
  expect(ends(0, 50000, withoutCut)).toEqual(['LOST']);
}

/** The good request reaches its engine at 20.01 s. */
function evacuated(...sent: Partial<EvacuationSent>[]): (g: Good) => void {
  function spoil(g: Good): void {
    g.a.zone = 'pos-a';
    for (const one of sent)
      g.book.evacuations.push({ zone: 'pos-a', kind: 'start', at: 0, ackAt: 100, ...one });
  }
  return spoil;
}

function evac(): void {
  const LATE = { at: 14900, ackAt: 15000 };
  function misdirected(g: Good): void {
    evacuated(LATE)(g);
    g.a.turned = 421;
    g.book.runs.length = 0;
    g.t.status = 503;
  }
  function untouched(g: Good): void {
    evacuated(LATE)(g);
    g.book.troubles.push({ kind: 'freeze', who: EDGE, at: 18000, until: 19000, planned: false });
  }
  expect(spoilt(evacuated(LATE))).toEqual(['EVAC']);
  expect(spoilt(evacuated({ at: 15000, ackAt: 15011 }))).toEqual([]);
  expect(spoilt(evacuated({ ...LATE, zone: 'arm-c' }))).toEqual([]);
  expect(spoilt(evacuated(LATE, { kind: 'finish', at: 20000, ackAt: 21000 }))).toEqual([]);
  expect(spoilt(evacuated(LATE, { kind: 'finish', at: 20500, ackAt: 21000 }))).toEqual(['EVAC']);
  expect(spoilt(misdirected)).toEqual([]);
  expect(spoilt(untouched)).toEqual([]);
}

function evacuationAcks(): void {
  const NEVER = { zone: 'arm-c', at: 30000, ackAt: undefined };
  function unsettled(g: Good): void {
    evacuated(NEVER)(g);
    cut(g, 29000, 31000);
  }
  expect(spoilt(evacuated(NEVER))).toEqual(['ACKS']);
  expect(spoilt(evacuated({ ...NEVER, ackAt: 30000 + BOUNDS.ackMs }))).toEqual([]);
  expect(spoilt(evacuated({ ...NEVER, at: 59000 }))).toEqual([]);
  expect(spoilt(unsettled)).toEqual([]);
}

/** So many requests reach an engine that is cold until 31 s, over so long a time from 30 s on. */
function flooded(count: number, overMs: number, more: object = {}): string[] {
  function spoil(g: Good): void {
    g.book.cold.push({ instance: 'i-1.1', from: 25000, until: 31000, perS: PER_S });
    for (let i = 0; i < count; i++) {
      const at = 30000 + (overMs * i) / count;
      const id = `cold-${i}`;
      g.book.tries.set(id, { ...g.t, id, answerId: id, status: 503, seal: undefined, answer: '' });
      const from = i % 2 === 0 ? EDGE : OTHER;
      g.book.arrivals.push({ ...g.a, id, at, from, turned: 503, ...more });
    }
  }
  return spoilt(spoil);
}

function failback(): void {
  const MOST = Math.floor(COLD_MOST);
  expect(flooded(MOST, 900)).toEqual([]);
  expect(flooded(MOST + 1, 900)).toEqual(['FAILBACK']);
  expect(flooded(MOST + 1, 1100)).toEqual([]);
  expect(flooded(MOST + 1, 900, { turned: 421 })).toEqual([]);
  expect(flooded(MOST + 1, 900, { instance: 'i-2.1' })).toEqual([]);
}

test('TWICE: a tally shows more than could have counted', twice);
test('TWICE: an id that comes at two machines counts once', countsOnce);
test('STALE: a tally lacks what the same machine acknowledged in the same life', staleThere);
test(
  'STALE: a tally lacks after mergeMs without trouble what any machine acknowledged',
  staleEverywhere,
);
test('LOST: a tally lacks at the end what is owed, or cannot be read', lost);
test('LOST: what a lost disk took during a cut is not owed', forgiven);
test('EVAC: a request reaches an evacuated zone late', evac);
test('ACKS: an evacuation has no answer in a calm time', evacuationAcks);
test('FAILBACK: a cold engine gets more than its bound in a second', failback);
