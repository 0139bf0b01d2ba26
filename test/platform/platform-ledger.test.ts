import { Run } from '../../tools/standins/platform/book';
import { judgeDay } from '../../tools/standins/platform/ledger';
import { BOUNDS } from '../../tools/standins/platform/site';
import { EDGE, Good, good, rules, spoilt, textOf } from './platform-book';

function keepsQuiet(): void {
  expect(rules(good())).toEqual([]);
  expect(rules(good('desk'))).toEqual([]);
  expect(rules(good('look'))).toEqual([]);
  function keyless(g: Good): void {
    g.t.key = undefined;
  }
  expect(spoilt(keyless, 'look')).toEqual(['UNASKED']);
}

function mixed(): void {
  function noStamp(g: Good): void {
    g.t.seal = undefined;
  }
  function otherId(g: Good): void {
    g.t.answerId = 't9';
  }
  function otherBody(g: Good): void {
    g.t.answer = 'dune';
  }
  function failed(g: Good): void {
    g.r.status = 500;
  }
  function strayBytes(g: Good): void {
    g.book.strays.push({ at: 1, router: EDGE, bytes: 'HTTP/1.1 200 OK' });
  }
  function garbage(g: Good): void {
    g.t.end = 'garbage';
    g.t.status = undefined;
  }
  function encoded(g: Good): void {
    g.t.encoding = 'gzip';
  }
  function early(g: Good): void {
    g.t.answer = 'do';
  }
  for (const spoil of [noStamp, otherId, otherBody, failed, strayBytes, garbage, encoded, early])
    expect(spoilt(spoil, 'desk')).toEqual(['MIXED']);
}

function unasked(): void {
  function unknown(g: Good): void {
    g.book.tries.clear();
  }
  function changed(g: Good): void {
    g.a.body += ' ';
  }
  function path(g: Good): void {
    g.a.target += '?x=1';
  }
  function tenant(g: Good): void {
    g.a.tenant = 'tenant-2';
  }
  function key(g: Good): void {
    g.a.keyShown = true;
  }
  for (const spoil of [changed, path, tenant, key]) expect(spoilt(spoil)).toEqual(['UNASKED']);
  expect(spoilt(unknown)).toContain('UNASKED');
}

function twice(): void {
  function again(g: Good): void {
    g.book.runs.push({ ...g.r, seal: 's2' });
  }
  function undone(g: Good): void {
    g.book.runs.push({ ...g.r, seal: 's2', undone: true });
  }
  expect(spoilt(again)).toEqual(['TWICE']);
  expect(spoilt(undone)).toEqual([]);
  expect(spoilt(again, 'roster-check')).toEqual([]);
}

function refused(): void {
  function promise(status: number): (g: Good) => void {
    function spoil(g: Good): void {
      g.t.status = status;
    }
    return spoil;
  }
  for (const status of [429, 503, 408, 421]) expect(spoilt(promise(status))).toEqual(['REFUSED']);
  for (const status of [502, 504]) expect(spoilt(promise(status))).toEqual([]);
}

function order(): void {
  function missing(g: Good): void {
    g.t.answer = g.r.pieces[1].text;
  }
  function repeated(g: Good): void {
    g.t.answer = g.r.pieces[0].text + textOf(g.r);
  }
  function closed(g: Good): void {
    g.t.answer = g.r.pieces[0].text;
  }
  function joined(g: Good): void {
    const second: Run = {
      ...g.r,
      seal: 's2',
      after: 1,
      undone: true,
      pieces: [{ id: 2, text: 'id: 2\ndata: s2/2\n\n' }],
    };
    g.book.runs.push(second);
    g.t.answer = g.r.pieces[0].text + second.pieces[0].text;
  }
  function cut(g: Good): void {
    g.t.answer = g.r.pieces[0].text + 'id: 2\nda';
    g.t.end = 'cut';
  }
  for (const spoil of [missing, repeated, closed, joined]) expect(spoilt(spoil)).toEqual(['ORDER']);
  expect(spoilt(joined, 'roster-check')).toEqual([]);
  expect(spoilt(cut)).toEqual([]);
}

