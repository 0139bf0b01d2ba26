import { Left, Right } from 'purify-ts';
import { field, Handled, message } from '../../shared/transport/handlers';
import { bad, open, Outcome } from '../../shared/errors/errors';
import { Ports } from '../../shared/ports/ports';
import { isVoter, Voters } from '../../shared/state/words';
import { frame, framesOf, Unframed, unframe } from './frames';
import { Group, makeGroup, untilWritten } from './group-commit';
import { Slots } from './control-store';
import { makeSyncedReader } from './synced-read';

/** What became of the run that holds a key, as far as it was told. */
export type RunState = 'running' | 'done' | 'unknown';

/** A vote: which run may use an idempotency key. */
export interface Vote {
  key: string;
  run: string;
  state: RunState;
}

const FILES = [0, 1, 2];

class VoteAsk {
  @field('string') key!: string;
  @field('string') run!: string;
}

class HeldAsk {
  @field('string') begins!: string;
  @field('boolean', false) some?: boolean;
}

/** Votes that one message carries well. */
const PILE = 500;

class RunTell {
  @field('string') key!: string;
  @field('string') run!: string;
  @field('string') state!: RunState | 'released';
}

interface VoteLine {
  vote?: Vote;
  gone?: string;
}

/** What the three files held. */
export interface KeptVotes {
  votes: Vote[];
  file: number;
  gen: number;
  disk: string;
  spoilt: boolean;
  old?: boolean;
  /** Syncs the files that were read. */
  sync(): Promise<Outcome<void>>;
}

/** A file of votes that was written whole: its head, and the batches behind it. */
interface VotesFile {
  index: number;
  gen: number;
  disk: string;
  batches: VoteLine[][];
}

/** Reads a file; none where it was never written whole, so that the files before it still hold all votes. */
function fileOf(index: number, u: Unframed): VotesFile | undefined {
  const head = u.values[0] as { gen: number; disk: string } | undefined;
  const batches = (u.old ? [u.values.slice(1)] : u.values.slice(1)) as VoteLine[][];
  return head && batches.length > 0 ? { index, ...head, batches } : undefined;
}

function byGen(a: { gen: number }, b: { gen: number }): number {
  return a.gen - b.gen;
}

function asLine(vote: Vote): VoteLine {
  return { vote };
}

/** Reads the files of votes, oldest first, and tells whether synced votes are gone. */
export async function readVotes(ports: Ports): Promise<Outcome<KeptVotes>> {
  const found: VotesFile[] = [];
  const reader = makeSyncedReader(ports.disk);
  let spoilt = false;
  let begunBy: string | undefined;
  for (const index of FILES) {
    const [f, bytes] = open(await reader.read(`votes-${index}`));
    if (f) return Left(f);
    const u = unframe(bytes);
    spoilt ||= u.spoilt;
    begunBy ??= (u.values[0] as { disk?: string } | undefined)?.disk;
    const file = fileOf(index, u);
    if (file) found.push(file);
  }
  found.sort(byGen);
  const votes = new Map<string, Vote>();
  for (const x of found) {
    for (const l of x.batches.flat()) {
      if (l.vote) votes.set(l.vote.key, l.vote);
      if (l.gone) votes.delete(l.gone);
    }
  }
  const last = found[found.length - 1];
  spoilt ||= found.length > 1 && last.gen - found[0].gen !== found.length - 1;
  return Right({
    votes: [...votes.values()],
    file: last?.index ?? 0,
    gen: last?.gen ?? 0,
    disk: last?.disk ?? begunBy ?? '',
    spoilt,
    old: last !== undefined && last.disk === undefined,
    sync: reader.sync,
  });
}

/** First-come votes for idempotency keys, synced before they are told; three files written in turn. */
export class Votes {
  private now = new Map<string, Vote>();
  private before = new Map<string, Vote>();
  private file = 0;
  private gen = 0;
  private turnedAt: number;
  private torn = false;
  private syncRead?: () => Promise<Outcome<void>>;
  private readonly group: Group<object>;

  constructor(
    private readonly slots: Slots,
    private readonly ports: Ports,
    private readonly voters: () => Voters | undefined,
    private readonly keep: number,
  ) {
    this.turnedAt = ports.clock.now();
    this.group = makeGroup(this.writeBatch.bind(this), this.isTorn.bind(this));
  }

  private isTorn(): boolean {
    return this.torn;
  }

  /** Takes what this disk had kept and starts a new file, so that a torn tail is never written on; a disk that takes no write `within` a time is written as soon as it does. */
  async begin(kept: KeptVotes, within = Infinity): Promise<void> {
    if (kept.old || kept.disk === this.slots.disk)
      for (const vote of kept.votes) this.now.set(vote.key, vote);
    this.file = kept.file;
    this.gen = kept.gen;
    this.torn = true;
    this.syncRead = kept.sync;
    await untilWritten(this.ports, within, 'open votes', this.group.settled());
    if (this.torn && within !== Infinity) void this.writeUntilFit(within);
  }

