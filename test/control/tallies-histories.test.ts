/**
 * Histories of tallies in a simulated core: any interleaving of additions, repeats, cuts, kills, losses of power and
 * of disks within what is tolerated. Nothing acknowledged is lost, nothing counts twice, no total falls in one life,
 * and all controllers come to the same totals.
 */

import * as fc from 'fast-check';
import { add, cutOff, losePower, NOTICED_MS, startedCore, TallyRig, total } from './tallies-rig';

const MERGE_MS = 3000;
const TALLY = 't';
/** Each addition adds another power of this, so that a total tells which ones count. */
const SIZE = 5;

type Step =
  | { kind: 'add'; at: number; id: number }
  | { kind: 'cut'; side: number[] }
  | { kind: 'heal' }
  | { kind: 'kill'; at: number; power: boolean }
  | { kind: 'lose'; machines: number[]; all: boolean; id: number; at: number }
  | { kind: 'slow'; at: number; times: number }
  | { kind: 'pass'; ms: number };

const controller = fc.integer({ min: 0, max: SIZE - 1 });
const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 8,
    arbitrary: fc.record({
      kind: fc.constant('add' as const),
      at: controller,
      id: fc.integer({ min: 0, max: 11 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('cut' as const),
      side: fc.uniqueArray(controller, { minLength: 1, maxLength: 2 }),
    }),
  },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('heal' as const) }) },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('kill' as const),
      at: controller,
      power: fc.boolean(),
    }),
  },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('lose' as const),
      machines: fc.uniqueArray(controller, { minLength: 1, maxLength: 2 }),
      all: fc.boolean(),
      id: fc.integer({ min: 0, max: 11 }),
      at: controller,
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('slow' as const),
      at: controller,
      times: fc.constantFrom(1, 20),
    }),
  },
  {
    weight: 3,
    arbitrary: fc.record({
      kind: fc.constant('pass' as const),
      ms: fc.integer({ min: 1, max: NOTICED_MS }),
    }),
  },
);

/** What a history has seen so far. */
class History {
  /** The ids that were sent, and those that were acknowledged, each with who acknowledged it. */
  private readonly sent = new Set<number>();
  private readonly acknowledged = new Map<number, Set<number>>();
  /** Who acknowledged an id while a cut lasted, or within `mergeMs` of its end. */
  private readonly duringCut: { id: number; at: number }[] = [];
  /** The highest total by controller and life. */
  private readonly highest = new Map<string, number>();
  private isCut = false;

  constructor(private readonly rig: TallyRig) {}

  async take(one: Step): Promise<void> {
    if (one.kind === 'add') return this.add(one.at, one.id);
    if (one.kind === 'cut') return this.cut(one.side);
    if (one.kind === 'heal') return this.heal();
    if (one.kind === 'kill') return this.kill(one.at, one.power);
    if (one.kind === 'lose') return this.lose(one.machines, one.all, one.at, one.id);
    if (one.kind === 'slow') return this.slow(one.at, one.times);
    await this.rig.pass(one.ms);
  }

  /** Joins all, and checks that all agree on a total with what it must and may hold. */
  async end(): Promise<void> {
    await this.heal();
    const totals = new Set<number | undefined>();
    for (let at = 0; at < SIZE; at++) totals.add(await this.read(at));
    expect(totals.size).toBe(1);
    const [found] = totals;
    expect(found).toBeDefined();
    for (let id = 0; id < 12; id++) this.checkId(id, found!);
  }

  private checkId(id: number, found: number): void {
    const counts = Math.floor(found / 2 ** id) % 2;
    if (this.acknowledged.get(id)?.size) expect({ id, counts }).toEqual({ id, counts: 1 });
    if (!this.sent.has(id)) expect({ id, counts }).toEqual({ id, counts: 0 });
  }

  private async add(at: number, id: number): Promise<void> {
    const isAcknowledged = await this.addOnly(at, id);
    const found = await this.read(at);
    if (isAcknowledged && found !== undefined) expect(Math.floor(found / 2 ** id) % 2).toBe(1);
    for (let each = 0; each < SIZE; each++) await this.read(each);
  }

  /** Adds without a read after it; whether that was acknowledged. */
  private async addOnly(at: number, id: number): Promise<boolean> {
    this.sent.add(id);
    const heard = await add(this.rig, at, TALLY, `id-${id}`, 2 ** id);
    if (heard?.status !== 200) return false;
    const by = this.acknowledged.get(id) ?? new Set();
    this.acknowledged.set(id, by.add(at));
    if (this.isCut) this.duringCut.push({ id, at });
    return true;
  }

  private slow(at: number, times: number): void {
    this.rig.core[at].disk.slow = times;
  }

  private async read(at: number): Promise<number | undefined> {
    const found = await total(this.rig, at, TALLY);
    if (found === undefined) return undefined;
    const life = `${at} ${this.rig.core[at].life}`;
    expect(found).toBeGreaterThanOrEqual(this.highest.get(life) ?? 0);
    this.highest.set(life, found);
    return found;
  }

  private async cut(side: readonly number[]): Promise<void> {
    if (this.isCut) return;
    cutOff(this.rig, side, true);
    this.isCut = true;
    await this.rig.pass(1);
  }

  private async heal(): Promise<void> {
    this.rig.w.healLinks();
    await this.rig.pass(NOTICED_MS + MERGE_MS);
    this.isCut = false;
    this.duringCut.length = 0;
  }

  private async kill(at: number, power: boolean): Promise<void> {
    const proc = this.rig.core[at];
    this.rig.w.kill(proc, power);
    await this.rig.pass(300);
    this.rig.controllers.delete(proc.name);
    this.rig.w.revive(proc);
    this.rig.start(proc);
    await this.rig.pass(MERGE_MS);
  }

  /** Right after an addition, machines lose power with their disks, and all others at the same moment where `all`; what is lost is repaired before the next. */
  private async lose(
    machines: readonly number[],
    all: boolean,
    at: number,
    id: number,
  ): Promise<void> {
    await this.addOnly(at, id);
    const { core } = this.rig;
    const wiped = machines.map(procAt);
    function procAt(index: number): (typeof core)[number] {
      return core[index];
    }
    for (const one of this.duringCut)
      if (machines.includes(one.at)) this.acknowledged.get(one.id)?.delete(one.at);
    await losePower(this.rig, all ? core : wiped, wiped);
    await this.heal();
  }
}

// Guards against LOST, STALE and TWICE, over any history within what is tolerated.
async function anyHistoryConverges(): Promise<void> {
  async function holds(seed: number, steps: Step[]): Promise<void> {
    const history = new History(await startedCore(seed));
    for (const one of steps) await history.take(one);
    await history.end();
  }
  const steps = fc.array(step, { minLength: 5, maxLength: 25 });
  await fc.assert(fc.asyncProperty(fc.integer({ min: 1, max: 1e6 }), steps, holds), {
    numRuns: 40,
  });
}

test('any history converges', anyHistoryConverges);
