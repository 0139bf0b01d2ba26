import {
  EngineLine,
  generate,
  GenerateRequest,
  GenerationStream,
  splitIntoBlocks,
  tokenise,
} from '../shared/contracts/engine';
import { sendError, sendJson, httpHandler, readJsonBody } from '../shared/transport/http-handlers';
import { parseBody } from '../shared/transport/body-fields';
import { OperationError, errorOrValue } from '../shared/errors/errors';
import { sha256Hex } from '../shared/util/hashing';
import { IncomingRequest } from '../shared/ports/network';
import { acquireIdempotencyKey, reportRun, voterSetFingerprint } from './idempotency-keys';
import { Overlap, EngineChoice } from './engine-selector';
import { GenerateBody, CheckedRequest, isToken, tokensOf } from './caller-request';
import { RouterDependencies } from './router-dependencies';

/** The callers' HTTP interface. */
export class CallerApi {
  private underWay = 0;

  constructor(private readonly r: RouterDependencies) {}

  /** How many requests are under way. */
  busy(): number {
    return this.underWay;
  }

  private refuse(
    call: IncomingRequest,
    status: number,
    code: string,
    why: string,
    again?: number,
  ): undefined {
    this.r.counts.refused++;
    sendError(call, status, 'refused', code, why, again);
    return undefined;
  }

  private async check(call: IncomingRequest): Promise<CheckedRequest | undefined> {
    const { r } = this;
    const again = r.timeLimits.retryPauseMs * 5;
    if (r.isDraining()) return this.refuse(call, 503, 'draining', 'this router is leaving', again);
    if (!r.follower.hasLease())
      return this.refuse(call, 503, 'no-claim', 'this router holds no claim at the core', again);
    const bearer = /^Bearer (.+)$/.exec(call.headers.authorization ?? '')?.[1];
    const tenant = bearer === undefined ? undefined : r.tenantOf(sha256Hex(bearer));
    if (tenant === undefined)
      return this.refuse(call, 401, 'bad-key', 'the tenant key is not known');
    const body = await readJsonBody(call, r.settings.bodyMostBytes);
    if (body === undefined) {
      r.counts.refused++;
      return undefined;
    }
    const [f, a] = errorOrValue(parseBody(GenerateBody, body, 'generate', call.peer));
    if (f) return this.refuse(call, 400, f.code!, f.reason);
    const service = r.serviceOf(tenant, a.service, a.label);
    if (service === 'missing')
      return this.refuse(call, 404, 'no-service', 'no service or rule matches');
    if (service === 'foreign')
      return this.refuse(call, 403, 'foreign-service', "the service is another tenant's");
    const salt = r.saltOf(tenant);
    if (salt === undefined)
      return this.refuse(call, 403, 'no-tenant', 'the tenant is not of the intents');
    if ((a.prompt === undefined) === (a.tokens === undefined))
      return this.refuse(call, 400, 'bad-prompt', 'either prompt or tokens is needed');
    if (a.tokens && !a.tokens.every(isToken))
      return this.refuse(call, 400, 'bad-prompt', 'tokens must be whole numbers from 0');
    const parts = splitIntoBlocks(service.model, a.tokens ?? tokenise(a.prompt!));
    if (parts.length === 0) return this.refuse(call, 400, 'bad-prompt', 'the prompt is empty');
    if ((a.deadlineMs ?? 1) <= 0 || (a.maxTokens ?? 1) <= 0)
      return this.refuse(call, 400, 'bad-bounds', 'deadlineMs and maxTokens must be above 0');
    const key = call.headers['idempotency-key'];
    if (!service.mayRepeat && !key)
      return this.refuse(call, 400, 'no-idempotency-key', 'this service needs an Idempotency-Key');
    if (key !== undefined && key.length > 128)
      return this.refuse(
        call,
        400,
        'no-idempotency-key',
        'an Idempotency-Key has 128 characters at the most',
      );
    return {
      tenant,
      salt,
      service,
      parts,
      maxTokens: Math.min(a.maxTokens ?? service.maxTokens, service.maxTokens),
      since: r.ports.clock.now(),
      until: r.ports.clock.now() + Math.min(a.deadlineMs ?? service.deadlineMs, service.deadlineMs),
      key: service.mayRepeat ? undefined : sha256Hex(JSON.stringify([tenant, key])).slice(0, 32),
    };
  }

  /** Takes a prompt, places it, sends it on, and gives the pieces back. */
  @httpHandler('POST', '/v1/generate')
  async generate(call: IncomingRequest): Promise<void> {
    this.r.counts.asked++;
    const c = await this.check(call);
    if (!c) return;
    this.underWay++;
    await this.carry(call, c);
    this.underWay--;
  }

