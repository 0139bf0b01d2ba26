/**
 * The load board: what all routers have in flight at each engine, summed at one indexer for all of them.
 */

import { EngineLoad, LoadReply, LoadReport } from '../shared/contracts/indexer';

/** Requests in flight at an engine, their prompt tokens that it has not read yet, and tokens of memory that they hold. */
type Load = [running: number, unreadTokens: number, heldTokens: number];

const NO_LOAD: Load = [0, 0, 0];

/** What is known of one router, on one of its connections. */
interface RouterLoads {
  name: string;
  /** What the router has in flight, by engine. */
  own: Map<string, Load>;
  /** What it was last told of all other routers, by engine. */
  told: Map<string, Load>;
  reportedAt: number;
  /** Whether its loads count in the sums. */
  isCounted: boolean;
}

function toEngineLoad(engine: string, [running, unread, held]: Load): EngineLoad {
  return held > 0 ? [engine, running, unread, held] : [engine, running, unread];
}

/** Whether no request is in flight. */
function isIdle([running, unreadTokens]: Load): boolean {
  return running === 0 && unreadTokens === 0;
}

function difference(a: Load, b: Load): Load {
  return [a[0] - b[0], a[1] - b[1], a[2] - b[2]];
}

/** Whether the difference of two loads is what was told, in what routers go by; held tokens alone are no news. */
function isTold(sum: Load, own: Load, told: Load): boolean {
  return sum[0] - own[0] === told[0] && sum[1] - own[1] === told[1];
}

/** The load board; empty at first. */
export class LoadBoard {
  /** By connection. */
  private readonly routers = new Map<object, RouterLoads>();
  private readonly sums = new Map<string, Load>();

  /** A router that has not reported for `expiryMs` does not count until it reports again. */
  constructor(
    private readonly now: () => number,
    private readonly expiryMs: number,
  ) {}

  private addToSum(engine: string, [running, unread, held]: Load, sign: 1 | -1): void {
    const sum = this.sums.get(engine) ?? [0, 0, 0];
    sum[0] += running * sign;
    sum[1] += unread * sign;
    sum[2] += held * sign;
    if (isIdle(sum)) this.sums.delete(engine);
    else this.sums.set(engine, sum);
  }

  private setCounted(router: RouterLoads, isCounted: boolean): void {
    if (router.isCounted === isCounted) return;
    router.isCounted = isCounted;
    for (const [engine, load] of router.own) this.addToSum(engine, load, isCounted ? 1 : -1);
  }

  private expireSilent(): void {
    const oldest = this.now() - this.expiryMs;
    for (const router of this.routers.values())
      if (router.reportedAt < oldest) this.setCounted(router, false);
  }

  private setOwn(router: RouterLoads, engine: string, load: Load): void {
    const before = router.own.get(engine);
    if (before) this.addToSum(engine, before, -1);
    if (isIdle(load)) router.own.delete(engine);
    else router.own.set(engine, load);
    this.addToSum(engine, load, 1);
  }

  /** The router of a connection; a new connection of a router replaces its earlier ones. */
  private routerOf(connection: object, name: string): RouterLoads {
    const known = this.routers.get(connection);
    if (known) return known;
    for (const [earlier, router] of [...this.routers]) if (router.name === name) this.drop(earlier);
    const router: RouterLoads = {
      name,
      own: new Map(),
      told: new Map(),
      reportedAt: this.now(),
      isCounted: true,
    };
    this.routers.set(connection, router);
    return router;
  }

  /** Takes a router's loads on one of its connections and tells it those of the others. */
  report(connection: object, name: string, loads: LoadReport): LoadReply {
    const isFirst = !this.routers.has(connection);
    const router = this.routerOf(connection, name);
    router.reportedAt = this.now();
    this.setCounted(router, true);
    if (loads.full)
      for (const engine of [...router.own.keys()]) this.setOwn(router, engine, NO_LOAD);
    for (const [engine, running, unread, held] of loads.own)
      this.setOwn(router, engine, [running, unread, held ?? 0]);
    this.expireSilent();
    const full = isFirst || loads.full;
    if (full) router.told.clear();
    return { full, others: this.takeChanges(router) };
  }

  /** The loads of all other routers that differ from what a router was last told. */
  private takeChanges(router: RouterLoads): EngineLoad[] {
    const changes: EngineLoad[] = [];
    for (const [engine, sum] of this.sums) {
      const own = router.own.get(engine) ?? NO_LOAD;
      if (isTold(sum, own, router.told.get(engine) ?? NO_LOAD)) continue;
      const others = difference(sum, own);
      changes.push(toEngineLoad(engine, others));
      if (isIdle(others)) router.told.delete(engine);
      else router.told.set(engine, others);
    }
    for (const engine of [...router.told.keys()]) {
      if (this.sums.has(engine)) continue;
      changes.push([engine, 0, 0]);
      router.told.delete(engine);
    }
    return changes;
  }

  /** A connection has ended: its router's loads go. */
  drop(connection: object): void {
    const router = this.routers.get(connection);
    if (!router) return;
    this.setCounted(router, false);
    this.routers.delete(connection);
  }

  /** The sums over all routers. */
  totals(): EngineLoad[] {
    this.expireSilent();
    const loads: EngineLoad[] = [];
    for (const [engine, sum] of this.sums) loads.push(toEngineLoad(engine, sum));
    return loads;
  }
}
