import { askOnce, Hello, Holds } from '../../shared/transport/connections';
import { open, Outcome } from '../../shared/errors/errors';
import { appliedEntries } from '../../shared/replication/change-message';
import { Ports } from '../../shared/ports/ports';
import { Bounds } from '../../shared/settings/time-limits';
import { Settings } from '../../shared/settings/settings';
import { allVoters, Numbered, Voters } from '../../shared/state/words';

/** What telling the seeds needs of its controller. */
export interface SeedParts {
  ports: Ports;
  settings: Settings;
  bounds: Bounds;
  hello: Hello;
  edges: readonly object[];
  helds: Holds;
  voters(): Voters | undefined;
  hasMajority(): boolean;
  committed(): Numbered[];
  learn(m: { change: Numbered }): Promise<Outcome<unknown>>;
  /** Notes that a change was not heard as it was made. */
  forget(key: string): void;
  stopped(): boolean;
}

/** Tells the seeds that are not of the core where it is: they are asked first, and may be machines that know of nobody. A node that has lost the core asks them. */
export async function tellSeeds(p: SeedParts): Promise<void> {
  while (!p.stopped()) {
    for (const at of p.settings.seeds.filter(isOther)) await tellSeed(at);
    await p.ports.clock.sleep(p.bounds.lease * (0.8 + 0.4 * p.ports.dice.next()));
  }

  function isOther(at: string): boolean {
    return at !== p.settings.wire && !p.helds.up(at);
  }

  async function tellSeed(at: string): Promise<void> {
    const v = p.voters();
    if (!v) return;
    if (!p.hasMajority()) await take(await ask(at, 'missing', appliedEntries(p.committed())));
    else if (!allVoters(v).some(isAt)) await ask(at, 'here', v);
    function isAt(x: { at: string }): boolean {
      return x.at === at;
    }
  }

  function ask(at: string, type: string, body: unknown): Promise<Outcome<unknown>> {
    return askOnce(p.ports, p.hello, p.edges, at, type, body, p.bounds.dial);
  }

  async function take(o: Outcome<unknown>): Promise<void> {
    const [f, list] = open(o);
    if (f) return;
    for (const n of list as Numbered[]) {
      await p.learn({ change: n });
      p.forget(n.key);
    }
  }
}
