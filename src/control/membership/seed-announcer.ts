import { requestOnce, Hello, ConnectionPool } from '../../shared/transport/connections';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { appliedEntries } from '../../shared/replication/change-message';
import { Ports } from '../../shared/ports/ports';
import { TimeLimits } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { allVoters, VoterSet } from '../../shared/state/voter-set';
import { VersionedValue } from '../../shared/state/versions';

/** What telling the seeds needs of its controller. */
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
  learn: (m: { change: VersionedValue }) => Promise<Result<unknown>>;
  /** Notes that a change was not heard as it was made. */
  onCaughtUp: (key: string) => void;
  isStopped: () => boolean;
}

/** Tells the seeds that are not of the core where it is: they are asked first, and may be machines that know of nobody. A node that has lost the core asks them. */
export async function announceToSeeds(p: SeedAnnouncerDependencies): Promise<void> {
  while (!p.isStopped()) {
    for (const at of p.settings.seeds.filter(isOther)) await tellSeed(at);
    await p.ports.clock.sleep(p.timeLimits.leaseMs * (0.8 + 0.4 * p.ports.random.next()));
  }

  function isOther(at: string): boolean {
    return at !== p.settings.wire && !p.connections.channelTo(at);
  }

  async function tellSeed(at: string): Promise<void> {
    const v = p.voters();
    if (!v) return;
    if (!p.hasQuorum()) await take(await ask(at, 'missing', appliedEntries(p.committedValues())));
    else if (!allVoters(v).some(isAt)) await ask(at, 'here', v);
    function isAt(x: { at: string }): boolean {
      return x.at === at;
    }
  }

  function ask(at: string, type: string, body: unknown): Promise<Result<unknown>> {
    return requestOnce(p.ports, p.hello, p.handlers, at, type, body, p.timeLimits.connectTimeoutMs);
  }

  async function take(o: Result<unknown>): Promise<void> {
    const [f, list] = errorOrValue(o);
    if (f) return;
    for (const n of list as VersionedValue[]) {
      await p.learn({ change: n });
      p.onCaughtUp(n.key);
    }
  }
}