  private async carry(call: IncomingRequest, c: CheckedRequest): Promise<void> {
    const { r } = this;
    const { clock } = r.ports;
    const run = r.runId();
    r.earnRetry(c.service);
    let set: string | undefined;
    if (c.key !== undefined) {
      const once = await acquireIdempotencyKey(r.follower, c.key, run);
      if (!once.isAcquired) {
        reportRun(r.follower, c.key, run, 'released');
        if (once.state === 'unreachable')
          return this.refuse(
            call,
            503,
            'no-core',
            'the core gave no vote',
            r.timeLimits.retryPauseMs * 5,
          );
        r.counts.unknown++;
        return sendError(
          call,
          409,
          'unknown',
          `key-${once.state}`,
          `this Idempotency-Key is taken: ${once.state}`,
          once.state === 'running' ? r.timeLimits.leaseMs : undefined,
        );
      }
      set = once.voterSet;
    }
    const avoid = new Set<string>();
    const urgent = c.service.urgency === 'high';
    let last: OperationError | undefined;
    let sentOnce = false;
    let refusedBy = 'no-engine';
    for (let attempt = 0; attempt < 3; attempt++) {
      const weights = r.freshWeights(c.service.model);
      const by = new Map<string, Overlap[] | undefined>();
      for (const w of weights.queried)
        by.set(w, await r.selector.queryOverlaps(c.service.model, c.salt, w, c.parts));
      const wanted = {
        model: c.service.model,
        salt: c.salt,
        parts: c.parts,
        urgent,
        excluded: avoid,
      };
      const p =
        r.selector.choose({ ...wanted, weights: weights.now }, by) ??
        (weights.old && r.selector.choose({ ...wanted, weights: weights.old }, by));
      if (!p) break;
      if (sentOnce && !r.trySpendRetry(c.service)) {
        refusedBy = 'no-budget';
        break;
      }
      if (call.aborted.aborted || clock.now() >= c.until) break;
      if (!r.follower.hasLease() || r.saltOf(c.tenant) !== c.salt) {
        refusedBy = 'no-claim';
        break;
      }
      if (c.key !== undefined && voterSetFingerprint(r.follower) !== set) {
        set = (await acquireIdempotencyKey(r.follower, c.key, run)).voterSet;
        if (set === undefined) break;
        attempt--;
        continue;
      }
      sentOnce = true;
      r.counts.attempts++;
      const o = await this.forward(call, c, p, run, urgent);
      if (o.done) {
        if (c.key !== undefined) reportRun(r.follower, c.key, run, o.fault ? 'unknown' : 'done');
        return;
      }
      last = o.fault;
      if (o.fault && o.fault.certainty !== 'refused' && !c.service.mayRepeat) {
        if (c.key !== undefined) reportRun(r.follower, c.key, run, 'unknown');
        r.counts.unknown++;
        return sendError(
          call,
          502,
          'unknown',
          'leg-lost',
          `${o.fault.step} at ${p.tracked.engine.id}: ${o.fault.reason}`,
        );
      }
      avoid.add(p.tracked.engine.id);
      if (o.fault?.code?.startsWith('status-')) r.engines.recordRejection(p.tracked);
    }
    if (c.key !== undefined) reportRun(r.follower, c.key, run, 'released');
    if (last && last.certainty !== 'refused') {
      r.counts.unknown++;
      return sendError(
        call,
        clock.now() >= c.until ? 504 : 502,
        'unknown',
        'leg-lost',
        `${last.step}: ${last.reason}`,
        r.timeLimits.retryPauseMs * 5,
      );
    }
    return this.refuse(
      call,
      503,
      refusedBy,
      last ? `${last.step}: ${last.reason}` : 'no engine can take this now',
      r.timeLimits.retryPauseMs * 5,
    );
  }

  private async forward(
    call: IncomingRequest,
    c: CheckedRequest,
    p: EngineChoice,
    run: string,
    urgent: boolean,
  ): Promise<{ done: boolean; fault?: OperationError }> {
    const { r } = this;
    const { clock } = r.ports;
    const unread = tokensOf(c.parts.slice(p.expectedBlocks));
    const q: GenerateRequest = {
      request: run,
      tenant: c.tenant,
      model: c.service.model,
      weights: p.weights,
      salt: c.salt,
      parts: c.parts,
      maxTokens: c.maxTokens,
      urgent,
      repeatable: c.service.mayRepeat,
      fetch: p.fetch && { at: p.fetch.at, hashes: p.fetch.hashes },
    };
    r.engines.recordStart(p.tracked, unread);
    const attempt = {
      tenant: c.tenant,
      salt: c.salt,
      model: c.service.model,
      weights: p.weights,
      seen: p.tracked,
      since: clock.now(),
      cut: new AbortController(),
    };
    r.awaitingFirstPiece.add(attempt);
    const [f, g] = errorOrValue(
      await generate(
        r.ports,
        p.tracked.engine.at,
        q,
        Math.max(1, c.until - clock.now()),
        AbortSignal.any([call.aborted, attempt.cut.signal]),
      ),
    );
    if (f) {
      r.awaitingFirstPiece.delete(attempt);
      r.engines.recordEnd(
        p.tracked,
        f.certainty === 'refused' && f.code !== undefined && f.code.startsWith('status-'),
      );
      return { done: false, fault: f };
    }
    const [h, line] = errorOrValue(await g.next());
    r.awaitingFirstPiece.delete(attempt);
    if (h) {
      r.engines.recordEnd(p.tracked, false);
      return { done: false, fault: h };
    }
    r.observeFirstPieceMs(clock.now() - c.since);
    call.writeHead(200, {
      'content-type': 'application/x-ndjson',
      'x-engine': p.tracked.engine.id,
    });
    const bad = await this.pieces(call, g, line, c, p, run);
    r.engines.recordEnd(p.tracked, bad === undefined || bad.code === 'caller-gone');
    return { done: true, fault: bad };
  }

