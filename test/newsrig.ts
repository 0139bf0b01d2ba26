import { Controller, startController } from '../src/control/controller';
import { DeploymentValue } from '../src/shared/deployment';
import { Hello, HelloEdge, converse, WIRE_VERSION } from '../src/shared/connections';
import { open } from '../src/shared/errors';
import { follow, Follower } from '../src/shared/follow';
import { Connection } from '../src/shared/ports';
import { boundsOf } from '../src/shared/bounds';
import { defaultSettings, Settings } from '../src/shared/settings';
import { KEYS, Member } from '../src/shared/words';
import { platform } from '../platform/dialect';
import { makeNet, SimNet } from '../tools/sim/simwire';
import { makeWorld, Proc, World } from '../tools/sim/simworld';
import { makeThinLinks } from '../tools/sim/thin-links';

/** A core of five and many followers behind thin links, in a simulated world. */
export interface NewsRig {
  world: World;
  net: SimNet;
  controllers: Map<string, Controller>;
  followers: Map<string, Follower>;
  followerProcs: Proc[];
  startFollower(proc: Proc): void;
  /** Runs virtual time on. */
  pass(ms: number): Promise<void>;
  /** Runs virtual time on until something holds; how long that took, or undefined where it took longer than `most`. */
  until(test: () => boolean, most: number): Promise<number | undefined>;
  /** Makes a change of the deployment at a controller; the time until it was acknowledged, or undefined. */
  change(operation: object, most: number): Promise<number | undefined>;
  /** The revision that a follower has applied. */
  revisionAt(name: string): number;
  /** Mean bytes that a follower has received so far. */
  bytesPerFollower(): number;
}

/** The grown deployment: five controllers, and bounds as its settings tell them. */
const CONTROLLERS = 5;
const BOUNDS = { changeBoundMs: 2500, ackMs: 5000, contactMs: 4000, catchUpMs: 6000, tolerated: 2 };
const CONTROLLER_MEGABITS = 120;
const FOLLOWER_MEGABITS = 7;
/** Virtual time runs on in steps, so that what was begun meanwhile takes its first turn. */
const STEP_MS = 5;

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

/** Makes the world and starts the core; followers are started by `startFollower`. */
export function makeNewsRig(seed: number, followerCount: number): NewsRig {
  const world = makeWorld(seed, true);
  const net = makeNet(world);
  net.links = makeThinLinks(world.now, megabitsOf);
  const controllers = new Map<string, Controller>();
  const followers = new Map<string, Follower>();
  const core: Proc[] = [];
  const followerProcs: Proc[] = [];
  for (let i = 1; i <= CONTROLLERS; i++) core.push(world.proc(`core-${i}`, `10.1.0.${i}`));
  for (let i = 1; i <= followerCount; i++)
    followerProcs.push(world.proc(`edge-${i}`, `10.2.0.${i}`));
  const seeds = core.slice(0, 3).map(wireOf);

  function megabitsOf(ip: string): number {
    return ip.startsWith('10.1.') ? CONTROLLER_MEGABITS : FOLLOWER_MEGABITS;
  }

  function wireOf(proc: Proc): string {
    return `${proc.ip}:7000`;
  }

  function settingsOf(proc: Proc): Settings {
    return {
      ...defaultSettings(),
      ...BOUNDS,
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
    const [fault, controller] = open(
      await startController(net.ports(proc), settingsOf(proc), platform),
    );
    if (fault) world.trace(`${proc.name} did not start: ${fault.why}`);
    else controllers.set(proc.name, controller);
  }

  function startFollower(proc: Proc): void {
    const ports = net.ports(proc);
    const at = wireOf(proc);
    const hello: Hello = { version: WIRE_VERSION, name: proc.name, role: 'router', at, zone: '' };
    const life = ports.dice.id().slice(0, 8);
    const member: Member = { name: proc.name, role: 'router', at, http: '', zone: '', life };
    const edges: object[] = [new HelloEdge(hello)];
    const follower = follow(ports, boundsOf(settingsOf(proc)), hello, member, seeds, edges);
    followers.set(proc.name, follower);
    function taken(connection: Connection): void {
      converse(ports, connection, edges);
    }
    void ports.wire.accept(at, taken);
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
    function told(outcome: { isRight(): boolean }): void {
      taken = outcome.isRight();
    }
    function isTaken(): boolean {
      return taken;
    }
    return until(isTaken, most);
  }

  function revisionAt(name: string): number {
    return followers.get(name)?.value<DeploymentValue>(KEYS.deployment)?.value.revision ?? 0;
  }

  function bytesPerFollower(): number {
    let sum = 0;
    for (const proc of followerProcs) sum += net.links!.received(proc.ip);
    return sum / followerProcs.length;
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
    bytesPerFollower,
  };
}
