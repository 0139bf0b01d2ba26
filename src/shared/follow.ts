import { Stream as Feed } from 'most';
import { Left } from 'purify-ts';
import { makeCatchUp } from './catch-up';
import { AppliedEntry, appliedEntries, ChangeMessage } from './change-message';
import { Fault, open, Outcome } from './errors';
import { applyMessages, FollowEdge } from './follow-edge';
import { makeJournal } from './journal';
import { makeFeed } from './lib';
import { makeMemberView, MembersTold } from './member-view';
import { poll } from './poll';
import { Ports } from './ports';
import { Bounds } from './bounds';
import {
  askOnce,
  Exchange,
  FIRST_PAUSE,
  Hello,
  holdAll,
  LONGEST_PAUSE,
  noConnection,
} from './connections';
import {
  allVoters,
  comparePlaces,
  isQuorum,
  KEYS,
  Member,
  Numbered,
  Place,
  Voter,
  Voters,
} from './words';

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

interface LeaseAnswer extends MembersTold {
  granted: boolean;
  disk: string;
  /** What is missing here, from a controller that sends it whole. */
  missing?: Numbered[];
  /** How far the keys stand that are missing here, to be fetched. */
  lacking?: AppliedEntry[];
  voters?: Voters;
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
  let advisedIds = new Set<string>();
  let founded: Voters | undefined;
  let stopped = false;

  function voters(): Voters | undefined {
    return (state.get(KEYS.voters)?.value as Voters | undefined) ?? founded;
  }

  function core(): string[] {
    const v = voters();
    return v ? allVoters(v).map(atOf) : [];
  }

  function atOf(x: { at: string }): string {
    return x.at;
  }

  function take(list: Numbered[]): boolean {
    let any = false;
    for (const n of list) {
      const have = state.get(n.key);
      if (have && comparePlaces(n, have) <= 0) continue;
      state.set(n.key, n);
      applied.add(n.key);
      if (n.key === KEYS.engines) advisedIds = new Set();
      any = true;
      changes.add(n);
    }
    if (any) reach();
    return any;
  }

  function advised(ids: string[]): void {
    advisedIds = new Set(ids);
    advice.add(ids);
  }

  function leaving(id: string): boolean {
    return advisedIds.has(id);
  }

  function who(): unknown {
    return { voters: voters(), core: core() };
  }

  function held(key: string): Numbered | undefined {
    return state.get(key);
  }

  async function applyChanges(messages: ChangeMessage[]): Promise<string[]> {
    return applyMessages({ apply: take, held }, messages).lacking.map(keyOf);
  }

  function keyOf(entry: AppliedEntry): string {
    return entry[0];
  }

  edges.push(
    new FollowEdge({
      apply: take,
      held,
      whereCore: who,
      coreFound: told,
      enginesLeave: advised,
    }),
  );
  const catchUp = makeCatchUp({ held, apply: applyChanges, within: bounds.ask });
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

  /** How far the keys have been applied that changed after a count; undefined where that is too long ago. */
  function changedAfter(count: number): AppliedEntry[] | undefined {
    const out: Numbered[] = [];
    const keys = applied.after(count);
    for (const k of keys ?? []) out.push(state.get(k)!);
    return keys && appliedEntries(out);
  }

  async function renew(ex: Exchange): Promise<void> {
    let up = true;
    let told: number | undefined;
    let whole = false;
    void ex.done.then(down);
    function down(): void {
      up = false;
    }
    while (up && !stopped) {
      const sent = ports.clock.now();
      const now = applied.count();
      const changed = told === undefined || whole ? undefined : changedAfter(told);
      const ask =
        changed === undefined
          ? { member, fetches: true, has: appliedEntries(state.values()) }
          : { member, fetches: true, deltas: true, ...(changed.length > 0 ? { changed } : {}) };
      const [f, r] = open(await ex.ask('claim', ask, bounds.ask));
      told = undefined;
      if (f) {
        if (f.code === 'bad-shape') whole = true;
        if (f.code === 'tell-all' || f.code === 'bad-shape') continue;
        if (f.code === 'not-founded') await ports.clock.sleep(bounds.pause);
        else await ports.clock.sleep(bounds.renew * 0.5);
        continue;
      }
      const c = r as LeaseAnswer;
      if (c.voters) founded = c.voters;
      if (!c.granted) {
        if (!(await takeMissing(ex, c))) await ports.clock.sleep(bounds.renew * 0.5);
        else if (changed) told = now;
        continue;
      }
      told = now;
      refused.delete(ex.peer);
      view.grant(c.disk, sent + bounds.lease, c);
      reach();
      await ports.clock.sleep(bounds.renew * (0.8 + 0.4 * ports.dice.next()));
    }
  }

  /** Takes what a controller told as missing; false where nothing came of it. */
  async function takeMissing(ex: Exchange, answer: LeaseAnswer): Promise<boolean> {
    return answer.lacking ? catchUp(ex, answer.lacking) : take(answer.missing ?? []);
  }

  function onUp(ex: Exchange): void {
    void renew(ex);
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
    leaving,
    advice: advice.feed,
    membership: membership.feed,
    coreTell,
    askVoters,
    leave,
    stop,
  };
}
