/** The faults of worst days: a schedule drawn by seed, brought about as far as the core bears them. */
import { RandomSource } from '../../../src/shared/ports/random';
import { Member, WorstCore } from './core';

/** What can be done to the core. */
export const WORST_FAULTS = [
  'cut',
  'cut-in',
  'cut-out',
  'cut-reset',
  'cut-pair',
  'reset',
  'operator-cut',
  'kill',
  'power',
  'power-all',
  'wipe',
  'wipe-power-all',
  'freeze',
  'disk-stall',
  'disk-slow',
  'disk-full',
  'replace',
  'rolling',
] as const;

/** A kind of fault. */
export type WorstFaultKind = (typeof WORST_FAULTS)[number];

/** What a fault waits for once its time has come. */
export type Trigger = 'time' | 'acknowledged' | 'sent';

/** One fault of a schedule. */
export interface WorstFault {
  at: number;
  kind: WorstFaultKind;
  /** The deployment's owner, or a member by its place in the list. */
  target: 'owner' | number;
  trigger: Trigger;
  /** Ms from the trigger to the fault. */
  delay: number;
  /** How long it lasts. */
  ms: number;
}

/** Brings the faults of a schedule about. */
export interface Injector {
  acknowledged: () => void;
  sent: () => void;
  /** Ends what still lasts. */
  endAll: () => void;
  /** Faults that were brought about, by kind. */
  counts: Record<string, number>;
}

const ACK_DELAY_MS = 4;
const SENT_DELAY_MS = [5, 400] as const;
const SLOW_TIMES = 100;
const UNCOUNTED = new Set<WorstFaultKind>(['reset', 'operator-cut', 'power-all', 'rolling']);
const LASTING = new Set<WorstFaultKind>(['disk-stall', 'disk-slow', 'disk-full']);

/** Draws a schedule of faults. */
export function drawWorstFaults(
  dice: RandomSource,
  span: { from: number; to: number },
  count: number,
): WorstFault[] {
  function any<T>(list: readonly T[]): T {
    return list[Math.floor(dice.next() * list.length)];
  }
  function drawDelay(trigger: Trigger): number {
    if (trigger === 'acknowledged') return dice.next() * ACK_DELAY_MS;
    return SENT_DELAY_MS[0] + dice.next() * (SENT_DELAY_MS[1] - SENT_DELAY_MS[0]);
  }
  const faults: WorstFault[] = [];
  for (let i = 0; i < count; i++) {
    const trigger = any(['time', 'acknowledged', 'sent'] as const);
    faults.push({
      at: Math.round(span.from + dice.next() * (span.to - span.from)),
      kind: any(WORST_FAULTS),
      target: dice.next() < 0.4 ? 'owner' : Math.floor(dice.next() * 8),
      trigger,
      delay: Math.round(drawDelay(trigger) * 10) / 10,
      ms: Math.round(200 + dice.next() * dice.next() * 6000),
    });
  }
  return faults.sort(byTime);
}

function byTime(a: WorstFault, b: WorstFault): number {
  return a.at - b.at;
}

