import {
  EngineLine,
  EngineOrder,
  GenerateRequest,
  PromptBlock,
} from '../../src/shared/contracts/engine';
import {
  sendError,
  sendJson,
  httpHandler,
  makeRequestListener,
  readJsonBody,
} from '../../src/shared/transport/http-handlers';
import { Result } from '../../src/shared/errors/errors';
import { requestJson } from '../../src/shared/util/http-json';
import { IncomingRequest, Listener } from '../../src/shared/ports/network';
import { Ports } from '../../src/shared/ports/ports';
import { compareEpochs } from '../../src/shared/state/versions';
import { EngineCache, Kept, makeEngineCache } from './enginecache';
import { EngineWays, LedgerEntry } from './engineways';

const LOOK = 2;

/** A running stand-in engine. */
export interface StandInEngine {
  ways: EngineWays;
  leave: () => void;
  kept: () => number;
  overlap: (salt: string, weights: string, parts: readonly PromptBlock[]) => number;
  stop: () => Promise<void>;
}

/** Handlers of the engine contract. */
class EngineEdge {
  private other = { request: 'nobody', tag: 'none' };
  private readonly cache: EngineCache;
  private running = 0;
  private waiting: { urgent: boolean; go: () => void }[] = [];
  private prefills: { urgent: boolean; go: () => void }[] = [];
  private prefilling = false;
  private unread = 0;
  private fence = { epoch: 0, by: '' };
  leaving = false;

  constructor(
    private readonly ports: Ports,
    readonly ways: EngineWays,
  ) {
    this.cache = makeEngineCache(ports, ways);
  }

  kept(): number {
    return this.cache.tokens();
  }

  /** How many tokens of a prompt are really held. */
  overlap(salt: string, weights: string, parts: readonly PromptBlock[]): number {
    return this.cache.overlap(salt, weights, parts);
  }

  private async slot(urgent: boolean): Promise<void> {
    const { waiting } = this;
    if (this.running < this.ways.batch) {
      this.running++;
      return;
    }
    function wait(go: () => void): void {
      waiting.push({ urgent, go });
    }
    await new Promise<void>(wait);
  }

  private free(): void {
    const i = this.waiting.findIndex(isUrgent);
    const next = this.waiting.splice(Math.max(0, i), 1)[0];
    if (next) next.go();
    else this.running--;
  }

  private async prefill(urgent: boolean, ms: number): Promise<void> {
    const { prefills } = this;
    function wait(go: () => void): void {
      prefills.push({ urgent, go });
    }
    if (this.prefilling) await new Promise<void>(wait);
    this.prefilling = true;
    await this.ports.clock.sleep(ms);
    const i = prefills.findIndex(isUrgent);
    const next = prefills.splice(Math.max(0, i), 1)[0];
    this.prefilling = next !== undefined;
    next?.go();
  }

