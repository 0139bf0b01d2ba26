/** Plays changes at a rate over many followers behind thin links, and measures how they get there. */
import { DeploymentValue } from '../../../src/shared/state/deployment';
import { errorOrValue } from '../../../src/shared/errors/errors';
import { Message } from '../../../src/shared/ports/network';
import { Engine } from '../../../src/shared/state/engines';
import { CONTROL_KEYS } from '../../../src/shared/state/control-keys';
import { VersionedValue } from '../../../src/shared/state/versions';
import { drawnDocument, drawnRoute, makeNewsRig, NewsRig, ProcessorShares } from './rig';

/** What is played. */
export interface NewsWays {
  seed: number;
  followers: number;
  /** Routes of the deployment that stands. */
  routes: number;
  /** Routes that each of some changes adds, before the storm. */
  additions: readonly number[];
  /** Small changes of the storm, and how far apart they are sent. */
  changes: number;
  gapMs: number;
  /** How far apart the platform tells that another engine leaves. */
  enginesGapMs: number;
  /** Whether the controller that acts as the owner of the deployment dies amid the storm. */
  loseOwner: boolean;
  /** The machines' processors; left out, what processes do takes no time. */
  processors?: ProcessorShares;
}

/** Times in ms by share of the followers and changes. */
export interface Spread {
  half: number;
  most: number;
  all: number;
}

/** What came of it. */
export interface NewsResult {
  /** From the sending of a change until its acknowledgement; Infinity for one that never came. */
  acknowledged: Spread;
  /** From the acknowledgement of a change until a follower applied it. */
  changes: Spread;
  /** From when a list of engines is read until a follower has it. */
  engines: Spread;
  /** Mean bytes that a follower received. */
  bytesPerFollower: number;
  leaseAsks: number;
  refusedLeases: number;
  /** Connections between controllers and followers that ended. */
  lostConnections: number;
  /** Processor time of the whole, in ms of this machine. */
  processorMs: number;
}

const START_MS = 3000;
const START_MOST_MS = 30000;
const REST_MS = 3000;
const RETRY_MS = 300;
const STEP_MS = 10;
const MOST = 0.99;

/** When something happened first, by number. */
type Moments = Map<number, number>;

interface Watched {
  sent: Moments;
  acknowledged: Moments;
  enginesRead: Moments;
  /** By follower: which deployments and lists it applied. */
  deployments: Map<string, Applied[]>;
  lists: Map<string, Applied[]>;
}

/** The number of a version, and when a follower applied it. */
interface Applied {
  at: number;
  number: number;
}

function spreadOf(times: number[]): Spread {
  const sorted = times.toSorted(ascending);
  function at(share: number): number {
    return Math.round(sorted[Math.min(sorted.length - 1, Math.ceil(sorted.length * share) - 1)]);
  }
  if (sorted.length === 0) return { half: 0, most: 0, all: 0 };
  return { half: at(0.5), most: at(MOST), all: at(1) };
}

function ascending(a: number, b: number): number {
  return a - b;
}

function watchFollowers(rig: NewsRig, watched: Watched): void {
  for (const [name, follower] of rig.followers) {
    const deployments: Applied[] = [];
    const lists: Applied[] = [];
    watched.deployments.set(name, deployments);
    watched.lists.set(name, lists);
    function changed(n: VersionedValue): void {
      const at = rig.world.now();
      if (n.key === CONTROL_KEYS.deployment)
        deployments.push({ at, number: (n.value as DeploymentValue).revision });
      if (n.key === CONTROL_KEYS.engines)
        lists.push({ at, number: Number((n.value as Engine[])[0]?.id ?? 0) });
    }
    void follower.changes.observe(changed);
  }
}

/** Sends a change to one controller after the other until it is acknowledged. */
async function insist(rig: NewsRig, operation: object, isOver: () => boolean): Promise<boolean> {
  const controllers = [...rig.controllers.values()];
  for (let attempt = 0; !isOver(); attempt++) {
    const controller = controllers[attempt % controllers.length];
    const [fault] = errorOrValue(await controller.change(operation as never));
    if (!fault || fault.code === 'stands') return true;
    await rig.sleep(RETRY_MS);
  }
  return false;
}

interface Storm {
  watched: Watched;
  isOver: boolean;
  revision: number;
  routes: number;
}

async function sendChange(rig: NewsRig, storm: Storm, upsert: object[]): Promise<void> {
  const base = storm.revision;
  const revision = base + 1;
  storm.revision = revision;
  storm.watched.sent.set(revision, rig.world.now());
  const change = { revision, upsert: { routes: upsert }, remove: {} };
  const isTaken = await insist(rig, { kind: 'deployment', base, change }, isOver);
  if (isTaken) storm.watched.acknowledged.set(revision, rig.world.now());
  function isOver(): boolean {
    return storm.isOver;
  }
}

