/**
 * Sources of cache events: which engines and stores there are, and how their events and snapshots are requested.
 */

import { Left, Right } from 'purify-ts';
import { BlockEvent, EventsReply, pullEvents } from '../shared/contracts/engine';
import { pullStoreEvents } from '../shared/contracts/store';
import { errorOrValue, failure, Result } from '../shared/errors/errors';
import { sendAdapterRequest } from '../shared/platform-adapter/adapter-request';
import {
  AdapterRequest,
  CacheEvent,
  PlatformAdapter,
} from '../shared/platform-adapter/platform-adapter';
import { Ports } from '../shared/ports/ports';
import { Follower } from '../shared/replication/follower';
import { TimeLimits } from '../shared/settings/time-limits';
import { CONTROL_KEYS } from '../shared/state/control-keys';
import { DeploymentValue } from '../shared/state/deployment';
import { Engine } from '../shared/state/engines';
import { CacheStore, IntentsValue } from '../shared/state/intents';

/** A source, as the list of engines or the operators' document names it. */
export interface Registration {
  id: string;
  kind: 'engine' | 'store';
  at: string;
  /** A draining engine is not listened to. */
  paused: boolean;
}

/** All that a source keeps, as of a sequence number. */
export interface SourceSnapshot {
  epoch: string;
  seq: number;
  held: BlockEvent[];
}

/** How sources are found and heard. */
export interface CacheSources {
  /** Whether a source that has another epoch must be polled again from its first event. */
  restartsAtNewEpoch: boolean;
  /** Ms to wait between two polls of one source, in which its events gather. */
  batchingMs: number;
  /** Batches that are retained of each source for peers that missed some. */
  maxRetainedBatches: number;
  /** The sources that are listed now. */
  registrations: (follower: Follower) => Registration[];
  /** Polls for events after a sequence number; resolves when there are some, or the long poll is over. */
  pull: (
    registration: Registration,
    epoch: string,
    after: number,
    signal: AbortSignal,
  ) => Promise<Result<EventsReply>>;
  /** Requests all that a source keeps; the source does nothing else meanwhile. */
  snapshot?: (registration: Registration) => Promise<Result<SourceSnapshot>>;
}

/** Batches that are retained of a source of our own contracts, each of many events. */
const MAX_OWN_BATCHES = 512;

/** The same of the platform's sources, each batch of one event. */
const MAX_PLATFORM_BATCHES = 1024;

function engineRegistrations(follower: Follower): Registration[] {
  const registrations: Registration[] = [];
  for (const { id, at, leaving } of follower.value<Engine[]>(CONTROL_KEYS.engines)?.value ?? [])
    registrations.push({ id, kind: 'engine', at, paused: leaving });
  return registrations;
}

function storeRegistration(id: string, at: string): Registration {
  return { id, kind: 'store', at, paused: false };
}

/** Makes the sources that speak the product's own contracts. */
export function makeOwnSources(ports: Ports, timeLimits: TimeLimits): CacheSources {
  function registrationOf({ id, at }: CacheStore): Registration {
    return storeRegistration(id, at);
  }

  function registrations(follower: Follower): Registration[] {
    const intents = follower.value<IntentsValue>(CONTROL_KEYS.intents)?.value;
    const stores = intents?.doc.cacheStores ?? [];
    return [...engineRegistrations(follower), ...stores.map(registrationOf)];
  }

  function pull(
    { kind, at }: Registration,
    epoch: string,
    after: number,
    signal: AbortSignal,
  ): Promise<Result<EventsReply>> {
    const pullFrom = kind === 'store' ? pullStoreEvents : pullEvents;
    return pullFrom(ports.network, at, epoch, after, timeLimits.feedPollMs, signal);
  }

  return {
    restartsAtNewEpoch: false,
    batchingMs: 0,
    maxRetainedBatches: MAX_OWN_BATCHES,
    registrations,
    pull,
  };
}

