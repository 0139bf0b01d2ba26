import { OperationError, errorOrValue, Result } from '../../shared/errors/errors';
import { bodyField } from '../../shared/transport/body-fields';
import {
  sendError,
  sendJson,
  httpHandler,
  readBodyAs,
  makeRequestListener,
} from '../../shared/transport/http-handlers';
import { sha256Hex } from '../../shared/util/hashing';
import { isId } from '../../shared/settings/validators';
import { IncomingRequest, Listener } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { IntentsValue } from '../../shared/state/intents';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { Version } from '../../shared/state/versions';
import { validateIntents } from '../configuration/intents-validation';
import { ChangeResult } from '../configuration/change-coordinator';
import { Controller } from '../controller-interface';
import { NamedWeights } from '../../shared/state/weights';
import { Operation, TenantKeys } from '../configuration/operations';
import { isAtLeast } from '../../shared/replication/change-message';
import { voterMetricRows, readVoterStatus } from '../membership/voter-status';
import { replaceVoter } from '../membership/reconfiguration';

class ApplyAsk {
  @bodyField('number') basedOn!: number;
  @bodyField('object') intents!: object;
  @bodyField('boolean', false) dryRun?: boolean;
}

class WeightsAsk {
  @bodyField('string') weights!: string;
}

class VotersAsk {
  @bodyField('string') out!: string;
  @bodyField('string') into!: string;
}

class FoundAsk {
  @bodyField('list') without!: string[];
}

/** The operators' HTTP interface. */
export class OperatorApi {
  constructor(
    private readonly c: Controller,
    private readonly ports: Ports,
  ) {}

  private giveTrouble(call: IncomingRequest, f: OperationError): void {
    if (f.code === 'conflict')
      return sendJson(call, 409, {
        error: { class: 'refused', code: 'conflict', message: f.reason },
        revision: this.c.committedValue(CONTROL_KEYS.intents)?.place.number ?? 0,
      });
    if (f.certainty === 'unknown')
      return sendError(
        call,
        504,
        'unknown',
        f.code ?? 'unknown',
        `${f.step} at ${f.peer}: ${f.reason}`,
        this.c.timeLimits.retryPauseMs,
      );
    sendError(
      call,
      f.code === 'bad-intents' ? 400 : 503,
      'refused',
      f.code ?? 'refused',
      `${f.step} at ${f.peer}: ${f.reason}`,
      this.c.timeLimits.retryPauseMs,
    );
  }

  private giveChanged(
    call: IncomingRequest,
    key: string,
    r: ChangeResult,
    more: object = {},
  ): void {
    const { epoch, by, number } = r.place;
    const change = `${key}~${epoch}~${by}~${number}`.replace('/', ':');
    sendJson(call, r.inEffect ? 200 : 202, {
      change,
      revision: number,
      inEffect: r.inEffect,
      ...more,
    });
  }

  private async carry(
    call: IncomingRequest,
    key: string,
    op: Operation,
    more: object = {},
  ): Promise<void> {
    const [f, r] = errorOrValue(await this.c.change(op));
    if (f) return this.giveTrouble(call, f);
    this.giveChanged(call, key, r, more);
  }

  /** The intents that stand. */
  @httpHandler('GET', '/v1/intents')
  async getIntents(call: IncomingRequest): Promise<void> {
    const v = this.c.committedValue<IntentsValue>(CONTROL_KEYS.intents);
    sendJson(call, 200, {
      revision: v?.place.number ?? 0,
      intents: v?.value.doc ?? {
        tenants: [],
        models: [],
        services: [],
        rules: [],
        cacheStores: [],
      },
    });
  }

