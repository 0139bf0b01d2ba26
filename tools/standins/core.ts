import { Right } from 'purify-ts';
import {
  converse,
  Exchange,
  Hello,
  HelloEdge,
  WIRE_VERSION,
} from '../../src/shared/transport/connections';
import { Handled, message } from '../../src/shared/transport/handlers';
import { Connection, Ports } from '../../src/shared/ports/ports';
import { Member, Numbered, Voters } from '../../src/shared/state/words';

/** A stand-in for a core of one controller: it grants every lease and tells what it is given. */
export interface StandInCore {
  at: string;
  /** Sets a control key; those that ask get it with their next lease, those that are connected at once. */
  set(key: string, value: unknown): void;
}

class CoreEdge {
  constructor(
    private readonly voters: Voters,
    private readonly state: Map<string, Numbered>,
    private readonly members: Map<string, Member>,
    private readonly links: Set<Exchange>,
  ) {}

  /** Grants a lease and tells all that stands. */
  @message('claim')
  async lease(c: { member: Member }, ex: Exchange): Handled {
    this.links.add(ex);
    void ex.done.then(this.forget.bind(this, ex, c.member));
    this.members.set(c.member.name, c.member);
    ex.tell('news', [...this.state.values()]);
    return Right({
      granted: true,
      disk: this.voters.now[0].disk,
      missing: [],
      voters: this.voters,
      members: [...this.members.values()],
    });
  }

  /** Tells where the core is. */
  @message('who')
  async who(): Handled {
    return Right({ voters: this.voters });
  }

  /** Takes one that leaves off the list. */
  @message('leave')
  async leave(c: { member: Member }): Handled {
    this.members.delete(c.member.name);
    return Right(true);
  }

  private forget(ex: Exchange, m: Member): void {
    this.links.delete(ex);
    if (this.members.get(m.name)?.life === m.life) this.members.delete(m.name);
  }
}

/** Starts the stand-in at an address. */
export async function startCore(ports: Ports, at: string): Promise<StandInCore> {
  const state = new Map<string, Numbered>();
  const links = new Set<Exchange>();
  const voters: Voters = { now: [{ disk: 'disk-1', at }] };
  const hello: Hello = {
    version: WIRE_VERSION,
    name: 'core',
    role: 'controller',
    at,
    zone: 'z',
    disk: 'disk-1',
  };
  const edges = [
    new HelloEdge(hello),
    new CoreEdge(voters, state, new Map<string, Member>(), links),
  ];
  await ports.wire.accept(at, taken);

  function taken(c: Connection): void {
    converse(ports, c, edges);
  }

  function set(key: string, value: unknown): void {
    state.set(key, { key, epoch: 1, by: 'core', number: (state.get(key)?.number ?? 0) + 1, value });
    for (const ex of links) ex.tell('news', [state.get(key)!]);
  }

  return { at, set };
}
