import { crc32 } from 'node:zlib';
import { pack } from 'msgpackr';
import { Right } from 'purify-ts';
import { Acceptor, makeOwner, Reach } from '../src/control/register';
import { openSlots, Slots } from '../src/control/slots';
import { KeptVotes, readVotes, Votes } from '../src/control/votes';
import { dispatch } from '../src/shared/edge';
import { bad, open, Outcome } from '../src/shared/errors';
import { Ports } from '../src/shared/ports';
import { Voter, Voters } from '../src/shared/words';
import { seededDice } from '../tools/sim/dice';
import { makeNet } from '../tools/sim/simwire';
import { makeWorld } from '../tools/sim/simworld';

type Files = Map<string, Uint8Array>;

function portsOn(files: Files, seed = 3): Ports {
  const w = makeWorld(1, false);
  const base = makeNet(w).ports(w.proc('node', '127.10.1.1'));
  async function read(name: string): Promise<Outcome<Uint8Array | undefined>> {
    return Right(files.get(name));
  }
  async function write(name: string, bytes: Uint8Array): Promise<Outcome<void>> {
    files.set(name, Uint8Array.from(bytes));
    return Right(undefined);
  }
  async function append(name: string, bytes: Uint8Array): Promise<Outcome<void>> {
    files.set(name, Buffer.concat([files.get(name) ?? new Uint8Array(0), bytes]));
    return Right(undefined);
  }
  return { ...base, dice: seededDice(seed), disk: { read, write, append } };
}

async function opened(files: Files, seed = 3): Promise<Slots> {
  const [f, s] = open(await openSlots(portsOn(files, seed), 1 << 20));
  expect(f).toBeUndefined();
  return s!;
}