  /** Applies a whole intents file on the revision it was based on. */
  @httpHandler('PUT', '/v1/intents')
  async putIntents(call: IncomingRequest): Promise<void> {
    const a = await readBodyAs(call, ApplyAsk, this.c.settings.bodyMostBytes, 'apply');
    if (!a) return;
    const checked = validateIntents(a.intents);
    if (checked.isLeft())
      return sendJson(call, 400, {
        error: { class: 'refused', code: 'bad-intents', message: 'the file has faults' },
        faults: checked.extract(),
      });
    if (a.dryRun) {
      const now = this.c.committedValue(CONTROL_KEYS.intents)?.place.number ?? 0;
      if (now !== a.basedOn)
        return this.giveTrouble(call, {
          step: 'apply',
          peer: CONTROL_KEYS.intents,
          reason: `based on revision ${a.basedOn}, but ${now} stands`,
          certainty: 'refused',
          code: 'conflict',
        });
      return sendJson(call, 200, { dryRun: true, revision: now });
    }
    await this.carry(call, CONTROL_KEYS.intents, {
      kind: 'intents',
      basedOn: a.basedOn,
      doc: a.intents,
    });
  }

  /** How far a change has come. */
  @httpHandler('GET', '/v1/changes/:change')
  async getChange(call: IncomingRequest, change: string): Promise<void> {
    const [key, epoch, by, number] = change.split('~');
    if (number === undefined)
      return sendError(call, 400, 'refused', 'bad-change', 'a change is named key~epoch~by~number');
    const p: Version = { epoch: Number(epoch), by, number: Number(number) };
    const name = key.replace(':', '/');
    const known = isAtLeast(this.c.committedValue(name)?.place, p);
    const inEffect = known && (await this.c.awaitEffect(name, p, this.c.timeLimits.retryPauseMs));
    sendJson(call, 200, {
      change,
      committed: known,
      inEffect,
      routers: this.c.leases.appliedVersions(name),
    });
  }

  /** The tenants' key ids; hashes stay here. */
  @httpHandler('GET', '/v1/keys')
  async getKeys(call: IncomingRequest): Promise<void> {
    const out: Record<string, string[]> = {};
    for (const k of this.c.store.registers.keys()) {
      const v = k.startsWith(CONTROL_KEYS.tenantKeys)
        ? this.c.committedValue<TenantKeys>(k)?.value
        : undefined;
      if (v) out[v.tenant] = v.keys.map(idOf);
    }
    function idOf(x: { id: string }): string {
      return x.id;
    }
    sendJson(call, 200, { keys: out });
  }

  /** Makes a key for a tenant; it is shown once. */
  @httpHandler('POST', '/v1/keys/:tenant')
  async addKey(call: IncomingRequest, tenant: string): Promise<void> {
    if (!isId(tenant))
      return sendError(call, 400, 'refused', 'bad-name', 'the tenant is not a name');
    const secret = `ph_${this.ports.random.uuid().replaceAll('-', '')}${this.ports.random.uuid().replaceAll('-', '')}`;
    const id = sha256Hex(secret).slice(0, 12);
    await this.carry(
      call,
      CONTROL_KEYS.tenantKeys + tenant,
      { kind: 'key-add', tenant, id, hash: sha256Hex(secret) },
      { tenant, id, key: secret },
    );
  }

  /** Withdraws a key. */
  @httpHandler('DELETE', '/v1/keys/:tenant/:id')
  async dropKey(call: IncomingRequest, tenant: string, id: string): Promise<void> {
    await this.carry(
      call,
      CONTROL_KEYS.tenantKeys + tenant,
      { kind: 'key-drop', tenant, id },
      { tenant, id },
    );
  }

  /** The named weights of each model. */
  @httpHandler('GET', '/v1/weights')
  async getWeights(call: IncomingRequest): Promise<void> {
    const out: NamedWeights[] = [];
    for (const k of this.c.store.registers.keys()) {
      const v = k.startsWith(CONTROL_KEYS.weights)
        ? this.c.committedValue<NamedWeights>(k)?.value
        : undefined;
      if (v) out.push(v);
    }
    sendJson(call, 200, { weights: out });
  }

