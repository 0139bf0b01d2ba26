import {
  HistoryCall,
  LineFault,
  formatHistory,
  parseHistory,
} from '../../src/shared/history/calls';
import { checkHistory, sayVerdict, Verdict } from '../../src/shared/history/verdict';
import { generateHistory } from '../../tools/history/generate';
import { seededDice } from '../../tools/sim/dice';

type Line = Partial<HistoryCall>;

const FAR = 100000;

function change(base: number, revision: number, start: number, end: number, more?: Line): Line {
  const hash = `h${revision}`;
  return { kind: 'replace', base, revision, hash, start, end, answer: 'ok', ...more };
}

function read(revision: number, start: number, end: number, more?: Line): Line {
  const hash = revision === 0 ? undefined : `h${revision}`;
  return { kind: 'read', revision, hash, start, end, answer: 'ok', ...more };
}

function named(revision: number, start: number, end: number, more?: Line): Line {
  return { key: 'weights/roster', kind: 'name', revision, start, end, answer: 'ok', ...more };
}

const REFUSED: Line = { answer: 'refused', reason: 'conflict' };
const UNKNOWN: Line = { answer: 'unknown' };

function judge(lines: Line[]): Verdict {
  function textOf(line: Line): string {
    return JSON.stringify({ key: 'deployment', ...line });
  }
  return checkHistory(callsOf(lines.map(textOf).join('\n')));
}

function callsOf(text: string): HistoryCall[] {
  const parsed = parseHistory(text);
  expect(parsed.isRight() ? [] : parsed.extract()).toEqual([]);
  return parsed.extract() as HistoryCall[];
}

function faultsOf(text: string): LineFault[] {
  const parsed = parseHistory(text);
  expect(parsed.isLeft()).toBe(true);
  return parsed.extract() as LineFault[];
}

/** Bad histories, with the lines that must be told. */
const BAD: Record<string, { lines: Line[]; told: number[] }> = {
  'an acknowledged write is lost': {
    lines: [change(0, 1, 0, 10), change(1, 2, 20, 30), read(1, 40, 50)],
    told: [2, 3],
  },
  'an acknowledged first write is lost': {
    lines: [change(0, 1, 0, 10), read(0, 40, 50)],
    told: [1, 2],
  },
  'two changes are acknowledged on one base': {
    lines: [change(0, 1, 0, 10), change(1, 2, 20, 60), change(1, 3, 25, 50)],
    told: [2, 3],
  },
  'an older version is read after a newer one was read': {
    lines: [change(0, 1, 0, 10), change(1, 2, 20, FAR, UNKNOWN), read(2, 30, 40), read(1, 50, 60)],
    told: [3, 4],
  },
  'a read is stale': {
    lines: [change(0, 1, 0, 10), change(1, 2, 20, 30), change(2, 3, 40, 50), read(2, 60, 70)],
    told: [3, 4],
  },
  'a refused order came into force': {
    lines: [change(0, 1, 0, 10), change(0, 2, 20, 30, REFUSED), read(2, 40, 50)],
    told: [1, 3],
  },
  'a refused order took effect from an earlier call without an answer': {
    lines: [
      change(0, 1, 0, 10),
      change(1, 2, 20, 30, { ...UNKNOWN, order: 'a' }),
      change(1, 3, 32, 38),
      change(1, 2, 40, 50, { ...REFUSED, order: 'a' }),
      read(2, 60, 70),
    ],
    told: [3, 5],
  },
  'an order took effect without an answer and is refused when it is sent again': {
    lines: [
      change(0, 1, 0, 10),
      change(1, 2, 20, 30, { ...UNKNOWN, order: 'a' }),
      read(2, 32, 38),
      change(2, 3, 40, 50),
      change(1, 2, 60, 70, { ...REFUSED, order: 'a' }),
      read(3, 80, 90),
    ],
    told: [2, 5],
  },
  'an order that was taken is refused when it is sent again': {
    lines: [change(0, 1, 0, 10, { order: 'a' }), change(0, 1, 20, 30, { ...REFUSED, order: 'a' })],
    told: [1, 2],
  },
  'a change is refused for a conflict though its base is current': {
    lines: [change(0, 1, 0, 10), read(1, 11, 12), change(1, 2, 20, 30, REFUSED)],
    told: [2, 3],
  },
  'a revision is read with another document': {
    lines: [change(0, 1, 0, 10), read(1, 20, 30, { hash: 'other' })],
    told: [1, 2],
  },
  'two documents are read of one revision whose document was not recorded': {
    lines: [
      change(0, 1, 0, 10, { hash: undefined }),
      read(1, 20, 30, { hash: 'one' }),
      read(1, 20, 30, { hash: 'two' }),
    ],
    told: [2, 3],
  },
  'a revision that does not rise is acknowledged': {
    lines: [change(0, 5, 0, 10), change(5, 4, 20, 30)],
    told: [2],
  },
  'a revision is read that nobody sent': {
    lines: [change(0, 1, 0, 10), read(7, 20, 30)],
    told: [1, 2],
  },
  'a named version is lost': {
    lines: [
      named(2, 0, 10),
      named(3, 20, 30),
      { ...read(2, 40, 50), key: 'weights/roster', hash: undefined },
    ],
    told: [2, 3],
  },
};

