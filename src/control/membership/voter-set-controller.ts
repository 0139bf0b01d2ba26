import { Right } from 'purify-ts';
import { field, Handled, message } from '../../shared/transport/handlers';
import { open } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { Bounds } from '../../shared/settings/time-limits';
import { allVoters, atOf, isVoter, KEYS, Voter, Voters } from '../../shared/state/words';
import { Controller } from '../controller';
import { makeJointProgress, moveVoters, NEWCOMER_UNFIT, returnVoters } from './reconfiguration';

/** How a voter's machine stands: there with its disk, away, away for good while, leaving by its own word, or there with another disk. */
export type Standing = 'here' | 'away' | 'lost' | 'leaving' | 'emptied';

class JoinAsk {
  @field('string') disk!: string;
  @field('string') at!: string;
}

/** The answer to a controller that leaves: whether the one that answers stays until that one is back or replaced. */
export interface LeaveReply {
  stays: boolean;
}

/** What controllers say of themselves: that they would vote, and that they leave. */
export class RosterEdge {
  private readonly asked = new Map<string, Voter & { since: number; last: number }>();
  private readonly left = new Map<string, number>();

  constructor(
    private readonly ports: Ports,
    private readonly bounds: Bounds,
    private readonly voters: () => Voters | undefined,
    private readonly told: () => void,
    private readonly leaving: () => boolean,
  ) {}

  /** Hears from a quorum member that does not vote. */
  @message('join', JoinAsk)
  async join(m: JoinAsk): Handled {
    const now = this.ports.clock.now();
    const before = this.asked.get(m.at);
    const fresh =
      before === undefined || before.disk !== m.disk || before.last + this.bounds.repair < now;
    this.asked.set(m.at, { disk: m.disk, at: m.at, since: fresh ? now : before.since, last: now });
    if (fresh) this.told();
    return Right(true);
  }

  /** Hears from a controller that it ends; it says so again until it has ended. */
  @message('core-leave', JoinAsk)
  async leave(m: JoinAsk): Handled {
    const isNews = !this.left.has(m.disk);
    this.left.set(m.disk, this.ports.clock.now());
    this.asked.delete(m.at);
    if (isNews) this.told();
    return Right({ stays: !this.leaving() } as LeaveReply);
  }

  /** Takes no notice of one that asked, until it asks again. */
  forget(x: Voter): void {
    if (this.asked.get(x.at)?.disk === x.disk) this.asked.delete(x.at);
  }

  /** Those that asked lately and do not vote, the longest waiting first. */
  joiners(): Voter[] {
    const now = this.ports.clock.now();
    const out: (Voter & { since: number })[] = [];
    for (const x of this.asked.values())
      if (x.last + this.bounds.repair > now && !isVoter(this.voters(), x.disk)) out.push(x);
    return out.sort(bySince).map(plain);
  }

  /** Whether a disk said that it leaves, and has not come back since; `up` is when its connection came up. */
  isLeaving(disk: string, up: number | undefined): boolean {
    const at = this.left.get(disk);
    if (at !== undefined && up !== undefined && up > at) this.left.delete(disk);
    return this.left.has(disk);
  }
}

function bySince(a: { since: number; at: string }, b: { since: number; at: string }): number {
  return a.since - b.since || (a.at < b.at ? -1 : 1);
}

function plain(x: Voter): Voter {
  return { disk: x.disk, at: x.at };
}

/** The voter set that should stand next, or nothing where the one that stands is right: a machine with another disk takes its own place at once; others take the places of those that are lost or leave; up to `target`, in odd numbers. */
export function nextSet(
  now: readonly Voter[],
  joiners: readonly Voter[],
  standing: (v: Voter) => Standing,
  target: number,
): Voter[] | undefined {
  const spare = [...joiners];
  let changed = false;
  function take(test: (x: Voter) => boolean): Voter | undefined {
    const i = spare.findIndex(test);
    return i < 0 ? undefined : spare.splice(i, 1)[0];
  }
  /** Whether a joiner is no voter's machine: one that is waits for its own place. */
  function isElsewhere(x: Voter): boolean {
    function isItsMachine(v: Voter): boolean {
      return v.at === x.at;
    }
    return !now.some(isItsMachine);
  }
  function sameMachine(v: Voter): Voter {
    function isAt(x: Voter): boolean {
      return x.at === v.at;
    }
    const s = standing(v);
    const into = s === 'here' || s === 'away' ? undefined : take(isAt);
    changed ||= into !== undefined;
    return into ?? v;
  }
  function anyMachine(v: Voter): Voter {
    const s = standing(v);
    const into = !now.includes(v) || s === 'here' || s === 'away' ? undefined : take(isElsewhere);
    changed ||= into !== undefined;
    return into ?? v;
  }
  let set = now.map(sameMachine).map(anyMachine);
  const additional = spare.filter(isElsewhere);
  const room = Math.min(target - set.length, additional.length);
  const more = room > 0 && (set.length + room) % 2 === 0 && set.length % 2 === 1 ? room - 1 : room;
  if (more > 0) {
    set = [...set, ...additional.slice(0, more)];
    changed = true;
  }
  const gone = set.filter(isGone);
  function isGone(v: Voter): boolean {
    return now.includes(v) && standing(v) !== 'here' && standing(v) !== 'away';
  }
  const most = Math.min(set.length - target, gone.length);
  const fewer = most > 0 && (set.length - most) % 2 === 0 ? most - 1 : most;
  if (fewer > 0) {
    const out = gone.slice(0, fewer);
    function stays(v: Voter): boolean {
      return !out.includes(v);
    }
    set = set.filter(stays);
    changed = true;
  }
  return changed ? set : undefined;
}

