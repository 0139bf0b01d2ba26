import { Left, Right } from 'purify-ts';
import { bad, Fault, makeFault, open, Outcome } from '../shared/errors';
import { poll } from '../shared/poll';
import { Ports } from '../shared/ports';
import { askOnce } from '../shared/connections';
import { allVoters, KEYS, Voter, Voters } from '../shared/words';
import { Controller } from './controller';
import { Vote } from './votes';

const HEX = '0123456789abcdef';

function sameSet(a: readonly Voter[], b: readonly Voter[]): boolean {
  function text(v: Voter): string {
    return `${v.disk} ${v.at}`;
  }
  return JSON.stringify(a.map(text).sort()) === JSON.stringify(b.map(text).sort());
}

/** Replaces a lost core machine by an empty one, through a joint set; safe to repeat until it says that it is done. */
export async function replaceVoter(c: Controller, ports: Ports, out: string, into: string): Promise<Outcome<Voters>> {
  const stood = c.value<Voters>(KEYS.voters);
  if (!stood) return bad('replace voter', c.name, 'the fleet is not founded', 'refused', 'not-founded');
  const v = stood.value;
  const [f, w] = open(await askOnce(ports, c.hello, [], into, 'who', {}, c.bounds.ask));
  if (f) return Left({ ...f, sort: 'refused' } as Fault);
  const { disk } = w as { disk: string };
  function isNew(x: Voter): boolean {
    return x.disk === disk;
  }
  function isOut(x: Voter): boolean {
    return x.at === out || x.disk === out;
  }
  function stays(x: Voter): boolean {
    return !isOut(x);
  }
  if (!v.next && v.now.some(isNew) && !v.now.some(isOut)) return Right(v);
  if (!v.now.some(isOut)) return bad('replace voter', out, 'is no voter', 'refused', 'no-voter');
  if (v.now.some(isNew)) return bad('replace voter', into, 'is a voter already', 'refused', 'conflict');
  const next = [...v.now.filter(stays), { disk, at: into }];
  if (v.next && !sameSet(v.next, next)) return bad('replace voter', into, 'another replacement is under way', 'refused', 'conflict');
  const joint: Voters = { now: v.now, next };
  let number = stood.place.number;
  if (!v.next) {
    const [g, r] = open(await c.change({ kind: 'voters', voters: joint, basedOn: number }));
    if (g) return Left(g);
    number = r.place.number;
  }
  const [h] = open(await settleJoint(c, ports, joint, disk, number));
  if (h) return Left(h);
  const [i] = open(await c.change({ kind: 'voters', voters: { now: next }, basedOn: number }));
  return i ? Left(i) : Right({ now: next });
}

/** The first digits of keys, which cut the votes into piles that one message carries well. */
function piles(): string[] {
  const out: string[] = [];
  for (const a of HEX) for (const b of HEX) out.push(a + b);
  return out;
}

/** Brings the new disk all that the old set holds: votes first, then every key under both majorities. */
async function settleJoint(c: Controller, ports: Ports, joint: Voters, disk: string, number: number): Promise<Outcome<void>> {
  for (let i = 0; (c.value(KEYS.voters)?.place.number ?? 0) < number; i++) {
    if (i > 20) return bad('replace voter', c.name, 'the joint set is not known here yet', 'unknown', 'pending');
    await ports.clock.sleep(c.bounds.renew);
  }
  const place = c.value(KEYS.voters)!.place;
  if (place.number !== number) return bad('replace voter', c.name, 'another change came first', 'refused', 'conflict');
  const votes = new Map<string, Vote>();
  const keys = new Set<string>();
  async function gather(v: Voter): Promise<Outcome<{ disk: string }>> {
    const [f] = open(await c.askVoter(v, 'effect', { key: KEYS.voters, epoch: place.epoch, by: place.by, number, within: c.bounds.effect }, c.bounds.effect * 1.1));
    if (f) return Left(f);
    let at = '';
    for (const begins of piles()) {
      const [g, r] = open(await c.askVoter(v, 'held', { begins }, c.bounds.ask));
      if (g) return Left(g);
      const held = r as { disk: string; votes: Vote[]; keys: string[] };
      for (const x of held.votes) votes.set(x.key, x);
      for (const k of held.keys) keys.add(k);
      at = held.disk;
    }
    return Right({ disk: at });
  }
  const [f] = open(await poll({ now: joint.now }, gather));
  if (f) return Left({ ...f, step: 'gather from the old set' });
  const target = allVoters(joint).find(isTarget)!;
  function isTarget(x: Voter): boolean {
    return x.disk === disk;
  }
  const byPile = new Map<string, Vote[]>();
  for (const x of votes.values()) byPile.set(x.key.slice(0, 2), [...(byPile.get(x.key.slice(0, 2)) ?? []), x]);
  for (const pile of byPile.values()) {
    const [g] = open(await c.askVoter(target, 'copy', pile, c.bounds.effect));
    if (g) return Left(g);
  }
  for (const key of keys) {
    if (key === KEYS.voters) continue;
    c.owner.disown(key);
    const [g] = open(await c.owner.own(key));
    if (g) return Left(makeFault(`carry ${key} over`, g.peer, g.why, 'unknown', g.code));
  }
  return Right(undefined);
}
