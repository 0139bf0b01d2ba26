import { EngineConnections } from '../../src/data/gateway/engine-connections';
import { RetryBudget } from '../../src/data/gateway/retry-budget';
import { failure, errorOrValue, Result } from '../../src/shared/errors/errors';
import { Clock } from '../../src/shared/ports/clock';
import { HttpConnection, RawHttpNetwork } from '../../src/shared/ports/raw-http';
import { Right } from 'purify-ts';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Engine } from '../../src/shared/state/engines';

interface Hand extends HttpConnection {
  idle: () => void;
  end: (surplus: boolean) => void;
}

const engine: Engine = {
  id: 'e1',
  at: '10.0.0.1:80',
  zone: 'z',
  model: 'm',
  weights: '1',
  leaving: false,
};

/** A clock that a test moves, and connections that it ends. */
function hands(): {
  clock: Clock;
  http: RawHttpNetwork;
  made: Hand[];
  move: (ms: number) => void;
  dark: (on: boolean) => void;
} {
  let time = 0;
  let isDark = false;
  let timers: { at: number; ring: () => void }[] = [];
  const made: Hand[] = [];
  function now(): number {
    return time;
  }
  function timer(ms: number, ring: () => void): () => void {
    const t = { at: time + ms, ring };
    timers.push(t);
    function off(): void {
      timers = timers.filter(other);
    }
    function other(x: object): boolean {
      return x !== t;
    }
    return off;
  }
  function move(ms: number): void {
    time += ms;
    for (const t of timers.filter(due)) t.ring();
    function due(t: { at: number }): boolean {
      return t.at <= time;
    }
    timers = timers.filter(later);
    function later(t: { at: number }): boolean {
      return t.at > time;
    }
  }
  function connect(at: string): Promise<Result<HttpConnection>> {
    if (isDark)
      return Promise.resolve(failure('connect', at, 'no connection in time', 'refused', 'timeout'));
    let fits = true;
    let told: () => void;
    let end: (v: { surplus: boolean }) => void;
    function wait(done: (v: { surplus: boolean }) => void): void {
      end = done;
    }
    function fit(): boolean {
      return fits;
    }
    function onIdle(tell: () => void): void {
      told = tell;
    }
    function close(): void {
      fits = false;
      end({ surplus: false });
    }
    function idle(): void {
      told();
    }
    function endWith(surplus: boolean): void {
      fits = false;
      end({ surplus });
    }
    const h: Hand = {
      address: at,
      isReusable: fit,
      request: undefined as never,
      onIdle,
      closed: new Promise(wait),
      close,
      idle,
      end: endWith,
    };
    made.push(h);
    return Promise.resolve(Right(h));
  }
  function dark(on: boolean): void {
    isDark = on;
  }
  const clock: Clock = { now, wallTime: String, sleep: undefined as never, setTimer: timer };
  return { clock, http: { connect, serve: undefined as never }, made, move, dark };
}

function two(): number {
  return 2;
}

async function usedAgain(): Promise<void> {
  const w = hands();
  const k = new EngineConnections(w.clock, w.http, { ...defaultSettings(), contactMs: 3000 }, two);
  k.recordKeepAlive(engine, 2);
  const a = (await k.acquire(engine, 100)).unsafeCoerce();
  const b = (await k.acquire(engine, 100)).unsafeCoerce();
  w.made[0].idle();
  w.made[1].idle();
  expect((await k.acquire(engine, 100)).unsafeCoerce()).toBe(b);
  expect((await k.acquire(engine, 100)).unsafeCoerce()).toBe(a);
  w.made[0].idle();
  w.move(1300);
  expect((await k.acquire(engine, 100)).unsafeCoerce()).toBe(w.made[2]);
  w.made[2].idle();
  w.made[2].end(true);
  await w.made[2].closed;
  w.made[1].idle();
  expect((await k.acquire(engine, 100)).unsafeCoerce()).toBe(w.made[3]);
  k.stop();
}

async function shared(): Promise<void> {
  const w = hands();
  const k = new EngineConnections(w.clock, w.http, defaultSettings(), two);
  for (let i = 0; i < 4; i++) expect((await k.acquire(engine, 10)).isRight()).toBe(true);
  const [f] = errorOrValue(await k.acquire(engine, 10));
  expect(f).toMatchObject({ certainty: 'refused', code: 'no-connection' });
  k.retain(new Set());
  w.made[0].idle();
  expect(w.made[0].isReusable()).toBe(false);
  k.stop();
}

async function darkMachine(): Promise<void> {
  const w = hands();
  const k = new EngineConnections(w.clock, w.http, defaultSettings(), two);
  await k.acquire(engine, 100);
  w.made[0].idle();
  expect(await k.isReachable(engine)).toBe(true);
  expect(w.made.length).toBe(2);
  w.dark(true);
  const both = [k.isReachable(engine), k.isReachable(engine)];
  expect(both[0]).toBe(both[1]);
  expect(await Promise.all(both)).toEqual([false, false]);
  expect(w.made.map(isFit)).toEqual([false, false]);
  expect((await k.acquire(engine, 100)).isLeft()).toBe(true);
  k.stop();
}

function isFit(h: Hand): boolean {
  return h.isReusable();
}

function slides(): void {
  const w = hands();
  let routers: number | undefined = 10;
  function known(): number | undefined {
    return routers;
  }
  const b = new RetryBudget(
    w.clock,
    { ...defaultSettings(), retryWindowMs: 10000, retryRatio: 0.2, retrySlack: 50 },
    known,
  );
  for (let i = 0; i < 50; i++) b.recordRequest('p');
  expect(spendAll(b)).toBe(8);
  w.move(10501);
  expect(spendAll(b)).toBe(4);
  w.move(9000);
  expect(spendAll(b)).toBe(0);
  w.move(2000);
  expect(spendAll(b)).toBe(4);
  routers = undefined;
  w.move(11000);
  expect(spendAll(b)).toBe(0);
}

function spendAll(b: {
  trySpend: (pool: string) => boolean;
  hasBudget: (pool: string) => boolean;
}): number {
  let n = 0;
  while (b.hasBudget('p') && b.trySpend('p')) n++;
  return n;
}

test('kept connections are used again, the last one first, and not for long', usedAgain);
test("routers share an engine's connections", shared);
test('an engine whose machine is dark loses its kept connections', darkMachine);
test('further attempts are paid from a sliding window, and its slack from a later one', slides);
