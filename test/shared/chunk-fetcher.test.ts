import { Left, Right } from 'purify-ts';
import { makeVersionHistory } from '../../src/control/leases/version-history';
import { ChangeOffer, readChange } from '../../src/shared/replication/change-message';
import { makeCatchUp } from '../../src/shared/replication/catch-up';
import { PeerChannel } from '../../src/shared/transport/peer-channel';
import { makeError, Result } from '../../src/shared/errors/errors';
import {
  makeChunkFetcher,
  CHUNK_BYTES,
  ChunkRequest,
} from '../../src/shared/replication/chunk-fetcher';
import { VersionedValue, Version } from '../../src/shared/state/versions';
import { drawnDocument } from '../../tools/sim/news/rig';

const KEY = 'deployment';

function versionOf(number: number, routes: number, by = 'core', epoch = 1): VersionedValue {
  return { key: KEY, epoch, by, number, value: drawnDocument(number, routes) };
}

/** A controller that knows versions, and what it was asked for. */
interface Source {
  exchange: PeerChannel;
  asked: ChunkRequest[];
  /** After so many pieces it gives no more. */
  left: number;
}

function sourceOf(versions: readonly VersionedValue[], left = Infinity): Source {
  const history = makeVersionHistory();
  for (const version of versions) history.note(version);
  const source: Source = { asked: [], left, exchange: { request: ask } as unknown as PeerChannel };
  function ask(type: string, body: unknown): Promise<Result<unknown>> {
    expect(type).toBe('change-piece');
    source.asked.push(body as ChunkRequest);
    const bytes = source.left-- > 0 ? history.chunk(body as ChunkRequest) : undefined;
    return Promise.resolve(
      bytes ? Right(bytes) : Left(makeError('change piece', 'core', 'not to be had')),
    );
  }
  return source;
}

function offerFor(versions: readonly VersionedValue[], held?: Version): ChangeOffer {
  const history = makeVersionHistory();
  for (const version of versions) history.note(version);
  const message = history.messageFor(versions.at(-1)!, held, true);
  expect(message.kind).toBe('offer');
  return message as ChangeOffer;
}

function fetcherOver(sources: readonly Source[]): ReturnType<typeof makeChunkFetcher> {
  function exchanges(): PeerChannel[] {
    return sources.map(exchangeOf);
  }
  return makeChunkFetcher({ openChannels: exchanges, timeoutMs: 100 });
}

function exchangeOf(source: Source): PeerChannel {
  return source.exchange;
}

const VERSIONS = [versionOf(1, 5000), versionOf(2, 8000)];

/** All that know the versions give their share, each piece once; it is the same bytes at each. */
async function fromAll(): Promise<void> {
  const offer = offerFor(VERSIONS, VERSIONS[0]);
  const sources = [sourceOf(VERSIONS), sourceOf(VERSIONS), sourceOf(VERSIONS)];
  const message = await fetcherOver(sources).fetch(offer, sources[0].exchange);
  expect(readChange(VERSIONS[0], message!)).toEqual(VERSIONS[1]);
  const starts = sources.flatMap(startsOf).sort(ascending);
  expect(starts).toEqual(Array.from({ length: Math.ceil(offer.size / CHUNK_BYTES) }, startOf));
  for (const source of sources) expect(source.asked.length).toBeGreaterThan(0);
}

function startsOf(source: Source): number[] {
  return source.asked.map(startIn);
}

function startIn(ask: ChunkRequest): number {
  return ask.start;
}

function startOf(_: unknown, index: number): number {
  return index * CHUNK_BYTES;
}

function ascending(a: number, b: number): number {
  return a - b;
}

/** One that has not learned the version, and one that dies midway, are asked no more. */
async function withoutTheLost(): Promise<void> {
  const offer = offerFor(VERSIONS, VERSIONS[0]);
  const behind = sourceOf(VERSIONS.slice(0, 1));
  const dies = sourceOf(VERSIONS, 1);
  const sound = sourceOf(VERSIONS);
  const message = await fetcherOver([behind, dies, sound]).fetch(offer, dies.exchange);
  expect(readChange(VERSIONS[0], message!)).toEqual(VERSIONS[1]);
  expect(behind.asked.length).toBeLessThanOrEqual(2);
}

