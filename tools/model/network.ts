/** Requests between modelled processes: each request, answer, loss, duplicate and time-out is an event. */
import { Left } from 'purify-ts';
import { makeError, Result } from '../../src/shared/errors/errors';
import { notConnected } from '../../src/shared/transport/peer-channel';
import { Host, ModelEvent, Scheduler } from './scheduler';

/** A process that sends and takes requests. */
export interface Endpoint extends Host {
  name: string;
  serving: boolean;
  /** Requests that it has sent in this life. */
  sent: number;
  handle: (type: string, body: unknown) => Promise<Result<unknown>>;
}

interface Call {
  from: Endpoint;
  to: Endpoint;
  toLife: number;
  fromLife: number;
  label: string;
  /** Takes the message that is on its way off the network. */
  drop?: () => void;
  duplicate?: () => void;
  settle: (o: Result<unknown>) => void;
}

/** The network of one world. */
export interface Network {
  ask: (from: Endpoint, to: Endpoint, type: string, body: unknown) => Promise<Result<unknown>>;
  /** Ends the connections of a process that has died, at the other ends. */
  broken: (to: Endpoint) => void;
  /** Whether a process can reach another. */
  isUp: (from: Endpoint, to: Endpoint) => boolean;
  cut: (a: Endpoint, b: Endpoint) => void;
  heal: () => void;
  cuts: () => string[];
  /** Losses and duplicates that may happen now. */
  losses: () => ModelEvent[];
  duplicates: () => ModelEvent[];
}

function linkName(a: Endpoint, b: Endpoint): string {
  return [a.name, b.name].sort().join('-');
}

function copyOf<T>(value: T): T {
  return value === undefined ? value : structuredClone(value);
}

function copyOutcome(o: Result<unknown>): Result<unknown> {
  return o.bimap(copyOf, copyOf);
}

/** Makes a network without cuts. */
export function makeNetwork(scheduler: Scheduler): Network {
  const calls = new Set<Call>();
  const cutLinks = new Set<string>();

  function isUp(from: Endpoint, to: Endpoint): boolean {
    return to.serving && !cutLinks.has(linkName(from, to));
  }

  function ask(
    from: Endpoint,
    to: Endpoint,
    type: string,
    body: unknown,
  ): Promise<Result<unknown>> {
    if (!isUp(from, to)) return Promise.resolve(Left(notConnected(type, to.name)));
    const label = `${from.name}.${from.life} ${type} #${++from.sent} to ${to.name}`;
    function wait(done: (o: Result<unknown>) => void): void {
      send(from, to, type, copyOf(body), label, done);
    }
    return new Promise(wait);
  }

  function send(
    from: Endpoint,
    to: Endpoint,
    type: string,
    body: unknown,
    label: string,
    done: (o: Result<unknown>) => void,
  ): void {
    const call: Call = { from, to, toLife: to.life, fromLife: from.life, label, settle };
    calls.add(call);
    const dropTimer = scheduler.add(from, {
      class: 'timer',
      kind: 'time-out',
      label: `time-out of ${label}`,
      run: timeOut,
    });
    function settle(o: Result<unknown>): void {
      calls.delete(call);
      call.drop?.();
      dropTimer();
      done(o);
    }
    function timeOut(): void {
      settle(Left(makeError(type, to.name, 'no answer in time', 'unknown', 'timeout')));
    }
    function answer(o: Result<unknown>): void {
      if (!calls.has(call)) return;
      const copy = copyOutcome(o);
      function arrive(): void {
        settle(copy);
      }
      call.drop = scheduler.add(
        from,
        { class: 'progress', kind: 'answer', label: `answer to ${label}`, run: arrive },
        copy.extract(),
      );
    }
    function deliver(): void {
      call.drop = undefined;
      call.duplicate = undefined;
      void to.handle(type, copyOf(body)).then(answer);
    }
    call.drop = scheduler.add(
      to,
      { class: 'progress', kind: 'request', label: `request ${label}`, run: deliver },
      body,
    );
    call.duplicate = duplicate;
    function duplicate(): void {
      function again(): void {
        void to.handle(type, copyOf(body));
      }
      scheduler.add(
        to,
        { class: 'progress', kind: 'request', label: `duplicate ${label}`, run: again },
        body,
      );
    }
  }

  function broken(to: Endpoint): void {
    for (const call of [...calls]) {
      if (call.from === to) calls.delete(call);
      if (call.from === to || call.to !== to) continue;
      call.drop?.();
      call.duplicate = undefined;
      function end(): void {
        call.settle(Left(makeError(call.label, to.name, 'connection ended', 'unknown', 'ended')));
      }
      call.drop = scheduler.add(call.from, {
        class: 'progress',
        kind: 'ended',
        label: `connection ended for ${call.label}`,
        run: end,
      });
    }
  }

  function cut(a: Endpoint, b: Endpoint): void {
    cutLinks.add(linkName(a, b));
  }

  function heal(): void {
    cutLinks.clear();
  }

  function cuts(): string[] {
    return [...cutLinks].sort();
  }

  function losses(): ModelEvent[] {
    const list: ModelEvent[] = [];
    for (const call of calls) {
      const { drop } = call;
      if (!drop) continue;
      function lose(): void {
        drop!();
        call.drop = undefined;
        call.duplicate = undefined;
      }
      list.push({ class: 'fault', kind: 'loss', label: `loses ${call.label}`, run: lose });
    }
    return list;
  }

  function duplicates(): ModelEvent[] {
    const list: ModelEvent[] = [];
    for (const call of calls)
      if (call.duplicate)
        list.push({
          class: 'fault',
          kind: 'duplicate',
          label: `duplicates ${call.label}`,
          run: call.duplicate,
        });
    return list;
  }

  return { ask, broken, isUp, cut, heal, cuts, losses, duplicates };
}
