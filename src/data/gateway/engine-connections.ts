import { Left, Right } from 'purify-ts';
import { makeError, errorOrValue, Result } from '../../shared/errors/errors';
import { Clock } from '../../shared/ports/clock';
import { HttpConnection, RawHttpNetwork } from '../../shared/ports/raw-http';
import { Settings } from '../../shared/settings/settings';
import { Engine } from '../../shared/state/engines';

/** The share of an engine's connections that routers take together. */
const SHARE = 0.8;
/** A kept connection is used again up to this share of the time that the engine tells. */
const KEEP = 0.6;
/** The time taken where an engine tells none, as a share of what callers' connections may idle. */
const UNTOLD = 0.25;
/** How long an engine that sent surplus bytes gets fresh connections only, as a share of `contactMs`. */
const GARBLED = 2;
/** The longest that a connection may take to come up, as a share of `contactMs`. */
const CONNECT = 0.05;

/** Kept connections to engines; what was used last is used first. */
export interface EngineConnections {
  /** Takes a connection to an engine; `most` is what the engine takes from all callers. */
  acquire: (e: Engine, most: number) => Promise<Result<HttpConnection>>;
  /** Takes back a connection that was not used. */
  release: (e: Engine, c: HttpConnection) => void;
  /** Hears for how long an engine keeps an idle connection. */
  recordKeepAlive: (e: Engine, keepS: number | undefined) => void;
  /** Hears that bytes came from an engine. */
  recordActivity: (e: Engine) => void;
  /** When bytes last came from an engine on any connection. */
  lastActivityAt: (e: Engine) => number;
  /** Asks, by a new connection, whether an engine's machine is still there. */
  isReachable: (e: Engine) => Promise<boolean>;
  /** Hears that an engine mixes answers up. */
  quarantine: (e: Engine) => void;
  /** Hears which engines there are. */
  retain: (ids: ReadonlySet<string>) => void;
  setCallerIdleMs: (ms: number) => void;
  stop: () => void;
}

interface Kept {
  at: string;
  open: number;
  idle: { c: HttpConnection; since: number }[];
  keepMs?: number;
  freshUntil: number;
  heardAt: number;
  reaching?: Promise<boolean>;
}

/** Makes the kept connections; `routers` tells how many routers share the engines. */
export function keepConnections(
  clock: Clock,
  http: RawHttpNetwork,
  s: Settings,
  routers: () => number | undefined,
): EngineConnections {
  const engines = new Map<string, Kept>();
  let untoldMs = s.contactMs;
  let stopped = false;

  function at(e: Engine): Kept {
    const had = engines.get(e.id);
    if (had) return had;
    const k: Kept = { at: e.at, open: 0, idle: [], freshUntil: 0, heardAt: -Infinity };
    engines.set(e.id, k);
    return k;
  }

  function lastsMs(k: Kept): number {
    return (k.keepMs ?? untoldMs) * KEEP;
  }

  function trim(k: Kept): void {
    const now = clock.now();
    const fresh = now < k.freshUntil;
    function lasts(x: { c: HttpConnection; since: number }): boolean {
      const ok = !fresh && x.c.isReusable() && now - x.since < lastsMs(k);
      if (!ok) x.c.close();
      return ok;
    }
    k.idle = k.idle.filter(lasts);
  }

  async function take(e: Engine, most: number): Promise<Result<HttpConnection>> {
    const k = at(e);
    trim(k);
    const kept = k.idle.pop();
    if (kept) return Right(kept.c);
    if (k.open >= Math.max(1, Math.floor((most * SHARE) / (routers() ?? 1))))
      return Left(makeError('connect', e.at, 'no connection is free', 'refused', 'no-connection'));
    return connect(e, k);
  }

  async function connect(e: Engine, k: Kept): Promise<Result<HttpConnection>> {
    k.open++;
    const [f, c] = errorOrValue(await http.connect(e.at, s.contactMs * CONNECT));
    if (f) {
      k.open--;
      return Left(f);
    }
    c.onIdle(idle);
    void c.closed.then(closed);
    function idle(): void {
      if (stopped || engines.get(e.id) !== k) c!.close();
      else k.idle.push({ c: c!, since: clock.now() });
    }
    function closed(v: { surplus: boolean }): void {
      k.open--;
      if (v.surplus) garbles(e);
    }
    return Right(c);
  }

  function reaches(e: Engine): Promise<boolean> {
    const k = at(e);
    async function reach(): Promise<boolean> {
      const [f, c] = errorOrValue(await connect(e, k));
      k.reaching = undefined;
      if (f) closeIdle(k);
      else if (stopped || engines.get(e.id) !== k) c.close();
      else k.idle.push({ c, since: clock.now() });
      return f === undefined;
    }
    k.reaching ??= reach();
    return k.reaching;
  }

  function closeIdle(k: Kept): void {
    for (const x of k.idle) x.c.close();
    k.idle = [];
  }

  function giveBack(e: Engine, c: HttpConnection): void {
    at(e).idle.push({ c, since: clock.now() });
  }

  function told(e: Engine, keepS: number | undefined): void {
    if (keepS !== undefined) at(e).keepMs = keepS * 1000;
  }

  function heard(e: Engine): void {
    at(e).heardAt = clock.now();
  }

  function heardAt(e: Engine): number {
    return at(e).heardAt;
  }

  function garbles(e: Engine): void {
    const k = at(e);
    k.freshUntil = clock.now() + s.contactMs * GARBLED;
    trim(k);
  }

  function drop(id: string, k: Kept): void {
    engines.delete(id);
    closeIdle(k);
  }

  function renew(ids: ReadonlySet<string>): void {
    for (const [id, k] of engines) if (!ids.has(id)) drop(id, k);
  }

  function idleMs(ms: number): void {
    untoldMs = ms * UNTOLD;
  }

  function trimAll(): void {
    for (const k of engines.values()) trim(k);
    off = clock.setTimer(s.contactMs * KEEP, trimAll);
  }

  function stop(): void {
    stopped = true;
    off();
    for (const [id, k] of engines) drop(id, k);
  }

  let off = clock.setTimer(s.contactMs * KEEP, trimAll);
  return {
    acquire: take,
    release: giveBack,
    recordKeepAlive: told,
    recordActivity: heard,
    lastActivityAt: heardAt,
    isReachable: reaches,
    quarantine: garbles,
    retain: renew,
    setCallerIdleMs: idleMs,
    stop,
  };
}
