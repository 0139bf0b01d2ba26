import { bodyField } from '../shared/transport/body-fields';
import {
  sendJson,
  httpHandler,
  readBodyAs,
  makeRequestListener,
} from '../shared/transport/http-handlers';
import { Result } from '../shared/errors/errors';
import { IncomingRequest, Listener } from '../shared/ports/network';
import { Ports } from '../shared/ports/ports';
import { Indexer } from './indexer';
import { partsOf, QueryAsk } from './messages';

class HashAsk {
  @bodyField('string') model!: string;
  @bodyField('string') salt!: string;
  @bodyField('string') weights!: string;
  @bodyField('list') hashes!: string[];
}

/** The index's HTTP interface. */
export class IndexApi {
  constructor(private readonly ix: Indexer) {}

  /** Tells per source how many tokens of a prompt match: text, token ids or parts. */
  @httpHandler('POST', '/query')
  async query(call: IncomingRequest): Promise<void> {
    const q = await readBodyAs(call, QueryAsk, this.ix.settings.bodyMostBytes, 'query');
    if (!q) return;
    sendJson(call, 200, { scores: this.ix.query(q), parts: partsOf(q).length });
  }

  /** The same for part hashes; sizes are those that the trees know. */
  @httpHandler('POST', '/query_by_hash')
  async queryByHash(call: IncomingRequest): Promise<void> {
    const q = await readBodyAs(call, HashAsk, this.ix.settings.bodyMostBytes, 'query by hash');
    if (!q) return;
    function part(hash: string): { hash: string; size: number } {
      return { hash, size: 0 };
    }
    sendJson(call, 200, {
      scores: this.ix.query({
        model: q.model,
        salt: q.salt,
        weights: q.weights,
        parts: q.hashes.map(part),
      }),
      parts: q.hashes.length,
    });
  }

  /** The whole of the trees as events. */
  @httpHandler('GET', '/dump')
  async dump(call: IncomingRequest): Promise<void> {
    sendJson(call, 200, this.ix.dump());
  }

  /** The listeners and where they stand. */
  @httpHandler('GET', '/listeners')
  async listeners(call: IncomingRequest): Promise<void> {
    sendJson(call, 200, { gateOpen: this.ix.gateOpen(), listeners: this.ix.listeners() });
  }

  /** Whether the gate is open. */
  @httpHandler('GET', '/healthz')
  async health(call: IncomingRequest): Promise<void> {
    sendJson(call, this.ix.gateOpen() ? 200 : 503, { ok: this.ix.gateOpen() });
  }

  /** Figures in the text form that collectors read. */
  @httpHandler('GET', '/metrics')
  async metrics(call: IncomingRequest): Promise<void> {
    const rows = [
      `plumhollow_index_parts ${this.ix.trees.size()}`,
      `plumhollow_index_evicted_total ${this.ix.trees.evicted()}`,
    ];
    for (const [k, v] of Object.entries(this.ix.counts))
      rows.push(`plumhollow_index_${k.replace(/[A-Z]/g, '_$&').toLowerCase()}_total ${v}`);
    const by = new Map<string, number>();
    for (const l of this.ix.listeners()) by.set(l.status, (by.get(l.status) ?? 0) + 1);
    for (const [k, v] of by) rows.push(`plumhollow_index_listeners{status="${k}"} ${v}`);
    call.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    call.end(rows.join('\n') + '\n');
  }
}

/** Serves the index's HTTP interface. */
export function serveIndex(ix: Indexer, ports: Ports): Promise<Result<Listener>> {
  return ports.network.serveHttp(
    ix.settings.http,
    makeRequestListener([new IndexApi(ix)], ports.logger),
  );
}
