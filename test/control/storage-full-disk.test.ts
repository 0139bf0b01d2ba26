import { isDeepStrictEqual } from 'node:util';
import { Acceptor } from '../../src/control/consensus/acceptor';
import { openControlStore, ControlStore } from '../../src/control/storage/control-store';
import { StoredVotes, readStoredVotes } from '../../src/control/storage/vote-files';
import { IdempotencyVotes } from '../../src/control/storage/idempotency-votes';
import { dispatch } from '../../src/shared/transport/message-handlers';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { VersionedValue } from '../../src/shared/state/versions';
import { VoterSet } from '../../src/shared/state/voter-set';
import { makeNet, SimNet } from '../../tools/sim/simwire';
import { makeWorld, Proc, World } from '../../tools/sim/simworld';

/** The log is short here, so that slots take turns often. */
const MOST_LOG = 1200;
/** A disk that hangs is opened all the same after this. */
const OPEN_WITHIN = 500;

async function settled<T>(w: World, p: Promise<T>, most = 5000): Promise<T | undefined> {
  let got: { v: T } | undefined;
  function told(v: T): void {
    got = { v };
  }
  void p.then(told);
  for (let i = 0; i < most && !got; i++) await w.run(w.now() + 1);
  return got?.v;
}

interface Machine {
  w: World;
  net: SimNet;
  p: Proc;
}

function machine(seed: number): Machine {
  const w = makeWorld(seed, false);
  return { w, net: makeNet(w), p: w.proc('node', '10.1.0.1') };
}

interface Opened {
  slots: ControlStore;
  votes: IdempotencyVotes;
}

function openAll(m: Machine): Promise<Opened> {
  const ports = m.net.ports(m.p);
  async function run(): Promise<Opened> {
    const kept = (await readStoredVotes(ports)).extract() as StoredVotes;
    const slots = (
      await openControlStore(ports, MOST_LOG, kept, OPEN_WITHIN)
    ).extract() as ControlStore;
    function voters(): VoterSet {
      return { now: [{ disk: slots.diskId, at: '10.1.0.1:7000' }] };
    }
    const votes = new IdempotencyVotes(slots, ports, voters, 400);
    await votes.start(kept, OPEN_WITHIN);
    return { slots, votes };
  }
  return run();
}

/** A change with a value that is stored whole, or with one that is long enough to be stored as a difference. */
function accepted(number: number, long = false): VersionedValue {
  const value = long ? { items: itemsOf(number) } : 'v'.repeat(50 + number * 7);
  return { key: 'k', epoch: 1, by: 'a.1', number, value };
}

function itemsOf(number: number): object[] {
  const items: object[] = [];
  for (let i = 0; i < 60; i++)
    items.push({ name: `item-${i}`, text: 't'.repeat(40), since: number - (number % (i + 1)) });
  return items;
}

/** Writes on while there is room and after, and shows at each step what a restart would find. */
async function fullFrom(
  room: number,
  refused: number,
  seed: number,
  long: boolean,
): Promise<string[]> {
  const faults: string[] = [];
  const m = machine(seed);
  const { slots, votes } = (await settled(m.w, openAll(m)))!;
  const voted: string[] = [];
  let acked = 0;
  m.p.disk.room = room;
  for (let n = 1; n <= 24; n++) {
    if (m.p.disk.room < -refused) m.p.disk.room = Infinity;
    const change = accepted(n, long);
    const [f] = errorOrValue(
      (await settled(
        m.w,
        slots.put({ key: 'k', promised: { epoch: 1, by: 'a.1' }, accepted: change }),
      ))!,
    );
    if (!f) acked = n;
    const learned = (await settled(m.w, slots.put({ key: 'k', learned: true })))!;
    const vote = (await settled(m.w, votes.vote({ key: `x${n}`, run: `r${n}` })))!;
    if (vote.isRight()) voted.push(`x${n}`);
    if (m.p.disk.room === Infinity && n > room + refused + 2 && (f || learned.isLeft()))
      faults.push(`change ${n} is not taken though there is room`);
    faults.push(...(await foundAnew(m, slots, acked, voted.slice(-20))));
  }
  if (!slots.isWritable()) faults.push('not fit at the end');
  return faults;
}

/** What a restart from the files as they are would have lost. */
async function foundAnew(
  m: Machine,
  was: ControlStore,
  acked: number,
  voted: string[],
): Promise<string[]> {
  const faults: string[] = [];
  const copy = machine(7);
  for (const [name, bytes] of m.p.files) copy.p.files.set(name, bytes);
  const { slots, votes } = (await settled(copy.w, openAll(copy)))!;
  const number = slots.registers.get('k')?.accepted?.number ?? 0;
  if (slots.diskId !== was.diskId || slots.isCorrupt)
    faults.push(`counts as a new disk at ${acked}`);
  const whole = slots.registers.get('k')?.accepted;
  const long = typeof whole?.value === 'object';
  if (whole && !isDeepStrictEqual(whole, accepted(number, long)))
    faults.push(`holds another value at ${number}`);
  if (number < acked) faults.push(`holds ${number} where ${acked} was acknowledged`);
  const held = (await settled(copy.w, votes.listVotes({ begins: 'x' })))!;
  const keys = new Set<string>();
  for (const v of (held.extract() as { votes: { key: string }[] }).votes) keys.add(v.key);
  for (const key of voted) if (!keys.has(key)) faults.push(`lost the vote for ${key}`);
  return faults;
}

