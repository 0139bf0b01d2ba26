/**
 * What a probe asks the processes of a founded fleet: messages that only earlier releases send, that are seldom sent,
 * and those that are refused.
 */

import { forwardChange } from '../../src/control/configuration/change-forwarding';
import { Operation } from '../../src/control/configuration/operations';
import { readReplicaProgress } from '../../src/control/consensus/replica-sync';
import { timeLimitsOf } from '../../src/shared/settings/time-limits';
import { openChannel } from '../../src/shared/transport/peer-channel';
import { Result } from '../../src/shared/errors/errors';
import { allVoters, Voter } from '../../src/shared/state/voter-set';
import { asked, isFounded, procOf, until, votersOf } from '../sim/simcore';
import { makeSimFleet, SimFleet, simIntents } from '../sim/simfleet';
import { makeProbe, Probe, settled } from './probe';
import { Recorder } from './recording';

const SEED = 3;
const FOUNDED_WITHIN_MS = 6000;
/** Far enough from the present version to be refused. */
const FAR_VERSION = 9;
const KEY = 'probe-key';
const SLOW_DISK_MS = 2000;

async function foundedFleet(recorder: Recorder): Promise<SimFleet> {
  const fleet = makeSimFleet(SEED, 'saffron-bay', 2, 2, false, 3);
  fleet.net.links = recorder.links();
  fleet.seeds.push(fleet.d.edge[0].wire);
  fleet.startAll();
  function isUp(): boolean {
    return votersOf(fleet) === '1 2 3' && isFounded(fleet);
  }
  await until(fleet, FOUNDED_WITHIN_MS, isUp);
  const intents = simIntents(fleet.d, 'probe-3', 0, []);
  await asked(fleet, 'PUT', '/v1/intents', { basedOn: 0, intents });
  await asked(fleet, 'POST', '/v1/keys/tenant-1', {});
  await fleet.w.run(fleet.w.now() + 4000);
  return fleet;
}

/** Asks a controller for what is committed, in the ways of all releases. */
async function askForState(probe: Probe, at: string, voters: Voter[]): Promise<void> {
  await probe.ask(at, 'missing', []);
  await probe.ask(at, 'missing', [['voters', 1, 'nobody', 0]]);
  await probe.ask(at, 'committed-places', {});
  await probe.ask(at, 'learned-after', { life: 'another', count: 0 });
  await probe.ask(at, 'committed', ['voters', 'unknown-key']);
  await probe.ask(at, 'sees', voters);
  await probe.ask(at, 'sees', []);
  await probe.ask(at, 'who', {});
  await probe.ask(at, 'held-place', { key: 'voters' });
  await probe.ask(at, 'settle', { key: 'voters' });
  await probe.ask(at, 'fetch-changes', { held: [['engines', 0, '', 0]] });
}

/** Asks a controller's disk for what it holds, and votes there. */
async function askDisk(probe: Probe, fleet: SimFleet, voter: Voter): Promise<void> {
  const { store: slots } = fleet.controllers.get(fleet.core[0])!;
  function askVoter(to: Voter, type: string, body: unknown): Promise<Result<unknown>> {
    return probe.ask(to.at, type, body);
  }
  await settled(fleet.w, readReplicaProgress({ store: slots, requestVoter: askVoter }, voter));
  const place = { epoch: 1, by: 'probe', number: 1 };
  await probe.ask(voter.at, 'lacking', { places: [{ key: 'probe', ...place }] });
  await probe.ask(voter.at, 'vote', { key: KEY, run: 'run-1' });
  await probe.ask(voter.at, 'vote', { key: KEY, run: 'run-2' });
  await probe.ask(voter.at, 'run', { key: KEY, run: 'run-1', state: 'done' });
  await probe.ask(voter.at, 'run', { key: KEY, run: 'run-1', state: 'released' });
  await probe.ask(voter.at, 'copy', [{ key: KEY, run: 'run-3', state: 'unknown' }]);
  await probe.ask(voter.at, 'held', { begins: 'probe' });
  await probe.ask(voter.at, 'held', { begins: '', some: true });
  await probe.ask(voter.at, 'prepare', { key: 'probe', epoch: 1, by: 'probe' });
  await probe.ask(voter.at, 'prepare', { key: 'probe', epoch: 0, by: 'probe' });
  const change = { key: 'probe', ...place, value: { text: 'value' } };
  await probe.ask(voter.at, 'accept', { change });
  await probe.ask(voter.at, 'learn-accepted', { place: { key: 'probe', ...place } });
  await probe.ask(voter.at, 'learn', { change });
  const effect = { key: 'voters', epoch: 1, by: 'probe', number: 0, within: 50 };
  await probe.ask(voter.at, 'effect', effect);
  await probe.ask(voter.at, 'effect', { ...effect, epoch: 1000 });
  await probe.ask(voter.at, 'join', { disk: 'disk', at: 'nowhere:1' });
}

