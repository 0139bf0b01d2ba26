/**
 * The HTTP interface for operators who speak a platform's dialect; the operators' own interface is served beside it.
 */

import { EvacuationCall, PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { sendError, sendJson } from '../../shared/transport/http-handlers';
import { errorOrValue, Result } from '../../shared/errors/errors';
import { IncomingRequest, Listener } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { DeploymentValue } from '../../shared/state/deployment';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { makeOperatorListener } from './operator-api';
import { EvacuationChanges } from './evacuation-changes';
import { isZoneUnknown } from './evacuation-plan';
import { RetriedChanges } from './retried-changes';
import { Controller } from '../controller-interface';
import { readChangeBody } from './change-body';
import { makeDeploymentOperation } from '../configuration/deployment-change';
import { TalliesApi } from './tallies-api';

/** Serves operators who speak a dialect, and the operators' own interface on the paths that the dialect has not. */
export function serveDeployment(
  controller: Controller,
  ports: Ports,
  dialect: PlatformAdapter,
): Promise<Result<Listener>> {
  const evacuations = new EvacuationChanges(controller, ports);
  const api = new DeploymentApi(controller, ports, dialect, evacuations);
  const tallies = controller.tallies && new TalliesApi(controller, controller.tallies, dialect);
  const handleOperatorCall = makeOperatorListener(controller, ports, evacuations);

  async function handle(call: IncomingRequest): Promise<void> {
    const { paths } = dialect.operators;
    if (call.path === paths.replace || call.path === paths.update) return api.putDeployment(call);
    if (call.path === paths.weights) return api.nameWeights(call);
    if (call.path === paths.describe) return api.describe(call);
    const tallyCall = dialect.operators.tallyCall(call.path);
    if (tallies && tallyCall) return tallies.handle(call, tallyCall);
    const evacuation = dialect.operators.evacuation(call.path);
    if (evacuation) return api.evacuate(call, evacuation);
    return handleOperatorCall(call);
  }

  return ports.network.serveHttp(controller.settings.http, handle);
}

class DeploymentApi {
  private readonly changes: RetriedChanges;

  constructor(
    private readonly controller: Controller,
    ports: Ports,
    private readonly dialect: PlatformAdapter,
    private readonly evacuations: EvacuationChanges,
  ) {
    this.changes = new RetriedChanges(controller, ports);
  }

  /** Replaces or updates the deployment, on the version that the headers name as its base. */
  async putDeployment(call: IncomingRequest): Promise<void> {
    if (call.method !== 'POST') return sendError(call, 405, 'refused', 'bad-method', call.method);
    const body = await readChangeBody(call, this.controller.settings.bodyMostBytes);
    if (body === undefined) return;
    const { operators } = this.dialect;
    const base = operators.baseVersion(call.headers);
    if (base === undefined) {
      const message = 'the version that this builds on is missing';
      return sendError(call, 400, 'refused', 'no-base', message);
    }
    const kind = call.path === operators.paths.update ? 'update' : 'replace';
    const error = await this.changes.change(makeDeploymentOperation(base, kind, body));
    if (error) return this.changes.sendError(call, error);
    sendJson(call, 200, { taken: true });
  }

  /** Names the weights of a model; naming the same ones again succeeds. */
  async nameWeights(call: IncomingRequest): Promise<void> {
    if (call.method !== 'POST') return sendError(call, 405, 'refused', 'bad-method', call.method);
    const body = await readChangeBody(call, this.controller.settings.bodyMostBytes);
    if (body === undefined) return;
    const parsed = this.dialect.operators.weights(body);
    if (parsed.isLeft())
      return sendError(call, 400, 'refused', 'bad-weights', String(parsed.extract()));
    const { model, weights, rank } = parsed.unsafeCoerce();
    const error = await this.changes.change({ kind: 'weights', model, weights, rank });
    if (error) return this.changes.sendError(call, error);
    sendJson(call, 200, { model, weights });
  }

  /**
   * Starts or finishes the evacuation of a zone; doing so again succeeds. A body is not read. A finish is taken for any
   * zone: once it was taken, nothing else may name the zone when it is sent again.
   */
  async evacuate(call: IncomingRequest, { zone, evacuated }: EvacuationCall): Promise<void> {
    if (call.method !== 'POST') return sendError(call, 405, 'refused', 'bad-method', call.method);
    if (zone === undefined || (evacuated && isZoneUnknown(this.controller, zone)))
      return sendError(call, 400, 'refused', 'bad-zone', 'there is no such zone');
    const attempt = this.evacuations.change.bind(this.evacuations, call, zone, evacuated);
    const error = await this.changes.run(attempt);
    if (error) return this.changes.sendError(call, error);
    sendJson(call, 200, { zone, evacuated });
  }

  /** Gives the deployment document in force, never older than what was acknowledged before. */
  async describe(call: IncomingRequest): Promise<void> {
    const reading = this.controller.readLinearizable(CONTROL_KEYS.deployment);
    const [error, committed] = errorOrValue(await this.changes.inTime('describe', reading));
    if (error) return this.changes.sendError(call, error);
    if (!committed) return sendError(call, 404, 'refused', 'none', 'there is no deployment yet');
    sendJson(call, 200, (committed.value as DeploymentValue).doc);
  }
}
