/**
 * Controllers that grant permits and routers that send under them, without a network: a test says when each message is
 * sent, handled and received, or lost. Each process has a clock of its own rate.
 */

import { LeaseRegistry } from '../../src/control/leases/lease-registry';
import { LeaseRequest } from '../../src/control/leases/lease-messages';
import { ControlStore } from '../../src/control/storage/control-store';
import { WarmUpPermits } from '../../src/control/warm-up/warm-up-permits';
import { WarmUpLimit } from '../../src/data/gateway/warm-up-limit';
import { errorOrValue } from '../../src/shared/errors/errors';
import { Clock } from '../../src/shared/ports/clock';
import { Ports } from '../../src/shared/ports/ports';
import { makeKeyJournal } from '../../src/shared/replication/key-journal';
import { LeaseReply } from '../../src/shared/replication/lease-renewal';
import { HeldPermits } from '../../src/shared/replication/warm-up-permits';
import { defaultSettings } from '../../src/shared/settings/settings';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { Pool } from '../../src/shared/state/deployment';
import { Engine } from '../../src/shared/state/engines';
import { incarnationOf, Member } from '../../src/shared/state/members';
import { VoterSet } from '../../src/shared/state/voter-set';
import { PeerChannel } from '../../src/shared/transport/peer-channel';

const SETTINGS = { ...defaultSettings(), warmUpOvershootRatio: 1.5, warmUpSlack: 5 };
/** The time limits of all processes of a rig. */
export const LIMITS = timeLimitsOf(SETTINGS);
const WARM_UP_PER_S = 20;
/** Requests a second that a cold engine may get. */
export const BOUND_PER_S = WARM_UP_PER_S * SETTINGS.warmUpOvershootRatio + SETTINGS.warmUpSlack;
const POOLS = [{ name: 'p', warmUpMs: 3000, warmUpPerS: WARM_UP_PER_S }] as Pool[];
const BOUND_WINDOW_MS = 1000;

/** An engine of a zone. */
export function engineOf(id: string, zone: string): Engine {
  return { id, at: id, zone, model: '', weights: '', leaving: false, pool: 'p', warmMs: 3000 };
}

/** Real time, which no process sees: each has a clock that runs at its own rate. */
export class RealTime {
  now = 0;

  clock(rate: number): Clock {
    return { now: this.nowAt.bind(this, rate) } as unknown as Clock;
  }

  private nowAt(rate: number): number {
    return this.now * rate;
  }
}

/** A controller. */
export class ControllerModel {
  leases!: LeaseRegistry;
  permits!: WarmUpPermits;

  constructor(
    readonly disk: string,
    private readonly clock: Clock,
    private readonly engines: readonly Engine[],
    /** The voter set as it has learned it. */
    public voters: VoterSet,
  ) {
    this.restart();
  }

  /** Starts a new process on the same disk, which has forgotten all leases and permits. */
  restart(): void {
    const { clock, disk, engines } = this;
    const voters = this.votersLearned.bind(this);
    this.permits = new WarmUpPermits({
      clock,
      settings: SETTINGS,
      timeLimits: LIMITS,
      disk,
      voters,
      hasQuorum: always,
      pools: poolsOf,
      engines: enginesOf,
      members: this.members.bind(this),
    });
    const store = { diskId: disk, registers: new Map(), learnedKeys: makeKeyJournal() };
    const ports = { clock, logger: {} } as unknown as Ports;
    const controlStore = store as unknown as ControlStore;
    this.leases = new LeaseRegistry(controlStore, ports, LIMITS, voters, this.permits);
    function enginesOf(): readonly Engine[] {
      return engines;
    }
  }

  private votersLearned(): VoterSet {
    return this.voters;
  }

  private members(): readonly Member[] {
    return this.leases.members();
  }
}

function always(): boolean {
  return true;
}

function poolsOf(): readonly Pool[] {
  return POOLS;
}

/** A renewal under way between a router and a controller. */
interface Exchange {
  requestedAt: number;
  toldAll: boolean;
  reply?: LeaseReply;
}

/** One router's connection to a controller. */
interface Connection {
  channel: PeerChannel;
  knowsReply: boolean;
  exchange?: Exchange;
}

/** When requests were sent, by engine. */
export type SendLog = Map<string, number[]>;

