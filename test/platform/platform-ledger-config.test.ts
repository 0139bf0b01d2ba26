import { ConfigDoc } from '../../tools/standins/platform/book';
import { EDGE, Good, good, later, OTHER, rules, spoilt } from './platform-book';

function config(): void {
  function olderService(g: Good): void {
    later(g, {}, { routes: [{ ...g.doc.routes[1], service: 'roster-desk' }] });
  }
  function droppedRoute(g: Good): void {
    later(g, {}, { routes: [g.doc.routes[0]] });
  }
  function revokedKey(g: Good): void {
    later(g, {}, { tenants: g.doc.tenants.slice(1) });
  }
  function justNow(g: Good): void {
    later(g, { at: 17900, ackAt: 18100 }, { routes: [g.doc.routes[0]] });
  }
  function stillUnknown(g: Good): void {
    later(
      g,
      {},
      { routes: [...g.doc.routes, { ...g.doc.routes[1], name: 'new', pathPrefix: '/new/' }] },
    );
    g.book.runs.length = 0;
    g.book.arrivals.length = 0;
    Object.assign(g.t, { target: '/new/x', status: 404, seal: undefined, answer: '' });
  }
  function invalid(g: Good): void {
    later(g, { valid: false });
  }
  function both(g: Good): void {
    later(g, { at: 100, ackAt: 200 });
    g.book.configs.push({
      ...g.config,
      doc: { ...g.doc, revision: 6 },
      base: 1,
      at: 300,
      ackAt: 400,
    });
  }
  function refusedRules(g: Good): void {
    g.book.configs.push({
      ...g.config,
      doc: { ...g.doc, revision: 6, routes: [{ ...g.doc.routes[1], service: 'roster-desk' }] },
      base: 1,
      outcome: 'refused',
      ackAt: undefined,
    });
    g.r.service = 'roster-desk';
  }
  for (const spoil of [
    olderService,
    droppedRoute,
    revokedKey,
    stillUnknown,
    invalid,
    both,
    refusedRules,
  ])
    expect(spoilt(spoil)).toEqual(['CONFIG']);
  expect(spoilt(justNow)).toEqual([]);
}

function goesBack(): void {
  function back(gap: number, life: number, router: string): (g: Good) => void {
    function spoil(g: Good): void {
      const c = later(
        g,
        { at: 19500, ackAt: 19600 },
        { routes: [...g.doc.routes, { ...g.doc.routes[1], name: 'new', pathPrefix: '/new/' }] },
      );
      Object.assign(g.t, { target: '/new/x' });
      g.a.target = '/new/x';
      const id = 't2';
      g.book.tries.set(id, {
        ...g.t,
        id,
        life,
        router,
        sentAt: g.r.beganAt + gap,
        status: 404,
        seal: undefined,
        answerId: undefined,
        answer: '',
      });
      expect(c.doc.revision).toBe(5);
    }
    return spoil;
  }
  expect(spoilt(back(300, 1, EDGE))).toEqual(['CONFIG']);
  expect(spoilt(back(200, 1, EDGE))).toEqual([]);
  expect(spoilt(back(300, 2, EDGE))).toEqual([]);
  expect(spoilt(back(300, 1, OTHER))).toEqual([]);
}

