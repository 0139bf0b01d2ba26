/** Applications that call the system for coordination: each in its zone, at the nearest control address first. */

import { AddCall, AddOutcome, TallyAdd } from './apart-records';
import { callFollowing, ControlAnswer, ControlCall } from './control-calls';
import { Ground } from './ground';
import { CoreNode } from './site';

/** How applications behave. */
export interface ApplicationWays {
  /** Zones in the order of their nearness to each other. */
  zones: readonly string[];
  nodes: readonly CoreNode[];
  tallies: number;
  /** Calls a second of all of them together. */
  perS: number;
  /** The life of the process that answers at an IP number. */
  lifeOf: (ip: string) => number;
  /** Whether a zone reaches another one. */
  reaches: (from: string, to: string) => boolean;
}

/** After so much silence a call goes on at another address. */
const SILENCE_MS = 1000;
/** A call is made at so many addresses at the most. */
const MOST_CALLS = 4;
const CALL_PAUSE_MS = 50;
/** The share of calls that add; the others read. */
const ADD_SHARE = 0.6;
const MOST_ACTOR = 5;
const ID_DIGITS = 16;
/** The life that a call is noted with where the process changed meanwhile. */
const UNKNOWN_LIFE = -1;

const PROMISES = new Set([429, 503]);

function isSuccess({ status }: ControlAnswer): boolean {
  return status >= 200 && status < 300;
}

/** Whether a call goes on elsewhere: a failure, a 5xx or a 429. */
function goesOn({ status }: ControlAnswer): boolean {
  return status === 0 || status >= 500 || status === 429;
}

function outcomeOf(answer: ControlAnswer): AddOutcome {
  if (isSuccess(answer)) return 'acked';
  const isPromise = PROMISES.has(answer.status) || !goesOn(answer);
  return isPromise ? 'refused' : 'unclear';
}

function totalOf({ body }: ControlAnswer): number | undefined {
  try {
    const { total } = JSON.parse(body) as { total?: unknown };
    return typeof total === 'number' ? total : undefined;
  } catch {
    return undefined;
  }
}

/** The applications of a day. */
export class Applications {
  constructor(
    private readonly ground: Ground,
    private readonly ways: ApplicationWays,
  ) {}

  /** Calls at the rate for as long as said; comes once all calls have ended. */
  async run(forMs: number): Promise<void> {
    const { clock, dice } = this.ground;
    const end = clock.now() + forMs;
    const running: Promise<void>[] = [];
    while (clock.now() < end) {
      running.push(dice.next() < ADD_SHARE ? this.add() : this.read());
      await clock.sleep(((0.5 + dice.next()) * 1000) / this.ways.perS);
    }
    await Promise.all(running);
  }

  /** Reads every tally at the end of a day, again and again for the time. */
  async readEnds(withinMs: number): Promise<void> {
    const ends: Promise<void>[] = [];
    for (let i = 0; i < this.ways.tallies; i++) ends.push(this.readEnd(tallyName(i), withinMs));
    await Promise.all(ends);
  }

  private async add(): Promise<void> {
    const { dice, book } = this.ground;
    const add: TallyAdd = {
      tally: this.drawnTally(),
      instanceId: this.drawnId(),
      actor: 1 + Math.floor(dice.next() * MOST_ACTOR),
      calls: [],
    };
    book.adds.set(add.instanceId, add);
    const { instanceId, actor } = add;
    const path = `/api/Tallies.Update/${add.tally}`;
    const request = { method: 'POST', path, body: JSON.stringify({ instanceId, actor }) };
    for await (const node of this.nodesToCall()) {
      const answer = await this.addAt(node, request, add);
      if (!goesOn(answer)) return;
      await this.ground.clock.sleep(CALL_PAUSE_MS);
    }
  }

  private async addAt(node: CoreNode, request: ControlCall, add: TallyAdd): Promise<ControlAnswer> {
    const { clock } = this.ground;
    const call: AddCall = {
      node: node.ip,
      life: this.ways.lifeOf(node.ip),
      sentAt: clock.now(),
      outcome: 'open',
    };
    add.calls.push(call);
    const answer = await callFollowing(node.control, request, SILENCE_MS);
    call.outcome = outcomeOf(answer);
    if (call.outcome === 'acked') call.ackAt = clock.now();
    if (this.ways.lifeOf(node.ip) !== call.life) call.life = UNKNOWN_LIFE;
    return answer;
  }

  private async read(): Promise<void> {
    const tally = this.drawnTally();
    for await (const node of this.nodesToCall()) {
      const answer = await this.readAt(node, tally);
      if (!goesOn(answer)) return;
      await this.ground.clock.sleep(CALL_PAUSE_MS);
    }
  }

  private async readAt(node: CoreNode, tally: string): Promise<ControlAnswer> {
    const { clock, book } = this.ground;
    const sentAt = clock.now();
    const life = this.ways.lifeOf(node.ip);
    const answer = await callFollowing(node.control, describe(tally), SILENCE_MS);
    const total = isSuccess(answer) ? totalOf(answer) : undefined;
    if (total === undefined || this.ways.lifeOf(node.ip) !== life) return answer;
    book.tallyReads.push({ tally, node: node.ip, life, sentAt, endedAt: clock.now(), total });
    return answer;
  }

  private async readEnd(tally: string, withinMs: number): Promise<void> {
    const { clock, book } = this.ground;
    const end = clock.now() + withinMs;
    const { nodes } = this.ways;
    for (let i = 0; clock.now() < end; i++) {
      const at = clock.now();
      const answer = await callFollowing(
        nodes[i % nodes.length].control,
        describe(tally),
        SILENCE_MS,
      );
      const total = isSuccess(answer) ? totalOf(answer) : undefined;
      if (total !== undefined) return void book.tallyEnds.push({ tally, at, total });
      await clock.sleep(CALL_PAUSE_MS);
    }
    book.tallyEnds.push({ tally, at: clock.now() });
  }

  /** The nodes that a call of one application goes to in turn; one that is out of reach costs a silence. */
  private async *nodesToCall(): AsyncGenerator<CoreNode> {
    const { clock, dice } = this.ground;
    const { zones, reaches } = this.ways;
    const zone = zones[Math.floor(dice.next() * zones.length)];
    const order = this.nearestFirst(zone);
    for (let i = 0; i < MOST_CALLS; i++) {
      const node = order[i % order.length];
      if (reaches(zone, node.zone)) yield node;
      else await clock.sleep(SILENCE_MS);
    }
  }

  private nearestFirst(zone: string): CoreNode[] {
    const { zones, nodes } = this.ways;
    const here = zones.indexOf(zone);
    function distance(node: CoreNode): number {
      return (zones.indexOf(node.zone) - here + zones.length) % zones.length;
    }
    function nearer(a: CoreNode, b: CoreNode): number {
      return distance(a) - distance(b);
    }
    return [...nodes].sort(nearer);
  }

  private drawnTally(): string {
    return tallyName(Math.floor(this.ground.dice.next() * this.ways.tallies));
  }

  private drawnId(): string {
    let id = '';
    while (id.length < ID_DIGITS) id += Math.floor(this.ground.dice.next() * 16).toString(16);
    return id;
  }
}

function tallyName(i: number): string {
  return `t${i}`;
}

function describe(tally: string): ControlCall {
  return { method: 'GET', path: `/api/Tallies.Describe/${tally}` };
}
