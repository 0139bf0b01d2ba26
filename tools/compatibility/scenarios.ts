/**
 * The runs whose messages are recorded. All are in virtual time and give the same messages each time.
 */

import { makeRolloutRig } from '../sim/rollout-rig';
import { IndexerClient } from '../../src/data/gateway/indexer-client';
import { EngineLoads } from '../../src/data/gateway/engine-loads';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { openChannel } from '../../src/shared/transport/peer-channel';
import { HelloHandlers } from '../../src/shared/transport/hello-handlers';
import { followCore, Follower } from '../../src/shared/replication/follower';
import { makePushStream } from '../../src/shared/util/push-stream';
import { EngineLoad } from '../../src/shared/contracts/indexer';
import { Connection } from '../../src/shared/ports/network';
import { defaultSettings } from '../../src/shared/settings/settings';
import { Member } from '../../src/shared/state/members';
import { makeScene, PROMPT, SALT, Scene } from '../sim/feedscene';
import { drawnDocument, makeNewsRig } from '../sim/news/rig';
import { runSeed } from '../sim/simrun';
import { askControllers } from './controller-asks';
import { makeProbe, Probe, settled } from './probe';
import { makeRecorder, RecordedType, Recorder } from './recording';
import { tallies } from './tally-scenario';

/** A run and how its messages come about. */
export interface Scenario {
  name: string;
  /** What sends the messages. */
  description: string;
  run: (recorder: Recorder) => Promise<void>;
}

const SEED = 1;
const FAULTS = 6;
/** Routes whose configuration is too long for one message. */
const MANY_ROUTES = 3000;
const PROBE_IP = '127.10.8.1';

async function wholeFleet(recorder: Recorder): Promise<void> {
  const links = recorder.links();
  await runSeed(SEED, { deployment: 'saffron-bay', faults: FAULTS, links });
}

/** A gateway's side of the load board and of queries, over indexers at these addresses. */
function gatewayAt(probe: Probe, ats: readonly string[], own: EngineLoad[]): IndexerClient {
  function ownLoads(): EngineLoad[] {
    return own;
  }
  function nothing(): void {
    // does nothing on purpose
  }
  function memberAt(at: string): Member {
    return { name: at, role: 'indexer', at, http: '', zone: 'z', life: 'a' };
  }
  function members(): Member[] {
    return ats.map(memberAt);
  }
  function routers(): number {
    return 2;
  }
  const loads = { ownLoads, applyBoard: nothing, discardBoard: nothing } as unknown as EngineLoads;
  const membership = makePushStream<Member[]>().stream;
  const follower = { members, memberChanges: membership } as unknown as Follower;
  return new IndexerClient({
    ports: probe.ports,
    timeLimits: timeLimitsOf(defaultSettings()),
    follower,
    hello: probe.hello,
    loads,
    routerCount: routers,
  });
}

/** Two gateways and two indexers, one of which misses events of an engine. */
async function indexers(recorder: Recorder): Promise<void> {
  const scene = await makeScene(2, 2);
  const { w: world, net } = scene;
  net.links = recorder.links();
  const probe = makeProbe(world, net, PROBE_IP);
  const ats: string[] = [];
  for (const proc of scene.procs) ats.push(`${proc.ip}:7001`);
  for (const source of scene.sources.values())
    for (const [id, tokens] of PROMPT) source.keep(SALT, id, tokens);
  await world.run(world.now() + 3000);
  const own: EngineLoad[] = [['engine-1', 2, 800, 1200]];
  const reach = gatewayAt(probe, ats, own);
  const other = gatewayAt(makeProbe(world, net, '127.10.8.2'), ats, [['engine-2', 1, 0]]);
  await world.run(world.now() + 2000);
  const asked = { model: 'm', salt: SALT, parts: PROMPT };
  await settled(world, reach.queryOverlap(asked, 1000));
  reach.notifyPlaced({ ...asked, engine: 'engine-1' });
  reach.notifyPlaced({ ...asked, engine: 'engine-2', store: 'store-1' });
  own[0] = ['engine-1', 3, 400];
  await world.run(world.now() + 1000);
  await settled(world, reach.queryOverlap({ ...asked, parts: [['unknown', 5]] }, 1000));
  reach.stop();
  other.stop();
  await missEvents(scene);
  for (const [source, known] of knownOf(await probe.ask(ats[0], 'dump', {}))) {
    const { epoch, seq } = known;
    await probe.ask(ats[0], 'whole', { source, epoch, seq });
    await probe.ask(ats[0], 'missed', { source, epoch, from: 1, to: seq });
  }
  await probe.ask(ats[0], 'dump-rows', {});
}