const GOOD: Record<string, Line[]> = {
  'an empty history': [],
  'an open call took effect': [
    change(0, 1, 0, 10),
    change(1, 2, 20, 30, UNKNOWN),
    read(1, 40, 50),
    read(2, 60, 70),
  ],
  'an open call did not take effect': [
    change(0, 1, 0, 10),
    change(1, 2, 20, 30, UNKNOWN),
    read(1, 40, 50),
  ],
  'an open call without an end': [
    change(0, 1, 0, 10),
    change(1, 2, 20, 30, { ...UNKNOWN, end: undefined }),
    change(1, 3, 40, 50),
  ],
  'open calls took effect one on the other': [
    change(0, 1, 0, 10),
    change(2, 3, 20, 30, UNKNOWN),
    change(1, 2, 20, 30, UNKNOWN),
    read(3, 60, 70),
  ],
  'an order without an answer is acknowledged when it is sent again': [
    change(0, 1, 0, 10, { ...UNKNOWN, order: 'a' }),
    read(1, 20, 30),
    change(0, 1, 40, 50, { order: 'a' }),
  ],
  'an acknowledged order is sent again without an answer': [
    change(0, 1, 0, 10, { order: 'a' }),
    change(1, 2, 20, 30),
    change(0, 1, 40, 50, { ...UNKNOWN, order: 'a' }),
    change(0, 1, 60, 70, { order: 'a' }),
    read(2, 80, 90),
  ],
  'reads of both versions while a change is under way': [
    change(0, 1, 0, 10),
    change(1, 2, 20, 60),
    read(1, 25, 30),
    read(2, 35, 40),
  ],
  'of two changes on one base one is refused': [
    change(0, 1, 0, 10),
    change(1, 2, 20, 60),
    change(1, 3, 25, 50, REFUSED),
    read(2, 80, 90),
  ],
  'an invalid change is refused on the current base': [
    change(0, 1, 0, 10),
    change(1, 2, 20, 60, { answer: 'refused', reason: 'invalid' }),
  ],
  'names in any order': [
    named(3, 0, 10),
    named(2, 20, 30),
    named(4, 20, 30, UNKNOWN),
    { ...read(3, 40, 50), key: 'weights/roster', hash: undefined },
  ],
};

function badOnes(): void {
  for (const [name, { lines, told }] of Object.entries(BAD)) {
    const verdict = judge(lines);
    expect({ name, told: verdict.findings[0]?.lines }).toEqual({ name, told });
  }
}

function goodOnes(): void {
  for (const [name, lines] of Object.entries(GOOD))
    expect({ name, findings: judge(lines).findings }).toEqual({ name, findings: [] });
}

