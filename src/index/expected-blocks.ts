/**
 * Blocks that engines are about to have: requests that read them were placed there, and no event has told of them yet.
 */

import { PlacementNotice, WireBlock } from '../shared/contracts/indexer';

interface Expectation {
  expiresAt: number;
  key: string;
  model: string;
  salt: string;
  hash: string;
  /** Tokens of the block. */
  size: number;
  source: string;
}

/** An expectation that expired before an event told of its block. */
export type ExpiredExpectation = Pick<Expectation, 'model' | 'salt' | 'hash' | 'size' | 'source'>;

/** The blocks that are expected. */
export interface ExpectedBlocks {
  /** Expects the blocks of a request that a router placed, but for those that its engine has cached already. */
  expect: (
    router: object,
    notice: PlacementNotice,
    isCached: (block: WireBlock) => boolean,
  ) => void;
  /** The sources at which a block is expected. */
  sourcesExpecting: (
    model: string,
    salt: string,
    hash: string,
  ) => ReadonlyMap<string, unknown> | undefined;
  /** An event told of a block. */
  arrived: (model: string, salt: string, hash: string, source: string) => void;
  /** Forgets what is expected at a source. */
  dropSource: (source: string) => void;
  /** Forgets what a router that has gone announced. */
  dropRouter: (router: object) => void;
  size: () => number;
}

function keyOf(model: string, salt: string, hash: string): string {
  return `${hash}\u0000${salt}\u0000${model}`;
}

/** Makes an empty set; an expectation lasts `ttlMs`, and of more than `maxExpectations` the oldest go first. */
export function makeExpectedBlocks(
  now: () => number,
  ttlMs: number,
  maxExpectations: number,
  onExpired: (expired: ExpiredExpectation) => void,
): ExpectedBlocks {
  const byBlock = new Map<string, Map<string, Expectation>>();
  /** The router that announced each expectation, the oldest first. */
  const routers = new Map<Expectation, object>();

  function forget(expectation: Expectation): void {
    const { key, source } = expectation;
    routers.delete(expectation);
    const bySource = byBlock.get(key);
    if (bySource?.get(source) !== expectation) return;
    bySource.delete(source);
    if (bySource.size === 0) byBlock.delete(key);
  }

  function expire(): void {
    const time = now();
    for (const expectation of routers.keys()) {
      const hasExpired = expectation.expiresAt <= time;
      if (!hasExpired && routers.size <= maxExpectations) return;
      forget(expectation);
      if (hasExpired) onExpired(expectation);
    }
  }

  function expectBlock(
    router: object,
    { model, salt, engine }: PlacementNotice,
    [hash, size]: WireBlock,
  ): void {
    const key = keyOf(model, salt, hash);
    const bySource = byBlock.get(key) ?? new Map<string, Expectation>();
    byBlock.set(key, bySource);
    const earlier = bySource.get(engine);
    if (earlier) routers.delete(earlier);
    const expiresAt = now() + ttlMs;
    const expectation = { expiresAt, key, model, salt, hash, size, source: engine };
    bySource.set(engine, expectation);
    routers.set(expectation, router);
  }

  function expect(
    router: object,
    notice: PlacementNotice,
    isCached: (block: WireBlock) => boolean,
  ): void {
    for (const block of notice.parts) if (!isCached(block)) expectBlock(router, notice, block);
    expire();
  }

  function sourcesExpecting(
    model: string,
    salt: string,
    hash: string,
  ): ReadonlyMap<string, unknown> | undefined {
    expire();
    return byBlock.get(keyOf(model, salt, hash));
  }

  function arrived(model: string, salt: string, hash: string, source: string): void {
    if (routers.size === 0) return;
    const expectation = byBlock.get(keyOf(model, salt, hash))?.get(source);
    if (expectation) forget(expectation);
  }

  function dropSource(source: string): void {
    for (const expectation of [...routers.keys()])
      if (expectation.source === source) forget(expectation);
  }

  function dropRouter(router: object): void {
    for (const [expectation, announcer] of [...routers])
      if (announcer === router) forget(expectation);
  }

  function size(): number {
    return routers.size;
  }

  return { expect, sourcesExpecting, arrived, dropSource, dropRouter, size };
}