  /** Writes the first file again and again: without one, a disk that holds control keys counts as a new one. */
  private async writeUntilFit(pause: number): Promise<void> {
    while (this.torn) {
      await this.ports.clock.sleep(pause);
      await this.group.settled();
    }
  }

  /** Whether this disk has taken a file of votes, and all that was written since. */
  fit(): boolean {
    return !this.torn;
  }

  /** Writes the next file: its head with the first of the carried votes, then the rest of them, each synced. */
  private async turn(carried: Map<string, Vote>): Promise<Outcome<void>> {
    const synced = (await this.syncRead?.()) ?? Right(undefined);
    if (synced.isLeft()) return synced;
    const to = (this.file + 1) % FILES.length;
    const head = frame({ gen: this.gen + 1, disk: this.slots.disk });
    const [first, ...rest] = framesOf([...carried.values()].map(asLine));
    let written = await this.ports.disk.write(`votes-${to}`, Buffer.concat([head, first]));
    for (const bytes of rest)
      if (written.isRight()) written = await this.ports.disk.append(`votes-${to}`, bytes);
    if (written.isLeft()) return written;
    this.file = to;
    this.gen++;
    this.turnedAt = this.ports.clock.now();
    return Right(undefined);
  }

  private async append(lines: object[]): Promise<Outcome<void>> {
    for (const bytes of framesOf(lines)) {
      const o = await this.ports.disk.append(`votes-${this.file}`, bytes);
      if (o.isLeft()) return o;
    }
    return Right(undefined);
  }

  private find(key: string): Vote | undefined {
    return this.now.get(key) ?? this.before.get(key);
  }

  private async writeBatch(lines: object[]): Promise<Outcome<void>> {
    if (this.torn) {
      const o = await this.turn(new Map([...this.before, ...this.now]));
      this.torn = o.isLeft();
      if (this.torn) return o;
    }
    if (this.ports.clock.now() - this.turnedAt > this.keep) {
      const o = await this.turn(new Map());
      if (o.isLeft()) {
        this.torn = true;
        return o;
      }
      this.before = this.now;
      this.now = new Map();
    }
    if (lines.length === 0) return Right(undefined);
    const o = await this.append(lines);
    if (o.isLeft()) this.torn = true;
    return o;
  }

  /** Gives this disk's vote to the first run that asks; later ones are told which run has it. */
  @message('vote', VoteAsk)
  async vote(m: VoteAsk): Handled {
    if (!isVoter(this.voters(), this.slots.disk))
      return bad('vote', this.slots.disk, 'not a voter', 'refused', 'no-voter');
    const have = this.find(m.key);
    const vote: Vote = have ?? { key: m.key, run: m.run, state: 'running' };
    if (!have) this.now.set(m.key, vote);
    const [f] = open(await (have ? this.group.settled() : this.group.add({ vote })));
    if (f) return bad('vote', this.slots.disk, f.why, 'failed', f.code);
    return Right({ disk: this.slots.disk, run: vote.run, state: vote.state });
  }

  /** Takes what became of a run; one that certainly never ran gives its key back. */
  @message('run', RunTell)
  async run(m: RunTell): Handled {
    const have = this.find(m.key);
    if (have && have.run !== m.run) return Right({ disk: this.slots.disk });
    if (m.state === 'released') {
      this.now.delete(m.key);
      this.before.delete(m.key);
      return this.told({ gone: m.key });
    }
    const vote: Vote = { key: m.key, run: m.run, state: m.state };
    this.now.set(m.key, vote);
    return this.told({ vote });
  }

  private async told(line: object): Handled {
    const [f] = open(await this.group.add(line));
    return f
      ? bad('note run', this.slots.disk, f.why, 'failed', f.code)
      : Right({ disk: this.slots.disk });
  }

  /** Gives a pile of what a disk that is to become a voter must hold: the votes whose key begins so, and the names of the control keys; an asker who wants some only is told where there are more. */
  @message('held', HeldAsk)
  async held(m: HeldAsk): Handled {
    const votes: Vote[] = [];
    for (const kept of [this.before, this.now])
      for (const v of kept.values()) if (v.key.startsWith(m.begins)) votes.push(v);
    const keys = [...this.slots.cells.keys()];
    return Right(
      m.some && votes.length > PILE
        ? { disk: this.slots.disk, votes: [], keys, more: true }
        : { disk: this.slots.disk, votes, keys },
    );
  }

  /** Takes votes that the old set had given; those that stand here stay. */
  @message('copy')
  async copy(votes: Vote[]): Handled {
    const writes: Promise<Outcome<void>>[] = [];
    for (const v of votes) {
      if (this.find(v.key)) continue;
      this.now.set(v.key, v);
      writes.push(this.group.add({ vote: v }));
    }
    for (const o of await Promise.all([...writes, this.group.settled()])) if (o.isLeft()) return o;
    return Right({ disk: this.slots.disk });
  }
}
