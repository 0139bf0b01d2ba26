/**
 * The HTTP interface for operators who speak a platform's dialect; the operators' own interface is served beside it.
 */

import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import { sendError, sendJson, readJsonBody } from '../../shared/transport/http-handlers';
import { OperationError, errorOrValue, Result } from '../../shared/errors/errors';
import { IncomingRequest, Listener } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { DeploymentValue } from '../../shared/state/deployment';
import { withTimeout } from '../../shared/concurrency/timeout';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { makeOperatorListener } from './operator-api';
import { ChangeResult } from '../configuration/change-coordinator';
import { Controller } from '../controller-interface';
import { makeDeploymentOperation } from '../configuration/deployment-change';
import { Operation } from '../configuration/operations';
import { replyTimeoutMs } from './reply-timeout';
import { TalliesApi } from './tallies-api';

/** The pause before a change is tried again, as ratios of the retry pause: the shortest, and the random spread. */
const MIN_RETRY_RATIO = 0.3;
const RETRY_SPREAD_RATIO = 0.4;

/** The codes of errors that the same change would meet again. */
const FINAL_CODES: ReadonlySet<string> = new Set([
  'stands',
  'conflict',
  'bad-deployment',
  'forgotten',
]);

/** Serves operators who speak a dialect, and the operators' own interface on the paths that the dialect has not. */
export function serveDeployment(
  controller: Controller,
  ports: Ports,
  dialect: PlatformAdapter,
): Promise<Result<Listener>> {
  const api = new DeploymentApi(controller, ports, dialect);
  const tallies = controller.tallies && new TalliesApi(controller, controller.tallies, dialect);
  const handleOperatorCall = makeOperatorListener(controller, ports);

  async function handle(call: IncomingRequest): Promise<void> {
    const { paths } = dialect.operators;
    if (call.path === paths.replace || call.path === paths.update) return api.putDeployment(call);
    if (call.path === paths.weights) return api.nameWeights(call);
    if (call.path === paths.describe) return api.describe(call);
    const tallyCall = dialect.operators.tallyCall(call.path);
    if (tallies && tallyCall) return tallies.handle(call, tallyCall);
    return handleOperatorCall(call);
  }

  return ports.network.serveHttp(controller.settings.http, handle);
}

class DeploymentApi {
  constructor(
    private readonly controller: Controller,
    private readonly ports: Ports,
    private readonly dialect: PlatformAdapter,
  ) {}

  /** Replaces or updates the deployment, on the version that the headers name as its base. */
  async putDeployment(call: IncomingRequest): Promise<void> {
    if (call.method !== 'POST') return sendError(call, 405, 'refused', 'bad-method', call.method);
    const body = await readJsonBody(call, this.controller.settings.bodyMostBytes);
    if (body === undefined) return;
    const { operators } = this.dialect;
    const base = operators.baseVersion(call.headers);
    if (base === undefined) {
      const message = 'the version that this builds on is missing';
      return sendError(call, 400, 'refused', 'no-base', message);
    }
    const kind = call.path === operators.paths.update ? 'update' : 'replace';
    const [error] = errorOrValue(await this.change(makeDeploymentOperation(base, kind, body)));
    if (error && error.code !== 'stands') return this.sendChangeError(call, error);
    sendJson(call, 200, { taken: true });
  }

  /** Names the weights of a model; naming the same ones again succeeds. */
  async nameWeights(call: IncomingRequest): Promise<void> {
    if (call.method !== 'POST') return sendError(call, 405, 'refused', 'bad-method', call.method);
    const body = await readJsonBody(call, this.controller.settings.bodyMostBytes);
    if (body === undefined) return;
    const parsed = this.dialect.operators.weights(body);
    if (parsed.isLeft())
      return sendError(call, 400, 'refused', 'bad-weights', String(parsed.extract()));
    const { model, weights, rank } = parsed.unsafeCoerce();
    const [error] = errorOrValue(await this.change({ kind: 'weights', model, weights, rank }));
    if (error && error.code !== 'stands') return this.sendChangeError(call, error);
    sendJson(call, 200, { model, weights });
  }

  /** Gives the deployment document in force, never older than what was acknowledged before. */
  async describe(call: IncomingRequest): Promise<void> {
    const reading = this.controller.readLinearizable(CONTROL_KEYS.deployment);
    const [error, committed] = errorOrValue(await this.inTime('describe', reading));
    if (error) return this.sendChangeError(call, error);
    if (!committed) return sendError(call, 404, 'refused', 'none', 'there is no deployment yet');
    sendJson(call, 200, (committed.value as DeploymentValue).doc);
  }

  private change(operation: Operation): Promise<Result<ChangeResult>> {
    return this.inTime('change', this.changeWithRetries(operation));
  }

  /** Makes a change; one of unknown effect is made again, since one that was committed is recognized. */
  private async changeWithRetries(operation: Operation): Promise<Result<ChangeResult>> {
    const { clock, random } = this.ports;
    const { retryPauseMs } = this.controller.timeLimits;
    const retryUntil = clock.now() + this.replyTimeoutMs();
    for (;;) {
      const result = await this.controller.change(operation);
      const [error] = errorOrValue(result);
      if (!error || isFinal(error) || clock.now() + retryPauseMs > retryUntil) return result;
      const pauseRatio = MIN_RETRY_RATIO + RETRY_SPREAD_RATIO * random.next();
      await clock.sleep(retryPauseMs * pauseRatio);
    }
  }

  /** The result, or an error of unknown effect once the caller no longer waits. */
  private inTime<T>(step: string, result: Promise<Result<T>>): Promise<Result<T>> {
    const { name } = this.controller;
    return withTimeout(this.ports.clock, this.replyTimeoutMs(), step, name, result);
  }

  /** How long a call is worked on here, in ms. */
  private replyTimeoutMs(): number {
    return replyTimeoutMs(this.controller.settings);
  }

  /** Sends an error: 412 for a conflict, 400 for a faulty document, 503 with the time to wait for everything else. */
  private sendChangeError(call: IncomingRequest, error: OperationError): void {
    const { code, certainty, reason } = error;
    if (code === 'conflict') return sendError(call, 412, 'refused', code, reason);
    if (code === 'bad-deployment') return sendError(call, 400, 'refused', code, reason);
    const message = `${error.step} at ${error.peer}: ${reason}`;
    const { retryPauseMs } = this.controller.timeLimits;
    sendError(call, 503, certainty, code ?? 'unknown', message, retryPauseMs);
  }
}

/** Whether the same change would meet the same error again. */
function isFinal(error: OperationError): boolean {
  return FINAL_CODES.has(error.code ?? '');
}
