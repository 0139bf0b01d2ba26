import { PlatformAdapter } from '../../shared/platform-adapter/platform-adapter';
import {
  sendError,
  sendJson,
  makeRequestListener,
  readJsonBody,
} from '../../shared/transport/http-handlers';
import { OperationError, errorOrValue, Result } from '../../shared/errors/errors';
import { IncomingRequest, Listener } from '../../shared/ports/network';
import { Ports } from '../../shared/ports/ports';
import { DeploymentValue } from '../../shared/state/deployment';
import { withTimeout } from '../../shared/concurrency/timeout';
import { CONTROL_KEYS } from '../../shared/state/control-keys';
import { OperatorApi } from './operator-api';
import { ChangeResult } from '../configuration/change-coordinator';
import { Controller } from '../controller-interface';
import { makeDeploymentOperation } from '../configuration/deployment-change';
import { Operation } from '../configuration/operations';

/** How long a call is worked on before its caller is sent on to another controller, as a share of `ackMs`. */
const ANSWER_SHARE = 0.18;

/** Operators go on to another controller after a second of silence; an answer that is not clear comes before that. */
const ANSWER_WITHIN_MS = 900;

/** Faults that the same order would meet again. */
const FINAL_CODES = new Set(['stands', 'conflict', 'bad-deployment', 'forgotten']);

/** Serves operators who speak by a dialect, and our own interface beside. */
export function serveDeployment(
  c: Controller,
  ports: Ports,
  dialect: PlatformAdapter,
): Promise<Result<Listener>> {
  const { paths } = dialect.operators;
  const own = makeRequestListener([new OperatorApi(c, ports)], ports.logger);

  async function take(call: IncomingRequest): Promise<void> {
    if (call.path === paths.replace || call.path === paths.update) return put(call);
    if (call.path === paths.weights) return nameWeights(call);
    if (call.path === paths.describe) return describe(call);
    return own(call);
  }

  /** How long a call is worked on here. */
  function answerWithin(): number {
    return Math.min(c.settings.ackMs * ANSWER_SHARE, ANSWER_WITHIN_MS);
  }

  /** Has a result while its caller still listens, or a fault of unknown fate. */
  function inTime<T>(step: string, result: Promise<Result<T>>): Promise<Result<T>> {
    return withTimeout(ports.clock, answerWithin(), step, c.name, result);
  }

  function change(op: Operation): Promise<Result<ChangeResult>> {
    return inTime('change', tryChange(op));
  }

  /** Tries a change; one whose fate is open is tried again, since one that was taken is known again. */
  async function tryChange(op: Operation): Promise<Result<ChangeResult>> {
    const until = ports.clock.now() + answerWithin();
    for (;;) {
      const o = await c.change(op);
      const [f] = errorOrValue(o);
      if (!f || isClear(f) || ports.clock.now() + c.timeLimits.retryPauseMs > until) return o;
      await ports.clock.sleep(c.timeLimits.retryPauseMs * (0.3 + 0.4 * ports.random.next()));
    }
  }

  function refuse(call: IncomingRequest, f: OperationError): void {
    if (f.code === 'conflict') return sendError(call, 412, 'refused', 'conflict', f.reason);
    if (f.code === 'bad-deployment')
      return sendError(call, 400, 'refused', 'bad-deployment', f.reason);
    sendError(
      call,
      503,
      f.certainty,
      f.code ?? 'unknown',
      `${f.step} at ${f.peer}: ${f.reason}`,
      c.timeLimits.retryPauseMs,
    );
  }

  async function put(call: IncomingRequest): Promise<void> {
    if (call.method !== 'POST') return sendError(call, 405, 'refused', 'bad-method', call.method);
    const body = await readJsonBody(call, c.settings.bodyMostBytes);
    if (body === undefined) return;
    const base = dialect.operators.baseVersion(call.headers);
    if (base === undefined)
      return sendError(
        call,
        400,
        'refused',
        'no-base',
        'the version that this builds on is missing',
      );
    const kind = call.path === paths.update ? 'update' : 'replace';
    const [f] = errorOrValue(await change(makeDeploymentOperation(base, kind, body)));
    if (f && f.code !== 'stands') return refuse(call, f);
    sendJson(call, 200, { taken: true });
  }

  async function nameWeights(call: IncomingRequest): Promise<void> {
    if (call.method !== 'POST') return sendError(call, 405, 'refused', 'bad-method', call.method);
    const body = await readJsonBody(call, c.settings.bodyMostBytes);
    if (body === undefined) return;
    const w = dialect.operators.weights(body);
    if (w.isLeft()) return sendError(call, 400, 'refused', 'bad-weights', String(w.extract()));
    const { model, weights, rank } = w.extract() as {
      model: string;
      weights: string;
      rank: number;
    };
    const [f] = errorOrValue(await change({ kind: 'weights', model, weights, rank }));
    if (f && f.code !== 'stands') return refuse(call, f);
    sendJson(call, 200, { model, weights });
  }

  async function describe(call: IncomingRequest): Promise<void> {
    const [f, n] = errorOrValue(
      await inTime('describe', c.readLinearizable(CONTROL_KEYS.deployment)),
    );
    if (f) return refuse(call, f);
    if (!n) return sendError(call, 404, 'refused', 'none', 'there is no deployment yet');
    sendJson(call, 200, (n.value as DeploymentValue).doc);
  }

  return ports.network.serveHttp(c.settings.http, take);
}

/** Whether trying again here can tell no more. */
function isClear(f: OperationError): boolean {
  return FINAL_CODES.has(f.code ?? '');
}
