import { Left, Right } from 'purify-ts';
import { EventsAnswer, PartEvent, pullEvents } from '../shared/contracts/engine';
import { pullStoreEvents } from '../shared/contracts/store';
import { DeploymentValue } from '../shared/state/deployment';
import { Dialect, KeptEvent } from '../shared/platform-adapter/platform-adapter';
import { bad, makeFault, open, Outcome } from '../shared/errors/errors';
import { Follower } from '../shared/replication/follower';
import { askWorded } from '../shared/platform-adapter/adapter-request';
import { Ports } from '../shared/ports/ports';
import { Bounds } from '../shared/settings/time-limits';
import { CacheStore, Engine, IntentsValue, KEYS } from '../shared/state/words';

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
  held: PartEvent[];
}

/** How sources are found and heard. */
export interface Sources {
  /** Whether a source that has another epoch must be asked anew from its first number. */
  asksAnew: boolean;
  /** Ms to wait between two calls to one source, in which its events gather. */
  gatherMs: number;
  /** Batches that are kept of each source for peers that missed some. */
  ringMost: number;
  registrations(follower: Follower): Registration[];
  pull(
    reg: Registration,
    epoch: string,
    after: number,
    gone: AbortSignal,
  ): Promise<Outcome<EventsAnswer>>;
  /** Asks for all that a source keeps; it holds the source's work up. */
  list?(reg: Registration): Promise<Outcome<SourceList>>;
}

function enginesOf(follower: Follower): Registration[] {
  const out: Registration[] = [];
  for (const e of follower.value<Engine[]>(KEYS.engines)?.value ?? [])
    out.push({ id: e.id, kind: 'engine', at: e.at, paused: e.leaving });
  return out;
}

function storesOf(stores: readonly { at: string }[], id: (s: never) => string): Registration[] {
  const out: Registration[] = [];
  for (const s of stores) out.push({ id: id(s as never), kind: 'store', at: s.at, paused: false });
  return out;
}

/** Sources that speak the product's own contracts. */
export function ownSources(ports: Ports, bounds: Bounds): Sources {
  function registrations(follower: Follower): Registration[] {
    return [
      ...enginesOf(follower),
      ...storesOf(follower.value<IntentsValue>(KEYS.intents)?.value.doc.cacheStores ?? [], idOf),
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
  ): Promise<Outcome<EventsAnswer>> {
    return (reg.kind === 'store' ? pullStoreEvents : pullEvents)(
      ports.wire,
      reg.at,
      epoch,
      after,
      bounds.feedWait,
      gone,
    );
  }
  return { asksAnew: false, gatherMs: 0, ringMost: 512, registrations, pull };
}

/** Sources that speak a dialect: each event says how much of a part is kept now, and names no parent. */
export function dialectSources(ports: Ports, bounds: Bounds, dialect: Dialect): Sources {
  let read: { doc: unknown; stores: Registration[] } | undefined;

  function registrations(follower: Follower): Registration[] {
    const doc = follower.value<DeploymentValue>(KEYS.deployment)?.value.doc;
    if (doc !== undefined && read?.doc !== doc) {
      const [, d] = open(dialect.deployment(doc).mapLeft(asFault));
      read = { doc, stores: d ? storesOf(d.stores, nameOf) : (read?.stores ?? []) };
    }
    return [...enginesOf(follower), ...(read?.stores ?? [])];
  }

  function asFault(faults: string[]): ReturnType<typeof makeFault> {
    return makeFault('read deployment', '', faults.join('; '));
  }

  function nameOf(s: { name: string }): string {
    return s.name;
  }

  async function pull(
    reg: Registration,
    _: string,
    after: number,
    gone: AbortSignal,
  ): Promise<Outcome<EventsAnswer>> {
    const [f, r] = open(
      await askWorded(
        ports.wire,
        reg.at,
        dialect.engines.feed.ask(after, bounds.feedHold),
        bounds.feedHold + bounds.ask,
        gone,
      ),
    );
    if (f) return Left(f);
    const k = dialect.engines.feed.read(r.status, r.body);
    if (k.isLeft())
      return bad('pull events', reg.at, k.extract() as string, 'failed', 'bad-return');
    const feed = k.unsafeCoerce();
    return Right({
      epoch: feed.epoch,
      lost: feed.lost,
      last: feed.next,
      batches: feed.events.map(batchOf),
    });
  }

  async function list(reg: Registration): Promise<Outcome<SourceList>> {
    const [f, r] = open(
      await askWorded(ports.wire, reg.at, dialect.engines.list.ask(), bounds.ask),
    );
    if (f) return Left(f);
    const k = dialect.engines.list.read(r.status, r.body);
    if (k.isLeft())
      return bad('list kept parts', reg.at, k.extract() as string, 'failed', 'bad-return');
    const l = k.unsafeCoerce();
    return Right({ epoch: l.epoch, seq: l.next, held: l.held.map(eventOf) });
  }

  return { asksAnew: true, gatherMs: bounds.gather, ringMost: 1024, registrations, pull, list };
}

function eventOf(e: Pick<KeptEvent, 'model' | 'salt' | 'hash' | 'size'>): PartEvent {
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

function batchOf(e: KeptEvent): { seq: number; events: PartEvent[] } {
  return { seq: e.seq, events: [eventOf(e)] };
}