async function everyWrite(long: boolean): Promise<void> {
  const faults: string[] = [];
  for (let room = 0; room < 40; room++)
    for (const refused of [0, 1, 2, 7])
      for (const x of await fullFrom(room, refused, room + 1, long))
        faults.push(`room ${room} refused ${refused}: ${x}`);
  expect(faults).toEqual([]);
}

function everyWriteWhole(): Promise<void> {
  return everyWrite(false);
}

function everyWriteOfDifferences(): Promise<void> {
  return everyWrite(true);
}

async function fullAtOpen(): Promise<void> {
  for (const kept of [false, true]) {
    const m = machine(3);
    if (kept) {
      const first = (await settled(m.w, openAll(m)))!;
      await settled(m.w, first.slots.put({ key: 'k', accepted: accepted(1) }));
    }
    m.p.disk.full = true;
    const { slots, votes } = (await settled(m.w, openAll(m)))!;
    expect(slots.isWritable()).toBe(false);
    expect(slots.registers.get('k')?.accepted?.number).toBe(kept ? 1 : undefined);
    const line = { key: 'k', accepted: accepted(2) };
    expect((await settled(m.w, slots.put(line)))!.isLeft()).toBe(true);
    expect((await settled(m.w, votes.vote({ key: 'x', run: 'r' })))!.isLeft()).toBe(true);
    m.p.disk.full = false;
    expect((await settled(m.w, slots.put(line)))!.isRight()).toBe(true);
    expect((await settled(m.w, votes.vote({ key: 'x', run: 'r' })))!.isRight()).toBe(true);
    expect(slots.isWritable()).toBe(true);
  }
}

/** What a hanging disk holds up at the start is the votes of this node, and nothing else. */
async function hangsAtOpen(): Promise<void> {
  for (const kept of [false, true]) {
    const m = machine(4);
    if (kept) {
      const first = (await settled(m.w, openAll(m)))!;
      await settled(m.w, first.slots.put({ key: 'k', accepted: accepted(1) }));
    }
    m.w.stall(m.p, true);
    const opened = await settled(m.w, openAll(m), 1500);
    expect({ kept, opened: opened !== undefined }).toEqual({ kept, opened: true });
    const { slots, votes } = opened!;
    expect(slots.isWritable()).toBe(false);
    expect(slots.registers.get('k')?.accepted?.number).toBe(kept ? 1 : undefined);
    const put = slots.put({ key: 'k', accepted: accepted(2) });
    const vote = votes.vote({ key: 'x', run: 'r' });
    expect(await settled(m.w, put, 300)).toBeUndefined();
    m.w.stall(m.p, false);
    expect((await settled(m.w, put))!.isRight()).toBe(true);
    expect((await settled(m.w, vote))!.isRight()).toBe(true);
    expect(slots.isWritable()).toBe(true);
    expect(await foundAnew(m, slots, 2, ['x'])).toEqual([]);
  }
}

/** While one write is under way, and after it has failed, nothing is answered by what is in memory only. */
async function answersWhenSynced(): Promise<void> {
  const m = machine(5);
  const { slots } = (await settled(m.w, openAll(m)))!;
  function voters(): VoterSet {
    return { now: [{ disk: slots.diskId, at: '10.1.0.1:7000' }] };
  }
  function nothing(): void {}
  async function nobody(): Promise<Result<unknown>> {
    return failure('ask', '', 'nobody', 'refused', 'none');
  }
  const reach = {
    ownerId: 'a.1',
    timeoutMs: 1,
    voters,
    request: nobody,
    onLearned: nothing,
    learnLocally: nobody,
  };
  const acceptor = new Acceptor(slots, reach, m.net.ports(m.p));
  const change = { ...accepted(1), epoch: 5 };
  const asks: [string, object][] = [
    ['accept', { change }],
    ['accept', { change }],
    ['learn-accepted', { place: { key: 'k', epoch: 5, by: 'a.1', number: 1 } }],
    ['learn', { change }],
    ['prepare', { key: 'k', epoch: 6, by: 'b.1' }],
    ['prepare', { key: 'k', epoch: 7, by: 'c.1' }],
  ];
  function send([type, body]: [string, object]): Promise<Result<unknown>> {
    return dispatch([acceptor], type, body, undefined, 'node');
  }
  m.w.stall(m.p, true);
  const told = asks.map(send);
  for (const o of told) expect(await settled(m.w, o, 50)).toBeUndefined();
  const stale = (await settled(m.w, send(['prepare', { key: 'k', epoch: 6, by: 'd.1' }])))!;
  expect(stale.extract()).toMatchObject({ ok: false });
  m.p.disk.full = true;
  m.w.stall(m.p, false);
  for (const o of told) expect((await settled(m.w, o))!.isLeft()).toBe(true);
  expect((await settled(m.w, send(asks[3])))!.isLeft()).toBe(true);
  m.p.disk.full = false;
  const next = (await settled(m.w, send(['prepare', { key: 'k', epoch: 8, by: 'e.1' }])))!;
  expect(next.extract()).toMatchObject({ ok: true, accepted: change });
  const copy = machine(8);
  for (const [name, bytes] of m.p.files) copy.p.files.set(name, bytes);
  const again = (await settled(copy.w, openAll(copy)))!.slots.registers.get('k')!;
  expect(again).toEqual({
    promised: { epoch: 8, by: 'e.1' },
    accepted: change,
    learned: change,
  });
}

test('a disk that is full from any write on loses nothing, and is written again', everyWriteWhole);
test('nor where the log holds differences', everyWriteOfDifferences);
test('prepare, accept and learn are answered by what is synced only', answersWhenSynced);
test('a node starts on a full disk, and votes once there is room', fullAtOpen);
test('a node starts on a disk that hangs, and votes once that goes on', hangsAtOpen);
