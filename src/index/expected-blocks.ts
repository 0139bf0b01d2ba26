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

function keyOf(model: string, salt: string, hash: string): string {
  return `${hash}\u0000${salt}\u0000${model}`;
}

/** The blocks that are expected; none at first. */
export class ExpectedBlocks {
  private readonly byBlock = new Map<string, Map<string, Expectation>>();
  /** The router that announced each expectation, the oldest first. */
  private readonly routers = new Map<Expectation, object>();

  /** An expectation lasts `ttlMs`; of more than `maxExpectations` the oldest go first. */
  constructor(
    private readonly now: () => number,
    private readonly ttlMs: number,
    private readonly maxExpectations: number,
    private readonly onExpired: (expired: ExpiredExpectation) => void,
  ) {}

  private forget(expectation: Expectation): void {
    const { key, source } = expectation;
    this.routers.delete(expectation);
    const bySource = this.byBlock.get(key);
    if (bySource?.get(source) !== expectation) return;
    bySource.delete(source);
    if (bySource.size === 0) this.byBlock.delete(key);
  }

  private expire(): void {
    const time = this.now();
    for (const expectation of this.routers.keys()) {
      const hasExpired = expectation.expiresAt <= time;
      if (!hasExpired && this.routers.size <= this.maxExpectations) return;
      this.forget(expectation);
      if (hasExpired) this.onExpired(expectation);
    }
  }

  private expectBlock(
    router: object,
    { model, salt, engine }: PlacementNotice,
    [hash, size]: WireBlock,
  ): void {
    const key = keyOf(model, salt, hash);
    const bySource = this.byBlock.get(key) ?? new Map<string, Expectation>();
    this.byBlock.set(key, bySource);
    const earlier = bySource.get(engine);
    if (earlier) this.routers.delete(earlier);
    const expiresAt = this.now() + this.ttlMs;
    const expectation = { expiresAt, key, model, salt, hash, size, source: engine };
    bySource.set(engine, expectation);
    this.routers.set(expectation, router);
  }

  /** Expects the blocks of a request that a router placed, but for those that its engine has cached already. */
  expect(router: object, notice: PlacementNotice, isCached: (block: WireBlock) => boolean): void {
    for (const block of notice.parts) if (!isCached(block)) this.expectBlock(router, notice, block);
    this.expire();
  }

  /** The sources at which a block is expected. */
  sourcesExpecting(
    model: string,
    salt: string,
    hash: string,
  ): ReadonlyMap<string, unknown> | undefined {
    this.expire();
    return this.byBlock.get(keyOf(model, salt, hash));
  }

  /** An event told of a block. */
  arrived(model: string, salt: string, hash: string, source: string): void {
    if (this.routers.size === 0) return;
    const expectation = this.byBlock.get(keyOf(model, salt, hash))?.get(source);
    if (expectation) this.forget(expectation);
  }

  /** Forgets what is expected at a source. */
  dropSource(source: string): void {
    for (const expectation of [...this.routers.keys()])
      if (expectation.source === source) this.forget(expectation);
  }

  /** Forgets what a router that has gone announced. */
  dropRouter(router: object): void {
    for (const [expectation, announcer] of [...this.routers])
      if (announcer === router) this.forget(expectation);
  }

  /** How many blocks are expected. */
  size(): number {
    return this.routers.size;
  }
}