function shortPart(): void {
  const lines: Line[] = [];
  for (let i = 0; i < 200; i++) {
    lines.push(change(i, i + 1, i * 100, i * 100 + 30));
    lines.push(change(i, 1000 + i, i * 100 + 5, i * 100 + 35, REFUSED));
    lines.push(read(i + 1, i * 100 + 50, i * 100 + 60));
  }
  lines.splice(300, 0, read(70, 100 * 100 - 20, 100 * 100 - 10));
  const verdict = judge(lines);
  expect(verdict.findings.length).toBe(1);
  expect(verdict.findings[0].lines).toEqual([300, 301]);
}

function randomOnes(): void {
  for (let seed = 1; seed <= 100; seed++) {
    const calls = generateHistory({ seed, clients: 1 + (seed % 8), calls: 150, lost: 0.1 });
    expect({ seed, findings: checkHistory(calls).findings }).toEqual({ seed, findings: [] });
  }
}

type Mutation = (calls: HistoryCall[], draw: () => number) => HistoryCall[] | undefined;

function chooseFrom(calls: HistoryCall[], draw: () => number): HistoryCall | undefined {
  return calls[Math.floor(draw() * calls.length)];
}

function replaced(calls: HistoryCall[], old: HistoryCall, fresh: Line): HistoryCall[] {
  function one(call: HistoryCall): HistoryCall {
    return call === old ? { ...call, ...fresh } : call;
  }
  return calls.map(one);
}

function isTaken(call: HistoryCall): boolean {
  return call.kind === 'replace' && call.answer === 'ok';
}

function isRead(call: HistoryCall): boolean {
  return call.kind === 'read';
}

function isRefused(call: HistoryCall): boolean {
  return call.answer === 'refused';
}

/** A read returns what a taken change had replaced before the read began. */
function staleRead(calls: HistoryCall[], draw: () => number): HistoryCall[] | undefined {
  const victim = chooseFrom(calls.filter(isRead), draw);
  if (!victim) return undefined;
  const before = calls.filter(isBefore);
  function isBefore(call: HistoryCall): boolean {
    return isTaken(call) && call.end < victim!.start;
  }
  const passed = chooseFrom(before, draw);
  if (!passed) return undefined;
  const hash = passed.base === 0 ? undefined : `h${passed.base}`;
  return replaced(calls, victim, { revision: passed.base, hash });
}

function refusedIsTaken(calls: HistoryCall[], draw: () => number): HistoryCall[] | undefined {
  const victim = chooseFrom(calls.filter(isRefused), draw);
  return victim && replaced(calls, victim, { answer: 'ok', reason: undefined });
}

function takenIsRefused(calls: HistoryCall[], draw: () => number): HistoryCall[] | undefined {
  const victim = chooseFrom(calls.filter(isTaken), draw);
  return victim && replaced(calls, victim, { answer: 'refused', reason: 'conflict' });
}

function otherDocument(calls: HistoryCall[], draw: () => number): HistoryCall[] | undefined {
  const victim = chooseFrom(calls.filter(isRead), draw);
  return victim && replaced(calls, victim, { hash: 'other' });
}

/** A taken change is told to have ended long before it began. */
function takenEarlier(calls: HistoryCall[], draw: () => number): HistoryCall[] | undefined {
  const victim = chooseFrom(calls.filter(isTaken), draw);
  if (!victim) return undefined;
  const start = victim.start - 500;
  return replaced(calls, victim, { start, end: start + 1 });
}

const MUTATIONS: Record<string, Mutation> = {
  staleRead,
  refusedIsTaken,
  takenIsRefused,
  otherDocument,
  takenEarlier,
};

