import { Right } from 'purify-ts';
import { failure, errorOrValue } from '../shared/errors/errors';
import { bodyField } from '../shared/transport/body-fields';
import { HandlerResult, messageHandler } from '../shared/transport/message-handlers';
import { rankByRendezvousHash } from '../shared/util/hashing';
import { ConnectionPool } from '../shared/transport/connections';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Heard } from './listener';
import { Registration, Sources } from './sources';
import { Rows, Trees } from './tree';

/** Lost numbers are worth a repair from this share of what is kept there on. */
const WORTH = 0.25;
/** Turns after which a source that another replica lists is asked for again. */
const PEER_TURNS = 3;

class WholeAsk {
  @bodyField('string') source!: string;
  @bodyField('string') epoch!: string;
  @bodyField('number') seq!: number;
}

/** What one source keeps, as of a number, as a replica holds it without doubt. */
interface Whole {
  seq: number;
  /** Numbers that it lacks itself. */
  owed: number;
  rows: Rows;
}

/** Brings back what events did not tell of a source. */
export interface Repair {
  /** Numbers of a source were lost; undefined where nobody knows how many. */
  lost: (source: string, numbers: number | undefined) => void;
  /** A source is known anew from its first number. */
  clear: (source: string) => void;
  owed: (source: string) => number;
  /** Lost numbers by source. */
  owedAll: () => [string, number][];
  edge: object;
  counts: { lists: number; fromPeers: number; changed: number };
}

/** What a repair needs of its indexer. */
export interface RepairParts {
  ports: Ports;
  bounds: TimeLimits;
  sources: Sources;
  trees: Trees;
  peers: ConnectionPool;
  /** This replica's own address, by which replicas part sources among them. */
  at: string;
  registration: (source: string) => Registration | undefined;
  heard: (source: string) => Heard | undefined;
  /** Takes what is kept as of a number in one turn, and what was heard after it. */
  adopt: (source: string, epoch: string, seq: number, take: () => void) => void;
}

/** Gives a source's whole to a replica that lost some of it. */
export class WholeEdge {
  constructor(private readonly give: (q: WholeAsk) => Whole | undefined) {}

  /** Refused where this replica is in doubt itself, or behind. */
  @messageHandler('whole', WholeAsk)
  async whole(q: WholeAsk): HandlerResult {
    const w = this.give(q);
    return w
      ? Right(w)
      : failure('whole', q.source, 'in doubt here, or behind', 'refused', 'in-doubt');
  }
}

/** Makes the repairs: one at a time, from a peer or else by the source's own list, and each source seldom. */
export function makeRepair(p: RepairParts): Repair {
  const owing = new Map<string, number>();
  const notBefore = new Map<string, number>();
  const counts = { lists: 0, fromPeers: 0, changed: 0 };
  let running = false;

  function lost(source: string, numbers: number | undefined): void {
    if (!p.sources.list) return;
    owing.set(source, (owing.get(source) ?? 0) + (numbers ?? Math.max(1, p.trees.holding(source))));
    if (!running) void run();
  }

  function clear(source: string): void {
    owing.delete(source);
  }

  function owed(source: string): number {
    return owing.get(source) ?? 0;
  }

  function owedAll(): [string, number][] {
    return [...owing];
  }

  function share(source: string): number {
    const n = owed(source);
    return n / (n + p.trees.holding(source) + 1);
  }

  /** The source that is worth a repair most, and may have one now. */
  function worst(): string | undefined {
    let best: string | undefined;
    for (const s of owing.keys()) {
      if (!p.registration(s) || share(s) < WORTH) continue;
      if ((notBefore.get(s) ?? 0) > p.ports.clock.now()) continue;
      if (best === undefined || share(s) > share(best)) best = s;
    }
    return best;
  }

  function waits(): boolean {
    for (const s of owing.keys()) if (p.registration(s) && share(s) >= WORTH) return true;
    return false;
  }

  async function run(): Promise<void> {
    running = true;
    while (waits()) {
      await p.ports.clock.sleep(p.bounds.repairIntervalMs * (0.5 + p.ports.random.next()));
      const s = worst();
      if (s !== undefined) await mend(s);
    }
    running = false;
  }

  async function mend(source: string): Promise<void> {
    const before = owed(source);
    const left = (await fromPeers(source)) ?? (await byList(source));
    if (left === undefined) {
      if (!mine(source))
        notBefore.set(source, p.ports.clock.now() + p.bounds.repairIntervalMs * PEER_TURNS);
      return;
    }
    notBefore.set(source, p.ports.clock.now() + p.bounds.sourceRepairCooldownMs);
    const since = owed(source) - before + left;
    if (since > 0) owing.set(source, since);
    else owing.delete(source);
  }

  async function fromPeers(source: string): Promise<number | undefined> {
    const h = p.heard(source);
    for (const at of p.peers.peerAddresses()) {
      const ex = p.peers.channelTo(at);
      if (!ex || !h) continue;
      const [f, w] = errorOrValue(
        await ex.request(
          'whole',
          { source, epoch: h.epoch, seq: h.seq },
          p.bounds.requestTimeoutMs,
        ),
      );
      if (f || p.heard(source)?.epoch !== h.epoch) continue;
      const whole = w as Whole;
      p.adopt(source, h.epoch, whole.seq, take);
      function take(): void {
        p.trees.dropSource(source);
        p.trees.takeRows(whole.rows, always);
      }
      counts.fromPeers++;
      return whole.owed;
    }
    return undefined;
  }

  async function byList(source: string): Promise<number | undefined> {
    const reg = p.registration(source);
    if (!reg || !p.sources.list || !mine(source)) return undefined;
    notBefore.set(source, p.ports.clock.now() + p.bounds.sourceRepairCooldownMs);
    counts.lists++;
    const [f, l] = errorOrValue(await p.sources.list(reg));
    if (f) {
      p.ports.logger.warn({ step: f.step, peer: source }, f.reason);
      return undefined;
    }
    if (p.heard(source)?.epoch !== l.epoch) return undefined;
    p.adopt(source, l.epoch, l.seq, take);
    function take(): void {
      counts.changed += p.trees.replace(source, l!.held);
    }
    return 0;
  }

  /** Replicas part the sources among them, so that each list is asked for once. */
  function mine(source: string): boolean {
    const live = [p.at];
    for (const at of p.peers.peerAddresses()) if (p.peers.channelTo(at)) live.push(at);
    return rankByRendezvousHash(source, live)[0] === p.at;
  }

  function always(): boolean {
    return true;
  }

  function give(q: WholeAsk): Whole | undefined {
    const h = p.heard(q.source);
    if (!h || h.epoch !== q.epoch || h.seq < q.seq || share(q.source) >= WORTH) return undefined;
    return { seq: h.seq, owed: owed(q.source), rows: p.trees.rows(q.source) };
  }

  return { lost, clear, owed, owedAll, edge: new WholeEdge(give), counts };
}