/** A controller that was asked for a version before it had learned it gives it afterwards. */
function onceLearned(): void {
  const offer = offerFor(VERSIONS, VERSIONS[0]);
  const { key, base, sum } = offer;
  const ask: ChunkRequest = { key, place: VERSIONS[1], base, sum, start: 0 };
  const history = makeVersionHistory();
  history.note(VERSIONS[0]);
  expect(history.chunk(ask)).toBeUndefined();
  history.note(VERSIONS[1]);
  expect(history.chunk(ask)).toHaveLength(CHUNK_BYTES);
}

/** What has been fetched when all controllers were lost is not fetched again. */
async function goesOn(): Promise<void> {
  const offer = offerFor(VERSIONS, VERSIONS[0]);
  const count = Math.ceil(offer.size / CHUNK_BYTES);
  const first = sourceOf(VERSIONS, 2);
  const second = sourceOf(VERSIONS);
  const sources = [first];
  const fetcher = fetcherOver(sources);
  expect(await fetcher.fetch(offer, first.exchange)).toBeUndefined();
  sources[0] = second;
  const message = await fetcher.fetch(offer, second.exchange);
  expect(readChange(VERSIONS[0], message!)).toEqual(VERSIONS[1]);
  expect(second.asked).toHaveLength(count - 2);
}

/** Bytes that are not those that were offered are no change. */
async function spoiltBytes(): Promise<void> {
  const offer = offerFor(VERSIONS, VERSIONS[0]);
  function ask(): Promise<Result<unknown>> {
    return Promise.resolve(Right(new Uint8Array(CHUNK_BYTES)));
  }
  const exchange = { request: ask } as unknown as PeerChannel;
  expect(await fetcherOver([]).fetch(offer, exchange)).toBeUndefined();
}

/** A change that another owner committed anew is offered with other bytes; a controller that knows it so gives them. */
async function committedAnew(): Promise<void> {
  const anew = { ...VERSIONS[1], epoch: 2, by: 'other' };
  const offer = offerFor([VERSIONS[0], anew], VERSIONS[0]);
  const source = sourceOf(VERSIONS);
  const message = await fetcherOver([]).fetch(offer, source.exchange);
  expect(readChange(VERSIONS[0], message!)).toEqual(anew);
}

/** While a change is fetched, a newer offer of the same key is not begun: the newest is asked for afterwards. */
async function oneForEachKey(): Promise<void> {
  const applied: VersionedValue[] = [VERSIONS[0]];
  const source = sourceOf(VERSIONS);
  function held(): VersionedValue {
    return applied.at(-1)!;
  }
  function apply(messages: Parameters<typeof readChange>[1][]): Promise<string[]> {
    for (const message of messages) applied.push(readChange(held(), message)!);
    return Promise.resolve([]);
  }
  function exchanges(): PeerChannel[] {
    return [source.exchange];
  }
  const catchUp = makeCatchUp({
    appliedVersion: held,
    apply,
    openChannels: exchanges,
    timeoutMs: 100,
  });
  const third = versionOf(3, 9000);
  const first = catchUp.acceptOffer(source.exchange, offerFor(VERSIONS, VERSIONS[0]));
  const newer = offerFor([...VERSIONS, third], VERSIONS[0]);
  expect(await catchUp.acceptOffer(source.exchange, newer)).toBe(false);
  expect(await first).toBe(true);
  expect(applied.map(numberOf)).toEqual([1, 2]);
}

function numberOf(change: VersionedValue): number {
  return change.number;
}

/** A node of an earlier release is sent what it can read. */
function earlierRelease(): void {
  const history = makeVersionHistory();
  for (const version of VERSIONS) history.note(version);
  expect(history.messageFor(VERSIONS[1], VERSIONS[0], false).kind).toBe('delta');
  expect(history.messageFor(VERSIONS[1], undefined, false).kind).toBe('compressed');
}

test('pieces come from all controllers that know the versions, each once', fromAll);
test('a controller that lacks the version or is lost is asked no more', withoutTheLost);
test('a controller gives a version once it has learned it', onceLearned);
test('what was fetched is not fetched again', goesOn);
test('bytes that were not offered are no change', spoiltBytes);
test('a change that was committed anew is given under its new place', committedAnew);
test('a key is fetched once at a time', oneForEachKey);
test('a node of an earlier release gets wholes and differences', earlierRelease);
