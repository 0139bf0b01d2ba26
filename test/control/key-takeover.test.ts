import { Controller } from '../../src/control/controller';
import { makeSimFleet, SimFleet } from '../../tools/sim/simfleet';
import { counts, lose, makeOperator, procOf, running, until } from '../../tools/sim/simcore';

const CORE = ['core-1', 'core-2', 'core-3'];
const ACK = 4000;

async function fleet(seed: number): Promise<SimFleet> {
  const f = makeSimFleet(seed, 'saffron-bay', 2, 2, false);
  Object.assign(f.told, { strict: false, foundBy: 'majority', ackMs: ACK });
  f.startAll();
  function up(): boolean {
    return counts(f, CORE);
  }
  expect(await until(f, 3000, up)).toBeDefined();
  f.told.bootstrap = false;
  await f.w.run(f.w.now() + 600);
  return f;
}

function ownerOf(f: SimFleet, key: string): string {
  function owns(c: Controller): boolean {
    return c.keyOwner.owns(key) && c.isPreferredOwner(key);
  }
  return running(f).find(owns)!.name;
}

async function put(f: SimFleet, o: ReturnType<typeof makeOperator>): Promise<number> {
  const began = f.w.now();
  let done = false;
  function told(): void {
    done = true;
  }
  void o.put().then(told);
  function isDone(): boolean {
    return done;
  }
  expect(await until(f, began + 15000, isDone, 1)).toBeDefined();
  return f.w.now() - began;
}

type Trouble = (f: SimFleet, owner: string, other: string) => void;

const TROUBLES: Record<string, Trouble> = {
  kill: killed,
  power: unpowered,
  freeze: frozen,
  cut: cutOff,
  'one way from the owner': oneWayFrom,
  'one way to the owner': oneWayTo,
  'one way to all': oneWayAll,
  'slow disk': slowDisk,
};

function killed(f: SimFleet, owner: string): void {
  lose(f, owner, false, false);
}

function unpowered(f: SimFleet, owner: string): void {
  lose(f, owner, false);
}

function frozen(f: SimFleet, owner: string): void {
  f.w.freeze(procOf(f, owner));
}

function cutOff(f: SimFleet, owner: string): void {
  for (const n of CORE) {
    f.w.cut(procOf(f, owner).ip, procOf(f, n).ip, true);
    f.w.cut(procOf(f, n).ip, procOf(f, owner).ip, true);
  }
}

function oneWayFrom(f: SimFleet, owner: string, other: string): void {
  f.w.cut(procOf(f, owner).ip, procOf(f, other).ip, true);
}

function oneWayTo(f: SimFleet, owner: string, other: string): void {
  f.w.cut(procOf(f, other).ip, procOf(f, owner).ip, true);
}

function oneWayAll(f: SimFleet, owner: string): void {
  for (const n of CORE) f.w.cut(procOf(f, owner).ip, procOf(f, n).ip, true);
}

function slowDisk(f: SimFleet, owner: string): void {
  procOf(f, owner).disk.slow = 200;
}

async function takenOver(): Promise<void> {
  const worst: Record<string, number> = {};
  for (const [name, trouble] of Object.entries(TROUBLES)) {
    for (const wait of [0, 700, 2000]) {
      for (let seed = 1; seed <= 4; seed++) {
        const f = await fleet(seed * 7);
        const owner = ownerOf(f, 'intents');
        const others = CORE.filter(isOther);
        function isOther(n: string): boolean {
          return n !== owner;
        }
        const at = others[seed % 2];
        const o = makeOperator(f, CORE.indexOf(at));
        await put(f, o);
        trouble(f, owner, at);
        await f.w.run(f.w.now() + wait);
        worst[name] = Math.max(worst[name] ?? 0, await put(f, o), await put(f, o));
        expect({ name, newest: o.newest() }).toEqual({ name, newest: o.acked() });
      }
    }
  }
  function isLate([, ms]: [string, number]): boolean {
    return ms > ACK / 4;
  }
  expect(Object.entries(worst).filter(isLate)).toEqual([]);
}

async function thawed(): Promise<void> {
  for (let seed = 1; seed <= 6; seed++) {
    const f = await fleet(seed);
    const owner = ownerOf(f, 'intents');
    const at = CORE.filter(isOther)[seed % 2];
    function isOther(n: string): boolean {
      return n !== owner;
    }
    const o = makeOperator(f, CORE.indexOf(at));
    await put(f, o);
    f.w.freeze(procOf(f, owner));
    await put(f, o);
    await put(f, o);
    f.w.wake(procOf(f, owner));
    for (let i = 0; i < 5; i++) {
      const before = o.acked();
      await put(f, o);
      expect({ seed, i, revision: o.acked() }).toEqual({ seed, i, revision: before + 1 });
    }
    await f.w.run(f.w.now() + 2000);
    function revision(c: Controller): number {
      return c.committedValue('intents')!.place.number;
    }
    expect({ seed, all: running(f).map(revision) }).toEqual({
      seed,
      all: [o.acked(), o.acked(), o.acked()],
    });
  }
}

test(
  'a change is acknowledged within a quarter of the bound, whatever has become of its owner',
  takenOver,
);
test('an owner that thaws brings nothing back, and the fleet agrees again', thawed);
