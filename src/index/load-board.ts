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

/** The load board. */
export interface LoadBoard {
  /** Takes a router's loads on one of its connections and tells it those of the others. */
  report: (connection: object, router: string, report: LoadReport) => LoadReply;
  /** A connection has ended: its router's loads go. */
  drop: (connection: object) => void;
  /** The sums over all routers. */
  totals: () => EngineLoad[];
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

/** Makes an empty board; a router that has not reported for `expiryMs` does not count until it reports again. */
export function makeLoadBoard(now: () => number, expiryMs: number): LoadBoard {
  const routers = new Map<object, RouterLoads>();
  const sums = new Map<string, Load>();

  function addToSum(engine: string, [running, unread, held]: Load, sign: 1 | -1): void {
    const sum = sums.get(engine) ?? [0, 0, 0];
    sum[0] += running * sign;
    sum[1] += unread * sign;
    sum[2] += held * sign;
    if (isIdle(sum)) sums.delete(engine);
    else sums.set(engine, sum);
  }

  function setCounted(router: RouterLoads, isCounted: boolean): void {
    if (router.isCounted === isCounted) return;
    router.isCounted = isCounted;
    for (const [engine, load] of router.own) addToSum(engine, load, isCounted ? 1 : -1);
  }

  function expireSilent(): void {
    const oldest = now() - expiryMs;
    for (const router of routers.values())
      if (router.reportedAt < oldest) setCounted(router, false);
  }

  function setOwn(router: RouterLoads, engine: string, load: Load): void {
    const before = router.own.get(engine);
    if (before) addToSum(engine, before, -1);
    if (isIdle(load)) router.own.delete(engine);
    else router.own.set(engine, load);
    addToSum(engine, load, 1);
  }

  /** The router of a connection; a new connection of a router replaces its earlier ones. */
  function routerOf(connection: object, name: string): RouterLoads {
    const known = routers.get(connection);
    if (known) return known;
    for (const [earlier, router] of [...routers]) if (router.name === name) drop(earlier);
    const router: RouterLoads = {
      name,
      own: new Map(),
      told: new Map(),
      reportedAt: now(),
      isCounted: true,
    };
    routers.set(connection, router);
    return router;
  }

  function report(connection: object, name: string, loads: LoadReport): LoadReply {
    const isFirst = !routers.has(connection);
    const router = routerOf(connection, name);
    router.reportedAt = now();
    setCounted(router, true);
    if (loads.full) for (const engine of [...router.own.keys()]) setOwn(router, engine, NO_LOAD);
    for (const [engine, running, unread, held] of loads.own)
      setOwn(router, engine, [running, unread, held ?? 0]);
    expireSilent();
    const full = isFirst || loads.full;
    if (full) router.told.clear();
    return { full, others: takeChanges(router) };
  }

  /** The loads of all other routers that differ from what a router was last told. */
  function takeChanges(router: RouterLoads): EngineLoad[] {
    const changes: EngineLoad[] = [];
    for (const [engine, sum] of sums) {
      const own = router.own.get(engine) ?? NO_LOAD;
      if (isTold(sum, own, router.told.get(engine) ?? NO_LOAD)) continue;
      const others = difference(sum, own);
      changes.push(toEngineLoad(engine, others));
      if (isIdle(others)) router.told.delete(engine);
      else router.told.set(engine, others);
    }
    for (const engine of [...router.told.keys()]) {
      if (sums.has(engine)) continue;
      changes.push([engine, 0, 0]);
      router.told.delete(engine);
    }
    return changes;
  }

  function drop(connection: object): void {
    const router = routers.get(connection);
    if (!router) return;
    setCounted(router, false);
    routers.delete(connection);
  }

  function totals(): EngineLoad[] {
    expireSilent();
    const loads: EngineLoad[] = [];
    for (const [engine, sum] of sums) loads.push(toEngineLoad(engine, sum));
    return loads;
  }

  return { report, drop, totals };
}
