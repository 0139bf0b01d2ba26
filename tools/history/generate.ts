/** Random histories of a register that is right, for tests of the checker. */
import { HistoryCall } from '../../src/shared/history/calls';
import { RandomSource } from '../../src/shared/ports/random';
import { seededDice } from '../sim/dice';

/** How a random history is made. */
export interface Generation {
  seed: number;
  /** Calls under way at once. */
  clients: number;
  calls: number;
  /** The share of calls whose answer is lost. */
  lost: number;
}

interface Order {
  name: string;
  base: number;
  revision: number;
  hash: string;
}

interface Event {
  at: number;
  run: () => void;
}

const KEY = 'deployment';
const READ_SHARE = 0.3;
const STALE_SHARE = 0.2;
const LONGEST_STEP_MS = 20;
const LONGEST_DELAY_MS = 60;

/** Runs what is due in the order of its times. */
function makeAgenda(): {
  now: () => number;
  after: (ms: number, run: () => void) => void;
  run: () => void;
} {
  const events: Event[] = [];
  let time = 0;
  function now(): number {
    return time;
  }
  function after(ms: number, run: () => void): void {
    const event = { at: time + ms, run };
    let index = events.length;
    while (index > 0 && events[index - 1].at <= event.at) index--;
    events.splice(index, 0, event);
  }
  function run(): void {
    while (events.length > 0) {
      const event = events.pop()!;
      time = event.at;
      event.run();
    }
  }
  return { now, after, run };
}

/** Makes a history by clients that call a register at random moments. Each call has its effect once, between its start and its end; one whose answer is lost may have it later, or never. */
export function generateHistory(way: Generation): HistoryCall[] {
  const dice: RandomSource = seededDice(way.seed);
  const agenda = makeAgenda();
  const calls: HistoryCall[] = [];
  const taken = new Set<string>();
  let register = { revision: 0, hash: '' };
  let highest = 0;
  let begun = 0;

  function step(): number {
    return dice.next() * LONGEST_STEP_MS;
  }

  /** The register's answer to a change; a change that was taken is known again. */
  function apply(order: Order): 'ok' | 'refused' {
    if (taken.has(order.name)) return 'ok';
    if (register.revision !== order.base) return 'refused';
    register = { revision: order.revision, hash: order.hash };
    taken.add(order.name);
    return 'ok';
  }

  function record(client: string, start: number, order: Order, fields: object): void {
    calls.push({
      key: KEY,
      kind: 'replace',
      client,
      order: order.name,
      start,
      end: agenda.now(),
      answer: 'ok',
      base: order.base,
      revision: order.revision,
      hash: order.hash,
      line: 0,
      ...fields,
    });
  }

  function drawOrder(client: string): Order {
    highest += 1 + Math.floor(dice.next() * 3);
    const isStale = dice.next() < STALE_SHARE;
    const base = isStale ? Math.floor(register.revision * dice.next()) : register.revision;
    return { name: `${client}:${begun}`, base, revision: highest, hash: `h${highest}` };
  }

  function sendChange(client: string, order: Order, next: () => void): void {
    const start = agenda.now();
    begun++;
    const isLost = dice.next() < way.lost;
    if (isLost) {
      if (dice.next() < 0.5) agenda.after(dice.next() * LONGEST_DELAY_MS, lateEffect);
      agenda.after(step(), giveUp);
    } else agenda.after(step(), effect);

    function lateEffect(): void {
      apply(order);
    }
    function giveUp(): void {
      record(client, start, order, { answer: 'unknown' });
      if (dice.next() < 0.7) agenda.after(step(), again);
      else agenda.after(step(), next);
    }
    function again(): void {
      sendChange(client, order, next);
    }
    function effect(): void {
      const answer = apply(order);
      agenda.after(step(), end);
      function end(): void {
        record(client, start, order, {
          answer,
          reason: answer === 'refused' ? 'conflict' : undefined,
        });
        agenda.after(step(), next);
      }
    }
  }

  function read(client: string, next: () => void): void {
    const start = agenda.now();
    const name = `${client}:${begun++}`;
    agenda.after(step(), look);
    function look(): void {
      const { revision, hash } = register;
      agenda.after(step(), end);
      function end(): void {
        record(client, start, { name, base: 0, revision, hash }, { kind: 'read' });
        agenda.after(step(), next);
      }
    }
  }

  function startClient(index: number): void {
    const client = `client-${index}`;
    function next(): void {
      if (begun >= way.calls) return;
      if (dice.next() < READ_SHARE) read(client, next);
      else sendChange(client, drawOrder(client), next);
    }
    agenda.after(step(), next);
  }

  for (let index = 0; index < way.clients; index++) startClient(index);
  agenda.run();
  return withLines(calls);
}

function withLines(calls: HistoryCall[]): HistoryCall[] {
  function numbered(call: HistoryCall, index: number): HistoryCall {
    return { ...call, line: index + 1, hash: call.hash === '' ? undefined : call.hash };
  }
  return calls.map(numbered);
}
