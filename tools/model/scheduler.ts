/** The schedule of a modelled world: which events are enabled, and which of them is run next. */
import { createHash } from 'node:crypto';

/** Progress is what a calm system does by itself; recovery ends a fault; a timer that rings before all else is done is late news, and budgeted as faults are. */
export type EventClass = 'progress' | 'recovery' | 'timer' | 'fault';

/** One step that the scheduler may take. */
export interface ModelEvent {
  class: EventClass;
  /** Events of one kind share a part of the random choices. */
  kind: string;
  label: string;
  run: () => void;
}

/** The process on which an event takes place. */
export interface Host {
  life: number;
  frozen: boolean;
  /** A digest of everything that this life has been told so far. */
  history: string;
}

interface Pending {
  event: ModelEvent;
  host: Host;
  life: number;
  content: string;
}

/** The pending events of one run. */
export interface Scheduler {
  /** Adds an event on a host; what comes back removes it. */
  add: (host: Host, event: ModelEvent, content?: unknown) => () => void;
  /** What the hosts may do next, in the order of arrival. */
  enabled: () => ModelEvent[];
  /** The labels and contents of all pending events, for the digest of a state. */
  describe: () => string[];
}

/** Digests text. */
export function digest(text: string): string {
  return createHash('sha1').update(text).digest('base64');
}

/** Makes an empty scheduler; `view` tells what every host sees of the others at any time. */
export function makeScheduler(view: () => string): Scheduler {
  const pending = new Set<Pending>();

  function add(host: Host, event: ModelEvent, content?: unknown): () => void {
    const text = content === undefined ? '' : JSON.stringify(content);
    const entry: Pending = { event, host, life: host.life, content: text };
    pending.add(entry);
    function remove(): void {
      pending.delete(entry);
    }
    return remove;
  }

  function runOf(entry: Pending): ModelEvent {
    function run(): void {
      pending.delete(entry);
      const { host, event, content } = entry;
      host.history = digest(`${host.history}\n${event.label}\n${content}\n${view()}`);
      event.run();
    }
    return { ...entry.event, run };
  }

  function enabled(): ModelEvent[] {
    const list: ModelEvent[] = [];
    for (const entry of pending) {
      if (entry.life !== entry.host.life) pending.delete(entry);
      else if (!entry.host.frozen) list.push(runOf(entry));
    }
    return list;
  }

  function describe(): string[] {
    const list: string[] = [];
    for (const { event, host, life, content } of pending)
      if (host.life === life) list.push(`${event.label} ${content}`);
    return list.sort();
  }

  return { add, enabled, describe };
}

/** Comes back once no promise can go on without a further event: ticks come after all microtasks. */
export async function drainMicrotasks(): Promise<void> {
  function wait(done: () => void): void {
    process.nextTick(done);
  }
  await Promise.resolve();
  await new Promise<void>(wait);
}
