/**
 * The operators' HTTP interface to the configuration: intents, changes, tenants' keys and named weights.
 */

import { errorOrValue, OperationError } from '../../shared/errors/errors';
import { IncomingRequest } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { isAtLeast } from '../../shared/replication/change-message';
import { isId } from '../../shared/settings/validators';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { IntentsValue } from '../../shared/state/intents';
import { NamedWeights } from '../../shared/state/weights';
import { httpHandler, sendError, sendJson } from '../../shared/transport/http-handlers';
import { sha256Hex } from '../../shared/util/hashing';
import { validateIntents } from '../configuration/intents-validation';
import { Operation, TenantKeys } from '../configuration/operations';
import { Controller } from '../controller-interface';
import { readChangeBodyAs } from './change-body';
import {
  currentRevision,
  parseChangeName,
  sendChangeResult,
  sendOperationError,
} from './operator-replies';
import { ApplyIntentsRequest, NameWeightsRequest } from './operator-requests';
import { setOwnField } from '../../shared/util/plain-object';

/** The id of a key is the beginning of its hash, of this many characters. */
const KEY_ID_CHARACTERS = 12;

/** What is served as intents before there are any. */
const NO_INTENTS = { tenants: [], models: [], services: [], rules: [], cacheStores: [] };

/** Handles the operators' requests about the configuration. */
export class ConfigurationApi {
  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
  ) {}

  /** Gives the intents in force with their revision. */
  @httpHandler('GET', '/v1/intents')
  getIntents(call: IncomingRequest): Promise<void> {
    const committed = this.controller.committedValue<IntentsValue>(CONTROL_KEYS.intents);
    const intents = committed?.value.doc ?? NO_INTENTS;
    sendJson(call, 200, { revision: committed?.place.number ?? 0, intents });
    return Promise.resolve();
  }

  /** Applies a complete intents file on the revision that it is based on. */
  @httpHandler('PUT', '/v1/intents')
  async putIntents(call: IncomingRequest): Promise<void> {
    const { bodyMostBytes } = this.controller.settings;
    const request = await readChangeBodyAs(call, ApplyIntentsRequest, bodyMostBytes, 'apply');
    if (!request) return;
    const validated = validateIntents(request.intents);
    if (validated.isLeft())
      return sendJson(call, 400, {
        error: { class: 'refused', code: 'bad-intents', message: 'the file has faults' },
        faults: validated.extract(),
      });
    if (request.dryRun) return this.replyDryRun(call, request.basedOn);
    await this.change(call, CONTROL_KEYS.intents, {
      kind: 'intents',
      basedOn: request.basedOn,
      doc: request.intents,
    });
  }

  /** Tells how far a change has come, and what the routers have applied. */
  @httpHandler('GET', '/v1/changes/:change')
  async getChange(call: IncomingRequest, change: string): Promise<void> {
    const { controller } = this;
    const parsed = parseChangeName(change);
    if (!parsed)
      return sendError(call, 400, 'refused', 'bad-change', 'a change is named key~epoch~by~number');
    const { key, version } = parsed;
    const { retryPauseMs } = controller.timeLimits;
    const committed = isAtLeast(controller.committedValue(key)?.place, version);
    const inEffect = committed && (await controller.awaitEffect(key, version, retryPauseMs));
    const routers = controller.leases.appliedVersions(key);
    sendJson(call, 200, { change, committed, inEffect, routers });
  }

  /** Gives the ids of the tenants' keys; hashes are not given. */
  @httpHandler('GET', '/v1/keys')
  getKeys(call: IncomingRequest): Promise<void> {
    const idsByTenant: Record<string, string[]> = {};
    for (const { tenant, keys } of this.valuesWithPrefix<TenantKeys>(CONTROL_KEYS.tenantKeys))
      setOwnField(idsByTenant, tenant, keys.map(idOf));
    sendJson(call, 200, { keys: idsByTenant });
    return Promise.resolve();
  }

  /** Makes a key for a tenant; its secret is shown once. */
  @httpHandler('POST', '/v1/keys/:tenant')
  async addKey(call: IncomingRequest, tenant: string): Promise<void> {
    if (!isId(tenant))
      return sendError(call, 400, 'refused', 'bad-name', 'the tenant is not a name');
    const secret = this.makeSecret();
    const hash = sha256Hex(secret);
    const id = hash.slice(0, KEY_ID_CHARACTERS);
    const operation: Operation = { kind: 'key-add', tenant, id, hash };
    const fields = { tenant, id, key: secret };
    await this.change(call, CONTROL_KEYS.tenantKeys + tenant, operation, fields);
  }

  /** Withdraws a tenant's key. */
  @httpHandler('DELETE', '/v1/keys/:tenant/:id')
  async dropKey(call: IncomingRequest, tenant: string, id: string): Promise<void> {
    const operation: Operation = { kind: 'key-drop', tenant, id };
    await this.change(call, CONTROL_KEYS.tenantKeys + tenant, operation, { tenant, id });
  }

  /** Gives the named weights of each model. */
  @httpHandler('GET', '/v1/weights')
  getWeights(call: IncomingRequest): Promise<void> {
    const weights = [...this.valuesWithPrefix<NamedWeights>(CONTROL_KEYS.weights)];
    sendJson(call, 200, { weights });
    return Promise.resolve();
  }

  /** Names new weights of a model. */
  @httpHandler('PUT', '/v1/weights/:model')
  async putWeights(call: IncomingRequest, model: string): Promise<void> {
    if (!isId(model)) return sendError(call, 400, 'refused', 'bad-name', 'the model is not a name');
    const { bodyMostBytes } = this.controller.settings;
    const request = await readChangeBodyAs(call, NameWeightsRequest, bodyMostBytes, 'name weights');
    if (!request) return;
    const { weights } = request;
    if (!isId(weights))
      return sendError(call, 400, 'refused', 'bad-name', 'the weights are not a name');
    const operation: Operation = { kind: 'weights', model, weights };
    await this.change(call, CONTROL_KEYS.weights + model, operation, { model, weights });
  }

  /** Makes a change and sends its result, with further fields where it was committed. */
  private async change(
    call: IncomingRequest,
    key: string,
    operation: Operation,
    fields: object = {},
  ): Promise<void> {
    const [error, result] = errorOrValue(await this.controller.change(operation));
    if (error) return sendOperationError(this.controller, call, error);
    sendChangeResult(call, key, result, fields);
  }

  private replyDryRun(call: IncomingRequest, basedOn: number): void {
    const revision = currentRevision(this.controller);
    if (revision === basedOn) return sendJson(call, 200, { dryRun: true, revision });
    const error: OperationError = {
      step: 'apply',
      peer: CONTROL_KEYS.intents,
      reason: `based on revision ${basedOn}, but ${revision} stands`,
      certainty: 'refused',
      code: 'conflict',
    };
    sendOperationError(this.controller, call, error);
  }

  private makeSecret(): string {
    const { random } = this.ports;
    const first = random.uuid().replaceAll('-', '');
    const second = random.uuid().replaceAll('-', '');
    return `ph_${first}${second}`;
  }

  /** The committed values of the keys with a prefix. */
  private *valuesWithPrefix<T>(prefix: string): Iterable<T> {
    for (const key of this.controller.store.registers.keys()) {
      if (!key.startsWith(prefix)) continue;
      const committed = this.controller.committedValue<T>(key);
      if (committed?.value) yield committed.value;
    }
  }
}

function idOf(key: { id: string }): string {
  return key.id;
}
