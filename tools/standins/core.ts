import { Right } from 'purify-ts';
import { openChannel, PeerChannel } from '../../src/shared/transport/peer-channel';
import { Hello, PROTOCOL_VERSION } from '../../src/shared/transport/hello';
import { HelloHandlers } from '../../src/shared/transport/hello-handlers';
import { HandlerResult, messageHandler } from '../../src/shared/transport/message-handlers';
import { Connection } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';
import { Member } from '../../src/shared/state/members';
import { VersionedValue } from '../../src/shared/state/versions';
import { VoterSet } from '../../src/shared/state/voter-set';

/** A stand-in for a core of one controller: it grants every lease and tells what it is given. */
export interface StandInCore {
  at: string;
  /** Sets a control key; those that ask get it with their next lease, those that are connected at once. */
  set: (key: string, value: unknown) => void;
}

class CoreEdge {
  constructor(
    private readonly voters: VoterSet,
    private readonly state: Map<string, VersionedValue>,
    private readonly members: Map<string, Member>,
    private readonly links: Set<PeerChannel>,
  ) {}

  /** Grants a lease and tells all that stands. */
  @messageHandler('claim')
  lease(c: { member: Member }, ex: PeerChannel): HandlerResult {
    this.links.add(ex);
    void ex.closed.then(this.forget.bind(this, ex, c.member));
    this.members.set(c.member.name, c.member);
    ex.notify('news', [...this.state.values()]);
    return Promise.resolve(
      Right({
        granted: true,
        disk: this.voters.now[0].disk,
        missing: [],
        voters: this.voters,
        members: [...this.members.values()],
      }),
    );
  }

  /** Tells where the core is. */
  @messageHandler('who')
  who(): HandlerResult {
    return Promise.resolve(Right({ voters: this.voters }));
  }

  /** Takes one that leaves off the list. */
  @messageHandler('leave')
  leave(c: { member: Member }): HandlerResult {
    this.members.delete(c.member.name);
    return Promise.resolve(Right(true));
  }

  private forget(ex: PeerChannel, m: Member): void {
    this.links.delete(ex);
    if (this.members.get(m.name)?.life === m.life) this.members.delete(m.name);
  }
}

/** Starts the stand-in at an address. */
export async function startCore(ports: Ports, at: string): Promise<StandInCore> {
  const state = new Map<string, VersionedValue>();
  const links = new Set<PeerChannel>();
  const voters: VoterSet = { now: [{ disk: 'disk-1', at }] };
  const hello: Hello = {
    version: PROTOCOL_VERSION,
    name: 'core',
    role: 'controller',
    at,
    zone: 'z',
    disk: 'disk-1',
  };
  const edges = [
    new HelloHandlers(hello),
    new CoreEdge(voters, state, new Map<string, Member>(), links),
  ];
  await ports.network.listen(at, taken);

  function taken(c: Connection): void {
    openChannel(ports, c, edges);
  }

  function set(key: string, value: unknown): void {
    state.set(key, { key, epoch: 1, by: 'core', number: (state.get(key)?.number ?? 0) + 1, value });
    for (const ex of links) ex.notify('news', [state.get(key)!]);
  }

  return { at, set };
}
