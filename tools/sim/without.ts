import { Right } from 'purify-ts';
import * as leases from '../../src/control/leases/lease-registry';
import type { Controller } from '../../src/control/controller';
import * as backgroundTasks from '../../src/control/singletons/background-tasks';
import * as oldWeights from '../../src/control/singletons/old-weights-retirement';
import * as slots from '../../src/control/storage/control-store';
import { CallerApi } from '../../src/data/caller-api';
import * as engines from '../../src/data/engine-tracker';
import * as forwarding from '../../src/data/generate-forwarding';
import * as router from '../../src/data/router';
import * as once from '../../src/data/idempotency-keys';
import * as indexMessages from '../../src/index/index-handlers';
import * as tree from '../../src/index/prefix-trees';
import * as engine from '../../src/shared/contracts/engine';
import * as platform from '../../src/shared/contracts/platform';
import * as delta from '../../src/shared/replication/delta';
import { OperationError, Result } from '../../src/shared/errors/errors';
import * as clock from '../../src/shared/system/suspension-clock';
import * as follow from '../../src/shared/replication/follower';
import { IncomingRequest } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';
import * as bounds from '../../src/shared/settings/time-limits';
import { Settings } from '../../src/shared/settings/settings';
import { Engine } from '../../src/shared/state/engines';
import { Intents } from '../../src/shared/state/intents';
import * as nextValue from '../../src/control/configuration/next-value';
import { Operation } from '../../src/control/configuration/operations';

type Patch = Record<string, (...x: never[]) => unknown>;

function always(): boolean {
  return true;
}

function noVotes(): void {
  function won(): Promise<once.KeyAcquisition> {
    return Promise.resolve({ isAcquired: true, state: 'running' });
  }
  function mark(): undefined {
    return undefined;
  }
  (once as unknown as Patch).acquireIdempotencyKey = won;
  (once as unknown as Patch).voterSetFingerprint = mark;
}

function noEffect(): void {
  function atOnce(this: { store: { diskId: string } }): Promise<Result<unknown>> {
    return Promise.resolve(Right({ disk: this.store.diskId }));
  }
  (leases.LeaseRegistry.prototype as unknown as Patch).effect = atOnce;
}

function noLeases(): void {
  const real = follow.followCore;
  function lasting(...x: Parameters<typeof follow.followCore>): follow.Follower {
    return { ...real(...x), hasLease: always };
  }
  (follow as unknown as Patch).followCore = lasting;
}

function noSalts(): void {
  const real = nextValue.computeNextValue;
  function same(...x: Parameters<typeof nextValue.computeNextValue>): Result<unknown> {
    function flatten(v: unknown): unknown {
      const i = v as { doc?: Intents; salts?: Record<string, string> };
      for (const t of Object.keys(i?.salts ?? {})) i.salts![t] = 'one';
      return v;
    }
    return real(...x).map(flatten);
  }
  (nextValue as unknown as Patch).computeNextValue = same;
}

function noWeightsEnd(): void {
  const real = bounds.timeLimitsOf;
  function endless(s: Settings): bounds.TimeLimits {
    return { ...real(s), oldWeightsRetireMs: Infinity };
  }
  async function nothing(): Promise<void> {
    // does nothing on purpose
  }
  (bounds as unknown as Patch).timeLimitsOf = endless;
  (oldWeights as unknown as Patch).retireOldWeights = nothing;
}

function noLeaving(): void {
  const real = platform.listEngines;
  function staying(e: Engine): Engine {
    return { ...e, leaving: false };
  }
  function all(list: Engine[]): Engine[] {
    return list.map(staying);
  }
  async function list(...x: Parameters<typeof platform.listEngines>): Promise<Result<Engine[]>> {
    return (await real(...x)).map(all);
  }
  (platform as unknown as Patch).listEngines = list;
}

function noLeavingCut(): void {
  const real = bounds.timeLimitsOf;
  function uncut(s: Settings): bounds.TimeLimits {
    return { ...real(s), drainingEngineCutMs: Infinity };
  }
  (bounds as unknown as Patch).timeLimitsOf = uncut;
}