function route(): void {
  function service(g: Good): void {
    g.r.service = 'roster-desk';
  }
  function key(g: Good): void {
    g.t.key = 'key-nobody';
  }
  expect(spoilt(service)).toContain('ROUTE');
  expect(spoilt(key)).toContain('ROUTE');
}

function drain(): void {
  function leaving(at: number): (g: Good) => void {
    function spoil(g: Good): void {
      g.book.leaving.push({ instance: 'i-1.1', at });
    }
    return spoil;
  }
  function untouched(g: Good): void {
    leaving(17000)(g);
    g.book.troubles.push({ kind: 'freeze', who: EDGE, at: 18000, until: 19000, planned: false });
  }
  function misdirected(g: Good): void {
    leaving(17000)(g);
    g.a.turned = 421;
    g.book.runs.length = 0;
    g.t.status = 503;
  }
  expect(spoilt(leaving(17000))).toEqual(['DRAIN']);
  expect(spoilt(leaving(17500))).toEqual([]);
  expect(spoilt(untouched)).toEqual([]);
  expect(spoilt(misdirected)).toEqual([]);
}

function budget(): void {
  function tries(n: number): (g: Good) => void {
    function spoil(g: Good): void {
      for (let i = 0; i < n; i++) g.book.arrivals.push({ ...g.a, at: 20100 + i, turned: 503 });
    }
    return spoil;
  }
  expect(spoilt(tries(58))).toEqual([]);
  expect(spoilt(tries(59))).toEqual(['BUDGET']);
}

function memory(): void {
  function used(more: object): (g: Good) => void {
    function spoil(g: Good): void {
      g.r.used.push({ id: 'aa', tokens: 10, version: 1, tenant: 'tenant-1', ...more });
    }
    return spoil;
  }
  function between(g: Good): void {
    used({ tenant: 'tenant-7' })(g);
    Object.assign(g.t, { key: 'key-8-a', tenant: 'tenant-8' });
    g.a.tenant = 'tenant-8';
    g.r.tenant = 'tenant-8';
  }
  expect(spoilt(used({}))).toEqual([]);
  expect(spoilt(used({ version: 2 }))).toEqual(['STALE']);
  expect(spoilt(used({ tenant: 'tenant-2' }))).toEqual(['WALL']);
  expect(spoilt(used({ tenant: 'tenant-8' }))).toEqual(['WALL']);
  expect(spoilt(between)).toEqual([]);
}

function one(): void {
  function ordered(...seen: [number, string, number][]): (g: Good) => void {
    function spoil(g: Good): void {
      for (const [at, holder, fence] of seen)
        g.book.orders.push({
          at,
          instance: 'i-1.1',
          from: '127.10.1.1',
          holder,
          fence,
          status: 202,
        });
    }
    return spoil;
  }
  expect(spoilt(ordered([1000, 'a', 1], [1500, 'a', 1], [9000, 'b', 2]))).toEqual([]);
  expect(spoilt(ordered([1000, 'a', 1], [9000, 'b', 1]))).toEqual(['ONE']);
  expect(spoilt(ordered([1000, 'a', 1], [2000, 'b', 2]))).toEqual(['ONE']);
  const g = good();
  ordered([1000, 'a', 4], [9000, 'b', 3])(g);
  expect(Object.keys(judgeDay(g.book, { ...BOUNDS, fencing: false }))).toEqual(['ONE']);
}

function denied(): void {
  function many(n: number): (g: Good) => void {
    function spoil(g: Good): void {
      for (let i = 0; i < n; i++)
        g.book.tries.set(`d${i}`, {
          ...g.t,
          id: `d${i}`,
          status: 404,
          seal: undefined,
          answerId: undefined,
          answer: '',
        });
    }
    return spoil;
  }
  expect(spoilt(many(5))).toEqual(['CONFIG']);
  expect(spoilt(many(6))).toEqual(['CONFIG', 'DENIED']);
}

test('a good book breaks no rule; a tenant on a public route does', keepsQuiet);
test('MIXED', mixed);
test('UNASKED', unasked);
test('TWICE', twice);
test('REFUSED', refused);
test('ORDER', order);
test('ROUTE', route);
test('DRAIN', drain);
test('BUDGET', budget);
test('STALE and WALL', memory);
test('ONE', one);
test('DENIED', denied);