  @httpHandler('POST', '/api/generate')
  async generate(call: IncomingRequest): Promise<void> {
    const takenAt = this.ports.clock.now();
    const q = (await readJsonBody(call, 1 << 24)) as GenerateRequest | undefined;
    if (!q) return;
    const { ways, ports } = this;
    await ports.clock.sleep(LOOK);
    if (call.aborted.aborted) return call.destroy();
    const weights = ways.weights;
    const turned: LedgerEntry = {
      kind: 'turned',
      engine: ways.id,
      at: ports.clock.now(),
      request: q.request,
      tenant: q.tenant,
      urgent: q.urgent,
    };
    if (this.leaving) return this.turn(call, turned, 503, 'leaving', 'this engine is leaving');
    if (q.model !== ways.model || q.weights !== weights)
      return this.turn(call, turned, 409, 'weights', `weights here are ${weights}`);
    if (this.waiting.length >= ways.queue)
      return this.turn(call, turned, 429, 'busy', 'the queue is full');
    const began: LedgerEntry = {
      kind: 'began',
      engine: ways.id,
      at: ports.clock.now(),
      takenAt,
      request: q.request,
      tenant: q.tenant,
      salt: q.salt,
      weights,
      repeatable: q.repeatable,
      urgent: q.urgent,
      tag: q.parts[q.parts.length - 1]?.hash,
    };
    ways.ledger(began);
    let unread = 0;
    for (const p of q.parts) unread += p.size;
    this.unread += unread;
    await this.slot(q.urgent);
    const fetched = q.fetch && !call.aborted.aborted ? await this.fetch(q) : undefined;
    const reused: Kept[] = [];
    for (const p of q.parts) {
      const k = this.cache.find(q.salt, weights, p.hash);
      if (!k) break;
      reused.push(k);
    }
    const read = q.parts.slice(reused.length);
    let tokens = 0;
    for (const p of read) tokens += p.size;
    const start = ports.clock.now();
    if (!call.aborted.aborted) await this.prefill(q.urgent, ways.prefillMs * tokens);
    this.unread -= unread;
    const prefillMs = ways.prefillMs * tokens || ports.clock.now() - start;
    let parent = reused.length > 0 ? reused[reused.length - 1].hash : ways.model;
    for (const k of reused) this.cache.keep(k);
    for (const p of read) {
      this.cache.keep({ ...p, salt: q.salt, weights, parent, madeBy: q.tenant });
      parent = p.hash;
    }
    this.cache.flush();
    await this.decode(call, q, reused, { read: tokens, prefillMs, fetched });
    this.free();
  }

  private turn(
    call: IncomingRequest,
    entry: LedgerEntry,
    status: number,
    code: string,
    why: string,
  ): void {
    this.ways.ledger(entry);
    sendError(call, status, 'refused', code, why);
  }

  private async decode(
    call: IncomingRequest,
    q: GenerateRequest,
    reused: Kept[],
    told: { read: number; prefillMs: number; fetched?: { tokens: number; ms: number } },
  ): Promise<void> {
    const { ways, ports } = this;
    const entry: LedgerEntry = {
      kind: 'ended',
      engine: ways.id,
      at: 0,
      request: q.request,
      tenant: q.tenant,
      salt: q.salt,
      weights: q.weights,
      reused: { tokens: 0, madeBy: [], madeWeights: [], madeSalts: [] },
    };
    for (const k of reused) {
      entry.reused!.tokens += k.size;
      entry.reused!.madeBy.push(k.madeBy);
      entry.reused!.madeWeights.push(k.weights);
      entry.reused!.madeSalts.push(k.salt);
    }
    call.writeHead(200, { 'content-type': 'application/x-ndjson' });
    const tag = q.parts[q.parts.length - 1].hash;
    for (let n = 0; n < q.maxTokens; n++) {
      await ports.clock.sleep(ways.decodeMs * (1 + this.running / ways.batch));
      if (call.aborted.aborted || !(await call.write(this.lineOf(q, tag, n)))) {
        ways.ledger({ ...entry, kind: 'broke', at: ports.clock.now() });
        return call.destroy();
      }
    }
    ways.ledger({ ...entry, at: ports.clock.now() });
    this.other = { request: q.request, tag };
    const last: EngineLine = {
      request: q.request,
      done: true,
      count: q.maxTokens,
      reused: reused.map(bare),
      ...told,
    };
    call.end(JSON.stringify(last) + '\n');
  }

  /** The n-th piece, or what an engine gone wrong gives for it. */
  private lineOf(q: GenerateRequest, tag: string, n: number): string {
    const { odd } = this.ways;
    const mine = JSON.stringify({ request: q.request, n, text: `${tag}#${n} ` }) + '\n';
    const others =
      JSON.stringify({ request: this.other.request, n, text: `${this.other.tag}#${n} ` }) + '\n';
    if (odd === 'foreign' || (odd === 'splices' && n === 2)) return others;
    if (odd === 'skips' && n === 2) return '';
    return odd === 'repeats' && n === 2 ? mine + mine : mine;
  }

