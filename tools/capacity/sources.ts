import { EventBatch, BlockEvent } from '../../src/shared/contracts/engine';
import {
  sendJson,
  httpHandler,
  makeRequestListener,
} from '../../src/shared/transport/http-handlers';
import { Result } from '../../src/shared/errors/errors';
import { IncomingRequest, Listener } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';

/** How a hollow source of kept parts behaves: it keeps `holds` parts, and then stores and drops at its pace. */
export interface SourceWays {
  id: string;
  at: string;
  model: string;
  salt: string;
  holds: number;
  eventsPerS: number;
}

/** Parts of one prompt. */
export const CHAIN = 20;
/** Tokens of a part. */
const PART = 64;
/** Events of one batch: a prompt stored and, once all room is taken, one dropped. */
const BATCH = CHAIN * 2;
/** Batches of one return at the most. */
const MOST = 64;

/** The hash of a part of a hollow source's n-th prompt; it is as long as a real one. */
export function hollowHash(id: string, n: number, i: number): string {
  return `${id.padStart(6, '0').slice(-6)}${n.toString(16).padStart(7, '0')}${i.toString(16).padStart(3, '0')}`;
}

/** A hollow engine or store: no request runs there, its parts are made up as they are asked for. */
class SourceEdge {
  private readonly began: number;
  private readonly filled: number;

  constructor(
    private readonly ports: Ports,
    private readonly w: SourceWays,
  ) {
    this.began =
      ports.clock.now() -
      (w.eventsPerS > 0 ? ports.random.next() * (BATCH / w.eventsPerS) * 1000 : 0);
    this.filled = Math.ceil(w.holds / CHAIN);
  }

  private last(): number {
    return (
      this.filled +
      Math.floor(((this.ports.clock.now() - this.began) / 1000) * (this.w.eventsPerS / BATCH))
    );
  }

  private prompt(kind: 'stored' | 'removed', n: number): BlockEvent[] {
    const out: BlockEvent[] = [];
    const { id, model, salt } = this.w;
    for (let i = 0; i < CHAIN; i++)
      out.push({
        kind,
        model,
        weights: 'w1',
        salt,
        parent: i === 0 ? model : hollowHash(id, n, i - 1),
        hash: hollowHash(id, n, i),
        size: PART,
      });
    return kind === 'stored' ? out : out.reverse();
  }

  private batch(seq: number): EventBatch {
    const dropped = seq > this.filled ? this.prompt('removed', seq - this.filled) : [];
    return { seq, events: [...this.prompt('stored', seq), ...dropped] };
  }

  /** Gives the batches after a number, or holds the call. */
  @httpHandler('GET', '/api/kv-events')
  async events(call: IncomingRequest): Promise<void> {
    const after = Number(call.query.get('after') ?? 0);
    const until = this.ports.clock.now() + Number(call.query.get('wait') ?? 1000);
    const pace =
      this.w.eventsPerS > 0 ? Math.max(100, (BATCH / this.w.eventsPerS) * 1000) : Infinity;
    while (this.last() <= after && !call.aborted.aborted && this.ports.clock.now() < until)
      await this.ports.clock.sleep(Math.min(pace, until - this.ports.clock.now()));
    const batches: EventBatch[] = [];
    for (let n = after + 1; n <= this.last() && batches.length < MOST; n++)
      batches.push(this.batch(n));
    sendJson(call, 200, {
      epoch: this.w.id,
      lost: false,
      last: batches.length > 0 ? batches[batches.length - 1].seq : after,
      batches,
    });
  }

  /** Says that it has room. */
  @httpHandler('GET', '/api/status')
  status(call: IncomingRequest): Promise<void> {
    sendJson(call, 200, {
      id: this.w.id,
      model: this.w.model,
      weights: 'w1',
      running: 1,
      waiting: 0,
      batch: 16,
      queue: 16,
      unreadTokens: 100,
      leaving: false,
    });
    return Promise.resolve();
  }
}

/** Starts a hollow source. */
export function startSource(ports: Ports, w: SourceWays): Promise<Result<Listener>> {
  return ports.network.serveHttp(
    w.at,
    makeRequestListener([new SourceEdge(ports, w)], ports.logger),
  );
}
