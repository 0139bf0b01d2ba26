import { largeDocument, makeNewsRig, NewsRig, routeOf } from '../../tools/sim/news/rig';

const FOLLOWERS = 63;
const ROUTES = 1400;
/** A change takes effect everywhere within this after its acknowledgement (the bound of the settings). */
const CHANGE_BOUND_MS = 2500;
const STORM_CHANGES = 30;
const STORM_GAP_MS = 333;

async function rigWithDocument(): Promise<NewsRig> {
  const rig = makeNewsRig(3, FOLLOWERS);
  await rig.pass(3000);
  const took = await rig.change({ base: 0, doc: largeDocument(1, ROUTES, 0) }, 5000);
  expect(took).toBeDefined();
  return rig;
}

function everyoneHas(rig: NewsRig, revision: number): () => boolean {
  function isThere(proc: { name: string }): boolean {
    return rig.revisionAt(proc.name) >= revision && rig.followers.get(proc.name)!.hasLease();
  }
  function hasEveryone(): boolean {
    return rig.followerProcs.every(isThere);
  }
  return hasEveryone;
}

function namedChange(revision: number): object {
  return { revision, upsert: { routes: [routeOf(revision, 'other')] }, remove: {} };
}

/** All followers start at once, and each needs the whole document over its thin link. */
async function startTogether(): Promise<void> {
  const rig = await rigWithDocument();
  for (const proc of rig.followerProcs) rig.startFollower(proc);
  const took = await rig.until(everyoneHas(rig, 1), 20000);
  const whole = JSON.stringify(largeDocument(1, ROUTES, 0)).length;
  expect(took).toBeLessThan(CHANGE_BOUND_MS);
  expect(rig.bytesPerFollower()).toBeLessThan(whole / 8);
}

/** Changes come faster than a follower could be sent wholes; each has each change within the bound. */
async function storm(): Promise<void> {
  const rig = await rigWithDocument();
  for (const proc of rig.followerProcs) rig.startFollower(proc);
  await rig.until(everyoneHas(rig, 1), 20000);
  const before = rig.bytesPerFollower();
  let latest = 0;
  let late = 0;
  for (let i = 0; i < STORM_CHANGES; i++) {
    const took = await rig.change({ base: i + 1, change: namedChange(i + 2) }, 5000);
    expect(took).toBeDefined();
    const acknowledged = rig.world.now();
    function check(): void {
      if (!everyoneHas(rig, i + 2)()) late++;
      latest = Math.max(latest, rig.world.now() - acknowledged);
    }
    rig.world.after(CHANGE_BOUND_MS / 4, check);
    await rig.pass(STORM_GAP_MS - took!);
  }
  await rig.pass(CHANGE_BOUND_MS);
  const perChange = (rig.bytesPerFollower() - before) / STORM_CHANGES;
  const whole = JSON.stringify(largeDocument(1, ROUTES, 0)).length;
  expect(late).toBe(0);
  expect(perChange).toBeLessThan(whole / 50);
}

/** A follower that was cut off during a storm is sent one difference to the newest version. */
async function behind(): Promise<void> {
  const rig = await rigWithDocument();
  for (const proc of rig.followerProcs.slice(0, 3)) rig.startFollower(proc);
  const away = rig.followerProcs[0];
  await rig.pass(3000);
  expect(rig.revisionAt(away.name)).toBe(1);
  for (let i = 1; i <= 5; i++) rig.world.cut(`10.1.0.${i}`, away.ip, true);
  for (let i = 0; i < STORM_CHANGES; i++) {
    await rig.change({ base: i + 1, change: namedChange(i + 2) }, 5000);
    await rig.pass(100);
  }
  const before = rig.net.links!.received(away.ip);
  rig.world.healLinks();
  function isLevel(): boolean {
    return rig.revisionAt(away.name) === STORM_CHANGES + 1;
  }
  expect(await rig.until(isLevel, 4000)).toBeLessThan(CHANGE_BOUND_MS);
  const whole = JSON.stringify(largeDocument(1, ROUTES, 0)).length;
  expect(rig.net.links!.received(away.ip) - before).toBeLessThan(whole / 10);
}

test('many followers on thin links start together within the bound of a change', startTogether);
test('a storm of changes reaches many followers on thin links in time, as differences', storm);
test('a follower that was cut off is sent one difference to the newest version', behind);
