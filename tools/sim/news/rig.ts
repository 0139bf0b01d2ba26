import { Controller, startController } from '../../../src/control/controller';
import { DeploymentValue } from '../../../src/shared/state/deployment';
import { Hello, PROTOCOL_VERSION } from '../../../src/shared/transport/hello';
import { HelloHandlers } from '../../../src/shared/transport/hello-handlers';
import { openChannel } from '../../../src/shared/transport/peer-channel';
import { errorOrValue, Result } from '../../../src/shared/errors/errors';
import { sha256Hex } from '../../../src/shared/util/hashing';
import { followCore, Follower } from '../../../src/shared/replication/follower';
import { Connection } from '../../../src/shared/ports/network';
import { Ports } from '../../../src/shared/ports/ports';
import { timeLimitsOf } from '../../../src/shared/settings/time-limits';
import { defaultSettings, Settings } from '../../../src/shared/settings/settings';
import { CONTROL_KEYS } from '../../../src/shared/state/control-keys';
import { Member } from '../../../src/shared/state/members';
import { usersPlatform } from '../../../platform/adapter';
import { makeProcessors } from '../processors';
import { makeNet, SimNet } from '../simwire';
import { makeWorld, World } from '../simworld';
import { Proc } from '../process';
import { makeThinLinks } from '../thin-links';

/** The shares of a processor that machines have. */
export interface ProcessorShares {
  controller: number;
  follower: number;
}

/** A core of five and many followers behind thin links, in a simulated world. */
export interface NewsRig {
  world: World;
  net: SimNet;
  controllers: Map<string, Controller>;
  followers: Map<string, Follower>;
  followerProcs: Proc[];
  startFollower: (proc: Proc) => void;
  /** Runs virtual time on. */
  pass: (ms: number) => Promise<void>;
  /** Runs virtual time on until something holds; how long that took, or undefined where it took longer than `most`. */
  until: (test: () => boolean, most: number) => Promise<number | undefined>;
  /** Makes a change of the deployment at a controller; the time until it was acknowledged, or undefined. */
  change: (operation: object, most: number) => Promise<number | undefined>;
  /** The revision that a follower has applied. */
  revisionAt: (name: string) => number;
  /** A test for `until`: every follower has a revision, and holds leases of a majority. */
  everyoneHas: (revision: number) => () => boolean;
  /** Comes back after some virtual time, which must be run on meanwhile. */
  sleep: (ms: number) => Promise<void>;
  /** The controller that owns a key now. */
  ownerOf: (key: string) => Controller | undefined;
  /** Kills the process that owns a key. */
  killOwner: (key: string) => void;
  /** Mean bytes that a follower has received so far. */
  bytesPerFollower: () => number;
  /** Connections of followers that have ended so far. */
  lostConnections: () => number;
}

/** The grown deployment has five controllers. */
const CONTROLLERS = 5;
/** What the settings of the grown deployments tell. */
export const NEWS_BOUNDS = {
  changeBoundMs: 2500,
  leavingBoundMs: 4000,
  ackMs: 5000,
  contactMs: 4000,
  catchUpMs: 6000,
  tolerated: 2,
};
const CONTROLLER_MEGABITS = 120;
const FOLLOWER_MEGABITS = 7;
/** Virtual time runs on in steps, so that what was begun meanwhile takes its first turn. */
const STEP_MS = 5;

/** An address for each of up to 65,000 followers. */
function followerAddress(i: number): string {
  return `10.2.${Math.floor(i / 250)}.${(i % 250) + 1}`;
}

/** A document of many routes; `moved` ones go to another service. */
export function largeDocument(revision: number, routes: number, moved: number): object {
  const list: object[] = [];
  for (let i = 0; i < routes; i++) list.push(routeOf(i, i < moved ? 'other' : 'engines'));
  return {
    revision,
    routes: list,
    services: [
      { name: 'engines', healthCheckPath: '/health', maxConnections: 490, protocol: 'h1' },
      { name: 'other', healthCheckPath: '/health', maxConnections: 490, protocol: 'h1' },
    ],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 4194304, idleTimeoutMs: 15000 },
    tenants: Array.from({ length: 74 }, tenantOf),
  };
}

function tenantOf(_: unknown, i: number): object {
  return { name: `tenant-${i}`, apiKeys: [`key-of-tenant-${i}-aaaa`, `key-of-tenant-${i}-bbbb`] };
}

/** One route of the large document. */
export function routeOf(i: number, service: string): object {
  return {
    name: `r-${(i * 7919).toString(36)}x${i}`,
    hostname: `desk${i % 13}.example`,
    pathPrefix: `/part${i}/`,
    routeType: 'streaming',
    timeoutMs: 6000,
    targetLatencyMs: 600,
    priority: 1,
    service,
    maxAttempts: 2,
    public: false,
    sessionAffinity: true,
    resumable: false,
    targetGapMs: 250,
  };
}

/** A route whose texts are drawn, as operators' names hardly compress. */
export function drawnRoute(i: number, service: string): object {
  const text = sha256Hex(`route ${i}`);
  return {
    ...routeOf(i, service),
    name: `r-${text.slice(0, 8)}`,
    hostname: `${text.slice(8, 14)}.example`,
    pathPrefix: `/${text.slice(14, 22)}/`,
  };
}

/** A document of routes whose texts are drawn. */
export function drawnDocument(revision: number, routes: number): object {
  const list: object[] = [];
  for (let i = 0; i < routes; i++) list.push(drawnRoute(i, 'engines'));
  return { ...largeDocument(revision, 0, 0), routes: list };
}