function lost(): void {
  function older(g: Good): void {
    later(g, {});
    g.book.readBackAsked = true;
    g.book.readBack = g.doc;
  }
  function none(g: Good): void {
    g.book.readBackAsked = true;
  }
  function other(g: Good): void {
    g.book.readBackAsked = true;
    g.book.readBack = { ...g.doc, routes: [] };
  }
  function same(g: Good): void {
    g.book.readBackAsked = true;
    g.book.readBack = JSON.parse(JSON.stringify(g.doc)) as ConfigDoc;
  }
  function cutInRoll(g: Good): void {
    g.book.troubles.push({ kind: 'term', who: EDGE, at: 20005, until: 24000, planned: true });
    Object.assign(g.t, {
      end: 'cut',
      status: undefined,
      seal: undefined,
      answerId: undefined,
      answer: '',
    });
  }
  function cutInTrouble(g: Good): void {
    cutInRoll(g);
    g.book.troubles.push({ kind: 'crash', who: 'i-2.1', at: 18000, until: 18100, planned: false });
  }
  function engineBroke(g: Good): void {
    cutInRoll(g);
    g.r.broke = true;
  }
  /** A request that is sent so long after a SIGTERM, and cut in the last part of the grace while its engine is at work. */
  function cutAtTheEnd(sentAfter: number, runEndsAfter: number): (g: Good) => void {
    function spoil(g: Good): void {
      cutInRoll(g);
      const at = g.t.sentAt - sentAfter;
      g.book.troubles[0].at = at;
      Object.assign(g.t, { deadlineMs: 6000, timeoutMs: 6000 });
      g.r.endedAt = at + runEndsAfter;
      g.t.endedAt = at + runEndsAfter;
    }
    return spoil;
  }
  for (const spoil of [cutAtTheEnd(3767, 6807), cutAtTheEnd(2900, 5000)])
    expect(spoilt(spoil, 'roster-check')).toEqual(['LOST']);
  expect(spoilt(cutAtTheEnd(2900, 6807), 'roster-check')).toEqual([]);
  for (const spoil of [older, none, cutInRoll]) expect(spoilt(spoil)).toEqual(['LOST']);
  expect(spoilt(other)).toEqual(['CONFIG']);
  for (const spoil of [same, cutInTrouble, engineBroke]) expect(spoilt(spoil)).toEqual([]);
}

/** Requests of kept connections that were passed on and left without an answer, with no planned work about. */
function keptCuts(): void {
  function cut(count: number, more: Partial<Good['t']> = {}): (g: Good) => void {
    function spoil(g: Good): void {
      g.book.runs.length = 0;
      for (let i = 1; i <= count; i++) {
        const id = `t${i}`;
        const cutTry = { ...g.t, id, onKept: true, end: 'cut' as const, status: undefined };
        g.book.tries.set(id, { ...cutTry, seal: undefined, answer: '', times: [], ...more });
        if (i > 1) g.book.arrivals.push({ ...g.a, id });
      }
    }
    return spoil;
  }
  function ofEngineInTrouble(g: Good): void {
    cut(4)(g);
    const until = g.t.endedAt;
    g.book.troubles.push({ kind: 'crash', who: g.a.instance, at: until, until, planned: false });
  }
  function outOfTouch(g: Good): void {
    cut(4)(g);
    g.book.troubles.push({ kind: 'kill', who: EDGE, at: 19000, until: 19500, planned: false });
  }
  expect(spoilt(cut(4))).toEqual(['LOST']);
  expect(spoilt(cut(3))).toEqual([]);
  expect(spoilt(cut(4, { onKept: false }))).toEqual([]);
  expect(spoilt(cut(4, { endedAt: 23100 }))).toEqual([]);
  for (const spoil of [ofEngineInTrouble, outOfTouch]) expect(spoilt(spoil)).toEqual([]);
}

function version(): void {
  function named(ackAt: number, more: object = {}): (g: Good) => void {
    function spoil(g: Good): void {
      g.book.versions.push({ model: 'roster510', revision: 2, at: ackAt - 10, ackAt, ...more });
    }
    return spoil;
  }
  function unsettled(g: Good): void {
    named(12000)(g);
    g.book.troubles.push({ kind: 'kill', who: 'core', at: 14000, until: 14500, planned: false });
  }
  expect(spoilt(named(12000))).toEqual(['VERSION']);
  expect(spoilt(named(12100))).toEqual([]);
  expect(spoilt(named(12000, { model: 'another' }))).toEqual([]);
  expect(spoilt(unsettled)).toEqual([]);
}

function acks(): void {
  function late(g: Good): void {
    later(g, { at: 5000, ackAt: 9100 });
  }
  function never(g: Good): void {
    later(g, { at: 5000, ackAt: undefined, outcome: 'unclear' });
  }
  for (const spoil of [late, never]) expect(spoilt(spoil)).toEqual(['ACKS']);
  const g = good();
  late(g);
  g.book.troubles.push({ kind: 'kill', who: 'core', at: 6000, until: 6500, planned: false });
  expect(rules(g)).toEqual([]);
}
test('CONFIG: handled as only an older version allows, invalid, raced, refused', config);
test('CONFIG: goes back within a life', goesBack);
test('LOST: what was acknowledged, and requests cut around planned work', lost);
test('LOST: requests of kept connections, at any time', keptCuts);
test('VERSION', version);
test('ACKS', acks);