  private async pieces(
    call: IncomingRequest,
    g: GenerationStream,
    first: EngineLine,
    c: CheckedRequest,
    p: EngineChoice,
    run: string,
  ): Promise<OperationError | undefined> {
    const { r } = this;
    let line = first;
    let n = 0;
    for (;;) {
      if (line.request !== run)
        return this.breakOff(call, g, {
          step: 'read piece',
          peer: p.tracked.engine.id,
          reason: `a line of ${line.request}`,
          certainty: 'unknown',
          code: 'foreign-line',
        });
      if (line.done === true) {
        if (line.count !== n)
          return this.breakOff(call, g, {
            step: 'read piece',
            peer: p.tracked.engine.id,
            reason: `count ${line.count} after ${n} pieces`,
            certainty: 'unknown',
            code: 'bad-count',
          });
        this.note(c, p, line);
        call.end(JSON.stringify({ done: true, count: n, outcome: 'ok' }) + '\n');
        r.counts.done++;
        return undefined;
      }
      if (line.n !== n || typeof line.text !== 'string')
        return this.breakOff(call, g, {
          step: 'read piece',
          peer: p.tracked.engine.id,
          reason: `piece ${line.n} where ${n} was due`,
          certainty: 'unknown',
          code: 'bad-order',
        });
      n++;
      if (!(await call.write(JSON.stringify({ n: line.n, text: line.text }) + '\n'))) {
        g.cancel();
        return {
          step: 'give piece',
          peer: call.peer,
          reason: 'caller went away',
          certainty: 'unknown',
          code: 'caller-gone',
        };
      }
      const [f, next] = errorOrValue(await g.next());
      if (f) return this.breakOff(call, g, f);
      line = next;
    }
  }

  private breakOff(call: IncomingRequest, g: GenerationStream, f: OperationError): OperationError {
    g.cancel();
    this.r.counts.unknown++;
    call.end(
      JSON.stringify({
        error: { class: 'unknown', code: f.code ?? 'broken', message: f.reason },
        incomplete: true,
      }) + '\n',
    );
    return f;
  }

  private note(c: CheckedRequest, p: EngineChoice, line: EngineLine): void {
    const { r } = this;
    const reused = line.reused ?? [];
    r.counts.needed += tokensOf(c.parts);
    r.counts.reused += tokensOf(reused);
    r.counts.expected += tokensOf(c.parts.slice(0, p.expectedBlocks));
    if (!p.isIndexed) r.counts.unindexed++;
    if (line.fetched && p.fetch) {
      r.counts.fetched += line.fetched.tokens;
      r.engines.observeTransfer(
        p.fetch.from,
        p.tracked.engine.id,
        line.fetched.tokens,
        line.fetched.ms,
      );
    }
    if (line.read !== undefined && line.prefillMs !== undefined)
      r.engines.observePrefill(p.tracked, line.read, line.prefillMs);
    if (!p.isCertain || reused.length !== p.expectedBlocks)
      r.selector.notifyReused({
        source: p.tracked.engine.id,
        model: c.service.model,
        salt: c.salt,
        weights: p.weights,
        parts: c.parts,
        count: reused.length,
      });
  }

  /** Whether this router takes requests. */
  @httpHandler('GET', '/healthz')
  async health(call: IncomingRequest): Promise<void> {
    const ok = this.r.follower.hasLease() && !this.r.isDraining();
    sendJson(call, ok ? 200 : 503, {
      ok,
      lease: this.r.follower.hasLease(),
      draining: this.r.isDraining(),
    });
  }

  /** Figures in the text form that collectors read. */
  @httpHandler('GET', '/metrics')
  async metrics(call: IncomingRequest): Promise<void> {
    const rows: string[] = [];
    for (const [k, v] of Object.entries(this.r.counts))
      rows.push(`plumhollow_router_${k.replace(/[A-Z]/g, '_$&').toLowerCase()}_total ${v}`);
    rows.push(`plumhollow_router_under_way ${this.underWay}`);
    call.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    call.end(await this.r.metrics.text(rows));
  }
}
