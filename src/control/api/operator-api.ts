import { Fault, open, Outcome } from '../../shared/errors/errors';
import {
  field,
  giveFault,
  giveJson,
  handles,
  takeAs,
  takeCalls,
} from '../../shared/transport/handlers';
import { wholeHash } from '../../shared/util/lib';
import { isId } from '../../shared/settings/validators';
import { Call, Listening, Ports } from '../../shared/ports/ports';
import { IntentsValue, KEYS, Place } from '../../shared/state/words';
import { checkIntents } from '../configuration/intents-validation';
import { Changed } from '../configuration/change-coordinator';
import { Controller } from '../controller';
import { NamedWeights } from '../../shared/state/weights';
import { Operation, TenantKeys } from '../configuration/operations';
import { reached } from '../peer-handlers';
import { voterRows, votersStatus } from '../membership/voter-status';
import { replaceVoter } from '../membership/reconfiguration';

class ApplyAsk {
  @field('number') basedOn!: number;
  @field('object') intents!: object;
  @field('boolean', false) dryRun?: boolean;
}

class WeightsAsk {
  @field('string') weights!: string;
}

class VotersAsk {
  @field('string') out!: string;
  @field('string') into!: string;
}

class FoundAsk {
  @field('list') without!: string[];
}

/** The operators' HTTP interface. */
export class OperatorApi {
  constructor(
    private readonly c: Controller,
    private readonly ports: Ports,
  ) {}

  private giveTrouble(call: Call, f: Fault): void {
    if (f.code === 'conflict')
      return giveJson(call, 409, {
        error: { class: 'refused', code: 'conflict', message: f.why },
        revision: this.c.value(KEYS.intents)?.place.number ?? 0,
      });
    if (f.sort === 'unknown')
      return giveFault(
        call,
        504,
        'unknown',
        f.code ?? 'unknown',
        `${f.step} at ${f.peer}: ${f.why}`,
        this.c.bounds.pause,
      );
    giveFault(
      call,
      f.code === 'bad-intents' ? 400 : 503,
      'refused',
      f.code ?? 'refused',
      `${f.step} at ${f.peer}: ${f.why}`,
      this.c.bounds.pause,
    );
  }

  private giveChanged(call: Call, key: string, r: Changed, more: object = {}): void {
    const { epoch, by, number } = r.place;
    const change = `${key}~${epoch}~${by}~${number}`.replace('/', ':');
    giveJson(call, r.inEffect ? 200 : 202, {
      change,
      revision: number,
      inEffect: r.inEffect,
      ...more,
    });
  }

  private async carry(call: Call, key: string, op: Operation, more: object = {}): Promise<void> {
    const [f, r] = open(await this.c.change(op));
    if (f) return this.giveTrouble(call, f);
    this.giveChanged(call, key, r, more);
  }