/** The platform's sources: each event tells how much of a block is kept now, and names no parent. */
class PlatformSources {
  /** The stores of the document that was read last. */
  private known: { document: unknown; stores: Registration[] } | undefined;

  constructor(
    private readonly ports: Ports,
    private readonly timeLimits: TimeLimits,
    private readonly adapter: PlatformAdapter,
  ) {}

  registrations(follower: Follower): Registration[] {
    const document = follower.value<DeploymentValue>(CONTROL_KEYS.deployment)?.value.doc;
    if (document !== undefined && this.known?.document !== document)
      this.known = { document, stores: this.readStores(document) ?? this.known?.stores ?? [] };
    return [...engineRegistrations(follower), ...(this.known?.stores ?? [])];
  }

  async pull(
    { at }: Registration,
    _epoch: string,
    after: number,
    signal: AbortSignal,
  ): Promise<Result<EventsReply>> {
    const { feed } = this.adapter.engines;
    const { feedLongPollMs, requestTimeoutMs } = this.timeLimits;
    const request = feed.ask(after, feedLongPollMs);
    const [error, response] = errorOrValue(
      await this.send(at, request, feedLongPollMs + requestTimeoutMs, signal),
    );
    if (error) return Left(error);
    const read = feed.read(response.status, response.body);
    if (read.isLeft()) return failure('pull events', at, read.extract(), 'failed', 'bad-return');
    const { epoch, lost, next, events } = read.unsafeCoerce();
    return Right({ epoch, lost, last: next, batches: events.map(toBatch) });
  }

  async snapshot({ at }: Registration): Promise<Result<SourceSnapshot>> {
    const { list } = this.adapter.engines;
    const [error, response] = errorOrValue(
      await this.send(at, list.ask(), this.timeLimits.requestTimeoutMs),
    );
    if (error) return Left(error);
    const read = list.read(response.status, response.body);
    if (read.isLeft())
      return failure('list kept parts', at, read.extract(), 'failed', 'bad-return');
    const { epoch, next, held } = read.unsafeCoerce();
    return Right({ epoch, seq: next, held: held.map(toBlockEvent) });
  }

  private send(
    at: string,
    request: AdapterRequest,
    timeoutMs: number,
    signal?: AbortSignal,
  ): ReturnType<typeof sendAdapterRequest> {
    return sendAdapterRequest(this.ports.network, at, request, timeoutMs, signal);
  }

  /** The stores that a document names; undefined where it can't be read. */
  private readStores(document: unknown): Registration[] | undefined {
    const [, deployment] = errorOrValue(this.adapter.deployment(document));
    return deployment?.stores.map(platformRegistration);
  }
}

function platformRegistration({ name, at }: { name: string; at: string }): Registration {
  return storeRegistration(name, at);
}

/** Makes the sources that the platform's adapter speaks to. */
export function makePlatformSources(
  ports: Ports,
  timeLimits: TimeLimits,
  adapter: PlatformAdapter,
): CacheSources {
  const sources = new PlatformSources(ports, timeLimits, adapter);
  return {
    restartsAtNewEpoch: true,
    batchingMs: timeLimits.feedBatchingDelayMs,
    maxRetainedBatches: MAX_PLATFORM_BATCHES,
    registrations: sources.registrations.bind(sources),
    pull: sources.pull.bind(sources),
    snapshot: sources.snapshot.bind(sources),
  };
}

function toBlockEvent({
  model,
  salt,
  hash,
  size,
}: Pick<CacheEvent, 'model' | 'salt' | 'hash' | 'size'>): BlockEvent {
  const kind = size > 0 ? 'stored' : 'removed';
  return { kind, model, weights: '', salt, parent: '', hash, size };
}

function toBatch(event: CacheEvent): { seq: number; events: BlockEvent[] } {
  return { seq: event.seq, events: [toBlockEvent(event)] };
}
