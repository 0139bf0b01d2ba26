/**
 * An owner that fails, or is cut off, while changes are asked for.
 */

import { Controller } from '../../src/control/controller';
import { makeSimFleet, SimFleet } from '../../tools/sim/simfleet';
import { counts, lose, makeOperator, procOf, running, until } from '../../tools/sim/simcore';

const CORE = ['core-1', 'core-2', 'core-3'];
const ACK_MS = 4000;

async function startFleet(seed: number): Promise<SimFleet> {
  const fleet = makeSimFleet(seed, 'saffron-bay', 2, 2, false);
  Object.assign(fleet.told, { strict: false, foundBy: 'majority', ackMs: ACK_MS });
  fleet.startAll();
  function up(): boolean {
    return counts(fleet, CORE);
  }
  expect(await until(fleet, 3000, up)).toBeDefined();
  fleet.told.bootstrap = false;
  await fleet.w.run(fleet.w.now() + 600);
  return fleet;
}

function ownerOf(fleet: SimFleet, key: string): string {
  function owns(controller: Controller): boolean {
    return controller.keyOwner.owns(key) && controller.isPreferredOwner(key);
  }
  return running(fleet).find(owns)!.name;
}

async function putChange(
  fleet: SimFleet,
  operator: ReturnType<typeof makeOperator>,
): Promise<number> {
  const began = fleet.w.now();
  let done = false;
  function told(): void {
    done = true;
  }
  void operator.put().then(told);
  function isDone(): boolean {
    return done;
  }
  expect(await until(fleet, began + 15000, isDone, 1)).toBeDefined();
  return fleet.w.now() - began;
}

type Fault = (fleet: SimFleet, owner: string, other: string) => void;

const FAULTS: Record<string, Fault> = {
  kill: killed,
  power: unpowered,
  freeze: frozen,
  cut: cutOff,
  'one way from the owner': oneWayFrom,
  'one way to the owner': oneWayTo,
  'one way to all': oneWayAll,
  'slow disk': slowDisk,
};

function killed(fleet: SimFleet, owner: string): void {
  lose(fleet, owner, false, false);
}

function unpowered(fleet: SimFleet, owner: string): void {
  lose(fleet, owner, false);
}

function frozen(fleet: SimFleet, owner: string): void {
  fleet.w.freeze(procOf(fleet, owner));
}

function cutOff(fleet: SimFleet, owner: string): void {
  for (const name of CORE) {
    fleet.w.cut(procOf(fleet, owner).ip, procOf(fleet, name).ip, true);
    fleet.w.cut(procOf(fleet, name).ip, procOf(fleet, owner).ip, true);
  }
}

function oneWayFrom(fleet: SimFleet, owner: string, other: string): void {
  fleet.w.cut(procOf(fleet, owner).ip, procOf(fleet, other).ip, true);
}

function oneWayTo(fleet: SimFleet, owner: string, other: string): void {
  fleet.w.cut(procOf(fleet, other).ip, procOf(fleet, owner).ip, true);
}

function oneWayAll(fleet: SimFleet, owner: string): void {
  for (const name of CORE) fleet.w.cut(procOf(fleet, owner).ip, procOf(fleet, name).ip, true);
}

function slowDisk(fleet: SimFleet, owner: string): void {
  procOf(fleet, owner).disk.slow = 200;
}

async function changesThroughFaults(): Promise<void> {
  const worst: Record<string, number> = {};
  for (const [name, trouble] of Object.entries(FAULTS)) {
    for (const wait of [0, 700, 2000]) {
      for (let seed = 1; seed <= 4; seed++) {
        const fleet = await startFleet(seed * 7);
        const owner = ownerOf(fleet, 'intents');
        const others = CORE.filter(isOther);
        function isOther(n: string): boolean {
          return n !== owner;
        }
        const at = others[seed % 2];
        const operator = makeOperator(fleet, CORE.indexOf(at));
        await putChange(fleet, operator);
        trouble(fleet, owner, at);
        await fleet.w.run(fleet.w.now() + wait);
        worst[name] = Math.max(
          worst[name] ?? 0,
          await putChange(fleet, operator),
          await putChange(fleet, operator),
        );
        expect({ name, newest: operator.newest() }).toEqual({ name, newest: operator.acked() });
      }
    }
  }
  function isLate([, ms]: [string, number]): boolean {
    return ms > ACK_MS / 4;
  }
  expect(Object.entries(worst).filter(isLate)).toEqual([]);
}

async function thawedOwner(): Promise<void> {
  for (let seed = 1; seed <= 6; seed++) {
    const fleet = await startFleet(seed);
    const owner = ownerOf(fleet, 'intents');
    const at = CORE.filter(isOther)[seed % 2];
    function isOther(name: string): boolean {
      return name !== owner;
    }
    const operator = makeOperator(fleet, CORE.indexOf(at));
    await putChange(fleet, operator);
    fleet.w.freeze(procOf(fleet, owner));
    await putChange(fleet, operator);
    await putChange(fleet, operator);
    fleet.w.wake(procOf(fleet, owner));
    for (let i = 0; i < 5; i++) {
      const before = operator.acked();
      await putChange(fleet, operator);
      expect({ seed, i, revision: operator.acked() }).toEqual({ seed, i, revision: before + 1 });
    }
    await fleet.w.run(fleet.w.now() + 2000);
    function revision(controller: Controller): number {
      return controller.committedValue('intents')!.place.number;
    }
    expect({ seed, all: running(fleet).map(revision) }).toEqual({
      seed,
      all: [operator.acked(), operator.acked(), operator.acked()],
    });
  }
}

test(
  'a change is acknowledged within a quarter of the bound, whatever has become of its owner',
  changesThroughFaults,
);
test('an owner that thaws brings nothing back, and the fleet agrees again', thawedOwner);
