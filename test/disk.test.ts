import { Right } from 'purify-ts';
import { openSlots, Slots } from '../src/control/slots';
import { Votes } from '../src/control/votes';
import { open, Outcome } from '../src/shared/errors';
import { Ports } from '../src/shared/ports';
import { seededDice } from '../tools/dice';
import { makeNet } from '../tools/simwire';
import { makeWorld } from '../tools/simworld';

type Files = Map<string, Uint8Array>;

function portsOn(files: Files): Ports {
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
  return { ...base, dice: seededDice(3), disk: { read, write, append } };
}

async function opened(files: Files): Promise<Slots> {
  const [f, s] = open(await openSlots(portsOn(files), 1 << 20));
  expect(f).toBeUndefined();
  return s!;
}

function numberOf(s: Slots): number {
  return s.cells.get('k')?.accepted?.number ?? 0;
}

async function everyCut(): Promise<void> {
  const files: Files = new Map();
  const s = await opened(files);
  const ends: { log: number; number: number }[] = [{ log: 0, number: 0 }];
  for (let n = 1; n <= 6; n++) {
    await s.put({ key: 'k', promised: { epoch: 1, by: 'a' }, accepted: { key: 'k', epoch: 1, by: 'a', number: n, value: 'v'.repeat(n * 5) } });
    ends.push({ log: files.get('log-1')!.length, number: n });
  }
  const log = files.get('log-1')!;
  for (let cut = 0; cut <= log.length; cut++) {
    const torn: Files = new Map(files);
    torn.set('log-1', log.subarray(0, cut));
    const again = await opened(torn);
    const want = ends.filter(before).pop()!.number;
    function before(e: { log: number }): boolean {
      return e.log <= cut;
    }
    expect({ cut, number: numberOf(again), disk: again.disk }).toEqual({ cut, number: want, disk: s.disk });
  }
  for (let at = 0; at < log.length; at += 3) {
    const bent = Uint8Array.from(log);
    bent[at] ^= 0x40;
    const files2: Files = new Map(files);
    files2.set('log-1', bent);
    const again = await opened(files2);
    const whole = ends.filter(before).pop()!.number;
    function before(e: { log: number }): boolean {
      return e.log <= at;
    }
    expect({ at, number: numberOf(again) }).toEqual({ at, number: whole });
  }
}

async function tornSlot(): Promise<void> {
  const files: Files = new Map();
  const s = await opened(files);
  await s.put({ key: 'k', accepted: { key: 'k', epoch: 1, by: 'a', number: 1, value: 1 } });
  const before: Files = new Map(files);
  await opened(files);
  const slot = files.get('slot-0')!;
  for (let cut = 0; cut <= slot.length; cut++) {
    const torn: Files = new Map(before);
    torn.set('log-0', new Uint8Array(0));
    torn.set('slot-0', slot.subarray(0, cut));
    expect({ cut, number: numberOf(await opened(torn)) }).toEqual({ cut, number: 1 });
  }
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
    await v.begin();
    return v;
  }
  const one = await votesOn();
  expect((await one.vote({ key: 'a', run: 'r1' })).extract()).toMatchObject({ run: 'r1' });
  await one.run({ key: 'a', run: 'r1', state: 'done' });
  await one.vote({ key: 'b', run: 'r2' });
  await one.run({ key: 'b', run: 'r2', state: 'released' });
  for (let i = 0; i < 4; i++) {
    const again = await votesOn();
    expect((await again.vote({ key: 'a', run: 'r3' })).extract()).toMatchObject({ run: 'r1', state: 'done' });
    if (i === 3) expect((await again.vote({ key: 'b', run: 'r4' })).extract()).toMatchObject({ run: 'r4' });
  }
}

test('a log cut or bent at any byte gives what was whole before it', everyCut);
test('a slot torn at any byte falls back to the other slot and its log', tornSlot);
test('a vote outlives restarts, and a released key can be run anew', voteKept);
