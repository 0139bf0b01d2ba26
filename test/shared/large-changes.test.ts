import { NewsResult, NewsWays, playNews } from '../../tools/sim/news/play';
import { NEWS_BOUNDS } from '../../tools/sim/news/rig';

/** The grown deployments have up to 73 routers. */
const FOLLOWERS = 73;
const ROUTES = 1750;
/** A change is at each follower within this after its acknowledgement. */
const CHANGE_MOST_MS = NEWS_BOUNDS.changeBoundMs / 2;
/** A list of engines is at each follower within this after it was read. */
const ENGINES_MOST_MS = NEWS_BOUNDS.leavingBoundMs / 3;
const ACKNOWLEDGED_MOST_MS = NEWS_BOUNDS.ackMs / 2;

const QUIET: NewsWays = {
  seed: 3,
  followers: FOLLOWERS,
  routes: ROUTES,
  additions: [],
  changes: 0,
  gapMs: 200,
  enginesGapMs: 250,
  loseOwner: false,
};

function expectInTime(result: NewsResult): void {
  expect(result.acknowledged.all).toBeLessThan(ACKNOWLEDGED_MOST_MS);
  expect(result.changes.all).toBeLessThan(CHANGE_MOST_MS);
  expect(result.engines.all).toBeLessThan(ENGINES_MOST_MS);
}

/** Differences of hundreds of kB, one after the other, while engines leave. */
async function largeAdditions(): Promise<void> {
  const result = await playNews({ ...QUIET, additions: [1400, 1400, 1400] });
  expectInTime(result);
  expect(result.lostConnections).toBe(0);
}

/** A storm behind a large difference. */
async function stormBehind(): Promise<void> {
  const result = await playNews({ ...QUIET, additions: [1400, 2800], changes: 25 });
  expectInTime(result);
  expect(result.lostConnections).toBe(0);
}

/** The owner dies in a storm over four times the routes. */
async function ownerLost(): Promise<void> {
  const result = await playNews({ ...QUIET, routes: 8000, changes: 20, loseOwner: true });
  expectInTime(result);
}

test('large differences reach 73 followers in time, and cut no connection', largeAdditions);
test('a storm behind a large difference reaches 73 followers in time', stormBehind);
test('a storm over 8,000 routes whose owner dies reaches 73 followers in time', ownerLost);