/** Hands an order over to controllers whose disks stand still, so that they are asked whether they work on it. */
async function handOverSlowly(probe: Probe, fleet: SimFleet): Promise<void> {
  const { w: world } = fleet;
  const { settings } = fleet.controllers.get(fleet.core[0])!;
  const parts = { clock: probe.ports.clock, timeLimits: timeLimitsOf(settings) };
  for (const name of fleet.core) world.stall(procOf(fleet, name), true);
  for (const { wire } of fleet.d.core) {
    const dialled = await settled(world, probe.ports.network.connect(wire, SLOW_DISK_MS));
    const exchange = openChannel(probe.ports, dialled.unsafeCoerce(), []);
    await settled(world, exchange.request('hello', probe.hello, SLOW_DISK_MS));
    const operation: Operation = { kind: 'weights', model: fleet.d.model, weights: 'w2' };
    void forwardChange(parts, exchange, operation, 'order-1');
  }
  await world.run(world.now() + SLOW_DISK_MS);
  for (const name of fleet.core) world.stall(procOf(fleet, name), false);
  await world.run(world.now() + SLOW_DISK_MS);
}

/** Asks what is refused. */
async function askRefused(probe: Probe, fleet: SimFleet, at: string): Promise<void> {
  await probe.ask(at, 'prepare', { key: 1 });
  await probe.ask(at, 'claim', {});
  await probe.ask(at, 'claim', { member: { name: 'probe', life: 'a' } });
  await probe.ask(at, 'no-such-type', {});
  await probe.ask(at, 'packed', { type: 'learn', bytes: Buffer.from('no bytes of this form') });
  await probe.ask(at, 'found', { now: [] });
  const place = { key: 'voters', epoch: 1, by: 'nobody', number: 99 };
  await probe.ask(at, 'learn-accepted', { place });
  const piece = { key: 'voters', place: { epoch: 1, by: 'nobody', number: 9 }, sum: '', start: 0 };
  await probe.ask(at, 'change-piece', piece);
  const far = makeProbe(fleet.w, fleet.net, '127.10.8.9', FAR_VERSION);
  await far.ask(at, 'who', {});
}

/** Asks routers and indexers. */
async function askFollowers(probe: Probe, fleet: SimFleet): Promise<void> {
  const router = fleet.d.edge[0].wire;
  const change = { key: 'probe', epoch: 1, by: 'probe', number: 1, value: 'value' };
  await probe.ask(router, 'news', [change]);
  await probe.ask(router, 'has', change);
  await probe.ask(router, 'has', { ...change, number: 2, epoch: 2 });
  await probe.ask(router, 'changes', [{ kind: 'whole', change: { ...change, number: 2 } }]);
  await probe.ask(router, 'leaving', [fleet.d.engines[0].id]);
  await probe.ask(router, 'who', {});
  const indexer = `${fleet.d.core[0].wire.split(':')[0].replace('.1.', '.5.')}:7001`;
  await probe.ask(indexer, 'dump', {});
  await probe.ask(indexer, 'query', { model: 'm', salt: 's', weights: '1', text: 'some text' });
  await probe.ask(indexer, 'missed', { source: 'engine', epoch: 'e', from: 1, to: 2 });
}

/** Founds a fleet and asks its processes. */
export async function askControllers(recorder: Recorder): Promise<void> {
  const fleet = await foundedFleet(recorder);
  const probe = makeProbe(fleet.w, fleet.net, '127.10.8.1');
  const voters = allVoters(fleet.controllers.get(fleet.core[0])!.voters()!);
  await askForState(probe, voters[0].at, voters);
  await askDisk(probe, fleet, voters[1]);
  await askRefused(probe, fleet, voters[2].at);
  await askFollowers(probe, fleet);
  await handOverSlowly(probe, fleet);
  await probe.ask(voters[0].at, 'core-leave', voters[1]);
}
