/**
 * The announcement of the voters' addresses to seed nodes: seeds are asked first by new nodes, and may be machines that
 * know of nobody. A controller that lost the voters asks the seeds instead.
 */

import { requestOnce } from '../../shared/transport/peer-channel';
import { Hello } from '../../shared/transport/hello';
import { ConnectionPool } from '../../shared/transport/connection-pool';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { appliedEntries } from '../../shared/replication/change-message';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { allVoters, VoterSet } from '../../shared/state/voter-set';
import { VersionedValue } from '../../shared/state/versions';
import { jittered } from '../../shared/concurrency/jitter';

/** What announcing to the seeds needs of its controller. */
export interface SeedAnnouncerDependencies {
  ports: Ports;
  settings: Settings;
  timeLimits: TimeLimits;
  hello: Hello;
  handlers: readonly object[];
  connections: ConnectionPool;
  voters: () => VoterSet | undefined;
  hasQuorum: () => boolean;
  committedValues: () => VersionedValue[];
  learn: (message: { change: VersionedValue }) => Promise<Result<unknown>>;
  /** Notes that a value of a key was not learned as it was committed. */
  onCaughtUp: (key: string) => void;
  isStopped: () => boolean;
}

/** Contacts the seeds that this controller has no connection to, about once per lease, until it is stopped. */
export async function announceToSeeds(dependencies: SeedAnnouncerDependencies): Promise<void> {
  const { ports, settings, timeLimits, connections, isStopped } = dependencies;
  function isUnconnected(address: string): boolean {
    return address !== settings.wire && !connections.channelTo(address);
  }
  while (!isStopped()) {
    for (const address of settings.seeds.filter(isUnconnected))
      await contactSeed(dependencies, address);
    await ports.clock.sleep(jittered(ports.random, timeLimits.leaseMs));
  }
}

/** Tells a seed that is no voter where the voters are; without a quorum, asks it for changes that are missing here. */
async function contactSeed(
  dependencies: SeedAnnouncerDependencies,
  address: string,
): Promise<void> {
  const { voters, hasQuorum, committedValues } = dependencies;
  const known = voters();
  if (!known) return;
  function isSeed(voter: { at: string }): boolean {
    return voter.at === address;
  }
  if (!hasQuorum()) {
    const versions = appliedEntries(committedValues());
    await learnAll(dependencies, await request(dependencies, address, 'missing', versions));
  } else if (!allVoters(known).some(isSeed)) await request(dependencies, address, 'here', known);
}

function request(
  { ports, hello, handlers, timeLimits }: SeedAnnouncerDependencies,
  address: string,
  type: string,
  body: unknown,
): Promise<Result<unknown>> {
  return requestOnce(ports, hello, handlers, address, type, body, timeLimits.connectTimeoutMs);
}

async function learnAll(
  { learn, onCaughtUp }: SeedAnnouncerDependencies,
  reply: Result<unknown>,
): Promise<void> {
  const [error, changes] = errorOrValue(reply);
  if (error) return;
  for (const change of changes as VersionedValue[]) {
    await learn({ change });
    onCaughtUp(change.key);
  }
}