  private async fetch(q: GenerateRequest): Promise<{ tokens: number; ms: number } | undefined> {
    const start = this.ports.clock.now();
    const o = await requestJson(this.ports.network, {
      address: q.fetch!.at,
      method: 'POST',
      path: '/api/parts',
      body: JSON.stringify({ salt: q.salt, weights: q.weights, hashes: q.fetch!.hashes }),
      timeoutMs: 2000,
    });
    if (o.isLeft()) return undefined;
    const parts = (o.extract() as { body: { parts?: Kept[] } }).body?.parts ?? [];
    let tokens = 0;
    for (const p of parts) {
      tokens += p.size;
      this.cache.keep(p);
    }
    return { tokens, ms: this.ports.clock.now() - start };
  }

  @httpHandler('POST', '/api/parts')
  async parts(call: IncomingRequest): Promise<void> {
    const q = (await readJsonBody(call, 1 << 24)) as
      { salt: string; weights: string; hashes: string[] } | undefined;
    if (!q) return;
    const parts: Kept[] = [];
    let tokens = 0;
    for (const h of q.hashes) {
      const k = this.cache.find(q.salt, q.weights, h);
      if (!k) break;
      parts.push(k);
      tokens += k.size;
    }
    await this.ports.clock.sleep(2 + tokens * 0.02);
    sendJson(call, 200, { parts });
  }

  @httpHandler('POST', '/api/put')
  async put(call: IncomingRequest): Promise<void> {
    const q = (await readJsonBody(call, 1 << 24)) as { parts: Kept[] } | undefined;
    if (!q) return;
    for (const p of q.parts) this.cache.keep(p);
    this.cache.flush();
    sendJson(call, 200, { kept: q.parts.length });
  }

  @httpHandler('GET', '/api/kv-events')
  async events(call: IncomingRequest): Promise<void> {
    sendJson(call, 200, await this.cache.events(call.query, call.aborted));
  }

  @httpHandler('GET', '/api/status')
  status(call: IncomingRequest): Promise<void> {
    const { ways } = this;
    sendJson(call, 200, {
      id: ways.id,
      model: ways.model,
      weights: ways.weights,
      running: this.running,
      waiting: this.waiting.length,
      batch: ways.batch,
      queue: ways.queue,
      unreadTokens: this.unread,
      leaving: this.leaving,
    });
    return Promise.resolve();
  }

  @httpHandler('POST', '/api/order')
  async order(call: IncomingRequest): Promise<void> {
    const o = (await readJsonBody(call, 4096)) as EngineOrder | undefined;
    if (!o) return;
    if (compareEpochs(o, this.fence) < 0)
      this.ways.ledger({
        kind: 'fenced',
        engine: this.ways.id,
        at: this.ports.clock.now(),
        order: o,
      });
    if (compareEpochs(o, this.fence) < 0)
      return sendError(call, 409, 'refused', 'fenced', 'an order of a higher fence came first');
    this.fence = { epoch: o.epoch, by: o.by };
    this.ways.ledger({ kind: 'order', engine: this.ways.id, at: this.ports.clock.now(), order: o });
    sendJson(call, 200, { taken: true });
    if (o.weights === this.ways.weights) return;
    await this.ports.clock.sleep(this.ways.swapMs);
    this.ways.weights = o.weights;
  }
}

function bare(k: Kept): PromptBlock {
  return { hash: k.hash, size: k.size };
}

function isUrgent(x: { urgent: boolean }): boolean {
  return x.urgent;
}

/** Starts a stand-in engine; a store is one that generates nothing. */
export async function startEngine(ports: Ports, ways: EngineWays): Promise<Result<StandInEngine>> {
  const edge = new EngineEdge(ports, ways);
  function leave(): void {
    edge.leaving = true;
  }
  function kept(): number {
    return edge.kept();
  }
  function up(l: Listener): StandInEngine {
    return { ways, leave, kept, overlap: edge.overlap.bind(edge), stop: l.close };
  }
  return (await ports.network.serveHttp(ways.at, makeRequestListener([edge], ports.logger))).map(
    up,
  );
}
