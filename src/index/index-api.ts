/**
 * The index's HTTP interface.
 */

import { memoryRows } from '../shared/limits/pressure-log';
import { Result } from '../shared/errors/errors';
import { IncomingRequest, Listener } from '../shared/ports/network';
import { Ports } from '../shared/ports/ports';
import { bodyField } from '../shared/transport/body-fields';
import {
  httpHandler,
  makeRequestListener,
  readBodyAs,
  sendJson,
} from '../shared/transport/http-handlers';
import { blocksOf, OverlapQuery } from './index-handlers';
import { Indexer } from './indexer';
import { counterRows, METRICS_CONTENT_TYPE } from '../shared/observability/metrics';

/** A query by the hashes of a prompt's blocks. */
class HashQuery {
  @bodyField('string') model!: string;
  @bodyField('string') salt!: string;
  @bodyField('string') weights!: string;
  @bodyField('list') hashes!: string[];
}

/** The size of a block that is named by its hash: the trees know it. */
function blockOfHash(hash: string): { hash: string; size: number } {
  return { hash, size: 0 };
}

/** Handlers of the HTTP interface. */
export class IndexApi {
  constructor(
    private readonly indexer: Indexer,
    private readonly ports: Ports,
  ) {}

  /** Tells per source how many tokens of a prompt match: text, token ids or blocks. */
  @httpHandler('POST', '/query')
  async query(call: IncomingRequest): Promise<void> {
    const { bodyMostBytes } = this.indexer.settings;
    const query = await readBodyAs(call, OverlapQuery, bodyMostBytes, 'query');
    if (!query) return;
    sendJson(call, 200, { scores: this.indexer.query(query), parts: blocksOf(query).length });
  }

  /** The same for the hashes of blocks; sizes are those that the trees know. */
  @httpHandler('POST', '/query_by_hash')
  async queryByHash(call: IncomingRequest): Promise<void> {
    const { bodyMostBytes } = this.indexer.settings;
    const query = await readBodyAs(call, HashQuery, bodyMostBytes, 'query by hash');
    if (!query) return;
    const { model, salt, weights, hashes } = query;
    const parts = hashes.map(blockOfHash);
    sendJson(call, 200, {
      scores: this.indexer.query({ model, salt, weights, parts }),
      parts: hashes.length,
    });
  }

  /** All that is known, as events. */
  @httpHandler('GET', '/dump')
  dump(call: IncomingRequest): Promise<void> {
    sendJson(call, 200, this.indexer.dump());
    return Promise.resolve();
  }

  /** The listeners, how far each has heard its source, and its last error. */
  @httpHandler('GET', '/listeners')
  listeners(call: IncomingRequest): Promise<void> {
    const { indexer } = this;
    const listeners = indexer.listenerViews();
    sendJson(call, 200, { gateOpen: indexer.isReady(), listeners });
    return Promise.resolve();
  }

  /** Whether queries are answered. */
  @httpHandler('GET', '/healthz')
  health(call: IncomingRequest): Promise<void> {
    const ok = this.indexer.isReady();
    sendJson(call, ok ? 200 : 503, { ok });
    return Promise.resolve();
  }

  /** Metrics in Prometheus' text form. */
  @httpHandler('GET', '/metrics')
  metrics(call: IncomingRequest): Promise<void> {
    call.writeHead(200, { 'content-type': METRICS_CONTENT_TYPE });
    call.end(this.metricRows().join('\n') + '\n');
    return Promise.resolve();
  }

  private metricRows(): string[] {
    const { counts, trees } = this.indexer;
    const rows = [
      `plumhollow_index_parts ${trees.size()}`,
      `plumhollow_index_evicted_total ${trees.evicted()}`,
    ];
    rows.push(...counterRows('plumhollow_index', counts));
    rows.push(...memoryRows(this.ports.memoryFigures?.()));
    const byStatus = new Map<string, number>();
    for (const { status } of this.indexer.listenerViews())
      byStatus.set(status, (byStatus.get(status) ?? 0) + 1);
    for (const [status, count] of byStatus)
      rows.push(`plumhollow_index_listeners{status="${status}"} ${count}`);
    return rows;
  }
}

/** Serves the HTTP interface at the address in the settings. */
export function serveIndex(indexer: Indexer, ports: Ports): Promise<Result<Listener>> {
  const handlers = [new IndexApi(indexer, ports)];
  return ports.network.serveHttp(
    indexer.settings.http,
    makeRequestListener(handlers, ports.logger),
  );
}