/** Asks the voters to take this disk in, for as long as it is a quorum member's that does not vote. */
export async function askToJoin(c: Controller, ports: Ports): Promise<void> {
  const waker = c.addWaker();
  while (!c.stopped()) {
    const v = c.voters();
    const self: Voter = { disk: c.slots.disk, at: c.settings.wire };
    const wants = c.settings.quorumMember && c.slots.fit() && c.votes.fit() && !c.isLeaving(self);
    if (wants && v && !isVoter(v, self.disk))
      for (const x of allVoters(v)) void c.askVoter(x, 'join', self, c.bounds.ask);
    await waker.wait(c.bounds.renew * (0.8 + 0.4 * ports.dice.next()), c.bounds.pause * 0.1);
  }
}

/** Has the voter set follow the machines, while this node owns it; a joint set that another left is brought to its end, or back where its newcomers are gone. */
export async function followMachines(c: Controller, ports: Ports): Promise<void> {
  const waker = c.addWaker();
  const awaySince = new Map<string, number>();
  const progress = makeJointProgress();
  while (!c.stopped()) {
    await waker.wait(c.bounds.renew * (0.8 + 0.4 * ports.dice.next()), c.bounds.pause * 0.1);
    const v = c.voters();
    if (!v) continue;
    note(v);
    if (!c.chosen(KEYS.voters) || !c.hasMajority()) continue;
    const [f] = open(await c.owner.own(KEYS.voters));
    const stood = c.value<Voters>(KEYS.voters);
    if (f || !stood) continue;
    const { now, next } = stood.value;
    const fresh = next?.filter(isNewcomer) ?? [];
    function isNewcomer(x: Voter): boolean {
      return !isVoter({ now }, x.disk);
    }
    if (next && fresh.some(isAway)) {
      if (fresh.some(isOver)) await returnVoters(c, stood);
      continue;
    }
    const set =
      next ?? nextSet(now, c.roster.joiners().filter(isUp), standing, c.settings.tolerated * 2 + 1);
    if (!set || !(await othersAgree(now, set))) continue;
    ports.log.warn(
      { step: 'follow machines', peer: c.name },
      `voters ${now.map(atOf).join(' ')} become ${set.map(atOf).join(' ')}`,
    );
    const [g] = open(await moveVoters(c, ports, set, isOverdue, progress));
    if (!g) {
      waker.wake();
      continue;
    }
    ports.log.warn({ step: g.step, peer: g.peer }, g.why);
    if (g.code === NEWCOMER_UNFIT) await refuse(set.filter(isNewcomer));
  }

  /** Goes back from a joint set whose newcomers' disks take no writes; they ask again once they do. */
  async function refuse(newcomers: readonly Voter[]): Promise<void> {
    newcomers.forEach(forget);
    const stood = c.value<Voters>(KEYS.voters);
    if (stood?.value.next) await returnVoters(c, stood);
  }

  function forget(x: Voter): void {
    c.roster.forget(x);
  }

  /** Whether a joint set has stood for longer than the repair of a disk may take. */
  function isOverdue(): boolean {
    return c.jointForMs() > c.bounds.repair;
  }

  function note(v: Voters): void {
    const t = ports.clock.now();
    for (const x of allVoters(v)) {
      if (c.isUp(x)) awaySince.delete(x.disk);
      else if (!awaySince.has(x.disk)) awaySince.set(x.disk, t);
    }
  }

  function awayFor(x: Voter): number {
    const since = awaySince.get(x.disk);
    return since === undefined ? 0 : ports.clock.now() - since;
  }

  function isUp(x: Voter): boolean {
    return c.isUp(x);
  }

  function isAway(x: Voter): boolean {
    return !c.isUp(x);
  }

  function isOver(x: Voter): boolean {
    return c.isEmptied(x) || awayFor(x) > c.bounds.lost;
  }

  function standing(x: Voter): Standing {
    if (c.isEmptied(x)) return 'emptied';
    if (c.isLeaving(x)) return 'leaving';
    if (c.isUp(x)) return 'here';
    return awayFor(x) > c.bounds.lost ? 'lost' : 'away';
  }

  /** Whether the other voters miss those that only seem to be lost, too. */
  async function othersAgree(now: readonly Voter[], set: readonly Voter[]): Promise<boolean> {
    function isDropped(x: Voter): boolean {
      return !set.includes(x) && standing(x) === 'lost';
    }
    const dropped = now.filter(isDropped);
    if (dropped.length === 0) return true;
    for (const x of now.filter(isUp)) {
      const [f, up] = open(await c.askVoter(x, 'sees', dropped, c.bounds.ask));
      if (!f && (up as boolean)) return false;
    }
    return true;
  }
}
