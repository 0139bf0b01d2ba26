import { Stream as Feed } from 'most';
import { Left } from 'purify-ts';
import { makeCatchUp } from './catch-up';
import { AppliedEntry, ChangeOffer, InlineChange, isReached } from './change-message';
import { Fault, open, Outcome } from '../errors/errors';
import { applyMessages, FollowEdge } from './follower-handlers';
import { makeJournal } from './key-journal';
import { makeFeed } from '../util/lib';
import { LeaseAnswer, makeRenewals } from './lease-renewal';
import { makeLeavingAdvice } from './draining-engines';
import { makeMemberView } from './member-view';
import { poll } from '../transport/quorum-poll';
import { Ports } from '../ports/ports';
import { Bounds } from '../settings/time-limits';
import {
  askOnce,
  Exchange,
  FIRST_PAUSE,
  Hello,
  holdAll,
  LONGEST_PAUSE,
  noConnection,
} from '../transport/connections';
import {
  allVoters,
  atOf,
  comparePlaces,
  Engine,
  isQuorum,
  KEYS,
  Member,
  Numbered,
  Place,
  Voter,
  Voters,
} from '../state/words';

/** A node's view of the control state, kept up by news and leases. */
export interface Follower {
  live(): boolean;
  value<T>(key: string): { place: Place; value: T } | undefined;
  keys(prefix: string): string[];
  members(role: string): Member[];
  voters(): Voters | undefined;
  core(): string[];
  places(): Numbered[];
  take(list: Numbered[]): boolean;
  changes: Feed<Numbered>;
  leaving(id: string): boolean;
  advice: Feed<string[]>;
  membership: Feed<Member[]>;
  coreTell(type: string, body: unknown): void;
  askVoters<T>(
    type: string,
    body: unknown,
    yes: (r: T, v: Voter) => boolean,
  ): Promise<{ ok: boolean; got: T[] }>;
  leave(): Promise<void>;
  stop(): void;
}

