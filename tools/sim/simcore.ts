import { Controller } from '../../src/control/controller';
import { allVoters, Voter } from '../../src/shared/state/voter-set';
import { IntentsValue } from '../../src/shared/state/intents';
import { askCore, SimFleet, simIntents } from './simfleet';
import { Proc } from './process';

/** Ms of silence after which operators go on to another node. */
const PATIENCE = 1000;

/** An operator's answer. */
export interface OpsReply {
  status: number;
  body: Record<string, unknown>;
}

/** Runs virtual time on until a condition holds; gives the time, or undefined past the bound. */
export async function until(
  f: SimFleet,
  most: number,
  test: () => boolean,
  step = 50,
): Promise<number | undefined> {
  while (f.w.now() < most) {
    if (test()) return f.w.now();
    await f.w.run(f.w.now() + step);
  }
  return undefined;
}

/** Asks the core as an operator, and runs virtual time on until it answers. */
export async function asked(
  f: SimFleet,
  method: string,
  path: string,
  body?: unknown,
  first = 0,
): Promise<OpsReply> {
  let r: OpsReply | undefined;
  function told(x: unknown): void {
    r = x as OpsReply;
  }
  void askCore(f, method, path, body, first).then(told);
  function back(): boolean {
    return r !== undefined;
  }
  await until(f, f.w.now() + 30000, back, 1);
  return r!;
}

/** The process of a name. */
export function procOf(f: SimFleet, name: string): Proc {
  function named(p: Proc): boolean {
    return p.name === name;
  }
  return f.w.procs().find(named)!;
}

/** Controllers whose processes run. */
export function running(f: SimFleet): Controller[] {
  const out: Controller[] = [];
  for (const [name, c] of f.controllers)
    if (procOf(f, name).alive && !procOf(f, name).frozen) out.push(c);
  return out;
}

function addressOf(v: Voter): string {
  return v.at.split(':')[0].split('.')[3];
}

/** The voters as every running controller knows them, by the last digit of their addresses; empty where they differ or two sets are joint. */
export function votersOf(f: SimFleet): string {
  const seen = new Set<string>();
  for (const c of running(f)) {
    const v = c.voters();
    seen.add(!v || v.next ? '' : allVoters(v).map(addressOf).sort().join(' '));
  }
  return seen.size === 1 ? [...seen][0] : '';
}

/** Whether the running controllers vote with the disks that they have, and are in a majority. */
export function counts(f: SimFleet, names: readonly string[]): boolean {
  for (const n of names) {
    const c = f.controllers.get(n);
    const v = c?.voters();
    if (!c || !v || v.next || !c.hasQuorum() || !procOf(f, n).alive) return false;
    function mine(x: Voter): boolean {
      return x.disk === c!.store.diskId;
    }
    if (!v.now.some(mine)) return false;
  }
  return true;
}

/** Whether a majority agrees on the founding and every controller is in it. */
export function isFounded(f: SimFleet): boolean {
  function inMajority(c: Controller): boolean {
    return c.hasQuorum();
  }
  return f.controllers.size > 0 && running(f).every(inMajority);
}

/** Kills a machine; its disk goes with it where `wipes`. */
export function lose(f: SimFleet, name: string, wipes: boolean, power = true): void {
  const p = procOf(f, name);
  if (p.alive) f.w.kill(p, power);
  if (wipes) p.files.clear();
}

/** Starts a machine's process again. */
export function back(f: SimFleet, name: string): void {
  f.w.revive(procOf(f, name));
  f.controllers.delete(name);
  f.starts.get(name)!();
}

/** Tells a controller to end, as the platform does: it leaves, stops, and is killed after its grace at the latest. Tells the ms that it took, once it has ended. */
export function terminate(f: SimFleet, name: string): () => number | undefined {
  const p = procOf(f, name);
  const { life } = p;
  const began = f.w.now();
  let tookMs: number | undefined;
  function end(): void {
    tookMs ??= f.w.now() - began;
    if (p.life === life) f.w.kill(p, false);
  }
  f.w.after(f.controllers.get(name)!.settings.graceMs, end);
  void f.stops.get(name)!().then(end);
  function took(): number | undefined {
    return tookMs;
  }
  return took;
}

/** Tells a controller to end, and runs virtual time on until it has; gives the ms that it took. */
export async function terminated(f: SimFleet, name: string): Promise<number> {
  const took = terminate(f, name);
  function isOver(): boolean {
    return took() !== undefined;
  }
  await until(f, Infinity, isOver, 1);
  return took()!;
}

/** Sends changes as the operator does, one after the other, to the next controller after each failure; keeps what was acknowledged. */
export function makeOperator(
  f: SimFleet,
  at = 0,
): {
  acked: () => number;
  longest: () => number;
  put: () => Promise<boolean>;
  go: () => void;
  halt: () => void;
  newest: () => number;
} {
  let acked = 0;
  let longest = 0;
  let going = false;
  let first = at;

  function noteAcknowledged(revision: number, sentAt: number): void {
    acked = revision;
    longest = Math.max(longest, f.w.now() - sentAt);
  }

  async function put(): Promise<boolean> {
    const sent = f.w.now();
    for (let i = 0; i < 40; i++) {
      const at = await askCore(f, 'GET', '/v1/intents', undefined, first, PATIENCE);
      const revision = at.status === 200 ? Number(at.body.revision) : acked;
      const base = Math.max(revision, acked);
      const r = await askCore(
        f,
        'PUT',
        '/v1/intents',
        { basedOn: base, intents: simIntents(f.d, 'probe-3', base % 5, []) },
        first,
        PATIENCE,
      );
      f.w.trace(`operator on ${base}: ${JSON.stringify(r).slice(0, 200)}`);
      if (r.status === 200 || r.status === 202) {
        noteAcknowledged(Number(r.body.revision), sent);
        return true;
      }
      first = (first + 1) % f.core.length;
      await f.ops.clock.sleep(50);
    }
    return false;
  }

  async function loop(): Promise<void> {
    while (going) {
      await put();
      await f.ops.clock.sleep(100);
    }
  }

  function go(): void {
    going = true;
    void loop();
  }
  function halt(): void {
    going = false;
  }
  function ackedNow(): number {
    return acked;
  }
  function longestNow(): number {
    return longest;
  }
  /** The newest revision that a running controller holds. */
  function newest(): number {
    let most = 0;
    for (const c of running(f))
      most = Math.max(most, c.committedValue<IntentsValue>('intents')?.place.number ?? 0);
    return most;
  }
  return { acked: ackedNow, longest: longestNow, put, go, halt, newest };
}