/** Arms the faults of a schedule. */
export function injectWorstFaults(core: WorstCore, schedule: WorstFault[]): Injector {
  const { world, net } = core;
  const counts: Record<string, number> = {};
  const lasting = new Set<() => void>();
  let armed: WorstFault[] = [];
  let isOver = false;

  /** By the clock alone, whether or not the member has caught up: that is what it must have done by then. */
  function isLost(member: Member): boolean {
    const isTroubled = member.troubles > 0 || !member.proc.alive;
    return isTroubled || member.troubledAt + core.settings.catchUpMs > world.now();
  }

  /** Whether the core bears the loss of this member, too. */
  function bears(target: Member, kind: WorstFaultKind): boolean {
    if (UNCOUNTED.has(kind)) return true;
    let lost = 0;
    for (const member of core.members()) if (member !== target && isLost(member)) lost++;
    return lost < core.tolerated;
  }

  function targetOf(fault: WorstFault): Member {
    const members = core.members();
    const owner = members.find(core.owns);
    if (fault.target === 'owner') return owner ?? members[0];
    return members[fault.target % members.length];
  }

  function others(target: Member): Member[] {
    function isOther(member: Member): boolean {
      return member !== target;
    }
    return core.members().filter(isOther);
  }

  /** Ends a fault after its time, or with the day. */
  function endAfter(ms: number, end: () => void): void {
    function once(): void {
      if (!lasting.delete(once)) return;
      core.disturb(world.now());
      end();
    }
    lasting.add(once);
    world.after(ms, once);
  }

  function trouble(target: Member, ms: number, end: () => void): void {
    target.troubles++;
    endAfter(ms, ended);
    function ended(): void {
      target.troubles--;
      target.troubledAt = world.now();
      end();
    }
  }

  function resetConnections(target: Member): void {
    for (const peer of others(target)) net.reset(target.proc, peer.proc);
    net.reset(target.proc, core.operator);
  }

  function cutLinks(links: [string, string][], on: boolean): void {
    for (const [from, to] of links) core.cut(from, to, on);
  }

  function linksOf(target: Member, kind: WorstFaultKind): [string, string][] {
    const links: [string, string][] = [];
    const peers = kind === 'cut-pair' ? others(target).slice(0, 1) : others(target);
    for (const peer of peers) {
      if (kind !== 'cut-in') links.push([target.proc.ip, peer.proc.ip]);
      if (kind !== 'cut-out') links.push([peer.proc.ip, target.proc.ip]);
    }
    return links;
  }

  function cutOff(target: Member, fault: WorstFault): void {
    const links = linksOf(target, fault.kind);
    cutLinks(links, true);
    if (fault.kind === 'cut-reset') resetConnections(target);
    function heal(): void {
      cutLinks(links, false);
    }
    trouble(target, fault.ms, heal);
  }

  function cutOperator(target: Member, fault: WorstFault): void {
    const links: [string, string][] = [[target.proc.ip, core.operatorIp]];
    if (fault.delay > ACK_DELAY_MS / 2) links.push([core.operatorIp, target.proc.ip]);
    cutLinks(links, true);
    function heal(): void {
      cutLinks(links, false);
    }
    endAfter(fault.ms, heal);
  }

  function loseFor(target: Member, how: { power: boolean; wipe: boolean }, ms: number): void {
    core.lose(target, how);
    function comeBack(): void {
      core.back(target);
    }
    trouble(target, ms, comeBack);
  }

  function loseAll(wiped: Member | undefined, ms: number): void {
    for (const member of core.members())
      loseFor(member, { power: true, wipe: member === wiped }, ms);
  }

  function freeze(target: Member, ms: number): void {
    if (target.proc.frozen || !target.proc.alive) return;
    const life = target.proc.life;
    world.freeze(target.proc);
    function wake(): void {
      if (target.proc.life === life) world.wake(target.proc);
    }
    trouble(target, ms, wake);
  }

  function harmDisk(target: Member, fault: WorstFault): void {
    const { proc } = target;
    if (fault.kind === 'disk-stall') world.stall(proc, true);
    if (fault.kind === 'disk-slow') proc.disk.slow = SLOW_TIMES;
    if (fault.kind === 'disk-full') proc.disk.full = true;
    function heal(): void {
      if (fault.kind === 'disk-stall') world.stall(proc, false);
      if (fault.kind === 'disk-slow') proc.disk.slow = 1;
      if (fault.kind === 'disk-full') proc.disk.full = false;
    }
    trouble(target, fault.ms, heal);
  }

  /** Restarts the members one after another; each is told to leave first, and is waited for. */
  async function roll(): Promise<void> {
    const clock = world.clock(core.operator);
    for (const member of core.members()) {
      while (!isOver && !bears(member, 'kill')) await clock.sleep(100);
      if (isOver || !member.controller || !member.proc.alive) continue;
      core.disturb(world.now());
      void member.controller.drain();
      await clock.sleep(50 + world.dice.next() * 200);
      if (!member.controller) continue;
      void member.controller.stop();
      loseFor(member, { power: false, wipe: false }, 100 + world.dice.next() * 600);
      await clock.sleep(800);
    }
  }

  function bringAbout(target: Member, fault: WorstFault): void {
    switch (fault.kind) {
      case 'cut':
      case 'cut-in':
      case 'cut-out':
      case 'cut-reset':
      case 'cut-pair':
        return cutOff(target, fault);
      case 'reset':
        return resetConnections(target);
      case 'operator-cut':
        return cutOperator(target, fault);
      case 'kill':
        return loseFor(target, { power: false, wipe: false }, fault.ms);
      case 'power':
        return loseFor(target, { power: true, wipe: false }, fault.ms);
      case 'wipe':
        return loseFor(target, { power: true, wipe: true }, fault.ms);
      case 'power-all':
        return loseAll(undefined, fault.ms / 4);
      case 'wipe-power-all':
        return loseAll(target, fault.ms / 4);
      case 'freeze':
        return freeze(target, fault.ms);
      case 'disk-stall':
      case 'disk-slow':
      case 'disk-full':
        return harmDisk(target, fault);
      case 'replace':
        core.replace(target);
        return;
      case 'rolling':
        void roll();
    }
  }

  function fire(fault: WorstFault): void {
    if (isOver) return;
    const target = targetOf(fault);
    const isBorne = bears(target, fault.kind);
    world.trace(`${isBorne ? 'fault' : 'not borne'} ${fault.kind} ${target.proc.name}`);
    if (!isBorne) return;
    counts[fault.kind] = (counts[fault.kind] ?? 0) + 1;
    const lasts = LASTING.has(fault.kind) ? fault.ms : 0;
    core.disturb(world.now(), world.now() + lasts);
    bringAbout(target, fault);
  }

  function arm(fault: WorstFault): void {
    if (fault.trigger === 'time') fire(fault);
    else armed.push(fault);
  }

  function triggered(trigger: Trigger): void {
    const due = armed;
    armed = [];
    for (const fault of due) {
      if (fault.trigger !== trigger) armed.push(fault);
      else world.after(fault.delay, goOff);
      function goOff(): void {
        fire(fault);
      }
    }
  }

  function acknowledged(): void {
    triggered('acknowledged');
  }

  function sent(): void {
    triggered('sent');
  }

  function endAll(): void {
    isOver = true;
    for (const end of [...lasting]) end();
  }

  for (const fault of schedule) {
    function due(): void {
      if (!isOver) arm(fault);
    }
    world.after(fault.at - world.now(), due);
  }
  return { acknowledged, sent, endAll, counts };
}