function noSync(): void {
  const real = slots.openControlStore;
  async function lazy(
    ...x: Parameters<typeof slots.openControlStore>
  ): Promise<Result<slots.ControlStore>> {
    function skip(s: slots.ControlStore): slots.ControlStore {
      function put(l: slots.LogEntry): Promise<Result<void>> {
        slots.applyLogEntry(s.registers, l);
        return Promise.resolve(Right(undefined));
      }
      return { ...s, put };
    }
    return (await real(...x)).map(skip);
  }
  (slots as unknown as Patch).openControlStore = lazy;
}

/** Bends the lines that a router reads of each generate call. */
function bendLines(
  make: (request: string) => (o: Result<engine.EngineLine>) => Result<engine.EngineLine>,
): void {
  const real = engine.generate;
  async function bent(
    ...x: Parameters<typeof engine.generate>
  ): Promise<Result<engine.GenerationStream>> {
    function wrap(g: engine.GenerationStream): engine.GenerationStream {
      const bend = make(x[2].request);
      async function next(): Promise<Result<engine.EngineLine>> {
        return bend(await g.next());
      }
      return { ...g, next };
    }
    return (await real(...x)).map(wrap);
  }
  (engine as unknown as Patch).generate = bent;
}

function noLastLine(): void {
  function make(request: string): (o: Result<engine.EngineLine>) => Result<engine.EngineLine> {
    let n = 0;
    function pad(o: Result<engine.EngineLine>): Result<engine.EngineLine> {
      if (o.isLeft()) return n > 0 ? Right({ request, done: true, count: n }) : o;
      if (!(o.extract() as engine.EngineLine).done) n++;
      return o;
    }
    return pad;
  }
  bendLines(make);
}

function lateRefusal(): void {
  const real = engine.generate;
  async function sure(
    ...x: Parameters<typeof engine.generate>
  ): Promise<Result<engine.GenerationStream>> {
    function surely(f: OperationError): never {
      return { ...f, certainty: 'refused' } as never;
    }
    return (await real(...x)).mapLeft(surely);
  }
  (engine as unknown as Patch).generate = sure;
}

function noBudget(): void {
  const real = router.startRouter;
  async function spending(
    ...x: Parameters<typeof router.startRouter>
  ): Promise<Result<router.Router>> {
    function free(r: router.Router): router.Router {
      r.dependencies.retryBudget.trySpend = always;
      return r;
    }
    return (await real(...x)).map(free);
  }
  (router as unknown as Patch).startRouter = spending;
}

function noSuspension(): void {
  function plain(monotonic: () => number): () => number {
    return monotonic;
  }
  (clock as unknown as Patch).countingSuspension = plain;
}

function noOrderCheck(): void {
  function make(request: string): (o: Result<engine.EngineLine>) => Result<engine.EngineLine> {
    let n = 0;
    function fix(l: engine.EngineLine): engine.EngineLine {
      return l.done ? { ...l, request, count: n } : { ...l, request, n: n++ };
    }
    function renumber(o: Result<engine.EngineLine>): Result<engine.EngineLine> {
      return o.map(fix);
    }
    return renumber;
  }
  bendLines(make);
}

/** A data plane that bends the pieces of one call in twenty. */
function bends(bend: (text: string, other: string) => string): () => void {
  function patch(): void {
    const proto = CallerApi.prototype as unknown as {
      generate: (c: IncomingRequest) => Promise<void>;
    };
    const real = proto.generate;
    let calls = 0;
    let other = '';
    function bent(this: CallerApi, call: IncomingRequest): Promise<void> {
      if (++calls % 20 !== 0) return real.call(this as never, call);
      let n = 0;
      function piece(text: string): Promise<boolean> {
        const told = ++n === 2 ? bend(text, other) : text;
        other = text;
        return told === '' ? Promise.resolve(true) : call.write(told);
      }
      return real.call(this as never, {
        ...call,
        write: piece,
        writeHead: call.writeHead,
        end: call.end,
      });
    }
    proto.generate = bent;
  }
  return patch;
}