  /** Names new weights of a model. */
  @httpHandler('PUT', '/v1/weights/:model')
  async putWeights(call: IncomingRequest, model: string): Promise<void> {
    if (!isId(model)) return sendError(call, 400, 'refused', 'bad-name', 'the model is not a name');
    const a = await readBodyAs(call, WeightsAsk, this.c.settings.bodyMostBytes, 'name weights');
    if (!a) return;
    if (!isId(a.weights))
      return sendError(call, 400, 'refused', 'bad-name', 'the weights are not a name');
    await this.carry(
      call,
      CONTROL_KEYS.weights + model,
      { kind: 'weights', model, weights: a.weights },
      { model, weights: a.weights },
    );
  }

  /** Replaces a lost core machine by an empty one. */
  @httpHandler('POST', '/v1/voters')
  async postVoters(call: IncomingRequest): Promise<void> {
    const a = await readBodyAs(call, VotersAsk, this.c.settings.bodyMostBytes, 'replace voter');
    if (!a) return;
    const [g, v] = errorOrValue(await replaceVoter(this.c, this.ports, a.out, a.into));
    if (g) return this.giveTrouble(call, g);
    sendJson(call, 200, { voters: v, done: true });
  }

  /** Founds a blank fleet without founders that are not there. */
  @httpHandler('POST', '/v1/found')
  async postFound(call: IncomingRequest): Promise<void> {
    const a = await readBodyAs(call, FoundAsk, this.c.settings.bodyMostBytes, 'found');
    if (!a) return;
    const [g, v] = errorOrValue(await this.c.bootstrap(a.without));
    if (g) return this.giveTrouble(call, g);
    sendJson(call, 200, { voters: v, done: true });
  }

  /** The fleet as this controller sees it. */
  @httpHandler('GET', '/v1/fleet')
  async getFleet(call: IncomingRequest): Promise<void> {
    const c = this.c;
    sendJson(call, 200, {
      controller: c.name,
      disk: c.store.diskId,
      diskFit: c.store.isWritable(),
      diskSpoilt: c.store.isCorrupt,
      voters: c.voters(),
      standing: await readVoterStatus(c),
      live: c.liveAddresses(),
      majority: c.hasQuorum(),
      members: c.leases.members(),
      engines: c.committedValue(CONTROL_KEYS.engines)?.value ?? [],
      revision: c.committedValue(CONTROL_KEYS.intents)?.place.number ?? 0,
      routers: c.leases.appliedVersions(CONTROL_KEYS.intents),
    });
  }

  /** Whether this controller stands in a majority with a fit disk. */
  @httpHandler('GET', '/healthz')
  async health(call: IncomingRequest): Promise<void> {
    const ok = this.c.hasQuorum() && this.c.store.isWritable();
    sendJson(call, ok ? 200 : 503, {
      ok,
      majority: this.c.hasQuorum(),
      diskFit: this.c.store.isWritable(),
    });
  }

  /** Figures in the text form that collectors read. */
  @httpHandler('GET', '/metrics')
  async metrics(call: IncomingRequest): Promise<void> {
    const c = this.c;
    const rows = [
      `plumhollow_controller_members ${c.leases.members().length}`,
      `plumhollow_controller_live_voters ${c.liveAddresses().length}`,
      `plumhollow_controller_disk_fit ${c.store.isWritable() ? 1 : 0}`,
      `plumhollow_controller_intents_revision ${c.committedValue(CONTROL_KEYS.intents)?.place.number ?? 0}`,
      ...c.leases.lagRows(),
      ...voterMetricRows(await readVoterStatus(c)),
    ];
    call.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' });
    call.end(await c.metrics.text(rows));
  }
}

/** Serves the operators' HTTP interface. */
export function serveOperators(c: Controller, ports: Ports): Promise<Result<Listener>> {
  return ports.network.serveHttp(
    c.settings.http,
    makeRequestListener([new OperatorApi(c, ports)], ports.logger),
  );
}
