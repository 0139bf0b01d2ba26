/** Voters are spread so that any one zone may go: properties of the plan over any sequence of losses, cuts and joins. */

import fc from 'fast-check';
import { planVoterSet, VoterHealth } from '../../src/control/membership/voter-set-plan';
import { ZoneSpread } from '../../src/control/membership/zone-spread';
import { Voter } from '../../src/shared/state/voter-set';

const SIZE = 5;
/** The zone of each machine that votes at first, and of the spare ones. */
const LAYOUTS = [
  { voters: 'aabbc', spares: 'abc' },
  { voters: 'aabcd', spares: 'abcd' },
];

interface Machine {
  at: string;
  zone: string;
  disk: string;
  joined: boolean;
  gone: boolean;
}

type Event =
  | { kind: 'cut'; zone: number }
  | { kind: 'heal' }
  | { kind: 'wipe' | 'join' | 'remove' | 'restore'; machine: number };

/** A core whose events are drawn, and whose voter set follows the plan. */
class PlannedCore {
  readonly machines: Machine[] = [];
  voters: Voter[];
  /** The largest excess that any set had that was in force. */
  worstExcess = 0;
  private cutZone: string | undefined;
  private disks = 0;
  private readonly zones: string[];
  readonly spread = new ZoneSpread({ toleratedZones: 1, zoneOf: this.zoneOf.bind(this) });

  constructor(
    layout: (typeof LAYOUTS)[number],
    private readonly isLostForLong: boolean,
  ) {
    for (const zone of layout.voters) this.add(zone, true);
    for (const zone of layout.spares) this.add(zone, false);
    this.zones = [...new Set(layout.voters)];
    this.voters = this.machines.slice(0, SIZE).map(voterOf);
  }

  /** Carries out an event, and has the set follow. */
  apply(event: Event): void {
    if (event.kind === 'cut') this.cutZone = this.zones[event.zone % this.zones.length];
    if (event.kind === 'heal') this.cutZone = undefined;
    if ('machine' in event) this.change(event.kind, event.machine % this.machines.length);
    this.settle();
  }

  /** Brings every machine back, and has the set follow. */
  restoreAll(): void {
    this.cutZone = undefined;
    for (const machine of this.machines) Object.assign(machine, { gone: false, joined: true });
    this.settle();
  }

  /** Whether a majority of the voters is left when any one zone is lost. */
  toleratesAnyZone(): boolean {
    const { voters } = this;
    const zoneOf = this.zoneOf.bind(this);
    function leavesMajority(zone: string): boolean {
      function isOutside(voter: Voter): boolean {
        return zoneOf(voter) !== zone;
      }
      return voters.filter(isOutside).length * 2 > voters.length;
    }
    return this.zones.every(leavesMajority);
  }

  private add(zone: string, joined: boolean): void {
    const at = `10.0.0.${this.machines.length + 1}:7000`;
    this.machines.push({ at, zone, disk: `d${++this.disks}`, joined, gone: false });
  }

  private change(kind: 'wipe' | 'join' | 'remove' | 'restore', index: number): void {
    const machine = this.machines[index];
    if (kind === 'wipe') machine.disk = `d${++this.disks}`;
    if (kind === 'join') machine.joined = true;
    if (kind === 'remove') machine.gone = true;
    if (kind === 'restore') machine.gone = false;
  }

  private settle(): void {
    for (let round = 0; round < 3 * SIZE; round++) {
      const next = this.plan();
      if (!next) return;
      expect(next.length).toBe(SIZE);
      this.voters = next;
      this.worstExcess = Math.max(this.worstExcess, this.spread.excess(next));
    }
    throw new Error('the voter set does not come to rest');
  }

  /** The next set; none without a majority, which could not commit it. */
  private plan(): Voter[] | undefined {
    const healthOf = this.healthOf.bind(this);
    function isHere(voter: Voter): boolean {
      return healthOf(voter) === 'here';
    }
    if (this.voters.filter(isHere).length * 2 <= SIZE) return undefined;
    const zones = { toleratedZones: 1, zoneOf: this.zoneOf.bind(this) };
    const isLostForLong = this.areLostForLong.bind(this);
    return planVoterSet(this.voters, this.candidates(), healthOf, SIZE, { zones, isLostForLong });
  }

  private areLostForLong(): boolean {
    return this.isLostForLong;
  }

  private candidates(): Voter[] {
    const disks = new Set<string>();
    for (const { disk } of this.voters) disks.add(disk);
    const candidates: Voter[] = [];
    for (const machine of this.machines)
      if (this.isReachable(machine) && !disks.has(machine.disk)) candidates.push(voterOf(machine));
    return candidates;
  }

  private healthOf(voter: Voter): VoterHealth {
    const machine = this.machineOf(voter);
    if (!this.isReachable(machine)) return 'lost';
    return machine.disk === voter.disk ? 'here' : 'emptied';
  }

  private isReachable({ gone, joined, zone }: Machine): boolean {
    return joined && !gone && zone !== this.cutZone;
  }

  private zoneOf(voter: Voter): string {
    return this.machineOf(voter).zone;
  }

  private machineOf({ at }: Voter): Machine {
    function isAt(machine: Machine): boolean {
      return machine.at === at;
    }
    return this.machines.find(isAt)!;
  }
}

function voterOf({ disk, at }: Machine): Voter {
  return { disk, at };
}

