import { Right } from 'purify-ts';
import { field, Handled, message } from '../shared/edge';
import { bad, open, Outcome } from '../shared/errors';
import { Ports } from '../shared/ports';
import { isVoter, Voters } from '../shared/words';
import { Group, makeGroup } from './group';
import { frame, Slots, unframe } from './slots';

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

class RunTell {
  @field('string') key!: string;
  @field('string') run!: string;
  @field('string') state!: RunState | 'released';
}

function byGen(a: { gen: number }, b: { gen: number }): number {
  return a.gen - b.gen;
}

/** First-come votes for idempotency keys, synced before they are told; three files written in turn. */
export class Votes {
  private now = new Map<string, Vote>();
  private before = new Map<string, Vote>();
  private file = 0;
  private gen = 0;
  private turnedAt: number;
  private torn = false;
  private readonly group: Group<object>;

  constructor(private readonly slots: Slots, private readonly ports: Ports, private readonly voters: () => Voters | undefined, private readonly keep: number) {
    this.turnedAt = ports.clock.now();
    this.group = makeGroup(this.writeBatch.bind(this), this.isTorn.bind(this));
  }

  private isTorn(): boolean {
    return this.torn;
  }

  /** Reads the files, oldest first, and starts a new one, so that a torn tail is never written on. */
  async begin(): Promise<Outcome<void>> {
    const found: { i: number; gen: number; lines: { gen?: number; vote?: Vote; gone?: string }[] }[] = [];
    for (const i of FILES) {
      const [f, bytes] = open(await this.ports.disk.read(`votes-${i}`));
      if (f) return bad(f.step, f.peer, f.why, f.sort, f.code);
      const lines = (bytes ? unframe(bytes).values : []) as { gen?: number; vote?: Vote; gone?: string }[];
      found.push({ i, gen: lines[0]?.gen ?? 0, lines });
    }
    found.sort(byGen);
    for (const x of found) {
      for (const l of x.lines) {
        if (l.vote) this.now.set(l.vote.key, l.vote);
        if (l.gone) this.now.delete(l.gone);
      }
      this.file = x.i;
      this.gen = x.gen;
    }
    this.torn = (await this.turn(this.now)).isLeft();
    return Right(undefined);
  }

  private async turn(carried: Map<string, Vote>): Promise<Outcome<void>> {
    const to = (this.file + 1) % FILES.length;
    const lines: Uint8Array[] = [frame({ gen: this.gen + 1 })];
    for (const vote of carried.values()) lines.push(frame({ vote }));
    const [f] = open(await this.ports.disk.write(`votes-${to}`, Buffer.concat(lines)));
    if (f) return bad(f.step, f.peer, f.why, f.sort, f.code);
    this.file = to;
    this.gen++;
    this.turnedAt = this.ports.clock.now();
    return Right(undefined);
  }

  /** Every vote that is kept. */
  all(): Vote[] {
    return [...new Map([...this.before, ...this.now]).values()];
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
    const o = await this.ports.disk.append(`votes-${this.file}`, Buffer.concat(lines.map(frame)));
    if (o.isLeft()) this.torn = true;
    return o;
  }

  /** Gives this disk's vote to the first run that asks; later ones are told which run has it. */
  @message('vote', VoteAsk)
  async vote(m: VoteAsk): Handled {
    if (!isVoter(this.voters(), this.slots.disk)) return bad('vote', this.slots.disk, 'not a voter', 'refused', 'no-voter');
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
    return f ? bad('note run', this.slots.disk, f.why, 'failed', f.code) : Right({ disk: this.slots.disk });
  }

  /** Gives all that a disk which is to become a voter must hold: the votes, and the names of the keys. */
  @message('held')
  async held(): Handled {
    return Right({ disk: this.slots.disk, votes: this.all(), keys: [...this.slots.cells.keys()] });
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