/** Sends the changes in turn, each at its time or as soon as the one before is acknowledged. */
async function sendAll(rig: NewsRig, storm: Storm, ways: NewsWays): Promise<void> {
  for (const count of ways.additions) {
    const added: object[] = [];
    for (let i = 0; i < count; i++) added.push(drawnRoute(storm.routes++, 'engines'));
    await sendChange(rig, storm, added);
  }
  for (let i = 0; i < ways.changes && !storm.isOver; i++) {
    const due = rig.world.now() + ways.gapMs;
    if (ways.loseOwner && i === Math.floor(ways.changes / 2))
      rig.killOwner(CONTROL_KEYS.deployment);
    await sendChange(rig, storm, [drawnRoute(i % storm.routes, i % 2 === 0 ? 'other' : 'engines')]);
    await rig.sleep(due - rig.world.now());
  }
  storm.isOver = true;
}

function engineOf(number: number): Engine {
  return {
    id: String(number),
    at: '10.9.0.1:8000',
    zone: 'a',
    model: '',
    weights: '',
    leaving: true,
  };
}

/** Commits a new list again and again, as whoever reads the platform's list does. */
async function listEngines(rig: NewsRig, storm: Storm, ways: NewsWays): Promise<void> {
  for (let number = 1; !storm.isOver; number++) {
    storm.watched.enginesRead.set(number, rig.world.now());
    const owner = rig.ownerOf(CONTROL_KEYS.engines);
    if (owner) void owner.change({ kind: 'engines', engines: [engineOf(number)] });
    await rig.sleep(ways.enginesGapMs);
  }
}

/** For each version and follower, from a moment until the follower applied that version or a later one. */
function timesUntilApplied(since: Moments, applied: Watched['lists']): number[] {
  const times: number[] = [];
  for (const [number, from] of since)
    for (const versions of applied.values()) {
      const at = versions.find(isReached)?.at ?? Infinity;
      times.push(Math.max(0, at - from));
      function isReached(version: Applied): boolean {
        return version.number >= number;
      }
    }
  return times;
}

function acknowledgedTimes(watched: Watched): number[] {
  const times: number[] = [];
  for (const [revision, sent] of watched.sent)
    times.push((watched.acknowledged.get(revision) ?? Infinity) - sent);
  return times;
}

/** Plays and measures. */
export async function playNews(ways: NewsWays): Promise<NewsResult> {
  const rig = makeNewsRig(ways.seed, ways.followers, ways.processors);
  const result = { leaseAsks: 0, refusedLeases: 0 };
  function weigh(_: string, message: Message): void {
    const granted = (message.body as { granted?: boolean } | undefined)?.granted;
    if (granted !== undefined) result.leaseAsks++;
    if (granted === false) result.refusedLeases++;
  }
  await rig.pass(START_MS);
  await rig.change({ base: 0, doc: drawnDocument(1, ways.routes) }, START_MOST_MS);
  for (const proc of rig.followerProcs) rig.startFollower(proc);
  await rig.until(rig.everyoneHas(1), START_MOST_MS);
  const watched: Watched = {
    sent: new Map(),
    acknowledged: new Map(),
    enginesRead: new Map(),
    deployments: new Map(),
    lists: new Map(),
  };
  watchFollowers(rig, watched);
  const storm: Storm = { watched, isOver: false, revision: 1, routes: ways.routes };
  const before = { bytes: rig.bytesPerFollower(), lost: rig.lostConnections() };
  const used = process.cpuUsage();
  rig.net.traffic = { weigh, rows: noRows };
  void sendAll(rig, storm, ways);
  void listEngines(rig, storm, ways);
  const most = ways.changes * Math.max(ways.gapMs, RETRY_MS) * 4 + START_MOST_MS;
  const end = rig.world.now() + most;
  while (!storm.isOver && rig.world.now() < end) await rig.pass(STEP_MS);
  storm.isOver = true;
  await rig.pass(REST_MS);
  const processor = process.cpuUsage(used);
  return {
    ...result,
    acknowledged: spreadOf(acknowledgedTimes(watched)),
    changes: spreadOf(timesUntilApplied(watched.acknowledged, watched.deployments)),
    engines: spreadOf(timesUntilApplied(watched.enginesRead, watched.lists)),
    bytesPerFollower: Math.round(rig.bytesPerFollower() - before.bytes),
    lostConnections: rig.lostConnections() - before.lost,
    processorMs: Math.round((processor.user + processor.system) / 1000),
  };
}

function noRows(): string[] {
  return [];
}
