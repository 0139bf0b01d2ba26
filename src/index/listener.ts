import { Stream as Feed } from 'most';
import { EventBatch, EventsReply } from '../shared/contracts/engine';
import { errorOrValue } from '../shared/errors/errors';
import { makePushStream } from '../shared/util/push-stream';
import { Ports } from '../shared/ports/ports';
import { TimeLimits } from '../shared/settings/time-limits';
import { Registration, Sources } from './sources';

/** Where a listener stands. */
export interface ListenerView {
  id: string;
  kind: string;
  at: string;
  status: 'pending' | 'active' | 'paused' | 'failed';
  lastError?: string;
  epoch: string;
  lastSeq: number;
  gaps: number;
  repaired: number;
}

/** How far a source has been heard; it outlives unregistering. */
export interface Heard {
  epoch: string;
  seq: number;
}

/** A listener of one source. */
export interface Listener {
  reg: Registration;
  pulls: Feed<EventsReply>;
  view: () => { status: ListenerView['status']; lastError?: string };
  /** Whether its last call reached the source, or none has failed yet. */
  reached: () => boolean;
  stop: () => void;
}

/** Pulls one source's events for as long as it is registered, one task for each. */
export function listenTo(
  ports: Ports,
  bounds: TimeLimits,
  sources: Sources,
  reg: Registration,
  from: Heard,
  gateOpen: () => boolean,
  onLong: () => void,
): Listener {
  const hand = makePushStream<EventsReply>();
  const gone = new AbortController();
  let stopped = false;
  let epoch = from.epoch;
  let after = from.seq;
  let connected = false;
  let lastError: string | undefined;
  let failedAt: number | undefined;
  let unreached = false;

  async function pull(): Promise<void> {
    while (!stopped) {
      const [f, r] = errorOrValue(await sources.pull(reg, epoch, after, gone.signal));
      if (stopped) return;
      if (f) {
        lastError = `${f.step}: ${f.reason}`;
        failedAt = failedAt ?? ports.clock.now();
        unreached = f.code !== 'bad-return';
        if (ports.clock.now() - failedAt > bounds.feedPollMs * 0.3) onLong();
        await ports.clock.sleep(bounds.retryPauseMs * (0.5 + ports.random.next()));
        continue;
      }
      connected = true;
      lastError = undefined;
      failedAt = undefined;
      unreached = false;
      if (r.epoch !== epoch) {
        const anew = sources.asksAnew && after > 0;
        epoch = r.epoch;
        after = 0;
        if (anew) {
          hand.push({ epoch, lost: false, last: 0, batches: [] });
          continue;
        }
      }
      for (const b of r.batches) after = Math.max(after, b.seq);
      if (r.batches.length === 0 || sources.asksAnew) after = Math.max(after, r.last);
      hand.push(r);
      if (sources.gatherMs > 0)
        await ports.clock.sleep(sources.gatherMs * (0.8 + 0.4 * ports.random.next()));
    }
  }

  function view(): { status: ListenerView['status']; lastError?: string } {
    if (reg.paused) return { status: 'paused' };
    if (lastError !== undefined && connected) return { status: 'failed', lastError };
    return { status: connected && gateOpen() ? 'active' : 'pending', lastError };
  }

  function reached(): boolean {
    return !unreached;
  }

  function stop(): void {
    stopped = true;
    gone.abort();
    hand.end();
  }

  if (!reg.paused) void pull();
  return { reg, pulls: hand.stream, view, reached, stop };
}

/** The newest batches of a source, kept for peers that missed some. */
export interface BatchRing {
  add: (epoch: string, b: EventBatch) => void;
  between: (epoch: string, from: number, to: number) => EventBatch[];
}

/** Makes a ring of batches. */
export function makeRing(most: number): BatchRing {
  let held: EventBatch[] = [];
  let of = '';
  function add(epoch: string, b: EventBatch): void {
    if (epoch !== of) held = [];
    of = epoch;
    held.push(b);
    if (held.length > most * 1.5) held = held.slice(-most);
  }
  function between(epoch: string, from: number, to: number): EventBatch[] {
    function inside(b: EventBatch): boolean {
      return b.seq >= from && b.seq <= to;
    }
    return epoch === of ? held.filter(inside) : [];
  }
  return { add, between };
}
