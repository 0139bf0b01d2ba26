/** The controllers of a worst day, and what troubles them now. */
import { Controller, startController } from '../../../src/control/controller';
import { serveDeployment } from '../../../src/control/api/deployment-api';
import { startBackgroundTasks } from '../../../src/control/singletons/background-tasks';
import { errorOrValue } from '../../../src/shared/errors/errors';
import { allVoters } from '../../../src/shared/state/voter-set';
import { CONTROL_KEYS } from '../../../src/shared/state/control-keys';
import { defaultSettings, Settings } from '../../../src/shared/settings/settings';
import { usersPlatform } from '../../../platform/adapter';
import { makeNet, SimNet } from '../simwire';
import { makeWorld, World } from '../simworld';
import { Proc } from '../process';

/** One controller's machine. */
export interface Member {
  proc: Proc;
  controller?: Controller;
  /** Faults that trouble it now. */
  troubles: number;
  /** When its last trouble ended. */
  troubledAt: number;
  /** It was replaced and never comes back. */
  isGone: boolean;
}

/** A span of time in which something was done to the core. */
export interface Disturbance {
  from: number;
  to: number;
}

/** How a core is made. */
export interface CoreWays {
  /** Keeps the lines of the trace. */
  keepLines?: boolean;
  /** Changes a controller that has started, for tests of what is caught. */
  spoil?: (controller: Controller) => void;
}

/** The core of a worst day. */
export interface WorstCore {
  world: World;
  net: SimNet;
  /** What all controllers are told at their next start. */
  settings: Settings;
  operatorIp: string;
  operator: Proc;
  /** Machines that are not gone for good. */
  members: () => Member[];
  tolerated: number;
  start: (member: Member) => void;
  /** Loses a process, with its machine's power or its disk. */
  lose: (member: Member, how: { power: boolean; wipe: boolean }) => void;
  /** Starts a process that was lost. */
  back: (member: Member) => void;
  /** Puts an empty machine at a new address in a member's place. */
  replace: (member: Member) => Member;
  votes: (member: Member) => boolean;
  owns: (member: Member) => boolean;
  cut: (from: string, to: string, on: boolean) => void;
  disturb: (from: number, to?: number) => void;
  disturbances: Disturbance[];
}

const WIRE_PORT = 7000;
const HTTP_PORT = 8000;
const SEEDS = 3;
const OPERATOR_IP = '10.9.0.1';

/** Where a member takes operators' calls. */
export function httpOf(member: Member): string {
  return `${member.proc.ip}:${HTTP_PORT}`;
}

function wireOf(member: Member): string {
  return `${member.proc.ip}:${WIRE_PORT}`;
}

function wireAt(index: number): string {
  return `10.1.0.${index}:${WIRE_PORT}`;
}

/** Makes the world and starts the controllers. */
export function makeWorstCore(seed: number, size: number, ways: CoreWays = {}): WorstCore {
  const world = makeWorld(seed, ways.keepLines === true);
  const net = makeNet(world, { deliversOneWay: true });
  const tolerated = (size - 1) / 2;
  const founders = [1, 2, 3].map(wireAt);
  const all: Member[] = [];
  const cuts = new Map<string, number>();
  const disturbances: Disturbance[] = [];
  const operator = world.proc('operator', OPERATOR_IP);
  const common: Settings = {
    ...defaultSettings(),
    dialect: 'platform',
    strict: false,
    suspends: false,
    seeds: founders,
    founders,
    tolerated,
    bootstrap: true,
  };

  function addMember(): Member {
    const index = all.length + 1;
    const proc = world.proc(`core-${index}`, `10.1.0.${index}`);
    const member = { proc, troubles: 0, troubledAt: -Infinity, isGone: false };
    all.push(member);
    return member;
  }

  /** The seeds are the first machines that are still there. */
  function settingsOf(proc: Proc): Settings {
    return {
      ...common,
      seeds: members().slice(0, SEEDS).map(wireOf),
      name: proc.name,
      zone: proc.name,
      wire: `${proc.ip}:${WIRE_PORT}`,
      http: `${proc.ip}:${HTTP_PORT}`,
      data: proc.name,
    };
  }

  function start(member: Member): void {
    void run();
    async function run(): Promise<void> {
      const { proc } = member;
      const life = proc.life;
      const ports = net.ports(proc);
      const settings = settingsOf(proc);
      const [fault, controller] = errorOrValue(
        await startController(ports, settings, usersPlatform),
      );
      if (proc.life !== life) return;
      if (fault) return world.trace(`${proc.name} did not start: ${fault.reason}`);
      ways.spoil?.(controller);
      member.controller = controller;
      await serveDeployment(controller, ports, usersPlatform);
      startBackgroundTasks(controller, ports, usersPlatform);
    }
  }

  function lose(member: Member, how: { power: boolean; wipe: boolean }): void {
    if (member.proc.alive) world.kill(member.proc, how.power);
    member.proc.disk.full = false;
    member.proc.disk.slow = 1;
    member.proc.disk.stalled = false;
    member.controller = undefined;
    if (how.wipe) member.proc.files.clear();
  }

  function back(member: Member): void {
    if (member.proc.alive || member.isGone) return;
    world.revive(member.proc);
    start(member);
  }

  function replace(member: Member): Member {
    lose(member, { power: true, wipe: true });
    member.isGone = true;
    const fresh = addMember();
    fresh.troubledAt = world.now();
    start(fresh);
    return fresh;
  }

  function members(): Member[] {
    return all.filter(isKept);
  }

  function isKept(member: Member): boolean {
    return !member.isGone;
  }

  /** Whether a member votes with the disk that it has, by a set that is not on its way to another. */
  function votes(member: Member): boolean {
    const controller = member.controller;
    const voters = controller?.voters();
    if (!controller || !voters || voters.next || !controller.hasQuorum()) return false;
    function isOwn(voter: { disk: string }): boolean {
      return voter.disk === controller!.store.diskId;
    }
    return allVoters(voters).some(isOwn);
  }

  function owns(member: Member): boolean {
    const controller = member.proc.alive ? member.controller : undefined;
    return controller?.keyOwner.owns(CONTROL_KEYS.deployment) === true;
  }

  /** Several faults may cut the same link; it heals with the last of them. */
  function cut(from: string, to: string, on: boolean): void {
    const link = `${from} ${to}`;
    const count = (cuts.get(link) ?? 0) + (on ? 1 : -1);
    cuts.set(link, count);
    world.cut(from, to, count > 0);
  }

  function disturb(from: number, to = from): void {
    disturbances.push({ from, to });
  }

  for (let i = 0; i < size; i++) start(addMember());
  return {
    world,
    net,
    settings: common,
    operatorIp: OPERATOR_IP,
    operator,
    members,
    tolerated,
    start,
    lose,
    back,
    replace,
    votes,
    owns,
    cut,
    disturb,
    disturbances,
  };
}
