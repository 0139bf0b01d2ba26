/**
 * Connection pools to engines: kept HTTP connections, of which the one that was used last is used first, within this
 * router's share of what an engine takes from all callers.
 */

import { Left, Right } from 'purify-ts';
import { makeError, errorOrValue, Result } from '../../shared/errors/errors';
import { Clock } from '../../shared/ports/clock';
import { HttpConnection, RawHttpNetwork } from '../../shared/ports/raw-http';
import { Settings } from '../../shared/settings/settings';
import { Engine } from '../../shared/state/engines';

/** The share of an engine's connections that routers take together. */
const ROUTERS_SHARE_RATIO = 0.8;
/** A kept connection is used again up to this share of the time for which the engine keeps it. */
const KEEP_ALIVE_RATIO = 0.6;
/** The time taken where an engine reports none, as a share of what callers' connections may idle. */
const DEFAULT_KEEP_ALIVE_RATIO = 0.25;
/** How long an engine that sent surplus bytes gets fresh connections only, as a share of `contactMs`. */
const QUARANTINE_RATIO = 2;
/** The longest that a connection may take to come up, as a share of `contactMs`. */
const CONNECT_TIMEOUT_RATIO = 0.05;

interface IdleConnection {
  connection: HttpConnection;
  /** Ms of the clock. */
  idleSince: number;
}

/** The connections to one engine. Times are ms of the clock. */
interface EnginePool {
  openCount: number;
  /** The one that was used last is the last one. */
  idle: IdleConnection[];
  /** How long the engine keeps an idle connection, where it reports that. */
  keepAliveMs?: number;
  quarantinedUntil: number;
  lastActivityAt: number;
  /** A check of its machine that is under way. */
  reachability?: Promise<boolean>;
}

function closeIdle(pool: EnginePool): void {
  for (const { connection } of pool.idle) connection.close();
  pool.idle = [];
}

/** Keeps the pools of all engines, by id. */
export class EngineConnections {
  private readonly pools = new Map<string, EnginePool>();
  private defaultKeepAliveMs: number;
  private isStopped = false;
  private cancelTrim: () => void;

  /** `routerCount` tells how many routers share the engines, as far as it is known. */
  constructor(
    private readonly clock: Clock,
    private readonly http: RawHttpNetwork,
    private readonly settings: Settings,
    private readonly routerCount: () => number | undefined,
  ) {
    this.defaultKeepAliveMs = settings.contactMs;
    this.cancelTrim = this.scheduleTrim();
  }

  /** Takes a connection to an engine, a kept one where there is one; `maxConnections` is what the engine takes from all callers. Code `no-connection` where this router's share is used up. */
  async acquire(engine: Engine, maxConnections: number): Promise<Result<HttpConnection>> {
    const pool = this.poolOf(engine);
    this.trim(pool);
    const kept = pool.idle.pop();
    if (kept) return Right(kept.connection);
    const share = Math.floor((maxConnections * ROUTERS_SHARE_RATIO) / (this.routerCount() ?? 1));
    if (pool.openCount >= Math.max(1, share))
      return Left(
        makeError('connect', engine.at, 'no connection is free', 'refused', 'no-connection'),
      );
    return this.connect(engine, pool);
  }

  /** Takes back a connection that was not used. */
  release(engine: Engine, connection: HttpConnection): void {
    this.addIdle(this.poolOf(engine), connection);
  }

  /** Records for how many s an engine keeps an idle connection, where it reports that. */
  recordKeepAlive(engine: Engine, keepAliveS: number | undefined): void {
    if (keepAliveS !== undefined) this.poolOf(engine).keepAliveMs = keepAliveS * 1000;
  }

  /** Records that bytes came from an engine. */
  recordActivity(engine: Engine): void {
    this.poolOf(engine).lastActivityAt = this.clock.now();
  }

  /** When bytes last came from an engine on any connection, in ms of the clock. */
  lastActivityAt(engine: Engine): number {
    return this.poolOf(engine).lastActivityAt;
  }