function mutated(): void {
  const caught: Record<string, number> = {};
  for (const [name, mutate] of Object.entries(MUTATIONS)) {
    let made = 0;
    caught[name] = 0;
    for (let seed = 1; seed <= 40; seed++) {
      const calls = generateHistory({ seed, clients: 1 + (seed % 4), calls: 100, lost: 0.05 });
      const bad = mutate(calls, seededDice(seed * 31).next);
      if (!bad) continue;
      made++;
      if (checkHistory(bad).findings.length > 0) caught[name]++;
    }
    expect({ name, made: made >= 30 }).toEqual({ name, made: true });
    expect({ name, most: caught[name] >= made * 0.9 }).toEqual({ name, most: true });
  }
}

function many(): void {
  const began = performance.now();
  for (let seed = 1; seed <= 3; seed++) {
    const calls = generateHistory({ seed, clients: 8, calls: 1000, lost: 0.2 });
    expect(calls.length).toBeGreaterThanOrEqual(1000);
    expect(checkHistory(calls).findings).toEqual([]);
    const bad = staleRead(calls, seededDice(seed).next)!;
    expect(checkHistory(bad).findings.length).toBe(1);
  }
  expect(performance.now() - began).toBeLessThan(20000);
}

function faults(): void {
  const good = '{"key":"deployment","kind":"read","start":1,"end":2,"answer":"ok","revision":0}';
  const sent =
    '{"key":"deployment","kind":"replace","order":"a","start":1,"end":2,"answer":"ok","base":0,"revision":1}';
  const text = [
    good,
    'no json',
    '',
    '[]',
    '{"key":"","kind":"write","start":2,"end":1,"answer":"yes","mood":1}',
    '{"key":"deployment","kind":"update","start":"now","answer":"ok","revision":-1}',
    sent,
    sent.replace('"revision":1', '"revision":2'),
  ].join('\n');
  const lines = faultsOf(text);
  function at(line: number): string[] {
    function isAt(fault: LineFault): boolean {
      return fault.line === line;
    }
    function whyOf(fault: LineFault): string {
      return fault.why;
    }
    return lines.filter(isAt).map(whyOf);
  }
  expect(at(1)).toEqual([]);
  expect(at(2).length).toBe(1);
  expect(at(4)).toEqual(['a call must be a JSON object']);
  expect(at(5)).toEqual([
    'there is no field mood',
    'key must be a text',
    'kind must be one of replace, update, name, read',
    'answer must be one of ok, refused, unknown',
    'end is before start',
    'revision must be a whole number',
  ]);
  expect(at(6)).toEqual([
    'start must be a time in ms',
    'end may be left out of unknown calls only',
    'base must be a whole number',
    'revision must be a whole number',
  ]);
  expect(at(7)).toEqual([]);
  expect(at(8)).toEqual(['order a was another change on line 7']);
}

function thereAndBack(): void {
  const calls = generateHistory({ seed: 3, clients: 4, calls: 50, lost: 0.3 });
  expect(callsOf(formatHistory(calls))).toEqual(calls);
}

function said(): void {
  const text = [change(0, 1, 0, 10), read(0, 40, 50)].map(toLine).join('\n');
  function toLine(line: Line): string {
    return JSON.stringify({ key: 'deployment', ...line });
  }
  const calls = callsOf(text);
  expect(sayVerdict(checkHistory(calls), calls).split('\n')).toEqual([
    '1 findings: 2 calls at 1 keys',
    'deployment: not linearizable',
    '  line 1: operator replace 0 -> 1 hash h1: ok, 0..10 ms',
    '  line 2: operator read revision 0: ok, 40..50 ms',
  ]);
}

test('bad histories are caught, and the calls that can not all be so are told', badOnes);
test('good histories with open calls pass', goodOnes);
test('a violation in a long history is told by its two calls', shortPart);
test('random histories of a register that is right pass', randomOnes);
test(
  'of random histories that were made wrong at least nine in ten of each kind are caught',
  mutated,
);
test('1,000 calls, 8 at a time, are judged in seconds', many);
test('a file is checked on reading, with faults by line', faults);
test('a history that is written and read is the same', thereAndBack);
test('a verdict is said with the calls of the violation', said);