/** Three voters on files of their own; messages pass only where `passes` says so. */
async function three(): Promise<{
  node: (
    i: number,
    life: string,
    passes: (to: number, type: string) => boolean,
  ) => Promise<ReturnType<typeof makeOwner>>;
  cell: (i: number) => unknown;
  lose: (i: number) => Promise<void>;
  replace: (i: number) => Promise<void>;
}> {
  const files: Files[] = [new Map(), new Map(), new Map()];
  const slots: Slots[] = [];
  const acceptors: Acceptor[] = [];
  const set: Voter[] = [];
  for (const [i, x] of files.entries()) {
    slots.push(await opened(x, i));
    set.push({ disk: slots[i].disk, at: String(i) });
  }
  const kept = files.map(copyOf);
  let next: Voter[] | undefined;
  function voters(): Voters {
    return { now: set, next };
  }
  function nothing(): void {}
  async function node(
    i: number,
    life: string,
    passes: (to: number, type: string) => boolean,
  ): Promise<ReturnType<typeof makeOwner>> {
    const reach: Reach = { by: life, within: 100, voters, ask, learned: nothing, learnHere };
    async function learnHere(): Promise<unknown> {
      return undefined;
    }
    async function ask(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>> {
      if (!passes(Number(v.at), type)) return bad(type, v.at, 'cut', 'unknown', 'timeout');
      return dispatch([acceptors[Number(v.at)]], type, body, undefined, v.at);
    }
    for (const [k, s] of slots.entries()) acceptors[k] = new Acceptor(s, reach, portsOn(files[k]));
    return makeOwner(slots[i], reach);
  }
  function cell(i: number): unknown {
    return slots[i].cells.get('k')?.learned?.value;
  }
  async function lose(i: number): Promise<void> {
    files[i] = copyOf(kept[i]);
    slots[i] = await opened(files[i], i);
  }
  async function replace(i: number): Promise<void> {
    files[i] = new Map();
    slots[i] = await opened(files[i], i + 20);
    next = set.with(i, { disk: slots[i].disk, at: String(i) });
  }
  return { node, cell, lose, replace };
}

function copyOf(f: Files): Files {
  return new Map(f);
}

function value(v: string): () => Outcome<unknown> {
  function make(): Outcome<unknown> {
    return Right(v);
  }
  return make;
}

async function inPlace(): Promise<void> {
  const t = await three();
  let cut = false;
  function passes(to: number): boolean {
    return !cut || to !== 1;
  }
  const owner = await t.node(0, 'a.1', passes);
  expect((await owner.change('k', value('before'))).isRight()).toBe(true);
  await t.replace(2);
  cut = true;
  expect((await owner.change('k', value('at one of the old set'))).isLeft()).toBe(true);
}

async function oneEpoch(): Promise<void> {
  const t = await three();
  function first(to: number, type: string): boolean {
    return type === 'prepare' ? to !== 0 : to === 1 && type === 'accept';
  }
  function second(to: number, type: string): boolean {
    return to !== 1 || type.startsWith('learn');
  }
  expect((await (await t.node(0, 'a.1', first)).change('k', value('lost'))).isLeft()).toBe(true);
  await t.lose(0);
  const again = await t.node(0, 'a.2', second);
  for (let i = 0; i < 3; i++) await again.own('k');
  expect((await again.change('k', value('acknowledged'))).isRight()).toBe(true);
  expect([0, 1, 2].map(t.cell)).toEqual(['acknowledged', 'acknowledged', 'acknowledged']);
}

/** Whether a promise has come back once all that could run has run. */
async function isBack(p: Promise<unknown>): Promise<boolean> {
  let back = false;
  function told(): void {
    back = true;
  }
  void p.then(told);
  function turns(go: () => void): void {
    setImmediate(go);
  }
  for (let i = 0; i < 5; i++) await new Promise<void>(turns);
  return back;
}

async function toldWhenSynced(): Promise<void> {
  const files: Files = new Map();
  const ports = portsOn(files);
  let fails = false;
  let held: (() => void)[] | undefined = [];
  async function append(name: string, bytes: Uint8Array): Promise<Outcome<void>> {
    function wait(go: () => void): void {
      if (held) held.push(go);
      else go();
    }
    await new Promise<void>(wait);
    return fails
      ? bad('append', name, 'no space', 'failed', 'disk')
      : ports.disk.append(name, bytes);
  }
  async function write(name: string, bytes: Uint8Array): Promise<Outcome<void>> {
    return fails ? bad('write', name, 'no space', 'failed', 'disk') : ports.disk.write(name, bytes);
  }
  const slow: Ports = { ...ports, disk: { ...ports.disk, append, write } };
  const [, slots] = open(await openSlots(slow, 1 << 20));
  const set = { now: [{ disk: slots!.disk, at: '0' }] };
  function voters(): typeof set {
    return set;
  }
  function nothing(): void {}
  async function never(): Promise<Outcome<unknown>> {
    return bad('ask', '', 'nobody', 'refused', 'none');
  }
  const acceptor = new Acceptor(
    slots!,
    { by: 'a.1', within: 1, voters, ask: never, learned: nothing, learnHere: never },
    slow,
  );
  const votes = new Votes(slots!, slow, voters, 1000);
  await votes.begin({ votes: [], file: 0, gen: 0, disk: '', spoilt: false });
  const change = { key: 'k', epoch: 1, by: 'a.1', number: 1, value: 1 };
  const vote = { key: 'x', run: 'r1', state: 'running' };
  const acts = [
    [acceptor, 'learn', { change }],
    [votes, 'copy', [vote]],
    [votes, 'vote', { key: 'x', run: 'r2' }],
    [votes, 'run', { key: 'x', run: 'r1', state: 'done' }],
  ] as const;
  const told: Promise<Outcome<unknown>>[] = [];
  for (const [edge, type, body] of [...acts, ...acts]) {
    told.push(dispatch([edge], type, body, undefined, ''));
    expect({ type, back: await isBack(told[told.length - 1]) }).toEqual({ type, back: false });
  }
  fails = true;
  for (const go of held.splice(0)) go();
  held = undefined;
  for (const o of await Promise.all(told)) expect(o.isLeft()).toBe(true);
  for (const [edge, type, body] of acts)
    expect({ type, kept: (await dispatch([edge], type, body, undefined, '')).isRight() }).toEqual({
      type,
      kept: false,
    });
  fails = false;
  for (const [edge, type, body] of acts)
    expect({ type, kept: (await dispatch([edge], type, body, undefined, '')).isRight() }).toEqual({
      type,
      kept: true,
    });
  const after = await opened(files);
  expect(after.cells.get('k')?.learned).toEqual(change);
}

function numberOf(s: Slots): number {
  return s.cells.get('k')?.accepted?.number ?? 0;
}

function acceptedLine(n: number): Parameters<Slots['put']>[0] {
  return {
    key: 'k',
    promised: { epoch: 1, by: 'a' },
    accepted: { key: 'k', epoch: 1, by: 'a', number: n, value: 'v'.repeat(n * 5) },
  };
}

async function everyCut(): Promise<void> {
  const files: Files = new Map();
  const s = await opened(files);
  const ends: { log: number; number: number }[] = [{ log: files.get('log-1')!.length, number: 0 }];
  for (let n = 1; n <= 6; n++) {
    await s.put(acceptedLine(n));
    ends.push({ log: files.get('log-1')!.length, number: n });
  }
  const log = files.get('log-1')!;
  for (let cut = ends[0].log; cut <= log.length; cut++) {
    const want = ends.filter(before).pop()!.number;
    function before(e: { log: number }): boolean {
      return e.log <= cut;
    }
    for (const hole of [0, 700]) {
      const torn: Files = new Map(files);
      torn.set('log-1', Buffer.concat([log.subarray(0, cut), Buffer.alloc(hole)]));
      const again = await opened(torn, 9);
      expect({ cut, hole, number: numberOf(again), disk: again.disk }).toEqual({
        cut,
        hole,
        number: want,
        disk: s.disk,
      });
    }
  }
}

/** Files with one byte changed, and with one of them emptied or gone, for every file and byte. */
function* spoils(files: Files): Generator<{ what: string; files: Files }> {
  for (const [name, bytes] of files) {
    for (let at = 0; at < bytes.length; at++) {
      const bent = Uint8Array.from(bytes);
      bent[at] ^= 0x41;
      yield { what: `${name} at ${at}`, files: new Map(files).set(name, bent) };
    }
    yield { what: `${name} emptied`, files: new Map(files).set(name, new Uint8Array(0)) };
    const less = new Map(files);
    less.delete(name);
    yield { what: `${name} gone`, files: less };
  }
}

async function everySpoiltByte(): Promise<void> {
  const files: Files = new Map();
  const first = await opened(files);
  await first.put(acceptedLine(1));
  const s = await opened(files);
  for (let n = 2; n <= 4; n++) await s.put(acceptedLine(n));
  let kept = 0;
  for (const x of spoils(files)) {
    const again = await opened(x.files, 9);
    const same = again.disk === first.disk;
    if (same) kept++;
    expect({ what: x.what, forgot: same && numberOf(again) !== 4, spoilt: again.spoilt }).toEqual({
      what: x.what,
      forgot: false,
      spoilt: !same,
    });
    const later = await opened(x.files, 10);
    expect({ what: x.what, disk: later.disk, spoilt: later.spoilt }).toEqual({
      what: x.what,
      disk: again.disk,
      spoilt: again.spoilt,
    });
  }
  expect(kept).toBeGreaterThan(files.get('slot-0')!.length + files.get('slot-1')!.length);
}

async function voteKept(): Promise<void> {
  const files: Files = new Map();
  const disk = await opened(files);
  const voters = { now: [{ disk: disk.disk, at: '127.10.1.1:7000' }] };
  function set(): typeof voters {
    return voters;
  }
  async function votesOn(): Promise<Votes> {
    const v = new Votes(disk, portsOn(files), set, 1000);
    await v.begin((await readVotes(portsOn(files))).extract() as KeptVotes);
    return v;
  }
  const one = await votesOn();
  expect((await one.vote({ key: 'a', run: 'r1' })).extract()).toMatchObject({ run: 'r1' });
  await one.run({ key: 'a', run: 'r1', state: 'done' });
  await one.vote({ key: 'b', run: 'r2' });
  await one.run({ key: 'b', run: 'r2', state: 'released' });
  for (let i = 0; i < 4; i++) {
    const again = await votesOn();
    expect((await again.vote({ key: 'a', run: 'r3' })).extract()).toMatchObject({
      run: 'r1',
      state: 'done',
    });
    if (i === 3)
      expect((await again.vote({ key: 'b', run: 'r4' })).extract()).toMatchObject({ run: 'r4' });
  }
  const held = [];
  for (const begins of ['a', 'b', 'c'])
    held.push(
      ((await one.held({ begins })).extract() as { votes: { key: string }[] }).votes
        .map(keyOf)
        .join(),
    );
  expect(held).toEqual(['a', '', '']);
  function keyOf(x: { key: string }): string {
    return x.key;
  }
  const votesOnly = new Map([...files].filter(isVotes));
  function isVotes(x: [string, unknown]): boolean {
    return x[0].startsWith('votes');
  }
  for (const x of spoils(votesOnly)) {
    if (/emptied|gone/.test(x.what)) continue;
    expect({
      what: x.what,
      spoilt: ((await readVotes(portsOn(x.files))).extract() as KeptVotes).spoilt,
    }).toEqual({ what: x.what, spoilt: true });
  }
}

test('a log cut at any byte, or with a hole at its end, gives what was whole before it', everyCut);
test(
  'a byte changed anywhere loses nothing, or makes it a new disk that does not vote',
  everySpoiltByte,
);
test('a vote outlives restarts, and a released key can be run anew', voteKept);
test(
  'one epoch never carries two values, also when an owner forgot its promise and came back',
  oneEpoch,
);
function oldFrame(v: unknown): Buffer {
  const body = pack(v);
  const head = Buffer.alloc(8);
  head.writeUInt32BE(body.length, 0);
  head.writeUInt32BE(crc32(body), 4);
  return Buffer.concat([head, body]);
}

async function oldFolder(): Promise<void> {
  const one = { key: 'k', epoch: 1, by: 'a', number: 1, value: 1 };
  const vote = { key: 'x', run: 'r1', state: 'done' };
  const files: Files = new Map([
    ['slot-1', oldFrame({ gen: 1, disk: 'd', cells: [] })],
    [
      'slot-0',
      oldFrame({
        gen: 2,
        disk: 'd',
        cells: [['k', { promised: { epoch: 1, by: 'a' }, accepted: one }]],
      }),
    ],
    ['log-1', Buffer.alloc(0)],
    ['log-0', Buffer.concat([oldFrame(acceptedLine(5)), oldFrame({ key: 'k', learned: true })])],
    ['votes-1', Buffer.concat([oldFrame({ gen: 4 }), oldFrame({ vote })])],
    ['votes-0', oldFrame({ gen: 3 })],
  ]);
  for (let i = 0; i < 4; i++) {
    const kept = (await readVotes(portsOn(files))).extract() as KeptVotes;
    const [, s] = open(await openSlots(portsOn(files), 1 << 20, kept));
    expect({
      i,
      disk: s!.disk,
      spoilt: s!.spoilt,
      number: numberOf(s!),
      learned: s!.cells.get('k')?.learned?.number,
    }).toEqual({ i, disk: 'd', spoilt: false, number: 5, learned: 5 });
    const votes = new Votes(s!, portsOn(files), nobody, 1000);
    await votes.begin(kept);
    expect((await votes.held({ begins: 'x' })).extract()).toMatchObject({ votes: [vote] });
  }
  function nobody(): undefined {
    return undefined;
  }
}

async function noVotes(): Promise<void> {
  const files: Files = new Map();
  const s = await opened(files);
  await s.put(acceptedLine(1));
  for (const disk of [s.disk, '']) {
    const [, again] = open(
      await openSlots(portsOn(new Map(files), 9), 1 << 20, { disk, spoilt: false }),
    );
    expect(again!.disk === s.disk).toBe(disk === s.disk);
  }
}

test('a data folder of version 0.1 is taken over whole, and stays so', oldFolder);
test('a disk whose votes files are gone counts as a new one', noVotes);
test(
  'an emptied disk at the address of a voter does not count as that voter, also while it joins',
  inPlace,
);
test(
  'nothing is answered before what it tells is synced, nor after a write that failed',
  toldWhenSynced,
);