function eventsOf(
  kinds: readonly ('wipe' | 'join' | 'remove' | 'restore')[],
): fc.Arbitrary<Event[]> {
  const index = fc.nat(20);
  const onMachine = fc.record({ kind: fc.constantFrom(...kinds), machine: index });
  const cut = fc.record({ kind: fc.constant('cut' as const), zone: index });
  const heal = fc.constant({ kind: 'heal' } as const);
  return fc.array(fc.oneof(onMachine, cut, heal), { maxLength: 25 });
}

const LAYOUT = fc.constantFrom(...LAYOUTS);

/** Zones are cut off and heal, disks are lost, spares join: at no time has a zone too many voters, not even meanwhile. */
function cutsKeepTheRule(): void {
  fc.assert(fc.property(LAYOUT, eventsOf(['wipe', 'join']), keepsRule), { numRuns: 3000 });
  function keepsRule(layout: (typeof LAYOUTS)[number], events: readonly Event[]): void {
    const core = new PlannedCore(layout, false);
    for (const event of events) {
      core.apply(event);
      expect([core.worstExcess, core.toleratesAnyZone()]).toEqual([0, true]);
    }
  }
}

/** Machines are lost for good, and for so long that any machine takes their places; once better ones come, the set is put right. */
function isPutRight(): void {
  const events = eventsOf(['wipe', 'join', 'remove', 'restore']);
  fc.assert(fc.property(LAYOUT, events, fc.boolean(), comesRight), { numRuns: 3000 });
  function comesRight(
    layout: (typeof LAYOUTS)[number],
    drawn: readonly Event[],
    isLostForLong: boolean,
  ): void {
    const core = new PlannedCore(layout, isLostForLong);
    for (const event of drawn) core.apply(event);
    core.restoreAll();
    expect([core.spread.excess(core.voters), core.toleratesAnyZone()]).toEqual([0, true]);
  }
}

function voter(index: number, zone: string): Voter & { zone: string } {
  return { disk: `d${index}`, at: `10.0.0.${index}:7000`, zone };
}

const [A1, A2, A3] = [voter(1, 'a'), voter(2, 'a'), voter(3, 'a')];
const [B1, B2, B3] = [voter(4, 'b'), voter(5, 'b'), voter(6, 'b')];
const [C1, C2] = [voter(7, 'c'), voter(8, 'c')];
const ALL = [A1, A2, A3, B1, B2, B3, C1, C2];

function describePlan(
  current: Voter[],
  candidates: Voter[],
  health: Record<string, VoterHealth> = {},
  isLong = false,
  targetSize = SIZE,
): string {
  function healthOf({ disk }: Voter): VoterHealth {
    return health[disk] ?? 'here';
  }
  function zoneOf(known: Voter): string {
    return ALL.find(isSame)!.zone;
    function isSame({ at }: Voter): boolean {
      return at === known.at;
    }
  }
  function isLostForLong(): boolean {
    return isLong;
  }
  function nameOf(known: Voter): string {
    return known.disk;
  }
  const zones = { toleratedZones: 1, zoneOf };
  const planned = planVoterSet(current, candidates, healthOf, targetSize, { zones, isLostForLong });
  return planned?.map(nameOf).join(' ') ?? 'as it is';
}

/** The release before gave the place of a lost voter to the first candidate, whatever its zone. */
function plansByZone(): void {
  const five = [A1, A2, B1, B2, C1];
  const oneLost = { d7: 'lost' } as const;
  const zoneLost = { d1: 'lost', d2: 'lost' } as const;
  expect({
    sameZoneFirst: describePlan(five, [A3, B3, C2], oneLost),
    zoneMayReturn: describePlan(five, [A3], oneLost),
    zoneIsLost: describePlan(five, [A3], oneLost, true),
    emptied: describePlan(five, [A3], { d7: 'emptied' }),
    zoneCutOff: describePlan(five, [B3, C2], zoneLost),
    zoneCutOffForLong: describePlan(five, [B3, C2], zoneLost, true),
    putRight: describePlan([A1, A2, A3, B1, B2], [B3, C2]),
    notWhileOneIsAway: describePlan([A1, A2, A3, B1, B2], [C2], { d1: 'away' }),
    nothingBetter: describePlan([A1, A2, A3, B1, B2], [B3]),
    grows: describePlan([A1, B1, C1], [A2, A3, B2]),
    growsNot: describePlan([A1, B1, C1], [A2, A3]),
    shrinks: describePlan(
      [A1, A2, A3, B1, C1],
      [],
      { d7: 'leaving', d3: 'lost', d2: 'lost' },
      false,
      3,
    ),
  }).toEqual({
    sameZoneFirst: 'd1 d2 d4 d5 d8',
    zoneMayReturn: 'as it is',
    zoneIsLost: 'd1 d2 d4 d5 d3',
    emptied: 'd1 d2 d4 d5 d3',
    zoneCutOff: 'd8 d2 d4 d5 d7',
    zoneCutOffForLong: 'd8 d6 d4 d5 d7',
    putRight: 'd1 d2 d8 d4 d5',
    notWhileOneIsAway: 'as it is',
    nothingBetter: 'as it is',
    grows: 'd1 d4 d7 d2 d5',
    growsNot: 'as it is',
    shrinks: 'd1 d4 d7',
  });
}

test('cuts, lost disks and joins never leave a zone with too many voters', cutsKeepTheRule);
test('after any losses the set is put right and comes to rest', isPutRight);
test('a voter is replaced by one that keeps the zones apart', plansByZone);
