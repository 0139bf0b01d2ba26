/**
 * A simulated engine that takes orders to load weights as the platform's engines do, by HTTP.
 */

import { sendJson, readJsonBody } from '../../src/shared/transport/http-handlers';
import { IncomingRequest } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';
import { World } from './simworld';

/** How long a load takes while few engines load, in ms. */
const LOAD_MS = 400;
/** How old a report may be, in ms. */
const REPORT_AGE_MS = 150;

/** An engine's state. */
export interface OrderedEngine {
  id: string;
  weights: number;
  /** Takes orders, and replies to none of them. */
  mute: boolean;
  /** How long its runs last when an order comes, in ms. */
  runsMs: number;
  busy: boolean;
  /** How many orders it has taken. */
  calls: number;
  /** The highest fencing token that it has seen. */
  fence: number;
  leaving: boolean;
}

/** The body of an order, with the platform's field names. */
interface OrderBody {
  model: string;
  revision: number;
  holder: string;
  fenceToken: number;
  expectedCount?: number;
}

/** An order as an engine judged it. */
export interface JudgedOrder {
  engine: string;
  from: string;
  holder: string;
  fence: number;
  weights: number;
  status: number;
}

interface ShownState {
  weights: number;
  busy: boolean;
  calls: number;
}

/** What an engine's server needs of its rig. */
export interface EngineServerDependencies {
  world: World;
  engine: OrderedEngine;
  /** How much longer a load takes that begins now, as a factor. */
  loadFactor: () => number;
  onOrder: (order: JudgedOrder) => void;
}

/** Serves one engine. Its reports are as old as they may be. */
export class EngineServer {
  private shown: ShownState;
  private next: ShownState;

  constructor(private readonly dependencies: EngineServerDependencies) {
    this.shown = this.state();
    this.next = this.shown;
  }

  /** Starts to serve at an address. */
  serve(ports: Ports, address: string): void {
    this.refresh();
    void ports.network.serveHttp(address, this.handle.bind(this));
  }

  private state(): ShownState {
    const { weights, busy, calls } = this.dependencies.engine;
    return { weights, busy, calls };
  }

  private refresh(): void {
    this.shown = this.next;
    this.next = this.state();
    this.dependencies.world.after(REPORT_AGE_MS / 2, this.refresh.bind(this));
  }

  private async handle(call: IncomingRequest): Promise<void> {
    if (call.path === '/api/report') return this.report(call);
    const { engine, onOrder } = this.dependencies;
    const order = (await readJsonBody(call, 1e4)) as OrderBody;
    const status = this.judge(order);
    onOrder({
      engine: engine.id,
      from: call.peer,
      holder: order.holder,
      fence: order.fenceToken,
      weights: order.revision,
      status,
    });
    if (!engine.mute) sendJson(call, status, {});
  }

  private report(call: IncomingRequest): void {
    const { weights, busy, calls } = this.shown;
    sendJson(call, 200, { models: [{ name: 'm', revision: weights }], busy, callCount: calls });
  }

  /** The status of the reply to an order; one that is taken begins once the runs are over. */
  private judge(order: OrderBody): number {
    const { engine, world } = this.dependencies;
    if (order.fenceToken < engine.fence) return 412;
    engine.fence = order.fenceToken;
    const { expectedCount } = order;
    if (engine.busy || (expectedCount !== undefined && expectedCount !== engine.calls)) return 409;
    if (engine.weights === order.revision) return 200;
    engine.busy = true;
    engine.calls++;
    world.after(engine.runsMs, this.load.bind(this, order.revision));
    return 202;
  }

  private load(weights: number): void {
    const { world, loadFactor } = this.dependencies;
    world.after(LOAD_MS * loadFactor(), this.finish.bind(this, weights));
  }

  private finish(weights: number): void {
    const { engine } = this.dependencies;
    engine.busy = false;
    engine.weights = weights;
  }
}