/** One incarnation of a router. */
export class RouterModel {
  private readonly held: HeldPermits;
  private readonly limit: WarmUpLimit;
  private readonly connections = new Map<string, Connection>();

  constructor(
    readonly member: Member,
    private readonly time: RealTime,
    private readonly clock: Clock,
  ) {
    this.held = new HeldPermits(clock.now);
    const permitCount = this.held.count.bind(this.held);
    this.limit = new WarmUpLimit({ clock, isCold: always, permitCount });
  }

  permitCount(engine: Engine): number {
    return this.held.count(engine.id);
  }

  /** Takes a renewal one step on: it is sent, handled, or its reply is received. */
  async step(controller: ControllerModel): Promise<void> {
    const connection = this.connectionTo(controller);
    const { exchange } = connection;
    if (!exchange)
      connection.exchange = { requestedAt: this.clock.now(), toldAll: !connection.knowsReply };
    else if (!exchange.reply) await this.handle(controller, connection, exchange);
    else this.receive(connection, exchange, exchange.reply);
  }

  /** Renews the lease without a loss. */
  async renew(controller: ControllerModel): Promise<void> {
    this.lose(controller);
    for (let i = 0; i < 3; i++) await this.step(controller);
  }

  /** Renews where the last reply was received, as a router does from time to time. */
  async renewAgain(controller: ControllerModel): Promise<void> {
    do await this.step(controller);
    while (this.connectionTo(controller).exchange);
  }

  /** Loses what is under way to a controller, as where the request has timed out. */
  lose(controller: ControllerModel): void {
    const connection = this.connectionTo(controller);
    if (connection.exchange) connection.knowsReply = false;
    connection.exchange = undefined;
  }

  /** Connects anew. */
  reconnect(controller: ControllerModel): void {
    this.connections.delete(controller.disk);
  }

  /** Gives the leases back and ends; controllers that the message reaches hear of it. */
  async leave(reached: readonly ControllerModel[]): Promise<void> {
    this.held.giveBack();
    this.connections.clear();
    for (const { leases } of reached) await leases.leave({ member: this.member, has: [] });
  }

  /** Sends all that it may to an engine. */
  sendAll(engine: Engine, log: SendLog): void {
    const times = log.get(engine.id) ?? [];
    log.set(engine.id, times);
    while (this.limit.trySend(engine)) times.push(this.time.now);
  }

  private connectionTo({ disk }: ControllerModel): Connection {
    const known = this.connections.get(disk);
    if (known) return known;
    const connection: Connection = { channel: {} as PeerChannel, knowsReply: false };
    this.connections.set(disk, connection);
    return connection;
  }

  private async handle(
    { leases }: ControllerModel,
    connection: Connection,
    exchange: Exchange,
  ): Promise<void> {
    const { member } = this;
    const request = exchange.toldAll ? { member, has: [] } : { member, deltas: true };
    const [error, reply] = errorOrValue(
      await leases.lease(request as LeaseRequest, connection.channel),
    );
    if (!error) exchange.reply = reply as LeaseReply;
    else {
      connection.exchange = undefined;
      connection.knowsReply = false;
    }
  }

  private receive(connection: Connection, exchange: Exchange, reply: LeaseReply): void {
    const { requestedAt, toldAll } = exchange;
    connection.exchange = undefined;
    connection.knowsReply = reply.granted;
    if (!reply.granted) return;
    const { disk, permits } = reply;
    const expiresAt = requestedAt + LIMITS.leaseMs;
    this.held.note({ disk, requestedAt, expiresAt, permits, isComplete: toldAll });
  }
}

let lives = 0;

/** A new incarnation of a router. */
export function startRouter(name: string, zone: string, time: RealTime, rate: number): RouterModel {
  const member = { name, role: 'router', at: '', http: '', zone, life: String(lives++) };
  return new RouterModel(member, time, time.clock(rate));
}

/** The most requests that an engine was sent within one second. */
export function mostInOneSecond(log: SendLog): number {
  let most = 0;
  for (const times of log.values()) {
    let first = 0;
    for (let last = 0; last < times.length; last++) {
      while (times[last] - times[first] > BOUND_WINDOW_MS) first++;
      most = Math.max(most, last - first + 1);
    }
  }
  return most;
}

/** Identifies a router's incarnation. */
export function incarnation({ member }: RouterModel): string {
  return incarnationOf(member);
}