/** Has the second indexer miss what an engine tells, until the engine no longer has it. */
async function missEvents({ w: world, sources, procs }: Scene): Promise<void> {
  const engine = world.procs().find(isFirstEngine)!;
  function isFirstEngine(proc: { name: string }): boolean {
    return proc.name === 'engine-1';
  }
  const source = sources.get(engine.name)!;
  world.cut(engine.ip, procs[1].ip, true);
  world.cut(procs[1].ip, engine.ip, true);
  for (const [id] of PROMPT) source.keep(SALT, id, 0);
  source.keep(SALT, 'd', 16);
  await world.run(world.now() + 3000);
  source.loseHeld();
  source.keep(SALT, 'e', 16);
  world.healLinks();
  await world.run(world.now() + 10000);
}

/** What an indexer has heard of each source, by its own dump. */
function knownOf(dump: { extract: () => unknown }): [string, { epoch: string; seq: number }][] {
  return (dump.extract() as { heard: [string, { epoch: string; seq: number }][] }).heard;
}

/** Weights that are brought to engines, with a node that hears of it. */
async function rollOut(recorder: Recorder): Promise<void> {
  const rig = await makeRolloutRig(3, 4, 2);
  rig.net.links = recorder.links();
  const ip = '127.20.3.1';
  const { ports, hello } = makeProbe(rig.world, rig.net, ip);
  const seeds: string[] = [];
  for (const controller of ['1', '2', '3']) seeds.push(`127.20.1.${controller}:7000`);
  const member: Member = { ...hello, http: '', life: 'a' };
  const edges: object[] = [new HelloHandlers(hello)];
  const follower = followCore(ports, {
    timeLimits: timeLimitsOf(defaultSettings()),
    hello,
    member,
    seeds,
    handlers: edges,
  });
  function taken(connection: Connection): void {
    openChannel(ports, connection, edges);
  }
  await ports.network.listen(hello.at, taken);
  rig.engines[3].mute = true;
  await rig.until(follower.hasLease, 20000);
  await rig.name(2);
  await rig.runUntil(rig.world.now() + 15000);
}

/** A configuration that is fetched in pieces. */
async function pieces(recorder: Recorder): Promise<void> {
  const rig = makeNewsRig(5, 1);
  rig.net.links = recorder.links(rig.net.links);
  await rig.pass(4000);
  for (const proc of rig.followerProcs) rig.startFollower(proc);
  await rig.until(rig.everyoneHas(0), 6000);
  await rig.change({ base: 0, doc: drawnDocument(1, MANY_ROUTES) }, 8000);
  await rig.until(rig.everyoneHas(1), 8000);
}

/** All runs, in the order in which they are recorded. */
export const SCENARIOS: readonly Scenario[] = [
  {
    name: 'fleet',
    description: `the whole fleet in the simulator, seed ${SEED}, with ${FAULTS} faults`,
    run: wholeFleet,
  },
  {
    name: 'controllers',
    description: 'a probe asks controllers, a router and an indexer of a founded fleet',
    run: askControllers,
  },
  {
    name: 'indexers',
    description:
      'two gateways and two indexers, one of which misses events; a probe asks the other',
    run: indexers,
  },
  {
    name: 'roll-out',
    description: 'controllers bring weights to four engines, one of which never answers',
    run: rollOut,
  },
  {
    name: 'pieces',
    description: `a follower fetches a configuration of ${MANY_ROUTES} routes`,
    run: pieces,
  },
  {
    name: 'tallies',
    description: 'five controllers add to a tally, one of which is cut off for a while',
    run: tallies,
  },
];

/** Plays all scenarios and gives what was recorded. */
export async function recordAll(): Promise<RecordedType[]> {
  const recorder = makeRecorder();
  for (const scenario of SCENARIOS) {
    recorder.begin(scenario.name);
    await scenario.run(recorder);
  }
  return recorder.types();
}
