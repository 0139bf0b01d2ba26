/**
 * Three controllers in a simulated world that bring engines to weights, with faults at will.
 */

import { usersPlatform } from '../../platform/adapter';
import { Controller, startController } from '../../src/control/controller';
import { runWeightsRollout } from '../../src/control/singletons/weights-rollout';
import { errorOrValue } from '../../src/shared/errors/errors';
import { defaultSettings, Settings } from '../../src/shared/settings/settings';
import { Engine } from '../../src/shared/state/engines';
import { makeNet, SimNet } from './simwire';
import { Proc } from './process';
import { makeWorld, World } from './simworld';
import { EngineServer, JudgedOrder, OrderedEngine } from './rollout-engine';

/** The lease of the rollout's role, in ms. */
const LEASE_MS = 3000;
/** For how long after a wake or a heal an order counts as late, in ms. */
const THAW_MS = 300;
const WEIGHTS_BOUND_MS = 8000;
/** How old the platform's list is when the controllers see it, in ms. */
const LIST_AGE_MS = 800;
/** How long the controllers have to start, in ms. */
const START_MS = 6000;
const CONTROLLERS = ['core-1', 'core-2', 'core-3'];

/** One order as an engine took note of it. */
export interface RecordedOrder extends JudgedOrder {
  at: number;
  /** Whether its sender woke, or a link was healed, just before. */
  late: boolean;
}

function wireOf(name: string): string {
  return `127.20.1.${name.slice(-1)}:7000`;
}

function engineAddress(number: number): string {
  return `127.20.2.${number}:8000`;
}

function ipOf(address: string): string {
  return address.split(':')[0];
}

function settingsOf(name: string): Settings {
  return {
    ...defaultSettings(),
    name,
    zone: 'z',
    wire: wireOf(name),
    http: wireOf(name).replace('7000', '8000'),
    seeds: CONTROLLERS.map(wireOf),
    founders: CONTROLLERS.map(wireOf),
    weightsBoundMs: WEIGHTS_BOUND_MS,
    leaseMs: LEASE_MS,
  };
}

function isBusy(engine: OrderedEngine): boolean {
  return engine.busy;
}

function listed(engine: OrderedEngine, index: number): Engine {
  const weights = String(engine.weights);
  return {
    id: engine.id,
    at: engineAddress(index + 1),
    zone: 'z',
    model: 'm',
    weights,
    leaving: engine.leaving,
    models: [{ name: 'm', weights }],
  };
}

/** Three controllers and engines in a simulated world. */
export class RolloutRig {
  readonly world: World;
  readonly net: SimNet;
  readonly engines: OrderedEngine[] = [];
  readonly orders: RecordedOrder[] = [];
  private readonly controllers = new Map<string, Controller>();
  private readonly processes = new Map<string, Proc>();
  private readonly lists: { at: number; list: Engine[] }[] = [];
  private lastFaultEndedAt = -Infinity;
  private ranUntil = 0;

  /** Engines load slower while more than `fastLoads` of them do. */
  constructor(
    seed: number,
    engineCount: number,
    private readonly fastLoads: number,
  ) {
    this.world = makeWorld(seed, false);
    this.net = makeNet(this.world);
    for (const name of CONTROLLERS) {
      this.processes.set(name, this.world.proc(name, ipOf(wireOf(name))));
      this.start(name);
    }
    for (let number = 1; number <= engineCount; number++) this.addEngine(number);
    this.publishList();
  }

  /** The process of a controller or an engine. */
  process(name: string): Proc {
    return this.processes.get(name)!;
  }

  /** Kills a controller, and starts it again after so many ms. */
  kill(name: string, downMs: number): void {
    this.world.kill(this.process(name), false);
    this.controllers.delete(name);
    this.world.after(downMs, this.revive.bind(this, name));
  }

  /** Freezes a controller for so many ms. */
  freeze(name: string, ms: number): void {
    this.world.freeze(this.process(name));
    this.world.after(ms, this.wake.bind(this, name));
  }

  /** Cuts the link from one controller to another for so many ms. */
  cut(from: string, to: string, ms: number): void {
    this.world.cut(this.process(from).ip, this.process(to).ip, true);
    this.world.after(ms, this.heal.bind(this, from, to));
  }

  /** Names weights as an operator does: again and again, at any controller, until one says that they are named. */
  async name(weights: number): Promise<void> {
    const { world } = this;
    let isNamed = false;
    const attempt = this.attemptNaming.bind(this, weights, noteResult);
    again();
    await this.until(isDone, 60000);
    function again(): void {
      attempt();
      if (!isNamed) world.after(500, again);
    }
    function noteResult(result: { isRight: () => boolean }): void {
      isNamed ||= result.isRight();
    }
    function isDone(): boolean {
      return isNamed;
    }
  }

  /** The controller that gave the last order. */
  holder(): string | undefined {
    return this.orders.at(-1)?.holder.split('.')[0];
  }

  /** Runs the world until a time, in ms. */
  async runUntil(ms: number): Promise<void> {
    this.ranUntil = Math.max(this.ranUntil, ms);
    await this.world.run(this.ranUntil);
  }

  /** Runs the world until a condition holds, for `timeoutMs` at most; gives how long that took. */
  async until(isMet: () => boolean, timeoutMs: number): Promise<number> {
    const { world } = this;
    const from = world.now();
    while (!isMet() && world.now() - from < timeoutMs) await this.runUntil(world.now() + 20);
    return world.now() - from;
  }

  private start(name: string): void {
    void this.startController(name);
  }