  /** Checks by a new connection whether an engine's machine is still there; all that ask meanwhile share the check. */
  isReachable(engine: Engine): Promise<boolean> {
    const pool = this.poolOf(engine);
    pool.reachability ??= this.checkReachable(engine, pool);
    return pool.reachability;
  }

  /** Uses only fresh connections to an engine for a while, as it mixes answers up. */
  quarantine(engine: Engine): void {
    const pool = this.poolOf(engine);
    pool.quarantinedUntil = this.clock.now() + this.settings.contactMs * QUARANTINE_RATIO;
    this.trim(pool);
  }

  /** Forgets all engines but these, and closes their idle connections. */
  retain(ids: ReadonlySet<string>): void {
    for (const [id, pool] of this.pools) if (!ids.has(id)) this.drop(id, pool);
  }

  /** Sets for how many ms callers' connections may idle. */
  setCallerIdleMs(ms: number): void {
    this.defaultKeepAliveMs = ms * DEFAULT_KEEP_ALIVE_RATIO;
  }

  /** Closes what is idle now; what is in use is closed once it is idle. */
  stop(): void {
    this.isStopped = true;
    this.cancelTrim();
    for (const [id, pool] of this.pools) this.drop(id, pool);
  }

  private poolOf(engine: Engine): EnginePool {
    const known = this.pools.get(engine.id);
    if (known) return known;
    const pool = { openCount: 0, idle: [], quarantinedUntil: 0, lastActivityAt: -Infinity };
    this.pools.set(engine.id, pool);
    return pool;
  }

  /** Closes the idle connections that may not be used any more. */
  private trim(pool: EnginePool): void {
    const now = this.clock.now();
    const isQuarantined = now < pool.quarantinedUntil;
    const maxIdleMs = (pool.keepAliveMs ?? this.defaultKeepAliveMs) * KEEP_ALIVE_RATIO;
    function isUsable({ connection, idleSince }: IdleConnection): boolean {
      const usable = !isQuarantined && connection.isReusable() && now - idleSince < maxIdleMs;
      if (!usable) connection.close();
      return usable;
    }
    pool.idle = pool.idle.filter(isUsable);
  }

  private async connect(engine: Engine, pool: EnginePool): Promise<Result<HttpConnection>> {
    pool.openCount++;
    const timeoutMs = this.settings.contactMs * CONNECT_TIMEOUT_RATIO;
    const [error, connection] = errorOrValue(await this.http.connect(engine.at, timeoutMs));
    if (error) {
      pool.openCount--;
      return Left(error);
    }
    connection.onIdle(this.keepOrClose.bind(this, engine, pool, connection));
    void connection.closed.then(this.recordClosed.bind(this, engine, pool));
    return Right(connection);
  }

  /** Keeps a connection that is idle, or closes it where its pool is gone. */
  private keepOrClose(engine: Engine, pool: EnginePool, connection: HttpConnection): void {
    if (this.isStopped || this.pools.get(engine.id) !== pool) connection.close();
    else this.addIdle(pool, connection);
  }

  private recordClosed(engine: Engine, pool: EnginePool, { surplus }: { surplus: boolean }): void {
    pool.openCount--;
    if (surplus) this.quarantine(engine);
  }

  private addIdle(pool: EnginePool, connection: HttpConnection): void {
    pool.idle.push({ connection, idleSince: this.clock.now() });
  }

  private async checkReachable(engine: Engine, pool: EnginePool): Promise<boolean> {
    const [error, connection] = errorOrValue(await this.connect(engine, pool));
    pool.reachability = undefined;
    if (error) closeIdle(pool);
    else this.keepOrClose(engine, pool, connection);
    return error === undefined;
  }

  private drop(id: string, pool: EnginePool): void {
    this.pools.delete(id);
    closeIdle(pool);
  }

  private scheduleTrim(): () => void {
    return this.clock.setTimer(this.settings.contactMs * KEEP_ALIVE_RATIO, this.trimAll.bind(this));
  }

  private trimAll(): void {
    for (const pool of this.pools.values()) this.trim(pool);
    this.cancelTrim = this.scheduleTrim();
  }
}
