import { allVoters } from '../../src/shared/state/voter-set';
import { askCore, makeSimFleet, SimFleet, simIntents } from '../../tools/sim/simfleet';

interface Reply {
  status: number;
  body: Record<string, unknown>;
}

/** Runs virtual time on until a condition holds; gives the time, or undefined past the bound. */
async function until(
  fleet: SimFleet,
  most: number,
  test: () => boolean,
): Promise<number | undefined> {
  while (fleet.w.now() < most) {
    if (test()) return fleet.w.now();
    await fleet.w.run(fleet.w.now() + 50);
  }
  return undefined;
}

async function requestCore(
  fleet: SimFleet,
  method: string,
  path: string,
  body: unknown,
): Promise<Reply> {
  let reply: Reply | undefined;
  function told(value: unknown): void {
    reply = value as Reply;
  }
  void askCore(fleet, method, path, body).then(told);
  function back(): boolean {
    return reply !== undefined;
  }
  await until(fleet, fleet.w.now() + 30000, back);
  return reply!;
}

function without(core: string[], name: string): SimFleet {
  const fleet = makeSimFleet(7, 'saffron-bay', 2, 2, false);
  for (const coreName of core) fleet.lost.add(coreName);
  fleet.startAll();
  fleet.lost.delete(name);
  return fleet;
}

function founded(fleet: SimFleet): () => boolean {
  function test(): boolean {
    return fleet.controllers.size > 0 && [...fleet.controllers.values()].every(inMajority);
  }
  return test;
}

/** Puts intents that build on a revision; gives the status of the reply. */
async function putIntents(fleet: SimFleet, basedOn: number, service: string): Promise<number> {
  const intents = simIntents(fleet.d, service, 0, []);
  const reply = await requestCore(fleet, 'PUT', '/v1/intents', { basedOn, intents });
  return reply.status;
}

function inMajority(controller: { hasQuorum: () => boolean }): boolean {
  return controller.hasQuorum();
}

async function lateFounder(): Promise<void> {
  const fleet = without(['core-3'], 'core-3');
  expect(await until(fleet, 9000, founded(fleet))).toBeUndefined();
  fleet.starts.get('core-3')!();
  const foundedAt = await until(fleet, 20000, founded(fleet));
  expect(foundedAt! - 9000).toBeLessThan(1500);
  expect(await putIntents(fleet, 0, 'probe-3')).toBe(200);
}

async function absentFounder(): Promise<void> {
  const fleet = without(['core-3'], 'core-3');
  const addresses = fleet.d.core.map(wireOf);
  await fleet.w.run(1500);
  const codes: unknown[] = [];
  for (const names of [
    [addresses[1], addresses[2]],
    [addresses[1]],
    [addresses[2]],
    [addresses[2]],
  ]) {
    const reply = await requestCore(fleet, 'POST', '/v1/found', { without: names });
    codes.push((reply.body.error as { code: string } | undefined)?.code ?? reply.status);
  }
  expect(codes).toEqual(['no-quorum', 'conflict', 200, 200]);
  await until(fleet, 6000, founded(fleet));
  expect(await putIntents(fleet, 0, 'probe-3')).toBe(200);
  fleet.starts.get('core-3')!();
  function joined(): boolean {
    const voters = fleet.controllers.get('core-3')?.voters();
    return voters !== undefined && !voters.next && allVoters(voters).some(mine);
  }
  function mine(voter: { disk: string }): boolean {
    return voter.disk === fleet.controllers.get('core-3')!.store.diskId;
  }
  expect(await until(fleet, 20000, joined)).toBeDefined();
  fleet.w.kill(fleet.w.procAt(addresses[1].split(':')[0])!, true);
  await fleet.w.run(fleet.w.now() + 3000);
  expect(await putIntents(fleet, 1, 'probe-5')).toBe(200);
}

async function neverOverStoredState(): Promise<void> {
  const fleet = without([], '');
  await until(fleet, 9000, founded(fleet));
  expect(await putIntents(fleet, 0, 'probe-3')).toBe(200);
  for (const name of fleet.core) fleet.w.kill(fleet.w.procs().find(named(name))!, true);
  for (const name of fleet.core.slice(0, 2)) {
    const proc = fleet.w.procs().find(named(name))!;
    proc.files.clear();
    fleet.w.revive(proc);
    fleet.controllers.clear();
  }
  for (const name of fleet.core.slice(0, 2)) fleet.starts.get(name)!();
  await fleet.w.run(fleet.w.now() + 4000);
  fleet.w.revive(fleet.w.procs().find(named(fleet.core[2]))!);
  fleet.starts.get(fleet.core[2])!();
  await fleet.w.run(fleet.w.now() + 8000);
  const reply = await requestCore(fleet, 'POST', '/v1/found', { without: [fleet.d.core[2].wire] });
  expect(reply.status).not.toBe(200);
  expect(
    fleet.controllers.get(fleet.core[2])!.committedValue<{ doc: unknown }>('intents')?.place.number,
  ).toBe(1);
}

function named(name: string): (proc: { name: string }) => boolean {
  function test(proc: { name: string }): boolean {
    return proc.name === name;
  }
  return test;
}

function wireOf(node: { wire: string }): string {
  return node.wire;
}

test('a founder that is late delays the bootstrap until it starts, and no longer', lateFounder);
test(
  'operators bootstrap without an absent founder; it votes in its own place once it starts',
  absentFounder,
);
test(
  'two emptied controllers never bootstrap again while the third has stored state',
  neverOverStoredState,
);