/** Follows the core: finds it from the seeds, renews a lease at each controller, applies news. */
export function follow(
  ports: Ports,
  bounds: Bounds,
  hello: Hello,
  member: Member,
  seeds: string[],
  edges: object[],
): Follower {
  const state = new Map<string, Numbered>();
  const applied = makeJournal();
  const refused = new Map<string, number>();
  const changes = makeFeed<Numbered>();
  const membership = makeFeed<Member[]>();
  const advice = makeFeed<string[]>();
  const view = makeMemberView(ports.clock.now, membership.add);
  const leavingAdvice = makeLeavingAdvice(ports.clock.now, bounds.leavingAdvice);
  let founded: Voters | undefined;
  let stopped = false;

  function voters(): Voters | undefined {
    return (state.get(KEYS.voters)?.value as Voters | undefined) ?? founded;
  }

  function core(): string[] {
    const v = voters();
    return v ? allVoters(v).map(atOf) : [];
  }

  function take(list: Numbered[]): boolean {
    let any = false;
    for (const n of list) {
      const have = state.get(n.key);
      if (have && comparePlaces(n, have) <= 0) continue;
      state.set(n.key, n);
      applied.add(n.key);
      if (n.key === KEYS.engines) leavingAdvice.listed(n.value as Engine[]);
      any = true;
      changes.add(n);
    }
    if (any) reach();
    return any;
  }

  function advised(ids: string[]): void {
    leavingAdvice.hear(ids);
    advice.add(ids);
  }

  function who(): unknown {
    return { voters: voters(), core: core() };
  }

  function held(key: string): Numbered | undefined {
    return state.get(key);
  }

  function exchanges(): Exchange[] {
    return helds.all();
  }

  /** Fetches what a controller offers, and has the controllers know soon that it is applied. */
  function fetchOffer(offer: ChangeOffer, from: Exchange): void {
    void catchUp.accept(from, offer).then(tell);
    function tell(): void {
      if (isReached(state.get(offer.key), offer)) renewals.wake();
    }
  }

  async function applyChanges(messages: InlineChange[]): Promise<string[]> {
    return applyMessages({ apply: take, held }, messages).lacking.map(keyOf);
  }

  function keyOf(entry: AppliedEntry): string {
    return entry[0];
  }

  edges.push(
    new FollowEdge({
      apply: take,
      held,
      fetchOffer,
      whereCore: who,
      coreFound: told,
      enginesLeave: advised,
    }),
  );
  const catchUp = makeCatchUp({ held, apply: applyChanges, exchanges, within: bounds.ask });
  const renewals = makeRenewals({
    ports,
    bounds,
    member,
    state,
    applied,
    catchUp,
    take,
    grant,
    votersTold,
    stopped: isStopped,
  });
  const helds = holdAll(ports, {
    hello,
    edges,
    within: bounds.dial,
    pause: bounds.pause,
    onUp,
    onRefused,
  });

  function live(): boolean {
    const v = voters();
    if (!v) return false;
    const now = ports.clock.now();
    const good = new Set<string>();
    const dead = new Set<string>();
    for (const x of allVoters(v)) {
      if (view.endOf(x.disk) > now) good.add(x.disk);
      if ((refused.get(x.at) ?? 0) > now) dead.add(x.disk);
    }
    return isQuorum(v, good) || dead.size === allVoters(v).length;
  }

  function onUp(ex: Exchange): void {
    void renewals.renew(ex);
  }

  function grant(answer: LeaseAnswer, ex: Exchange, sent: number): void {
    refused.delete(ex.peer);
    view.grant(answer.disk, sent + bounds.lease, answer);
    reach();
  }

  function votersTold(told: Voters): void {
    founded = told;
  }

  function isStopped(): boolean {
    return stopped;
  }

  function onRefused(f: Fault): void {
    if (f.code === 'ECONNREFUSED' && live())
      refused.set(f.peer, ports.clock.now() + bounds.lease - bounds.dial);
  }

  function reach(): void {
    const want = core();
    if (want.length > 0) helds.want(want);
  }

  /** Asks all seeds side by side, at first soon again: after a loss of power they come up one by one. */
  async function findCore(): Promise<void> {
    const asking = new Set<string>();
    async function one(at: string): Promise<void> {
      asking.add(at);
      await askSeed(at);
      asking.delete(at);
    }
    for (
      let pause = bounds.pause * FIRST_PAUSE;
      !stopped && core().length === 0;
      pause = Math.min(pause * 2, bounds.pause * LONGEST_PAUSE)
    ) {
      for (const at of seeds) if (!asking.has(at)) void one(at);
      await ports.clock.sleep(pause * (0.5 + ports.dice.next()));
    }
  }

  /** Asks the seeds again where no controller has been here for the contact bound: all that were known may have been exchanged. */
  async function findCoreAnew(): Promise<void> {
    function isUp(at: string): boolean {
      return helds.up(at) !== undefined;
    }
    let since = ports.clock.now();
    while (!stopped) {
      await ports.clock.sleep(bounds.lease);
      if (core().length === 0 || helds.ats().some(isUp)) since = ports.clock.now();
      else if (ports.clock.now() - since > bounds.silence) await Promise.all(seeds.map(askSeed));
    }
  }

  async function askSeed(at: string): Promise<void> {
    const [f, w] = open(await askOnce(ports, hello, edges, at, 'who', {}, bounds.dial));
    if (f) return;
    const { voters: v, stands } = w as { voters?: Voters; stands?: Numbered };
    told(v);
    if (stands) take([stands]);
  }

  function told(v: Voters | undefined): void {
    if (!v) return;
    founded = founded ?? v;
    reach();
  }

  async function coreAsk(type: string, body: unknown): Promise<unknown[]> {
    const out: Promise<unknown>[] = [];
    for (const at of helds.ats())
      out.push(helds.up(at)?.ask(type, body, bounds.ask) ?? Promise.resolve(undefined));
    return Promise.all(out);
  }

  function coreTell(type: string, body: unknown): void {
    for (const at of helds.ats()) helds.up(at)?.tell(type, body);
  }

  async function askVoters<T>(
    type: string,
    body: unknown,
    yes: (r: T, v: Voter) => boolean,
  ): Promise<{ ok: boolean; got: T[] }> {
    const v = voters();
    if (!v) return { ok: false, got: [] };
    const got: T[] = [];
    async function one(x: Voter): Promise<Outcome<T>> {
      const ex = helds.up(x.at);
      const r = (
        ex ? await ex.ask(type, body, bounds.ask) : Left(noConnection(type, x.at))
      ) as Outcome<T>;
      const [, g] = open(r);
      if (g !== undefined) got.push(g);
      return r;
    }
    const o = await poll(v, one, yes);
    return { ok: o.isRight(), got };
  }

  async function leave(): Promise<void> {
    view.clear();
    await coreAsk('leave', { member, has: [] });
  }

  function value<T>(key: string): { place: Place; value: T } | undefined {
    const n = state.get(key);
    return n && { place: n, value: n.value as T };
  }

  function keys(prefix: string): string[] {
    function starts(k: string): boolean {
      return k.startsWith(prefix);
    }
    return [...state.keys()].filter(starts);
  }

  function places(): Numbered[] {
    return [...state.values()];
  }

  function stop(): void {
    stopped = true;
    helds.stop();
  }

  void findCore();
  void findCoreAnew();
  return {
    live,
    value,
    keys,
    members: view.members,
    voters,
    core,
    places,
    take,
    changes: changes.feed,
    leaving: leavingAdvice.leaves,
    advice: advice.feed,
    membership: membership.feed,
    coreTell,
    askVoters,
    leave,
    stop,
  };
}