/** Makes the world and starts the core; followers are started by `startFollower`. */
export function makeNewsRig(
  seed: number,
  followerCount: number,
  processors?: ProcessorShares,
): NewsRig {
  const world = makeWorld(seed, true);
  if (processors) world.processors = makeProcessors(shareOf);
  const net = makeNet(world);
  net.links = makeThinLinks(world.now, megabitsOf);
  const controllers = new Map<string, Controller>();
  const followers = new Map<string, Follower>();
  const core: Proc[] = [];
  let lost = 0;
  const followerProcs: Proc[] = [];
  for (let i = 1; i <= CONTROLLERS; i++) core.push(world.proc(`core-${i}`, `10.1.0.${i}`));
  for (let i = 1; i <= followerCount; i++)
    followerProcs.push(world.proc(`edge-${i}`, followerAddress(i)));
  const seeds = core.slice(0, 3).map(wireOf);

  function shareOf(proc: Proc): number {
    return proc.ip.startsWith('10.1.') ? processors!.controller : processors!.follower;
  }

  function megabitsOf(ip: string): number {
    return ip.startsWith('10.1.') ? CONTROLLER_MEGABITS : FOLLOWER_MEGABITS;
  }

  function wireOf(proc: Proc): string {
    return `${proc.ip}:7000`;
  }

  function settingsOf(proc: Proc): Settings {
    return {
      ...defaultSettings(),
      ...NEWS_BOUNDS,
      name: proc.name,
      dialect: 'platform',
      strict: false,
      suspends: false,
      zone: proc.name,
      wire: wireOf(proc),
      http: `${proc.ip}:8000`,
      seeds,
      founders: core.map(wireOf),
      data: proc.name,
      bootstrap: true,
    };
  }

  async function startCore(proc: Proc): Promise<void> {
    const [fault, controller] = errorOrValue(
      await startController(net.ports(proc), settingsOf(proc), usersPlatform),
    );
    if (fault) world.trace(`${proc.name} did not start: ${fault.reason}`);
    else controllers.set(proc.name, controller);
  }

  /** Ports whose connections are counted as they end. */
  function countingLost(ports: Ports): Ports {
    async function dial(at: string, within: number): Promise<Result<Connection>> {
      const dialled = await ports.network.connect(at, within);
      void dialled.ifRight(watch);
      return dialled;
    }
    function watch(connection: Connection): void {
      void connection.closed.then(ended);
    }
    function ended(): void {
      lost++;
    }
    return { ...ports, network: { ...ports.network, connect: dial } };
  }

  function startFollower(proc: Proc): void {
    const ports = countingLost(net.ports(proc));
    const at = wireOf(proc);
    const hello: Hello = {
      version: PROTOCOL_VERSION,
      name: proc.name,
      role: 'router',
      at,
      zone: '',
    };
    const life = ports.random.uuid().slice(0, 8);
    const member: Member = { name: proc.name, role: 'router', at, http: '', zone: '', life };
    const edges: object[] = [new HelloHandlers(hello)];
    const follower = followCore(ports, {
      timeLimits: timeLimitsOf(settingsOf(proc)),
      hello,
      member,
      seeds,
      handlers: edges,
    });
    followers.set(proc.name, follower);
    function taken(connection: Connection): void {
      openChannel(ports, connection, edges);
    }
    void ports.network.listen(at, taken);
  }

  async function pass(ms: number): Promise<void> {
    const end = world.now() + ms;
    while (world.now() < end) await world.run(Math.min(end, world.now() + STEP_MS));
  }

  async function until(test: () => boolean, most: number): Promise<number | undefined> {
    const began = world.now();
    while (!test()) {
      if (world.now() - began > most) return undefined;
      await pass(20);
    }
    return world.now() - began;
  }

  async function change(operation: object, most: number): Promise<number | undefined> {
    let taken = false;
    const controller = [...controllers.values()][0];
    void controller.change({ kind: 'deployment', ...operation } as never).then(told);
    function told(outcome: { isRight: () => boolean }): void {
      taken = outcome.isRight();
    }
    function isTaken(): boolean {
      return taken;
    }
    return until(isTaken, most);
  }

  function revisionAt(name: string): number {
    return (
      followers.get(name)?.value<DeploymentValue>(CONTROL_KEYS.deployment)?.value.revision ?? 0
    );
  }

  function bytesPerFollower(): number {
    let sum = 0;
    for (const proc of followerProcs) sum += net.links!.received(proc.ip);
    return sum / followerProcs.length;
  }

  function everyoneHas(revision: number): () => boolean {
    function isThere(proc: Proc): boolean {
      return revisionAt(proc.name) >= revision && followers.get(proc.name)!.hasLease();
    }
    function hasEveryone(): boolean {
      return followerProcs.every(isThere);
    }
    return hasEveryone;
  }

  function sleep(ms: number): Promise<void> {
    function wait(done: () => void): void {
      world.after(Math.max(1, ms), done);
    }
    return new Promise(wait);
  }

  function ownerOf(key: string): Controller | undefined {
    for (const controller of controllers.values())
      if (controller.keyOwner.owns(key) && controller.isPreferredOwner(key)) return controller;
    return undefined;
  }

  function killOwner(key: string): void {
    const name = ownerOf(key)?.name;
    const proc = core.find(isOwner);
    function isOwner(x: Proc): boolean {
      return x.name === name;
    }
    if (!proc) return;
    world.kill(proc, false);
    controllers.delete(proc.name);
  }

  function lostConnections(): number {
    return lost;
  }

  for (const proc of core) void startCore(proc);
  return {
    world,
    net,
    controllers,
    followers,
    followerProcs,
    startFollower,
    pass,
    until,
    change,
    revisionAt,
    everyoneHas,
    sleep,
    ownerOf,
    killOwner,
    bytesPerFollower,
    lostConnections,
  };
}
