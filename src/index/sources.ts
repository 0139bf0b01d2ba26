import { Left, Right } from 'purify-ts';
import { EventsReply, BlockEvent, pullEvents } from '../shared/contracts/engine';
import { pullStoreEvents } from '../shared/contracts/store';
import { DeploymentValue } from '../shared/state/deployment';
import { PlatformAdapter, CacheEvent } from '../shared/platform-adapter/platform-adapter';
import { failure, makeError, errorOrValue, Result } from '../shared/errors/errors';
import { Follower } from '../shared/replication/follower';
import { sendAdapterRequest } from '../shared/platform-adapter/adapter-request';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { CacheStore, IntentsValue } from '../shared/state/intents';
import { Engine } from '../shared/state/engines';
import { CONTROL_KEYS } from '../shared/state/control-keys';

/** A registration derived from the platform's list or from a declared store. */
export interface Registration {
  id: string;
  kind: 'engine' | 'store';
  at: string;
  paused: boolean;
}

/** All that a source keeps, as of a number. */
export interface SourceList {
  epoch: string;
  seq: number;
  held: BlockEvent[];
}

/** How sources are found and heard. */
export interface Sources {
  /** Whether a source that has another epoch must be asked anew from its first number. */
  asksAnew: boolean;
  /** Ms to wait between two calls to one source, in which its events gather. */
  gatherMs: number;
  /** Batches that are kept of each source for peers that missed some. */
  ringMost: number;
  registrations: (follower: Follower) => Registration[];
  pull: (
    reg: Registration,
    epoch: string,
    after: number,
    gone: AbortSignal,
  ) => Promise<Result<EventsReply>>;
  /** Asks for all that a source keeps; it holds the source's work up. */
  list?: (reg: Registration) => Promise<Result<SourceList>>;
}

function enginesOf(follower: Follower): Registration[] {
  const out: Registration[] = [];
  for (const e of follower.value<Engine[]>(CONTROL_KEYS.engines)?.value ?? [])
    out.push({ id: e.id, kind: 'engine', at: e.at, paused: e.leaving });
  return out;
}

function storesOf(stores: readonly { at: string }[], id: (s: never) => string): Registration[] {
  const out: Registration[] = [];
  for (const s of stores) out.push({ id: id(s as never), kind: 'store', at: s.at, paused: false });
  return out;
}

/** Sources that speak the product's own contracts. */
export function ownSources(ports: Ports, bounds: TimeLimits): Sources {
  function registrations(follower: Follower): Registration[] {
    return [
      ...enginesOf(follower),
      ...storesOf(
        follower.value<IntentsValue>(CONTROL_KEYS.intents)?.value.doc.cacheStores ?? [],
        idOf,
      ),
    ];
  }
  function idOf(s: CacheStore): string {
    return s.id;
  }
  function pull(
    reg: Registration,
    epoch: string,
    after: number,
    gone: AbortSignal,
  ): Promise<Result<EventsReply>> {
    return (reg.kind === 'store' ? pullStoreEvents : pullEvents)(
      ports.network,
      reg.at,
      epoch,
      after,
      bounds.feedPollMs,
      gone,
    );
  }
  return { asksAnew: false, gatherMs: 0, ringMost: 512, registrations, pull };
}

/** Sources that speak a dialect: each event says how much of a part is kept now, and names no parent. */
export function dialectSources(
  ports: Ports,
  bounds: TimeLimits,
  dialect: PlatformAdapter,
): Sources {
  let read: { doc: unknown; stores: Registration[] } | undefined;

  function registrations(follower: Follower): Registration[] {
    const doc = follower.value<DeploymentValue>(CONTROL_KEYS.deployment)?.value.doc;
    if (doc !== undefined && read?.doc !== doc) {
      const [, d] = errorOrValue(dialect.deployment(doc).mapLeft(asFault));
      read = { doc, stores: d ? storesOf(d.stores, nameOf) : (read?.stores ?? []) };
    }
    return [...enginesOf(follower), ...(read?.stores ?? [])];
  }

  function asFault(faults: string[]): ReturnType<typeof makeError> {
    return makeError('read deployment', '', faults.join('; '));
  }

  function nameOf(s: { name: string }): string {
    return s.name;
  }

  async function pull(
    reg: Registration,
    _: string,
    after: number,
    gone: AbortSignal,
  ): Promise<Result<EventsReply>> {
    const [f, r] = errorOrValue(
      await sendAdapterRequest(
        ports.network,
        reg.at,
        dialect.engines.feed.ask(after, bounds.feedLongPollMs),
        bounds.feedLongPollMs + bounds.requestTimeoutMs,
        gone,
      ),
    );
    if (f) return Left(f);
    const k = dialect.engines.feed.read(r.status, r.body);
    if (k.isLeft()) return failure('pull events', reg.at, k.extract(), 'failed', 'bad-return');
    const feed = k.unsafeCoerce();
    return Right({
      epoch: feed.epoch,
      lost: feed.lost,
      last: feed.next,
      batches: feed.events.map(batchOf),
    });
  }

  async function list(reg: Registration): Promise<Result<SourceList>> {
    const [f, r] = errorOrValue(
      await sendAdapterRequest(
        ports.network,
        reg.at,
        dialect.engines.list.ask(),
        bounds.requestTimeoutMs,
      ),
    );
    if (f) return Left(f);
    const k = dialect.engines.list.read(r.status, r.body);
    if (k.isLeft()) return failure('list kept parts', reg.at, k.extract(), 'failed', 'bad-return');
    const l = k.unsafeCoerce();
    return Right({ epoch: l.epoch, seq: l.next, held: l.held.map(eventOf) });
  }

  return {
    asksAnew: true,
    gatherMs: bounds.feedBatchingDelayMs,
    ringMost: 1024,
    registrations,
    pull,
    list,
  };
}

function eventOf(e: Pick<CacheEvent, 'model' | 'salt' | 'hash' | 'size'>): BlockEvent {
  return {
    kind: e.size > 0 ? 'stored' : 'removed',
    model: e.model,
    weights: '',
    salt: e.salt,
    parent: '',
    hash: e.hash,
    size: e.size,
  };
}

function batchOf(e: CacheEvent): { seq: number; events: BlockEvent[] } {
  return { seq: e.seq, events: [eventOf(e)] };
}
