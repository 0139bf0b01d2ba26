import { seededDice } from '../../tools/sim/dice';
import { drawnRequest, isKept, playLate } from './late-requests';

const SEEDS = 60;

async function keepsItsWord(): Promise<void> {
  const broken: unknown[] = [];
  for (let seed = 1; seed <= SEEDS; seed++) {
    const request = drawnRequest(seededDice(seed));
    const o = await playLate(request);
    if (!isKept(request, o)) broken.push({ seed, request, endedAt: o.endedAt });
  }
  expect(broken).toEqual([]);
}

async function recorded(): Promise<void> {
  const request = { at: 3767, deadlineMs: 6000, workMs: 4000 };
  const o = await playLate(request);
  expect({ kept: isKept(request, o), status: o.got.status }).toEqual({ kept: true, status: 503 });
}

async function answersTheSilent(): Promise<void> {
  const { got, earlier } = await playLate(
    { at: 2000, deadlineMs: 7500, workMs: 7000 },
    { isSilent: true },
  );
  for (const g of [got, earlier]) expect(g).toMatchObject({ status: 502, isComplete: true });
}

async function servesEarly(): Promise<void> {
  for (const at of [0, 1000, 2200]) {
    const { got } = await playLate({ at, deadlineMs: 6000, workMs: 1500 });
    expect({ at, status: got.status, isComplete: got.isComplete }).toEqual({
      at,
      status: 200,
      isComplete: true,
    });
  }
}

test('a router gives up nothing that it took long after it was told to end', keepsItsWord);
test('a request that may last longer than the drain goes elsewhere', recorded);
test('what no engine has begun on at the end of the drain is answered, not cut', answersTheSilent);
test('a router that was just told to end serves on', servesEarly);