  /** The intents that stand. */
  @handles('GET', '/v1/intents')
  async getIntents(call: Call): Promise<void> {
    const v = this.c.value<IntentsValue>(KEYS.intents);
    giveJson(call, 200, {
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
  @handles('PUT', '/v1/intents')
  async putIntents(call: Call): Promise<void> {
    const a = await takeAs(call, ApplyAsk, this.c.settings.bodyMostBytes, 'apply');
    if (!a) return;
    const checked = checkIntents(a.intents);
    if (checked.isLeft())
      return giveJson(call, 400, {
        error: { class: 'refused', code: 'bad-intents', message: 'the file has faults' },
        faults: checked.extract(),
      });
    if (a.dryRun) {
      const now = this.c.value(KEYS.intents)?.place.number ?? 0;
      if (now !== a.basedOn)
        return this.giveTrouble(call, {
          step: 'apply',
          peer: KEYS.intents,
          why: `based on revision ${a.basedOn}, but ${now} stands`,
          sort: 'refused',
          code: 'conflict',
        });
      return giveJson(call, 200, { dryRun: true, revision: now });
    }
    await this.carry(call, KEYS.intents, { kind: 'intents', basedOn: a.basedOn, doc: a.intents });
  }

  /** How far a change has come. */
  @handles('GET', '/v1/changes/:change')
  async getChange(call: Call, change: string): Promise<void> {
    const [key, epoch, by, number] = change.split('~');
    if (number === undefined)
      return giveFault(call, 400, 'refused', 'bad-change', 'a change is named key~epoch~by~number');
    const p: Place = { epoch: Number(epoch), by, number: Number(number) };
    const name = key.replace(':', '/');
    const known = reached(this.c.value(name)?.place, p);
    const inEffect = known && (await this.c.effect(name, p, this.c.bounds.pause));
    giveJson(call, 200, {
      change,
      committed: known,
      inEffect,
      routers: this.c.leases.applied(name),
    });
  }

  /** The tenants' key ids; hashes stay here. */
  @handles('GET', '/v1/keys')
  async getKeys(call: Call): Promise<void> {
    const out: Record<string, string[]> = {};
    for (const k of this.c.slots.cells.keys()) {
      const v = k.startsWith(KEYS.tenantKeys) ? this.c.value<TenantKeys>(k)?.value : undefined;
      if (v) out[v.tenant] = v.keys.map(idOf);
    }
    function idOf(x: { id: string }): string {
      return x.id;
    }
    giveJson(call, 200, { keys: out });
  }

  /** Makes a key for a tenant; it is shown once. */
  @handles('POST', '/v1/keys/:tenant')
  async addKey(call: Call, tenant: string): Promise<void> {
    if (!isId(tenant))
      return giveFault(call, 400, 'refused', 'bad-name', 'the tenant is not a name');
    const secret = `ph_${this.ports.dice.id().replaceAll('-', '')}${this.ports.dice.id().replaceAll('-', '')}`;
    const id = wholeHash(secret).slice(0, 12);
    await this.carry(
      call,
      KEYS.tenantKeys + tenant,
      { kind: 'key-add', tenant, id, hash: wholeHash(secret) },
      { tenant, id, key: secret },
    );
  }

  /** Withdraws a key. */
  @handles('DELETE', '/v1/keys/:tenant/:id')
  async dropKey(call: Call, tenant: string, id: string): Promise<void> {
    await this.carry(
      call,
      KEYS.tenantKeys + tenant,
      { kind: 'key-drop', tenant, id },
      { tenant, id },
    );
  }

  /** The named weights of each model. */
  @handles('GET', '/v1/weights')
  async getWeights(call: Call): Promise<void> {
    const out: NamedWeights[] = [];
    for (const k of this.c.slots.cells.keys()) {
      const v = k.startsWith(KEYS.weights) ? this.c.value<NamedWeights>(k)?.value : undefined;
      if (v) out.push(v);
    }
    giveJson(call, 200, { weights: out });
  }

  /** Names new weights of a model. */
  @handles('PUT', '/v1/weights/:model')
  async putWeights(call: Call, model: string): Promise<void> {
    if (!isId(model)) return giveFault(call, 400, 'refused', 'bad-name', 'the model is not a name');
    const a = await takeAs(call, WeightsAsk, this.c.settings.bodyMostBytes, 'name weights');
    if (!a) return;
    if (!isId(a.weights))
      return giveFault(call, 400, 'refused', 'bad-name', 'the weights are not a name');
    await this.carry(
      call,
      KEYS.weights + model,
      { kind: 'weights', model, weights: a.weights },
      { model, weights: a.weights },
    );
  }

  /** Replaces a lost core machine by an empty one. */
  @handles('POST', '/v1/voters')
  async postVoters(call: Call): Promise<void> {
    const a = await takeAs(call, VotersAsk, this.c.settings.bodyMostBytes, 'replace voter');
    if (!a) return;
    const [g, v] = open(await replaceVoter(this.c, this.ports, a.out, a.into));
    if (g) return this.giveTrouble(call, g);
    giveJson(call, 200, { voters: v, done: true });
  }

  /** Founds a blank fleet without founders that are not there. */
  @handles('POST', '/v1/found')
  async postFound(call: Call): Promise<void> {
    const a = await takeAs(call, FoundAsk, this.c.settings.bodyMostBytes, 'found');
    if (!a) return;
    const [g, v] = open(await this.c.found(a.without));
    if (g) return this.giveTrouble(call, g);
    giveJson(call, 200, { voters: v, done: true });
  }

  /** The fleet as this controller sees it. */
  @handles('GET', '/v1/fleet')
  async getFleet(call: Call): Promise<void> {
    const c = this.c;
    giveJson(call, 200, {
      controller: c.name,
      disk: c.slots.disk,
      diskFit: c.slots.fit(),
      diskSpoilt: c.slots.spoilt,
      voters: c.voters(),
      standing: await votersStatus(c),
      live: c.live(),
      majority: c.hasMajority(),
      members: c.leases.members(),
      engines: c.value(KEYS.engines)?.value ?? [],
      revision: c.value(KEYS.intents)?.place.number ?? 0,
      routers: c.leases.applied(KEYS.intents),
    });
  }

  /** Whether this controller stands in a majority with a fit disk. */
  @handles('GET', '/healthz')
  async health(call: Call): Promise<void> {
    const ok = this.c.hasMajority() && this.c.slots.fit();
    giveJson(call, ok ? 200 : 503, {
      ok,
      majority: this.c.hasMajority(),
      diskFit: this.c.slots.fit(),
    });
  }

  /** Figures in the text form that collectors read. */
  @handles('GET', '/metrics')
  async metrics(call: Call): Promise<void> {
    const c = this.c;
    const rows = [
      `plumhollow_controller_members ${c.leases.members().length}`,
      `plumhollow_controller_live_voters ${c.live().length}`,
      `plumhollow_controller_disk_fit ${c.slots.fit() ? 1 : 0}`,
      `plumhollow_controller_intents_revision ${c.value(KEYS.intents)?.place.number ?? 0}`,
      ...c.leases.lagRows(),
      ...voterRows(await votersStatus(c)),
    ];
    call.head(200, { 'content-type': 'text/plain; version=0.0.4' });
    call.end(await c.metrics.text(rows));
  }
}

/** Serves the operators' HTTP interface. */
export function serveOperators(c: Controller, ports: Ports): Promise<Outcome<Listening>> {
  return ports.wire.serve(c.settings.http, takeCalls([new OperatorApi(c, ports)], ports.log));
}
