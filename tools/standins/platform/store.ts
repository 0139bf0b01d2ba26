import { FeedWays, Keeper, makeKeeper } from './cache';
import { Ground, H } from './ground';
import { answerJson, Door, Exchange } from './serve';

/** A stand-in store of kept parts. */
export interface StoreLife {
  at: string;
  keeper: () => Keeper;
  /** Goes down; its connections are reset. */
  down: () => Promise<void>;
  /** Comes back, with nothing kept. */
  up: () => Promise<void>;
}

const MOST_WAIT = 1000;

function nothing(): void {
  // does nothing on purpose
}

/** Answers calls about kept parts, as engines and stores both do; whether it was one. */
export function serveKept(ground: Ground, keeper: Keeper, x: Exchange): boolean {
  if (x.method !== 'GET') return false;
  if (x.path === '/api/kv-list') {
    ground.book.probes++;
    answerJson(x, 200, keeper.list());
    return true;
  }
  if (x.path !== '/api/kv-events') return false;
  const since = Number(x.query.get('since') ?? 0);
  const wait = Math.min(MOST_WAIT, Number(x.headers[H.wait] ?? 0));
  if (wait < 200) ground.book.probes++;
  if (keeper.held.calls >= keeper.ways.maxConcurrent) {
    ground.book.probes++;
    answerJson(x, 429, undefined);
    return true;
  }
  const first = keeper.events(since);
  if (wait <= 0 || first.events.length > 0 || first.lost) {
    answerJson(x, 200, first);
    return true;
  }
  keeper.held.calls++;
  let over = false;
  let unwake = nothing;
  function finish(): void {
    if (over) return;
    over = true;
    keeper.held.calls--;
    off();
    unwake();
    answerJson(x, 200, keeper.events(since));
  }
  function woken(): void {
    if (keeper.events(since).events.length > 0) finish();
  }
  function gone(): void {
    if (over) return;
    over = true;
    keeper.held.calls--;
    off();
    unwake();
  }
  const off = ground.clock.setTimer(wait, finish);
  unwake = keeper.wake(woken);
  x.gone.addEventListener('abort', gone, { once: true });
  return true;
}

/** Starts a store. */
export async function startStore(
  ground: Ground,
  at: string,
  zone: string,
  cacheTokens: number,
  feed: FeedWays,
): Promise<StoreLife> {
  let kept: Keeper;
  let door: Door | undefined;
  function keeper(): Keeper {
    return kept;
  }
  function alive(): boolean {
    return door !== undefined;
  }
  function take(x: Exchange): void {
    if (!serveKept(ground, kept, x)) answerJson(x, 404, undefined);
  }
  async function up(): Promise<void> {
    if (door) return;
    kept = makeKeeper(ground.clock, ground.dice, cacheTokens, feed);
    ground.sources.set(at, { keeper: kept, zone, alive });
    noteOpened(await ground.open(at, {}, take));
  }
  function noteOpened(opened: Door): void {
    door = opened;
  }
  async function down(): Promise<void> {
    const d = door;
    door = undefined;
    await d?.reset();
  }
  await up();
  return { at, keeper, down, up };
}