  private async startController(name: string): Promise<void> {
    const ports = this.net.ports(this.process(name));
    const [error, controller] = errorOrValue(await startController(ports, settingsOf(name)));
    if (error) return;
    this.controllers.set(name, controller);
    void runWeightsRollout(controller, ports, usersPlatform.engines);
  }

  private revive(name: string): void {
    this.world.revive(this.process(name));
    this.start(name);
  }

  private wake(name: string): void {
    if (!this.process(name).frozen) return;
    this.world.wake(this.process(name));
    this.lastFaultEndedAt = this.world.now();
  }

  private heal(from: string, to: string): void {
    this.world.cut(this.process(from).ip, this.process(to).ip, false);
    this.lastFaultEndedAt = this.world.now();
  }

  private addEngine(number: number): void {
    const { world } = this;
    const address = engineAddress(number);
    const process = world.proc(`engine-${number}`, ipOf(address));
    this.processes.set(process.name, process);
    const engine: OrderedEngine = {
      id: `i-${number}`,
      weights: 1,
      mute: false,
      runsMs: 200 + world.dice.next() * 500,
      busy: false,
      calls: 0,
      fence: 0,
      leaving: false,
    };
    this.engines.push(engine);
    const loadFactor = this.loadFactor.bind(this);
    const server = new EngineServer({ world, engine, loadFactor, onOrder: this.record.bind(this) });
    server.serve(this.net.ports(process), address);
  }

  private loadFactor(): number {
    return Math.max(1, this.engines.filter(isBusy).length / this.fastLoads);
  }

  private record(order: JudgedOrder): void {
    const at = this.world.now();
    this.orders.push({ ...order, at, late: at - this.lastFaultEndedAt < THAW_MS });
  }

  /** Has a controller commit the platform's list as it was some time ago. */
  private publishList(): void {
    const { world, lists } = this;
    lists.push({ at: world.now(), list: this.engines.map(listed) });
    while (lists.length > 1 && lists[1].at <= world.now() - LIST_AGE_MS) lists.shift();
    const engines = lists[0].list;
    const controller = [...this.controllers.values()].find(this.isAvailable.bind(this));
    const committed = controller?.committedValue('engines')?.value;
    if (controller && JSON.stringify(committed) !== JSON.stringify(engines))
      void controller.change({ kind: 'engines', engines });
    world.after(LIST_AGE_MS / 2, this.publishList.bind(this));
  }

  private isAvailable(controller: Controller): boolean {
    return !this.process(controller.name).frozen && controller.hasQuorum();
  }

  private isAwake(controller: Controller): boolean {
    const { frozen, alive } = this.process(controller.name);
    return !frozen && alive;
  }

  private attemptNaming(
    weights: number,
    onResult: (result: { isRight: () => boolean }) => void,
  ): void {
    const awake = [...this.controllers.values()].filter(this.isAwake.bind(this));
    const controller: Controller | undefined =
      awake[Math.floor(this.world.dice.next() * awake.length)];
    if (!controller) return;
    const operation = { kind: 'weights', model: 'm', weights: String(weights) } as const;
    void controller.change(operation).then(onResult);
  }
}

/** Makes the rig, and runs it until the controllers have started. */
export async function makeRolloutRig(
  seed: number,
  engineCount: number,
  fastLoads: number,
): Promise<RolloutRig> {
  const rig = new RolloutRig(seed, engineCount, fastLoads);
  await rig.runUntil(START_MS);
  return rig;
}

/** What breaks the rule that one holder at a time gives orders. */
export function conflicts(orders: readonly RecordedOrder[]): string[] {
  const prompt = orders.filter(isPrompt);
  return [...sharedFences(orders), ...engineConflicts(prompt), ...leaseConflicts(prompt)];
}

function isPrompt(order: RecordedOrder): boolean {
  return !order.late;
}

/** Fencing tokens that two holders used, also in late orders. */
function sharedFences(orders: readonly RecordedOrder[]): string[] {
  const found: string[] = [];
  const holders = new Map<number, string>();
  for (const { at, fence, holder } of orders) {
    const other = holders.get(fence) ?? holder;
    if (other !== holder) found.push(`${at}: fence ${fence} of ${other} is used by ${holder}`);
    holders.set(fence, other);
  }
  return found;
}

/** Orders at one engine under a lower token, or of another holder within a lease. */
function engineConflicts(orders: readonly RecordedOrder[]): string[] {
  const found: string[] = [];
  const lastAt = new Map<string, RecordedOrder>();
  for (const order of orders) {
    const { at, engine, fence, holder } = order;
    const last = lastAt.get(engine);
    if (last && fence < last.fence)
      found.push(`${at}: fence ${fence} after ${last.fence} at ${engine}`);
    if (last && last.holder !== holder && at - last.at < LEASE_MS)
      found.push(`${at}: ${holder} ${at - last.at} ms after ${last.holder} at ${engine}`);
    lastAt.set(engine, order);
  }
  return found;
}

/** Orders of two holders within a lease, at whatever engines. */
function leaseConflicts(orders: readonly RecordedOrder[]): string[] {
  const found: string[] = [];
  const lastOrderAt = new Map<string, number>();
  for (const { at, holder } of orders) {
    for (const [other, otherAt] of lastOrderAt)
      if (other !== holder && at - otherAt < LEASE_MS)
        found.push(`${at}: ${holder} ${at - otherAt} ms after ${other}`);
    lastOrderAt.set(holder, at);
  }
  return found;
}
