import { Right } from 'purify-ts';
import { Acceptor, Reach } from '../../src/control/consensus/acceptor';
import { makeOwner, Owner } from '../../src/control/consensus/key-owner';
import { openSlots } from '../../src/control/storage/control-store';
import { dispatch } from '../../src/shared/transport/handlers';
import { bad, open, Outcome } from '../../src/shared/errors/errors';
import { Numbered, Voter, Voters } from '../../src/shared/state/words';
import { makeNet } from '../../tools/sim/simwire';
import { makeWorld, World } from '../../tools/sim/simworld';

interface Three {
  w: World;
  owner(by: string): Owner;
  drive<T>(p: Promise<T>): Promise<T>;
}

/** Three voters' disks, and owners that reach them all. */
async function three(): Promise<Three> {
  const w = makeWorld(3, false);
  const net = makeNet(w);
  const acceptors = new Map<string, Acceptor>();
  const voters: Voters = { now: [] };
  let upTo = 0;
  async function drive<T>(p: Promise<T>): Promise<T> {
    let done = false;
    function told(): void {
      done = true;
    }
    void p.then(told);
    while (!done) await w.run((upTo += 10));
    return p;
  }
  function given(): Voters {
    return voters;
  }
  function nothing(): void {}
  function reachOf(by: string): Reach {
    function ask(v: Voter, type: string, body: unknown): Promise<Outcome<unknown>> {
      return dispatch([acceptors.get(v.disk)!], type, body, undefined, by);
    }
    return { by, within: 500, voters: given, ask, learned: nothing, learnHere: nowhere };
  }
  async function nowhere(): Promise<void> {}
  for (const n of ['1', '2', '3']) {
    const ports = net.ports(w.proc(`disk-${n}`, `127.30.1.${n}`));
    const [, slots] = open(await drive(openSlots(ports, 1 << 20)));
    voters.now.push({ disk: slots!.disk, at: n });
    acceptors.set(slots!.disk, new Acceptor(slots!, reachOf(`voter-${n}`), ports));
  }
  async function blank(): Promise<Outcome<void>> {
    return Right(undefined);
  }
  function owner(by: string): Owner {
    return makeOwner(
      { disk: by, cells: new Map(), put: blank, settled: blank } as never,
      reachOf(by),
    );
  }
  return { w, owner, drive };
}

function onTopOf(base: unknown, value: unknown): (now: Numbered | undefined) => Outcome<unknown> {
  function make(now: Numbered | undefined): Outcome<unknown> {
    return now?.value === base
      ? Right(value)
      : bad('change', 'k', `${String(now?.value)} stands`, 'refused', 'conflict');
  }
  return make;
}

/** Changes as callers do: again where the owner first had to hear of a higher epoch. */
async function twice(
  t: Three,
  o: Owner,
  make: (now: Numbered | undefined) => Outcome<unknown>,
): Promise<Outcome<Numbered>> {
  const r = await t.drive(o.change('k', make));
  return r.isLeft() ? t.drive(o.change('k', make)) : r;
}

async function outdatedOwner(): Promise<void> {
  const t = await three();
  const a = t.owner('a');
  const b = t.owner('b');
  expect((await t.drive(a.change('k', onTopOf(undefined, 'one')))).isRight()).toBe(true);
  expect((await twice(t, b, onTopOf('one', 'two'))).isRight()).toBe(true);
  const o = await twice(t, a, onTopOf('two', 'three'));
  expect(o.map(valueOf).extract()).toBe('three');
  expect((await t.drive(a.change('k', onTopOf('two', 'four')))).extract()).toMatchObject({
    code: 'conflict',
    sort: 'refused',
  });
}

/** Any fault is by what stands, whatever its code. */
async function outdatedVerdict(): Promise<void> {
  for (const code of ['stands', 'bad-deployment', 'conflict']) {
    const t = await three();
    const a = t.owner('a');
    const b = t.owner('b');
    function unlessOne(now: Numbered | undefined): Outcome<unknown> {
      return now?.value === 'one' ? bad('change', 'k', 'one stands', 'refused', code) : Right('x');
    }
    expect((await t.drive(a.change('k', onTopOf(undefined, 'one')))).isRight()).toBe(true);
    expect((await t.drive(a.change('k', unlessOne))).extract()).toMatchObject({ code });
    expect((await twice(t, b, onTopOf('one', 'two'))).isRight()).toBe(true);
    expect([code, (await twice(t, a, unlessOne)).map(valueOf).extract()]).toEqual([code, 'x']);
  }
}

/** Readers that have a key settled at the same time: one settling is under way, and one for all who came meanwhile. */
async function settledTogether(): Promise<void> {
  const t = await three();
  const a = t.owner('a');
  expect((await t.drive(a.change('k', onTopOf(undefined, 'one')))).isRight()).toBe(true);
  const first = a.ownAnew('k');
  await Promise.resolve();
  await Promise.resolve();
  const later = [a.ownAnew('k'), a.ownAnew('k'), a.ownAnew('k'), a.ownAnew('k')];
  const all = await t.drive(Promise.all([first, ...later]));
  const epochs = new Set<number>();
  for (const o of all) epochs.add((o.extract() as Numbered).epoch);
  expect([...epochs]).toEqual([2, 3]);
  expect((await t.drive(a.ownAnew('k'))).extract()).toMatchObject({ epoch: 4, value: 'one' });
}

function valueOf(n: Numbered): unknown {
  return n.value;
}

test('an owner that another has followed refuses nothing by the value that it held', outdatedOwner);
test('nor does it give any other verdict by that value', outdatedVerdict);
test('settlings of a key that wait for their turn are done in one', settledTogether);