function skip(): string {
  return '';
}

function repeat(text: string): string {
  return text + text;
}

function splice(_text: string, other: string): string {
  return other;
}

function noFence(): void {
  const real = backgroundTasks.startBackgroundTasks;
  function loose(c: Controller, ports: Ports): void {
    function chosen(key: string): boolean {
      return key.startsWith('duty/') || c.isPreferredOwner(key);
    }
    async function change(op: Operation): ReturnType<Controller['change']> {
      return op.kind === 'duty'
        ? Right({
            place: { epoch: 1, by: c.ownerId, number: 1 },
            inEffect: false,
            value: undefined,
          })
        : c.change(op);
    }
    real({ ...c, isPreferredOwner: chosen, change }, ports);
  }
  (backgroundTasks as unknown as Patch).startBackgroundTasks = loose;
}

/** A router that lets an attempt run on after it told the caller that it refused. */
function refusesLate(): void {
  const real = forwarding.forwardAttempt;
  let calls = 0;
  async function late(
    ...x: Parameters<typeof forwarding.forwardAttempt>
  ): Promise<forwarding.ForwardOutcome> {
    if (++calls % 20 !== 0) return real(...x);
    function nothing(): void {
      // does nothing on purpose
    }
    function taken(): Promise<boolean> {
      return Promise.resolve(true);
    }
    const [call, ...rest] = x;
    void real({ ...call, writeHead: nothing, write: taken, end: nothing }, ...rest);
    return {
      hasAnswered: false,
      error: { step: 'generate', peer: '', reason: 'late', certainty: 'refused', code: 'late' },
    };
  }
  (forwarding as unknown as Patch).forwardAttempt = late;
}

/** Index repair without one of its ways: peers' batches, engines' returns, doubt. */
function noRepair(way: 'peers' | 'returns' | 'doubt'): () => void {
  function patch(): void {
    if (way === 'peers') {
      function none(): Promise<Result<unknown>> {
        return Promise.resolve(Right([]));
      }
      (indexMessages.IndexHandlers.prototype as unknown as Patch).missed = none;
    } else if (way === 'returns') {
      function deaf(): Promise<Result<unknown>> {
        return Promise.resolve(Right(undefined));
      }
      (indexMessages.IndexHandlers.prototype as unknown as Patch).reused = deaf;
    } else {
      const real = tree.makePrefixTrees;
      function sure(most: number): tree.PrefixTrees {
        function doubt(): number {
          return 0;
        }
        return { ...real(most), markDoubted: doubt };
      }
      (tree as unknown as Patch).makePrefixTrees = sure;
    }
  }
  return patch;
}

function noDeltas(): void {
  function none(): undefined {
    return undefined;
  }
  (delta as unknown as Patch).makeDelta = none;
}

function noFetch(): void {
  const real = engines.trackEngines;
  function never(): number {
    return Infinity;
  }
  function far(...x: Parameters<typeof engines.trackEngines>): engines.EngineTracker {
    const tracker = real(...x);
    tracker.transferMsPerToken = never;
    return tracker;
  }
  (engines as unknown as Patch).trackEngines = far;
}

/** Mechanisms that the simulator can leave out, to see that its checks catch what they prevent. */
export const MECHANISMS: Record<string, () => void> = {
  votes: noVotes,
  effect: noEffect,
  leases: noLeases,
  salts: noSalts,
  'weights-end': noWeightsEnd,
  leaving: noLeaving,
  'leaving-cut': noLeavingCut,
  sync: noSync,
  'last-line': noLastLine,
  'unknown-class': lateRefusal,
  budget: noBudget,
  suspension: noSuspension,
  'repair-peers': noRepair('peers'),
  'repair-returns': noRepair('returns'),
  'repair-doubt': noRepair('doubt'),
  deltas: noDeltas,
  fetch: noFetch,
  'order-check': noOrderCheck,
  'router-whole': bends(skip),
  'router-once': bends(repeat),
  'router-own': bends(splice),
  fence: noFence,
  'refused-is-sure': refusesLate,
};
